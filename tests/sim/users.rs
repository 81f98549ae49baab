//! Users: submit, ask, cancel, and try again as PROTOCOL says they do.

use super::checker::Said;
use super::world::{Ev, Origin, Spec, World};
use salttrestle::core::{Ask, Input, Reply};
use salttrestle::ids::JobId;
use salttrestle::wire;
use serde::Deserialize;

const POLL_MS: u64 = 5000;
const POLL_WAIT_MS: u64 = 2000;
const WAIT_MS: u64 = 5000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    Submit,
    Poll,
    Withdraw,
}

#[derive(Deserialize)]
struct StanceBody {
    stance: String,
}

impl World {
    pub fn user(&mut self, id: &JobId, wish: Wish) {
        let wait = if wish == Wish::Poll {
            POLL_WAIT_MS
        } else {
            WAIT_MS
        };
        let ask = match wish {
            Wish::Submit => {
                let Some(spec) = self.specs.get(id) else {
                    return;
                };
                Ask::Submit(wire::submission(&spec.body))
            }
            Wish::Poll => Ask::Poll(id.clone()),
            Wish::Withdraw => {
                self.checker.cancel_asked(id);
                Ask::Withdraw(id.clone())
            }
        };
        let req = self.request(Origin::User(id.clone(), wish));
        self.after(wait, Ev::UserTimeout(req.0));
        // The balancer passes over nodes that don't answer `/up`.
        let alive: Vec<usize> = (0..self.nodes.len())
            .filter(|n| self.nodes[*n].core.is_some())
            .collect();
        if alive.is_empty() {
            return;
        }
        let pick = self.random(alive.len() as u64) as usize;
        self.send(alive[pick], Input::Ask(req, ask));
    }

    /// A user got an answer, or gave up waiting for one.
    pub fn user_answer(&mut self, id: JobId, wish: Wish, reply: Option<Reply>) {
        let now = self.now;
        let status = reply.as_ref().map_or(0, |r| r.status);
        self.statuses
            .entry((id.clone(), status))
            .and_modify(|n| *n += 1)
            .or_insert(1);
        if let Some(r) = &reply {
            let needs = matches!(r.status, 429 | 503);
            if needs && r.retry_after.is_none() {
                let what = format!("{} without Retry-After", r.status);
                self.checker.broken.push(what);
            }
        }
        let said = match (&reply, status) {
            (Some(r), 200 | 201) => match wire::decode::<StanceBody>(&r.body) {
                Some(b) => match b.stance.as_str() {
                    "queued" => Some(Said::Queued),
                    "running" => Some(Said::Running),
                    "done" => Some(Said::Done),
                    "withdrawn" => Some(Said::Withdrawn),
                    _ => None,
                },
                None => None,
            },
            (_, 404) => Some(Said::Unknown),
            (_, 400 | 422) => Some(Said::Refused),
            _ => None,
        };
        if let Some(said) = said {
            self.checker.said(now, &id, said);
            self.answered.insert(id.clone(), now);
        }
        let over = matches!(said, Some(Said::Done | Said::Withdrawn | Said::Refused));
        match wish {
            Wish::Submit if said.is_some() && !over => {
                self.after(POLL_MS, Ev::User(id, Wish::Poll));
            }
            Wish::Poll if !over => self.after(POLL_MS, Ev::User(id, Wish::Poll)),
            Wish::Submit | Wish::Withdraw if said.is_none() => {
                let pause = reply.and_then(|r| r.retry_after).unwrap_or(1).clamp(1, 30);
                self.after(u64::from(pause) * 1000, Ev::User(id, wish));
            }
            _ => {}
        }
    }

    pub fn add_spec(&mut self, id: &JobId, spec: Spec) {
        if let Ok((_, rec)) = wire::submission(&spec.body) {
            self.checker.submitted(self.now, id, rec);
        }
        self.specs.insert(id.clone(), spec);
    }
}
