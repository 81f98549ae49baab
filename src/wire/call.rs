//! A request to an outside service, before it is written as HTTP.

/// A request as it goes onto the wire.
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The body as CBOR, if the request has one.
    pub body: Option<Vec<u8>>,
}

impl Call {
    pub(super) fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            body: None,
        }
    }

    pub(super) fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method: "POST",
            path: path.into(),
            body: Some(body),
        }
    }

    pub(super) fn delete(path: impl Into<String>) -> Self {
        Self {
            method: "DELETE",
            path: path.into(),
            body: None,
        }
    }
}
