//! Job submissions, and the response bodies for users.

use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId};
use crate::wire::{Num, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use thiserror::Error;

/// Maximum number of tasks of one job.
const TASKS_MAX: u32 = 100_000;
/// Maximum length of the name of a team, class, image, machine type or zone, in bytes. Together
/// with [`MACHINE_TYPES_MAX`], it keeps a job's record below the smallest limit on the size of a
/// value that a store has had so far.
const NAME_BYTES_MAX: usize = 128;
/// Maximum number of machine types that a job may list.
const MACHINE_TYPES_MAX: usize = 32;
/// Maximum of every amount and duration. Larger numbers are taken as invalid input.
const AMOUNT_MAX: f64 = 1e9;

/// The body of a submission. If several fields are missing, the parser names the first one in the
/// order of this struct.
#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    #[serde(rename = "troupe")]
    class: String,
    #[serde(rename = "crew")]
    team: String,
    #[serde(rename = "form")]
    kind: JobKindName,
    #[serde(rename = "rank")]
    priority_class: PriorityClassName,
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
enum JobKindName {
    Batch,
    Service,
}

impl From<JobKindName> for JobKind {
    fn from(name: JobKindName) -> Self {
        match name {
            JobKindName::Batch => Self::Batch,
            JobKindName::Service => Self::Service,
        }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityClassName {
    Critical,
    Urgent,
    Normal,
    Idle,
}

impl From<PriorityClassName> for PriorityClass {
    fn from(name: PriorityClassName) -> Self {
        match name {
            PriorityClassName::Critical => Self::Critical,
            PriorityClassName::Urgent => Self::Urgent,
            PriorityClassName::Normal => Self::Normal,
            PriorityClassName::Idle => Self::Idle,
        }
    }
}

/// Why a submission is malformed. The text is sent to the user.
#[derive(Debug, Error)]
enum SubmissionError {
    #[error("malformed: {0}")]
    Unreadable(#[from] ciborium::de::Error<std::io::Error>),
    #[error("something follows the submission")]
    TrailingBytes,
    /// A field, under its name on the wire, has a value that isn't allowed.
    #[error("{0} is invalid")]
    InvalidField(&'static str),
}

/// A malformed submission.
///
/// It has the job's id if that can be read, since the job may be known from an earlier submission.
/// The user is then sent the state of that job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSubmission {
    /// The reason that is sent to the user: an invalid field or a parser's message.
    pub reason: String,
    /// Id of the job, if it can be read.
    pub id: Option<JobId>,
}

/// The one field that is read from a malformed submission.
#[derive(Deserialize)]
struct IdBody {
    id: String,
}

/// Parses and validates a submission. The controller sets the record's chunk size and shard later.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobRecord), InvalidSubmission> {
    decode_and_validate(body).map_err(|error| {
        let id_body = ciborium::from_reader::<IdBody, _>(body).ok();
        InvalidSubmission {
            reason: error.to_string(),
            id: id_body.and_then(|id_body| JobId::parse(&id_body.id)),
        }
    })
}

fn decode_and_validate(body: &[u8]) -> Result<(JobId, JobRecord), SubmissionError> {
    let mut rest = body;
    let body: SubmitBody = ciborium::from_reader(&mut rest)?;
    if !rest.is_empty() {
        return Err(SubmissionError::TrailingBytes);
    }
    let id = valid_job_id("id", &body.id)?;
    if body.tasks == 0 || body.tasks > TASKS_MAX {
        return Err(SubmissionError::InvalidField("verses"));
    }
    let types = body.types.map(valid_machine_types).transpose()?;
    let dependencies = valid_dependencies(&body.dependencies.unwrap_or_default())?;
    let zone = |zone| valid_name("quarter", zone);
    let deadline_s = |seconds| valid_amount("curtainS", seconds);
    let record = JobRecord {
        class: valid_name("troupe", body.class)?,
        team: valid_name("crew", body.team)?,
        kind: body.kind.into(),
        priority_class: body.priority_class.into(),
        count: body.tasks,
        resources: Resources {
            cpus: valid_amount("cores", body.cpus)?,
            gpus: valid_amount("accelerators", body.gpus)?,
            mem: valid_amount("memGb", body.mem_gb)?,
        },
        image: Image::from(valid_name("score", body.image)?.as_str()),
        image_gb: valid_amount("sizeGb", body.image_gb)?,
        types,
        zone: body.zone.map(zone).transpose()?,
        zone_affinity: body.zone_affinity,
        zone_spread: body.zone_spread,
        spot: body.spot,
        estimate_s: valid_amount("reckonS", body.estimate_s)?,
        checkpoint_s: valid_amount("bookmarkS", body.checkpoint_s)?,
        save_s: valid_amount("stashS", body.save_s)?,
        deadline_s: body.deadline_s.map(deadline_s).transpose()?,
        chunk_size: 1,
        shard: 0,
        cancelled: false,
        dependencies,
    };
    Ok((id, record))
}

fn valid_job_id(field: &'static str, text: &str) -> Result<JobId, SubmissionError> {
    JobId::parse(text).ok_or(SubmissionError::InvalidField(field))
}

fn valid_name(field: &'static str, text: String) -> Result<String, SubmissionError> {
    if text.is_empty() || text.len() > NAME_BYTES_MAX || text.contains(char::is_control) {
        return Err(SubmissionError::InvalidField(field));
    }
    Ok(text)
}

fn valid_amount(field: &'static str, number: Num) -> Result<f64, SubmissionError> {
    if !(0.0..=AMOUNT_MAX).contains(&number.0) {
        return Err(SubmissionError::InvalidField(field));
    }
    Ok(number.0)
}

fn valid_machine_types(types: Vec<String>) -> Result<Vec<String>, SubmissionError> {
    if types.is_empty() || types.len() > MACHINE_TYPES_MAX {
        return Err(SubmissionError::InvalidField("builds"));
    }
    types
        .into_iter()
        .map(|text| valid_name("builds", text))
        .collect()
}

/// Returns the jobs that a submission depends on, without duplicates, sorted by id.
fn valid_dependencies(ids: &[String]) -> Result<Vec<JobId>, SubmissionError> {
    let ids = ids.iter().map(|id| valid_job_id("awaits", id));
    let ids: BTreeSet<JobId> = ids.collect::<Result<_, _>>()?;
    Ok(ids.into_iter().collect())
}

/// The status of a job, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have completed.
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

/// Returns the body of the response to a submission, a status query or a cancellation. `done` and
/// `running` are numbers of tasks.
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

/// Returns the body of a response that refuses a request.
pub fn error_body(reason: &str) -> Vec<u8> {
    encode(&ErrorBody { error: reason })
}
