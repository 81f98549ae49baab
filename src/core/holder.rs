//! The holder of a block: its jobs, machines and placements, and how they are
//! written. A placement is committed, on the condition that the block and the job
//! are unchanged, before its start is sent to anyone.

use super::autoscaler::{Pool, per_machine, pool_for};
use super::failures::FailureLog;
use super::fleet::{Fleet, Machine};
use super::*;
use log::{debug, info, warn};
use std::collections::BTreeSet;
use std::rc::Rc;

/// How far a placement has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not yet known to be committed: never sent.
    Committing,
    /// Committed; its start goes with the next answer to its machine.
    Ready,
    /// Sent, and not seen in a report yet.
    Sent,
    Fetching,
    Running,
    Flushing,
    /// Placed by an earlier holder; this one has no proof of what became of it.
    Doubt,
}

#[derive(Clone, Debug)]
pub struct Placement {
    pub machine: MachineId,
    pub zone: Rc<str>,
    pub attempt: Attempt,
    pub phase: Phase,
    /// Since when it is in this phase.
    pub since: Time,
    /// When it was first told to stop, if it was.
    pub halted: Option<Time>,
    pub sends: u32,
    /// It has run for so long that neither its job nor its machine can be at fault.
    pub runs_well: bool,
}

/// A job of the block.
#[derive(Debug)]
pub struct JobState {
    pub rec: Rc<JobRec>,
    pub revision: u64,
    /// Order of arrival: the revision of its acceptance.
    pub arrival: u64,
    pub since: Time,
    pub withdrawn: Option<Time>,
    pub done: Vec<bool>,
    pub done_count: u32,
    pub placed: BTreeMap<u32, Placement>,
    /// No queued task has an index below this one.
    pub queue_from: u32,
    pub chunks: BTreeMap<u32, Chunk>,
    pub finishing: bool,
    pub not_before: Time,
    /// Starts that machines refused for not knowing the job.
    pub unknown_starts: u32,
    /// Room is being made by stopping others until then.
    pub preempting: Time,
}

/// What is written of a chunk.
#[derive(Debug, Default)]
pub struct Chunk {
    pub revision: u64,
    pub busy: bool,
    /// Finished tasks that aren't written yet; their results aren't cleared.
    pub unwritten: bool,
}

/// One chunk in a commit, with the placements that it makes good.
#[derive(Debug)]
pub struct FlushItem {
    pub job: JobId,
    pub chunk: u32,
    pub placed: Vec<(u32, Attempt)>,
}

/// How soon a chunk is to be written; the smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteUrgency {
    /// Placements of jobs of this rank wait for the commit, the highest rank first.
    Placements(std::cmp::Reverse<Rank>),
    /// Results only: nothing starts later for them.
    Results,
}

impl WriteUrgency {
    /// Every urgency there is, the most urgent first.
    const ALL: [Self; 5] = [
        Self::placements(Rank::Critical),
        Self::placements(Rank::Urgent),
        Self::placements(Rank::Normal),
        Self::placements(Rank::Idle),
        Self::Results,
    ];

    /// The urgency of placements of a job of this rank.
    pub const fn placements(rank: Rank) -> Self {
        Self::Placements(std::cmp::Reverse(rank))
    }

    /// What the commit has to leave of the budgets. Batch work leaves enough for an urgent
    /// start to be committed at once: with a guest's array and swarm under way, urgent starts
    /// waited for seconds behind their commits.
    fn priority(self) -> Priority {
        match self {
            Self::Placements(std::cmp::Reverse(rank)) => rank_priority(rank),
            Self::Results => Priority::Last,
        }
    }
}

/// The priority of what is committed for a job of this rank.
fn rank_priority(rank: Rank) -> Priority {
    if rank > Rank::Normal {
        Priority::Usual
    } else {
        Priority::Last
    }
}

/// What is left of an amount of which half is forgotten in `half_s`.
fn faded(amount: f64, passed_s: f64, half_s: f64) -> f64 {
    amount * 0.5f64.powf(passed_s / half_s)
}

/// What is known of an image that services use.
#[derive(Debug)]
pub(crate) struct ImageDemand {
    pub(crate) class: String,
    pub(crate) gb: f64,
    /// What a task of the job that used it last takes.
    pub(crate) need: Room,
    /// Jobs that came with it, older ones counting less, and when that was reckoned.
    uses: f64,
    at: Time,
}

/// Half of the jobs that came so long ago are forgotten.
const USE_HALF_S: f64 = 300.0;
/// Most images remembered; the least used are forgotten first.
const IMAGES_MAX: usize = 256;

impl ImageDemand {
    /// How much it is asked for now.
    pub(crate) fn asked(&self, now: Time) -> f64 {
        faded(self.uses, now.since(self.at), USE_HALF_S)
    }
}

/// How services' demand for a pool comes: the squares of the jobs' sizes, in machines,
/// older ones counting less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BurstEstimate {
    squares: f64,
    at: Time,
}

/// Share of the latest boot in what a type's boots usually take, and how many times longer
/// than the catalogue says that may become: some machines never come up, and are paid for
/// until they are deleted.
const BOOT_NEWS: f64 = 0.2;
const SLOW_BOOT: f64 = 2.0;
/// Half of the demand that came so many boot times ago is forgotten.
const BURST_HALF: f64 = 2.0;
/// How many boot times a service is taken to run, where only those that run now are known.
const LIFE: f64 = 5.0;

impl BurstEstimate {
    fn faded(&self, now: Time, boot_s: f64) -> f64 {
        faded(self.squares, now.since(self.at), BURST_HALF * boot_s)
    }

    fn add(&mut self, now: Time, boot_s: f64, size: f64) {
        self.squares = self.faded(now, boot_s) + size * size;
        self.at = now;
    }

    /// What a new holder takes to have come before it: those that run came, and went,
    /// at the rate at which they run their lives.
    fn of_running(now: Time, squares: f64) -> Self {
        Self {
            squares: squares / LIFE * BURST_HALF / std::f64::consts::LN_2,
            at: now,
        }
    }

    /// The standard deviation of demand, jobs coming and going, over a boot time: what
    /// may come on top before a machine rented for it is up.
    pub(crate) fn deviation(&self, now: Time, boot_s: f64) -> f64 {
        let per_boot = self.faded(now, boot_s) * std::f64::consts::LN_2 / BURST_HALF;
        (2.0 * per_boot).sqrt()
    }
}

pub struct Holder {
    pub block: u32,
    pub number: Number,
    pub block_revision: u64,
    pub since: Time,
    /// Whether it is the only block, with every machine there is in it.
    pub whole: bool,
    /// Zones of which so many machines are silent that they must be cut off.
    pub(crate) cut_zones: BTreeSet<Rc<str>>,
    /// When there last was one.
    pub(crate) zones_cut_at: Option<Time>,
    /// When each controller was last found to hear no worker, or not to be heard.
    pub(crate) mute_at: BTreeMap<Option<Member>, Time>,
    /// What teams with a limit may use here; `None` for their whole limit.
    pub(crate) allowances: Option<BTreeMap<String, (f64, f64)>>,
    pub(crate) count: u64,
    pub jobs: BTreeMap<JobId, JobState>,
    pub machines: Fleet,
    pub(crate) teams: HashMap<String, Room>,
    /// How services' demand for each pool comes.
    pub(crate) bursts: BTreeMap<Pool, BurstEstimate>,
    /// What failed, and whom it speaks against.
    pub(crate) failures: FailureLog,
    /// How long machines of each type have taken to boot lately.
    pub(crate) boots: BTreeMap<usize, f64>,
    /// Images of services.
    pub(crate) images: HashMap<Image, ImageDemand>,
    /// Jobs with queued tasks.
    pub(crate) waiting: BTreeSet<JobId>,
    pub(crate) place_wanted: bool,
    pub(crate) place_at: Time,
    pub(crate) pack_at: Time,
    /// Chunks to write, by urgency.
    pub(crate) to_flush: BTreeSet<(WriteUrgency, JobId, u32)>,
    pub(crate) flushing: usize,
    /// Jobs whose last record is to be written: all done, or withdrawn and gone.
    pub(crate) to_finish: BTreeSet<JobId>,
    pub(crate) leftover_chunks: Vec<(JobId, u32)>,
    pub(crate) cleaning: bool,
    /// When held answers must go out.
    pub(crate) releases: BTreeSet<(Time, MachineId)>,
    pub(crate) gone: BTreeMap<MachineId, Time>,
    pub(crate) heard: Time,
    /// So many machines are silent that they must be cut off rather than down.
    pub(crate) cut: bool,
    /// When that was last so. Machines get time from then to come back.
    pub(crate) cut_at: Time,
}

/// Commits of chunks under way at once, and how many more there may be for urgent ones.
const FLUSHES: usize = 4;
const URGENT_FLUSHES: usize = 2;
/// JSON bytes of chunks in one transaction, below the limit of 64 KiB.
const FLUSH_BYTES: usize = 40 * 1024;

impl Holder {
    pub fn new(block: u32, number: Number, now: Time) -> Self {
        Self {
            block,
            number,
            block_revision: 0,
            since: now,
            whole: true,
            cut_zones: BTreeSet::new(),
            zones_cut_at: None,
            mute_at: BTreeMap::new(),
            allowances: None,
            count: 0,
            jobs: BTreeMap::new(),
            machines: Fleet::default(),
            teams: HashMap::new(),
            bursts: BTreeMap::new(),
            failures: FailureLog::default(),
            boots: BTreeMap::new(),
            images: HashMap::new(),
            waiting: BTreeSet::new(),
            place_wanted: true,
            place_at: now,
            pack_at: now,
            to_flush: BTreeSet::new(),
            flushing: 0,
            to_finish: BTreeSet::new(),
            leftover_chunks: Vec::new(),
            cleaning: false,
            releases: BTreeSet::new(),
            gone: BTreeMap::new(),
            heard: now,
            cut: false,
            cut_at: now,
        }
    }

    pub fn first_release(&self) -> Option<Time> {
        self.releases.first().map(|(t, _)| *t)
    }

    pub(crate) fn held_requests(&self) -> Vec<ReqId> {
        let held = self.machines.values().filter_map(|m| m.held);
        held.map(|(req, _)| req).collect()
    }

    /// Takes over what the block's record says besides who holds it.
    pub(crate) fn sync(&mut self, now: Time, revision: u64, rec: &BlockRec, catalog: &[ClassInfo]) {
        self.block_revision = revision;
        self.whole = rec.machines.is_none();
        self.allowances = rec.allowances.clone();
        self.place_wanted = true;
        let Some(list) = &rec.machines else {
            return;
        };
        for (id, class_name, zone, spot) in list {
            if !self.machines.contains_key(id) && !self.gone.contains_key(id) {
                let machine = Machine::new(catalog, class_name, zone, *spot, now);
                self.machines.insert(id.clone(), machine);
            }
        }
    }

    pub(crate) fn forget_request(&mut self, req: ReqId) {
        let held = self
            .releases
            .iter()
            .find(|(_, id)| {
                let m = self.machines.get(id);
                m.and_then(|m| m.held).is_some_and(|(r, _)| r == req)
            })
            .cloned();
        if let Some(entry) = held {
            self.releases.remove(&entry);
            self.machines.edit(&entry.1, |m| m.held = None);
        }
    }

    /// Whether workers have reported here and none does any more.
    pub(crate) fn deaf(&self, now: Time) -> bool {
        let had = self.machines.values().any(|m| m.session > 0);
        had && now.since(self.heard) > HEARD_S
    }

    pub(crate) fn next_attempt(&mut self) -> Attempt {
        self.count += 1;
        Attempt::new(self.number, self.count)
    }

    /// The pool of a service and its size there, in machines.
    fn size(&self, catalog: &[ClassInfo], closed: &[Closed], rec: &JobRec) -> Option<(Pool, f64)> {
        let pool = pool_for(catalog, rec, closed).filter(|_| rec.form == Form::Service)?;
        let size = f64::from(rec.count) / per_machine(&catalog[pool.0], rec.need);
        Some((pool, size))
    }

    /// Takes note of a job that came.
    fn note_demand(&mut self, now: Time, catalog: &[ClassInfo], closed: &[Closed], rec: &JobRec) {
        if let Some((pool, size)) = self.size(catalog, closed, rec) {
            let bursts = self.bursts.entry(pool).or_default();
            bursts.add(now, catalog[pool.0].ready_s, size);
        }
    }

    /// Takes those that run for a sign of what comes.
    fn guess_demand(&mut self, now: Time, catalog: &[ClassInfo], closed: &[Closed]) {
        let mut squares: BTreeMap<Pool, f64> = BTreeMap::new();
        for live in self.jobs.values().filter(|l| l.withdrawn.is_none()) {
            if let Some((pool, size)) = self.size(catalog, closed, &live.rec) {
                *squares.entry(pool).or_default() += size * size;
            }
        }
        let guess = |(pool, sum)| (pool, BurstEstimate::of_running(now, sum));
        self.bursts = squares.into_iter().map(guess).collect();
    }

    /// How long a machine of a type usually takes to boot: no less than the catalogue says,
    /// and longer when they have taken longer lately.
    pub(crate) fn usual_boot_s(&self, class: usize, ready_s: f64) -> f64 {
        let lately = self.boots.get(&class).copied().unwrap_or(ready_s);
        lately.clamp(ready_s, ready_s * SLOW_BOOT)
    }

    /// Takes note of a boot.
    pub(crate) fn note_boot(&mut self, class: usize, ready_s: f64, took_s: f64) {
        let usual = self.usual_boot_s(class, ready_s);
        let lately = usual + (took_s - usual) * BOOT_NEWS;
        self.boots.insert(class, lately);
    }

    /// Machines' worth of room to keep free for urgent starts.
    pub(crate) fn keep(&self, pool: Pool, catalog: &[ClassInfo], headroom: f64, now: Time) -> f64 {
        let boot_s = catalog.get(pool.0).map_or(1.0, |c| c.ready_s.max(1.0));
        let bursts = self.bursts.get(&pool);
        let deviation = bursts.map_or(0.0, |b| b.deviation(now, boot_s));
        (headroom * deviation).max(1.0)
    }

    /// Takes note of the image that a service comes with.
    fn note_image(&mut self, now: Time, rec: &JobRec) {
        if rec.form != Form::Service {
            return;
        }
        let known = self.images.get(&rec.image);
        let demand = ImageDemand {
            class: rec.class.clone(),
            gb: rec.image_gb,
            need: rec.need,
            uses: 1.0 + known.map_or(0.0, |w| w.asked(now)),
            at: now,
        };
        self.images.insert(rec.image.clone(), demand);
        if self.images.len() > IMAGES_MAX {
            let all = self.images.iter();
            let least = all.min_by(|a, b| a.1.asked(now).total_cmp(&b.1.asked(now)));
            if let Some(image) = least.map(|(image, _)| image.clone()) {
                self.images.remove(&image);
            }
        }
    }

    /// Enters a placement: its room and quota count from now on.
    pub(crate) fn put(&mut self, job: &JobId, index: u32, placement: Placement) {
        let Some(live) = self.jobs.get_mut(job) else {
            return;
        };
        let task = TaskId {
            job: job.clone(),
            index,
        };
        let rec = &live.rec;
        self.machines
            .edit(&placement.machine, |m| m.seat(task, rec));
        self.teams
            .entry(rec.team.clone())
            .or_default()
            .add(rec.need, 1.0);
        live.placed.insert(index, placement);
    }

    /// Whether a task's start was never sent and no commit of it is under way: it can't be on
    /// its machine. An earlier commit without an answer may yet be carried out, but the
    /// attempt that it names is never sent once the placement is taken out. While commits of
    /// a guest's array were waited for, their tasks kept all room from urgent starts.
    pub(crate) fn unsent(&self, task: &TaskId) -> bool {
        let Some(live) = self.jobs.get(&task.job) else {
            return false;
        };
        let chunk = task.index / live.rec.chunk.max(1);
        let busy = live.chunks.get(&chunk).is_some_and(|c| c.busy);
        match live.placed.get(&task.index).map(|p| p.phase) {
            Some(Phase::Ready) => true,
            Some(Phase::Committing) => !busy,
            _ => false,
        }
    }

    /// Takes a placement out, once its task is proven gone or was never sent.
    pub(crate) fn take(&mut self, now: Time, task: &TaskId) {
        let Some(live) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(p) = live.placed.remove(&task.index) else {
            return;
        };
        let need = live.rec.need;
        if let Some(used) = self.teams.get_mut(&live.rec.team) {
            used.add(need, -1.0);
        }
        self.machines.edit(&p.machine, |m| m.unseat(now, task));
        let done = live.done.get(task.index as usize).copied().unwrap_or(true);
        if live.withdrawn.is_some() {
            if live.placed.is_empty() {
                self.to_finish.insert(task.job.clone());
            }
        } else if !done {
            live.queue_from = live.queue_from.min(task.index);
            self.waiting.insert(task.job.clone());
        }
        self.place_wanted = true;
    }

    /// Notes a finished task.
    pub(crate) fn set_done(&mut self, now: Time, task: &TaskId) {
        let Some(live) = self.jobs.get_mut(&task.job) else {
            return;
        };
        match live.done.get_mut(task.index as usize) {
            Some(done) if !*done => *done = true,
            _ => return self.take(now, task),
        }
        live.done_count += 1;
        let chunk = task.index / live.rec.chunk.max(1);
        live.chunks.entry(chunk).or_default().unwritten = true;
        let all = live.done_count == live.rec.count;
        if all && live.withdrawn.is_none() {
            self.to_finish.insert(task.job.clone());
        } else {
            self.to_flush
                .insert((WriteUrgency::Results, task.job.clone(), chunk));
        }
        self.take(now, task);
    }

    /// Recounts what teams use and which tasks machines have, and checks the indexes.
    pub(crate) fn audit(&self) -> Result<(), String> {
        let (mut seats, mut teams) = (0, HashMap::<&str, Room>::new());
        for (job, live) in &self.jobs {
            for (index, p) in &live.placed {
                let (job, index) = (job.clone(), *index);
                teams
                    .entry(&live.rec.team)
                    .or_default()
                    .add(live.rec.need, 1.0);
                if let Some(m) = self.machines.get(&p.machine) {
                    seats += 1;
                    let task = TaskId { job, index };
                    if !m.tasks.contains_key(&task) {
                        return Err(format!("{task} isn't among the tasks of {}", p.machine));
                    }
                }
            }
        }
        if seats != self.machines.values().map(|m| m.tasks.len()).sum::<usize>() {
            return Err("a machine has a task that isn't placed there".into());
        }
        for (team, used) in &self.teams {
            let again = teams.get(team.as_str()).copied().unwrap_or_default();
            if !used.holds(again) || !again.holds(*used) {
                return Err(format!("{team} uses {again:?}, not {used:?}"));
            }
        }
        self.machines.audit()
    }

    /// The present content of a chunk's record.
    fn run_rec(&self, job: &JobId, live: &JobState, chunk: u32) -> RunRec {
        let size = live.rec.chunk.max(1);
        let (from, to) = (chunk * size, ((chunk + 1) * size).min(live.rec.count));
        let (failed_tries, failed_on) = self.failures.of_job(job);
        let mut rec = RunRec {
            failed_tries,
            failed_on,
            ..RunRec::default()
        };
        for index in from..to {
            if live.done[index as usize] {
                match rec.done.last_mut() {
                    Some((_, end)) if *end == index => *end += 1,
                    _ => rec.done.push((index, index + 1)),
                }
            }
        }
        for (index, p) in live.placed.range(from..to) {
            let zone = p.zone.to_string();
            rec.placed
                .push((*index, p.attempt, p.machine.clone(), zone));
        }
        rec
    }
}

impl JobState {
    fn new(job: &jobs::CachedJob, now: Time) -> Self {
        Self {
            rec: job.rec.clone(),
            revision: job.revision,
            arrival: job.revision,
            since: now,
            withdrawn: job.withdrawn,
            done: vec![false; job.rec.count as usize],
            done_count: 0,
            placed: BTreeMap::new(),
            queue_from: 0,
            chunks: BTreeMap::new(),
            finishing: false,
            not_before: now,
            unknown_starts: 0,
            preempting: now,
        }
    }

    pub(crate) fn is_queued(&self, index: u32) -> bool {
        !self.done[index as usize] && !self.placed.contains_key(&index)
    }

    /// Whether one of its tasks has been started and may yet fail.
    pub(crate) fn trying(&self) -> bool {
        self.placed.values().any(|p| !p.runs_well)
    }

    /// How many tasks wait for a machine.
    pub(crate) fn queued(&self) -> u32 {
        if self.withdrawn.is_some() {
            return 0;
        }
        (self.rec.count - self.done_count).saturating_sub(self.placed.len() as u32)
    }

    /// The first queued task from `queue_from` on; moves that index along.
    pub(crate) fn next_queued(&mut self) -> Option<u32> {
        while self.queue_from < self.rec.count && !self.is_queued(self.queue_from) {
            self.queue_from += 1;
        }
        (self.queue_from < self.rec.count).then_some(self.queue_from)
    }
}

impl Core {
    /// A new holder's start: all that earlier ones committed is known, and nothing
    /// of it is believed to have ended without proof.
    pub(crate) fn rebuild(&mut self) {
        let Some(block) = self.holder.as_ref().map(|h| h.block) else {
            return;
        };
        let of_block = |j: &jobs::CachedJob| j.rec.block == block;
        let jobs = self.cache.jobs.iter().filter(|(_, j)| of_block(j));
        let ids: Vec<JobId> = jobs.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.holder_job(&id);
        }
        let jobs = &self.cache.jobs;
        let leftover_chunks = self
            .cache
            .runs
            .keys()
            .filter(|(id, _)| !jobs.contains_key(id));
        let leftover_chunks: Vec<_> = leftover_chunks.cloned().collect();
        if let Some(h) = &mut self.holder {
            // Chunks without a job belong to no block; the first one's holder clears
            // them away.
            h.leftover_chunks = if block == 0 {
                leftover_chunks
            } else {
                Vec::new()
            };
            h.guess_demand(self.now, &self.catalog, self.cache.closed());
            info!("took over {} jobs of block {block}", h.jobs.len());
        }
    }

    /// A job was accepted, or its record changed.
    pub(crate) fn holder_job(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else {
            return;
        };
        let now = self.now;
        let Some(h) = self.holder.as_mut().filter(|h| h.block == job.rec.block) else {
            return;
        };
        if let Some(live) = h.jobs.get_mut(id) {
            live.revision = job.revision;
            if job.withdrawn.is_some() && live.withdrawn.is_none() {
                live.withdrawn = job.withdrawn;
                self.halt_withdrawn(id);
            }
            return;
        }
        let mut live = JobState::new(job, now);
        let mut doubts = Vec::new();
        for (chunk, (revision, run)) in self.cache.chunks(id) {
            let entry = live.chunks.entry(chunk).or_default();
            entry.revision = *revision;
            for (from, to) in &run.done {
                for index in *from..(*to).min(live.rec.count) {
                    if !std::mem::replace(&mut live.done[index as usize], true) {
                        live.done_count += 1;
                    }
                }
            }
            doubts.extend(run.placed.iter().cloned());
            h.failures
                .restore(now, id, run.failed_tries, &run.failed_on);
        }
        let withdrawn = live.withdrawn.is_some();
        let closed = self.cache.closed();
        h.note_demand(now, &self.catalog, closed, &job.rec);
        h.note_image(now, &job.rec);
        h.jobs.insert(id.clone(), live);
        for (index, attempt, machine, zone) in doubts {
            if !h.machines.contains_key(&machine) && !h.gone.contains_key(&machine) {
                // Known by name only until it reports. If it never does, it is
                // deleted, which proves its tasks gone.
                let mut known = Machine::new(&[], "", &zone, false, now);
                known.up = Some(now);
                h.machines.insert(machine.clone(), known);
            }
            let placement = Placement {
                machine,
                zone: zone.as_str().into(),
                attempt,
                phase: Phase::Doubt,
                since: now,
                halted: None,
                sends: 0,
                // An earlier holder has seen it start: that it runs is no news of its machine.
                runs_well: true,
            };
            h.put(id, index, placement);
        }
        if withdrawn {
            // It was cancelled under an earlier holder, whose halts may never have
            // gone out: this one has to send its own.
            return self.halt_withdrawn(id);
        }
        let live = &h.jobs[id];
        if live.done_count == live.rec.count {
            h.to_finish.insert(id.clone());
        } else if live.queued() > 0 {
            h.waiting.insert(id.clone());
            h.place_wanted = true;
        }
    }

    /// A job's record is gone: it ended, and its end is committed.
    pub(crate) fn holder_job_gone(&mut self, id: &JobId) {
        let leftover: Vec<_> = self
            .cache
            .chunks(id)
            .map(|(c, _)| (id.clone(), c))
            .collect();
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.leftover_chunks.extend(leftover);
        let Some(live) = h.jobs.get(id) else {
            return;
        };
        let all = live.withdrawn.is_none();
        info!("job {id} {}", if all { "done" } else { "cleared away" });
        let tasks: Vec<u32> = live.placed.keys().copied().collect();
        for index in tasks {
            let job = id.clone();
            h.take(now, &TaskId { job, index });
        }
        h.jobs.remove(id);
        h.failures.forget_job(id);
        h.waiting.remove(id);
        h.to_finish.remove(id);
        h.to_flush.retain(|(_, job, _)| job != id);
    }

    /// Stops every task of a withdrawn job: nothing they do is of use any more.
    fn halt_withdrawn(&mut self, id: &JobId) {
        let now = self.now;
        let Some(h) = &mut self.holder else {
            return;
        };
        h.waiting.remove(id);
        let Some(live) = h.jobs.get_mut(id) else {
            return;
        };
        let mut unsent = Vec::new();
        let mut machines = BTreeSet::new();
        for (index, p) in &mut live.placed {
            p.halted.get_or_insert(now);
            match p.phase {
                Phase::Ready => unsent.push(*index),
                _ => {
                    machines.insert(p.machine.clone());
                }
            }
        }
        if live.placed.is_empty() {
            h.to_finish.insert(id.clone());
        }
        for index in unsent {
            let job = id.clone();
            h.take(now, &TaskId { job, index });
        }
        for machine in machines {
            self.answer_held(&machine);
        }
    }

    // ---- writing

    /// Commits chunks, several to a transaction, the most urgent first.
    pub(crate) fn pump_flush(&mut self) {
        self.pump_finish();
        loop {
            let now = self.now;
            let ops = self.settings.platform.facts.state.txn_ops;
            let Some(h) = &mut self.holder else {
                return;
            };
            let Some((urgency, ..)) = h.to_flush.first() else {
                return;
            };
            let priority = urgency.priority();
            // A larger transaction would leave a debt that urgent ones have to wait out.
            let ops = ops.min(self.changes.largest_call(priority) as usize);
            let most = match priority {
                Priority::Last => FLUSHES,
                _ => FLUSHES + URGENT_FLUSHES,
            };
            if h.flushing >= most
                || !self.requests.has(now, 1.0, priority)
                || !self.changes.has(now, 1.0, priority)
            {
                return;
            }
            let Some((op, items)) = next_flush(h, ops, priority) else {
                return;
            };
            match self.state_call(op, Purpose::Flush(items), priority) {
                Ok(_) => {
                    if let Some(h) = &mut self.holder {
                        h.flushing += 1;
                    }
                }
                Err(Purpose::Flush(items)) => {
                    if let Some(h) = &mut self.holder {
                        items.iter().for_each(|i| h.write_again(&i.job, i.chunk));
                    }
                    return;
                }
                Err(_) => return,
            }
        }
    }

    pub(crate) fn on_flushed(&mut self, items: Vec<FlushItem>, reply: StateReply) {
        let Some(h) = &mut self.holder else {
            return;
        };
        h.flushing = h.flushing.saturating_sub(1);
        if !matches!(reply, StateReply::Committed { .. }) {
            debug!("{} chunks not written: {reply:?}", items.len());
        }
        let mut ready = BTreeSet::new();
        let mut reread = Vec::new();
        for item in &items {
            let now = self.now;
            let Some(live) = h.jobs.get_mut(&item.job) else {
                continue;
            };
            let chunk = live.chunks.entry(item.chunk).or_default();
            chunk.busy = false;
            match &reply {
                StateReply::Committed { revision } => {
                    chunk.revision = *revision;
                    // What came in meanwhile is still to be written.
                    let queued = |u| h.to_flush.contains(&(u, item.job.clone(), item.chunk));
                    chunk.unwritten = WriteUrgency::ALL.into_iter().any(queued);
                    for machine in make_ready(now, live, &item.placed) {
                        ready.insert(machine);
                    }
                }
                StateReply::Conflict { failed } => {
                    let own = failed.contains(&Key::Run(item.job.clone(), item.chunk));
                    let job = failed.contains(&Key::Job(item.job.clone()));
                    if own {
                        chunk.busy = true;
                        reread.push((item.job.clone(), item.chunk));
                    } else if job {
                        h.drop_uncommitted(now, item);
                    } else {
                        h.write_again(&item.job, item.chunk);
                    }
                }
                // Not executed, or perhaps: the same conditions make it happen once.
                _ => h.write_again(&item.job, item.chunk),
            }
        }
        let jobs: BTreeSet<JobId> = items.into_iter().map(|i| i.job).collect();
        for job in &jobs {
            h.drop_unsent(self.now, job);
        }
        for (job, chunk) in reread {
            self.reread(job, chunk);
        }
        for machine in ready {
            self.answer_held(&machine);
        }
    }

    /// Reads a chunk whose revision isn't the expected one: an earlier commit whose
    /// answer was lost stands after all.
    fn reread(&mut self, job: JobId, chunk: u32) {
        let op = StateOp::Get(Key::Run(job.clone(), chunk));
        let purpose = Purpose::Reread(job, chunk);
        if let Err(Purpose::Reread(job, chunk)) = self.state_call(op, purpose, Priority::First) {
            self.reread_later(&job, chunk);
        }
    }

    fn reread_later(&mut self, job: &JobId, chunk: u32) {
        // The chunk is written again, fails again, and is read then.
        if let Some(h) = &mut self.holder {
            h.write_again(job, chunk);
        }
    }

    pub(crate) fn on_reread(&mut self, job: JobId, chunk: u32, reply: StateReply) {
        let (revision, run) = match reply {
            StateReply::Found {
                record: Record::Run(run),
                revision,
            } => (revision, run),
            StateReply::Missing { .. } => (0, RunRec::default()),
            _ => return self.reread_later(&job, chunk),
        };
        let now = self.now;
        let mut ready = Vec::new();
        if let Some(h) = &mut self.holder {
            if let Some(live) = h.jobs.get_mut(&job) {
                let entry = live.chunks.entry(chunk).or_default();
                entry.revision = revision;
                entry.busy = false;
                let placed: Vec<_> = run.placed.iter().map(|p| (p.0, p.1)).collect();
                ready = make_ready(now, live, &placed);
            }
            h.drop_unsent(now, &job);
            h.write_again(&job, chunk);
        }
        for machine in ready {
            self.answer_held(&machine);
        }
    }

    /// Writes the ends of jobs. The end comes first, and with it the job's record
    /// goes; chunks that don't fit into the transaction go later.
    fn pump_finish(&mut self) {
        let ops = self.settings.platform.facts.state.txn_ops;
        let Some(h) = &self.holder else {
            return;
        };
        let cancelled = |id: &JobId| h.jobs.get(id).is_some_and(|l| l.withdrawn.is_some());
        let mut ids: Vec<JobId> = h.to_finish.iter().cloned().collect();
        // Those whose users wait come first: the others may find the budget used up.
        ids.sort_by_key(|id| !cancelled(id));
        for id in ids {
            let Some(h) = &mut self.holder else {
                return;
            };
            let Some(live) = h.jobs.get_mut(&id) else {
                h.to_finish.remove(&id);
                continue;
            };
            let busy = live.finishing || live.chunks.values().any(|c| c.busy);
            if busy || (live.withdrawn.is_some() && !live.placed.is_empty()) {
                continue;
            }
            let (job, end) = (Key::Job(id.clone()), Key::End(id.clone()));
            let mut when = vec![
                (Key::Block(h.block), h.block_revision),
                (job.clone(), live.revision),
            ];
            let mut writes = Vec::new();
            let (ending, priority) = match live.withdrawn {
                None => (Ending::Done, rank_priority(live.rec.rank)),
                // Its user waits for this one.
                Some(_) => (Ending::Withdrawn, Priority::First),
            };
            when.push((end.clone(), 0));
            writes.push(Write::put(end, Record::End(ending)));
            writes.push(Write::Delete { key: job });
            let written = live.chunks.iter().filter(|(_, c)| c.revision > 0);
            let room = ops - writes.len();
            writes.extend(written.take(room).map(|(chunk, _)| Write::Delete {
                key: Key::Run(id.clone(), *chunk),
            }));
            live.finishing = true;
            let op = StateOp::Commit { when, writes };
            if self
                .state_call(op, Purpose::Finish(id.clone()), priority)
                .is_err()
            {
                if let Some(live) = self.holder.as_mut().and_then(|h| h.jobs.get_mut(&id)) {
                    live.finishing = false;
                }
                return;
            }
        }
        self.pump_cleanup(ops);
    }

    fn pump_cleanup(&mut self, ops: usize) {
        let Some(h) = &mut self.holder else {
            return;
        };
        if h.cleaning || h.leftover_chunks.is_empty() {
            return;
        }
        let n = h.leftover_chunks.len().min(ops);
        let list: Vec<_> = h.leftover_chunks.drain(..n).collect();
        let writes = list.iter().map(|(job, chunk)| Write::Delete {
            key: Key::Run(job.clone(), *chunk),
        });
        let op = StateOp::Commit {
            when: vec![(Key::Block(h.block), h.block_revision)],
            writes: writes.collect(),
        };
        h.cleaning = true;
        if let Err(Purpose::Cleanup(list)) =
            self.state_call(op, Purpose::Cleanup(list), Priority::Last)
        {
            self.on_cleaned(list, StateReply::Refused);
        }
    }

    pub(crate) fn on_cleaned(&mut self, list: Vec<(JobId, u32)>, reply: StateReply) {
        if let Some(h) = &mut self.holder {
            h.cleaning = false;
            if !matches!(reply, StateReply::Committed { .. }) {
                h.leftover_chunks.extend(list);
            }
        }
    }

    pub(crate) fn on_finished(&mut self, id: JobId, reply: StateReply) {
        let Some(live) = self.holder.as_mut().and_then(|h| h.jobs.get_mut(&id)) else {
            return;
        };
        live.finishing = false;
        // The follow brings the end; a conflict means that a withdrawal came first,
        // and anything else is tried again.
        if let StateReply::Committed { .. } = reply {
            live.finishing = true;
        } else if let StateReply::Conflict { failed } = reply {
            warn!("job {id} didn't end: {} changed", failed.len());
        }
    }
}

/// Marks committed placements; returns their machines.
fn make_ready(now: Time, live: &mut JobState, placed: &[(u32, Attempt)]) -> Vec<MachineId> {
    let mut machines = Vec::new();
    for (index, attempt) in placed {
        if let Some(p) = live.placed.get_mut(index)
            && p.attempt == *attempt
            && p.phase == Phase::Committing
        {
            p.phase = Phase::Ready;
            p.since = now;
            machines.push(p.machine.clone());
        }
    }
    machines
}

impl Holder {
    /// Queues a chunk whose commit didn't succeed, with the urgency of what it holds by now.
    /// Put before all others, the batch work's chunks overtook urgent ones whenever the budget
    /// for changes ran out.
    fn write_again(&mut self, job: &JobId, chunk: u32) {
        let Some(live) = self.jobs.get_mut(job) else {
            return;
        };
        live.chunks.entry(chunk).or_default().busy = false;
        let size = live.rec.chunk.max(1);
        let mut placed = live.placed.range(chunk * size..(chunk + 1) * size);
        let urgency = if placed.any(|(_, p)| p.phase == Phase::Committing) {
            WriteUrgency::placements(live.rec.rank)
        } else {
            WriteUrgency::Results
        };
        self.to_flush.insert((urgency, job.clone(), chunk));
    }

    /// Placements told to stop before their start was sent: they can't be there.
    fn drop_unsent(&mut self, now: Time, job: &JobId) {
        let Some(live) = self.jobs.get(job) else {
            return;
        };
        let unsent = live
            .placed
            .iter()
            .filter(|(_, p)| p.halted.is_some() && p.phase == Phase::Ready);
        let unsent: Vec<u32> = unsent.map(|(index, _)| *index).collect();
        for index in unsent {
            let job = job.clone();
            self.take(now, &TaskId { job, index });
        }
    }

    /// The job changed under a commit, so its placements were never made.
    fn drop_uncommitted(&mut self, now: Time, item: &FlushItem) {
        for (index, attempt) in &item.placed {
            let same = |p: &Placement| p.attempt == *attempt && p.phase == Phase::Committing;
            let live = self.jobs.get(&item.job);
            if live.and_then(|l| l.placed.get(index)).is_some_and(same) {
                let task = TaskId {
                    job: item.job.clone(),
                    index: *index,
                };
                self.take(now, &task);
            }
        }
    }
}

/// Builds the next transaction of chunks of one priority: urgent ones don't wait until there
/// is budget for batch work as well.
fn next_flush(h: &mut Holder, ops: usize, priority: Priority) -> Option<(StateOp, Vec<FlushItem>)> {
    let mut when = vec![(Key::Block(h.block), h.block_revision)];
    let (mut writes, mut items, mut bytes) = (Vec::new(), Vec::new(), 0);
    let same = |(urgency, ..): &&(WriteUrgency, JobId, u32)| urgency.priority() == priority;
    let candidates = h.to_flush.iter().take_while(same).take(4 * ops);
    let candidates: Vec<_> = candidates.cloned().collect();
    for entry in candidates {
        if writes.len() >= ops || bytes > FLUSH_BYTES {
            break;
        }
        let (_, job, chunk) = &entry;
        let Some(live) = h.jobs.get(job) else {
            h.to_flush.remove(&entry);
            continue;
        };
        if live.finishing || live.chunks.get(chunk).is_some_and(|c| c.busy) {
            continue;
        }
        let revision = live.chunks.get(chunk).map_or(0, |c| c.revision);
        let rec = h.run_rec(job, live, *chunk);
        bytes += 60 * rec.placed.len() + 12 * rec.done.len();
        when.push((Key::Job(job.clone()), live.revision));
        when.push((Key::Run(job.clone(), *chunk), revision));
        let placed = rec.placed.iter().map(|p| (p.0, p.1)).collect();
        writes.push(Write::put(Key::Run(job.clone(), *chunk), Record::Run(rec)));
        items.push(FlushItem {
            job: job.clone(),
            chunk: *chunk,
            placed,
        });
        // One commit carries all that is to be written of the chunk.
        for urgency in WriteUrgency::ALL {
            h.to_flush.remove(&(urgency, job.clone(), *chunk));
        }
        if let Some(live) = h.jobs.get_mut(job) {
            live.chunks.entry(*chunk).or_default().busy = true;
        }
    }
    // A job with several chunks in the transaction is compared once.
    when.sort();
    when.dedup();
    (!writes.is_empty()).then_some((StateOp::Commit { when, writes }, items))
}
