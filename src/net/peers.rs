//! Messages between controllers.

use crate::controller::events::{Input, Link};
use crate::ids::ControllerId;
use crate::net::Net;
use crate::net::connections::{Conn, Role, open};
use crate::peer;
use log::warn;
use std::io::ErrorKind;
use std::net::SocketAddrV4;

const CONNECT_PEER_S: f64 = 1.0;

impl Net {
    /// Notes whether a connection to a peer was made or refused.
    pub(super) fn check_link(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        let Role::PeerOut { to, made } = &mut conn.role else {
            return;
        };
        if *made {
            return;
        }
        match conn.stream.take_error() {
            Ok(None) if conn.stream.peer_addr().is_ok() => {
                *made = true;
                self.inputs.push_back(Input::Link(to.clone(), Link::Up));
            }
            Ok(Some(e)) => conn.refused = e.kind() == ErrorKind::ConnectionRefused,
            _ => {}
        }
    }

    pub(super) fn heartbeats(&mut self, key: usize) -> bool {
        let Some(Conn {
            role: Role::PeerIn { buf },
            ..
        }) = self.conns.get_mut(&key)
        else {
            return true;
        };
        loop {
            match peer::unframe(buf) {
                Ok(Some(message)) => self.inputs.push_back(Input::Peer(message)),
                Ok(None) => return true,
                Err(why) => {
                    warn!("a sibling's connection is dropped: {why}");
                    return false;
                }
            }
        }
    }

    /// Queues a message to one peer, or to all. It is written at the end of the turn, so that
    /// all that goes to a peer then is one write.
    pub(super) fn say(&mut self, to: Option<&ControllerId>, bytes: &[u8]) {
        for index in 0..self.settings.platform.peers.len() {
            let peer = &self.settings.platform.peers[index];
            if to.is_some_and(|to| *to != peer.controller_id) {
                continue;
            }
            let (controller_id, endpoint) = (peer.controller_id.clone(), peer.endpoint);
            let Some(key) = self.peer_link(&controller_id, endpoint) else {
                continue;
            };
            if self.queue(key, bytes) {
                self.gauge.sent_to_peer(bytes.len());
                self.unflushed.insert(key);
            } else {
                self.close(key);
            }
        }
    }

    /// The connection to a peer; begins one if there is none and none was tried just now.
    fn peer_link(&mut self, controller_id: &ControllerId, endpoint: SocketAddrV4) -> Option<usize> {
        if let Some(key) = self.peers.get(controller_id) {
            return Some(*key);
        }
        let now = self.now();
        let retry = self.peer_retry.get(controller_id);
        if retry.is_some_and(|at| now < *at) {
            return None;
        }
        let next_try = now.after(CONNECT_PEER_S);
        self.peer_retry.insert(controller_id.clone(), next_try);
        let opened = open(endpoint);
        if let Err(e) = &opened {
            let refused = e.kind() == ErrorKind::ConnectionRefused;
            let link = if refused { Link::Refused } else { Link::Lost };
            self.inputs
                .push_back(Input::Link(controller_id.clone(), link));
        }
        let role = Role::PeerOut {
            to: controller_id.clone(),
            made: false,
        };
        let key = self.add(opened.ok()?, role)?;
        self.peers.insert(controller_id.clone(), key);
        Some(key)
    }

    /// Writes what was queued for peers in this turn.
    pub(super) fn flush_peers(&mut self) {
        for key in std::mem::take(&mut self.unflushed) {
            if self.flush(key) {
                // A connection that was made at once takes all of the first message, and never
                // becomes writable again: its peer stayed down for good after a restart.
                self.check_link(key);
            } else {
                self.close(key);
            }
        }
    }
}
