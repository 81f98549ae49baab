//! Case: the owner of the machines loses the workers, and a worker with over 200 tasks is sent to
//! it by the controllers that it reaches.

use crate::record::Record;
use crate::worker::JobSpec;
use crate::world::{job_body, small_deployment, JobBody, World, SERVICE};
use std::path::Path;
use std::time::Duration;

const ARRAY: &str = "wk-000002";
/// How long the controller is cut off from the workers, in seconds.
const CUT_S: f64 = 30.0;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    // With 150 tasks instead of 212, the same cut loses nothing (see claim.txt).
    let array_tasks: u64 = std::env::var("TASKS")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(212);
    let mut setup = small_deployment();
    setup.builds[0].ready_s = 60.0;
    let world = World::start(setup, record.clone(), folder);
    world.wait_until_up(20.0);
    if !world.start_service(1) {
        return 2;
    }
    // Tasks of a quarter of a CPU, as many as the machine of the replica takes beside it.
    let array = JobSpec {
        cores: 0.25,
        accelerators: 0.0,
        mem_gb: 0.9,
        verses: array_tasks,
        image: "pebbles".into(),
        size_gb: 0.5,
        run_s: Some(300.0),
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
    let is_loaded = || {
        let on = world.site.on.lock().unwrap();
        let machine = on
            .get(&format!("{SERVICE}/0"))
            .and_then(|m| m.first())
            .cloned();
        let tasks = world.cloud.tasks();
        tasks
            .iter()
            .any(|(id, tasks)| Some(id) == machine.as_ref() && *tasks as u64 > array_tasks - 7)
    };
    while !is_loaded() && record.elapsed_s() < 40.0 {
        pause(0.1);
    }
    record.line(&format!("tasks={:?}", world.cloud.tasks()));
    if !is_loaded() {
        record.line("the replica's machine has too few tasks: the case can't run");
        return 2;
    }
    pause(8.0);
    let Some(leader) = world.leader_index() else {
        return 2;
    };
    record.line(&format!("leader={}", world.nodes[leader].name));
    let lost_before = world.lost(SERVICE);
    if trouble {
        world.site.cut_from_workers.lock().unwrap()[leader] = true;
        record.line(&format!(
            "cut begins: {} loses the workers",
            world.nodes[leader].name
        ));
    }
    pause(CUT_S);
    world.site.cut_from_workers.lock().unwrap()[leader] = false;
    record.line("cut ends");
    pause(5.0);
    record.line(&format!(
        "leader={:?} tasks={:?}",
        world.leader_index(),
        world.cloud.tasks()
    ));
    let lost_now = world.lost(SERVICE) - lost_before;
    let counts = world.site.counts.lock().unwrap().clone();
    record.line(&format!("{counts:?}"));
    record.line(&format!(
        "replica lost={lost_now} array tasks lost={}",
        world.lost(ARRAY)
    ));
    i32::from(lost_now > 0 || !counts.ran_twice.is_empty())
}
