//! A controller goes quiet for more than a minute while a guest team's arrays run, and goes on.

use crate::rig::{Job, poll, submit_until_accepted, up};
use crate::scene::{RAMDIAL_LEAN, Scene};
use crate::worker::Spec;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const MACHINES: usize = 12;
const QUIET_S: u64 = 75;
const AFTER_S: u64 = 12;

/// What a process holds in memory, in kB: all of it, and the part that is not mapped from files.
fn memory(pid: u32) -> (u64, u64) {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|rest| rest.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    };
    (value("VmRSS:"), value("RssAnon:"))
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::start(&RAMDIAL_LEAN, root, record, MACHINES, false)?;
    let nodes = scene.nodes.clone();
    let limit_kb = (RAMDIAL_LEAN.mem_mb * 1024.0) as u64;
    std::thread::sleep(Duration::from_secs(3));
    for n in 0..2 {
        let job = Job {
            id: format!("sweep-{n}"),
            troupe: "archive-mega-sweep".into(),
            crew: "steelpan-lab".into(),
            form: "batch",
            rank: "idle",
            verses: 25_000,
            cores: 0.25,
            accelerators: 0.0,
            mem_gb: 0.9,
            scatter: false,
            reckon_s: 6.0,
        };
        let spec = Spec {
            run: Duration::from_secs(6),
            fetch: Duration::from_millis(200),
            is_service: false,
            need: [job.cores, job.accelerators, job.mem_gb],
        };
        scene
            .shared
            .specs
            .lock()
            .unwrap()
            .insert(job.id.clone(), spec);
        if !submit_until_accepted(&nodes, &job, 20.0, &scene.log) {
            return Err(format!("{} was not accepted", job.id));
        }
    }
    std::thread::sleep(Duration::from_secs(3));
    let leader = scene.state.leader().unwrap_or_default();
    let quiet = (0..3)
        .rev()
        .find(|index| nodes.names[*index] != leader)
        .unwrap_or(2);
    if trouble {
        scene.controllers.signal(quiet, "STOP");
        scene
            .log
            .line(format!("{} goes quiet for {QUIET_S} s", nodes.names[quiet]));
    }
    let resume_at = Instant::now() + Duration::from_secs(QUIET_S);
    let end = resume_at + Duration::from_secs(AFTER_S);
    let (mut is_quiet, mut over, mut most, mut next_line) =
        (trouble, Vec::new(), [(0, 0); 3], Instant::now());
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(20));
        if is_quiet && Instant::now() >= resume_at {
            is_quiet = false;
            scene.controllers.signal(quiet, "CONT");
            scene.log.line(format!("{} goes on", nodes.names[quiet]));
            next_line = Instant::now();
        }
        for index in 0..3 {
            let Some(pid) = scene.controllers.pid(index) else {
                continue;
            };
            let (all, own) = memory(pid);
            most[index] = (all.max(most[index].0), own.max(most[index].1));
            if all > limit_kb {
                // What the platform does to such a process.
                scene.log.line(format!(
                    "{} holds {all} kB, {own} kB of that not mapped from files; the limit is {limit_kb} kB: it is killed and started again",
                    nodes.names[index]
                ));
                over.push(nodes.names[index].clone());
                scene.controllers.kill(index);
                scene
                    .controllers
                    .start(index)
                    .map_err(|error| error.to_string())?;
            } else if scene.controllers.has_ended(index) {
                return Err(format!("{} ended by itself", nodes.names[index]));
            }
        }
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(if Instant::now() < resume_at { 5 } else { 1 });
            let answers: Vec<String> = (0..3)
                .filter(|index| !(is_quiet && *index == quiet))
                .map(|index| {
                    let answer = poll(nodes.address(index), "sweep-0");
                    format!(
                        "{}: up {}, GET /work/sweep-0 {} {}",
                        nodes.names[index],
                        up(nodes.address(index)),
                        answer.status,
                        answer.stance
                    )
                })
                .collect();
            scene.log.line(format!(
                "completed {}, largest answer to a watch {} bytes; {}",
                scene.shared.completed.lock().unwrap().len(),
                scene.state.largest_watch.load(Ordering::Relaxed),
                answers.join("; ")
            ));
        }
    }
    scene.log_counts();
    for index in 0..3 {
        let (all, own) = most[index];
        scene.log.line(format!(
            "{}: at most {all} kB, {own} kB not mapped from files",
            nodes.names[index]
        ));
    }
    scene.log.line(format!("killed for memory: {over:?}"));
    Ok(over.is_empty())
}
