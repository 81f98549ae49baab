//! The commands of a scenario's script.

use super::users::Intent;
use super::world::{Args, Cut, Ev, Far, Node, Spec, World, arg, flag, ms, num};
use ciborium::cbor;
use salttrestle::controller::Controller;
use salttrestle::controller::events::Input;
use salttrestle::ids::JobId;
use salttrestle::wire;
use salttrestle_fakes::worker::TaskSpec;

impl World {
    pub fn leader(&self) -> Option<usize> {
        let holds = |n: &&Node| n.controller.as_ref().and_then(Controller::holds);
        let best = self
            .nodes
            .iter()
            .filter(|n| holds(n).is_some())
            .max_by_key(holds)?;
        self.nodes.iter().position(|n| std::ptr::eq(n, best))
    }

    pub(super) fn node_arg(&self, word: &str) -> usize {
        match word {
            "leader" => self.leader().unwrap_or(0),
            "other" => (self.leader().unwrap_or(0) + 1) % self.nodes.len(),
            n => n.parse().expect("a node"),
        }
    }

    pub(super) fn machine_arg(&self, word: &str) -> Vec<String> {
        let mut list: Vec<(usize, &String)> = self
            .workers
            .iter()
            .map(|(id, w)| (w.tasks.len(), id))
            .collect();
        list.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        let names = list.iter().map(|(_, id)| (*id).clone());
        match word {
            "all" => names.collect(),
            "busiest" => names.take(1).collect(),
            "spot" => names.filter(|id| self.workers[id].spot).collect(),
            n => names.take(n.parse().expect("a count")).collect(),
        }
    }

    pub(super) fn command(&mut self, line: &[String]) {
        let args = &line[1..];
        let for_ms = ms(num(args, "for", 10.0));
        let until = self.now + for_ms;
        match line[0].as_str() {
            "submit" => self.submit(args),
            "withdraw" => self.user(&JobId::from(args[0].as_str()), Intent::Withdraw),
            "poll" => self.user(&JobId::from(args[0].as_str()), Intent::Poll),
            "probe" => {
                let id = JobId::from(format!("up-{}", args[0]).as_str());
                let n = self.node_arg(&args[0]);
                self.ask_at(&id, Intent::Probe, n);
            }
            "mangled" => self.user(&JobId::from(args[0].as_str()), Intent::Mangled),
            "again" => self.user(&JobId::from(args[0].as_str()), Intent::Submit),
            "kill" if args[0] == "all" => {
                for n in 0..self.nodes.len() {
                    self.kill(n, ms(num(args, "down", 3.0)));
                }
            }
            "kill" => {
                let n = self.node_arg(&args[0]);
                self.kill(n, ms(num(args, "down", 3.0)));
            }
            // It is told to end, hands over, and comes back.
            "drain" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].drain_down = Some(ms(num(args, "down", 3.0)));
                self.feed(n, Input::Shutdown);
            }
            // It ends, and comes back with settings that announce the limits to come.
            "upgrade" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].announced = true;
                self.kill(n, ms(num(args, "down", 3.0)));
            }
            "limits" => self.set_limits(args),
            "limit-holds" => self.limit_holds(args),
            "limits-spoilt" => self.spoil_limits(false),
            "limits-gone" => self.spoil_limits(true),
            "limits-fall" => {
                let now = self.now;
                let next = self.next.expect("next limits");
                self.state.lower_limits(now, next);
            }
            "freeze" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].frozen_until = until;
            }
            // The leader, whoever it is, measures that it is so busy.
            "busy" => self.busy = (num(args, "share", 0.95), until),
            "cut" => self.make_cuts(args, until),
            "refuse" => {
                let n = self.node_arg(&args[0]);
                self.nodes[n].refused_until = until;
            }
            "outage" if args[0] == "state" => self.state.outage = true,
            "outage" => self.cloud.outage = true,
            "restore" if args[0] == "state" => {
                let now = self.now;
                self.state.end_outage(now);
                self.wake_followers();
            }
            "restore" => self.cloud.outage = false,
            "peers-refuse" => self.peers_refuse_until = until,
            "lose-commits" => self.lose_commits = args[0].parse().expect("a count"),
            "throttle" => self.throttle = (num(args, "rps", 50.0) as u32, until),
            "copies" => self.copies = Some((ms(num(args, "delay", 5.0)), until)),
            "late-writes" => self.troubles.late_writes = (num(args, "share", 0.3), until),
            "lost-answers" => self.troubles.lost_answers = (num(args, "share", 0.3), until),
            "late-reports" => self.troubles.late_reports = (num(args, "share", 0.3), until),
            "keep-reports" => self.troubles.kept_reports = (num(args, "share", 0.3), until),
            "slow-state" => self.troubles.slow_state = (num(args, "share", 0.3), until),
            "cancel-at-end" => self.troubles.cancel_at_end = (num(args, "share", 0.5), until),
            "close-looks" => {
                self.troubles.close_looks = until;
                self.troubles.cancel_at_once = (num(args, "cancel", 0.0), until);
            }
            "slow-boots" => {
                self.cloud.slow = (num(args, "times", 4.0), until);
                self.cloud.slow_type = arg(args, "type").map(String::from);
            }
            "fast-boots" => self.cloud.fast_until = until,
            "odd" => {
                self.troubles.odd = until;
                self.after(1, Ev::Odd);
            }
            "cancel-now" => self.cancel_now(args),
            "stream" => self.stream(args, for_ms),
            "pipelines" => self.pipelines(args, for_ms),
            "poll-storm" => self.poll_storm(num(args, "rate", 50.0), for_ms),
            "forget-log" => self.state.store.kept = args[0].parse().expect("a count"),
            "stillborn" => self.cloud.stillborn = args[0].parse().expect("a count"),
            "capacity" => {
                let key = (args[0].clone(), args[1].clone(), flag(args, "spot"));
                let n = args[2].parse().expect("a count");
                self.cloud.capacity.insert(key, n);
            }
            "part" => {
                for n in arg(args, "from").expect("from=").split(',') {
                    self.sequence += 1;
                    let id = self.sequence;
                    self.cuts.push(Cut {
                        id,
                        node: Some(self.node_arg(n)),
                        far: Far::Workers,
                        hold: false,
                        zone: Some(args[0].clone()),
                    });
                    self.at(until, Ev::Heal(id));
                }
            }
            "machine" => {
                for id in self.machine_arg(&args[0]) {
                    self.hurt(&id, args, until);
                }
            }
            "zone" => {
                let ids: Vec<String> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| w.zone == args[0])
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in ids {
                    self.hurt(&id, args, until);
                }
            }
            other => panic!("unknown command {other}"),
        }
    }

    pub(super) fn make_cuts(&mut self, args: Args, until: u64) {
        let n = self.node_arg(&args[0]);
        for what in arg(args, "from").expect("from=").split(',') {
            let far = match what {
                "state" => Far::State,
                "cloud" => Far::Cloud,
                "workers" => Far::Workers,
                "peers" => Far::Peers,
                other => panic!("unknown link {other}"),
            };
            self.sequence += 1;
            let id = self.sequence;
            let hold = flag(args, "hold");
            self.cuts.push(Cut {
                id,
                node: Some(n),
                far,
                hold,
                zone: None,
            });
            self.at(until, Ev::Heal(id));
        }
    }

    pub(super) fn hurt(&mut self, id: &str, args: Args, until: u64) {
        let now = self.now;
        if flag(args, "die") {
            self.end_worker(id);
            if let Some(r) = self.cloud.rigs.get_mut(id) {
                r.failed = Some(now + 30_000);
            }
            return;
        }
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        if flag(args, "hang") {
            w.hang(now, until);
        }
        if flag(args, "mute") {
            w.mute_until = until;
        }
        if flag(args, "cut") {
            w.cut_until = until;
        }
        if flag(args, "deaf") {
            w.deaf_until = until;
        }
        if flag(args, "sick") {
            w.sick = true;
        }
        if flag(args, "taken") {
            w.taken_at = Some(now + ms(num(args, "notice", 0.0)));
            w.changed = true;
        }
    }

    pub fn submit(&mut self, args: Args) {
        let id = JobId::from(args[0].as_str());
        let service = flag(args, "service");
        let (gb, save) = (num(args, "gb", 5.0), num(args, "save", 0.0));
        let image = arg(args, "image").unwrap_or("img-1").to_string();
        let run = num(args, "run", 20.0);
        let types = arg(args, "types").map(|t| t.split(',').map(String::from).collect::<Vec<_>>());
        let needs = arg(args, "needs").map(|n| n.split(',').map(String::from).collect::<Vec<_>>());
        let needs = needs.unwrap_or_default();
        let body = cbor!({
            "id" => args[0], "troupe" => arg(args, "class").unwrap_or("c"),
            "crew" => arg(args, "team").unwrap_or("t"),
            "form" => if service { "service" } else { "batch" },
            "rank" => arg(args, "rank").unwrap_or("normal"),
            "verses" => num(args, "count", 1.0) as u64,
            "cores" => num(args, "cpus", 4.0), "accelerators" => num(args, "gpus", 1.0),
            "memGb" => num(args, "mem", 8.0), "score" => image, "sizeGb" => gb,
            "builds" => types, "quarter" => arg(args, "zone"),
            "samePlace" => flag(args, "one-zone"), "scatter" => flag(args, "scatter"),
            "borrowed" => flag(args, "spot"), "reckonS" => run,
            "bookmarkS" => if save > 0.0 { 10.0 } else { 0.0 }, "stashS" => save,
            "curtainS" => Option::<f64>::None,
            "awaits" => (!needs.is_empty()).then_some(&needs)
        });
        let spec = Spec {
            body: wire::encode(&body.expect("a map")),
            task: TaskSpec {
                image,
                run_ms: ms(run),
                fetch_ms: ms(gb / 5.0),
                save_ms: ms(save),
                service,
                broken: flag(args, "broken"),
            },
            needs: needs.iter().map(|id| JobId::from(id.as_str())).collect(),
            late: flag(args, "late"),
            hasty: flag(args, "hasty"),
        };
        self.add_spec(&id, spec);
        if flag(args, "unfit") {
            self.checker.set_unfit(&id);
        }
        self.user(&id, Intent::Submit);
    }
}
