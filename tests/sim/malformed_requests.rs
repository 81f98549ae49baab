//! Users who send odd requests: ones that change nothing, and jobs that must be refused.

use super::event::Event;
use super::submissions::{JobSpec, edited};
use super::users::Intent;
use super::world::World;
use ciborium::Value;
use salttrestle::ids::JobId;

/// Between two odd requests.
const INTERVAL_MS: u64 = 300;
/// More memory than any machine has.
const UNFIT_MEMORY_GB: f64 = 1e6;

impl World {
    /// A repeat of an unfinished job's submission, as it was or with a field missing, a
    /// cancellation of a done job, a job that fits no machine, one that lacks a field.
    pub(super) fn send_malformed_request(&mut self) {
        if self.now >= self.faults.malformed_until {
            return;
        }
        self.after(INTERVAL_MS, Event::MalformedRequest);
        self.observed.malformed_requests += 1;
        let (jobs, intent) = match self.random(5) {
            0 => (self.known_jobs(false), Intent::Resubmit),
            1 => (self.known_jobs(false), Intent::ResubmitMalformed),
            2 => (self.known_jobs(true), Intent::Cancel),
            kind => return self.submit_malformed_job(kind == 3),
        };
        if !jobs.is_empty() {
            let pick = self.random(jobs.len() as u64) as usize;
            self.user_request(&jobs[pick], intent);
        }
    }

    /// Accepted jobs that aren't cancelled, those that are done or those that aren't.
    fn known_jobs(&self, done: bool) -> Vec<JobId> {
        let jobs = self.checker.jobs.iter();
        let jobs = jobs.filter(|(_, job)| {
            job.notified.is_accepted
                && job.notified.cancelled_at.is_none()
                && job.notified.is_done == done
        });
        jobs.map(|(id, _)| id.clone()).collect()
    }

    /// Another job's submission under a new name: it fits no machine, or lacks a field.
    fn submit_malformed_job(&mut self, unfit: bool) {
        self.faults.malformed_jobs += 1;
        let id = JobId::from(format!("odd-{}", self.faults.malformed_jobs).as_str());
        let model = self.specs.iter().min_by(|a, b| a.0.cmp(b.0));
        let Some((model_id, model)) = model else {
            return;
        };
        log::debug!("{id} after {model_id}");
        let spec = JobSpec {
            body: malformed(&model.body, &id, unfit),
            ..model.clone()
        };
        self.add_spec(&id, spec);
        self.checker.expect_refusal(&id);
        self.user_request(&id, Intent::Submit);
    }
}

/// A submission under another name that can't run, or that lacks a field.
fn malformed(body: &[u8], id: &JobId, unfit: bool) -> Vec<u8> {
    edited(body, |fields| {
        fields.insert("id".into(), Value::Text(id.to_string()));
        if unfit {
            fields.insert("memGb".into(), Value::Float(UNFIT_MEMORY_GB));
        } else {
            fields.remove("rank");
        }
    })
}
