//! Two of a guest team's huge arrays run beside the standing replicas of another team.

use crate::rig::{Job, poll, submit_until_accepted};
use crate::scene::{CHOROGRAFIA, Scene};
use crate::worker::Spec;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MACHINES: usize = 12;
const SERVICES: usize = 1;
/// Replicas of each service.
const REPLICAS: u64 = 12;
/// How long the arrays are watched at most, in seconds.
const WATCH_S: u64 = 75;

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::start(&CHOROGRAFIA, root, record, MACHINES, false)?;
    let nodes = scene.nodes.clone();
    let shared = scene.shared.clone();
    let service = |n: usize| Job {
        id: format!("reply-{n}"),
        troupe: "nightingale-reply".into(),
        crew: "branch-ops".into(),
        form: "service",
        rank: "critical",
        verses: REPLICAS,
        cores: 8.0,
        accelerators: 1.0,
        mem_gb: 40.0,
        scatter: true,
        reckon_s: 0.0,
    };
    // The class `manuscript-vast` of the operators' site file. Without the disruption, two small
    // arrays of the same tasks.
    let array = |n: usize| Job {
        id: format!("vast-{n}"),
        troupe: "manuscript-vast".into(),
        crew: "byzantine-chant-study".into(),
        form: "batch",
        rank: "idle",
        verses: if trouble { 25_000 } else { 1_000 },
        cores: 0.25,
        accelerators: 0.0,
        mem_gb: 1.35,
        scatter: false,
        reckon_s: 4.0,
    };
    let services: Vec<Job> = (0..SERVICES).map(service).collect();
    let arrays: Vec<Job> = (0..2).map(array).collect();
    for job in services.iter().chain(&arrays) {
        let spec = Spec {
            run: Duration::from_secs(4),
            fetch: Duration::from_millis(200),
            is_service: job.form == "service",
            need: [job.cores, job.accelerators, job.mem_gb],
        };
        shared.specs.lock().unwrap().insert(job.id.clone(), spec);
    }
    // All workers have reported by then, so that the replicas are spread over the machines.
    std::thread::sleep(Duration::from_secs(5));
    for job in &services {
        if !submit_until_accepted(&nodes, job, 20.0, &scene.log) {
            return Err(format!("{} was not accepted", job.id));
        }
    }
    let all = SERVICES as u64 * REPLICAS;
    let limit = Instant::now() + Duration::from_secs(15);
    while (shared.running.lock().unwrap().len() as u64) < all {
        if Instant::now() > limit {
            return Err("the replicas do not start".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let on: BTreeSet<String> = shared
        .running
        .lock()
        .unwrap()
        .values()
        .flatten()
        .cloned()
        .collect();
    scene
        .log
        .line(format!("all {all} replicas run, on {} machines", on.len()));
    for job in &arrays {
        if !submit_until_accepted(&nodes, job, 20.0, &scene.log) {
            return Err(format!("{} was not accepted", job.id));
        }
    }
    let end = Instant::now() + Duration::from_secs(WATCH_S);
    let (mut first_loss, mut round) = (None, 0);
    let lost = || {
        let is_replica = |task: &str| task.starts_with("reply-");
        let killed = shared.killed.lock().unwrap();
        let killed = killed.iter().filter(|(_, task)| is_replica(task)).cloned();
        let deleted = shared.deleted_with.lock().unwrap();
        let deleted = deleted.iter().flat_map(|(machine, tasks)| {
            let tasks = tasks.iter().filter(|task| is_replica(task));
            tasks.map(move |task| (machine.clone(), task.clone()))
        });
        killed.chain(deleted).collect::<Vec<_>>()
    };
    while Instant::now() < end {
        std::thread::sleep(Duration::from_secs(1));
        round += 1;
        let lost = lost();
        if !lost.is_empty() {
            first_loss.get_or_insert(Instant::now());
        }
        if round % 3 == 0 || !lost.is_empty() {
            let answer = poll(nodes.address(round % 3), "vast-0");
            scene.log.line(format!(
                "vast-0: {} {}; completed {}, of these written to the state service {}, on machines {}; answers to reports {:?}; largest report {} bytes, {} in the JSON form; replicas lost {}",
                answer.status,
                answer.stance,
                shared.completed.lock().unwrap().len(),
                scene.state.results("vast-"),
                shared.running.lock().unwrap().len(),
                shared.answers.lock().unwrap(),
                shared.largest_report.load(Ordering::Relaxed),
                shared.largest_report_json.load(Ordering::Relaxed),
                lost.len()
            ));
        }
        if first_loss.is_some_and(|at| at.elapsed() > Duration::from_secs(10)) {
            break;
        }
    }
    scene.log_counts();
    let lost = lost();
    for (machine, task) in &lost {
        scene.log.line(format!(
            "replica {task} was lost with the lease or the deletion of {machine}"
        ));
    }
    for index in 0..3 {
        if scene.controllers.has_ended(index) {
            return Err(format!("controller {index} ended by itself"));
        }
    }
    scene.log.line(format!(
        "no machine was cut off, stopped or taken; replicas lost: {} of {all}",
        lost.len()
    ));
    Ok(lost.is_empty())
}
