//! The records that the controllers keep in the store, and their keys. All keys share one prefix,
//! so that a single watch delivers every change.

use crate::controller::store::chunks::to_ranges;
use crate::controller::store::status_ages::STATUS_AGE_MAX_S;
use crate::ids::{Attempt, ControllerId, FencingToken, Image, JobId, MachineId};
use salttrestle_cells::Cell;
use salttrestle_cells::ledger::{CellRecord, LinkRecord};
use salttrestle_standby::fence::Fence;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The prefix of every key.
pub const PREFIX: &str = "s/";
/// The key after which the initial list starts. The list skips the `end/ID` records, since they are
/// kept forever and grow without bound; each of them is read by its key when it is needed.
pub const LIST_AFTER_KEY: &str = "s/end/~";

/// The key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The current leader.
    Leader,
    /// The highest fencing token issued so far.
    FencingToken,
    /// The leader's scaling plan.
    Plan,
    /// A shard: its owner, machines and quota shares.
    Shard(u32),
    /// Team limits that operators set at run time.
    Limits,
    /// This cell's shares of the limits that it shares with other cells.
    Cell,
    /// The transfers between this cell and another cell.
    CellLink(Cell),
    /// The maximum age of the statuses that a controller sends.
    StatusAge(ControllerId),
    /// A job that has not ended.
    Job(JobId),
    /// The placements of a job's chunk or part, by its number.
    Placements(JobId, u32),
    /// How a job ended.
    End(JobId),
}

impl Key {
    /// Parses the path of a key. Returns `None` for paths that no controller writes.
    pub fn parse(path: &str) -> Option<Self> {
        let (kind, rest) = path.strip_prefix(PREFIX)?.split_once('/')?;
        match (kind, rest) {
            ("own", "leader") => Some(Self::Leader),
            ("own", "number") => Some(Self::FencingToken),
            ("own", "plan") => Some(Self::Plan),
            ("own", "limits") => Some(Self::Limits),
            ("own", "cell") => Some(Self::Cell),
            ("own", other) => match other.split_once('/')? {
                ("link", cell) => Some(Self::CellLink(cell.into())),
                ("status-age", controller) => Some(Self::StatusAge(controller.into())),
                ("block", shard) => shard.parse().ok().map(Self::Shard),
                _ => None,
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
            Self::StatusAge(id) => write!(f, "{PREFIX}own/status-age/{id}"),
            Self::Shard(k) => write!(f, "{PREFIX}own/block/{k}"),
            Self::Job(id) => write!(f, "{PREFIX}job/{id}"),
            Self::Placements(id, chunk) => write!(f, "{PREFIX}run/{id}/{chunk}"),
            Self::End(id) => write!(f, "{PREFIX}end/{id}"),
        }
    }
}

/// The current leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leading controller.
    #[serde(rename = "member")]
    pub controller_id: ControllerId,
    /// The process of that controller; each restart has another incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The fencing token of this leadership.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// The store lease to which the record is attached.
    #[serde(rename = "hold", default)]
    pub lease_id: u64,
    /// The leader calls the cloud only within this many milliseconds after a read of this record. A
    /// successor that replaces the leader waits that long before it calls the cloud itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fenced_ms: Option<u64>,
}

/// The highest fencing token issued so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FencingTokenRecord {
    /// The highest fencing token.
    pub highest: FencingToken,
    /// How long the most recently elected leader waits before it calls the cloud.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fence: Option<Fence>,
}

/// The maximum age of the statuses of live jobs that a controller sends. The record is announced
/// before a larger age than the usual one is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAgeRecord {
    /// Maximum age of a status when the controller sends it, in milliseconds.
    pub age_max_ms: u64,
    /// The age for which all controllers delay the ends of jobs, in milliseconds. It is above
    /// `age_max_ms` while statuses may still be sent that rest on an earlier, larger maximum.
    pub honored_ms: u64,
}

impl StatusAgeRecord {
    /// The record of a controller that announces no larger age than the usual one.
    pub(crate) fn usual() -> Self {
        let usual_ms = to_milliseconds(STATUS_AGE_MAX_S);
        Self {
            age_max_ms: usual_ms,
            honored_ms: usual_ms,
        }
    }

    /// This record with a larger maximum age.
    pub(crate) fn raised_to(self, age_s: f64) -> Self {
        let age_max_ms = to_milliseconds(age_s);
        Self {
            age_max_ms,
            honored_ms: self.honored_ms.max(age_max_ms),
        }
    }

    /// This record with a smaller maximum age. Ends are still delayed as before.
    pub(crate) fn lowered_to(self, age_s: f64) -> Self {
        Self {
            age_max_ms: to_milliseconds(age_s),
            honored_ms: self.honored_ms,
        }
    }

    /// This record after the last status that rests on an earlier, larger maximum age.
    pub(crate) fn settled(self) -> Self {
        Self {
            age_max_ms: self.age_max_ms,
            honored_ms: self.age_max_ms,
        }
    }

    /// Returns `age_max_ms` in seconds.
    pub(crate) fn age_max_s(&self) -> f64 {
        self.age_max_ms as f64 / 1000.0
    }

    /// Returns `honored_ms` in seconds.
    pub(crate) fn honored_s(&self) -> f64 {
        self.honored_ms as f64 / 1000.0
    }
}

fn to_milliseconds(seconds: f64) -> u64 {
    (seconds * 1000.0).ceil() as u64
}

/// A machine in a shard's record: its id, type, zone, and whether it is a spot machine.
pub type MachineEntry = (MachineId, String, String, bool);

/// A shard: its owner, the owner's fencing token, its machines and quota shares. Placements are
/// committed with the precondition that this record is unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The controller that owns the shard.
    #[serde(rename = "holder")]
    pub owner: ControllerId,
    /// The process of the owner; each restart has another incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The fencing token that the owner sends with commands to workers.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// The shard's machines; `None` for all machines, while this is the only shard.
    #[serde(default, with = "packed")]
    pub machines: Option<Vec<MachineEntry>>,
    /// CPUs and GPUs that each team with a limit may use in this shard; `None` for the whole
    /// limits, while this is the only shard.
    #[serde(rename = "allowances", default)]
    pub quota_shares: Option<BTreeMap<String, (f64, f64)>>,
}

/// The compact encoding of a shard's list of machines. Machines are grouped by type, zone and
/// market (spot or not), and the common prefix of their ids is stored once per group. With one
/// entry per machine, a list exceeded the limit on the size of values at 71 machines.
mod packed {
    use super::{MachineEntry, MachineId};
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeMap;

    /// Type, zone, whether the machines are spot machines, common prefix of the ids, and their
    /// suffixes, joined by [`SUFFIX_SEPARATOR`].
    type Group = (String, String, bool, String, String);

    /// Separates the suffixes of ids. An id that contains this character has a group of its own.
    const SUFFIX_SEPARATOR: char = ' ';

    fn encode_group(group_key: (&str, &str, bool), ids: &[&str]) -> Group {
        let first = ids.first().copied().unwrap_or("");
        let shared_bytes = |a: &str, b: &str| -> usize {
            let same = a.chars().zip(b.chars()).take_while(|(x, y)| x == y);
            same.map(|(c, _)| c.len_utf8()).sum()
        };
        let common = ids
            .iter()
            .map(|id| shared_bytes(first, id))
            .min()
            .unwrap_or(0);
        let suffixes: Vec<&str> = ids.iter().map(|id| &id[common..]).collect();
        let (machine_type, zone, spot) = group_key;
        let suffixes = suffixes.join(&SUFFIX_SEPARATOR.to_string());
        let prefix = first[..common].to_string();
        (machine_type.into(), zone.into(), spot, prefix, suffixes)
    }

    pub(super) fn serialize<S: Serializer>(
        list: &Option<Vec<MachineEntry>>,
        out: S,
    ) -> Result<S::Ok, S::Error> {
        let groups = list.as_ref().map(|list| {
            let mut ids_by_key: BTreeMap<(&str, &str, bool), Vec<&str>> = BTreeMap::new();
            let mut groups = Vec::new();
            for (id, machine_type, zone, spot) in list {
                let group_key = (machine_type.as_str(), zone.as_str(), *spot);
                if id.as_str().contains(SUFFIX_SEPARATOR) {
                    groups.push(encode_group(group_key, &[id.as_str()]));
                } else {
                    ids_by_key.entry(group_key).or_default().push(id.as_str());
                }
            }
            groups.extend(
                ids_by_key
                    .into_iter()
                    .map(|(group_key, ids)| encode_group(group_key, &ids)),
            );
            groups
        });
        groups.serialize(out)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Vec<MachineEntry>>, D::Error> {
        let groups: Option<Vec<Group>> = Option::deserialize(from)?;
        let entries = |(machine_type, zone, spot, prefix, suffixes): Group| {
            let ids = suffixes
                .split(SUFFIX_SEPARATOR)
                .map(|suffix| format!("{prefix}{suffix}"));
            let entry = |id: String| {
                (
                    MachineId::from(&*id),
                    machine_type.clone(),
                    zone.clone(),
                    spot,
                )
            };
            ids.map(entry).collect::<Vec<MachineEntry>>()
        };
        Ok(groups.map(|groups| groups.into_iter().flat_map(entries).collect()))
    }
}

impl ShardRecord {
    /// Whether a machine belongs to this shard.
    pub fn has_machine(&self, machine: &MachineId) -> bool {
        let list = self.machines.as_ref();
        list.is_none_or(|list| list.iter().any(|entry| entry.0 == *machine))
    }
}

/// One request to the cloud for more machines. It is written before it is sent, so that a new
/// leader can repeat it under the same name: the cloud then returns the machines of the first
/// request and starts no others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScaleOutRecord {
    /// The idempotency key of the request.
    pub name: String,
    /// The machine type.
    #[serde(rename = "class")]
    pub class: String,
    /// The zone.
    pub zone: String,
    /// Whether spot machines are asked for.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// A zone of a pool in which the cloud has no capacity left: the machine type, the zone, and
/// whether the pool consists of spot machines.
pub type ExhaustedPool = (String, String, bool);

/// The leader's scaling plan: the desired numbers of machines and the pending scale-out requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ScalingPlanRecord {
    /// The fencing token of the leadership that wrote the plan.
    #[serde(rename = "number")]
    pub token: FencingToken,
    /// Desired machines: type, whether spot machines are meant, and number.
    pub wanted: Vec<(String, bool, u32)>,
    /// Pending scale-out requests.
    #[serde(rename = "hires")]
    pub scale_out_requests: Vec<ScaleOutRecord>,
    /// Shards that accept new jobs, each with its relative share of them.
    #[serde(default)]
    pub shares: Vec<(u32, u32)>,
    /// Zones of pools in which the cloud has no capacity left for now. The demand of tasks is
    /// planned on other pools meanwhile.
    #[serde(rename = "closed", default)]
    pub exhausted_pools: Vec<ExhaustedPool>,
    /// Machines to delete if they have no tasks.
    #[serde(rename = "returns", default)]
    pub scale_in: Vec<MachineId>,
}

/// How the tasks of a job run.
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
    /// Runs on capacity that no other class needs.
    Idle,
    /// The usual class of batch work.
    Normal,
    /// Work whose start somebody is waiting for.
    Urgent,
    /// Preempts all other classes.
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

/// Absolute tolerance for the rounding errors of amounts that are added and subtracted many times.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Adds another amount, multiplied by `times`; a negative factor subtracts it.
    pub fn add(&mut self, other: Resources, times: f64) {
        self.cpus += other.cpus * times;
        self.gpus += other.gpus * times;
        self.mem += other.mem * times;
    }

    /// Whether these free resources suffice for `need`, within a rounding tolerance.
    pub fn holds(&self, need: Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.mem <= self.mem + ROUNDING_TOLERANCE
    }

    /// Returns the smaller amount of each resource.
    pub fn least(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            mem: self.mem.min(other.mem),
        }
    }

    /// Returns the largest fraction, over all resources, that this amount is of `whole`. A resource
    /// that `whole` lacks counts as 0.
    pub fn share_of(&self, whole: Resources) -> f64 {
        let fraction = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        fraction(self.cpus, whole.cpus)
            .max(fraction(self.gpus, whole.gpus))
            .max(fraction(self.mem, whole.mem))
    }
}

/// A job as its user submitted it, with the chunk size, shard and cancellation mark that the
/// controllers add.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The workload class, to which service level objectives refer.
    pub class: String,
    /// The team whose quota the job uses.
    pub team: String,
    /// Whether the job is a batch job or a service.
    #[serde(rename = "form")]
    pub kind: JobKind,
    /// The priority of the job, which decides what it may preempt.
    #[serde(rename = "rank")]
    pub priority_class: PriorityClass,
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    #[serde(rename = "need")]
    pub resources: Resources,
    /// The container image that a machine fetches before it runs a task.
    pub image: Image,
    /// The size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that the tasks may run on; `None` for all types.
    pub types: Option<Vec<String>>,
    /// The only zone that the tasks may run in; `None` for all zones.
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "one_zone")]
    pub zone_affinity: bool,
    /// Whether at most half of the tasks, rounded up, may be in one zone.
    #[serde(rename = "scatter")]
    pub zone_spread: bool,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// The user's estimate of the run time of a task, in seconds.
    pub estimate_s: f64,
    /// Seconds of progress after which a task saves a checkpoint by itself; 0 if it never does.
    pub checkpoint_s: f64,
    /// Seconds that a stopped task takes to save a checkpoint.
    pub save_s: f64,
    /// Seconds from the submission within which the job should be done.
    pub deadline_s: Option<f64>,
    /// Tasks per chunk. The number is fixed when the job is accepted, since the settings from which
    /// it is computed may change.
    #[serde(rename = "chunk")]
    pub chunk_size: u32,
    /// The shard whose owner schedules the job.
    #[serde(rename = "block")]
    pub shard: u32,
    /// Whether the user has cancelled the job.
    #[serde(rename = "withdrawn", default)]
    pub cancelled: bool,
    /// Jobs that have to be done before any task of this job starts, without duplicates.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<JobId>,
}

impl JobRecord {
    /// Whether the job's tasks may run on a machine type.
    pub fn allows(&self, machine_type: &str) -> bool {
        let types = self.types.as_ref();
        types.is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
    }
}

/// A placed task: its index, its attempt, its machine, and the zone of the machine.
pub type PlacedTask = (u32, Attempt, MachineId, String);

/// The finished and the placed tasks of one chunk or part of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Ranges of indexes of finished tasks; the end of a range is exclusive.
    pub done: Vec<(u32, u32)>,
    /// Placed tasks.
    pub placed: Vec<PlacedTask>,
    /// Failed attempts of the job's tasks since one of them last succeeded, as of this write. The
    /// next owner of the shard starts from this count, so that it doesn't attribute the same
    /// failures to machines or to the job again.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed_tries: u32,
    /// Machines on which the job's tasks failed, up to a maximum number.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed_on: Vec<MachineId>,
    /// Tasks per part if this record is a part; `None` for a chunk. For its tasks, a part overrides
    /// the record of its chunk, which has become too large to be written.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub part_size: Option<u32>,
}

impl PlacementRecord {
    /// Returns the record without the tasks in the given ranges.
    pub fn without(&self, omitted: &[std::ops::Range<u32>]) -> Self {
        let is_kept = |index: &u32| !omitted.iter().any(|tasks| tasks.contains(index));
        let mut record = self.clone();
        record.placed.retain(|(index, ..)| is_kept(index));
        let done = self.done.iter().flat_map(|(from, to)| *from..*to);
        record.done = to_ranges(done.filter(is_kept));
        record
    }
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Returns the size of a value as JSON, in bytes. The store's limits on the size of values apply to
/// this encoding.
pub fn json_bytes(value: &impl Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |json| json.len() + 1)
}

/// The upper limits on the CPUs and GPUs that teams may use, by team.
pub type LimitsByTeam = BTreeMap<String, (f64, f64)>;

/// Team limits that operators set at run time, in place of the limits in the settings. Only
/// operators write this record, so its content may be malformed.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsRecord {
    /// The limits, not yet checked against the teams in the settings.
    Teams(LimitsByTeam),
    /// The record can't be parsed, for the given reason.
    Unreadable(String),
}

/// How a job ended: its final status.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// All tasks of the job are done.
    Done,
    /// The user cancelled the job or a job that it depends on.
    #[serde(rename = "Withdrawn")]
    Cancelled,
}

/// The content of a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The current leader.
    Leader(LeaderRecord),
    /// The highest fencing token issued so far.
    FencingToken(FencingTokenRecord),
    /// The scaling plan.
    Plan(ScalingPlanRecord),
    /// A shard.
    Shard(ShardRecord),
    /// Team limits set at run time.
    Limits(LimitsRecord),
    /// This cell's shares of limits.
    Cell(Box<CellRecord>),
    /// The transfers between this cell and another cell.
    CellLink(LinkRecord),
    /// The maximum age of the statuses that a controller sends.
    StatusAge(StatusAgeRecord),
    /// A job.
    Job(Box<JobRecord>),
    /// The placements of a chunk or part of a job.
    Placements(PlacementRecord),
    /// How a job ended.
    End(Ending),
}
