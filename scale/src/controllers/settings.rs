//! Writes the settings files of the controllers.

use crate::experiment::{Experiment, Sharing};
use crate::layout::{CellAddresses, ControllerIndex, controller_id, home_cell, team_name};
use serde_json::{Value, json};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Staleness of the fake cloud's lists, both simulated and stated in the settings.
pub const CLOUD_LIST_LAG: Duration = Duration::from_secs(3);
/// Request rate of the cloud per second, as stated in the settings. The fake cloud doesn't enforce
/// it.
const CLOUD_RPS: f64 = 20.0;
/// Properties of all controllers. The long scale-in window, in boot times, keeps the size of the
/// fleet constant: an empty machine is deleted only after the window has passed.
const CONTROLLER_PROPERTIES: &str = "scale.window = 100\n";
/// Properties that turn off the warm standby.
const STANDBY_OFF_PROPERTIES: &str = "standby.heartbeat-s = 0\nstandby.hints-s = 0\n";

/// Paths of the settings files that a controller is started with.
pub(super) struct SettingsFiles {
    /// Platform settings, in JSON.
    pub(super) config: PathBuf,
    /// Properties of the controller program, the same for all controllers.
    pub(super) properties: PathBuf,
    /// Cells file; `None` if the cells don't share team limits.
    pub(super) cells: Option<PathBuf>,
}

impl SettingsFiles {
    /// Writes the settings files of one controller into a folder.
    pub(super) fn write(
        experiment: &Experiment,
        index: ControllerIndex,
        addresses: &[CellAddresses],
        folder: &Path,
    ) -> io::Result<Self> {
        let cell = &experiment.cells[index.cell];
        let id = controller_id(cell, index.controller);
        let config = folder.join(format!("{id}.json"));
        let platform = platform_settings(experiment, index, &addresses[index.cell]);
        std::fs::write(&config, platform.to_string())?;
        let properties = folder.join("controllers.properties");
        std::fs::write(&properties, controller_properties(experiment))?;
        let cells = match &experiment.sharing {
            None => None,
            Some(sharing) => {
                let path = folder.join(format!("cells-{}.properties", cell.name));
                let text = cells_settings(experiment, sharing, index.cell, addresses);
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

fn controller_properties(experiment: &Experiment) -> String {
    let takeovers = experiment.takeovers.as_ref();
    match takeovers.is_none_or(|takeovers| takeovers.has_standby) {
        true => CONTROLLER_PROPERTIES.into(),
        false => format!("{CONTROLLER_PROPERTIES}{STANDBY_OFF_PROPERTIES}"),
    }
}

/// Builds the settings that a platform would provide to a controller.
fn platform_settings(
    experiment: &Experiment,
    index: ControllerIndex,
    addresses: &CellAddresses,
) -> Value {
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
        "facts": platform_facts(experiment, index.cell)
    })
}

/// Builds the facts that a platform states about the fleet and about external services.
fn platform_facts(experiment: &Experiment, cell: usize) -> Value {
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

/// Builds the cells file for the controllers of one cell. It names the proxy's addresses for the
/// controllers of other cells.
fn cells_settings(
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
                true => addresses[index].cell_links[controller],
                false => addresses[index].proxy_address(own_cell, controller),
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
