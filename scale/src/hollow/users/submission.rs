//! Builds the jobs that users submit.

use crate::experiment::Load;
use crate::hollow::jobs::{BATCH_CLASS, Job, SERVICE_CLASS};
use salttrestle::wire;
use salttrestle_fakes::worker::TaskSpec;
use serde::Serialize;

/// Container image of all jobs.
const IMAGE: &str = "img-hollow";
/// Size of the image, in GB.
const IMAGE_GB: f64 = 0.5;
/// Time that a worker takes to fetch the image, in milliseconds.
const IMAGE_FETCH_MS: u64 = 100;
/// Memory request of a task, in GB.
const TASK_MEMORY_GB: f64 = 4.0;

/// Body of a submission. Serde attributes map its fields to the names of the protocol.
#[derive(Serialize)]
struct SubmissionBody<'a> {
    id: &'a str,
    #[serde(rename = "troupe")]
    class: &'a str,
    #[serde(rename = "crew")]
    team: &'a str,
    #[serde(rename = "form")]
    kind: &'a str,
    #[serde(rename = "rank")]
    priority: &'a str,
    #[serde(rename = "verses")]
    tasks: u32,
    #[serde(rename = "cores")]
    cpus: f64,
    #[serde(rename = "accelerators")]
    gpus: f64,
    #[serde(rename = "memGb")]
    mem_gb: f64,
    #[serde(rename = "score")]
    image: &'a str,
    #[serde(rename = "sizeGb")]
    image_gb: f64,
    #[serde(rename = "builds")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "quarter")]
    zone: Option<String>,
    #[serde(rename = "samePlace")]
    same_zone: bool,
    #[serde(rename = "scatter")]
    zone_spread: bool,
    #[serde(rename = "borrowed")]
    spot: bool,
    #[serde(rename = "reckonS")]
    estimate_s: f64,
    #[serde(rename = "bookmarkS")]
    checkpoint_s: f64,
    #[serde(rename = "stashS")]
    save_s: f64,
    #[serde(rename = "curtainS")]
    deadline_s: Option<f64>,
}

/// Number of a job's tasks, and CPUs and GPUs of each.
struct JobShape {
    tasks: u32,
    cpus: f64,
    gpus: f64,
}

impl JobShape {
    fn of_class(class: &str, load: &Load) -> Self {
        let [replica_cpus, replica_gpus] = load.replica_resources;
        match class {
            SERVICE_CLASS => Self {
                tasks: load.replicas,
                cpus: replica_cpus,
                gpus: replica_gpus,
            },
            BATCH_CLASS => Self {
                tasks: load.tasks_per_job,
                cpus: load.batch_cpus,
                gpus: 0.0,
            },
            _ => Self {
                tasks: 1,
                cpus: load.batch_cpus,
                gpus: 0.0,
            },
        }
    }
}

/// Builds a team's job of the given class.
pub(super) fn build_job(id: &str, class: &str, team: &str, load: &Load) -> Job {
    let shape = JobShape::of_class(class, load);
    let is_service = class == SERVICE_CLASS;
    let submission = wire::encode(&SubmissionBody {
        id,
        class,
        team,
        kind: if is_service { "service" } else { "batch" },
        priority: match class {
            SERVICE_CLASS => "critical",
            BATCH_CLASS => "normal",
            _ => "urgent",
        },
        tasks: shape.tasks,
        cpus: shape.cpus,
        gpus: shape.gpus,
        mem_gb: TASK_MEMORY_GB,
        image: IMAGE,
        image_gb: IMAGE_GB,
        machine_types: None,
        zone: None,
        same_zone: false,
        zone_spread: false,
        spot: false,
        estimate_s: if is_service { 0.0 } else { load.batch_run_s },
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    });
    let spec = TaskSpec {
        image: IMAGE.into(),
        run_ms: (load.batch_run_s * 1000.0) as u64,
        fetch_ms: IMAGE_FETCH_MS,
        save_ms: 0,
        is_service,
        crash_loops: false,
    };
    Job { submission, spec }
}
