//! The subset of HTTP/1.1 that the service's interfaces use: an incremental parser and a writer.
//!
//! The sizes of heads, bodies and chunk lines are bounded, so that no remote side can make a
//! connection's buffer grow without limit.

#![warn(missing_docs)]

use thiserror::Error;

/// Maximum size of a start line with its headers.
const HEAD_BYTES_MAX: usize = 8 * 1024;
/// Maximum size of a line that gives a chunk's size, and of a trailer.
const CHUNK_LINE_BYTES_MAX: usize = 64;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why the [`Decoder`] rejects a message.
#[derive(Debug, Error, PartialEq, Eq, Clone, Copy)]
pub enum HttpError {
    /// The bytes aren't HTTP, or use a form of HTTP that this parser doesn't support.
    #[error("malformed message")]
    Malformed,
    /// The head, the body or a number in the head exceeds its maximum size.
    #[error("message too large")]
    TooLarge,
}

/// A request or a response, with the headers that this service uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The three parts of the start line: method, path and version of a request; version, status
    /// and reason phrase of a response.
    pub start_line: [String; 3],
    /// Whether the connection is to be closed after this message: `Connection: close`, or HTTP/1.0
    /// without `Connection: keep-alive`.
    pub closes_connection: bool,
    /// The value of `Retry-After` in seconds; `None` if the header is absent or isn't a number.
    pub retry_after: Option<u64>,
    /// The body; empty if the message has none.
    pub body: Vec<u8>,
}

impl Message {
    /// The status code of a response; `None` for a request.
    pub fn status(&self) -> Option<u16> {
        self.start_line[1].parse().ok()
    }
}

/// Whether a [`Decoder`] parses requests or responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The connection delivers requests.
    Request,
    /// The connection delivers responses.
    Response,
}

/// How the end of a message's body is determined.
#[derive(Debug)]
enum BodyEnd {
    /// After this many bytes.
    Length(usize),
    Chunked,
    ConnectionClose,
}

/// A message whose head is parsed and whose body isn't complete yet.
#[derive(Debug)]
struct Head {
    message: Message,
    body_end: BodyEnd,
}

/// A complete body, and the number of buffered bytes that encode it.
struct DecodedBody {
    body: Vec<u8>,
    consumed: usize,
}

/// An incremental parser: buffers the bytes of one connection and returns complete messages.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    body_bytes_max: usize,
    buffer: Vec<u8>,
    /// Number of buffered bytes already searched for the end of the head. A head that arrives
    /// byte by byte isn't searched from its start each time.
    scanned_bytes: usize,
    head: Option<Head>,
}

impl Decoder {
    /// Creates a decoder for messages with bodies of at most `body_bytes_max` bytes.
    pub fn new(side: Side, body_bytes_max: usize) -> Self {
        Self {
            side,
            body_bytes_max,
            buffer: Vec::new(),
            scanned_bytes: 0,
            head: None,
        }
    }

    /// Appends bytes received on the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether a message has begun that [`Decoder::next_message`] hasn't returned yet.
    pub fn has_partial_message(&self) -> bool {
        self.head.is_some() || !self.buffer.is_empty()
    }

    /// Whether the buffer exceeds the maximum size of one message. The buffer grows while the
    /// caller feeds bytes without taking messages out.
    pub fn is_overfull(&self) -> bool {
        self.buffer.len() > self.body_bytes_max + HEAD_BYTES_MAX
    }

    /// Removes and returns the next message; `None` while it is incomplete.
    ///
    /// After an error the position of the next message is unknown, so the connection must be
    /// closed.
    pub fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        if self.head.is_none() {
            self.head = self.read_head()?;
        }
        let Some(head) = &self.head else {
            return Ok(None);
        };
        let body = match head.body_end {
            BodyEnd::Length(length) => self.buffer.get(..length).map(|body| DecodedBody {
                body: body.to_vec(),
                consumed: length,
            }),
            BodyEnd::Chunked => decode_chunked(&self.buffer, self.body_bytes_max)?,
            BodyEnd::ConnectionClose if self.buffer.len() > self.body_bytes_max => {
                return Err(HttpError::TooLarge);
            }
            BodyEnd::ConnectionClose => None,
        };
        Ok(body.and_then(|body| self.finish_message(body)))
    }

    /// Returns the message whose body ends because its sender closed the connection. `None` if no
    /// message has begun, or if the buffered message ends in another way and is therefore
    /// truncated.
    pub fn finish_at_close(&mut self) -> Option<Message> {
        match self.head.as_ref()?.body_end {
            BodyEnd::ConnectionClose => {
                let body = std::mem::take(&mut self.buffer);
                self.finish_message(DecodedBody { body, consumed: 0 })
            }
            BodyEnd::Length(_) | BodyEnd::Chunked => None,
        }
    }

    fn finish_message(&mut self, decoded: DecodedBody) -> Option<Message> {
        let mut message = self.head.take()?.message;
        message.body = decoded.body;
        self.buffer.drain(..decoded.consumed);
        self.scanned_bytes = 0;
        Some(message)
    }

    /// Removes and parses the next message's head; `None` while it is incomplete.
    fn read_head(&mut self) -> Result<Option<Head>, HttpError> {
        self.skip_blank_lines();
        let from = self.scanned_bytes.saturating_sub(HEAD_END.len() - 1);
        let mut windows = self.buffer[from..].windows(HEAD_END.len());
        let Some(end) = windows.position(|window| window == HEAD_END) else {
            self.scanned_bytes = self.buffer.len();
            return match self.buffer.len() > HEAD_BYTES_MAX {
                true => Err(HttpError::TooLarge),
                false => Ok(None),
            };
        };
        let end = from + end;
        if end > HEAD_BYTES_MAX {
            return Err(HttpError::TooLarge);
        }
        let text = std::str::from_utf8(&self.buffer[..end]).map_err(|_| HttpError::Malformed)?;
        let head = parse_head(text, self.side, self.body_bytes_max)?;
        self.buffer.drain(..end + HEAD_END.len());
        self.scanned_bytes = 0;
        Ok(Some(head))
    }

    /// Skips empty lines before a start line, which the parser tolerates.
    fn skip_blank_lines(&mut self) {
        let bytes = self.buffer.iter();
        let blank = bytes
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        if blank > 0 {
            self.buffer.drain(..blank);
            self.scanned_bytes = 0;
        }
    }
}

/// The headers that this service uses.
struct Headers {
    content_length: Option<usize>,
    is_chunked: bool,
    closes_connection: bool,
    retry_after: Option<u64>,
}

fn parse_head(text: &str, side: Side, body_bytes_max: usize) -> Result<Head, HttpError> {
    let mut lines = text.split("\r\n");
    let start_line = parse_start_line(lines.next().unwrap_or(""), side)?;
    let version = match side {
        Side::Request => &start_line[2],
        Side::Response => &start_line[0],
    };
    let headers = parse_headers(lines, version)?;
    let body_end = match (headers.is_chunked, headers.content_length) {
        // Request smuggling relies on a proxy and a server that disagree about which of the two
        // headers determines the body's length.
        (true, Some(_)) => return Err(HttpError::Malformed),
        (true, None) => BodyEnd::Chunked,
        (false, Some(length)) if length > body_bytes_max => return Err(HttpError::TooLarge),
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
        headers.apply(&name.to_ascii_lowercase(), value)?;
    }
    Ok(headers)
}

impl Headers {
    /// Applies one header; `name` is in lower case.
    fn apply(&mut self, name: &str, value: &str) -> Result<(), HttpError> {
        match name {
            "content-length" => {
                let length = parse_content_length(value)?;
                if self
                    .content_length
                    .is_some_and(|previous| previous != length)
                {
                    return Err(HttpError::Malformed);
                }
                self.content_length = Some(length);
            }
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => self.is_chunked = true,
            "transfer-encoding" => return Err(HttpError::Malformed),
            "connection" => self.apply_connection(value),
            "retry-after" => self.retry_after = value.parse().ok(),
            _ => {}
        }
        Ok(())
    }

    fn apply_connection(&mut self, value: &str) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.closes_connection = true;
            } else if option.eq_ignore_ascii_case("keep-alive") {
                self.closes_connection = false;
            }
        }
    }
}

/// Whether responses with this status never have a body.
fn is_bodiless(status: &str) -> bool {
    status == "204" || status == "304" || status.starts_with('1')
}

fn parse_content_length(value: &str) -> Result<usize, HttpError> {
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

/// Whether a byte is allowed in a method or in a header's name.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Decodes a chunked body from the start of a buffer; `None` while the body is incomplete.
fn decode_chunked(buffer: &[u8], body_bytes_max: usize) -> Result<Option<DecodedBody>, HttpError> {
    let (mut position, mut body) = (0, Vec::new());
    loop {
        let Some(line_length) = find_line_end(&buffer[position..])? else {
            return Ok(None);
        };
        let size = parse_chunk_size(&buffer[position..position + line_length])?;
        position += line_length + LINE_END.len();
        if size > body_bytes_max || body.len() + size > body_bytes_max {
            return Err(HttpError::TooLarge);
        }
        if size == 0 {
            let consumed = skip_trailers(buffer, position)?;
            return Ok(consumed.map(|consumed| DecodedBody { body, consumed }));
        }
        if buffer.len() < position + size + LINE_END.len() {
            return Ok(None);
        }
        body.extend_from_slice(&buffer[position..position + size]);
        position += size;
        if !buffer[position..].starts_with(LINE_END) {
            return Err(HttpError::Malformed);
        }
        position += LINE_END.len();
    }
}

/// Parses the line that gives a chunk's size. Chunk extensions, which follow a semicolon, are
/// ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let line = std::str::from_utf8(line).map_err(|_| HttpError::Malformed)?;
    let digits = line.split(';').next().unwrap_or("").trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(HttpError::Malformed);
    }
    usize::from_str_radix(digits, 16).map_err(|_| HttpError::TooLarge)
}

/// Returns the position after the trailers that begin at `from` and the empty line that ends them;
/// `None` while they are incomplete.
fn skip_trailers(buffer: &[u8], from: usize) -> Result<Option<usize>, HttpError> {
    let mut position = from;
    while let Some(line_length) = find_line_end(&buffer[position..])? {
        position += line_length + LINE_END.len();
        if line_length == 0 {
            return Ok(Some(position));
        }
    }
    Ok(None)
}

/// Returns the length of the buffer's first line without its end; `None` while the line is
/// incomplete. A line longer than [`CHUNK_LINE_BYTES_MAX`] is malformed.
fn find_line_end(buffer: &[u8]) -> Result<Option<usize>, HttpError> {
    let found = buffer
        .windows(LINE_END.len())
        .take(CHUNK_LINE_BYTES_MAX)
        .position(|window| window == LINE_END);
    if found.is_none() && buffer.len() > CHUNK_LINE_BYTES_MAX {
        return Err(HttpError::Malformed);
    }
    Ok(found)
}

/// Encodes a response. `retry_after` is in seconds; callers set it on every 429 and 503.
pub fn response(
    status: u16,
    retry_after: Option<u32>,
    closes_connection: bool,
    body: &[u8],
) -> Vec<u8> {
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
    if closes_connection {
        message.push_str("Connection: close\r\n");
    }
    message.push_str("\r\n");
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    message
}

/// Encodes a request.
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
