//! How reports come to the holder of their machine's block, and what keeps workers
//! alive when they can't.
//!
//! A worker reports to a controller of its own zone, which hands the report on to the
//! holder and the answer back. When the zone is cut off, or the holder ends, the worker
//! needn't look for another controller while its lease runs: its own one answers in
//! the holder's place ("shelters" it) under the number it knows, without starts.
//!
//! Why that is safe. An answer under the holder's number gives a worker nothing but
//! time, and halts what is cancelled. Time breaks two things only. A lease proves a
//! task gone only once the zone's other controllers have said that they sheltered
//! nobody while it ran out (`nobody_sheltered`). And a cancellation is told to its user
//! only once every task is proven gone (`front`), so no bound runs against a worker
//! that nobody with sight of the state service reaches.

use crate::controller::events::{Output, Reply};
use crate::controller::shards::leases::stable_hash;
use crate::controller::{Core, GATHER_MS, HEARD_S};
use crate::ids::{MachineId, Member, Number, ReqId, TaskId, Time};
use crate::peer::{Hello, Message, RelayedAnswer, RelayedReport};
use crate::settings::Sibling;
use crate::wire::{Command, Report, TaskStance, commands_body, steer_body};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A report whose machine's holder is down.
#[derive(Debug)]
struct LostReport {
    req: ReqId,
    report: Report,
    since: Time,
    /// The holder that it was handed to in vain.
    tried: Option<Member>,
}

/// How long such a report waits at most, in seconds. Workers wait for 4 s. How many do at
/// once is bounded by the connections on which they came.
const LOST_S: f64 = 3.8;
/// A report handed on is answered here when no answer came this long after the time
/// for which the holder may hold it.
const RELAY_GRACE_S: f64 = 0.9;
/// Reports with more tasks don't fit into a message to a sibling; their workers go to
/// the holder themselves.
const RELAY_TASKS: usize = 200;
/// A holder that refuses connections for this much longer than a takeover takes isn't
/// down: only the controllers can't reach it, and workers are sent there.
pub(crate) const TAKEOVER_S: f64 = 1.5;
/// Pause between two workers sent home to a controller that hears no worker yet.
const TRIAL_PAUSE_S: f64 = 2.0;

/// A report handed to its holder.
#[derive(Debug)]
struct Relayed {
    to: Member,
    report: Report,
    since: Time,
}

impl Relayed {
    /// The report, now that its holder didn't answer it.
    fn lost(self, req: ReqId) -> LostReport {
        LostReport {
            req,
            report: self.report,
            since: self.since,
            tried: Some(self.to),
        }
    }
}

/// A report that a sibling handed on: which of its processes, and which request there.
#[derive(Debug)]
struct Guest {
    from: Member,
    boot: u64,
    req: ReqId,
}

#[derive(Debug, Default)]
pub(crate) struct Relays {
    out: BTreeMap<ReqId, Relayed>,
    guests: HashMap<ReqId, Guest>,
    guest_count: u64,
    /// Reports to be handed on together, and when.
    gathered: Vec<(Member, Box<RelayedReport>)>,
    gathered_until: Option<Time>,
    /// Reports that wait until there is somebody to send their workers to.
    lost: VecDeque<LostReport>,
    /// Siblings to whom no connection can be made, and since when they refuse it.
    pub(crate) down: BTreeMap<Member, Option<Time>>,
    /// When this process last answered in a holder's place; at first its start.
    pub(crate) sheltered: Option<Time>,
    trials: BTreeMap<Member, Time>,
    /// Workers sent to a safer controller of this zone, and when.
    sent_away: BTreeMap<MachineId, Time>,
}

/// A worker that came back after it was sent to a safer controller is kept for so many leases.
const KEPT_LEASES: f64 = 6.0;

/// One of several controllers for a machine, the same each time.
fn pick_by_name<'a>(id: &MachineId, members: &[&'a Member]) -> Option<&'a Member> {
    let at = stable_hash(id.as_str()) % members.len().max(1) as u64;
    members.get(at as usize).copied()
}

/// Requests of guests are numbered apart from those that come on connections.
const GUESTS: u64 = 1 << 62;

impl Relays {
    /// When the reports gathered so far are to be handed on.
    pub(crate) fn gathered_until(&self) -> Option<Time> {
        self.gathered_until
    }

    /// The sibling that handed on a report.
    pub(crate) fn carrier(&self, req: ReqId) -> Option<Member> {
        self.guests.get(&req).map(|g| g.from.clone())
    }
}

impl Core {
    pub(crate) fn on_report(&mut self, req: ReqId, report: Report) {
        self.worker_heard = self.now;
        let id = MachineId::from(report.machine.as_str());
        if let Some(home) = self.home_of(&id, &report) {
            return self.answer(req, Reply::ok(421, steer_body(Some(&home))));
        }
        if let Some(block) = self.block_here(&id) {
            return self.in_block(block, |core| core.on_block_report(req, &id, report));
        }
        self.note_stray(&id, &report);
        self.pass_on(req, report);
    }

    /// The block held here to which a machine belongs.
    fn block_here(&self, id: &MachineId) -> Option<u32> {
        let mut held = self.parked.iter();
        let mine = held.find(|(_, h)| h.machines.contains_key(id));
        let whole = || self.parked.iter().find(|(_, h)| h.whole);
        mine.or_else(whole).map(|(block, _)| *block)
    }

    /// The controller of a worker's own zone to which it had better report. One that
    /// hears nobody yet gets workers one by one: if they can't reach it, the others
    /// mustn't lose half a lease by trying.
    fn home_of(&mut self, id: &MachineId, report: &Report) -> Option<Member> {
        if report.tasks.len() > RELAY_TASKS || self.unanswered(id, report) {
            return None;
        }
        if report.zone == self.settings.platform.site {
            return self.safer_home(id);
        }
        let local = self.relaying_in(&report.zone);
        let safe: Vec<&Member> = local.iter().filter(|m| self.has_next(m)).copied().collect();
        let local = if safe.is_empty() { local } else { safe };
        let home = pick_by_name(id, &local)?.clone();
        let heard = self.siblings.get(&home).is_some_and(|(h, _)| h.heard);
        let trial = self.relays.trials.get(&home);
        if !heard && trial.is_some_and(|at| self.now.since(*at) < TRIAL_PAUSE_S) {
            return None;
        }
        self.relays.trials.insert(home.clone(), self.now);
        Some(home)
    }

    /// Whether a worker wasn't answered yet by the present holder of its block: its lease counts
    /// from an answer of an earlier one, and may be about to end. It is answered first and sent
    /// elsewhere later.
    fn unanswered(&self, id: &MachineId, report: &Report) -> bool {
        let mut recs = self.cache.blocks.values().filter_map(|b| b.rec.as_ref());
        let number = recs.find(|b| b.has(id)).map(|b| b.number.0);
        number.is_some_and(|number| report.number < number)
    }

    /// Another controller of this zone for a worker that would find nobody if this one fell
    /// silent: the next one that it would try has been silent for long, and the two tries take
    /// as long as its lease. Two controllers of three silent at once cost 95 machines their
    /// tasks. Each worker is sent away once, should the controllers disagree on who is silent.
    fn safer_home(&mut self, id: &MachineId) -> Option<Member> {
        let platform = &self.settings.platform;
        if self.has_next(&platform.member) || self.relays.sent_away.contains_key(id) {
            return None;
        }
        let local = self.relaying_in(&platform.site);
        let safe: Vec<&Member> = local.into_iter().filter(|m| self.has_next(m)).collect();
        let home = pick_by_name(id, &safe)?.clone();
        self.relays.sent_away.insert(id.clone(), self.now);
        Some(home)
    }

    /// Controllers of a zone, besides this one, that can hand reports on.
    fn relaying_in<'a>(&'a self, zone: &'a str) -> Vec<&'a Member> {
        let relaying = |s: &&Sibling| {
            let hello = self.siblings.get(&s.member).map(|(h, _)| h);
            self.linked(&s.member) && hello.is_some_and(|h| h.relays)
        };
        let local = self.siblings_in(zone).filter(relaying);
        local.map(|s| &s.member).collect()
    }

    /// Whether the controller that workers try after this one, in the order of the names, has
    /// been heard lately.
    fn has_next(&self, member: &Member) -> bool {
        let platform = &self.settings.platform;
        let order = |m: &Member| (m.as_str().len(), m.0.clone());
        let siblings = platform.siblings.iter().map(|s| &s.member);
        let all = siblings.chain([&platform.member]);
        // The first one behind it or, behind the last, the first of all.
        let next = all.min_by_key(|m| (order(m) <= order(member), order(m)));
        let lease_s = platform.facts.workers.lease_s;
        let silent = |(_, at): &(Hello, Time)| self.now.since(*at) > lease_s;
        !next.and_then(|m| self.siblings.get(m)).is_some_and(silent)
    }

    /// Hands a report on to its holder, or does what can be done without it.
    fn pass_on(&mut self, req: ReqId, report: Report) {
        let id = MachineId::from(report.machine.as_str());
        let holder = self.holder_of(&id);
        let reached = holder.filter(|h| self.reachable(h));
        match reached {
            Some(to) if self.linked(&to) && report.tasks.len() <= RELAY_TASKS => {
                let relayed =
                    RelayedReport::new(&self.settings.platform.member, self.boot, req, &report);
                let gathered = (to.clone(), Box::new(relayed));
                self.relays.gathered.push(gathered);
                let until = self.now.next_multiple(GATHER_MS);
                self.relays.gathered_until.get_or_insert(until);
                let since = self.now;
                self.relays.out.insert(req, Relayed { to, report, since });
            }
            Some(to) if report.tasks.len() > RELAY_TASKS => {
                self.answer(req, Reply::ok(421, steer_body(Some(&to))));
            }
            _ => {
                let since = self.now;
                self.without_holder(LostReport {
                    req,
                    report,
                    since,
                    tried: None,
                });
            }
        }
    }

    /// Hands on the reports that were gathered, once their time has come.
    pub(crate) fn hand_on_gathered(&mut self) {
        if self.relays.gathered_until.is_none_or(|at| self.now < at) {
            return;
        }
        self.relays.gathered_until = None;
        for (to, report) in std::mem::take(&mut self.relays.gathered) {
            let message = Message::RelayedReport(report);
            self.out.push(Output::Peer(Some(to), message));
        }
    }

    /// Answers a report in its holder's place, or keeps it for a while.
    fn without_holder(&mut self, lost: LostReport) {
        if let Some(reply) = self.shelter(&lost.report) {
            self.relays.sheltered = Some(self.now);
            return self.answer(lost.req, reply);
        }
        let id = MachineId::from(lost.report.machine.as_str());
        let known = self.holder_for(&lost).is_some();
        let waited = self.now.since(lost.since) >= LOST_S;
        let starting = !self.listed;
        let sockets = self.settings.platform.facts.resources.max_sockets;
        let full = self.relays.lost.len() >= sockets;
        // A holder that takes over says so here only if somebody is heard here: a worker whose
        // report waited at a controller that was cut off from the others lost its lease.
        let alone = self.unheard() && self.age_s() > HEARD_S;
        if known || waited || full || alone || (self.blind() && !starting) {
            return self.steer(lost.req, &id);
        }
        // While the holder is down, a worker that is sent there, or on to the next
        // node, loses a second each time.
        self.relays.lost.push_back(lost);
    }

    /// The holder that a kept report's worker can be sent to. One that didn't answer when the
    /// report was handed to it seems to run until its next message is missed: workers that
    /// were sent there waited for 5 s, and then for another 5 s where it had sent them before.
    fn holder_for(&self, lost: &LostReport) -> Option<Member> {
        let holder = self.holder_of(&MachineId::from(lost.report.machine.as_str()))?;
        let runs = self.reachable(&holder) && lost.tried.as_ref() != Some(&holder);
        (runs || self.shut_off(&holder)).then_some(holder)
    }

    /// The answer that keeps a worker of this controller's own zone alive while its
    /// holder can't be reached: no starts, but halts for what is cancelled or over.
    fn shelter(&self, report: &Report) -> Option<Reply> {
        let id = MachineId::from(report.machine.as_str());
        if report.zone != self.settings.platform.site {
            return None;
        }
        let blind = self.blind();
        let recs = self.cache.blocks.values();
        let mut recs = recs.filter_map(|b| b.rec.as_ref());
        let rec = recs.find(|b| b.has(&id));
        if rec.is_some_and(|b| self.shut_off(&b.holder)) {
            return None;
        }
        // A process that began in a zone that is cut off knows no number, or an old one.
        // The worker's own tells it nothing that it doesn't know, and gives it time.
        let known = rec.map(|b| b.number).filter(|n| n.0 >= report.number);
        let own = Some(Number(report.number)).filter(|n| blind && n.0 > 0);
        let number = known.or(own)?;
        // A job that isn't known here may be newer than what is: only one whose end is known is
        // over. Tasks that the holder had started just before it ended were halted here, since the
        // follow hadn't brought their jobs yet, and started again by its successor.
        let over = |task: &TaskId| match self.cache.jobs.get(&task.job) {
            Some(job) => job.withdrawn.is_some(),
            None => self.cache.ending(&task.job).is_some(),
        };
        let halts = report.tasks.iter().filter_map(|t| {
            let task = TaskId::parse(&t.task)?;
            let runs = t.stance != TaskStance::Ended;
            (runs && over(&task)).then(|| Command::Halt {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
        });
        let halts: Vec<Command> = halts.collect();
        Some(Reply::ok(200, commands_body(number, &halts)))
    }

    /// Sends a worker to its block's holder, if it is known.
    pub(crate) fn steer(&mut self, req: ReqId, machine: &MachineId) {
        let holder = self.holder_of(machine);
        let holder = holder.filter(|h| self.surely_runs(h));
        self.answer(req, Reply::ok(421, steer_body(holder.as_ref())));
    }

    /// Whether a holder runs for sure: it was heard just now or, where it hasn't been for
    /// longer than a takeover takes, its record stands all the same. Workers sent to one that
    /// is dead lose half of their lease.
    fn surely_runs(&self, holder: &Member) -> bool {
        let takeover_s = self.settings.tuning.grant_s + TAKEOVER_S;
        let heard = self.siblings.get(holder).map(|(_, at)| *at);
        let unheard = heard.is_none_or(|at| self.now.since(at) > takeover_s);
        self.heartbeat_fresh(holder) || unheard && !self.blind()
    }

    pub(crate) fn relay_housekeeping(&mut self) {
        let kept_s = KEPT_LEASES * self.settings.platform.facts.workers.lease_s;
        let now = self.now;
        let sent_away = &mut self.relays.sent_away;
        sent_away.retain(|_, at| now.since(*at) < kept_s);
        for lost in std::mem::take(&mut self.relays.lost) {
            let id = MachineId::from(lost.report.machine.as_str());
            let held = self.block_here(&id).is_some();
            let holder = self.holder_for(&lost);
            if held || holder.is_some_and(|h| self.reachable(&h)) {
                self.on_report(lost.req, lost.report);
            } else {
                self.without_holder(lost);
            }
        }
        let patience = self.settings.hold_s(false) + RELAY_GRACE_S;
        let late = self.relays.out.iter().filter(|(_, r)| {
            self.now.since(r.since) > patience
                || !self.heartbeat_fresh(&r.to)
                || !self.linked(&r.to)
        });
        let late: Vec<ReqId> = late.map(|(req, _)| *req).collect();
        for req in late {
            if let Some(r) = self.relays.out.remove(&req) {
                self.without_holder(r.lost(req));
            }
        }
    }

    /// A sibling hands on a report of one of its workers.
    pub(crate) fn on_relayed_report(&mut self, relayed: RelayedReport) {
        if !self.is_sibling(&relayed.from) {
            return;
        }
        self.relays.guest_count += 1;
        let req = ReqId(GUESTS + self.relays.guest_count);
        let guest = Guest {
            from: relayed.from.clone(),
            boot: relayed.boot,
            req: ReqId(relayed.req),
        };
        self.relays.guests.insert(req, guest);
        let report = relayed.report();
        let id = MachineId::from(report.machine.as_str());
        match self.block_here(&id) {
            Some(block) => self.in_block(block, |core| core.on_block_report(req, &id, report)),
            None => self.answer(req, Reply::ok(421, steer_body(None))),
        }
    }

    /// The holder's answer to a report that was handed on to it.
    pub(crate) fn on_relayed_answer(&mut self, answer: RelayedAnswer) {
        let req = ReqId(answer.req);
        if answer.boot != self.boot {
            return;
        }
        let Some(relayed) = self.relays.out.remove(&req) else {
            return;
        };
        if answer.status == 421 {
            // It doesn't hold the block any more; who does is soon known here.
            return self.without_holder(relayed.lost(req));
        }
        let reply = Reply {
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after,
        };
        self.answer(req, reply);
    }

    pub(crate) fn answer(&mut self, req: ReqId, reply: Reply) {
        let Some(guest) = self.relays.guests.remove(&req) else {
            return self.out.push(Output::Answer(req, reply));
        };
        let answer = RelayedAnswer {
            boot: guest.boot,
            req: guest.req.0,
            status: reply.status,
            body: reply.body,
            retry_after: reply.retry_after,
        };
        let message = Message::RelayedAnswer(answer);
        self.out.push(Output::Peer(Some(guest.from), message));
    }

    pub(crate) fn forget_report(&mut self, req: ReqId) {
        self.relays.lost.retain(|l| l.req != req);
        self.relays.out.remove(&req);
    }
}
