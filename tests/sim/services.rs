//! How the store and the cloud are asked, and what becomes of their answers.

use super::event::{Event, Process};
use super::links::LinkEnd;
use super::outputs::CLOUD_DELAY_MS;
use super::store::PendingWatch;
use super::world::World;
use salttrestle::controller::events::Input;
use salttrestle::controller::store::records::Record;
use salttrestle::ids::CallId;
use salttrestle::wire::{CloudRequest, StoreRequest, StoreResponse};

/// How long the store lets a watch wait for changes.
const WATCH_MS: u64 = 10_000;
/// How long an answer of the store is on its way at least, and by how much more while it is slow.
const STORE_DELAY_MS: u64 = 2;
const SLOW_STORE_MS: u64 = 400;
/// Between two looks at which leases at the store are over.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// More requests a second than this are refused by the store until then.
#[derive(Default)]
pub(crate) struct Throttle {
    pub requests_per_second: u32,
    pub until: u64,
    /// The present second, and how many requests came in it.
    second: u64,
    requests: u32,
}

impl Throttle {
    /// Counts a request, and says whether the store refuses it.
    fn refuses(&mut self, now: u64) -> bool {
        let second = now / 1000;
        if self.second != second {
            self.second = second;
            self.requests = 0;
        }
        self.requests += 1;
        now < self.until && self.requests > self.requests_per_second
    }
}

impl World {
    /// A request has reached the store.
    pub(super) fn store_executes(&mut self, process: Process, call: CallId, request: StoreRequest) {
        let now = self.now;
        let refused = self.hosts[process.controller].is_refused(now) || self.throttle.refuses(now);
        match request {
            StoreRequest::Watch { after } => {
                // A refused watch waits as in an outage.
                let news = (!refused).then(|| self.store.execute(now, &request));
                match news.flatten() {
                    Some(response) => self.store_answers(process, call, response),
                    None => self.keep_watch(process, call, after),
                }
            }
            _ if refused => self.store_answers(process, call, StoreResponse::Refused),
            _ => self.execute_at_store(process, call, &request),
        }
        self.note_leader();
        self.answer_watches();
    }

    fn execute_at_store(&mut self, process: Process, call: CallId, request: &StoreRequest) {
        let Some(response) = self.store.execute(self.now, request) else {
            return;
        };
        let committed = matches!(request, StoreRequest::Transaction { .. })
            && matches!(response, StoreResponse::Committed { .. });
        let counted = committed && self.lose_answers > 0;
        if counted || committed && self.strikes(|faults| faults.lost_answers) {
            self.lose_answers = self.lose_answers.saturating_sub(1);
            self.observed.lost_answers += 1;
            return;
        }
        self.store_answers(process, call, response);
    }

    fn store_answers(&mut self, process: Process, call: CallId, response: StoreResponse) {
        let slow = self.strikes(|faults| faults.slow_store);
        let delay = STORE_DELAY_MS + self.random(if slow { SLOW_STORE_MS } else { 0 });
        self.respond(process, call, delay, response);
    }

    fn respond(&mut self, process: Process, call: CallId, delay: u64, response: StoreResponse) {
        let input = Input::Store(call, response);
        let event = Event::Input { process, input };
        self.cross(process.controller, LinkEnd::Store, delay, event);
    }

    fn keep_watch(&mut self, process: Process, call: CallId, after: u64) {
        let watch = PendingWatch {
            process,
            call,
            after,
            until: self.now + WATCH_MS,
        };
        self.store.watches.push(watch);
        self.after(WATCH_MS, Event::WatchTimeout { process, call });
    }

    /// Answers the watches that wait for what the store has by now.
    pub(super) fn answer_watches(&mut self) {
        if self.store.outage {
            return;
        }
        for watch in std::mem::take(&mut self.store.watches) {
            let refused = self.hosts[watch.process.controller].is_refused(self.now);
            let news = self.store.news(watch.after);
            match news.filter(|_| !refused) {
                Some(news) => self.respond(watch.process, watch.call, STORE_DELAY_MS, news),
                None => self.store.watches.push(watch),
            }
        }
    }

    /// A watch has waited for as long as the store lets it.
    pub(super) fn end_watch(&mut self, process: Process, call: CallId) {
        let before = self.store.watches.len();
        let now = self.now;
        self.store
            .watches
            .retain(|watch| watch.process != process || watch.call != call || watch.until > now);
        let ended = self.store.watches.len() < before;
        // One whose time is over while its controller is refused waits as in an outage: an empty
        // answer would say that nothing has changed.
        let waits = self.store.outage || self.hosts[process.controller].is_refused(now);
        if ended && !waits {
            let response = StoreResponse::Changes {
                revision: self.store.records.revision,
                news: Vec::new(),
            };
            self.respond(process, call, STORE_DELAY_MS, response);
        }
    }

    /// Ends the leases at the store whose time is over.
    pub(super) fn expire_leases(&mut self) {
        let now = self.now;
        self.store.expire(now);
        self.note_leader();
        self.answer_watches();
        self.after(EXPIRY_INTERVAL_MS, Event::ExpireLeases);
    }

    /// A transaction that got no answer is carried out after all.
    pub(super) fn carry_out_late(&mut self, request: &StoreRequest) {
        let now = self.now;
        if let Some(StoreResponse::Committed { .. }) = self.store.execute(now, request) {
            self.observed.late_transactions += 1;
        }
        self.answer_watches();
    }

    /// The judge of cloud calls learns whose record says that it leads.
    fn note_leader(&mut self) {
        let entry = self.store.records.entries.get("s/own/leader");
        let leader = entry.and_then(|entry| match &entry.value {
            Record::Leader(leader) => Some(leader),
            _ => None,
        });
        let leader = leader.map(|leader| (leader.token.0, leader.controller_id.as_str()));
        self.store.orders.cloud_calls.record_leader(leader);
    }

    /// The judge of cloud calls learns who rents and deletes. With several shards each owner
    /// deletes machines of its own, and isn't judged.
    pub(super) fn note_cloud_call(&mut self, controller: usize, request: &CloudRequest) {
        let several = self.store.records.entries.contains_key("s/own/block/1");
        if !several && matches!(request, CloudRequest::ScaleOut(_) | CloudRequest::Delete(_)) {
            let duties = &mut self.store.orders.cloud_calls;
            duties.record_cloud_change(self.now, &self.controller_ids[controller]);
        }
    }

    /// A request has reached the cloud.
    pub(super) fn cloud_executes(
        &mut self,
        process: Process,
        call: CallId,
        request: &CloudRequest,
    ) {
        let now = self.now;
        let before = self.cloud.machines.len();
        let (reply, deleted) = self.cloud.execute(now, request);
        for machine in deleted {
            let tasks = self.workers.get(&machine).map_or(0, |w| w.tasks.len());
            self.deleted_tasks += tasks;
            self.end_worker(&machine);
        }
        let rented = self.cloud.machines.iter().skip(before);
        let rented = rented.filter_map(|(id, machine)| Some((id.clone(), machine.up_at?)));
        let rented: Vec<(String, u64)> = rented.collect();
        for (machine, up_at) in rented {
            self.at(up_at, Event::MachineUp(machine));
        }
        let input = Input::Cloud(call, reply);
        let event = Event::Input { process, input };
        self.cross(process.controller, LinkEnd::Cloud, CLOUD_DELAY_MS, event);
    }
}
