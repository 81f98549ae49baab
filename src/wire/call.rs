//! Requests to the store and the cloud, in the form that the HTTP client sends.

/// Method, path and body of an HTTP request to the store or the cloud.
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with the query string if there is one.
    pub path: String,
    /// The CBOR body, if the request has one.
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
