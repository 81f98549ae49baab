//! Runs every scenario file, and checks the checker: a rule broken on purpose must
//! be seen.

mod sim;

use libtest_mimic::{Arguments, Failed, Trial};
use salttrestle::ids::{JobId, TaskId};
use sim::checker::{Checker, Place, Said};
use sim::world::World;
use std::path::Path;

fn main() {
    // RUST_LOG=info shows what the cores log; for one scenario, name it.
    env_logger::init();
    let args = Arguments::from_args();
    let mut trials = Vec::new();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the scenarios")
        .map(|e| e.expect("a file").path())
        .collect();
    files.sort();
    for file in files {
        let name = file
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .to_string();
        trials.push(Trial::test(name, move || {
            let text = std::fs::read_to_string(&file).expect("a scenario");
            play(&text)
        }));
    }
    for (rule, test) in CHECKER_TESTS {
        trials.push(Trial::test(format!("checker sees {rule}"), move || {
            let mut c = checker();
            test(&mut c);
            let seen = c.broken.iter().any(|b| b.contains(rule));
            seen.then_some(())
                .ok_or(Failed::from(format!("not seen: {:?}", c.broken)))
        }));
    }
    trials.push(Trial::test(
        "work follows what changes",
        work_follows_changes,
    ));
    libtest_mimic::run(&args, trials).exit();
}

/// How many machines a holder looks at to place a burst on a fleet of which all but a
/// few machines are full.
fn looked_at(machines: u32) -> Result<u64, Failed> {
    let text = |end| {
        let mut text = format!(
            "type g8\nteam t\nreport 2.5\nstate rps=600 write=250 kb=8 ops=16\nroom g8 a {machines}\n\
             machines g8 a {machines}\nat 12 submit j-1 count={} run=500 rank=critical\nend {end}\n",
            8 * (machines - 10),
        );
        for n in 0..40 {
            text += &format!("at 40 submit j-{} count=4 run=5\n", n + 2);
        }
        text
    };
    let looked = |end| {
        let mut world = World::new(&words(&text(end)));
        world.run();
        let cores = world.nodes.iter().filter_map(|n| n.core.as_ref());
        let loads: Vec<_> = cores.map(|c| c.load()).collect();
        let sum = |f: fn(&salttrestle::core::Load) -> u64| loads.iter().map(f).sum::<u64>();
        (sum(|l| l.looked), sum(|l| l.placed))
    };
    let (before, after) = (looked(39), looked(75));
    if after.1 < before.1 + 160 {
        return Err(format!("only {} tasks placed", after.1 - before.1).into());
    }
    Ok(after.0 - before.0)
}

/// A placement looked at every machine there is. At four times the size, what a burst
/// costs must hardly grow.
fn work_follows_changes() -> Result<(), Failed> {
    let (small, large) = (looked_at(50)?, looked_at(200)?);
    let good = small > 0 && large < 2 * small;
    good.then_some(())
        .ok_or(format!("{small} machines looked at, then {large}").into())
}

fn words(text: &str) -> Vec<Vec<String>> {
    let lines = text.lines().map(|l| l.split('#').next().unwrap_or(""));
    lines
        .map(|l| l.split_whitespace().map(String::from).collect::<Vec<_>>())
        .filter(|l| !l.is_empty())
        .collect()
}

fn play(text: &str) -> Result<(), Failed> {
    let lines = words(text);
    let mut world = World::new(&lines);
    world.run();
    let mut faults = std::mem::take(&mut world.checker.broken);
    for l in lines.iter().filter(|l| l[0] == "expect") {
        if let Err(why) = expect(&world, &l[1..]) {
            faults.push(why);
        }
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults.join("\n").into())
    }
}

fn seconds(text: &str) -> u64 {
    (text.parse::<f64>().expect("seconds") * 1000.0) as u64
}

fn expect(world: &World, l: &[String]) -> Result<(), String> {
    let job = |at: usize| {
        let id = JobId::from(l[at].as_str());
        world
            .checker
            .jobs
            .get(&id)
            .ok_or(format!("{id} was never submitted"))
    };
    let held = match l[0].as_str() {
        "done" => {
            let by = l.get(3).map_or(u64::MAX, |t| seconds(t));
            job(1)?.done_told_at.is_some_and(|at| at <= by)
        }
        "withdrawn" => job(1)?.told.withdrawn_at.is_some(),
        "started" => {
            let j = job(1)?;
            let within = l.get(3).map_or(u64::MAX, |t| seconds(t));
            j.first_start
                .is_some_and(|at| at - j.submitted_at <= within)
        }
        "waiting" => job(1)?.first_start.is_none(),
        "runs" => {
            // All replicas of a service are on machines at the end.
            let j = job(1)?;
            let id = JobId::from(l[1].as_str());
            let on = world.checker.on.keys().filter(|t| t.job == id).count();
            on as u32 == j.rec.count
        }
        "status" => {
            let id = JobId::from(l[1].as_str());
            let status = l[2].parse().expect("a status");
            world.statuses.contains_key(&(id, status))
        }
        "takeovers" => world.numbers.len() > l[1].parse::<usize>().expect("a count"),
        "blocks" => {
            let keys = world.state.keys.keys();
            let blocks = keys.filter(|k| k.contains("own/block/")).count();
            blocks == l[1].parse::<usize>().expect("a count")
        }
        "killed-at-most" => world.killed <= l[1].parse().expect("a count"),
        "deleted-tasks-at-most" => world.deleted_tasks <= l[1].parse().expect("a count"),
        "starts-at-most" => world.checker.starts <= l[1].parse().expect("a count"),
        "numbers-at-most" => world.numbers.len() <= l[1].parse().expect("a count"),
        "no-takeover" => world.numbers.len() == 1,
        "machines-at-most" => world.workers.len() <= l[1].parse().expect("a count"),
        "rented-at-most" => world.cloud.rigs.len() <= l[1].parse().expect("a count"),
        other => return Err(format!("unknown expectation {other}")),
    };
    held.then_some(())
        .ok_or_else(|| format!("expected: {}", l.join(" ")))
}

// ---- the checker itself

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: machine.into(),
        class: "g8".into(),
        zone: zone.into(),
        spot: false,
    }
}

/// One job `j-1` of four one-GPU tasks in a team of at most two GPUs, accepted.
fn checker() -> Checker {
    let text = "type g8\nteam t gpus_max=2\nat 1 submit j-1 count=4 scatter types=g8\nend 1.5";
    let mut world = World::new(&words(text));
    world.run();
    let mut c = world.checker;
    c.broken.clear();
    c.said(0, &JobId::from("j-1"), Said::Queued);
    c
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::from("j-1"),
        index,
    }
}

type Breaks = fn(&mut Checker);

const CHECKER_TESTS: [(&str, Breaks); 9] = [
    ("ran_twice", |c| {
        c.starts(1, &task(0), place("m1", "a"));
        c.starts(2, &task(0), place("m2", "b"));
    }),
    ("quota", |c| {
        for (n, zone) in [(0, "a"), (1, "b"), (2, "a")] {
            c.starts(1, &task(n), place("m1", zone));
        }
    }),
    ("wrong_place", |c| {
        for n in 0..3 {
            c.starts(1, &task(n), place("m1", "a"));
        }
    }),
    ("ran_cancelled", |c| {
        c.starts(1, &task(0), place("m1", "a"));
        c.cancel_asked(&JobId::from("j-1"));
        c.said(2, &JobId::from("j-1"), Said::Withdrawn);
        c.check_cancelled(36_000);
    }),
    ("forgotten", |c| {
        c.said(1, &JobId::from("j-1"), Said::Unknown)
    }),
    ("invented", |c| c.said(1, &JobId::from("j-2"), Said::Queued)),
    ("not_done", |c| c.said(1, &JobId::from("j-1"), Said::Done)),
    ("went_back", |c| {
        (0..4).for_each(|n| c.finishes(&task(n)));
        c.said(1, &JobId::from("j-1"), Said::Done);
        c.said(2, &JobId::from("j-1"), Said::Running);
    }),
    ("nothing_ran", |c| c.check_end(1)),
];
