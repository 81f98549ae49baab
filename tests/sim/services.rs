//! Requests to the simulated store and cloud, and their answers.

use super::event::{Event, Process};
use super::links::LinkEnd;
use super::outputs::CLOUD_DELAY_MS;
use super::store::PendingWatch;
use super::world::World;
use salttrestle::controller::events::Input;
use salttrestle::controller::store::records::Record;
use salttrestle::ids::CallId;
use salttrestle::wire::{CloudRequest, StoreRequest, StoreResponse};

/// The store's time limit for a watch without changes.
const WATCH_HOLD_MS: u64 = 10_000;
/// The shortest delay of a store answer.
const STORE_DELAY_MS: u64 = 2;
/// The bound of the random extra delay of an answer while the store is slow.
const SLOW_STORE_EXTRA_MS: u64 = 400;
/// The interval at which the store expires leases.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// Until a given time, the store refuses requests beyond a number per second.
#[derive(Default)]
pub(crate) struct Throttle {
    pub requests_per_second: u32,
    pub until: u64,
    /// The current second of simulated time.
    current_second: u64,
    /// The requests counted in the current second.
    requests_in_second: u32,
}

impl Throttle {
    /// Counts a request and returns whether the store refuses it.
    fn count_and_refuse(&mut self, now: u64) -> bool {
        let second = now / 1000;
        if self.current_second != second {
            self.current_second = second;
            self.requests_in_second = 0;
        }
        self.requests_in_second += 1;
        now < self.until && self.requests_in_second > self.requests_per_second
    }
}

impl World {
    /// Executes a request that has reached the store.
    pub(super) fn execute_store_request(
        &mut self,
        process: Process,
        call: CallId,
        request: StoreRequest,
    ) {
        let now = self.now;
        let is_refused = self.hosts[process.controller].is_refused_by_store(now)
            || self.throttle.count_and_refuse(now);
        match request {
            StoreRequest::Watch { after } => {
                // A refused watch is held without an answer, as in an outage.
                let response = (!is_refused).then(|| self.store.execute(now, &request));
                match response.flatten() {
                    Some(response) => self.answer_from_store(process, call, response),
                    None => self.add_pending_watch(process, call, after),
                }
            }
            _ if is_refused => self.answer_from_store(process, call, StoreResponse::Refused),
            _ => self.answer_store_request(process, call, &request),
        }
        self.record_leader();
        self.answer_watches();
    }

    fn answer_store_request(&mut self, process: Process, call: CallId, request: &StoreRequest) {
        let Some(response) = self.store.execute(self.now, request) else {
            return;
        };
        let is_committed = matches!(request, StoreRequest::Transaction { .. })
            && matches!(response, StoreResponse::Committed { .. });
        let is_counted = is_committed && self.answers_to_lose > 0;
        if is_counted || is_committed && self.is_hit_by_fault(|faults| faults.lost_answers) {
            self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
            self.observed.lost_answers += 1;
            return;
        }
        self.answer_from_store(process, call, response);
    }

    fn answer_from_store(&mut self, process: Process, call: CallId, response: StoreResponse) {
        let is_slow = self.is_hit_by_fault(|faults| faults.slow_store);
        let delay =
            STORE_DELAY_MS + self.random_below(if is_slow { SLOW_STORE_EXTRA_MS } else { 0 });
        self.send_response(process, call, delay, response);
    }

    fn send_response(
        &mut self,
        process: Process,
        call: CallId,
        delay: u64,
        response: StoreResponse,
    ) {
        let delay = delay + self.store_delay(process, call).until_answered_ms;
        let input = Input::Store(call, response);
        let event = Event::Input { process, input };
        self.send_over_link(process.controller, LinkEnd::Store, delay, event);
    }

    fn add_pending_watch(&mut self, process: Process, call: CallId, after: u64) {
        let watch = PendingWatch {
            process,
            call,
            after,
            until: self.now + WATCH_HOLD_MS,
        };
        self.store.watches.push(watch);
        self.schedule_after(WATCH_HOLD_MS, Event::WatchTimeout { process, call });
    }

    /// Answers the pending watches for which the store has changes.
    pub(super) fn answer_watches(&mut self) {
        if self.store.has_outage {
            return;
        }
        for watch in std::mem::take(&mut self.store.watches) {
            let is_refused = self.hosts[watch.process.controller].is_refused_by_store(self.now);
            let response = self.store.watch_response(watch.after);
            match response.filter(|_| !is_refused) {
                Some(response) => {
                    self.send_response(watch.process, watch.call, STORE_DELAY_MS, response);
                }
                None => self.store.watches.push(watch),
            }
        }
    }

    /// Ends a watch that has reached the store's time limit. The answer is empty.
    pub(super) fn time_out_watch(&mut self, process: Process, call: CallId) {
        let watches_before = self.store.watches.len();
        let now = self.now;
        self.store
            .watches
            .retain(|watch| watch.process != process || watch.call != call || watch.until > now);
        let has_ended = self.store.watches.len() < watches_before;
        // During an outage, or while the store refuses the controller, the watch gets no answer: an
        // empty one would claim that nothing has changed.
        let is_unanswered =
            self.store.has_outage || self.hosts[process.controller].is_refused_by_store(now);
        if has_ended && !is_unanswered {
            let response = StoreResponse::Changes {
                revision: self.store.records.revision,
                changes: Vec::new(),
            };
            self.send_response(process, call, STORE_DELAY_MS, response);
        }
    }

    /// Expires leases at the store.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        self.store.expire(now);
        self.record_leader();
        self.answer_watches();
        self.schedule_after(EXPIRY_INTERVAL_MS, Event::ExpireLeases);
    }

    /// Executes a delayed transaction whose sender got no answer.
    pub(super) fn execute_late_transaction(&mut self, request: &StoreRequest) {
        let now = self.now;
        if let Some(StoreResponse::Committed { .. }) = self.store.execute(now, request) {
            self.observed.late_transactions += 1;
        }
        self.answer_watches();
    }

    /// Tells the checker of cloud calls which controller the leader record names.
    fn record_leader(&mut self) {
        let entry = self.store.records.entries.get("s/own/leader");
        let leader = entry.and_then(|entry| match &entry.value {
            Record::Leader(leader) => Some(leader),
            _ => None,
        });
        let leader = leader.map(|leader| (leader.token.0, leader.controller_id.as_str()));
        self.store.command_checker.cloud_calls.record_leader(leader);
    }

    /// Tells the checker of cloud calls which controller rents or deletes machines. With several
    /// shards the calls are not checked, because each owner deletes its own machines.
    pub(super) fn record_cloud_call(&mut self, controller: usize, request: &CloudRequest) {
        let has_several_shards = self.store.records.entries.contains_key("s/own/block/1");
        if !has_several_shards
            && matches!(request, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_))
        {
            let cloud_calls = &mut self.store.command_checker.cloud_calls;
            cloud_calls.record_cloud_change(self.now, &self.controller_ids[controller]);
        }
    }

    /// Executes a request that has reached the cloud. Ends the workers of deleted machines and
    /// schedules the boots of rented ones.
    pub(super) fn execute_cloud_request(
        &mut self,
        process: Process,
        call: CallId,
        request: &CloudRequest,
    ) {
        let now = self.now;
        let rented_before = self.cloud.machines.len();
        let (reply, deleted) = self.cloud.execute(now, request);
        for machine in deleted {
            let tasks = self.workers.get(&machine).map_or(0, |w| w.tasks.len());
            self.tasks_on_deleted_machines += tasks;
            self.end_worker(&machine);
        }
        let rented = self.cloud.machines.iter().skip(rented_before);
        let rented = rented.filter_map(|(id, machine)| Some((id.clone(), machine.up_at?)));
        let rented: Vec<(String, u64)> = rented.collect();
        for (machine, up_at) in rented {
            self.schedule_at(up_at, Event::MachineUp(machine));
        }
        let input = Input::Cloud(call, reply);
        let event = Event::Input { process, input };
        self.send_over_link(process.controller, LinkEnd::Cloud, CLOUD_DELAY_MS, event);
    }
}
