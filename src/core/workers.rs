//! Reports and their answers, and the proofs that a task is gone.
//!
//! A task may be placed again, and its quota and place are free, only when
//! 1. a report that shows this block's number, newer than any before it, lists the
//!    attempt as ended or doesn't list it; or
//! 2. the worker had shown this number, its lease must be over by now, counted from
//!    the last 200 this process sent it, the other controllers of its zone have said
//!    since that they kept nobody alive for a lease, and the block was then still
//!    unchanged at the state service; or
//! 3. the cloud said that its machine is deleted.

use super::fleet::Machine;
use super::holder::Phase;
use super::*;
use log::{debug, info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A start is sent this often before its placement is given up.
const SENDS_MAX: u32 = 4;
/// After `cancel_s` times this, a machine that may still run a withdrawn task is
/// deleted: its user waits, and repeats the request for a minute.
const CANCEL_SHARE: f64 = 0.6;
/// The same in a zone that is cut off; cuts mostly end sooner.
const CUT_CANCEL_SHARE: f64 = 2.0;
/// Without any report for this many report intervals, a holder whose machines all
/// reported before takes itself to be cut off from them.
const DEAF_REPORTS: f64 = 5.0;
/// Silent machines are a few up to this share; more are taken to be cut off, and are
/// given up after so many leases.
const FEW_SILENT_SHARE: f64 = 0.15;
const MASS_SILENT: f64 = 4.0;
/// Machines that have been quiet for this share of the patience with silent ones are
/// counted among these.
const NEARLY_SILENT: f64 = 0.95;
/// Machines that may be sheltered are given up after so many.
const SHELTERED_SILENT: f64 = 9.0;
/// A zone is taken to be cut off when this share of its machines, and at least so
/// many, have missed so many reports.
const CUT_SHARE: f64 = 0.25;
const CUT_LEAST: usize = 3;
const CUT_REPORTS: f64 = 3.0;
/// A machine that never showed this block's number, with tasks on it, is deleted after
/// this many leases of silence: only that proves them gone.
const UNPROVABLE: f64 = 1.2;
/// A machine that reports and doesn't take up this block's number is deleted after so many
/// leases if tasks may be on it.
const UNHEARING: f64 = 2.0;
/// Seconds a machine of an older leadership has to report before it counts as silent.
const FIRST_REPORT_S: f64 = 12.0;
/// Boots aren't shorter than this share of what the catalogue says, unless the machine was
/// up before it was heard of.
const LEAST_BOOT: f64 = 0.3;
/// Repeated saving halts turn into plain ones after the grace and this long.
const GRACE_S: f64 = 1.0;
/// Pause before a machine that refused a task for want of room gets another.
const FULL_S: f64 = 3.0;
/// A faulty machine's tasks get this long to stop before it is deleted.
const DRAIN_S: f64 = 15.0;
/// A task that has run for so long is taken to be well: flawed jobs and faulty machines fail
/// their tasks as they start.
const RUNS_WELL_S: f64 = 10.0;
/// Pause before a start is tried again that its machine refused for not knowing the job, and
/// after how many of them it grows no longer.
const UNKNOWN_PAUSE_S: f64 = 2.0;
const UNKNOWN_PAUSES: u32 = 8;
/// Names of deleted machines are kept for late copies of their reports.
const GONE_S: f64 = 900.0;

impl Core {
    pub(crate) fn on_block_report(&mut self, req: ReqId, id: &MachineId, report: Report) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.heard = now;
        // Somebody newer gives commands. Its answers count, ours would be dropped.
        if report.number > h.number.0 {
            return self.steer(req, id);
        }
        if h.gone.contains_key(id) {
            return self.answer(req, Reply::later(503, 5, "this machine is deleted"));
        }
        self.adopt(id, &report);
        let Some(h) = &mut self.holder else {
            return;
        };
        let number = h.number;
        let proof = report.number == number.0;
        let via = self.relays.carrier(req);
        let taken = h.machines.edit(id, |m| {
            m.via = via;
            m.take_report(now, &report, proof)
        });
        let Some(taken) = taken else {
            return;
        };
        if !taken.fresh {
            // A copy, or overtaken by a newer one: it is answered, since its worker
            // may still wait, but nothing in it is news.
            return self.answer(req, Reply::ok(200, commands_body(number, &[])));
        }
        if taken.born {
            h.place_wanted = true;
            h.note_birth(&self.catalog, id, now);
        }
        if let Some((old, until)) = taken.held {
            h.releases.remove(&(until, id.clone()));
            self.answer(old, Reply::ok(200, commands_body(number, &[])));
        }
        self.read_tasks(id, &report, proof);
        let commands = self.commands(id, Some(&report));
        if commands.is_empty() && self.hold_report(id, req) {
            return;
        }
        self.send_commands(id, req, &commands);
    }

    /// A machine nobody here knows reports: an earlier leader's, or one whose rental
    /// was carried out late. It is used, or returned when it isn't wanted.
    fn adopt(&mut self, id: &MachineId, report: &Report) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let (class, zone, spot) = (&report.class, &report.zone, report.spot);
        if h.machines.contains_key(id) {
            // It may be known by name only, or from before the catalogue was.
            let learn = |m: &mut Machine| m.learn(&self.catalog, class, zone, spot);
            h.machines.edit(id, learn);
            return;
        }
        let machine = Machine::new(&self.catalog, class, zone, spot, now);
        h.machines.insert(id.clone(), machine);
    }

    /// Whether the answer may wait for a command. Only a quiet report waits, and
    /// less long than until the next one is due.
    fn hold_report(&mut self, id: &MachineId, req: ReqId) -> bool {
        let Some(h) = &mut self.holder else {
            return false;
        };
        let Some(m) = h.machines.get(id) else {
            return false;
        };
        // What ends meanwhile is heard of only when the worker is answered.
        let ends = m.tasks.values().any(|s| s.rec.form == Form::Batch);
        let hold = self.settings.hold_s(ends);
        let until = self.now.after(hold);
        // A worker without our number yet gets it at once.
        if hold <= 0.0 || !m.shown {
            return false;
        }
        h.machines.edit(id, |m| m.held = Some((req, until)));
        h.releases.insert((until, id.clone()));
        true
    }

    /// Answers a waiting report now, if there is one and a command for it.
    pub(crate) fn answer_held(&mut self, id: &MachineId) {
        let held = self.holder.as_ref().and_then(|h| h.machines.get(id)?.held);
        let Some((req, until)) = held else {
            return;
        };
        let commands = self.commands(id, None);
        if commands.is_empty() {
            return;
        }
        if let Some(h) = &mut self.holder {
            h.releases.remove(&(until, id.clone()));
        }
        self.send_commands(id, req, &commands);
    }

    /// Answers the reports whose time to wait is over.
    pub(crate) fn release_reports(&mut self) {
        loop {
            let now = self.now;
            let Some(h) = &mut self.holder else {
                return;
            };
            match h.releases.first() {
                Some((until, _)) if *until <= now => {}
                _ => return,
            }
            let Some((_, id)) = h.releases.pop_first() else {
                return;
            };
            let Some((req, _)) = h.machines.get(&id).and_then(|m| m.held) else {
                continue;
            };
            let commands = self.commands(&id, None);
            self.send_commands(&id, req, &commands);
        }
    }

    fn send_commands(&mut self, id: &MachineId, req: ReqId, commands: &[Command]) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.machines.edit(id, |m| {
            m.answered = now;
            m.held = None;
        });
        let body = commands_body(h.number, commands);
        self.answer(req, Reply::ok(200, body));
    }

    /// Takes in what a report lists, and what it doesn't.
    fn read_tasks(&mut self, id: &MachineId, report: &Report, proof: bool) {
        let now = self.now;
        let mut listed = BTreeSet::new();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else {
                continue;
            };
            self.read_task(id, &task, t);
            listed.insert((task, t.attempt));
        }
        if !proof {
            return;
        }
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(m) = h.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
        for task in tasks {
            let Some(p) = h
                .jobs
                .get_mut(&task.job)
                .and_then(|l| l.placed.get_mut(&task.index))
            else {
                continue;
            };
            if listed.contains(&(task.clone(), p.attempt)) {
                continue;
            }
            match p.phase {
                Phase::Committing | Phase::Ready => {}
                // The answer that carried the start was lost: its worker reported
                // again, so it has dropped that answer for good. The same attempt
                // was never there, so it can be sent once more.
                Phase::Sent if p.halted.is_none() && p.sends < SENDS_MAX => p.phase = Phase::Ready,
                _ => {
                    debug!("task {task} is gone from {id}");
                    h.take(now, &task);
                }
            }
        }
    }

    fn read_task(&mut self, id: &MachineId, task: &TaskId, t: &ReportTask) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(live) = h.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(p) = live.placed.get_mut(&task.index) else {
            return;
        };
        if p.machine != *id || p.attempt != t.attempt {
            return;
        }
        let phase = match t.stance {
            TaskStance::Fetching => Phase::Fetching,
            TaskStance::Running => Phase::Running,
            TaskStance::Flushing => Phase::Flushing,
            TaskStance::Ended => return self.read_end(id, task, t.cause),
        };
        if p.phase == phase {
            let runs_well = phase == Phase::Running && now.since(p.since) > RUNS_WELL_S;
            if runs_well && !p.runs_well {
                p.runs_well = true;
                h.task_succeeded(now, id, task);
            }
            return;
        }
        (p.phase, p.since) = (phase, now);
        if phase == Phase::Fetching {
            return;
        }
        let rec = live.rec.clone();
        let catalog = &self.catalog;
        h.machines.edit(id, |m| {
            if let Some(seat) = m.tasks.get_mut(task) {
                seat.settled = true;
            }
            if phase == Phase::Running {
                let cache = catalog.get(m.class).map_or(f64::MAX, |c| c.cache_gb);
                m.use_image(&rec.image, rec.image_gb, cache);
            }
        });
    }

    /// An attempt ended. That it did is true however old the report is.
    fn read_end(&mut self, id: &MachineId, task: &TaskId, cause: Option<Cause>) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        match cause {
            Some(Cause::Done) => {
                h.task_succeeded(now, id, task);
                return h.set_done(now, task);
            }
            Some(Cause::Error) => self.task_failed(id, task),
            Some(Cause::Full) => {
                warn!("machine {id} has no room for {task}");
                h.machines.edit(id, |m| m.full_until = now.after(FULL_S));
            }
            Some(Cause::Unknown) => {
                // Its description isn't there yet, or never will be.
                if let Some(live) = h.jobs.get_mut(&task.job) {
                    live.unknown_starts += 1;
                    let pauses = live.unknown_starts.min(UNKNOWN_PAUSES);
                    live.not_before = now.after(UNKNOWN_PAUSE_S * f64::from(pauses));
                }
            }
            _ => {}
        }
        if let Some(h) = &mut self.holder {
            h.take(now, task);
        }
    }

    fn task_failed(&mut self, id: &MachineId, task: &TaskId) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(live) = h.jobs.get_mut(&task.job) else {
            return;
        };
        let tries = h.failures.task_failed(now, &task.job, id);
        live.not_before = now.after(h.failures.pause_s(&task.job));
        warn!("task {task} failed on {id}, failed try {tries} in a row");
    }

    /// What a machine is to do now. Derived from what is known, not from what was
    /// sent: a lost answer is made good by the next one.
    fn commands(&mut self, id: &MachineId, report: Option<&Report>) -> Vec<Command> {
        let now = self.now;
        // A start needs sight of the state service: a withdrawal may stand there.
        let blind = self.blind();
        let Some(h) = &mut self.holder else {
            return Vec::new();
        };
        let mut out = Vec::new();
        for t in report.into_iter().flat_map(|r| &r.tasks) {
            if let Some(task) = TaskId::parse(&t.task) {
                out.extend(stray_command(h, id, &task, t));
            }
        }
        let Some(m) = h.machines.get(id) else {
            return out;
        };
        let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
        let starts = !blind && m.doomed.is_none();
        for task in tasks {
            let Some(live) = h.jobs.get_mut(&task.job) else {
                continue;
            };
            let save_s = live.rec.save_s;
            let grace = live.withdrawn.is_none() && live.rec.checkpoint_s > 0.0;
            let Some(p) = live.placed.get_mut(&task.index) else {
                continue;
            };
            let (name, attempt) = (task.to_string(), p.attempt);
            match (p.halted, p.phase) {
                (None, Phase::Ready) if starts => {
                    (p.phase, p.since) = (Phase::Sent, now);
                    p.sends += 1;
                    out.push(Command::Start {
                        task: name,
                        attempt,
                    });
                }
                (Some(_), Phase::Committing | Phase::Ready) | (None, _) => {}
                (Some(at), phase) => {
                    let waited = now.since(at);
                    let saves = grace && waited < save_s + GRACE_S;
                    if phase == Phase::Flushing && saves {
                        continue;
                    }
                    out.push(Command::Halt {
                        task: name,
                        attempt,
                        grace_s: if saves { save_s + GRACE_S } else { 0.0 },
                    });
                }
            }
        }
        out
    }

    /// Tells a task to stop, as soon as its machine can hear it.
    pub(crate) fn halt(&mut self, task: &TaskId) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let Some(p) = h
            .jobs
            .get_mut(&task.job)
            .and_then(|l| l.placed.get_mut(&task.index))
        else {
            return;
        };
        p.halted.get_or_insert(now);
        let machine = p.machine.clone();
        if h.unsent(task) {
            h.take(now, task);
        } else {
            self.answer_held(&machine);
        }
    }

    // ---- what time brings

    pub(crate) fn holder_housekeeping(&mut self) {
        if self.holder.is_none() {
            return;
        }
        self.check_deaf();
        self.check_leases();
        self.check_cancels();
        self.check_silent();
        self.check_unhearing();
        self.drain();
        self.consolidate();
        self.delete_abandoned();
        self.delete_doomed();
        let now = self.now;
        if let Some(h) = &mut self.holder {
            h.gone.retain(|_, at| now.since(*at) < GONE_S);
        }
    }

    /// A holder that hears none of its machines, while they report to a sibling, or no
    /// sibling either, is cut off from them and lets another controller try. When siblings
    /// hear none of them it is they who are gone, and giving up would only put off their
    /// replacement.
    fn check_deaf(&mut self) {
        let w = &self.settings.platform.facts.workers;
        let patience = w.report_s * DEAF_REPORTS;
        let Some(h) = &self.holder else {
            return;
        };
        let up = h.machines.values().filter(|m| m.up.is_some()).count();
        let settled = self.now.since(h.since) > FIRST_REPORT_S;
        let deaf = up >= 2 && settled && self.now.since(h.heard) > patience;
        if deaf && !self.blind() && (self.sibling_hears() || self.unheard()) {
            self.resign("no worker reaches it");
        }
    }

    /// Proof 2: leases that must be over.
    fn check_leases(&mut self) {
        let lease = self.settings.platform.facts.workers.lease_s * (1.0 + DRIFT) + MARGIN_S;
        let (now, fresh) = (self.now, self.fresh_at);
        let Some(h) = &self.holder else {
            return;
        };
        let mut lost = Vec::new();
        for (id, m) in h.machines.iter() {
            let over = m.answered.after(lease);
            // The read was sent after the lease's end, and the block is still ours.
            let known = m.shown && m.held.is_none() && !m.tasks.is_empty();
            if known && fresh > over && now > over && self.nobody_sheltered(&m.zone, over, lease) {
                lost.push((id.clone(), m.tasks.keys().cloned().collect::<Vec<_>>()));
            }
        }
        let Some(h) = &mut self.holder else {
            return;
        };
        for (id, tasks) in lost {
            warn!(
                "the lease of machine {id} is over, with {} tasks",
                tasks.len()
            );
            for task in tasks {
                let live = h.jobs.get(&task.job);
                let phase = live.and_then(|l| Some(l.placed.get(&task.index)?.phase));
                if phase != Some(Phase::Committing) {
                    h.take(now, &task);
                }
            }
        }
    }

    /// Deletes machines that may still run a withdrawn task, where nothing else proves it
    /// gone: its user is told only then. Machines of a zone that is cut off get longer,
    /// for all that runs beside it would be lost as well.
    fn check_cancels(&mut self) {
        let w = &self.settings.platform.facts.workers;
        let (cancel_s, lease_s) = (w.cancel_s, w.lease_s);
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut late = BTreeSet::new();
        for live in h.jobs.values() {
            let Some(at) = live.withdrawn else {
                continue;
            };
            for p in live.placed.values() {
                // When a cut ends, the last ones to come back get time as well.
                let cut = h.cut_zones.contains(&p.zone) || now.since(h.cut_at) < lease_s;
                let share = if cut { CUT_CANCEL_SHARE } else { CANCEL_SHARE };
                // A new holder sees only after a while which zones are cut off. Counting
                // from the cancellation, it deleted the machines of one at once.
                if now.since(at.max(h.since)) > cancel_s * share {
                    late.insert(p.machine.clone());
                }
            }
        }
        for id in late {
            h.doom(now, &id, "a cancelled task may still be on it");
        }
    }

    /// Machines that stay silent are deleted. Most come back when a cut is over, with
    /// their images, so they get time; only where nothing else proves what became of
    /// their tasks is a deletion needed sooner. Many at once are a cut for sure, unless
    /// they stay away for long.
    fn check_silent(&mut self) {
        let w = &self.settings.platform.facts.workers;
        let (lease_s, silent_s) = (w.lease_s, self.settings.silent_s(false));
        let (silent_mute_s, mute) = (self.settings.silent_s(true), self.mute());
        let (now, blind) = (self.now, self.blind());
        let cut_zones = self.find_cut_zones();
        let sheltered: BTreeSet<Rc<str>> = cut_zones
            .iter()
            .filter(|z| self.has_shelter(z))
            .cloned()
            .collect();
        let Some(h) = &mut self.holder else {
            return;
        };
        let mut up = 0;
        let mut silent = Vec::new();
        for (id, m) in h.machines.iter().filter(|(_, m)| m.up.is_some()) {
            up += 1;
            let quiet = now.since(m.seen.max(h.since));
            if m.held.is_none() && quiet > silent_s * NEARLY_SILENT {
                let provable = m.shown || m.tasks.is_empty();
                let patience = match (provable, mute.contains(&m.via)) {
                    (true, false) => silent_s,
                    (true, true) => silent_mute_s,
                    (false, _) => UNPROVABLE * lease_s,
                };
                silent.push((id.clone(), quiet, patience, sheltered.contains(&m.zone)));
            }
        }
        if !cut_zones.is_empty() {
            h.zones_cut_at = Some(now);
        }
        h.cut_zones = cut_zones;
        let back = h.zones_cut_at.is_some_and(|at| now.since(at) < lease_s);
        let calm = h.cut_at;
        h.cut = silent.len() as f64 > (FEW_SILENT_SHARE * f64::from(up)).max(2.0);
        if h.cut || !h.cut_zones.is_empty() {
            h.cut_at = now;
        }
        if blind {
            return;
        }
        for (id, quiet, patience, sheltered) in silent {
            let least = match (h.cut, sheltered) {
                (_, true) => SHELTERED_SILENT * lease_s,
                (true, false) => MASS_SILENT * lease_s,
                (false, false) => 0.0,
            };
            // When a cut ends, those who come back last aren't taken for dead. None is
            // waited for for ever: those that went meanwhile look as if it went on.
            let given_up = quiet > SHELTERED_SILENT * lease_s;
            let late = (h.cut && !back) || given_up || now.since(calm) > patience;
            if quiet > patience.max(least) && late {
                h.doom(now, &id, "it is silent");
            }
        }
    }

    /// Machines whose reports come while nothing told them arrives never show this block's
    /// number, so that no report of theirs proves what became of the tasks an earlier holder
    /// placed there. Their leases have run out meanwhile; deleting them frees the tasks.
    fn check_unhearing(&mut self) {
        let lease_s = self.settings.platform.facts.workers.lease_s;
        let (now, blind) = (self.now, self.blind());
        let Some(h) = self.holder.as_mut().filter(|h| !blind && !h.cut) else {
            return;
        };
        let mut unhearing = Vec::new();
        for (id, m) in h.machines.iter().filter(|(_, m)| !m.shown) {
            let long = m
                .heard
                .is_some_and(|at| now.since(at) > UNHEARING * lease_s);
            if long && !m.tasks.is_empty() && !h.cut_zones.contains(&m.zone) {
                unhearing.push(id.clone());
            }
        }
        for id in unhearing {
            h.doom(now, &id, "it hears nothing");
        }
    }

    /// Controllers, `None` for this one, that lately heard no worker or weren't heard
    /// themselves. Workers that reported there look for another one, and may be sent back
    /// once, which takes two tries of 5 s: they looked as if their machines were gone.
    fn mute(&mut self) -> BTreeSet<Option<Member>> {
        let now = self.now;
        let lease_s = self.settings.platform.facts.workers.lease_s;
        let mut mute = Vec::new();
        if now.since(self.worker_heard) > HEARD_S {
            mute.push(None);
        }
        let siblings = self.settings.platform.siblings.iter();
        let deaf = siblings.filter(|s| !self.hears(&s.member));
        mute.extend(deaf.map(|s| Some(s.member.clone())));
        let Some(h) = &mut self.holder else {
            return BTreeSet::new();
        };
        h.mute_at.extend(mute.into_iter().map(|m| (m, now)));
        h.mute_at.retain(|_, at| now.since(*at) < lease_s);
        h.mute_at.keys().cloned().collect()
    }

    /// Zones of which so many machines have missed their reports that they must be cut
    /// off. Their own controllers keep them alive.
    fn find_cut_zones(&self) -> BTreeSet<Rc<str>> {
        let quiet_s = self.settings.platform.facts.workers.report_s * CUT_REPORTS;
        let Some(h) = &self.holder else {
            return BTreeSet::new();
        };
        let mut zones: BTreeMap<&Rc<str>, (usize, usize)> = BTreeMap::new();
        let staying = |m: &&Machine| m.up.is_some() && m.notice.is_none() && m.doomed.is_none();
        for m in h.machines.values().filter(staying) {
            let count = zones.entry(&m.zone).or_default();
            count.0 += 1;
            let quiet = self.now.since(m.seen.max(h.since)) > quiet_s;
            count.1 += usize::from(quiet && m.held.is_none());
        }
        let cut = |(all, quiet): (usize, usize)| {
            quiet >= CUT_LEAST && quiet as f64 >= CUT_SHARE * all as f64
        };
        // Where a controller of the zone hears workers and is heard, there is no cut: a
        // wave that took many spot machines looked like one.
        let cut_off = zones.into_iter().filter(|(_, count)| cut(*count));
        let cut_off = cut_off.map(|(zone, _)| zone.clone());
        cut_off.filter(|zone| !self.zone_heard(zone)).collect()
    }

    /// Tasks on machines that are about to go are stopped: at once where they can
    /// save, and on machines to be replaced.
    fn drain(&mut self) {
        let now = self.now;
        let Some(h) = &self.holder else {
            return;
        };
        let mut stop = Vec::new();
        for (_, m) in h.machines.leaving() {
            let sick = m.doomed.is_some();
            if !sick && m.notice.is_none_or(|at| at <= now) {
                continue;
            }
            for (task, seat) in &m.tasks {
                let live = h.jobs.get(&task.job);
                let Some(p) = live.and_then(|l| l.placed.get(&task.index)) else {
                    continue;
                };
                let moves = seat.rec.form == Form::Service || seat.rec.checkpoint_s > 0.0;
                if p.halted.is_none() && (sick || moves) && p.phase != Phase::Committing {
                    stop.push(task.clone());
                }
            }
        }
        for task in stop {
            self.halt(&task);
        }
    }
}

/// What to do about a listed attempt that isn't a present placement.
fn stray_command(h: &Holder, id: &MachineId, task: &TaskId, t: &ReportTask) -> Option<Command> {
    let live = h.jobs.get(&task.job);
    let placed = live.and_then(|l| l.placed.get(&task.index));
    if placed.is_some_and(|p| p.machine == *id && p.attempt == t.attempt) {
        return None;
    }
    let (name, attempt) = (task.to_string(), t.attempt);
    if t.stance != TaskStance::Ended {
        return Some(Command::Halt {
            task: name,
            attempt,
            grace_s: 0.0,
        });
    }
    // A result is cleared only once it is written: after a clear, nothing else
    // tells that the task is done.
    let unwritten = live.is_some_and(|l| {
        let chunk = task.index / l.rec.chunk.max(1);
        t.cause == Some(Cause::Done)
            && l.withdrawn.is_none()
            && l.chunks.get(&chunk).is_some_and(|c| c.unwritten)
    });
    (!unwritten).then_some(Command::Clear {
        task: name,
        attempt,
    })
}

/// What came of a report's head.
struct Taken {
    /// It is newer than any before it.
    fresh: bool,
    /// It is the machine's first.
    born: bool,
    /// The older report that waited for its answer.
    held: Option<(ReqId, Time)>,
}

impl Machine {
    /// Takes in all of a report but its tasks. An answer follows in any case.
    fn take_report(&mut self, now: Time, report: &Report, proof: bool) -> Taken {
        let fresh = (report.session, report.seq) > (self.session, self.seq);
        let born = fresh && self.up.is_none();
        if !fresh {
            self.answered = now;
            return Taken {
                fresh,
                born,
                held: None,
            };
        }
        (self.session, self.seq, self.seen) = (report.session, report.seq, now);
        self.heard.get_or_insert(now);
        self.shown |= proof;
        if born {
            self.up = Some(now);
            self.empty.get_or_insert(now);
            let boot = now.since(self.since);
            info!(
                "machine {} ({}, {}) is up after {boot:.0} s",
                report.machine, self.class_name, self.zone
            );
        }
        self.notice = report.notice_s.map(|s| now.after(s.0));
        let held = self.held.take();
        if held.is_some() {
            self.answered = now;
        }
        Taken { fresh, born, held }
    }
}

impl Holder {
    /// A machine came up. One that was merely heard of late tells nothing of its boot.
    fn note_birth(&mut self, catalog: &[ClassInfo], id: &MachineId, now: Time) {
        let Some(m) = self.machines.get(id) else {
            return;
        };
        let (class, took_s) = (m.class, now.since(m.since));
        if let Some(ready_s) = catalog.get(class).map(|c| c.ready_s)
            && took_s > ready_s * LEAST_BOOT
        {
            self.note_boot(class, ready_s, took_s);
        }
    }

    /// A task completed or runs well. A machine on which its job failed before is faulty
    /// then, if others say so too.
    fn task_succeeded(&mut self, now: Time, id: &MachineId, task: &TaskId) {
        for faulty in self.failures.task_succeeded(&task.job, id) {
            self.machines.edit(&faulty, |m| {
                if m.doomed.is_none() {
                    warn!("machine {faulty} fails what others can run: to be replaced");
                    m.doomed = Some(now.after(DRAIN_S));
                }
            });
        }
    }

    /// Decides to delete a machine. Nothing is placed on it from now on.
    pub(crate) fn doom(&mut self, now: Time, id: &MachineId, why: &str) {
        self.machines.edit(id, |m| {
            if m.doomed.is_none() {
                info!("machine {id} is to be deleted: {why}");
                m.doomed = Some(now);
            }
        });
    }
}
