//! Requests of users, workers and health checks, and their answers.

use crate::controller::events::{Input, Reply, Request};
use crate::http::{Decoder, HttpError, Message, Side};
use crate::ids::{JobId, RequestId};
use crate::net::Net;
use crate::net::connections::{Conn, Role, WORKER_SHARE};
use crate::{http, wire};

/// When a worker that was refused for want of sockets had better come back, in seconds.
const REFUSED_RETRY_S: u32 = 1;

impl Net {
    /// Takes whole messages off a connection; false when it is to be closed.
    pub(super) fn messages(&mut self, key: usize) -> bool {
        loop {
            let Some(conn) = self.conns.get_mut(&key) else {
                return true;
            };
            match &mut conn.role {
                Role::Server {
                    decoder, pending, ..
                } => {
                    // Nobody pipelines here; what comes early waits, within a bound.
                    if pending.is_some() {
                        return !decoder.overfull();
                    }
                    match decoder.next_message() {
                        Ok(Some(message)) => self.request(key, &message),
                        Ok(None) => return true,
                        Err(error) => {
                            self.refuse(key, error);
                            return true;
                        }
                    }
                }
                Role::Client { decoder, call, .. } => match (decoder.next_message(), *call) {
                    (Ok(Some(message)), Some(id)) => {
                        *call = None;
                        let close = message.close;
                        self.finish_call(id, Some(&message));
                        if close {
                            return false;
                        }
                        self.free_client(key);
                        return true;
                    }
                    (Ok(None), _) => return true,
                    _ => return false,
                },
                _ => return true,
            }
        }
    }

    pub(super) fn request(&mut self, key: usize, message: &Message) {
        let path = message.start[1].split('?').next().unwrap_or("");
        let mut ask = route(&message.start[0], path, &message.body);
        let mut close = message.close;
        let full = self.workers as f64 >= self.room() as f64 * WORKER_SHARE;
        if let Some(Conn {
            role: Role::Server {
                close: c, worker, ..
            },
            ..
        }) = self.conns.get_mut(&key)
        {
            let reports = matches!(ask, Ok(Request::Heartbeat(_)));
            if reports && !*worker && full {
                (ask, close) = (Err((503, "too many workers")), true);
            } else if reports && !*worker {
                *worker = true;
                self.workers += 1;
            }
            *c |= close;
        }
        match ask {
            Ok(ask) => {
                self.next_req += 1;
                let request_id = RequestId(self.next_req);
                if let Some(Conn {
                    role: Role::Server { pending, .. },
                    ..
                }) = self.conns.get_mut(&key)
                {
                    *pending = Some(request_id);
                }
                self.requests.insert(request_id, key);
                self.inputs.push_back(Input::Request(request_id, ask));
            }
            Err((status, why)) => {
                let later = (status == 503).then_some(REFUSED_RETRY_S);
                let bytes = http::response(status, later, close, &wire::error_body(why));
                if !self.send(key, &bytes) {
                    self.close(key);
                }
            }
        }
    }

    /// Answers what can't be read, and closes: where the next message would begin
    /// isn't known any more.
    pub(super) fn refuse(&mut self, key: usize, error: HttpError) {
        let status = match error {
            HttpError::Malformed => 400,
            HttpError::TooLarge => 413,
        };
        if let Some(Conn {
            role: Role::Server { close, decoder, .. },
            ..
        }) = self.conns.get_mut(&key)
        {
            *close = true;
            *decoder = Decoder::new(Side::Request, 0);
        }
        let body = wire::error_body(&error.to_string());
        let bytes = http::response(status, None, true, &body);
        if !self.send(key, &bytes) {
            self.close(key);
        }
    }

    pub(super) fn answer(&mut self, request_id: RequestId, reply: &Reply) {
        let Some(key) = self.requests.remove(&request_id) else {
            return;
        };
        let Some(Conn {
            role: Role::Server { pending, close, .. },
            ..
        }) = self.conns.get_mut(&key)
        else {
            return;
        };
        *pending = None;
        let bytes = http::response(reply.status, reply.retry_after, *close, &reply.body);
        if !self.send(key, &bytes) || !self.messages(key) {
            self.close(key);
        }
    }
}

/// What a request asks, or the status that refuses it.
fn route(method: &str, path: &str, body: &[u8]) -> Result<Request, (u16, &'static str)> {
    let want = |m: &str, ask: Request| {
        let right = m == method;
        right.then_some(ask).ok_or((405, "wrong method"))
    };
    match path {
        "/up" => return want("GET", Request::Up),
        "/work" if method == "POST" => return Ok(Request::Submit(wire::submission(body))),
        "/agent/beat" if method == "POST" => {
            let report = wire::decode(body).ok_or((400, "not a report"))?;
            return Ok(Request::Heartbeat(report));
        }
        "/work" | "/agent/beat" => return Err((405, "wrong method")),
        _ => {}
    }
    let rest = path.strip_prefix("/work/").ok_or((404, "no such path"))?;
    let (id, withdraw) = match rest.strip_suffix("/withdraw") {
        Some(id) => (id, true),
        None => (rest, false),
    };
    let id = JobId::parse(id).ok_or((404, "no such job"))?;
    if withdraw {
        want("POST", Request::Cancel(id))
    } else {
        want("GET", Request::Poll(id))
    }
}
