//! Submissions, and what users are answered.

use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId};
use crate::wire::{Num, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// Most tasks of one job.
const TASKS_MAX: u32 = 100_000;
/// Longest name of a team, class, image, type or zone, and longest list of types: together they
/// keep a job's record below the smallest value limit seen.
const NAME_MAX: usize = 128;
const TYPES_MAX: usize = 32;
/// Larger amounts and durations than this are no honest input.
const AMOUNT_MAX: f64 = 1e9;

/// A submission as users write it. The order of the fields is that in which the parser names those
/// that are missing.
#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    #[serde(rename = "troupe")]
    class: String,
    #[serde(rename = "crew")]
    team: String,
    #[serde(rename = "form")]
    kind: JobKindWord,
    #[serde(rename = "rank")]
    priority_class: PriorityClassWord,
    #[serde(rename = "verses")]
    tasks: u32,
    #[serde(rename = "cores")]
    cpus: Num,
    #[serde(rename = "accelerators")]
    gpus: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    #[serde(rename = "score")]
    image: String,
    #[serde(rename = "sizeGb")]
    image_gb: Num,
    #[serde(rename = "builds")]
    types: Option<Vec<String>>,
    #[serde(rename = "quarter")]
    zone: Option<String>,
    #[serde(rename = "samePlace")]
    zone_affinity: bool,
    #[serde(rename = "scatter")]
    zone_spread: bool,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "reckonS")]
    estimate_s: Num,
    #[serde(rename = "bookmarkS")]
    checkpoint_s: Num,
    #[serde(rename = "stashS")]
    save_s: Num,
    #[serde(rename = "curtainS")]
    deadline_s: Option<Num>,
    #[serde(rename = "awaits")]
    dependencies: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum JobKindWord {
    Batch,
    Service,
}

impl From<JobKindWord> for JobKind {
    fn from(word: JobKindWord) -> Self {
        match word {
            JobKindWord::Batch => Self::Batch,
            JobKindWord::Service => Self::Service,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityClassWord {
    Critical,
    Urgent,
    Normal,
    Idle,
}

impl From<PriorityClassWord> for PriorityClass {
    fn from(word: PriorityClassWord) -> Self {
        match word {
            PriorityClassWord::Critical => Self::Critical,
            PriorityClassWord::Urgent => Self::Urgent,
            PriorityClassWord::Normal => Self::Normal,
            PriorityClassWord::Idle => Self::Idle,
        }
    }
}

/// Why a submission is malformed. Users read this.
#[derive(Debug, Error)]
enum SubmissionError {
    #[error("malformed: {0}")]
    Unreadable(#[from] ciborium::de::Error<std::io::Error>),
    #[error("something follows the submission")]
    TrailingBytes,
    /// The field, as users write it.
    #[error("{0} is invalid")]
    InvalidField(&'static str),
}

/// Why a submission is malformed: the field, or what the parser said. Its id, if that can
/// be read: the job may be known, and then its state is the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSubmission {
    /// The reason, as users read it.
    pub reason: String,
    /// The job's id, if that can be read.
    pub id: Option<JobId>,
}

/// What may still be read of a submission that is otherwise malformed.
#[derive(Deserialize)]
struct IdBody {
    id: String,
}

/// Reads and checks a submission. Chunk size and shard are for the controller to set.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobRecord), InvalidSubmission> {
    read_submission(body).map_err(|error| {
        let named = ciborium::from_reader::<IdBody, _>(body).ok();
        InvalidSubmission {
            reason: error.to_string(),
            id: named.and_then(|named| JobId::parse(&named.id)),
        }
    })
}

fn read_submission(body: &[u8]) -> Result<(JobId, JobRecord), SubmissionError> {
    let mut rest = body;
    let body: SubmitBody = ciborium::from_reader(&mut rest)?;
    if !rest.is_empty() {
        return Err(SubmissionError::TrailingBytes);
    }
    let id = job_id("id", &body.id)?;
    if body.tasks == 0 || body.tasks > TASKS_MAX {
        return Err(SubmissionError::InvalidField("verses"));
    }
    let types = body.types.map(machine_types).transpose()?;
    let dependencies = dependencies(&body.dependencies.unwrap_or_default())?;
    let zone = |zone| name("quarter", zone);
    let deadline_s = |seconds| amount("curtainS", seconds);
    let record = JobRecord {
        class: name("troupe", body.class)?,
        team: name("crew", body.team)?,
        kind: body.kind.into(),
        priority_class: body.priority_class.into(),
        count: body.tasks,
        resources: Resources {
            cpus: amount("cores", body.cpus)?,
            gpus: amount("accelerators", body.gpus)?,
            mem: amount("memGb", body.mem_gb)?,
        },
        image: Image::from(name("score", body.image)?.as_str()),
        image_gb: amount("sizeGb", body.image_gb)?,
        types,
        zone: body.zone.map(zone).transpose()?,
        zone_affinity: body.zone_affinity,
        zone_spread: body.zone_spread,
        spot: body.spot,
        estimate_s: amount("reckonS", body.estimate_s)?,
        checkpoint_s: amount("bookmarkS", body.checkpoint_s)?,
        save_s: amount("stashS", body.save_s)?,
        deadline_s: body.deadline_s.map(deadline_s).transpose()?,
        chunk_size: 1,
        shard: 0,
        cancelled: false,
        dependencies,
    };
    Ok((id, record))
}

fn job_id(field: &'static str, text: &str) -> Result<JobId, SubmissionError> {
    JobId::parse(text).ok_or(SubmissionError::InvalidField(field))
}

fn name(field: &'static str, text: String) -> Result<String, SubmissionError> {
    if text.is_empty() || text.len() > NAME_MAX || text.contains(char::is_control) {
        return Err(SubmissionError::InvalidField(field));
    }
    Ok(text)
}

fn amount(field: &'static str, number: Num) -> Result<f64, SubmissionError> {
    if !(0.0..=AMOUNT_MAX).contains(&number.0) {
        return Err(SubmissionError::InvalidField(field));
    }
    Ok(number.0)
}

fn machine_types(types: Vec<String>) -> Result<Vec<String>, SubmissionError> {
    if types.is_empty() || types.len() > TYPES_MAX {
        return Err(SubmissionError::InvalidField("builds"));
    }
    types.into_iter().map(|text| name("builds", text)).collect()
}

/// The jobs that a submission depends on, each once, in order.
fn dependencies(ids: &[String]) -> Result<Vec<JobId>, SubmissionError> {
    let ids = ids.iter().map(|id| job_id("awaits", id));
    let ids: BTreeSet<JobId> = ids.collect::<Result<_, _>>()?;
    Ok(ids.into_iter().collect())
}

/// A job's status as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are complete.
    Done,
    /// The job was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

#[derive(Serialize)]
struct JobStatusBody<'a> {
    id: &'a str,
    #[serde(rename = "stance")]
    status: JobStatus,
    done: u32,
    running: u32,
}

/// The answer to a submission, a status query or a cancellation.
pub fn job_status_body(id: &JobId, status: JobStatus, done: u32, running: u32) -> Vec<u8> {
    encode(&JobStatusBody {
        id: id.as_str(),
        status,
        done,
        running,
    })
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The body of a refusal.
pub fn error_body(why: &str) -> Vec<u8> {
    encode(&ErrorBody { error: why })
}
