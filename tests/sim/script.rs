//! The commands of a scenario's script.

use super::event::Event;
use super::faults::{ActiveFault, HeartbeatCopies};
use super::links::LinkEnd;
use super::scenario::{Arguments, Line};
use super::users::Intent;
use super::world::World;
use salttrestle::controller::events::Input;
use salttrestle::ids::JobId;
use salttrestle_fakes::cloud::SlowBoots;

/// How long a killed controller stays down unless the line says it, in seconds.
const DOWN_S: f64 = 3.0;

impl World {
    /// How long a line's command lasts.
    pub(super) fn span_ms(&self, arguments: &Arguments) -> u64 {
        arguments.span_ms("for", 10.0)
    }

    /// When a line's command is over.
    pub(super) fn until(&self, arguments: &Arguments) -> u64 {
        self.now + self.span_ms(arguments)
    }

    /// Carries out a line of the script.
    pub(super) fn command(&mut self, line: &Line) {
        let keyword = line.keyword.as_str();
        let arguments = &line.arguments;
        let known = self.user_command(keyword, arguments)
            || self.controller_command(keyword, arguments)
            || self.store_command(keyword, arguments)
            || self.cloud_command(keyword, arguments)
            || self.machine_command(keyword, arguments)
            || self.fault_command(keyword, arguments);
        assert!(known, "unknown command {keyword}");
    }

    /// What users and operators do. False for other commands.
    fn user_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        match keyword {
            "submit" => self.submit(arguments),
            "withdraw" => self.user_request(&arguments.job(0), Intent::Cancel),
            "poll" => self.user_request(&arguments.job(0), Intent::Poll),
            "mangled" => self.user_request(&arguments.job(0), Intent::ResubmitMalformed),
            "again" => self.user_request(&arguments.job(0), Intent::Submit),
            "probe" => {
                let name = format!("up-{}", arguments.word(0));
                let controller = self.controller_named(arguments.word(0));
                let job = JobId::from(name.as_str());
                self.user_request_to(&job, Intent::Probe, controller);
            }
            "cancel-now" => self.cancel_running(arguments),
            "stream" => self.stream(arguments),
            "pipelines" => self.pipelines(arguments),
            "poll-storm" => self.status_query_storm(arguments),
            "limits" => self.set_limits(arguments),
            "limit-holds" => self.limit_in_force(arguments),
            "limits-spoilt" => self.make_limits_unreadable(),
            "limits-gone" => self.delete_limits(),
            _ => return false,
        }
        true
    }

    /// What becomes of controllers and their links. False for other commands.
    fn controller_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.until(arguments);
        match keyword {
            "kill" => {
                let down_ms = arguments.span_ms("down", DOWN_S);
                for controller in self.controllers_named(arguments.word(0)) {
                    self.kill(controller, down_ms);
                }
            }
            // It shuts down gracefully, hands over, and starts again.
            "drain" => {
                let controller = self.controller_named(arguments.word(0));
                let down_ms = arguments.span_ms("down", DOWN_S);
                self.hosts[controller].down_after_shutdown = Some(down_ms);
                self.feed(controller, Input::Shutdown);
            }
            // It ends, and starts again with settings that announce the limits to come.
            "upgrade" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].announces_limits = true;
                self.kill(controller, arguments.span_ms("down", DOWN_S));
            }
            "freeze" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].paused_until = until;
            }
            // Whoever leads by then measures that its processor is so busy.
            "busy" => self.busy = self.fault(arguments, 0.95),
            "refuse" => {
                let controller = self.controller_named(arguments.word(0));
                self.hosts[controller].refused_until = until;
            }
            "cut" => self.partition_controller(arguments, until),
            "part" => self.partition_zone(arguments, until),
            "peers-refuse" => self.peers_refuse_until = until,
            _ => return false,
        }
        true
    }

    /// What becomes of the store. False for other commands.
    fn store_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let now = self.now;
        match keyword {
            "outage" if arguments.word(0) == "state" => self.store.outage = true,
            "restore" if arguments.word(0) == "state" => {
                self.store.end_outage(now);
                self.answer_watches();
            }
            "limits-fall" => {
                let next = self.next_limits.expect("next limits");
                self.store.lower_limits(now, next);
            }
            "lose-commits" => self.lose_answers = arguments.parsed(0),
            "throttle" => {
                self.throttle.requests_per_second = arguments.number("rps", 50.0) as u32;
                self.throttle.until = self.until(arguments);
            }
            "forget-log" => self.store.records.watchable_changes_max = arguments.parsed(0),
            _ => return false,
        }
        true
    }

    /// What becomes of the cloud. False for other commands.
    fn cloud_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.until(arguments);
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

    /// So many machines of a type, zone and market can be had.
    pub(super) fn set_capacity(&mut self, arguments: &Arguments) {
        let (machine_type, zone) = (arguments.word(0), arguments.word(1));
        let pool = (machine_type.into(), zone.into(), arguments.has("spot"));
        self.cloud.capacity.insert(pool, arguments.parsed(2));
    }

    /// What becomes of machines. False for other commands.
    fn machine_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let machines = match keyword {
            "machine" => self.machines_named(arguments.word(0)),
            "zone" => self.machines_of_zone(arguments.word(0)),
            _ => return false,
        };
        for machine in machines {
            self.strike_machine(&machine, arguments);
        }
        true
    }

    /// Faults that strike a share of what happens. False for other commands.
    fn fault_command(&mut self, keyword: &str, arguments: &Arguments) -> bool {
        let until = self.until(arguments);
        let fault = self.fault(arguments, 0.3);
        match keyword {
            "copies" => {
                let delay = arguments.span_ms("delay", 5.0);
                self.heartbeat_copies = Some(HeartbeatCopies { delay, until });
            }
            "late-writes" => self.faults.late_transactions = fault,
            "lost-answers" => self.faults.lost_answers = fault,
            "late-reports" => self.faults.late_heartbeats = fault,
            "keep-reports" => self.faults.replayed_heartbeats = fault,
            "slow-state" => self.faults.slow_store = fault,
            "cancel-at-end" => self.faults.cancel_at_completion = self.fault(arguments, 0.5),
            "close-looks" => {
                let share = arguments.number("cancel", 0.0);
                self.faults.query_changes_until = until;
                self.faults.cancel_at_acceptance = ActiveFault { share, until };
            }
            "odd" => self.begin_malformed_requests(until),
            _ => return false,
        }
        true
    }

    /// The controller that a line names: by its place, `leader`, or `other` for the one behind it.
    fn controller_named(&self, word: &str) -> usize {
        let leader = || self.leader().unwrap_or(0);
        match word {
            "leader" => leader(),
            "other" => (leader() + 1) % self.hosts.len(),
            place => place.parse().expect("a controller"),
        }
    }

    fn controllers_named(&self, word: &str) -> Vec<usize> {
        match word {
            "all" => (0..self.hosts.len()).collect(),
            one => vec![self.controller_named(one)],
        }
    }

    /// The machines that a line names: `all`, `spot`, or so many that run most tasks.
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
            count => machines.take(count.parse().expect("a count")).collect(),
        }
    }

    fn machines_of_zone(&self, zone: &str) -> Vec<String> {
        let workers = self.workers.iter();
        let workers = workers.filter(|(_, worker)| worker.zone == zone);
        workers.map(|(machine, _)| machine.clone()).collect()
    }

    /// A controller is partitioned from all that the line lists.
    fn partition_controller(&mut self, arguments: &Arguments, until: u64) {
        let controller = self.controller_named(arguments.word(0));
        let holds_messages = arguments.has("hold");
        for end in arguments.list("from").expect("from=") {
            self.partition(
                controller,
                LinkEnd::parse(&end),
                holds_messages,
                None,
                until,
            );
        }
    }

    /// The workers of a zone are partitioned from the controllers that the line lists.
    fn partition_zone(&mut self, arguments: &Arguments, until: u64) {
        let zone = arguments.word(0);
        for controller in arguments.list("from").expect("from=") {
            let controller = self.controller_named(&controller);
            self.partition(controller, LinkEnd::Workers, false, Some(zone), until);
        }
    }

    /// A line's command that is due after a while.
    pub(super) fn command_after(&mut self, delay: u64, keyword: &str, words: Vec<String>) {
        self.after(delay, Event::Line(Line::new(keyword, words)));
    }
}
