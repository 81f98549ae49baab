//! Malformed requests of users: repeated requests that must change nothing, and jobs that must be
//! refused.

use super::event::Event;
use super::submissions::{JobSpec, edit_submission};
use super::users::Intent;
use super::world::World;
use ciborium::Value;
use salttrestle::ids::JobId;

/// The interval between two malformed requests.
const REQUEST_INTERVAL_MS: u64 = 300;
/// More memory than any machine type has.
const UNFIT_MEMORY_GB: f64 = 1e6;

impl World {
    /// Sends one of five requests at random: an unfinished job's submission, repeated as it was or
    /// without a field; a cancellation of a completed job; a new job that fits no machine; or a new
    /// job without a field.
    pub(super) fn send_malformed_request(&mut self) {
        if self.now >= self.faults.malformed_until {
            return;
        }
        self.schedule_after(REQUEST_INTERVAL_MS, Event::MalformedRequest);
        self.observed.malformed_requests += 1;
        let (jobs, intent) = match self.random_below(5) {
            0 => (self.known_jobs(false), Intent::Resubmit),
            1 => (self.known_jobs(false), Intent::ResubmitMalformed),
            2 => (self.known_jobs(true), Intent::Cancel),
            kind => return self.submit_malformed_job(kind == 3),
        };
        if !jobs.is_empty() {
            let index = self.random_below(jobs.len() as u64) as usize;
            self.send_user_request(&jobs[index], intent);
        }
    }

    /// Accepted jobs that are not cancelled and that are done if `is_done`, else not done.
    fn known_jobs(&self, is_done: bool) -> Vec<JobId> {
        let jobs = self.checker.jobs.iter();
        let jobs = jobs.filter(|(_, job)| {
            job.notified.is_accepted
                && job.notified.cancelled_at.is_none()
                && job.notified.is_done == is_done
        });
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Submits a malformed copy of an existing job under a new id: one that fits no machine if
    /// `is_unfit`, else one that lacks a field.
    fn submit_malformed_job(&mut self, is_unfit: bool) {
        self.faults.malformed_jobs += 1;
        let id = JobId::from(format!("odd-{}", self.faults.malformed_jobs).as_str());
        let original = self.specs.iter().min_by(|a, b| a.0.cmp(b.0));
        let Some((original_id, original)) = original else {
            return;
        };
        log::debug!("malformed job submitted, job={id} copied_from={original_id}");
        let spec = JobSpec {
            body: malformed_submission(&original.body, &id, is_unfit),
            ..original.clone()
        };
        self.add_spec(&id, spec);
        self.checker.expect_refusal(&id);
        self.send_user_request(&id, Intent::Submit);
    }
}

/// A copy of a submission with a new id that fits no machine if `is_unfit`, else lacks `rank`.
fn malformed_submission(body: &[u8], id: &JobId, is_unfit: bool) -> Vec<u8> {
    edit_submission(body, |fields| {
        fields.insert("id".into(), Value::Text(id.to_string()));
        if is_unfit {
            fields.insert("memGb".into(), Value::Float(UNFIT_MEMORY_GB));
        } else {
            fields.remove("rank");
        }
    })
}
