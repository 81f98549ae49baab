//! The state service answers slowly while users ask.

use crate::rig::{Job, poll, submit, submit_until_accepted};
use crate::scene::{RAMDIAL, Scene};
use crate::worker::Spec;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const SLOW_MS: u64 = 200;
const FOR_S: u64 = 95;

fn job(id: String, form: &'static str) -> Job {
    Job {
        id,
        troupe: "tournote-rewrite".into(),
        crew: "heritage-guides".into(),
        form,
        rank: if form == "service" {
            "critical"
        } else {
            "normal"
        },
        verses: 1,
        cores: 4.0,
        accelerators: 0.0,
        mem_gb: 8.0,
        scatter: false,
        reckon_s: if form == "service" { 0.0 } else { 1.0 },
    }
}

pub fn run(root: &Path, record: &Path, trouble: bool) -> Result<bool, String> {
    let mut scene = Scene::start(&RAMDIAL, root, record, 2, true)?;
    let nodes = scene.nodes.clone();
    let short: Vec<Job> = (0..8).map(|n| job(format!("note-{n}"), "batch")).collect();
    let live: Vec<Job> = (0..2)
        .map(|n| job(format!("sage-{n}"), "service"))
        .collect();
    let late = job("surge-9".into(), "service");
    {
        let mut specs = scene.shared.specs.lock().unwrap();
        for job in short.iter().chain(&live).chain([&late]) {
            let spec = Spec {
                run: Duration::from_secs(1),
                fetch: Duration::from_millis(100),
                is_service: job.form == "service",
                need: [job.cores, job.accelerators, job.mem_gb],
            };
            specs.insert(job.id.clone(), spec);
        }
    }
    for job in live.iter().chain(&short) {
        if !submit_until_accepted(&nodes, job, 10.0, &scene.log) {
            return Err(format!("{} was not accepted", job.id));
        }
    }
    let limit = Instant::now() + Duration::from_secs(10);
    for job in &short {
        while poll(nodes.address(0), &job.id).stance != "done" {
            if Instant::now() > limit {
                return Err(format!("{} does not end", job.id));
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }
    if trouble {
        scene.state.latency_ms.store(SLOW_MS, Ordering::Relaxed);
        scene.log.line(format!(
            "each answer of the state service takes {SLOW_MS} ms from now on"
        ));
    }
    let begin = Instant::now();
    let log = scene.log.clone();
    let (submit_nodes, submit_job) = (nodes.clone(), late.clone());
    let submission = std::thread::spawn(move || {
        let begin = Instant::now();
        let mut node = 0;
        while begin.elapsed() < Duration::from_secs(60) {
            let answer = submit(submit_nodes.address(node), &submit_job);
            log.line(format!(
                "user: POST /work {} -> {} {}",
                submit_job.id, answer.status, answer.stance
            ));
            if matches!(answer.status, 200 | 201) {
                return true;
            }
            node = (node + 1) % submit_nodes.count();
            std::thread::sleep(Duration::from_secs(answer.retry_after.clamp(1, 30)));
        }
        false
    });
    // Every job is asked about every five seconds, at the nodes in turn.
    let pollers: Vec<_> = short
        .iter()
        .chain(&live)
        .enumerate()
        .map(|(index, job)| {
            let (nodes, log, id) = (nodes.clone(), scene.log.clone(), job.id.clone());
            std::thread::spawn(move || {
                let (mut asked, mut answered, mut longest) = (0, 0, 0.0f64);
                let mut last_answer = begin;
                std::thread::sleep(Duration::from_millis(450 * index as u64));
                while begin.elapsed() < Duration::from_secs(FOR_S) {
                    let node = (asked + index) % nodes.count();
                    let answer = poll(nodes.address(node), &id);
                    asked += 1;
                    if answer.status == 200 {
                        answered += 1;
                        longest = longest.max(last_answer.elapsed().as_secs_f64());
                        last_answer = Instant::now();
                    }
                    log.line(format!(
                        "user: GET /work/{id} at {} -> {} {}",
                        nodes.names[node], answer.status, answer.stance
                    ));
                    std::thread::sleep(Duration::from_secs(5));
                }
                (
                    asked,
                    answered,
                    longest.max(last_answer.elapsed().as_secs_f64()),
                )
            })
        })
        .collect();
    let ids: Vec<String> = short
        .iter()
        .chain(&live)
        .map(|job| job.id.clone())
        .collect();
    let (mut asked_in_all, mut answered_in_all, mut forgotten) = (0, 0, Vec::new());
    for (id, poller) in ids.iter().zip(pollers) {
        let (asked, answered, longest) = poller.join().map_err(|_| "a user's thread failed")?;
        scene.log.line(format!(
            "{id}: {answered} of {asked} polls answered, longest time without: {longest:.1} s"
        ));
        asked_in_all += asked;
        answered_in_all += answered;
        if longest >= 90.0 {
            forgotten.push(id.clone());
        }
    }
    let accepted = submission.join().map_err(|_| "a user's thread failed")?;
    let in_store = scene.state.read("s/job/surge-9").is_some();
    scene.log.line(format!(
        "surge-9 was answered as accepted: {accepted}; it is in the state service: {in_store}"
    ));
    scene.log_counts();
    let most_answered = 2 * answered_in_all > asked_in_all;
    scene.log.line(format!("{answered_in_all} of {asked_in_all} polls answered; all polls failed for 90 s: {forgotten:?}"));
    for index in 0..3 {
        if scene.controllers.has_ended(index) {
            return Err(format!("controller {index} ended by itself"));
        }
    }
    Ok(!(most_answered && !forgotten.is_empty()))
}
