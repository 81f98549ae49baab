//! Forwarding of worker heartbeats to the owners of their machines' shards, and keepalives for
//! workers whose owner can't be reached.
//!
//! A worker sends its heartbeats to a controller of its own zone. This controller forwards them to
//! the owner, and passes the owner's responses back. When the zone is partitioned or the owner is
//! down, the worker doesn't have to look for another controller before its lease expires: the
//! controller of its zone answers in the owner's place. Such a response, a keepalive, carries the
//! token that the controller knows and no starts.
//!
//! A keepalive is safe because it only renews the worker's lease and stops cancelled or ended
//! tasks. A renewed lease can affect only two guarantees:
//! - An expired lease proves that a task no longer runs only after the zone's other controllers
//!   have confirmed that they sent no keepalive while it expired (`no_keepalive_by_peers`).
//! - A user is told of a cancellation only after every task is proven to have stopped (`api`), so
//!   no time limit applies to a worker that no controller with a fresh mirror reaches.

use crate::controller::context::{BATCH_INTERVAL_MS, Context, RECENT_HEARTBEAT_S};
use crate::controller::events::{Output, Reply};
use crate::controller::stable_hash::stable_hash;
use crate::controller::{Controller, ShardOwner};
use crate::ids::{ControllerId, FencingToken, MachineId, RequestId, TaskId, Time};
use crate::peer::{ForwardedHeartbeat, ForwardedResponse, Message, PeerHeartbeat};
use crate::settings::Peer;
use crate::wire::{Command, TaskStatus, WorkerHeartbeat, commands_body, redirect_body};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A heartbeat for whose machine no owner is known or can be reached.
#[derive(Debug)]
struct OwnerlessHeartbeat {
    request_id: RequestId,
    heartbeat: WorkerHeartbeat,
    received_at: Time,
    /// The owner to which the heartbeat was forwarded without a usable response.
    failed_owner: Option<ControllerId>,
}

/// Longest time in seconds that an ownerless heartbeat waits for an owner. It is below the 4 s for
/// which workers wait for an answer. The number of waiting heartbeats is bounded by the number of
/// connections on which they came.
const OWNERLESS_WAIT_MAX_S: f64 = 3.8;
/// Time in seconds beyond the owner's longest long poll after which a forwarded heartbeat without a
/// response counts as ownerless.
const FORWARD_GRACE_S: f64 = 0.9;
/// Maximum number of tasks in a forwarded heartbeat. Heartbeats with more don't fit into a message
/// to a peer, and their workers are redirected to the owner.
const FORWARDED_TASKS_MAX: usize = 200;
/// Margin in seconds that is added to the length of a takeover. An owner that refuses connections
/// for longer and still owns its shard isn't down, but only unreachable for other controllers.
/// Workers are redirected to it.
pub(crate) const TAKEOVER_MARGIN_S: f64 = 1.5;
/// Time in seconds between redirects of single workers to a controller that receives no worker
/// heartbeats yet.
const PROBE_INTERVAL_S: f64 = 2.0;

/// A heartbeat that was forwarded to its owner and has no response yet.
#[derive(Debug)]
struct OutgoingForward {
    to: ControllerId,
    heartbeat: WorkerHeartbeat,
    forwarded_at: Time,
}

impl OutgoingForward {
    /// Converts the forward into an ownerless heartbeat, since its owner gave no usable response.
    fn into_ownerless(self, request_id: RequestId) -> OwnerlessHeartbeat {
        OwnerlessHeartbeat {
            request_id,
            heartbeat: self.heartbeat,
            received_at: self.forwarded_at,
            failed_owner: Some(self.to),
        }
    }
}

/// The origin of a heartbeat that a peer forwarded: the peer, its process and its request.
#[derive(Debug)]
struct IncomingForward {
    from: ControllerId,
    incarnation: u64,
    request_id: RequestId,
}

/// The heartbeats that are being forwarded between controllers or wait for an owner.
#[derive(Debug, Default)]
pub(crate) struct Forwarding {
    /// Heartbeats that this controller forwarded and that have no response yet, by request id.
    outgoing: BTreeMap<RequestId, OutgoingForward>,
    /// Heartbeats that peers forwarded and that aren't answered yet, by the request id given here.
    incoming: HashMap<RequestId, IncomingForward>,
    /// Number of heartbeats that peers have forwarded to this process.
    incoming_count: u64,
    /// Heartbeats to be forwarded with the next batch.
    batched: Vec<(ControllerId, Box<ForwardedHeartbeat>)>,
    /// When the next batch is forwarded; `None` while it is empty.
    batched_until: Option<Time>,
    /// Heartbeats that wait for an owner.
    ownerless: VecDeque<OwnerlessHeartbeat>,
    /// When this process last sent a keepalive in an owner's place; initially its start.
    pub(crate) last_keepalive: Option<Time>,
    /// When a worker was last redirected to each controller of another zone, to limit redirects to
    /// controllers that receive no worker heartbeats yet.
    probed_at: BTreeMap<ControllerId, Time>,
    /// When each worker was redirected to a safer controller of this zone.
    redirected_at: BTreeMap<MachineId, Time>,
}

/// Time, in worker leases, during which a worker that was redirected to a safer controller isn't
/// redirected to one again.
const REDIRECTED_KEPT_LEASES: f64 = 6.0;

/// Picks one of several controllers for a machine: the same one each time for the same list.
fn pick_controller<'a>(
    id: &MachineId,
    controller_ids: &[&'a ControllerId],
) -> Option<&'a ControllerId> {
    let index = stable_hash(id.as_str()) % controller_ids.len().max(1) as u64;
    controller_ids.get(index as usize).copied()
}

/// First id of requests that peers forward, beyond the ids of requests that come on connections.
const FORWARDED_REQUEST_ID_BASE: u64 = 1 << 62;

impl Forwarding {
    /// Returns when the next batch of heartbeats is forwarded; `None` while it is empty.
    pub(crate) fn batched_until(&self) -> Option<Time> {
        self.batched_until
    }

    /// Returns the peer that forwarded a heartbeat; `None` if it came from its worker.
    pub(crate) fn forwarder(&self, request_id: RequestId) -> Option<ControllerId> {
        self.incoming
            .get(&request_id)
            .map(|incoming| incoming.from.clone())
    }
}

/// Returns the shard owned here that lists a machine. For a machine that none lists, returns the
/// owned shard that covers the whole fleet, if there is one.
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
    /// Processes a heartbeat that a worker sent to this controller: answers or forwards it, or
    /// redirects the worker.
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

    /// Retries or answers ownerless heartbeats, and treats forwarded heartbeats as ownerless if
    /// their owner hasn't responded in time or can't be reached.
    pub(crate) fn forwarding_housekeeping(&mut self) {
        let kept_s = REDIRECTED_KEPT_LEASES * self.context.settings.platform.facts.workers.lease_s;
        let now = self.context.now;
        let redirected_at = &mut self.context.forwarding.redirected_at;
        redirected_at.retain(|_, at| now.since(*at) < kept_s);
        for ownerless in std::mem::take(&mut self.context.forwarding.ownerless) {
            let id = MachineId::from(ownerless.heartbeat.machine.as_str());
            let is_owned_here = owner_of_machine(&mut self.shards, &id).is_some();
            let owner = self.context.usable_owner_for(&ownerless);
            if is_owned_here
                || owner.is_some_and(|owner| self.context.is_reachable_by_workers(&owner))
            {
                self.on_worker_heartbeat(ownerless.request_id, ownerless.heartbeat);
            } else {
                self.context.handle_ownerless(ownerless);
            }
        }
        let response_max_s = self.context.settings.long_poll_s(false) + FORWARD_GRACE_S;
        let failed = self
            .context
            .forwarding
            .outgoing
            .iter()
            .filter(|(_, forward)| {
                self.context.now.since(forward.forwarded_at) > response_max_s
                    || !self.context.has_recent_heartbeat(&forward.to)
                    || !self.context.is_linked(&forward.to)
            });
        let failed: Vec<RequestId> = failed.map(|(request_id, _)| *request_id).collect();
        for request_id in failed {
            if let Some(forward) = self.context.forwarding.outgoing.remove(&request_id) {
                self.context
                    .handle_ownerless(forward.into_ownerless(request_id));
            }
        }
    }

    /// Processes a heartbeat that a peer forwarded. If no shard of the machine is owned here, the
    /// response is a redirect that names no owner.
    pub(crate) fn on_forwarded_heartbeat(&mut self, forwarded: ForwardedHeartbeat) {
        if !self.context.is_peer(&forwarded.from) {
            return;
        }
        self.context.forwarding.incoming_count += 1;
        let request_id =
            RequestId(FORWARDED_REQUEST_ID_BASE + self.context.forwarding.incoming_count);
        let pending = IncomingForward {
            from: forwarded.from.clone(),
            incarnation: forwarded.incarnation,
            request_id: RequestId(forwarded.request_id),
        };
        self.context.forwarding.incoming.insert(request_id, pending);
        let heartbeat = forwarded.into_worker_heartbeat();
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
    /// Returns the controller to which a worker should send its heartbeats instead of this one: one
    /// of the worker's own zone. Workers are redirected one at a time to a controller that receives
    /// no worker heartbeats yet, since each loses half of its lease if it can't reach that
    /// controller.
    fn preferred_controller(
        &mut self,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
    ) -> Option<ControllerId> {
        if heartbeat.tasks.len() > FORWARDED_TASKS_MAX || self.is_unanswered_by_owner(id, heartbeat)
        {
            return None;
        }
        if heartbeat.zone == self.settings.platform.zone {
            return self.safer_controller(id);
        }
        let local = self.forwarders_in(&heartbeat.zone);
        let safe: Vec<&ControllerId> = local
            .iter()
            .filter(|controller_id| self.has_live_successor(controller_id))
            .copied()
            .collect();
        let local = if safe.is_empty() { local } else { safe };
        let preferred = pick_controller(id, &local)?.clone();
        let hears_workers = self
            .peers
            .heartbeats
            .get(&preferred)
            .is_some_and(|(peer_heartbeat, _)| peer_heartbeat.hears_workers);
        let probed_at = self.forwarding.probed_at.get(&preferred);
        if !hears_workers && probed_at.is_some_and(|at| self.now.since(*at) < PROBE_INTERVAL_S) {
            return None;
        }
        self.forwarding
            .probed_at
            .insert(preferred.clone(), self.now);
        Some(preferred)
    }

    /// Whether a worker has no answer yet from the current owner of its shard. Its lease counts
    /// from an answer of an earlier owner and may expire soon, so it is answered before it is
    /// redirected.
    fn is_unanswered_by_owner(&self, id: &MachineId, heartbeat: &WorkerHeartbeat) -> bool {
        let shard = self.store.mirror.shard_of_machine(id);
        shard.is_some_and(|(_, record)| heartbeat.token < record.token.0)
    }

    /// Returns another controller of this zone for a worker that would lose its lease if this one
    /// failed: the controller that the worker would try next has been silent for longer than a
    /// lease, and two failed tries take as long as the lease. When two of three controllers were
    /// silent at once, 95 machines lost their tasks. Each worker is redirected only once, in case
    /// the controllers disagree on which of them are silent.
    fn safer_controller(&mut self, id: &MachineId) -> Option<ControllerId> {
        let platform = &self.settings.platform;
        if self.has_live_successor(&platform.controller_id)
            || self.forwarding.redirected_at.contains_key(id)
        {
            return None;
        }
        let local = self.forwarders_in(&platform.zone);
        let safe: Vec<&ControllerId> = local
            .into_iter()
            .filter(|controller_id| self.has_live_successor(controller_id))
            .collect();
        let preferred = pick_controller(id, &safe)?.clone();
        self.forwarding.redirected_at.insert(id.clone(), self.now);
        Some(preferred)
    }

    /// Returns the controllers of a zone, apart from this one, that can forward heartbeats.
    fn forwarders_in<'a>(&'a self, zone: &'a str) -> Vec<&'a ControllerId> {
        let can_forward = |peer: &&Peer| {
            let heartbeat = self
                .peers
                .heartbeats
                .get(&peer.controller_id)
                .map(|(heartbeat, _)| heartbeat);
            self.is_linked(&peer.controller_id)
                && heartbeat.is_some_and(|heartbeat| heartbeat.can_forward)
        };
        let local = self.peers_in_zone(zone).filter(can_forward);
        local.map(|peer| &peer.controller_id).collect()
    }

    /// Whether the controller that workers try after `controller_id` isn't known to be silent.
    /// Workers try controllers in the order of their ids, shorter ids first. A controller that was
    /// never heard doesn't count as silent.
    fn has_live_successor(&self, controller_id: &ControllerId) -> bool {
        let platform = &self.settings.platform;
        let order = |id: &ControllerId| (id.as_str().len(), id.0.clone());
        let peers = platform.peers.iter().map(|peer| &peer.controller_id);
        let all = peers.chain([&platform.controller_id]);
        // The successor is the first controller after it or, after the last one, the first of all.
        let successor = all.min_by_key(|id| (order(id) <= order(controller_id), order(id)));
        let lease_s = platform.facts.workers.lease_s;
        let is_silent = |(_, at): &(PeerHeartbeat, Time)| self.now.since(*at) > lease_s;
        !successor
            .and_then(|id| self.peers.heartbeats.get(id))
            .is_some_and(is_silent)
    }

    /// Queues a heartbeat to be forwarded to its owner. If its owner can't be reached, the
    /// heartbeat is handled as ownerless, and if it is too large to forward, the worker is
    /// redirected.
    fn forward(&mut self, request_id: RequestId, heartbeat: WorkerHeartbeat) {
        let id = MachineId::from(heartbeat.machine.as_str());
        let owner = self.owner_of(&id);
        let reachable = owner.filter(|owner| self.is_reachable_by_workers(owner));
        match reachable {
            Some(to) if self.is_linked(&to) && heartbeat.tasks.len() <= FORWARDED_TASKS_MAX => {
                let forwarded = ForwardedHeartbeat::new(
                    &self.settings.platform.controller_id,
                    self.incarnation,
                    request_id,
                    &heartbeat,
                );
                let batched = (to.clone(), Box::new(forwarded));
                self.forwarding.batched.push(batched);
                let until = self.now.next_multiple(BATCH_INTERVAL_MS);
                self.forwarding.batched_until.get_or_insert(until);
                let forwarded_at = self.now;
                self.forwarding.outgoing.insert(
                    request_id,
                    OutgoingForward {
                        to,
                        heartbeat,
                        forwarded_at,
                    },
                );
            }
            Some(to) if heartbeat.tasks.len() > FORWARDED_TASKS_MAX => {
                self.answer(request_id, Reply::ok(421, redirect_body(Some(&to))));
            }
            _ => {
                let received_at = self.now;
                self.handle_ownerless(OwnerlessHeartbeat {
                    request_id,
                    heartbeat,
                    received_at,
                    failed_owner: None,
                });
            }
        }
    }

    /// Forwards the batched heartbeats once the batch is due.
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

    /// Answers an ownerless heartbeat with a keepalive if possible. Otherwise the heartbeat waits
    /// for an owner, or its worker is redirected if waiting can't help.
    fn handle_ownerless(&mut self, ownerless: OwnerlessHeartbeat) {
        if let Some(reply) = self.keepalive_reply(&ownerless.heartbeat) {
            self.forwarding.last_keepalive = Some(self.now);
            return self.answer(ownerless.request_id, reply);
        }
        let id = MachineId::from(ownerless.heartbeat.machine.as_str());
        let has_usable_owner = self.usable_owner_for(&ownerless).is_some();
        let has_timed_out = self.now.since(ownerless.received_at) >= OWNERLESS_WAIT_MAX_S;
        let is_starting = !self.store.is_initial_list_done();
        let sockets_max = self.settings.platform.facts.resources.max_sockets;
        let is_queue_full = self.forwarding.ownerless.len() >= sockets_max;
        // A controller that reaches no peer doesn't learn of a new owner. Workers whose heartbeats
        // waited at a controller that was partitioned from the others lost their leases.
        let is_isolated = self.all_peers_unreachable() && self.process_age_s() > RECENT_HEARTBEAT_S;
        if has_usable_owner
            || has_timed_out
            || is_queue_full
            || is_isolated
            || (self.is_stale() && !is_starting)
        {
            return self.redirect(ownerless.request_id, &id);
        }
        // While the owner is down, each redirect to it or to the next controller costs the worker a
        // second of its lease.
        self.forwarding.ownerless.push_back(ownerless);
    }

    /// Returns the owner to which an ownerless heartbeat can be forwarded or its worker redirected.
    /// An owner that gave no usable response to this heartbeat is left out: an owner that fails
    /// still counts as running until its next heartbeat is missed. Workers that were redirected to
    /// such an owner waited for 5 s, and then for another 5 s at the controller to which the owner
    /// had redirected them before.
    fn usable_owner_for(&self, ownerless: &OwnerlessHeartbeat) -> Option<ControllerId> {
        let owner = self.owner_of(&MachineId::from(ownerless.heartbeat.machine.as_str()))?;
        let is_running =
            self.is_reachable_by_workers(&owner) && ownerless.failed_owner.as_ref() != Some(&owner);
        (is_running || self.refuses_connections(&owner)).then_some(owner)
    }

    /// Returns the keepalive for a worker of this controller's own zone while its owner can't be
    /// reached. The keepalive holds no starts, and stops for the tasks of cancelled or ended jobs.
    /// Returns `None` if the worker is of another zone, if no token can be given, or if the worker
    /// may still reach its owner.
    fn keepalive_reply(&self, heartbeat: &WorkerHeartbeat) -> Option<Reply> {
        let id = MachineId::from(heartbeat.machine.as_str());
        if heartbeat.zone != self.settings.platform.zone {
            return None;
        }
        let is_stale = self.is_stale();
        let shard = self.store.mirror.shard_of_machine(&id);
        let record = shard.map(|(_, record)| record);
        if record.is_some_and(|record| self.refuses_connections(&record.owner)) {
            return None;
        }
        // A process that started in a partitioned zone knows no token, or an outdated one. It then
        // answers with the worker's own token, which only renews the worker's lease.
        let known_token = record
            .map(|record| record.token)
            .filter(|token| token.0 >= heartbeat.token);
        let worker_token =
            Some(FencingToken(heartbeat.token)).filter(|token| is_stale && token.0 > 0);
        let token = known_token.or(worker_token)?;
        // A job that is missing from the mirror may be newer than the mirror, so a job counts as
        // over only if its cancellation or end is known. Otherwise, tasks that the owner had
        // started just before it failed were stopped here, since the watch hadn't delivered their
        // jobs yet, and were started again by the next owner.
        let is_over = |task: &TaskId| match self.store.mirror.jobs.get(&task.job) {
            Some(job) => job.cancelled_at.is_some(),
            None => self.store.mirror.ending(&task.job).is_some(),
        };
        let stops = heartbeat.tasks.iter().filter_map(|listed| {
            let task = TaskId::parse(&listed.task)?;
            let is_running = listed.status != TaskStatus::Ended;
            (is_running && is_over(&task)).then(|| Command::Stop {
                task: listed.task.clone(),
                attempt: listed.attempt,
                grace_s: 0.0,
            })
        });
        let stops: Vec<Command> = stops.collect();
        Some(Reply::ok(200, commands_body(token, &stops)))
    }

    /// Redirects a worker to its shard's owner. The redirect names no owner unless one is known and
    /// surely runs.
    pub(crate) fn redirect(&mut self, request_id: RequestId, machine: &MachineId) {
        let owner = self.owner_of(machine);
        let owner = owner.filter(|owner| self.is_surely_running(owner));
        self.answer(request_id, Reply::ok(421, redirect_body(owner.as_ref())));
    }

    /// Whether an owner surely runs: a heartbeat from it came just now or, if there was none for
    /// longer than a takeover takes, its record is still in a fresh mirror. Workers that are
    /// redirected to an owner that is down lose half of their lease.
    fn is_surely_running(&self, owner: &ControllerId) -> bool {
        let takeover_s = self.settings.tuning.leader_lease_s + TAKEOVER_MARGIN_S;
        let last_heartbeat = self.peers.heartbeats.get(owner).map(|(_, at)| *at);
        let outlasted_takeover = last_heartbeat.is_none_or(|at| self.now.since(at) > takeover_s);
        self.has_recent_heartbeat(owner) || outlasted_takeover && !self.is_stale()
    }

    /// Processes the owner's response to a heartbeat that was forwarded to it.
    pub(crate) fn on_forwarded_response(&mut self, response: ForwardedResponse) {
        let request_id = RequestId(response.request_id);
        if response.incarnation != self.incarnation {
            return;
        }
        let Some(forward) = self.forwarding.outgoing.remove(&request_id) else {
            return;
        };
        if response.status == 421 {
            // That controller no longer owns the shard. The new owner will be known here soon.
            return self.handle_ownerless(forward.into_ownerless(request_id));
        }
        let reply = Reply {
            status: response.status,
            body: response.body,
            retry_after: response.retry_after,
        };
        self.answer(request_id, reply);
    }

    /// Answers a request on its connection, or through the peer that forwarded it.
    pub(crate) fn answer(&mut self, request_id: RequestId, reply: Reply) {
        let Some(forward) = self.forwarding.incoming.remove(&request_id) else {
            return self.outbox.push(Output::Answer(request_id, reply));
        };
        let response = ForwardedResponse {
            incarnation: forward.incarnation,
            request_id: forward.request_id.0,
            status: reply.status,
            body: reply.body,
            retry_after: reply.retry_after,
        };
        let message = Message::ForwardedResponse(response);
        self.outbox.send_to_peer(Some(forward.from), message);
    }

    /// Drops a heartbeat that waits for an owner or a forwarded response, after its worker has
    /// disconnected.
    pub(crate) fn forget_heartbeat(&mut self, request_id: RequestId) {
        self.forwarding
            .ownerless
            .retain(|ownerless| ownerless.request_id != request_id);
        self.forwarding.outgoing.remove(&request_id);
    }
}
