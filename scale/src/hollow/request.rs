//! The start line of a request, and the responses of hollow services.

use salttrestle::http::Message;
use salttrestle::wire;

/// A response before it is framed.
pub(super) struct Response {
    /// The HTTP status.
    pub(super) status: u16,
    /// The encoded body.
    pub(super) body: Vec<u8>,
}

impl Response {
    /// A success.
    pub(super) fn ok(body: Vec<u8>) -> Self {
        Self { status: 200, body }
    }

    /// An error with its reason.
    pub(super) fn error(status: u16, reason: &str) -> Self {
        Self {
            status,
            body: wire::error_body(reason),
        }
    }
}

/// The start line of a request.
#[derive(Clone, Copy)]
pub(super) struct StartLine<'a> {
    /// The HTTP method.
    pub(super) method: &'a str,
    /// The path without its query.
    pub(super) path: &'a str,
    /// The query.
    pub(super) query: Query<'a>,
}

impl<'a> StartLine<'a> {
    /// The start line of a message.
    pub(super) fn parse(request: &'a Message) -> Self {
        let target = request.start[1].as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Self {
            method: &request.start[0],
            path,
            query: Query(query),
        }
    }
}

/// The query of a request's target.
#[derive(Clone, Copy)]
pub(super) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// A parameter as text.
    pub(super) fn text(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split('&');
        pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// A parameter as a number.
    pub(super) fn number(self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}
