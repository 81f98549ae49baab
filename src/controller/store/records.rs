//! What the controllers keep at the store. All keys share one prefix, so
//! that one follow sees every change.

use crate::controller::store::chunks::to_ranges;
use crate::ids::{Attempt, ControllerId, FencingToken, Image, JobId, MachineId};
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_standby::fence::Fence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The prefix of every key.
pub const PREFIX: &str = "s/";
/// Listing starts behind this key: final statuses are read by name when asked for,
/// since they are kept for good and grow without bound.
pub const LIST_AFTER: &str = "s/end/~";

/// The name of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Who leads.
    Leader,
    /// The highest token ever given.
    FencingToken,
    /// The leader's scaling plan.
    Plan,
    /// A shard: its owner, machines and quota shares.
    Shard(u32),
    /// Team limits that operators set at run time.
    Limits,
    /// What this cell may use of limits that it shares with others.
    Cell,
    /// What passes between this cell and another one.
    CellLink(Cell),
    /// A job that is not over.
    Job(JobId),
    /// The placements of a chunk of a job.
    Placements(JobId, u32),
    /// How a job ended.
    End(JobId),
}

impl Key {
    /// Reads a key's path; `None` for paths that aren't ours.
    pub fn parse(path: &str) -> Option<Self> {
        let (kind, rest) = path.strip_prefix(PREFIX)?.split_once('/')?;
        match (kind, rest) {
            ("own", "leader") => Some(Self::Leader),
            ("own", "number") => Some(Self::FencingToken),
            ("own", "plan") => Some(Self::Plan),
            ("own", "limits") => Some(Self::Limits),
            ("own", "cell") => Some(Self::Cell),
            ("own", other) => match other.strip_prefix("link/") {
                Some(cell) => Some(Self::CellLink(cell.into())),
                None => other.strip_prefix("block/")?.parse().ok().map(Self::Shard),
            },
            ("job", id) => JobId::parse(id).map(Self::Job),
            ("end", id) => JobId::parse(id).map(Self::End),
            ("run", rest) => {
                let (id, chunk) = rest.split_once('/')?;
                Some(Self::Placements(JobId::parse(id)?, chunk.parse().ok()?))
            }
            _ => None,
        }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Leader => write!(f, "{PREFIX}own/leader"),
            Self::FencingToken => write!(f, "{PREFIX}own/number"),
            Self::Plan => write!(f, "{PREFIX}own/plan"),
            Self::Limits => write!(f, "{PREFIX}own/limits"),
            Self::Cell => write!(f, "{PREFIX}own/cell"),
            Self::CellLink(cell) => write!(f, "{PREFIX}own/link/{cell}"),
            Self::Shard(k) => write!(f, "{PREFIX}own/block/{k}"),
            Self::Job(id) => write!(f, "{PREFIX}job/{id}"),
            Self::Placements(id, chunk) => write!(f, "{PREFIX}run/{id}/{chunk}"),
            Self::End(id) => write!(f, "{PREFIX}end/{id}"),
        }
    }
}

/// Who leads, and which of its processes: a restarted one has another `incarnation`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller that leads.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// Which of its processes.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The token of this leadership.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// The lease that the record hangs on.
    #[serde(rename = "hold", default)]
    pub lease_id: u64,
    /// The leader calls the cloud only within so many milliseconds of a read of this record, so
    /// that a successor that replaces it knows for how long to wait.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fenced_ms: Option<u64>,
}

/// The highest token ever given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FencingTokenRecord {
    /// The token.
    pub highest: FencingToken,
    /// How long the leader that was elected last leaves the cloud alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Fence>,
}

/// A machine as a shard's record names it: type, zone, and whether it is spot.
pub type MachineEntry = (MachineId, String, String, bool);

/// A shard: who holds it and under which number. Starts are committed on the
/// condition that this record is unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that owns it.
    #[serde(rename = "holder")]
    pub owner: ControllerId,
    /// Which of its processes.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The token under which it commands the workers.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// The shard's machines; `None` for all there are, while it is the only shard.
    #[serde(default, with = "packed")]
    pub machines: Option<Vec<MachineEntry>>,
    /// CPUs and GPUs that each team with a limit may use here; `None` for the whole
    /// limit, while this is the only shard.
    #[serde(rename = "allowances", default)]
    pub quota_shares: Option<BTreeMap<String, (f64, f64)>>,
}

/// How a shard's list of machines is written: by type, zone and kind, and of the names
/// only what they don't share. Written one by one, a list outgrew its value at 71 machines.
mod packed {
    use super::{MachineEntry, MachineId};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Type, zone, kind, what the names begin with, and the rest of each.
    type Group = (String, String, bool, String, String);

    /// Stands between the rests of names. A name that has one stands alone.
    const GAP: char = ' ';

    fn group(place: (&str, &str, bool), ids: &[&str]) -> Group {
        let first = ids.first().copied().unwrap_or("");
        let shared = |a: &str, b: &str| -> usize {
            let same = a.chars().zip(b.chars()).take_while(|(x, y)| x == y);
            same.map(|(c, _)| c.len_utf8()).sum()
        };
        let common = ids.iter().map(|id| shared(first, id)).min().unwrap_or(0);
        let rests: Vec<&str> = ids.iter().map(|id| &id[common..]).collect();
        let (class, zone, spot) = place;
        let rests = rests.join(&GAP.to_string());
        let begin = first[..common].to_string();
        (class.into(), zone.into(), spot, begin, rests)
    }

    pub(super) fn serialize<S: Serializer>(
        list: &Option<Vec<MachineEntry>>,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        let groups = list.as_ref().map(|list| {
            let mut places: BTreeMap<(&str, &str, bool), Vec<&str>> = BTreeMap::new();
            let mut groups = Vec::new();
            for (id, class, zone, spot) in list {
                let place = (class.as_str(), zone.as_str(), *spot);
                if id.as_str().contains(GAP) {
                    groups.push(group(place, &[id.as_str()]));
                } else {
                    places.entry(place).or_default().push(id.as_str());
                }
            }
            groups.extend(places.into_iter().map(|(place, ids)| group(place, &ids)));
            groups
        });
        groups.serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Vec<MachineEntry>>, D::Error> {
        let groups: Option<Vec<Group>> = Option::deserialize(from)?;
        let entries = |(class, zone, spot, begin, rests): Group| {
            let ids = rests.split(GAP).map(|rest| format!("{begin}{rest}"));
            let entry = |id: String| (MachineId::from(&*id), class.clone(), zone.clone(), spot);
            ids.map(entry).collect::<Vec<MachineEntry>>()
        };
        Ok(groups.map(|all| all.into_iter().flat_map(entries).collect()))
    }
}

impl ShardRecord {
    /// Whether a machine belongs to this shard.
    pub fn has(&self, machine: &MachineId) -> bool {
        let list = self.machines.as_ref();
        list.is_none_or(|list| list.iter().any(|e| e.0 == *machine))
    }
}

/// One request to scale out, written before it is sent, so that a new leader can repeat
/// it under the same name and learn its machines instead of scaling out again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRecord {
    /// Names the request: the same name again asks for nothing new.
    pub name: String,
    /// The machine type.
    #[serde(rename = "class")]
    pub class: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// How many machines.
    pub count: u32,
}

/// A type, zone and kind (spot or not) of which the cloud has nothing left.
pub type ExhaustedPool = (String, String, bool);

/// The leader's plan of a reconcile turn: wanted counts and the requests to scale out under way.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScalingPlanRecord {
    /// The token of the leadership that wrote it.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// Machines wanted of each type, ordinary and spot (`true`) apart.
    pub wanted: Vec<(String, bool, u32)>,
    /// Scale-out requests under way.
    #[serde(rename = "hires")]
    pub scale_out_requests: Vec<ScaleOutRecord>,
    /// Shards that take new jobs, each with its share.
    #[serde(default)]
    pub shares: Vec<(u32, u32)>,
    /// What isn't to be had for now; tasks count on other pools meanwhile.
    #[serde(rename = "closed", default)]
    pub exhausted_pools: Vec<ExhaustedPool>,
    /// Machines to return, if they are empty.
    #[serde(rename = "returns", default)]
    pub scale_in: Vec<MachineId>,
}

/// What becomes of the tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks that each run to completion.
    Batch,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// The priority of a job. Higher classes compare as greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Runs on what nothing else wants.
    Idle,
    /// The usual class of batch work.
    Normal,
    /// Starts are waited for.
    Urgent,
    /// Preempts all others.
    Critical,
}

/// Resources of a machine or a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub mem: f64,
}

/// Room for rounding when amounts are added and taken away many times.
const SLACK: f64 = 1e-6;

impl Resources {
    /// Adds so many times another amount.
    pub fn add(&mut self, other: Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.mem += other.mem * times;
    }

    /// Whether `need` fits into this much free room.
    pub fn holds(&self, need: Resources) -> bool {
        need.cpus <= self.cpus + SLACK
            && need.gpus <= self.gpus + SLACK
            && need.mem <= self.mem + SLACK
    }

    /// The smaller amount of each.
    pub fn least(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            mem: self.mem.min(other.mem),
        }
    }

    /// The largest share that this takes of a whole.
    pub fn share_of(&self, whole: Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.mem, whole.mem))
    }
}

/// A job as its user submitted it, and what became of it since.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The workload class, for which objectives are set.
    pub class: String,
    /// The team whose quota counts.
    pub team: String,
    /// Batch or service.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// Whom it may preempt.
    #[serde(rename = "rank")]
    pub priority_class: PriorityClass,
    /// Tasks.
    pub count: u32,
    /// What each task takes of its machine.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// The image that a machine fetches before a task runs.
    pub image: Image,
    /// The image's size.
    pub image_gb: f64,
    /// Machine types that it may run on; `None` for all.
    pub types: Option<Vec<String>>,
    /// The only zone that it may run in.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "one_zone")]
    pub zone_affinity: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub zone_spread: bool,
    /// Whether it may use spot machines.
    pub spot: bool,
    /// The user's estimate of a task's run time.
    pub estimate_s: f64,
    /// Progress after which a task saves by itself; 0 if it never does.
    pub checkpoint_s: f64,
    /// Time that a stopped task takes to save.
    pub save_s: f64,
    /// When it should be done, measured from its submission.
    pub deadline_s: Option<f64>,
    /// Tasks per `run` record. Kept here, since settings may change.
    #[serde(rename = "chunk")]
    pub chunk_size: u32,
    /// The shard whose owner runs it.
    #[serde(rename = "block")]
    pub shard: u32,
    /// Whether its user has cancelled it.
    #[serde(rename = "withdrawn", default)]
    pub cancelled: bool,
    /// Jobs that have to be done before any task of this one starts, each named once.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

impl JobRecord {
    /// Whether its tasks may run on a type of machine.
    pub fn allows(&self, class: &str) -> bool {
        let types = self.types.as_ref();
        types.is_none_or(|types| types.iter().any(|t| t == class))
    }
}

/// One placed task: its index, attempt, machine, and that machine's zone.
pub type PlacedTask = (u32, Attempt, MachineId, String);

/// One chunk of a job's tasks: ranges of finished ones, and those placed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Ranges of finished tasks, each with the index behind its last.
    pub done: Vec<(u32, u32)>,
    /// Placed tasks.
    pub placed: Vec<PlacedTask>,
    /// Failed tries of the job since a task of it last succeeded, when this was written. The
    /// next owner blames neither the machines nor the job anew.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed_tries: u32,
    /// Machines on which the job's tasks failed, within a bound.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<MachineId>,
    /// Tasks of a part, if this is one. It alone speaks of its tasks then; the record of its
    /// chunk, which couldn't be written any more, is passed over for them.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub part_size: Option<u32>,
}

impl PlacementRecord {
    /// What is left when these tasks are passed over.
    pub fn without(&self, passed: &[std::ops::Range<u32>]) -> Self {
        let spoken_of = |index: &u32| !passed.iter().any(|tasks| tasks.contains(index));
        let mut record = self.clone();
        record.placed.retain(|(index, ..)| spoken_of(index));
        let done = self.done.iter().flat_map(|(from, to)| *from..*to);
        record.done = to_ranges(done.filter(spoken_of));
        record
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Bytes of a value as JSON, in which the limits on values are counted.
pub fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len() + 1)
}

/// CPUs and GPUs that each of some teams may use at most.
pub type LimitsByTeam = BTreeMap<String, (f64, f64)>;

/// Team limits that operators set at run time, in place of those of the settings. Written by
/// operators alone, so that anything may stand there.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsRecord {
    /// The limits, not yet checked against the teams that there are.
    Teams(LimitsByTeam),
    /// What stands there can't be read, and why.
    Unreadable(String),
}

/// How a job ended, for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// All its tasks are done.
    Done,
    /// Its user cancelled it, or a job that it depends on.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// The content of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Who leads.
    Leader(LeaderRecord),
    /// The highest token.
    FencingToken(FencingTokenRecord),
    /// The scaling plan.
    Plan(ScalingPlanRecord),
    /// A shard.
    Shard(ShardRecord),
    /// Team limits set at run time.
    Limits(LimitsRecord),
    /// This cell's shares of limits.
    Cell(Box<CellRecord>),
    /// What passes between this cell and another one.
    CellLink(LinkRecord),
    /// A job.
    Job(Box<JobRecord>),
    /// Placements.
    Placements(PlacementRecord),
    /// The end of a job.
    End(Ending),
}
