//! HTTP/1.1 with persistent connections: a server with one thread a connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(k, _)| *k == name).map(|(_, v)| v)
    }
}

#[derive(Clone)]
pub struct Response {
    pub status: u16,
    pub retry_after: Option<f64>,
    pub body: Vec<u8>,
}

/// Answers a request. `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let _ = serve_connection(stream, handler);
                })
                .expect("a thread");
        }
    });
}

fn serve_connection(stream: TcpStream, handler: Handler) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some((start, close, _, body)) = read_message(&mut input)? {
        let mut words = start.split(' ');
        let method = words.next().unwrap_or("").to_string();
        let target = words.next().unwrap_or("").to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.into(),
            query: query.into(),
            body,
        };
        let Some(r) = handler(request) else {
            return Ok(());
        };
        let mut bytes = format!(
            "HTTP/1.1 {} X\r\nContent-Length: {}\r\n",
            r.status,
            r.body.len()
        );
        if let Some(s) = r.retry_after {
            bytes += &format!("Retry-After: {s}\r\n");
        }
        let mut bytes = (bytes + "\r\n").into_bytes();
        bytes.extend_from_slice(&r.body);
        out.write_all(&bytes)?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

type Message = (String, bool, Option<u64>, Vec<u8>);

fn read_message(input: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut start = String::new();
    if input.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let (mut length, mut close, mut retry) = (0, false, None);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "connection" => close = value.eq_ignore_ascii_case("close"),
            "retry-after" => retry = value.parse().ok(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(Some((start.trim_end().to_string(), close, retry, body)))
}

/// A client with one persistent connection.
pub struct Client {
    pub to: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<u64>,
    pub body: Vec<u8>,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            connection: None,
        }
    }

    /// Sends a request. `None`: no connection, or no answer within the timeout.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_s: f64,
    ) -> Option<Answer> {
        let answer = self.try_call(method, path, body, Duration::from_secs_f64(timeout_s));
        if answer.is_none() {
            self.connection = None;
        }
        answer
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<Answer> {
        let end = Instant::now() + limit;
        if self.connection.is_none() {
            let stream =
                TcpStream::connect_timeout(&self.to, limit.min(Duration::from_millis(500)));
            let stream = stream.ok()?;
            stream.set_nodelay(true).ok()?;
            self.connection = Some(BufReader::new(stream));
        }
        let c = self.connection.as_mut()?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            self.to,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let left = end
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        c.get_ref().set_read_timeout(Some(left)).ok()?;
        c.get_ref().set_write_timeout(Some(left)).ok()?;
        // A server may refuse a body before it has read all of it: its answer is read all the same.
        let _ = c.get_mut().write_all(&bytes);
        let (start, close, retry_after, body) = read_message(c).ok()??;
        if close {
            self.connection = None;
        }
        let status = start.split(' ').nth(1)?.parse().ok()?;
        Some(Answer {
            status,
            retry_after,
            body,
        })
    }
}
