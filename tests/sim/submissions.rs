//! The jobs that users submit, and the behaviour of their tasks on workers.

use super::scenario::{Arguments, milliseconds};
use super::users::Intent;
use super::world::World;
use ciborium::{Value, cbor};
use salttrestle::ids::{JobId, TaskId};
use salttrestle::wire;
use salttrestle_fakes::worker::{TaskSpec, TaskSpecs};
use std::collections::{BTreeMap, HashMap};

/// The rate at which a worker fetches an image, in gigabytes per second.
const FETCH_GB_S: f64 = 5.0;
/// The checkpoint interval of a task that can save its progress, in seconds.
const CHECKPOINT_S: f64 = 10.0;

/// A job's submission and the behaviour of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct JobSpec {
    /// The encoded submission.
    pub body: Vec<u8>,
    /// The behaviour of the job's tasks on a worker.
    pub task: TaskSpec,
    pub dependencies: Vec<JobId>,
    /// Whether the job is submitted only when all its dependencies have ended.
    pub waits_for_dependency_ends: bool,
    /// Whether the job is submitted without waiting until its dependencies are accepted.
    pub skips_dependency_wait: bool,
}

impl JobSpec {
    /// The job that a `submit` command describes.
    fn from_arguments(arguments: &Arguments) -> Self {
        let dependencies = arguments.list("needs").unwrap_or_default();
        Self {
            body: encode_submission(arguments, &dependencies),
            task: task_spec(arguments),
            dependencies: dependencies
                .iter()
                .map(|id| JobId::from(id.as_str()))
                .collect(),
            waits_for_dependency_ends: arguments.contains("late"),
            skips_dependency_wait: arguments.contains("hasty"),
        }
    }
}

/// The submitted jobs of a run, from which workers look up the behaviour of tasks.
pub(crate) struct SubmittedJobs<'a>(pub &'a HashMap<JobId, JobSpec>);

impl TaskSpecs for SubmittedJobs<'_> {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.0.get(&task.job).map(|spec| &spec.task)
    }
}

fn image_name(arguments: &Arguments) -> &str {
    arguments.value("image").unwrap_or("img-1")
}

/// The time that a stopped task takes to save its progress, in seconds; 0 if it can't save it.
fn save_s(arguments: &Arguments) -> f64 {
    arguments.number("save", 0.0)
}

fn run_s(arguments: &Arguments) -> f64 {
    arguments.number("run", 20.0)
}

fn image_gb(arguments: &Arguments) -> f64 {
    arguments.number("gb", 5.0)
}

fn task_spec(arguments: &Arguments) -> TaskSpec {
    TaskSpec {
        image: image_name(arguments).into(),
        run_ms: milliseconds(run_s(arguments)),
        fetch_ms: milliseconds(image_gb(arguments) / FETCH_GB_S),
        save_ms: milliseconds(save_s(arguments)),
        is_service: arguments.contains("service"),
        crash_loops: arguments.contains("broken"),
    }
}

/// Encodes a submission for the wire.
fn encode_submission(arguments: &Arguments, dependencies: &[String]) -> Vec<u8> {
    let save_s = save_s(arguments);
    let body = cbor!({
        "id" => arguments.word(0), "troupe" => arguments.value("class").unwrap_or("c"),
        "crew" => arguments.value("team").unwrap_or("t"),
        "form" => if arguments.contains("service") { "service" } else { "batch" },
        "rank" => arguments.value("rank").unwrap_or("normal"),
        "verses" => arguments.number("count", 1.0) as u64,
        "cores" => arguments.number("cpus", 4.0),
        "accelerators" => arguments.number("gpus", 1.0),
        "memGb" => arguments.number("mem", 8.0),
        "score" => image_name(arguments), "sizeGb" => image_gb(arguments),
        "builds" => arguments.list("types"), "quarter" => arguments.value("zone"),
        "samePlace" => arguments.contains("one-zone"), "scatter" => arguments.contains("scatter"),
        "borrowed" => arguments.contains("spot"), "reckonS" => run_s(arguments),
        "bookmarkS" => if save_s > 0.0 { CHECKPOINT_S } else { 0.0 }, "stashS" => save_s,
        "curtainS" => Option::<f64>::None,
        "awaits" => (!dependencies.is_empty()).then_some(dependencies)
    });
    wire::encode(&body.expect("a map"))
}

/// Decodes a submission, edits its fields, and encodes the result.
pub(crate) fn edit_submission(
    body: &[u8],
    edit: impl FnOnce(&mut BTreeMap<String, Value>),
) -> Vec<u8> {
    let mut fields = wire::decode(body).expect("a submission");
    edit(&mut fields);
    wire::encode(&fields)
}

/// Removes the required field `rank` from a submission.
pub(crate) fn without_rank(body: &[u8]) -> Vec<u8> {
    edit_submission(body, |fields| {
        fields.remove("rank");
    })
}

impl World {
    /// Handles `submit`. With `unfit`, the checker expects that the job is refused.
    pub(super) fn submit(&mut self, arguments: &Arguments) {
        let id = arguments.job(0);
        self.add_spec(&id, JobSpec::from_arguments(arguments));
        if arguments.contains("unfit") {
            self.checker.expect_refusal(&id);
        }
        self.send_user_request(&id, Intent::Submit);
    }

    /// Registers a job with the checker and the workers before its submission.
    pub(super) fn add_spec(&mut self, id: &JobId, spec: JobSpec) {
        if let Ok((_, record)) = wire::parse_submission(&spec.body) {
            self.checker.record_submission(self.now, id, record);
        }
        self.specs.insert(id.clone(), spec);
    }
}
