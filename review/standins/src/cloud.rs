//! The cloud: rents machines, whose workers come up after the boot time, lists and deletes them.

use crate::cbor::V;
use crate::http::{serve, Handler, Request, Response};
use crate::map;
use crate::record::Record;
use crate::worker::{Machine, Site, Worker};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Build {
    pub name: &'static str,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub boot_s: f64,
    /// The usual boot time, as the catalog has it.
    pub ready_s: f64,
    pub quarters: Vec<&'static str>,
    /// Machines that can be rented of this type, in each zone, of either kind.
    pub capacity: usize,
}

struct Rented {
    build: String,
    quarter: String,
    borrowed: bool,
    at: Instant,
    up: bool,
    gone_at: Option<Instant>,
    worker: Option<Arc<Worker>>,
}

pub struct Cloud {
    builds: Vec<Build>,
    inner: Mutex<Inner>,
    site: Arc<Site>,
    record: Record,
    list_lag: Duration,
}

struct Inner {
    rigs: BTreeMap<String, Rented>,
    hires: BTreeMap<String, Vec<String>>,
    next: u64,
}

impl Cloud {
    pub fn start(builds: Vec<Build>, site: Arc<Site>, list_lag_s: f64) -> (Arc<Self>, SocketAddr) {
        let cloud = Arc::new(Self {
            builds,
            inner: Mutex::new(Inner {
                rigs: BTreeMap::new(),
                hires: BTreeMap::new(),
                next: 1,
            }),
            record: site.record.clone(),
            site,
            list_lag: Duration::from_secs_f64(list_lag_s),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let service = cloud.clone();
        let handler: Handler = Arc::new(move |request| Some(service.answer(&request)));
        serve(listener, handler);
        let service = cloud.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(50));
            service.boot_machines();
        });
        (cloud, address)
    }

    /// Machines that are rented now.
    pub fn machines(&self) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.rigs.values().filter(|r| r.gone_at.is_none()).count()
    }

    /// The number of tasks on each machine that is up.
    pub fn tasks(&self) -> Vec<(String, usize)> {
        let inner = self.inner.lock().unwrap();
        let up = inner.rigs.iter();
        up.filter_map(|(id, r)| Some((id.clone(), r.worker.as_ref()?.tasks())))
            .collect()
    }

    fn boot_machines(&self) {
        let mut inner = self.inner.lock().unwrap();
        for (id, rig) in inner.rigs.iter_mut() {
            let Some(build) = self.builds.iter().find(|b| b.name == rig.build) else {
                continue;
            };
            let is_due = rig.at.elapsed().as_secs_f64() >= build.boot_s;
            if rig.up || rig.gone_at.is_some() || !is_due {
                continue;
            }
            rig.up = true;
            let machine = Machine {
                id: id.clone(),
                build: rig.build.clone(),
                quarter: rig.quarter.clone(),
                borrowed: rig.borrowed,
                cores: build.cores,
                accelerators: build.accelerators,
                mem_gb: build.mem_gb,
                fetch_gb_s: 4.6,
            };
            rig.worker = Some(Worker::start(machine, self.site.clone(), id.len()));
        }
    }

    fn answer(&self, request: &Request) -> Response {
        let body = V::decode(&request.body);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/catalog") => self.catalog(),
            ("GET", "/rentals") => self.list(request),
            ("POST", "/rentals") => self.rent(body),
            ("POST", "/rentals/delete") => self.delete(body),
            _ => reply(400, map! {"error" => "malformed"}),
        }
    }

    fn catalog(&self) -> Response {
        let builds = self.builds.iter().map(|b| {
            let quarters: Vec<V> = b.quarters.iter().map(|q| V::from(*q)).collect();
            map! {"name" => b.name, "cores" => b.cores, "accelerators" => b.accelerators,
            "memGb" => b.mem_gb, "localGb" => 400.0, "fetchGbPerS" => 4.6, "rate" => 12.0,
            "lowPrice" => 4.5, "readyS" => b.ready_s, "quarters" => quarters}
        });
        reply(200, map! {"builds" => builds.collect::<Vec<_>>()})
    }

    fn rent(&self, body: Option<V>) -> Response {
        let Some(body) = body else {
            return reply(400, map! {"error" => "malformed"});
        };
        let (hire, build) = (body.text("hire"), body.text("build"));
        let (quarter, number) = (body.text("quarter"), body.uint("number"));
        let (Some(hire), Some(build), Some(quarter), Some(number)) = (hire, build, quarter, number)
        else {
            return reply(400, map! {"error" => "malformed"});
        };
        let borrowed = body.flag("borrowed");
        let mut inner = self.inner.lock().unwrap();
        if !inner.hires.contains_key(&hire) {
            let Some(kind) = self.builds.iter().find(|b| b.name == build) else {
                return reply(400, map! {"error" => "malformed"});
            };
            let taken = inner.rigs.values().filter(|r| {
                r.gone_at.is_none()
                    && r.build == build
                    && r.quarter == quarter
                    && r.borrowed == borrowed
            });
            let free = kind.capacity.saturating_sub(taken.count());
            let number = (number as usize).min(50).min(free);
            if number == 0 {
                return reply(503, map! {"error" => "no capacity"});
            }
            let mut names = Vec::new();
            for _ in 0..number {
                let id = format!("i-{:06}", inner.next);
                inner.next += 1;
                let rented = Rented {
                    build: build.clone(),
                    quarter: quarter.clone(),
                    borrowed,
                    at: Instant::now(),
                    up: false,
                    gone_at: None,
                    worker: None,
                };
                inner.rigs.insert(id.clone(), rented);
                names.push(id);
            }
            self.record.line(&format!(
                "rented hire={hire} build={build} quarter={quarter} rigs={names:?}"
            ));
            inner.hires.insert(hire.clone(), names);
        }
        let rigs: Vec<V> = inner.hires[&hire]
            .iter()
            .map(|n| V::from(n.as_str()))
            .collect();
        reply(200, map! {"rigs" => rigs})
    }

    fn delete(&self, body: Option<V>) -> Response {
        let names: Vec<String> = body
            .iter()
            .flat_map(|b| b.list("rigs"))
            .filter_map(|v| match v {
                V::T(t) => Some(t.clone()),
                _ => None,
            })
            .collect();
        let mut inner = self.inner.lock().unwrap();
        let on = self.site.on.lock().unwrap();
        let tasks_on = |rig: &String| {
            on.values()
                .filter(|machines| machines.contains(rig))
                .count()
        };
        let running: Vec<(&String, usize)> = names
            .iter()
            .map(|name| (name, tasks_on(name)))
            .filter(|(_, tasks)| *tasks > 0)
            .collect();
        drop(on);
        self.record.line(&format!(
            "machines deleted rigs={names:?} running_tasks={running:?}"
        ));
        for name in names {
            if let Some(rig) = inner.rigs.get_mut(&name) {
                if rig.gone_at.is_none() {
                    rig.gone_at = Some(Instant::now());
                    if let Some(worker) = rig.worker.take() {
                        worker.remove();
                    }
                }
            }
        }
        reply(200, map! {})
    }

    fn list(&self, request: &Request) -> Response {
        let after = request.param("after").unwrap_or("");
        let limit = request
            .param("limit")
            .and_then(|t| t.parse().ok())
            .unwrap_or(500);
        let limit: usize = std::cmp::min(limit, 500);
        let inner = self.inner.lock().unwrap();
        let lag = self.list_lag;
        let listed = inner.rigs.iter().filter(|(id, r)| {
            id.as_str() > after
                && r.at.elapsed() >= lag
                && r.gone_at.is_none_or(|at| at.elapsed() < lag)
        });
        let mut rigs: Vec<V> = listed
            .take(limit + 1)
            .map(|(id, r)| {
                let age = r.at.elapsed().saturating_sub(lag).as_secs_f64();
                let boot_s = self
                    .builds
                    .iter()
                    .find(|b| b.name == r.build)
                    .map_or(0.0, |b| b.boot_s);
                let stance = if age >= boot_s { "running" } else { "starting" };
                map! {"id" => id.clone(), "endpoint" => "127.0.0.1:9", "build" => r.build.clone(),
                "quarter" => r.quarter.clone(), "borrowed" => r.borrowed, "stance" => stance,
                "ageS" => age}
            })
            .collect();
        let more = rigs.len() > limit;
        rigs.truncate(limit);
        reply(200, map! {"rigs" => rigs, "hasNext" => more})
    }
}

fn reply(status: u16, body: V) -> Response {
    Response {
        status,
        retry_after: None,
        body: body.encode(),
    }
}
