//! Case: a swarm of tiny tasks fills a machine until its worker's reports exceed the limit of a
//! request's body.

use crate::record::Record;
use crate::worker::JobSpec;
use crate::world::{job_body, small_deployment, JobBody, World, SERVICE};
use std::path::Path;
use std::time::Duration;

const ARRAY: &str = "wk-000002";

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let world = World::start(small_deployment(), record.clone(), folder);
    world.wait_until_up(20.0);

    if !world.start_service(1) {
        return 2;
    }

    // Without the disruption the guest's array has as many tasks as fit into a report.
    let array = JobSpec {
        cores: 0.03,
        accelerators: 0.0,
        mem_gb: 0.05,
        verses: if trouble { 4000 } else { 400 },
        image: "pebbles".into(),
        size_gb: 0.5,
        run_s: Some(20.0),
    };
    let job = JobBody {
        id: ARRAY,
        class: "lyric-pebbles",
        team: "steelpan-lab",
        form: "batch",
        rank: "idle",
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
            let counts = world.site.counts.lock().unwrap().clone();
            record.line(&format!(
                "polled job={ARRAY} status={status} body={body:?} task_starts={:?} machines={}",
                counts.started,
                world.cloud.machines()
            ));
        }
    }
    let counts = world.site.counts.lock().unwrap().clone();
    record.line(&format!("machines={}", world.cloud.machines()));
    record.line(&format!("{counts:#?}"));
    let completed = counts.completed.get(ARRAY).copied().unwrap_or(0);
    record.line(&format!(
        "array done={done} completed={completed} running_tasks_lost={} service_replica_lost={}",
        world.lost(ARRAY),
        world.lost(SERVICE)
    ));
    if !counts.ran_twice.is_empty() {
        return 1;
    }
    // No process, machine or link was troubled. The array's tasks take 20 s and all fit on the
    // machines. Accepted work is lost if none of them has completed, though each was lost once on
    // average, or if the replica of the other team's service was lost again and again.
    let is_array_lost = completed == 0 && world.lost(ARRAY) >= array.verses;
    let is_service_lost = world.lost(SERVICE) >= 2;
    i32::from(is_array_lost || is_service_lost)
}
