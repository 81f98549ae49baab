//! Tests of the checker: each provokes a violation of one rule, which the checker must report.

use crate::sim::scenario::Scenario;
use crate::sim::world::World;
use libtest_mimic::{Failed, Trial};
use salttrestle::ids::{JobId, TaskId};
use salttrestle_fakes::checker::{Checker, JobAnswer, Place};

/// A function that makes the checker see a broken rule.
type Violation = fn(&mut Checker);

/// The rules, as text that the reported violation must contain, each with a function that breaks
/// it.
const VIOLATIONS: [(&str, Violation); 19] = [
    ("ran_twice", |checker| {
        checker.record_start(1, &task(0), place("m1", "a"));
        checker.record_start(2, &task(0), place("m2", "b"));
    }),
    ("quota", |checker| {
        for (index, zone) in [(0, "a"), (1, "b"), (2, "a")] {
            checker.record_start(1, &task(index), place("m1", zone));
        }
    }),
    ("quota: t uses 0 CPUs, 2 GPUs", |checker| {
        for task in &mut [task(0), task(1)] {
            checker
                .jobs
                .get_mut(&task.job)
                .expect("submitted")
                .record
                .resources
                .cpus = 0.0;
            checker.record_start(1, task, place("m1", "a"));
        }
        assert!(
            checker.violations.is_empty(),
            "two GPUs are within the limit"
        );
        checker.set_limit(2, "t", (0.0, 3.0));
        assert!(
            checker.violations.is_empty(),
            "the raised limit allows three GPUs"
        );
        checker.set_limit(3, "t", (0.0, 1.0));
    }),
    ("wrong_place", |checker| {
        for index in 0..3 {
            checker.record_start(1, &task(index), place("m1", "a"));
        }
    }),
    ("ran_cancelled", |checker| {
        checker.record_start(1, &task(0), place("m1", "a"));
        checker.record_cancel_request(1, &JobId::from("j-1"));
        checker.record_answer(2, &JobId::from("j-1"), JobAnswer::Cancelled);
        checker.check_cancelled(36_000);
    }),
    ("forgotten", |checker| {
        checker.record_answer(1, &JobId::from("j-1"), JobAnswer::Unknown);
    }),
    ("forgotten: j-1 is Refused", |checker| {
        checker.record_answer(1, &JobId::from("j-1"), JobAnswer::Refused);
    }),
    ("forgotten: all status queries fail: j-1", |checker| {
        let (job, other) = (JobId::from("j-1"), JobId::from("j-2"));
        checker.record_answer(1, &job, JobAnswer::Running);
        for second in (0..=95).step_by(5) {
            let now = second * 1000;
            checker.record_status_query(now, &job, false);
            (0..2).for_each(|_| checker.record_status_query(now, &other, true));
            checker.check_status_queries(now);
            assert!(second >= 90 || checker.violations.is_empty());
        }
    }),
    ("invented", |checker| {
        checker.record_answer(1, &JobId::from("j-2"), JobAnswer::Queued);
    }),
    ("not_done", |checker| {
        checker.record_answer(1, &JobId::from("j-1"), JobAnswer::Done);
    }),
    ("went_back", |checker| {
        (0..4).for_each(|index| checker.record_completion(1, &task(index)));
        checker.record_answer(1, &JobId::from("j-1"), JobAnswer::Done);
        checker.record_answer(2, &JobId::from("j-1"), JobAnswer::Running);
    }),
    ("too_early", |checker| {
        let mut record = checker.jobs[&JobId::from("j-1")].record.clone();
        record.dependencies = vec![JobId::from("j-1")];
        checker.record_submission(1, &JobId::from("j-2"), record);
        (0..3).for_each(|index| checker.record_completion(1, &task(index)));
        let job = JobId::from("j-2");
        checker.record_start(2, &TaskId { job, index: 0 }, place("m1", "a"));
    }),
    ("orphaned", |checker| {
        let (needed, job) = (JobId::from("j-1"), JobId::from("j-2"));
        let mut record = checker.jobs[&needed].record.clone();
        record.dependencies = vec![needed.clone()];
        checker.record_submission(1, &job, record);
        checker.record_answer(1, &job, JobAnswer::Queued);
        checker.record_cancel_request(1, &needed);
        checker.record_answer(2, &needed, JobAnswer::Cancelled);
        checker.record_answer(35_000, &job, JobAnswer::Queued);
        assert!(
            checker.violations.is_empty(),
            "the time limit is not over yet"
        );
        checker.record_answer(36_000, &job, JobAnswer::Queued);
    }),
    ("nothing_ran", |checker| checker.check_end(1)),
    ("started_cancelled", |checker| {
        checker.record_cancel_request(1, &JobId::from("j-1"));
        checker.record_answer(2, &JobId::from("j-1"), JobAnswer::Cancelled);
        checker.record_start(3, &task(0), place("m1", "a"));
    }),
    ("odd_accepted", |checker| {
        let job = checker.jobs.get_mut(&JobId::from("j-1"));
        job.expect("submitted").must_be_refused = true;
        checker.record_answer(1, &JobId::from("j-1"), JobAnswer::Queued);
    }),
    ("unanswered", |checker| {
        let answered = [(JobId::from("j-1"), 10_000)].into();
        checker.check_answers(84_000, 5_000, &answered);
        assert!(
            checker.violations.is_empty(),
            "the time limit ends a second later"
        );
        checker.check_answers(86_000, 5_000, &answered);
    }),
    ("left_waiting", |checker| {
        let jobs_with_room = [JobId::from("j-1")].into();
        checker.check_waiting(1_000, &jobs_with_room);
        // A check without room resets the waiting time.
        checker.check_waiting(50_000, &Default::default());
        checker.check_waiting(60_000, &jobs_with_room);
        checker.check_waiting(149_000, &jobs_with_room);
        assert!(
            checker.violations.is_empty(),
            "the time limit ends a second later"
        );
        checker.check_waiting(151_000, &jobs_with_room);
    }),
    ("starved: class c, largest of class c", |checker| {
        checker.record_start(1, &task(0), place("m1", "a"));
        checker.check_end(2);
    }),
];

/// Creates one trial per rule.
pub(crate) fn trials() -> Vec<Trial> {
    let trials = VIOLATIONS.iter().map(|(rule, violate)| {
        Trial::test(format!("checker sees {rule}"), move || {
            let mut checker = checker();
            violate(&mut checker);
            let violations = checker.violations;
            match violations.iter().any(|violation| violation.contains(rule)) {
                true => Ok(()),
                false => Err(Failed::from(format!(
                    "the checker missed the violation: reported={violations:?}"
                ))),
            }
        })
    });
    trials.collect()
}

/// A checker with one accepted job `j-1` of four tasks with one GPU each, in a team with a limit of
/// two GPUs.
fn checker() -> Checker {
    let text = "type g8\nteam t gpus_max=2\nat 1 submit j-1 count=4 scatter types=g8\nend 1.5";
    let mut world = World::new(&Scenario::parse(text));
    world.run();
    let mut checker = world.checker;
    checker.violations.clear();
    checker.record_answer(0, &JobId::from("j-1"), JobAnswer::Queued);
    checker
}

fn place(machine: &str, zone: &str) -> Place {
    Place {
        machine: machine.into(),
        class: "g8".into(),
        zone: zone.into(),
        spot: false,
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::from("j-1"),
        index,
    }
}
