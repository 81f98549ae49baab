//! How a worker's heartbeat reaches the owner of its machine's shard, and what keeps workers alive
//! when it can't.
//!
//! A worker sends its heartbeats to a controller of its own zone, which forwards them to the owner, and
//! the owner's responses back. When the zone is partitioned, or the owner has ended, the worker needn't
//! look for another controller while its lease runs: its own controller answers in the owner's place
//! ("keepalive"), under the token that it knows and without starts.
//!
//! Why that is safe. Such a response gives a worker nothing but time, and stops what is cancelled.
//! Time breaks two things only. A lease proves a task gone only once the zone's other controllers
//! have said that they kept nobody alive while it ran out (`no_keepalive_by_peers`). And a user is
//! told of a cancellation only once every task is proven gone (`api`), so no bound runs against a
//! worker that nobody with a fresh mirror reaches.

use crate::controller::context::{BATCH_MS, Context, RECENT_S};
use crate::controller::events::{Output, Reply};
use crate::controller::stable_hash::stable_hash;
use crate::controller::{Controller, ShardOwner};
use crate::ids::{ControllerId, FencingToken, MachineId, RequestId, TaskId, Time};
use crate::peer::{ForwardedHeartbeat, ForwardedResponse, Message, PeerHeartbeat};
use crate::settings::Peer;
use crate::wire::{Command, TaskStatus, WorkerHeartbeat, commands_body, redirect_body};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A heartbeat whose machine's owner is down.
#[derive(Debug)]
struct OwnerlessHeartbeat {
    request_id: RequestId,
    heartbeat: WorkerHeartbeat,
    since: Time,
    /// The owner that it was forwarded to without a response.
    tried: Option<ControllerId>,
}

/// How long such a heartbeat waits at most, in seconds. Workers wait for 4 s. How many do at
/// once is bounded by the connections on which they came.
const OWNERLESS_MAX_S: f64 = 3.8;
/// A heartbeat forwarded is answered here when no answer came this long after the time
/// for which the owner may hold it.
const FORWARD_GRACE_S: f64 = 0.9;
/// Heartbeats with more tasks don't fit into a message to a peer; their workers go to
/// the owner themselves.
const FORWARDED_TASKS_MAX: usize = 200;
/// An owner that refuses connections for this much longer than a takeover takes isn't
/// down: only the controllers can't reach it, and workers are sent there.
pub(crate) const TAKEOVER_MARGIN_S: f64 = 1.5;
/// Pause between two workers redirected to a controller that hears no worker yet.
const PROBE_PAUSE_S: f64 = 2.0;

/// A heartbeat that was forwarded to its owner.
#[derive(Debug)]
struct ForwardedOut {
    to: ControllerId,
    heartbeat: WorkerHeartbeat,
    since: Time,
}

impl ForwardedOut {
    /// The heartbeat, now that its owner didn't answer it.
    fn ownerless(self, request_id: RequestId) -> OwnerlessHeartbeat {
        OwnerlessHeartbeat {
            request_id,
            heartbeat: self.heartbeat,
            since: self.since,
            tried: Some(self.to),
        }
    }
}

/// A heartbeat that a peer forwarded: which of its processes, and which request there.
#[derive(Debug)]
struct ForwardedIn {
    from: ControllerId,
    incarnation: u64,
    request_id: RequestId,
}

/// The heartbeats on their way between controllers.
#[derive(Debug, Default)]
pub(crate) struct Forwarding {
    /// Heartbeats that were forwarded from here, by their request.
    out: BTreeMap<RequestId, ForwardedOut>,
    /// Heartbeats that peers forwarded here, by the number that they were given here.
    forwarded_in: HashMap<RequestId, ForwardedIn>,
    forwarded_in_count: u64,
    /// Heartbeats to be forwarded together, and when.
    batched: Vec<(ControllerId, Box<ForwardedHeartbeat>)>,
    batched_until: Option<Time>,
    /// Heartbeats that wait until an owner is known.
    ownerless: VecDeque<OwnerlessHeartbeat>,
    /// When this process last answered in an owner's place; at first its start.
    pub(crate) last_keepalive: Option<Time>,
    /// When a worker was last redirected to a controller that hears no worker yet.
    probes: BTreeMap<ControllerId, Time>,
    /// Workers sent to a safer controller of this zone, and when.
    redirected: BTreeMap<MachineId, Time>,
}

/// A worker that came back after it was sent to a safer controller is kept for so many leases.
const REDIRECTED_KEPT_LEASES: f64 = 6.0;

/// One of several controllers for a machine, the same each time.
fn pick_by_name<'a>(
    id: &MachineId,
    controller_ids: &[&'a ControllerId],
) -> Option<&'a ControllerId> {
    let at = stable_hash(id.as_str()) % controller_ids.len().max(1) as u64;
    controller_ids.get(at as usize).copied()
}

/// Forwarded requests are numbered apart from those that come on connections.
const FORWARDED_REQUESTS: u64 = 1 << 62;

impl Forwarding {
    /// When the heartbeats gathered so far are to be forwarded.
    pub(crate) fn batched_until(&self) -> Option<Time> {
        self.batched_until
    }

    /// The peer that forwarded a heartbeat.
    pub(crate) fn forwarder(&self, request_id: RequestId) -> Option<ControllerId> {
        self.forwarded_in.get(&request_id).map(|g| g.from.clone())
    }
}

/// The owned shard to which a machine belongs.
fn owner_of_machine<'a>(
    shards: &'a mut BTreeMap<u32, ShardOwner>,
    id: &MachineId,
) -> Option<&'a mut ShardOwner> {
    let listed = shards
        .iter()
        .find(|(_, shard)| shard.machines.contains_key(id));
    let whole = || shards.iter().find(|(_, shard)| shard.is_only_shard);
    let found = listed.or_else(whole).map(|(shard, _)| *shard);
    shards.get_mut(&found?)
}

impl Controller {
    /// A worker reports here: its heartbeat is answered, forwarded, or the worker is redirected.
    pub(crate) fn on_worker_heartbeat(
        &mut self,
        request_id: RequestId,
        heartbeat: WorkerHeartbeat,
    ) {
        self.context.last_worker_heartbeat = self.context.now;
        let id = MachineId::from(heartbeat.machine.as_str());
        if let Some(preferred) = self.context.preferred_controller(&id, &heartbeat) {
            return self
                .context
                .answer(request_id, Reply::ok(421, redirect_body(Some(&preferred))));
        }
        if let Some(shard) = owner_of_machine(&mut self.shards, &id) {
            return shard.on_heartbeat(&mut self.context, request_id, &id, heartbeat);
        }
        self.context.note_unassigned(&id, &heartbeat);
        self.context.forward(request_id, heartbeat);
    }

    pub(crate) fn forwarding_housekeeping(&mut self) {
        let kept_s = REDIRECTED_KEPT_LEASES * self.context.settings.platform.facts.workers.lease_s;
        let now = self.context.now;
        let redirected = &mut self.context.forwarding.redirected;
        redirected.retain(|_, at| now.since(*at) < kept_s);
        for ownerless in std::mem::take(&mut self.context.forwarding.ownerless) {
            let id = MachineId::from(ownerless.heartbeat.machine.as_str());
            let held = owner_of_machine(&mut self.shards, &id).is_some();
            let owner = self.context.owner_for(&ownerless);
            if held || owner.is_some_and(|h| self.context.reachable(&h)) {
                self.on_worker_heartbeat(ownerless.request_id, ownerless.heartbeat);
            } else {
                self.context.without_owner(ownerless);
            }
        }
        let patience = self.context.settings.long_poll_s(false) + FORWARD_GRACE_S;
        let late = self.context.forwarding.out.iter().filter(|(_, r)| {
            self.context.now.since(r.since) > patience
                || !self.context.heartbeat_fresh(&r.to)
                || !self.context.linked(&r.to)
        });
        let late: Vec<RequestId> = late.map(|(request_id, _)| *request_id).collect();
        for request_id in late {
            if let Some(r) = self.context.forwarding.out.remove(&request_id) {
                self.context.without_owner(r.ownerless(request_id));
            }
        }
    }

    /// A peer forwards a heartbeat of one of its workers.
    pub(crate) fn on_forwarded_heartbeat(&mut self, forwarded: ForwardedHeartbeat) {
        if !self.context.is_peer(&forwarded.from) {
            return;
        }
        self.context.forwarding.forwarded_in_count += 1;
        let request_id = RequestId(FORWARDED_REQUESTS + self.context.forwarding.forwarded_in_count);
        let pending = ForwardedIn {
            from: forwarded.from.clone(),
            incarnation: forwarded.incarnation,
            request_id: RequestId(forwarded.request_id),
        };
        self.context
            .forwarding
            .forwarded_in
            .insert(request_id, pending);
        let heartbeat = forwarded.report();
        let id = MachineId::from(heartbeat.machine.as_str());
        match owner_of_machine(&mut self.shards, &id) {
            Some(shard) => shard.on_heartbeat(&mut self.context, request_id, &id, heartbeat),
            None => self
                .context
                .answer(request_id, Reply::ok(421, redirect_body(None))),
        }
    }
}

impl Context {
    /// The controller of a worker's own zone to which it had better heartbeat. One that
    /// hears nobody yet gets workers one by one: if they can't reach it, the others
    /// mustn't lose half a lease by trying.
    fn preferred_controller(
        &mut self,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<ControllerId> {
        if heartbeat.tasks.len() > FORWARDED_TASKS_MAX || self.unanswered(id, heartbeat) {
            return None;
        }
        if heartbeat.zone == self.settings.platform.site {
            return self.safer_controller(id);
        }
        let local = self.forwarders_in(&heartbeat.zone);
        let safe: Vec<&ControllerId> = local.iter().filter(|m| self.has_next(m)).copied().collect();
        let local = if safe.is_empty() { local } else { safe };
        let preferred = pick_by_name(id, &local)?.clone();
        let heard = self
            .peers
            .heartbeats
            .get(&preferred)
            .is_some_and(|(h, _)| h.hears_workers);
        let trial = self.forwarding.probes.get(&preferred);
        if !heard && trial.is_some_and(|at| self.now.since(*at) < PROBE_PAUSE_S) {
            return None;
        }
        self.forwarding.probes.insert(preferred.clone(), self.now);
        Some(preferred)
    }

    /// Whether a worker wasn't answered yet by the present owner of its shard: its lease counts
    /// from an answer of an earlier one, and may be about to end. It is answered first and sent
    /// elsewhere later.
    fn unanswered(&self, id: &MachineId, heartbeat: &WorkerHeartbeat) -> bool {
        let shard = self.store.mirror.shard_of_machine(id);
        shard.is_some_and(|(_, record)| heartbeat.token < record.token.0)
    }

    /// Another controller of this zone for a worker that would find nobody if this one fell
    /// silent: the next one that it would try has been silent for long, and the two tries take
    /// as long as its lease. Two controllers of three silent at once cost 95 machines their
    /// tasks. Each worker is sent away once, should the controllers disagree on who is silent.
    fn safer_controller(&mut self, id: &MachineId) -> Option<ControllerId> {
        let platform = &self.settings.platform;
        if self.has_next(&platform.controller_id) || self.forwarding.redirected.contains_key(id) {
            return None;
        }
        let local = self.forwarders_in(&platform.site);
        let safe: Vec<&ControllerId> = local.into_iter().filter(|m| self.has_next(m)).collect();
        let preferred = pick_by_name(id, &safe)?.clone();
        self.forwarding.redirected.insert(id.clone(), self.now);
        Some(preferred)
    }

    /// Controllers of a zone, besides this one, that can forward heartbeats.
    fn forwarders_in<'a>(&'a self, zone: &'a str) -> Vec<&'a ControllerId> {
        let relaying = |s: &&Peer| {
            let heartbeat = self.peers.heartbeats.get(&s.controller_id).map(|(h, _)| h);
            self.linked(&s.controller_id) && heartbeat.is_some_and(|h| h.can_forward)
        };
        let local = self.peers_in(zone).filter(relaying);
        local.map(|s| &s.controller_id).collect()
    }

    /// Whether the controller that workers try after this one, in the order of the names, has
    /// been heard lately.
    fn has_next(&self, controller_id: &ControllerId) -> bool {
        let platform = &self.settings.platform;
        let order = |m: &ControllerId| (m.as_str().len(), m.0.clone());
        let peers = platform.peers.iter().map(|s| &s.controller_id);
        let all = peers.chain([&platform.controller_id]);
        // The first one behind it or, behind the last, the first of all.
        let next = all.min_by_key(|m| (order(m) <= order(controller_id), order(m)));
        let lease_s = platform.facts.workers.lease_s;
        let silent = |(_, at): &(PeerHeartbeat, Time)| self.now.since(*at) > lease_s;
        !next
            .and_then(|m| self.peers.heartbeats.get(m))
            .is_some_and(silent)
    }

    /// Hands a heartbeat on to its owner, or does what can be done without it.
    fn forward(&mut self, request_id: RequestId, heartbeat: WorkerHeartbeat) {
        let id = MachineId::from(heartbeat.machine.as_str());
        let owner = self.owner_of(&id);
        let reached = owner.filter(|h| self.reachable(h));
        match reached {
            Some(to) if self.linked(&to) && heartbeat.tasks.len() <= FORWARDED_TASKS_MAX => {
                let forwarded = ForwardedHeartbeat::new(
                    &self.settings.platform.controller_id,
                    self.incarnation,
                    request_id,
                    &heartbeat,
                );
                let batched = (to.clone(), Box::new(forwarded));
                self.forwarding.batched.push(batched);
                let until = self.now.next_multiple(BATCH_MS);
                self.forwarding.batched_until.get_or_insert(until);
                let since = self.now;
                self.forwarding.out.insert(
                    request_id,
                    ForwardedOut {
                        to,
                        heartbeat,
                        since,
                    },
                );
            }
            Some(to) if heartbeat.tasks.len() > FORWARDED_TASKS_MAX => {
                self.answer(request_id, Reply::ok(421, redirect_body(Some(&to))));
            }
            _ => {
                let since = self.now;
                self.without_owner(OwnerlessHeartbeat {
                    request_id,
                    heartbeat,
                    since,
                    tried: None,
                });
            }
        }
    }

    /// Forwards the heartbeats that were gathered, once their time has come.
    pub(crate) fn send_batched_forwards(&mut self) {
        if self.forwarding.batched_until.is_none_or(|at| self.now < at) {
            return;
        }
        self.forwarding.batched_until = None;
        for (to, heartbeat) in std::mem::take(&mut self.forwarding.batched) {
            let message = Message::ForwardedHeartbeat(heartbeat);
            self.outbox.send_to_peer(Some(to), message);
        }
    }

    /// Answers a heartbeat in its owner's place, or keeps it for a while.
    fn without_owner(&mut self, ownerless: OwnerlessHeartbeat) {
        if let Some(reply) = self.keepalive_for_owner(&ownerless.heartbeat) {
            self.forwarding.last_keepalive = Some(self.now);
            return self.answer(ownerless.request_id, reply);
        }
        let id = MachineId::from(ownerless.heartbeat.machine.as_str());
        let known = self.owner_for(&ownerless).is_some();
        let waited = self.now.since(ownerless.since) >= OWNERLESS_MAX_S;
        let starting = !self.store.initial_list_done();
        let sockets = self.settings.platform.facts.resources.max_sockets;
        let full = self.forwarding.ownerless.len() >= sockets;
        // An owner that takes over says so here only if somebody is heard here: a worker whose
        // heartbeat waited at a controller that was partitioned from the others lost its lease.
        let alone = self.peers_unreachable() && self.age_s() > RECENT_S;
        if known || waited || full || alone || (self.is_stale() && !starting) {
            return self.redirect(ownerless.request_id, &id);
        }
        // While the owner is down, a worker that is sent there, or on to the next
        // node, loses a second each time.
        self.forwarding.ownerless.push_back(ownerless);
    }

    /// The owner that a kept heartbeat's worker can be sent to. One that didn't answer when the
    /// heartbeat was handed to it seems to run until its next message is missed: workers that
    /// were sent there waited for 5 s, and then for another 5 s where it had sent them before.
    fn owner_for(&self, ownerless: &OwnerlessHeartbeat) -> Option<ControllerId> {
        let owner = self.owner_of(&MachineId::from(ownerless.heartbeat.machine.as_str()))?;
        let runs = self.reachable(&owner) && ownerless.tried.as_ref() != Some(&owner);
        (runs || self.refuses_connections(&owner)).then_some(owner)
    }

    /// The answer that keeps a worker of this controller's own zone alive while its
    /// owner can't be reached: no starts, but stops for what is cancelled or over.
    fn keepalive_for_owner(&self, heartbeat: &WorkerHeartbeat) -> Option<Reply> {
        let id = MachineId::from(heartbeat.machine.as_str());
        if heartbeat.zone != self.settings.platform.site {
            return None;
        }
        let is_stale = self.is_stale();
        let shard = self.store.mirror.shard_of_machine(&id);
        let record = shard.map(|(_, record)| record);
        if record.is_some_and(|b| self.refuses_connections(&b.owner)) {
            return None;
        }
        // A process that began in a zone that is partitioned knows no token, or an old one.
        // The worker's own tells it nothing that it doesn't know, and gives it time.
        let known = record.map(|b| b.token).filter(|n| n.0 >= heartbeat.token);
        let own = Some(FencingToken(heartbeat.token)).filter(|n| is_stale && n.0 > 0);
        let token = known.or(own)?;
        // A job that isn't known here may be newer than what is: only one whose end is known is
        // over. Tasks that the owner had started just before it ended were stopped here, since the
        // follow hadn't brought their jobs yet, and started again by its successor.
        let over = |task: &TaskId| match self.store.mirror.jobs.get(&task.job) {
            Some(job) => job.cancelled.is_some(),
            None => self.store.mirror.ending(&task.job).is_some(),
        };
        let halts = heartbeat.tasks.iter().filter_map(|t| {
            let task = TaskId::parse(&t.task)?;
            let runs = t.status != TaskStatus::Ended;
            (runs && over(&task)).then(|| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
        });
        let halts: Vec<Command> = halts.collect();
        Some(Reply::ok(200, commands_body(token, &halts)))
    }

    /// Sends a worker to its shard's owner, if it is known.
    pub(crate) fn redirect(&mut self, request_id: RequestId, machine: &MachineId) {
        let owner = self.owner_of(machine);
        let owner = owner.filter(|h| self.surely_runs(h));
        self.answer(request_id, Reply::ok(421, redirect_body(owner.as_ref())));
    }

    /// Whether an owner runs for sure: it was heard just now or, where it hasn't been for
    /// longer than a takeover takes, its record stands all the same. Workers sent to one that
    /// is dead lose half of their lease.
    fn surely_runs(&self, owner: &ControllerId) -> bool {
        let takeover_s = self.settings.tuning.leader_lease_s + TAKEOVER_MARGIN_S;
        let heard = self.peers.heartbeats.get(owner).map(|(_, at)| *at);
        let peers_unreachable = heard.is_none_or(|at| self.now.since(at) > takeover_s);
        self.heartbeat_fresh(owner) || peers_unreachable && !self.is_stale()
    }

    /// The owner's answer to a heartbeat that was forwarded to it.
    pub(crate) fn on_forwarded_response(&mut self, answer: ForwardedResponse) {
        let request_id = RequestId(answer.request_id);
        if answer.incarnation != self.incarnation {
            return;
        }
        let Some(forwarded) = self.forwarding.out.remove(&request_id) else {
            return;
        };
        if answer.status == 421 {
            // It doesn't hold the shard any more; who does is soon known here.
            return self.without_owner(forwarded.ownerless(request_id));
        }
        let reply = Reply {
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after,
        };
        self.answer(request_id, reply);
    }

    pub(crate) fn answer(&mut self, request_id: RequestId, reply: Reply) {
        let Some(forwarded) = self.forwarding.forwarded_in.remove(&request_id) else {
            return self.outbox.push(Output::Answer(request_id, reply));
        };
        let answer = ForwardedResponse {
            incarnation: forwarded.incarnation,
            request_id: forwarded.request_id.0,
            status: reply.status,
            body: reply.body,
            retry_after: reply.retry_after,
        };
        let message = Message::ForwardedResponse(answer);
        self.outbox.send_to_peer(Some(forwarded.from), message);
    }

    pub(crate) fn forget_heartbeat(&mut self, request_id: RequestId) {
        self.forwarding
            .ownerless
            .retain(|l| l.request_id != request_id);
        self.forwarding.out.remove(&request_id);
    }
}
