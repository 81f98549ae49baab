//! Parsing of a request's start line, and responses of the hollow store and cloud.

use salttrestle::http::Message;
use salttrestle::wire;

/// A response of the store or the cloud, before it is encoded as HTTP.
pub(super) struct Response {
    /// HTTP status.
    pub(super) status: u16,
    /// Encoded body.
    pub(super) body: Vec<u8>,
}

impl Response {
    /// A response with status 200.
    pub(super) fn ok(body: Vec<u8>) -> Self {
        Self { status: 200, body }
    }

    /// An error response whose body holds the reason.
    pub(super) fn error(status: u16, reason: &str) -> Self {
        Self {
            status,
            body: wire::error_body(reason),
        }
    }
}

/// Method, path and query of a request.
#[derive(Clone, Copy)]
pub(super) struct StartLine<'a> {
    /// HTTP method.
    pub(super) method: &'a str,
    /// Path of the target, without the query.
    pub(super) path: &'a str,
    /// Query of the target; empty if there is none.
    pub(super) query: Query<'a>,
}

impl<'a> StartLine<'a> {
    /// Parses the start line of a request.
    pub(super) fn parse(request: &'a Message) -> Self {
        let target = request.start_line[1].as_str();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        Self {
            method: &request.start_line[0],
            path,
            query: Query(query),
        }
    }
}

/// Query parameters of a request's target, without percent-decoding.
#[derive(Clone, Copy)]
pub(super) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Returns a parameter as text; `None` if it is missing.
    pub(super) fn text(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split('&');
        pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns a parameter as a number; `None` if it is missing or not a number.
    pub(super) fn number(self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}
