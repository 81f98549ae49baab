//! HTTP/1.1 with Content-Length: a server with a thread for each connection, and a client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// Start line, split at spaces.
    pub start: Vec<String>,
    pub retry_after: Option<u64>,
    pub closes: bool,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.start
            .get(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended or the deadline passed.
pub fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    deadline: Option<Instant>,
) -> Option<Message> {
    let mut chunk = vec![0; 64 * 1024];
    loop {
        if let Some(message) = take_message(buffer) {
            return Some(message);
        }
        let timeout = match deadline {
            None => None,
            Some(at) => Some(
                at.checked_duration_since(Instant::now())
                    .filter(|d| !d.is_zero())?,
            ),
        };
        stream.set_read_timeout(timeout).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let mut lines = head.split("\r\n");
    let start = lines
        .next()
        .unwrap_or("")
        .split(' ')
        .map(String::from)
        .collect();
    let (mut length, mut retry_after, mut closes) = (0, None, false);
    for line in lines {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().unwrap_or(0),
            "retry-after" => retry_after = value.trim().parse().ok(),
            "connection" => closes = value.trim().eq_ignore_ascii_case("close"),
            _ => {}
        }
    }
    if buffer.len() < end + 4 + length {
        return None;
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    Some(Message {
        start,
        retry_after,
        closes,
        body,
    })
}

pub fn write_response(stream: &mut TcpStream, status: u16, body: &[u8]) -> bool {
    let retry = if status == 429 || status == 503 {
        "Retry-After: 1\r\n"
    } else {
        ""
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} S\r\n{retry}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Serves requests: `handle(method, path, body)` returns status and body, or `None` to give no
/// answer and close the connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&str, &str, &[u8]) -> Option<(u16, Vec<u8>)> + Send + Sync + Clone + 'static,
{
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buffer, None) {
                    if request.start.len() < 2 {
                        return;
                    }
                    let answer = handle(&request.start[0], &request.start[1], &request.body);
                    let Some((status, body)) = answer else { return };
                    if !write_response(&mut stream, status, &body) {
                        return;
                    }
                }
            });
        }
    });
}

/// A client's persistent connection.
#[derive(Default)]
pub struct Client {
    connection: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    /// Sends a request and reads the response; `None` without one within `timeout`.
    pub fn call(
        &mut self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&[u8]>,
        timeout: Duration,
    ) -> Option<Message> {
        let deadline = Instant::now() + timeout;
        let mut stream = match self.connection.take() {
            Some((known, stream)) if known == address => stream,
            _ => TcpStream::connect_timeout(&address, timeout.min(Duration::from_millis(500)))
                .ok()?,
        };
        let _ = stream.set_nodelay(true);
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\n").into_bytes();
        if let Some(body) = body {
            bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
        }
        bytes.extend(b"\r\n");
        bytes.extend_from_slice(body.unwrap_or(&[]));
        stream.set_write_timeout(Some(timeout)).ok()?;
        stream.write_all(&bytes).ok()?;
        let message = read_message(&mut stream, &mut Vec::new(), Some(deadline))?;
        if !message.closes {
            self.connection = Some((address, stream));
        }
        Some(message)
    }
}
