//! Controllers: how their processes start, are fed, and end.

use super::event::{Event, Process};
use super::links::PeerConnection;
use super::world::World;
use salttrestle::controller::Controller;
use salttrestle::controller::events::{Input, LinkEvent};
use salttrestle::ids::Time;
use salttrestle::settings::{Platform, Settings, Tuning};

/// A host that runs one controller at a time.
pub(crate) struct ControllerHost {
    /// Its process, if it runs.
    pub controller: Option<Controller>,
    /// Rises with each start and each end of a process.
    pub incarnation: u64,
    /// Its clock against the simulated one, in milliseconds, and its drift.
    pub clock_offset: u64,
    pub clock_drift: f64,
    /// Requests that it hasn't answered.
    pub requests: Vec<u64>,
    /// The store refuses it until then.
    pub refused_until: u64,
    /// Its process is paused until then, while its clock runs on.
    pub paused_until: u64,
    /// The earliest wake-up that is scheduled.
    pub next_wake: Option<u64>,
    /// It shuts down gracefully, and starts again after so long.
    pub down_after_shutdown: Option<u64>,
    /// Whether its settings announce the limits to come. Before, it acts as the version that
    /// knew nothing of them: it accepts jobs whose records outgrow these.
    pub announces_limits: bool,
}

impl ControllerHost {
    fn local_time(&self, now: u64) -> u64 {
        self.clock_offset + (now as f64 * (1.0 + self.clock_drift)) as u64
    }

    /// Whether the store refuses its requests now.
    pub(crate) fn is_refused(&self, now: u64) -> bool {
        self.refused_until > now
    }
}

impl World {
    /// The controller that leads; of several that think so, the one with the highest token.
    pub(crate) fn leader(&self) -> Option<usize> {
        let token = |controller: usize| {
            let controller = self.hosts[controller].controller.as_ref();
            controller.and_then(Controller::highest_shard_token)
        };
        let leaders = (0..self.hosts.len()).filter(|controller| token(*controller).is_some());
        // Of equal ones the last, as `max_by_key` has it.
        leaders.max_by_key(|controller| token(*controller))
    }

    /// A controller's process starts.
    pub(super) fn start_controller(&mut self, controller: usize) {
        let settings = self.settings(controller);
        let host = &mut self.hosts[controller];
        host.incarnation += 1;
        host.next_wake = None;
        host.paused_until = 0;
        let incarnation = host.incarnation * 10 + controller as u64;
        host.controller = Some(Controller::new(settings, incarnation));
        self.feed(controller, Input::Tick);
    }

    fn settings(&self, controller: usize) -> Settings {
        let platform = self.platform_of(controller).to_string();
        Settings {
            platform: Platform::parse(&platform, "scenario").expect("good settings"),
            tuning: Tuning::parse(Some(("scenario", &self.tuning))).expect("good tuning"),
            cells: None,
        }
    }

    /// The platform file of one controller.
    fn platform_of(&self, controller: usize) -> serde_json::Value {
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
        let announced = self.hosts[controller].announces_limits;
        if let Some(next) = self.next_limits.filter(|_| announced) {
            platform["facts"]["state"]["next"] = serde_json::json!({"write_rps": next.write_rps,
                "value_kb": next.value_kb, "txn_ops": next.txn_ops});
        }
        platform
    }

    /// Tells the leader how busy its processor is, while the scenario says so.
    pub(super) fn measure_utilization(&mut self) {
        let busy = self.busy;
        if self.now < busy.until
            && let Some(leader) = self.leader()
        {
            self.feed(leader, Input::ProcessorUtilization(busy.share));
        }
    }

    /// A controller's process is killed, and the next one starts after so long.
    pub(super) fn kill(&mut self, controller: usize, down_ms: u64) {
        if self.hosts[controller].controller.take().is_none() {
            return;
        }
        self.hosts[controller].incarnation += 1;
        // Its host closes its connections.
        for peer in (0..self.hosts.len()).filter(|peer| *peer != controller) {
            self.set_link(peer, controller, LinkEvent::Lost);
            let to = controller;
            self.refused_links.insert(PeerConnection { from: peer, to });
        }
        let process = self.process(controller);
        self.store
            .watches
            .retain(|watch| watch.process.controller != controller || watch.process == process);
        for request in std::mem::take(&mut self.hosts[controller].requests) {
            self.deliver(request, None);
        }
        self.after(down_ms, Event::Start(controller));
    }

    /// An input reaches the process that it was sent to, if that still runs.
    pub(super) fn input_arrives(&mut self, process: Process, input: Input) {
        if self.process(process.controller) == process {
            self.feed(process.controller, input);
        }
    }

    /// A wake-up is due. An earlier one may have taken its place: without this each of them began a
    /// row of its own, which never ended.
    pub(super) fn wake(&mut self, process: Process) {
        let host = &mut self.hosts[process.controller];
        let due = host.next_wake.is_some_and(|at| at <= self.now);
        if host.incarnation == process.incarnation && due {
            host.next_wake = None;
            self.feed(process.controller, Input::Tick);
        }
    }

    /// Gives a controller an input, and carries what it sends.
    pub(super) fn feed(&mut self, controller: usize, input: Input) {
        if let Input::Request(request, _) = &input {
            if self.hosts[controller].controller.is_none() {
                let request = request.0;
                return self.deliver(request, None);
            }
            self.hosts[controller].requests.push(request.0);
        }
        let process = self.process(controller);
        let host = &mut self.hosts[controller];
        let local = host.local_time(self.now);
        let Some(state) = &mut host.controller else {
            return;
        };
        let outputs = state.step(Time(local), input);
        let wake_ms = state.wake_at().0.saturating_sub(local).max(1);
        let takes_over = state
            .highest_shard_token()
            .is_some_and(|token| self.tokens.insert(token.0));
        self.schedule_wake(process, self.now + wake_ms);
        for output in outputs {
            self.digest
                .add(self.now, controller, process.incarnation, &output);
            self.send(process, output);
        }
        if takes_over {
            self.note_takeover();
        }
        self.end_after_shutdown(controller);
    }

    fn schedule_wake(&mut self, process: Process, at: u64) {
        let next = &mut self.hosts[process.controller].next_wake;
        if next.is_none_or(|next| at < next) {
            *next = Some(at);
            self.at(at, Event::Wake(process));
        }
    }

    fn end_after_shutdown(&mut self, controller: usize) {
        let host = &mut self.hosts[controller];
        let complete = host
            .controller
            .as_ref()
            .is_some_and(Controller::shutdown_complete);
        if complete && let Some(down_ms) = host.down_after_shutdown.take() {
            self.kill(controller, down_ms);
        }
    }
}
