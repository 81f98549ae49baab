//! Execution of the commands of a scenario's script.

use super::event::Event;
use super::faults::{ActiveFault, HeartbeatCopies};
use super::links::LinkEnd;
use super::scenario::{Arguments, Line, milliseconds};
use super::store_delay::StoreDelay;
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::Input;
use salttrestle::ids::JobId;
use salttrestle_fakes::cloud::SlowBoots;

/// How long a killed controller stays down by default, in seconds.
const DOWN_S: f64 = 3.0;

impl World {
    /// The duration of a command, `for=` seconds, in milliseconds.
    pub(super) fn command_duration_ms(&self, arguments: &Arguments) -> u64 {
        arguments.span_ms("for", 10.0)
    }

    /// When a command that starts now ends, in milliseconds.
    pub(super) fn end_of_command(&self, arguments: &Arguments) -> u64 {
        self.now + self.command_duration_ms(arguments)
    }

    /// Executes a command. Panics if the command is unknown.
    pub(super) fn run_command(&mut self, line: &Line) {
        let keyword = line.keyword.as_str();
        let arguments = &line.arguments;
        let is_known = self.run_user_command(keyword, arguments)
            || self.run_controller_command(keyword, arguments)
            || self.run_store_command(keyword, arguments)
            || self.run_cloud_command(keyword, arguments)
            || self.run_machine_command(keyword, arguments)
            || self.run_fault_command(keyword, arguments);
        assert!(is_known, "unknown command: {keyword}");
    }

    /// Executes commands of users and operators. Returns false for other commands.
    fn run_user_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        match keyword {
            "submit" => self.submit(arguments),
            "withdraw" => self.send_user_request(&arguments.job(0), Intent::Cancel),
            "poll" => self.send_user_request(&arguments.job(0), Intent::Poll),
            "mangled" => self.send_user_request(&arguments.job(0), Intent::ResubmitMalformed),
            "again" => self.send_user_request(&arguments.job(0), Intent::Submit),
            "probe" => {
                let name = format!("up-{}", arguments.word(0));
                let controller = self.controller_named(arguments.word(0));
                let job = JobId::from(name.as_str());
                self.send_user_request_to(&job, Intent::Probe, controller);
            }
            "cancel-now" => self.cancel_running(arguments),
            "stream" => self.start_stream(arguments),
            "pipelines" => self.start_pipelines(arguments),
            "poll-storm" => self.start_status_query_storm(arguments),
            "limits" => self.set_limits(arguments),
            "limit-holds" => self.enforce_limit(arguments),
            "limits-spoilt" => self.make_limits_unreadable(),
            "limits-gone" => self.delete_limits(),
            _ => return false,
        }
        true
    }

    /// Executes commands on controllers and their links. Returns false for other commands.
    fn run_controller_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.end_of_command(arguments);
        match keyword {
            "kill" => {
                let down_ms = arguments.span_ms("down", DOWN_S);
                for controller in self.controllers_named(arguments.word(0)) {
                    self.kill_controller(controller, down_ms);
                }
            }
            // The controller shuts down gracefully, hands over, and starts again.
            "drain" => {
                let controller = self.controller_named(arguments.word(0));
                let down_ms = arguments.span_ms("down", DOWN_S);
                self.hosts[controller].restart_delay_ms = Some(down_ms);
                self.handle_input(controller, Input::Shutdown);
            }
            // The controller is killed and starts again with settings that announce the next
            // limits.
            "upgrade" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].announces_limits = true;
                self.kill_controller(controller, arguments.span_ms("down", DOWN_S));
            }
            "freeze" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].paused_until = until;
            }
            // Each leader in this time measures this processor utilization.
            "busy" => self.leader_utilization = self.fault_from(arguments, 0.95),
            "refuse" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].store_refuses_until = until;
            }
            // The store takes this many seconds for each response to these controllers, watches
            // included.
            "state-takes" => {
                let delay = StoreDelay {
                    total_ms: milliseconds(arguments.parsed(1)),
                    until,
                };
                for controller in self.controllers_named(arguments.word(0)) {
                    self.hosts[controller].store_delay = delay;
                }
            }
            "cut" => self.partition_controller(arguments, until),
            "part" => self.partition_zone(arguments, until),
            "peers-refuse" => self.peers_refuse_until = until,
            _ => return false,
        }
        true
    }

    /// Executes commands on the store. Returns false for other commands.
    fn run_store_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let now = self.now;
        match keyword {
            "outage" if arguments.word(0) == "state" => self.store.has_outage = true,
            "restore" if arguments.word(0) == "state" => {
                self.store.end_outage(now);
                self.answer_watches();
            }
            "limits-fall" => {
                let next = self
                    .next_limits
                    .expect("a `next` line with the lower limits");
                self.store.lower_limits(now, next);
            }
            "lose-commits" => self.answers_to_lose = arguments.parsed(0),
            "throttle" => {
                self.throttle.requests_per_second = arguments.number("rps", 50.0) as u32;
                self.throttle.until = self.end_of_command(arguments);
            }
            "forget-log" => self.store.records.watchable_changes_max = arguments.parsed(0),
            _ => return false,
        }
        true
    }

    /// Executes commands on the cloud. Returns false for other commands.
    fn run_cloud_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.end_of_command(arguments);
        match keyword {
            "outage" => self.cloud.is_down = true,
            "restore" => self.cloud.is_down = false,
            "slow-boots" => {
                self.cloud.slow_boots = Some(SlowBoots {
                    factor: arguments.number("times", 4.0),
                    until,
                    machine_type: arguments.value("type").map(String::from),
                });
            }
            "fast-boots" => self.cloud.fast_boots_until = until,
            "stillborn" => self.cloud.failing_boots_left = arguments.parsed(0),
            "capacity" => self.set_capacity(arguments),
            _ => return false,
        }
        true
    }

    /// Sets how many machines of a type, zone and market the cloud can provide.
    pub(super) fn set_capacity(&mut self, arguments: &Arguments) {
        let (machine_type, zone) = (arguments.word(0), arguments.word(1));
        let pool = (machine_type.into(), zone.into(), arguments.contains("spot"));
        self.cloud.capacity.insert(pool, arguments.parsed(2));
    }

    /// Executes commands on machines. Returns false for other commands.
    fn run_machine_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let machines = match keyword {
            "machine" => self.machines_named(arguments.word(0)),
            "zone" => self.machines_of_zone(arguments.word(0)),
            _ => return false,
        };
        for machine in machines {
            self.apply_machine_fault(&machine, arguments);
        }
        true
    }

    /// Executes commands that start a fault of some operations, or unusual behaviour of users.
    /// Returns false for other commands.
    fn run_fault_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.end_of_command(arguments);
        let fault = self.fault_from(arguments, 0.3);
        match keyword {
            "copies" => {
                let delay_ms = arguments.span_ms("delay", 5.0);
                self.heartbeat_copies = Some(HeartbeatCopies { delay_ms, until });
            }
            "late-writes" => self.faults.late_transactions = fault,
            "lost-answers" => self.faults.lost_answers = fault,
            "late-reports" => self.faults.late_heartbeats = fault,
            "keep-reports" => self.faults.replayed_heartbeats = fault,
            "slow-state" => self.faults.slow_store = fault,
            "cancel-at-end" => self.faults.cancel_at_completion = self.fault_from(arguments, 0.5),
            "close-looks" => {
                let share = arguments.number("cancel", 0.0);
                self.faults.query_changes_until = until;
                self.faults.cancel_at_acceptance = ActiveFault { share, until };
            }
            "odd" => self.start_malformed_requests(until),
            _ => return false,
        }
        true
    }

    /// The controller that a command names: an index, `leader`, or `other` for the controller after
    /// the leader.
    fn controller_named(&self, word: &str) -> usize {
        let leader = || self.leader().unwrap_or(0);
        match word {
            "leader" => leader(),
            "other" => (leader() + 1) % self.hosts.len(),
            index => index.parse().expect("a controller index"),
        }
    }

    fn controllers_named(&self, word: &str) -> Vec<usize> {
        match word {
            "all" => (0..self.hosts.len()).collect(),
            one => vec![self.controller_named(one)],
        }
    }

    /// The machines that a command names: `all`, `spot`, `busiest` for the machine with the most
    /// tasks, or a number of machines in descending order of their task counts.
    fn machines_named(&self, word: &str) -> Vec<String> {
        let mut busiest: Vec<&String> = self.workers.keys().collect();
        busiest.sort_by_key(|machine| std::cmp::Reverse(self.workers[*machine].tasks.len()));
        let machines = busiest.into_iter().cloned();
        match word {
            "all" => machines.collect(),
            "busiest" => machines.take(1).collect(),
            "spot" => machines
                .filter(|machine| self.workers[machine].spot)
                .collect(),
            count => machines
                .take(count.parse().expect("a count of machines"))
                .collect(),
        }
    }

    fn machines_of_zone(&self, zone: &str) -> Vec<String> {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.zone == zone);
        workers.map(|(machine, _)| machine.clone()).collect()
    }

    /// Partitions a controller from all link ends that the command lists.
    fn partition_controller(&mut self, arguments: &Arguments, until: u64) {
        let controller = self.controller_named(arguments.word(0));
        let holds_messages = arguments.contains("hold");
        for end in arguments.list("from").expect("from= with link ends") {
            self.partition(
                controller,
                LinkEnd::parse(&end),
                holds_messages,
                None,
                until,
            );
        }
    }

    /// Partitions the workers of a zone from the controllers that the command lists.
    fn partition_zone(&mut self, arguments: &Arguments, until: u64) {
        let zone = arguments.word(0);
        for controller in arguments.list("from").expect("from= with controllers") {
            let controller = self.controller_named(&controller);
            self.partition(controller, LinkEnd::Workers, false, Some(zone), until);
        }
    }

    /// Schedules a command after a delay.
    pub(super) fn schedule_command(&mut self, delay: u64, keyword: &str, words: Vec<String>) {
        self.schedule_after(delay, Event::Line(Line::new(keyword, words)));
    }
}
