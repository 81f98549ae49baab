//! The controllers: real processes of the service's program, their settings files and logs. Only
//! what was started here is ended here.

use crate::experiment::{Cell, Experiment, Sharing};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

const USER_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const STATE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
/// Where a controller listens for other cells, and where the proxy does in its place: a port for
/// each cell from which messages come.
const LINK_PORT: u16 = 8082;
const FIRST_PROXY_PORT: u16 = 8100;
/// The last part of the address of a cell's services, and of its first controller.
const SERVICES_HOST: u8 = 1;
const FIRST_CONTROLLER_HOST: u8 = 10;
/// Runs at the same time have networks of their own, as far as these go round.
const NETWORKS: u32 = 200;
/// What the hollow cloud takes, and how late its lists are.
const CLOUD_RPS: f64 = 20.0;
const LIST_LAG_S: f64 = 3.0;
/// The fleet keeps its size: an empty machine goes back only after so many boot times.
const PROPERTIES: &str = "scale.window = 100\n";
const WITHOUT_STANDBY: &str = "standby.heartbeat-s = 0\nstandby.hints-s = 0\n";

/// The addresses of one cell.
#[derive(Clone, Debug)]
pub struct CellAddresses {
    /// The store.
    pub state: SocketAddrV4,
    /// The cloud: an address for each controller, by which it is told who calls.
    pub clouds: Vec<SocketAddrV4>,
    /// Where each controller listens for users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// Where each controller listens for the others.
    pub peers: Vec<SocketAddrV4>,
    /// Where each controller listens for other cells.
    pub links: Vec<SocketAddrV4>,
}

impl CellAddresses {
    /// Where the proxy listens for messages of one cell to one of this cell's controllers.
    pub fn proxy(&self, from: usize, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(*self.links[controller].ip(), FIRST_PROXY_PORT + from as u16)
    }

    /// The addresses of the cell at `index`. Runs of other processes get others.
    pub fn new(network: Ipv4Addr, index: usize, controllers: usize) -> Self {
        let [a, b, _, _] = network.octets();
        let second = b.wrapping_add(index as u8);
        let third = (std::process::id() % NETWORKS) as u8;
        let at =
            |host: u8, port: u16| SocketAddrV4::new(Ipv4Addr::new(a, second, third, host), port);
        let host = |n: usize| FIRST_CONTROLLER_HOST + n as u8;
        Self {
            state: at(SERVICES_HOST, STATE_PORT),
            clouds: (0..controllers)
                .map(|n| at(SERVICES_HOST, CLOUD_PORT + n as u16))
                .collect(),
            controllers: (0..controllers).map(|n| at(host(n), USER_PORT)).collect(),
            peers: (0..controllers).map(|n| at(host(n), PEER_PORT)).collect(),
            links: (0..controllers).map(|n| at(host(n), LINK_PORT)).collect(),
        }
    }
}

/// The name of a cell's controller.
pub fn member(cell: &Cell, n: usize) -> String {
    format!("{}-{n}", cell.name)
}

/// One controller.
pub struct Controller {
    /// Its name.
    pub member: String,
    /// Its cell, by index.
    pub cell: usize,
    config: PathBuf,
    properties: PathBuf,
    cells: Option<PathBuf>,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    told_to_end: bool,
}

impl Controller {
    /// Writes a controller's files; `start` runs it.
    pub fn prepare(
        experiment: &Experiment,
        (cell, n): (usize, usize),
        all: &[CellAddresses],
        (program, folder): (&Path, &Path),
    ) -> io::Result<Self> {
        let member = member(&experiment.cells[cell], n);
        let config = folder.join(format!("{member}.json"));
        let properties = folder.join("controllers.properties");
        let settings = platform(experiment, cell, n, &all[cell]);
        std::fs::write(&config, settings.to_string())?;
        std::fs::write(&properties, own_properties(experiment))?;
        let cells = match &experiment.sharing {
            None => None,
            Some(sharing) => {
                let path = folder.join(format!("cells-{}.properties", experiment.cells[cell].name));
                std::fs::write(&path, cells_file(experiment, sharing, cell, all))?;
                Some(path)
            }
        };
        Ok(Self {
            cell,
            config,
            properties,
            cells,
            log: folder.join(format!("{member}.log")),
            program: program.into(),
            child: None,
            told_to_end: false,
            member,
        })
    }

    /// Starts the process, unless it runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        if let Some(cells) = &self.cells {
            command.arg("--cells").arg(cells);
        }
        let child = command
            .arg("--properties")
            .arg(&self.properties)
            .arg("--config")
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Its process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Makes the process stand still, or go on.
    pub fn pause(&self, pause: bool) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        let signal = if pause { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to end. It may be started again by `restart`.
    pub fn terminate(&mut self) {
        self.told_to_end = true;
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Starts the process, after the one before it has ended or is killed. Whether that had
    /// ended by itself, if it was told to.
    pub fn restart(&mut self) -> io::Result<bool> {
        let told = std::mem::take(&mut self.told_to_end);
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        let obeyed = !told || self.child.as_mut().is_none_or(ended);
        if told {
            self.kill();
        }
        self.start()?;
        Ok(obeyed)
    }

    /// Whether it has ended though nobody killed it or told it to end.
    pub fn has_ended(&mut self) -> bool {
        if self.told_to_end {
            return false;
        }
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
        self.child.as_mut().is_some_and(ended)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.pause(false);
        self.kill();
    }
}

fn own_properties(experiment: &Experiment) -> String {
    let standby = experiment.takeovers.as_ref().is_none_or(|t| t.standby);
    match standby {
        true => PROPERTIES.into(),
        false => format!("{PROPERTIES}{WITHOUT_STANDBY}"),
    }
}

/// The settings that a platform would hand over.
fn platform(
    experiment: &Experiment,
    cell: usize,
    n: usize,
    addresses: &CellAddresses,
) -> serde_json::Value {
    let (service, load) = (&experiment.service, &experiment.load);
    let plan = &experiment.cells[cell];
    let zone = |n: usize| &plan.zones[n % plan.zones.len()];
    let others = (0..plan.controllers).filter(|other| *other != n);
    let siblings = others.map(|other| {
        json!({"member": member(plan, other), "site": zone(other),
               "endpoint": addresses.peers[other].to_string()})
    });
    let teams = (0..load.teams).map(|team| {
        json!({"name": team_name(team), "cpus": 0.0, "gpus": 0.0,
               "cpus_max": load.team_limit[0], "gpus_max": load.team_limit[1]})
    });
    json!({
        "member": member(plan, n), "site": zone(n),
        "listen": addresses.controllers[n].to_string(),
        "peer_listen": addresses.peers[n].to_string(),
        "siblings": siblings.collect::<Vec<_>>(),
        "services": {"cloud": addresses.clouds[n].to_string(), "state": addresses.state.to_string()},
        "facts": {
            "count": plan.controllers, "zones": plan.zones, "teams": teams.collect::<Vec<_>>(),
            "objectives": [],
            "workers": {"report_s": service.report_s, "lease_s": service.lease_s,
                        "cancel_s": service.cancel_s},
            "state": {"rps": service.state_rps, "write_rps": service.state_write_rps,
                      "value_kb": service.state_value_kb, "txn_ops": service.state_txn_ops},
            "cloud": {"rps": CLOUD_RPS, "list_lag_s": LIST_LAG_S},
            "resources": {"cpu": 1.0, "mem_mb": 256.0, "max_sockets": service.controller_sockets},
            "clock_off_ms": 1000.0
        }
    })
}

/// The cells file of one cell's controllers: other cells are reached through the proxy.
fn cells_file(
    experiment: &Experiment,
    sharing: &Sharing,
    here: usize,
    all: &[CellAddresses],
) -> String {
    let mut text = format!(
        "cells.generation = 1\ncells.here = {}\n",
        experiment.cells[here].name
    );
    for (at, cell) in experiment.cells.iter().enumerate() {
        for n in 0..cell.controllers {
            let address = match at == here {
                true => all[at].links[n],
                false => all[at].proxy(here, n),
            };
            text += &format!("cell.{}.{} = {address}\n", cell.name, member(cell, n));
        }
    }
    let [cpus, gpus] = sharing.floor;
    for team in 0..experiment.load.teams {
        let (name, home) = (
            team_name(team),
            &experiment.cells[home_of(experiment, team)].name,
        );
        text += &format!("team.{name}.home = {home}\nteam.{name}.floor = {cpus} {gpus}\n");
    }
    text
}

/// The cell that makes a team's limit.
pub fn home_of(experiment: &Experiment, team: usize) -> usize {
    team % experiment.cells.len()
}

/// The name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// By how much the hollow cloud's lists lag, in milliseconds.
pub fn list_lag_ms() -> u64 {
    (LIST_LAG_S * 1000.0) as u64
}

/// The service's program: the one that is named, or the one that was built beside this program.
pub fn find_program(named: Option<&Path>) -> io::Result<PathBuf> {
    if let Some(path) = named {
        return Ok(path.into());
    }
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let mut candidates = folders.map(|folder| folder.join("salttrestle"));
    let found = candidates.find(|path| path.is_file());
    found.ok_or_else(|| {
        let why = "the program 'salttrestle' isn't built beside this one; see --controller";
        io::Error::new(io::ErrorKind::NotFound, why)
    })
}
