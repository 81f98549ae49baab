//! Calls to the store and the cloud, over a few connections each.

use crate::controller::events::Input;
use crate::http::{Decoder, Message, Side};
use crate::ids::{CallId, Time};
use crate::net::Net;
use crate::net::connections::{ANSWER_MAX, Conn, Role, open};
use crate::wire::{Call, CloudRequest, CloudResponse, StoreRequest, StoreResponse};
use crate::{http, wire};
use log::debug;
use std::net::SocketAddrV4;

const STATE_CONNS: usize = 12;
const CLOUD_CONNS: usize = 4;
/// How long answers are waited for.
const STATE_CALL_S: f64 = 2.0;
const CLOUD_CALL_S: f64 = 6.0;
const WATCH_CALL_S: f64 = wire::WATCH_MS as f64 / 1000.0 + 2.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Service {
    Store,
    Cloud,
}

/// A call to an outside service under way.
pub(super) struct Outgoing {
    pub(super) op: Op,
    pub(super) conn: Option<usize>,
    pub(super) began: Time,
    pub(super) deadline: Time,
}

pub(super) enum Op {
    Store(StoreRequest),
    Cloud(CloudRequest),
}

impl Op {
    pub(super) fn service(&self) -> Service {
        match self {
            Self::Store(_) => Service::Store,
            Self::Cloud(_) => Service::Cloud,
        }
    }

    pub(super) fn call(&self) -> Call {
        match self {
            Self::Store(op) => op.call(),
            Self::Cloud(op) => op.call(),
        }
    }

    pub(super) fn patience_s(&self) -> f64 {
        match self {
            Self::Store(StoreRequest::Watch { .. }) => WATCH_CALL_S,
            Self::Store(_) => STATE_CALL_S,
            Self::Cloud(_) => CLOUD_CALL_S,
        }
    }

    pub(super) fn no_answer(&self, call: CallId) -> Input {
        match self {
            Self::Store(_) => Input::Store(call, StoreResponse::NoResponse),
            Self::Cloud(_) => Input::Cloud(call, CloudResponse::NoResponse),
        }
    }

    pub(super) fn reply(&self, call: CallId, message: &Message) -> Input {
        let status = message.status().unwrap_or(0);
        match self {
            Self::Store(op) => Input::Store(call, op.reply(status, &message.body)),
            Self::Cloud(op) => Input::Cloud(call, op.reply(status, &message.body)),
        }
    }
}

impl Net {
    pub(super) fn start_call(&mut self, id: CallId, op: Op) {
        if let Op::Store(StoreRequest::Transaction { writes, .. }) = &op {
            debug!("commits {writes:?}");
        }
        let began = self.now();
        let deadline = began.after(op.patience_s());
        let service = op.service();
        let out = Outgoing {
            op,
            conn: None,
            began,
            deadline,
        };
        self.calls.insert(id, out);
        self.deadlines.insert((deadline, id));
        self.queued.entry(service).or_default().push_back(id);
        self.start_queued(service);
    }

    pub(super) fn start_queued(&mut self, service: Service) {
        let most = match service {
            Service::Store => STATE_CONNS,
            Service::Cloud => CLOUD_CONNS,
        };
        loop {
            let Some(id) = self.queued.entry(service).or_default().front().copied() else {
                return;
            };
            if !self.calls.contains_key(&id) {
                self.queued.entry(service).or_default().pop_front();
                continue;
            }
            let idle = self.idle.entry(service).or_default().pop();
            let key = match idle {
                Some(key) => key,
                None if *self.open.entry(service).or_default() >= most => return,
                None => match self.connect(service) {
                    Some(key) => key,
                    None => {
                        self.queued.entry(service).or_default().pop_front();
                        self.finish_call(id, None);
                        continue;
                    }
                },
            };
            self.queued.entry(service).or_default().pop_front();
            self.send_call(key, id, service);
        }
    }

    pub(super) fn send_call(&mut self, key: usize, id: CallId, service: Service) {
        let Some(out) = self.calls.get_mut(&id) else {
            return;
        };
        out.conn = Some(key);
        let call = out.op.call();
        let host = self.address(service).to_string();
        let bytes = http::request(call.method, &call.path, &host, call.body.as_deref());
        if let Some(Conn {
            role: Role::Client { call, .. },
            ..
        }) = self.conns.get_mut(&key)
        {
            *call = Some(id);
        }
        if !self.send(key, &bytes) {
            self.close(key);
        }
    }

    pub(super) fn address(&self, service: Service) -> SocketAddrV4 {
        match service {
            Service::Store => self.settings.platform.services.state,
            Service::Cloud => self.settings.platform.services.cloud,
        }
    }

    pub(super) fn connect(&mut self, service: Service) -> Option<usize> {
        let stream = open(self.address(service)).ok()?;
        let role = Role::Client {
            service,
            decoder: Decoder::new(Side::Response, ANSWER_MAX),
            call: None,
        };
        let key = self.add(stream, role)?;
        *self.open.entry(service).or_default() += 1;
        Some(key)
    }

    pub(super) fn free_client(&mut self, key: usize) {
        let Some(Conn {
            role: Role::Client { service, .. },
            ..
        }) = self.conns.get(&key)
        else {
            return;
        };
        let service = *service;
        self.idle.entry(service).or_default().push(key);
        self.start_queued(service);
    }

    /// Hands the controller the answer to a call, or word that there is none.
    pub(super) fn finish_call(&mut self, id: CallId, message: Option<&Message>) {
        let Some(out) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(out.deadline, id));
        if matches!(out.op, Op::Store(StoreRequest::Transaction { .. })) {
            self.gauge.commit(self.now().since(out.began));
        }
        if message.is_some_and(|m| matches!(m.status(), Some(429 | 503))) {
            self.gauge.refused();
        }
        self.inputs.push_back(match message {
            Some(message) => out.op.reply(id, message),
            None => out.op.no_answer(id),
        });
    }

    /// Ends a call whose answer nobody waits for.
    pub(super) fn end_call(&mut self, id: CallId) {
        let Some(out) = self.calls.remove(&id) else {
            return;
        };
        self.deadlines.remove(&(out.deadline, id));
        if let Some(key) = out.conn {
            self.close(key);
        }
    }
}
