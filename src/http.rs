//! HTTP/1.1 as far as the interfaces need it: an incremental parser and a writer.
//! Every size is bounded, so that no peer can make a connection grow.

#![warn(missing_docs)]

use thiserror::Error;

/// Most bytes of a start line with its headers.
const HEAD_MAX: usize = 8 * 1024;
/// Most bytes of a line that gives a chunk's size.
const CHUNK_LINE_MAX: usize = 64;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a message isn't accepted.
#[derive(Debug, Error, PartialEq, Eq, Clone, Copy)]
pub enum HttpError {
    /// It isn't HTTP, or not in a form that is accepted here.
    #[error("malformed message")]
    Malformed,
    /// It is longer than its reader accepts.
    #[error("message too large")]
    TooLarge,
}

/// A start line with the headers that matter here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The three parts of the start line.
    pub start_line: [String; 3],
    /// Whether the sender closes the connection after this message, or wants it closed.
    pub closes_connection: bool,
    /// `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

impl Message {
    /// The status of a response.
    pub fn status(&self) -> Option<u16> {
        self.start_line[1].parse().ok()
    }
}

/// Which messages a connection brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

/// Where a message's body ends.
#[derive(Debug)]
enum BodyEnd {
    Length(usize),
    Chunked,
    ConnectionClose,
}

/// A message whose head was read, and whose body is still to come.
#[derive(Debug)]
struct Head {
    message: Message,
    body_end: BodyEnd,
}

/// A body, and how many bytes of the connection it took.
struct ReadBody {
    body: Vec<u8>,
    consumed: usize,
}

/// Collects the bytes of one connection and hands out whole messages.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    body_max: usize,
    buffer: Vec<u8>,
    /// How far the search for the end of the head has come, so that a message
    /// that drips in byte by byte isn't searched from its start each time.
    scanned: usize,
    head: Option<Head>,
}

impl Decoder {
    /// A decoder for messages with bodies of at most `body_max` bytes.
    pub fn new(side: Side, body_max: usize) -> Self {
        Self {
            side,
            body_max,
            buffer: Vec::new(),
            scanned: 0,
            head: None,
        }
    }

    /// Adds bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether a message has begun and isn't whole yet.
    pub fn has_partial_message(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// Whether more has piled up than one message may hold.
    pub fn is_overfull(&self) -> bool {
        self.buffer.len() > self.body_max + HEAD_MAX
    }

    /// The next whole message, if it is all there.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() {
            self.head = self.read_head()?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let body = match head.body_end {
            BodyEnd::Length(length) => self.buffer.get(..length).map(|body| ReadBody {
                body: body.to_vec(),
                consumed: length,
            }),
            BodyEnd::Chunked => read_chunked(&self.buffer, self.body_max)?,
            BodyEnd::ConnectionClose if self.buffer.len() > self.body_max => {
                return Err(HttpError::TooLarge);
            }
            BodyEnd::ConnectionClose => None,
        };
        Ok(body.and_then(|body| self.finish(body)))
    }

    /// The message that ends because its sender closed the connection.
    pub fn finish_at_close(&mut self) -> Option<Message> {
        match self.head.as_ref()?.body_end {
            BodyEnd::ConnectionClose => {
                let body = std::mem::take(&mut self.buffer);
                self.finish(ReadBody { body, consumed: 0 })
            }
            BodyEnd::Length(_) | BodyEnd::Chunked => None,
        }
    }

    fn finish(&mut self, read: ReadBody) -> Option<Message> {
        let mut message = self.head.take()?.message;
        message.body = read.body;
        self.buffer.drain(..read.consumed);
        self.scanned = 0;
        Some(message)
    }

    /// The next message's head, if it is all there.
    fn read_head(&mut self) -> Result<Option<Head>, HttpError> {
        self.skip_blank_lines();
        let from = self.scanned.saturating_sub(HEAD_END.len() - 1);
        let mut windows = self.buffer[from..].windows(HEAD_END.len());
        let Some(end) = windows.position(|window| window == HEAD_END) else {
            self.scanned = self.buffer.len();
            return match self.buffer.len() > HEAD_MAX {
                true => Err(HttpError::TooLarge),
                false => Ok(None),
            };
        };
        let end = from + end;
        if end > HEAD_MAX {
            return Err(HttpError::TooLarge);
        }
        let text = std::str::from_utf8(&self.buffer[..end]).map_err(|_| HttpError::Malformed)?;
        let head = parse_head(text, self.side, self.body_max)?;
        self.buffer.drain(..end + HEAD_END.len());
        self.scanned = 0;
        Ok(Some(head))
    }

    /// Empty lines before a message are allowed.
    fn skip_blank_lines(&mut self) {
        let bytes = self.buffer.iter();
        let blank = bytes
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        if blank > 0 {
            self.buffer.drain(..blank);
            self.scanned = 0;
        }
    }
}

/// The headers that matter here.
struct Headers {
    content_length: Option<usize>,
    is_chunked: bool,
    closes_connection: bool,
    retry_after: Option<u64>,
}

fn parse_head(text: &str, side: Side, body_max: usize) -> Result<Head, HttpError> {
    let mut lines = text.split("\r\n");
    let start_line = parse_start_line(lines.next().unwrap_or(""), side)?;
    let version = match side {
        Side::Request => &start_line[2],
        Side::Response => &start_line[0],
    };
    let headers = parse_headers(lines, version)?;
    let body_end = match (headers.is_chunked, headers.content_length) {
        // Both at once is how requests are smuggled past a proxy.
        (true, Some(_)) => return Err(HttpError::Malformed),
        (true, None) => BodyEnd::Chunked,
        (false, Some(length)) if length > body_max => return Err(HttpError::TooLarge),
        (false, Some(length)) => BodyEnd::Length(length),
        (false, None) if side == Side::Response && !is_bodiless(&start_line[1]) => {
            BodyEnd::ConnectionClose
        }
        (false, None) => BodyEnd::Length(0),
    };
    let message = Message {
        start_line,
        closes_connection: headers.closes_connection,
        retry_after: headers.retry_after,
        body: Vec::new(),
    };
    Ok(Head { message, body_end })
}

fn parse_headers<'a>(
    lines: impl Iterator<Item = &'a str>,
    version: &str,
) -> Result<Headers, HttpError> {
    let mut headers = Headers {
        content_length: None,
        is_chunked: false,
        closes_connection: version == "HTTP/1.0",
        retry_after: None,
    };
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(HttpError::Malformed)?;
        let value = value.trim_matches([' ', '\t']);
        if name.is_empty() || !name.bytes().all(is_token_byte) {
            return Err(HttpError::Malformed);
        }
        headers.read(&name.to_ascii_lowercase(), value)?;
    }
    Ok(headers)
}

impl Headers {
    fn read(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        match name {
            "content-length" => {
                let length = content_length(value)?;
                if self.content_length.is_some_and(|earlier| earlier != length) {
                    return Err(HttpError::Malformed);
                }
                self.content_length = Some(length);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => self.is_chunked = true,
            "transfer-encoding" => return Err(HttpError::Malformed),
            "connection" => self.read_connection(value),
            "retry-after" => self.retry_after = value.parse().ok(),
            _ => {}
        }
        Ok(())
    }

    fn read_connection(&mut self, value: &str) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.closes_connection = true;
            } else if option.eq_ignore_ascii_case("keep-alive") {
                self.closes_connection = false;
            }
        }
    }
}

/// Whether responses of a status never have a body.
fn is_bodiless(status: &str) -> bool {
    status == "204" || status == "304" || status.starts_with('1')
}

fn content_length(value: &str) -> Result<usize, HttpError> {
    if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    value.parse().map_err(|_| HttpError::TooLarge)
}

fn parse_start_line(line: &str, side: Side) -> Result<[String; 3], HttpError> {
    let mut parts = line.splitn(3, ' ');
    let mut part = || parts.next().unwrap_or("").to_string();
    let start = [part(), part(), part()];
    let is_valid = match side {
        Side::Request => {
            !start[0].is_empty()
                && start[0].bytes().all(is_token_byte)
                && start[1].starts_with('/')
                && start[1].bytes().all(|byte| byte.is_ascii_graphic())
                && (start[2] == "HTTP/1.1" || start[2] == "HTTP/1.0")
        }
        Side::Response => {
            (start[0] == "HTTP/1.1" || start[0] == "HTTP/1.0")
                && start[1].len() == 3
                && start[1].bytes().all(|byte| byte.is_ascii_digit())
        }
    };
    if is_valid {
        Ok(start)
    } else {
        Err(HttpError::Malformed)
    }
}

/// Whether a byte may stand in a method or in a header's name.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Reads a chunked body from its start; `None` while it isn't whole.
fn read_chunked(buffer: &[u8], body_max: usize) -> Result<Option<ReadBody>, HttpError> {
    let (mut at, mut body) = (0, Vec::new());
    loop {
        let Some(line_length) = find_line_end(&buffer[at..])? else {
            return Ok(None);
        };
        let size = chunk_size(&buffer[at..at + line_length])?;
        at += line_length + LINE_END.len();
        if size > body_max || body.len() + size > body_max {
            return Err(HttpError::TooLarge);
        }
        if size == 0 {
            let consumed = skip_trailers(buffer, at)?;
            return Ok(consumed.map(|consumed| ReadBody { body, consumed }));
        }
        if buffer.len() < at + size + LINE_END.len() {
            return Ok(None);
        }
        body.extend_from_slice(&buffer[at..at + size]);
        at += size;
        if !buffer[at..].starts_with(LINE_END) {
            return Err(HttpError::Malformed);
        }
        at += LINE_END.len();
    }
}

/// Reads the line before a chunk. What follows a semicolon there has no meaning here.
fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let line = std::str::from_utf8(line).map_err(|_| HttpError::Malformed)?;
    let digits = line.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed);
    }
    usize::from_str_radix(digits, 16).map_err(|_| HttpError::TooLarge)
}

/// Where the trailers that begin at a place end, with the empty line after them; `None` while that
/// hasn't come.
fn skip_trailers(buffer: &[u8], from: usize) -> Result<Option<usize>, HttpError> {
    let mut at = from;
    while let Some(line_length) = find_line_end(&buffer[at..])? {
        at += line_length + LINE_END.len();
        if line_length == 0 {
            return Ok(Some(at));
        }
    }
    Ok(None)
}

/// How long the first line is; `None` while its end hasn't come.
fn find_line_end(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    let found = buffer
        .windows(LINE_END.len())
        .take(CHUNK_LINE_MAX)
        .position(|window| window == LINE_END);
    if found.is_none() && buffer.len() > CHUNK_LINE_MAX {
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
    let mut message = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !body.is_empty() {
        message.push_str("Content-Type: application/cbor\r\n");
    }
    if let Some(seconds) = retry_after {
        message.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    if close {
        message.push_str("Connection: close\r\n");
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    message
}

/// Writes a request.
pub fn request(method: &str, path: &str, host: &str, body: Option<&[u8]>) -> Vec<u8> {
    let mut message = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    if let Some(body) = body {
        message.push_str(&format!(
            "Content-Type: application/cbor\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body.unwrap_or(&[]));
    message
}
