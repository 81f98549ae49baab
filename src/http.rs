//! HTTP/1.1 as far as the interfaces need it: an incremental parser and a writer.
//! Every size is bounded, so that no peer can make a connection grow.

use thiserror::Error;

/// Most bytes of a start line with its headers.
const HEAD_MAX: usize = 8 * 1024;
/// Most bytes of a line that gives a chunk's size.
const CHUNK_LINE_MAX: usize = 64;

#[derive(Debug, Error, PartialEq, Eq, Clone, Copy)]
pub enum HttpError {
    #[error("malformed message")]
    Malformed,
    #[error("message too large")]
    TooLarge,
}

/// A start line with the headers that matter here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The three parts of the start line.
    pub start: [String; 3],
    pub close: bool,
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

impl Message {
    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.start[1].parse().ok()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    Request,
    Response,
}

#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Collects the bytes of one connection and hands out whole messages.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    body_max: usize,
    buf: Vec<u8>,
    /// How far the search for the end of the head has come, so that a message
    /// that drips in byte by byte isn't searched from its start each time.
    scanned: usize,
    head: Option<(Message, Body)>,
}

impl Decoder {
    pub fn new(side: Side, body_max: usize) -> Self {
        Self {
            side,
            body_max,
            buf: Vec::new(),
            scanned: 0,
            head: None,
        }
    }

    /// Adds bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Whether a message has begun and isn't whole yet.
    pub fn midway(&self) -> bool {
        self.head.is_some() || !self.buf.is_empty()
    }

    /// Whether more has piled up than one message may hold.
    pub fn overfull(&self) -> bool {
        self.buf.len() > self.body_max + HEAD_MAX
    }

    /// The next whole message, if it is all there.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() && !self.take_head()? {
            return Ok(None);
        }
        let Some((_, body)) = &self.head else {
            return Ok(None);
        };
        let taken = match body {
            Body::Length(n) => (self.buf.len() >= *n).then(|| (self.buf[..*n].to_vec(), *n)),
            Body::Chunked => chunked(&self.buf, self.body_max)?,
            Body::UntilClose if self.buf.len() > self.body_max => return Err(HttpError::TooLarge),
            Body::UntilClose => None,
        };
        Ok(taken.and_then(|(body, used)| self.finish(body, used)))
    }

    /// The message that ends because its sender closed the connection.
    pub fn closed(&mut self) -> Option<Message> {
        match &self.head {
            Some((_, Body::UntilClose)) => {
                let body = std::mem::take(&mut self.buf);
                self.finish(body, 0)
            }
            _ => None,
        }
    }

    fn finish(&mut self, body: Vec<u8>, used: usize) -> Option<Message> {
        let (mut message, _) = self.head.take()?;
        message.body = body;
        self.buf.drain(..used);
        self.scanned = 0;
        Some(message)
    }

    fn take_head(&mut self) -> Result<bool, HttpError> {
        // Empty lines before a message are allowed and skipped.
        let blank = self
            .buf
            .iter()
            .take_while(|b| **b == b'\r' || **b == b'\n')
            .count();
        if blank > 0 {
            self.buf.drain(..blank);
            self.scanned = 0;
        }
        let from = self.scanned.saturating_sub(3);
        let end = self.buf[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let Some(end) = end.map(|at| at + from) else {
            self.scanned = self.buf.len();
            return if self.buf.len() > HEAD_MAX {
                Err(HttpError::TooLarge)
            } else {
                Ok(false)
            };
        };
        if end > HEAD_MAX {
            return Err(HttpError::TooLarge);
        }
        let text = std::str::from_utf8(&self.buf[..end]).map_err(|_| HttpError::Malformed)?;
        let head = parse_head(text, self.side, self.body_max)?;
        self.buf.drain(..end + 4);
        self.scanned = 0;
        self.head = Some(head);
        Ok(true)
    }
}

fn parse_head(text: &str, side: Side, body_max: usize) -> Result<(Message, Body), HttpError> {
    let mut lines = text.split("\r\n");
    let start = start_line(lines.next().unwrap_or(""), side)?;
    let version = if side == Side::Request {
        &start[2]
    } else {
        &start[0]
    };
    let mut close = version == "HTTP/1.0";
    let (mut length, mut is_chunked, mut retry_after) = (None, false, None);
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty() || !name.bytes().all(token_byte) {
            return Err(HttpError::Malformed);
        }
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let n = content_length(value)?;
                if length.is_some_and(|had| had != n) {
                    return Err(HttpError::Malformed);
                }
                length = Some(n);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => is_chunked = true,
            "transfer-encoding" => return Err(HttpError::Malformed),
            "connection" => {
                for word in value.split(',') {
                    if word.trim().eq_ignore_ascii_case("close") {
                        close = true;
                    } else if word.trim().eq_ignore_ascii_case("keep-alive") {
                        close = false;
                    }
                }
            }
            "retry-after" => retry_after = value.parse().ok(),
            _ => {}
        }
    }
    let body = match (is_chunked, length) {
        // Both at once is how requests are smuggled past a proxy.
        (true, Some(_)) => return Err(HttpError::Malformed),
        (true, None) => Body::Chunked,
        (false, Some(n)) if n > body_max => return Err(HttpError::TooLarge),
        (false, Some(n)) => Body::Length(n),
        (false, None) if side == Side::Response && !bodiless(&start[1]) => Body::UntilClose,
        (false, None) => Body::Length(0),
    };
    let message = Message {
        start,
        close,
        retry_after,
        body: Vec::new(),
    };
    Ok((message, body))
}

fn bodiless(status: &str) -> bool {
    status == "204" || status == "304" || status.starts_with('1')
}

fn content_length(value: &str) -> Result<usize, HttpError> {
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    value.parse().map_err(|_| HttpError::TooLarge)
}

fn start_line(line: &str, side: Side) -> Result<[String; 3], HttpError> {
    let mut parts = line.splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("").to_string();
    let start = [part(), part(), part()];
    let good = match side {
        Side::Request => {
            !start[0].is_empty()
                && start[0].bytes().all(token_byte)
                && start[1].starts_with('/')
                && start[1].bytes().all(|b| b.is_ascii_graphic())
                && (start[2] == "HTTP/1.1" || start[2] == "HTTP/1.0")
        }
        Side::Response => {
            (start[0] == "HTTP/1.1" || start[0] == "HTTP/1.0")
                && start[1].len() == 3
                && start[1].bytes().all(|b| b.is_ascii_digit())
        }
    };
    if good {
        Ok(start)
    } else {
        Err(HttpError::Malformed)
    }
}

fn token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// Reads a chunked body from its start; `None` while it isn't whole.
fn chunked(buf: &[u8], body_max: usize) -> Result<Option<(Vec<u8>, usize)>, HttpError> {
    let (mut at, mut body) = (0, Vec::new());
    loop {
        let Some(end) = line_end(&buf[at..])? else {
            return Ok(None);
        };
        let line = std::str::from_utf8(&buf[at..at + end]).map_err(|_| HttpError::Malformed)?;
        let digits = line.split(';').next().unwrap_or("").trim();
        if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(HttpError::Malformed);
        }
        let size = usize::from_str_radix(digits, 16).map_err(|_| HttpError::TooLarge)?;
        at += end + 2;
        if size > body_max || body.len() + size > body_max {
            return Err(HttpError::TooLarge);
        }
        if size == 0 {
            // Trailers are read over up to the empty line that ends them.
            while let Some(end) = line_end(&buf[at..])? {
                at += end + 2;
                if end == 0 {
                    return Ok(Some((body, at)));
                }
            }
            return Ok(None);
        }
        if buf.len() < at + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(&buf[at..at + size]);
        at += size;
        if &buf[at..at + 2] != b"\r\n" {
            return Err(HttpError::Malformed);
        }
        at += 2;
    }
}

fn line_end(buf: &[u8]) -> Result<Option<usize>, HttpError> {
    let found = buf
        .windows(2)
        .take(CHUNK_LINE_MAX)
        .position(|w| w == b"\r\n");
    if found.is_none() && buf.len() > CHUNK_LINE_MAX {
        return Err(HttpError::Malformed);
    }
    Ok(found)
}

/// Writes a response; `Retry-After` goes with every 429 and 503.
pub fn response(status: u16, retry_after: Option<u32>, close: bool, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    };
    let mut out = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        out.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(s) = retry_after {
        out.push_str(&format!("Retry-After: {s}\r\n"));
    }
    if close {
        out.push_str("Connection: close\r\n");
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Writes a request.
pub fn request(method: &str, path: &str, host: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if let Some(body) = body {
        out.push_str(&format!(
            "Content-Type: application/cbor\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body.unwrap_or(&[]));
    out
}
