//! Stand-in of the cloud.

use crate::cbor::{V, decode, encode};
use crate::http::serve;
use crate::worker::Shared;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct MachineType {
    pub name: String,
    pub cores: f64,
    pub accelerators: f64,
    pub mem_gb: f64,
    pub ready_s: f64,
}

#[derive(Clone)]
pub struct Rig {
    pub build: String,
    pub quarter: String,
    pub borrowed: bool,
    pub rented: Instant,
    pub up: Instant,
    pub gone: Option<Instant>,
}

#[derive(Default)]
struct Data {
    rigs: BTreeMap<String, Rig>,
    hires: BTreeMap<String, Vec<String>>,
    capacity: BTreeMap<(String, String, bool), u64>,
    log: Vec<String>,
}

pub struct Cloud {
    types: Vec<MachineType>,
    quarters: Vec<String>,
    lag: Duration,
    start: Instant,
    data: Mutex<Data>,
    shared: Arc<Shared>,
}

impl Cloud {
    pub fn start(
        types: Vec<MachineType>,
        quarters: Vec<String>,
        lag_s: f64,
        listeners: Vec<TcpListener>,
        shared: Arc<Shared>,
    ) -> Arc<Self> {
        let cloud = Arc::new(Self {
            types,
            quarters,
            lag: Duration::from_secs_f64(lag_s),
            start: Instant::now(),
            data: Mutex::default(),
            shared,
        });
        for (controller, listener) in listeners.into_iter().enumerate() {
            let cloud = cloud.clone();
            serve(listener, move |method, path, body| {
                std::thread::sleep(Duration::from_millis(50));
                cloud.handle(controller, method, path, body)
            });
        }
        cloud
    }

    pub fn set_capacity(&self, build: &str, quarter: &str, borrowed: bool, count: u64) {
        let key = (build.to_string(), quarter.to_string(), borrowed);
        self.data.lock().unwrap().capacity.insert(key, count);
    }

    /// Adds a machine that has been up for a long time.
    pub fn add(&self, build: &str, quarter: &str) -> String {
        let mut data = self.data.lock().unwrap();
        let past = self
            .start
            .checked_sub(Duration::from_secs(100))
            .unwrap_or(self.start);
        add(&mut data, build, quarter, false, past, past)
    }

    /// Cores, accelerators and memory of a machine type.
    pub fn room(&self, build: &str) -> [f64; 3] {
        let found = self.types.iter().find(|known| known.name == build);
        found.map_or([0.0; 3], |t| [t.cores, t.accelerators, t.mem_gb])
    }

    pub fn rigs(&self) -> BTreeMap<String, Rig> {
        self.data.lock().unwrap().rigs.clone()
    }

    pub fn take_log(&self) -> Vec<String> {
        std::mem::take(&mut self.data.lock().unwrap().log)
    }

    fn handle(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<(u16, Vec<u8>)> {
        let now = Instant::now();
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let mut data = self.data.lock().unwrap();
        match (method, path) {
            ("GET", "/catalog") => {
                let quarters: Vec<V> = self.quarters.iter().map(V::s).collect();
                let builds = self.types.iter().map(|build| {
                    V::map(vec![
                        ("name", V::s(&build.name)),
                        ("cores", V::F(build.cores)),
                        ("accelerators", V::F(build.accelerators)),
                        ("memGb", V::F(build.mem_gb)),
                        ("localGb", V::F(600.0)),
                        ("fetchGbPerS", V::F(4.6)),
                        ("rate", V::F(23.84)),
                        ("lowPrice", V::F(8.4)),
                        ("readyS", V::F(build.ready_s)),
                        ("quarters", V::A(quarters.clone())),
                    ])
                });
                Some((
                    200,
                    encode(&V::map(vec![("builds", V::A(builds.collect()))])),
                ))
            }
            ("POST", "/rentals") => {
                let request = decode(body)?;
                let text = |name: &str| {
                    request
                        .get(name)
                        .and_then(V::text)
                        .unwrap_or("")
                        .to_string()
                };
                let (hire, build, quarter) = (text("hire"), text("build"), text("quarter"));
                let borrowed = request.get("borrowed") == Some(&V::B(true));
                let number = request.get("number").and_then(V::uint).unwrap_or(0).min(50);
                let rigs = match data.hires.get(&hire) {
                    Some(rigs) => rigs.clone(),
                    None => {
                        let key = (build.clone(), quarter.clone(), borrowed);
                        let left = data.capacity.get(&key).copied().unwrap_or(0);
                        let count = left.min(number);
                        if count == 0 {
                            return Some((
                                503,
                                encode(&V::map(vec![("error", V::s("no capacity"))])),
                            ));
                        }
                        data.capacity.insert(key, left - count);
                        let ready = self
                            .types
                            .iter()
                            .find(|t| t.name == build)
                            .map_or(60.0, |t| t.ready_s);
                        let up = now + Duration::from_secs_f64(ready);
                        let rigs: Vec<String> = (0..count)
                            .map(|_| add(&mut data, &build, &quarter, borrowed, now, up))
                            .collect();
                        let at = self.start.elapsed().as_secs_f64();
                        let line = format!(
                            "{at:.3} controller {controller} hire {hire} {build} {quarter} borrowed={borrowed} -> {rigs:?}"
                        );
                        data.log.push(line);
                        data.hires.insert(hire, rigs.clone());
                        rigs
                    }
                };
                Some((
                    200,
                    encode(&V::map(vec![(
                        "rigs",
                        V::A(rigs.iter().map(V::s).collect()),
                    )])),
                ))
            }
            ("POST", "/rentals/delete") => {
                let request = decode(body)?;
                for rig in request.get("rigs").map_or(&[][..], V::list) {
                    let id = rig.text().unwrap_or("").to_string();
                    let mut freed = None;
                    if let Some(found) = data.rigs.get_mut(&id).filter(|found| found.gone.is_none())
                    {
                        found.gone = Some(now);
                        self.shared.delete(&id);
                        freed = Some((found.build.clone(), found.quarter.clone(), found.borrowed));
                    }
                    if let Some(key) = freed {
                        *data.capacity.entry(key).or_default() += 1;
                    }
                    let at = self.start.elapsed().as_secs_f64();
                    data.log
                        .push(format!("{at:.3} controller {controller} deletes {id}"));
                }
                Some((200, encode(&V::map(vec![]))))
            }
            ("GET", "/rentals") => {
                let after = query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix("after="))
                    .unwrap_or("");
                let at = now.checked_sub(self.lag).unwrap_or(now);
                let listed = data.rigs.iter().filter(|(id, rig)| {
                    id.as_str() > after && rig.rented <= at && rig.gone.is_none_or(|gone| gone > at)
                });
                let listed: Vec<V> = listed
                    .map(|(id, rig)| {
                        V::map(vec![
                            ("id", V::s(id)),
                            ("endpoint", V::s("127.0.0.1:9")),
                            ("build", V::s(&rig.build)),
                            ("quarter", V::s(&rig.quarter)),
                            ("borrowed", V::B(rig.borrowed)),
                            (
                                "stance",
                                V::s(if rig.up <= at { "running" } else { "starting" }),
                            ),
                            ("ageS", V::F(at.duration_since(rig.rented).as_secs_f64())),
                        ])
                    })
                    .collect();
                let fields = vec![("rigs", V::A(listed)), ("hasNext", V::B(false))];
                Some((200, encode(&V::map(fields))))
            }
            _ => Some((400, encode(&V::map(vec![("error", V::s("malformed"))])))),
        }
    }
}

fn add(
    data: &mut Data,
    build: &str,
    quarter: &str,
    borrowed: bool,
    rented: Instant,
    up: Instant,
) -> String {
    let id = format!("i-{:06}", data.rigs.len() + 1);
    let rig = Rig {
        build: build.into(),
        quarter: quarter.into(),
        borrowed,
        rented,
        up,
        gone: None,
    };
    data.rigs.insert(id.clone(), rig);
    id
}
