//! Case: a swarm of tiny tasks fills a machine until its worker's reports exceed the limit of a
//! request's body.

use crate::record::Record;
use crate::worker::JobSpec;
use crate::world::{job_body, small_deployment, JobBody, World};
use std::path::Path;
use std::time::Duration;

const SERVICE: &str = "wk-000001";
const ARRAY: &str = "wk-000002";

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let world = World::start(small_deployment(), record.clone(), folder);
    world.wait_until_up(20.0);

    let service = JobSpec {
        cores: 11.0,
        accelerators: 2.0,
        mem_gb: 35.0,
        verses: 1,
        image: "dockside".into(),
        size_gb: 2.0,
        run_s: None,
        vary: 0.0,
    };
    let job = JobBody {
        id: SERVICE,
        class: "dockside-linguist",
        team: "booking-desk",
        form: "service",
        rank: "critical",
        reckon_s: 0.0,
    };
    if world.submit(SERVICE, job_body(&job, &service), service.clone()) != 201 {
        return 2;
    }
    let started = |id: &str| {
        let counts = world.site.counts.lock().unwrap();
        counts.started.get(id).copied().unwrap_or(0)
    };
    while started(SERVICE) == 0 && record.elapsed_s() < 40.0 {
        std::thread::sleep(Duration::from_millis(100));
    }
    if started(SERVICE) == 0 {
        return 2;
    }
    record.line("the service's replica runs");

    // Without the disruption the guest's array has as many tasks as fit into a report.
    let array = JobSpec {
        cores: 0.03,
        accelerators: 0.0,
        mem_gb: 0.05,
        verses: if trouble { 4000 } else { 400 },
        image: "pebbles".into(),
        size_gb: 0.5,
        run_s: Some(20.0),
        vary: 0.0,
    };
    let job = JobBody {
        id: ARRAY,
        class: "lyric-pebbles",
        team: "steelpan-lab",
        form: "batch",
        rank: "idle",
        reckon_s: 20.0,
    };
    if world.submit(ARRAY, job_body(&job, &array), array.clone()) != 201 {
        return 2;
    }
    let mut done = false;
    let mut next_line = 0.0;
    while record.elapsed_s() < 110.0 && !done {
        std::thread::sleep(Duration::from_millis(500));
        let (status, body) = world.poll(ARRAY, 0);
        let stance = body.as_ref().and_then(|b| b.text("stance"));
        done = status == 200 && stance.as_deref() == Some("done");
        if record.elapsed_s() >= next_line || done {
            next_line = record.elapsed_s() + 5.0;
            record.line(&format!("polled job={ARRAY} status={status} body={body:?}"));
        }
    }
    let counts = world.site.counts.lock().unwrap().clone();
    record.line(&format!("machines={}", world.cloud.machines()));
    record.line(&format!("{counts:#?}"));
    let lost = |id: &str| {
        counts.killed_by_lease.get(id).copied().unwrap_or(0)
            + counts.killed_by_deletion.get(id).copied().unwrap_or(0)
    };
    let completed = counts.completed.get(ARRAY).copied().unwrap_or(0);
    record.line(&format!(
        "array done={done} completed={completed} running_tasks_lost={} service_replica_lost={}",
        lost(ARRAY),
        lost(SERVICE)
    ));
    if !counts.ran_twice.is_empty() {
        return 1;
    }
    // No process, machine or link was troubled. The array's tasks take 20 s and all fit on the
    // machines. Accepted work is lost if none of them has completed, though each was lost once on
    // average, or if the replica of the other team's service was lost again and again.
    let is_array_lost = completed == 0 && lost(ARRAY) >= array.verses;
    let is_service_lost = lost(SERVICE) >= 2;
    i32::from(is_array_lost || is_service_lost)
}
