//! Case: the last job of a pipeline raises the priority of the jobs that it needs, and every
//! controller stands still while it works that out.

use crate::cbor::V;
use crate::record::Record;
use crate::worker::JobSpec;
use crate::world::{job_body, small_deployment, JobBody, World, SERVICE};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Submissions that are under way at the same time.
const PARALLEL: usize = 24;

fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

fn stage_id(stage: usize, index: usize) -> String {
    format!("wk-{:06}", 1000 * stage + index)
}

fn submit(world: &World, id: &str, rank: &str, awaits: Vec<String>) -> bool {
    let spec = JobSpec {
        cores: 60.0,
        accelerators: 8.0,
        mem_gb: 200.0,
        verses: 1,
        image: "blend".into(),
        size_gb: 1.0,
        run_s: Some(200.0),
    };
    let job = JobBody {
        id,
        class: "pitch-lake-blend",
        team: "booking-desk",
        form: "batch",
        rank,
    };
    let mut body = job_body(&job, &spec);
    if let V::M(fields) = &mut body {
        let awaits = awaits.into_iter().map(V::T).collect();
        fields.push(("awaits".into(), V::A(awaits)));
    }
    let status = world.submit_at(id.bytes().last().unwrap_or(0) as usize % 3, id, body, spec);
    matches!(status, 200 | 201)
}

/// Submits the jobs of one stage, several at a time. Returns whether all were accepted.
fn submit_stage(
    world: &World,
    stage: usize,
    count: usize,
    awaits: &(dyn Fn(usize) -> Vec<String> + Sync),
) -> bool {
    let (next, accepted) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::SeqCst);
                if index >= count {
                    return;
                }
                if submit(world, &stage_id(stage, index), "idle", awaits(index)) {
                    accepted.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    accepted.load(Ordering::SeqCst) == count
}

pub fn run(record: Record, folder: &Path, trouble: bool) -> i32 {
    let jobs: usize = std::env::var("JOBS")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(560);
    let mut setup = small_deployment();
    setup.builds[0].ready_s = 60.0;
    setup.builds[0].capacity = 2;
    let world = World::start(setup, record.clone(), folder);
    world.wait_until_up(20.0);
    if !world.start_service(4) {
        return 2;
    }
    if !submit_stage(&world, 1, jobs, &|_| Vec::new()) {
        return 2;
    }
    record.line("first stage accepted");
    let needs = |stage: usize, index: usize| -> Vec<String> {
        match trouble {
            true => (0..jobs).map(|i| stage_id(stage, i)).collect(),
            false => vec![stage_id(stage, index), stage_id(stage, (index + 1) % jobs)],
        }
    };
    if !submit_stage(&world, 2, jobs, &|index| needs(1, index)) {
        return 2;
    }
    record.line("second stage accepted");
    pause(2.0);
    let before = world.lost(SERVICE);
    // The last job of the pipeline has the priority that its users care about.
    let last = stage_id(3, 0);
    let from = record.elapsed_s();
    let is_accepted = submit(&world, &last, "urgent", needs(2, 0));
    record.line(&format!("last job accepted={is_accepted}"));
    let (mut answered_at, mut longest_s) = (from, 0.0);
    while record.elapsed_s() < (from + 50.0).min(112.0) {
        pause(0.5);
        let polls: Vec<u16> = (0..3).map(|i| world.poll(SERVICE, i).0).collect();
        record.line(&format!(
            "polled job={SERVICE} answers={polls:?} leader={:?}",
            world.state.leader()
        ));
        if polls.contains(&200) {
            longest_s = f64::max(longest_s, record.elapsed_s() - answered_at);
            answered_at = record.elapsed_s();
        }
    }
    longest_s = f64::max(longest_s, record.elapsed_s() - answered_at);
    let after = world.site.counts.lock().unwrap().clone();
    record.line(&format!("{after:?}"));
    record.line(&format!(
        "no controller answered for s={longest_s:.1} leases_ended={} replicas lost before={} after={}",
        after.leases_ended,
        before,
        world.lost(SERVICE)
    ));
    // Nothing was cut, stopped or killed: no replica may be lost.
    i32::from(world.lost(SERVICE) > 0)
}
