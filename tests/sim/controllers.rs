//! The controller processes of a run: their starts, inputs, wake-ups and ends.

use super::event::{Event, Process};
use super::links::PeerConnection;
use super::store_delay::StoreDelay;
use super::world::World;
use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, LinkEvent};
use salttrestle::ids::Time;
use salttrestle::settings::{Platform, Settings, Tuning};

/// A host that runs one controller at a time.
pub(crate) struct ControllerHost {
    /// The running controller process; `None` while the process is down.
    pub controller: Option<Controller>,
    /// Increases at each start and each end of a process.
    pub incarnation: u64,
    /// How far the host's clock is ahead of simulated time at the start, in milliseconds.
    pub clock_offset_ms: u64,
    /// The drift of the host's clock, as a fraction of simulated time; negative if it runs slow.
    pub clock_drift: f64,
    /// Ids of the requests that the process has not answered.
    pub open_requests: Vec<u64>,
    /// The store refuses this host's requests until this time.
    pub store_refuses_until: u64,
    /// How long the store takes to respond to this host.
    pub store_delay: StoreDelay,
    /// The process is paused until this time. The clock keeps running.
    pub paused_until: u64,
    /// The time of the earliest scheduled wake-up.
    pub next_wake_at: Option<u64>,
    /// Set during a graceful shutdown: how long the host stays down before it starts a process
    /// again, in milliseconds.
    pub restart_delay_ms: Option<u64>,
    /// Whether the settings announce the store's next limits. A controller without them behaves
    /// like the version before the upgrade: it accepts jobs whose records exceed these limits.
    pub announces_limits: bool,
}

impl ControllerHost {
    fn local_time(&self, now: u64) -> u64 {
        self.clock_offset_ms + (now as f64 * (1.0 + self.clock_drift)) as u64
    }

    /// Whether the store refuses this host's requests now.
    pub(crate) fn is_refused_by_store(&self, now: u64) -> bool {
        self.store_refuses_until > now
    }
}

impl World {
    /// The leading controller. If several believe that they lead, the one with the highest token.
    pub(crate) fn leader(&self) -> Option<usize> {
        let token = |controller: usize| {
            let controller = self.hosts[controller].controller.as_ref();
            controller.and_then(Controller::highest_shard_token)
        };
        let leaders = (0..self.hosts.len()).filter(|controller| token(*controller).is_some());
        // Of controllers with the same token, `max_by_key` returns the one with the highest index.
        leaders.max_by_key(|controller| token(*controller))
    }

    /// Starts a controller process.
    pub(super) fn start_controller(&mut self, controller: usize) {
        let settings = self.settings(controller);
        let host = &mut self.hosts[controller];
        host.incarnation += 1;
        host.next_wake_at = None;
        host.paused_until = 0;
        // Differs between controllers, as long as a run has at most ten.
        let incarnation = host.incarnation * 10 + controller as u64;
        host.controller = Some(Controller::new(settings, incarnation));
        self.handle_input(controller, Input::Tick);
    }

    fn settings(&self, controller: usize) -> Settings {
        let platform = self.platform_settings_of(controller).to_string();
        Settings {
            platform: Platform::parse(&platform, "scenario").expect("valid platform settings"),
            tuning: Tuning::parse(Some(("scenario", &self.tuning))).expect("valid tuning"),
            cells: None,
        }
    }

    /// The platform settings of one controller.
    fn platform_settings_of(&self, controller: usize) -> serde_json::Value {
        let zone = |controller: usize| &self.zones[controller % self.zones.len()];
        let peers = (0..self.controller_ids.len()).filter(|peer| *peer != controller);
        let peers = peers.map(|peer| {
            serde_json::json!({"member": self.controller_ids[peer], "site": zone(peer),
                "endpoint": format!("10.0.0.{}:8081", peer + 1)})
        });
        let mut platform = self.platform.clone();
        platform["member"] = self.controller_ids[controller].clone().into();
        platform["site"] = zone(controller).clone().into();
        platform["listen"] = format!("10.0.0.{}:8080", controller + 1).into();
        platform["peer_listen"] = format!("10.0.0.{}:8081", controller + 1).into();
        platform["siblings"] = peers.collect::<Vec<_>>().into();
        let is_announced = self.hosts[controller].announces_limits;
        if let Some(next) = self.next_limits.filter(|_| is_announced) {
            platform["facts"]["state"]["next"] = serde_json::json!({"write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops});
        }
        platform
    }

    /// Reports a processor utilization to the leader while a `busy` command is active.
    pub(super) fn report_utilization(&mut self) {
        let utilization = self.leader_utilization;
        if self.now < utilization.until
            && let Some(leader) = self.leader()
        {
            self.handle_input(leader, Input::ProcessorUtilization(utilization.share));
        }
    }

    /// Kills a controller process and schedules the start of the next one.
    pub(super) fn kill_controller(&mut self, controller: usize, down_ms: u64) {
        if self.hosts[controller].controller.take().is_none() {
            return;
        }
        self.hosts[controller].incarnation += 1;
        // The host closes the connections of the killed process.
        for peer in (0..self.hosts.len()).filter(|peer| *peer != controller) {
            self.report_link_event(peer, controller, LinkEvent::Lost);
            let to = controller;
            self.refused_links.insert(PeerConnection { from: peer, to });
        }
        let process = self.current_process(controller);
        self.store
            .watches
            .retain(|watch| watch.process.controller != controller || watch.process == process);
        for request in std::mem::take(&mut self.hosts[controller].open_requests) {
            self.deliver_answer(request, None);
        }
        self.schedule_after(down_ms, Event::Start(controller));
    }

    /// Delivers an input to the process that it was sent to, if that process still runs.
    pub(super) fn deliver_input(&mut self, process: Process, input: Input) {
        if self.current_process(process.controller) == process {
            self.handle_input(process.controller, input);
        }
    }

    /// Handles a wake-up unless an earlier one has replaced it. Without this check, each replaced
    /// wake-up would schedule its own endless chain of further wake-ups.
    pub(super) fn handle_wake(&mut self, process: Process) {
        let host = &mut self.hosts[process.controller];
        let is_due = host.next_wake_at.is_some_and(|at| at <= self.now);
        if host.incarnation == process.incarnation && is_due {
            host.next_wake_at = None;
            self.handle_input(process.controller, Input::Tick);
        }
    }

    /// Passes an input to a controller, schedules its next wake-up, and routes its outputs.
    pub(super) fn handle_input(&mut self, controller: usize, input: Input) {
        if let Input::Request(request, _) = &input {
            if self.hosts[controller].controller.is_none() {
                let request = request.0;
                return self.deliver_answer(request, None);
            }
            self.hosts[controller].open_requests.push(request.0);
        }
        let process = self.current_process(controller);
        let host = &mut self.hosts[controller];
        let local_ms = host.local_time(self.now);
        let Some(state) = &mut host.controller else {
            return;
        };
        let outputs = state.step(Time(local_ms), input);
        let wake_ms = state.wake_at().0.saturating_sub(local_ms).max(1);
        let is_new_owner = state
            .highest_shard_token()
            .is_some_and(|token| self.owner_tokens.insert(token.0));
        self.schedule_wake(process, self.now + wake_ms);
        for output in outputs {
            self.digest
                .add(self.now, controller, process.incarnation, &output);
            self.route_output(process, output);
        }
        if is_new_owner {
            self.record_takeover();
        }
        self.end_after_shutdown(controller);
    }

    fn schedule_wake(&mut self, process: Process, at: u64) {
        let next = &mut self.hosts[process.controller].next_wake_at;
        if next.is_none_or(|next| at < next) {
            *next = Some(at);
            self.schedule_at(at, Event::Wake(process));
        }
    }

    fn end_after_shutdown(&mut self, controller: usize) {
        let host = &mut self.hosts[controller];
        let is_complete = host
            .controller
            .as_ref()
            .is_some_and(Controller::shutdown_complete);
        if is_complete && let Some(down_ms) = host.restart_delay_ms.take() {
            self.kill_controller(controller, down_ms);
        }
    }
}
