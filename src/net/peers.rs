//! Messages between controllers.

use super::Net;
use super::connections::{Conn, Role, open};
use crate::core::{Input, Link};
use crate::ids::Member;
use crate::peer;
use log::warn;
use std::io::ErrorKind;

const CONNECT_PEER_S: f64 = 1.0;

impl Net {
    /// Notes whether a connection to a sibling was made or refused.
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

    pub(super) fn hellos(&mut self, key: usize) -> bool {
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

    /// Sends to one sibling, or to all.
    pub(super) fn say(&mut self, to: Option<&Member>, bytes: &[u8]) {
        let now = self.now();
        let siblings = self.settings.platform.siblings.clone();
        for s in siblings {
            if to.is_some_and(|to| *to != s.member) {
                continue;
            }
            let key = match self.peers.get(&s.member) {
                Some(key) => *key,
                None => {
                    let retry = self.peer_retry.get(&s.member);
                    if retry.is_some_and(|t| now < *t) {
                        continue;
                    }
                    let wait = now.after(CONNECT_PEER_S);
                    self.peer_retry.insert(s.member.clone(), wait);
                    let to = s.member.clone();
                    let opened = open(s.endpoint);
                    if let Err(e) = &opened {
                        let refused = e.kind() == ErrorKind::ConnectionRefused;
                        let link = if refused { Link::Refused } else { Link::Lost };
                        self.inputs.push_back(Input::Link(to.clone(), link));
                    }
                    let role = Role::PeerOut { to, made: false };
                    match opened.ok().and_then(|o| self.add(o, role)) {
                        Some(key) => {
                            self.peers.insert(s.member.clone(), key);
                            key
                        }
                        None => continue,
                    }
                }
            };
            if self.send(key, bytes) {
                self.gauge.sent_to_sibling(bytes.len());
                // A connection that was made at once takes all of the first message, and never
                // becomes writable again: its sibling stayed down for good after a restart.
                self.check_link(key);
            } else {
                self.close(key);
            }
        }
    }
}
