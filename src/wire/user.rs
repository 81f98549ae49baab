//! Submissions, and what users are answered.

use crate::controller::store::records::{JobKind, JobRecord, PriorityClass, Resources};
use crate::ids::{Image, JobId};
use crate::wire::{AMOUNT_MAX, NAME_MAX, Num, TASKS_MAX, TYPES_MAX, encode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

#[derive(Deserialize)]
struct SubmitBody {
    id: String,
    troupe: String,
    crew: String,
    #[serde(rename = "form")]
    kind: JobKindWord,
    #[serde(rename = "rank")]
    priority_class: PriorityClassWord,
    verses: u32,
    cores: Num,
    accelerators: Num,
    #[serde(rename = "memGb")]
    mem_gb: Num,
    score: String,
    #[serde(rename = "sizeGb")]
    size_gb: Num,
    builds: Option<Vec<String>>,
    quarter: Option<String>,
    #[serde(rename = "samePlace")]
    same_place: bool,
    #[serde(rename = "scatter")]
    zone_spread: bool,
    borrowed: bool,
    #[serde(rename = "reckonS")]
    reckon_s: Num,
    #[serde(rename = "bookmarkS")]
    bookmark_s: Num,
    #[serde(rename = "stashS")]
    stash_s: Num,
    #[serde(rename = "curtainS")]
    curtain_s: Option<Num>,
    awaits: Option<Vec<String>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum JobKindWord {
    Batch,
    Service,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum PriorityClassWord {
    Critical,
    Urgent,
    Normal,
    Idle,
}

/// Why a submission is malformed: the field, or what the parser said. Its id, if that can
/// be read: the job may be known, and then its state is the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSubmission {
    pub why: String,
    pub id: Option<JobId>,
}

impl From<String> for InvalidSubmission {
    fn from(why: String) -> Self {
        Self { why, id: None }
    }
}

impl From<&'static str> for InvalidSubmission {
    fn from(field: &'static str) -> Self {
        Self::from(format!("{field} is invalid"))
    }
}

/// What a submission that is otherwise malformed may still tell.
#[derive(Deserialize)]
struct Named {
    id: String,
}

/// Reads and checks a submission. Chunk size and shard are for the controller to set.
pub fn submission(body: &[u8]) -> Result<(JobId, JobRecord), InvalidSubmission> {
    checked(body).map_err(|bad| {
        let named = ciborium::from_reader::<Named, _>(body).ok();
        let id = named.and_then(|n| JobId::parse(&n.id));
        InvalidSubmission { id, ..bad }
    })
}

fn checked(body: &[u8]) -> Result<(JobId, JobRecord), InvalidSubmission> {
    let mut rest = body;
    let b: SubmitBody = ciborium::from_reader(&mut rest).map_err(|e| format!("malformed: {e}"))?;
    if !rest.is_empty() {
        return Err(String::from("something follows the submission").into());
    }
    let id = JobId::parse(&b.id).ok_or("id")?;
    if b.verses == 0 || b.verses > TASKS_MAX {
        return Err("verses".into());
    }
    let name = |field: &'static str, text: String| {
        let good = !text.is_empty() && text.len() <= NAME_MAX && !text.contains(char::is_control);
        good.then_some(text).ok_or(InvalidSubmission::from(field))
    };
    let amount = |field: &'static str, n: Num| {
        let good = n.0.is_finite() && (0.0..=AMOUNT_MAX).contains(&n.0);
        good.then_some(n.0).ok_or(InvalidSubmission::from(field))
    };
    let types = match b.builds {
        None => None,
        Some(list) if list.is_empty() || list.len() > TYPES_MAX => return Err("builds".into()),
        Some(list) => Some(
            list.into_iter()
                .map(|t| name("builds", t))
                .collect::<Result<Vec<_>, _>>()?,
        ),
    };
    let mut needs = BTreeSet::new();
    for need in b.awaits.unwrap_or_default() {
        needs.insert(JobId::parse(&need).ok_or("awaits")?);
    }
    let record = JobRecord {
        class: name("troupe", b.troupe)?,
        team: name("crew", b.crew)?,
        kind: match b.kind {
            JobKindWord::Batch => JobKind::Batch,
            JobKindWord::Service => JobKind::Service,
        },
        priority_class: match b.priority_class {
            PriorityClassWord::Critical => PriorityClass::Critical,
            PriorityClassWord::Urgent => PriorityClass::Urgent,
            PriorityClassWord::Normal => PriorityClass::Normal,
            PriorityClassWord::Idle => PriorityClass::Idle,
        },
        count: b.verses,
        resources: Resources {
            cpus: amount("cores", b.cores)?,
            gpus: amount("accelerators", b.accelerators)?,
            mem: amount("memGb", b.mem_gb)?,
        },
        image: Image::from(name("score", b.score)?.as_str()),
        image_gb: amount("sizeGb", b.size_gb)?,
        types,
        zone: b.quarter.map(|z| name("quarter", z)).transpose()?,
        zone_affinity: b.same_place,
        zone_spread: b.zone_spread,
        spot: b.borrowed,
        estimate_s: amount("reckonS", b.reckon_s)?,
        checkpoint_s: amount("bookmarkS", b.bookmark_s)?,
        save_s: amount("stashS", b.stash_s)?,
        deadline_s: b.curtain_s.map(|n| amount("curtainS", n)).transpose()?,
        chunk: 1,
        shard: 0,
        cancelled: false,
        dependencies: needs.into_iter().collect(),
    };
    Ok((id, record))
}

/// A job's status as users are told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum JobStatus {
    Queued,
    Running,
    Done,
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

/// The answer to a submission, a question or a cancellation.
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
