//! What users submit, and what workers learn of it.

use super::scenario::{Arguments, milliseconds};
use super::users::Intent;
use super::world::World;
use ciborium::{Value, cbor};
use salttrestle::ids::{JobId, TaskId};
use salttrestle::wire;
use salttrestle_fakes::worker::{TaskSpec, TaskSpecs};
use std::collections::{BTreeMap, HashMap};

/// Gigabytes of an image that a worker fetches in a second.
const FETCH_GB_S: f64 = 5.0;
/// Seconds between two points at which a task that can save its progress has done so.
const CHECKPOINT_S: f64 = 10.0;

/// A job as its user knows it.
#[derive(Clone, Debug)]
pub(crate) struct JobSpec {
    /// The submission.
    pub body: Vec<u8>,
    /// What its tasks do on a worker.
    pub task: TaskSpec,
    pub dependencies: Vec<JobId>,
    /// It is submitted only when all its dependencies are over.
    pub late: bool,
    /// It is submitted without waiting until its dependencies are accepted.
    pub hasty: bool,
}

impl JobSpec {
    /// The job of a `submit` line.
    fn of_line(arguments: &Arguments) -> Self {
        let dependencies = arguments.list("needs").unwrap_or_default();
        Self {
            body: submission(arguments, &dependencies),
            task: task_spec(arguments),
            dependencies: dependencies
                .iter()
                .map(|id| JobId::from(id.as_str()))
                .collect(),
            late: arguments.has("late"),
            hasty: arguments.has("hasty"),
        }
    }
}

/// The jobs that a run's users have submitted, for their workers.
pub(crate) struct SubmittedJobs<'a>(pub &'a HashMap<JobId, JobSpec>);

impl TaskSpecs for SubmittedJobs<'_> {
    fn spec(&self, task: &TaskId) -> Option<&TaskSpec> {
        self.0.get(&task.job).map(|spec| &spec.task)
    }
}

fn image_of(arguments: &Arguments) -> &str {
    arguments.value("image").unwrap_or("img-1")
}

/// Seconds that a stopped task takes to save its progress; none if it can't.
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
        image: image_of(arguments).into(),
        run_ms: milliseconds(run_s(arguments)),
        fetch_ms: milliseconds(image_gb(arguments) / FETCH_GB_S),
        save_ms: milliseconds(save_s(arguments)),
        is_service: arguments.has("service"),
        crash_loops: arguments.has("broken"),
    }
}

/// A submission as it goes onto the wire.
fn submission(arguments: &Arguments, dependencies: &[String]) -> Vec<u8> {
    let save_s = save_s(arguments);
    let body = cbor!({
        "id" => arguments.word(0), "troupe" => arguments.value("class").unwrap_or("c"),
        "crew" => arguments.value("team").unwrap_or("t"),
        "form" => if arguments.has("service") { "service" } else { "batch" },
        "rank" => arguments.value("rank").unwrap_or("normal"),
        "verses" => arguments.number("count", 1.0) as u64,
        "cores" => arguments.number("cpus", 4.0),
        "accelerators" => arguments.number("gpus", 1.0),
        "memGb" => arguments.number("mem", 8.0),
        "score" => image_of(arguments), "sizeGb" => image_gb(arguments),
        "builds" => arguments.list("types"), "quarter" => arguments.value("zone"),
        "samePlace" => arguments.has("one-zone"), "scatter" => arguments.has("scatter"),
        "borrowed" => arguments.has("spot"), "reckonS" => run_s(arguments),
        "bookmarkS" => if save_s > 0.0 { CHECKPOINT_S } else { 0.0 }, "stashS" => save_s,
        "curtainS" => Option::<f64>::None,
        "awaits" => (!dependencies.is_empty()).then_some(dependencies)
    });
    wire::encode(&body.expect("a map"))
}

/// The same submission with some of its fields changed.
pub(crate) fn edited(body: &[u8], edit: impl FnOnce(&mut BTreeMap<String, Value>)) -> Vec<u8> {
    let mut fields = wire::decode(body).expect("a submission");
    edit(&mut fields);
    wire::encode(&fields)
}

/// The same submission with a field missing.
pub(crate) fn without_rank(body: &[u8]) -> Vec<u8> {
    edited(body, |fields| {
        fields.remove("rank");
    })
}

impl World {
    /// A user submits the job of a line.
    pub(super) fn submit(&mut self, arguments: &Arguments) {
        let id = arguments.job(0);
        self.add_spec(&id, JobSpec::of_line(arguments));
        if arguments.has("unfit") {
            self.checker.expect_refusal(&id);
        }
        self.user_request(&id, Intent::Submit);
    }

    /// The checker and the workers learn of a job that is about to be submitted.
    pub(super) fn add_spec(&mut self, id: &JobId, spec: JobSpec) {
        if let Ok((_, record)) = wire::submission(&spec.body) {
            self.checker.record_submission(self.now, id, record);
        }
        self.specs.insert(id.clone(), spec);
    }
}
