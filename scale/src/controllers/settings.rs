//! The settings files of a controller.

use crate::experiment::{Experiment, Sharing};
use crate::layout::{CellAddresses, ControllerIndex, controller_id, home_cell, team_name};
use serde_json::{Value, json};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How old the entries of the fake cloud's lists are.
pub const CLOUD_LIST_LAG: Duration = Duration::from_secs(3);
/// Requests per second that the fake cloud admits.
const CLOUD_RPS: f64 = 20.0;
/// The fleet keeps its size: an empty machine is deleted only after so many boot times.
const PROPERTIES: &str = "scale.window = 100\n";
const WITHOUT_STANDBY: &str = "standby.heartbeat-s = 0\nstandby.hints-s = 0\n";

/// The files that a controller is started with.
pub(super) struct SettingsFiles {
    /// The platform's settings.
    pub(super) config: PathBuf,
    /// The service's own properties, the same for all controllers.
    pub(super) properties: PathBuf,
    /// The cells file, where cells share limits.
    pub(super) cells: Option<PathBuf>,
}

impl SettingsFiles {
    /// Writes the files of one controller into a folder.
    pub(super) fn write(
        experiment: &Experiment,
        index: ControllerIndex,
        addresses: &[CellAddresses],
        folder: &Path,
    ) -> io::Result<Self> {
        let cell = &experiment.cells[index.cell];
        let id = controller_id(cell, index.controller);
        let config = folder.join(format!("{id}.json"));
        let platform = platform(experiment, index, &addresses[index.cell]);
        std::fs::write(&config, platform.to_string())?;
        let properties = folder.join("controllers.properties");
        std::fs::write(&properties, own_properties(experiment))?;
        let cells = match &experiment.sharing {
            None => None,
            Some(sharing) => {
                let path = folder.join(format!("cells-{}.properties", cell.name));
                let text = cells_file(experiment, sharing, index.cell, addresses);
                std::fs::write(&path, text)?;
                Some(path)
            }
        };
        Ok(Self {
            config,
            properties,
            cells,
        })
    }
}

fn own_properties(experiment: &Experiment) -> String {
    let takeovers = experiment.takeovers.as_ref();
    match takeovers.is_none_or(|takeovers| takeovers.has_standby) {
        true => PROPERTIES.into(),
        false => format!("{PROPERTIES}{WITHOUT_STANDBY}"),
    }
}

/// The settings that a platform would provide.
fn platform(experiment: &Experiment, index: ControllerIndex, addresses: &CellAddresses) -> Value {
    let cell = &experiment.cells[index.cell];
    let zone = |controller: usize| &cell.zones[controller % cell.zones.len()];
    let others = (0..cell.controllers).filter(|other| *other != index.controller);
    let siblings = others.map(|other| {
        json!({"member": controller_id(cell, other), "site": zone(other),
               "endpoint": addresses.peers[other].to_string()})
    });
    let cloud = addresses.clouds[index.controller].to_string();
    json!({
        "member": controller_id(cell, index.controller), "site": zone(index.controller),
        "listen": addresses.controllers[index.controller].to_string(),
        "peer_listen": addresses.peers[index.controller].to_string(),
        "siblings": siblings.collect::<Vec<_>>(),
        "services": {"cloud": cloud, "state": addresses.store.to_string()},
        "facts": facts(experiment, index.cell)
    })
}

/// What a platform states of the fleet and its outside services.
fn facts(experiment: &Experiment, cell: usize) -> Value {
    let (service, load) = (&experiment.service, &experiment.load);
    let cell = &experiment.cells[cell];
    let teams = (0..load.teams).map(|team| {
        json!({"name": team_name(team), "cpus": 0.0, "gpus": 0.0,
               "cpus_max": load.team_limit[0], "gpus_max": load.team_limit[1]})
    });
    json!({
        "count": cell.controllers, "zones": cell.zones, "teams": teams.collect::<Vec<_>>(),
        "objectives": [],
        "workers": {"report_s": service.heartbeat_s, "lease_s": service.lease_s,
                    "cancel_s": service.cancel_s},
        "state": {"rps": service.store_rps, "write_rps": service.store_write_rps,
                  "value_kb": service.store_value_max_kib, "txn_ops": service.store_txn_ops_max},
        "cloud": {"rps": CLOUD_RPS, "list_lag_s": CLOUD_LIST_LAG.as_secs_f64()},
        "resources": {"cpu": 1.0, "mem_mb": 256.0, "max_sockets": service.controller_sockets_max},
        "clock_off_ms": 1000.0
    })
}

/// The cells file of one cell's controllers: other cells are reached through the proxy.
fn cells_file(
    experiment: &Experiment,
    sharing: &Sharing,
    own_cell: usize,
    addresses: &[CellAddresses],
) -> String {
    let mut text = format!(
        "cells.generation = 1\ncells.here = {}\n",
        experiment.cells[own_cell].name
    );
    for (index, cell) in experiment.cells.iter().enumerate() {
        for controller in 0..cell.controllers {
            let address = match index == own_cell {
                true => addresses[index].links[controller],
                false => addresses[index].proxy(own_cell, controller),
            };
            let id = controller_id(cell, controller);
            text += &format!("cell.{}.{id} = {address}\n", cell.name);
        }
    }
    let [cpus, gpus] = sharing.floor;
    for team in 0..experiment.load.teams {
        let name = team_name(team);
        let home = &experiment.cells[home_cell(experiment, team)].name;
        text += &format!("team.{name}.home = {home}\nteam.{name}.floor = {cpus} {gpus}\n");
    }
    text
}
