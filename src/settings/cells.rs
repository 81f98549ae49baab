//! The cells that share team limits, as Java-style properties: the same file for all cells but for
//! `cells.here`.

use crate::ids::ControllerId;
use crate::settings::platform::{Platform, Team};
use crate::settings::{Reason, SettingsError};
use salttrestle_cells::ledger::HomeTeam;
use salttrestle_cells::{Amount, Cell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// Longest name of a cell: it is part of a key.
const NAME_MAX: usize = 32;
/// Most cells, and most teams with a limit: messages and records stay small.
const CELLS_MAX: usize = 16;
const TEAMS_MAX: usize = 256;

/// The cells, where their controllers listen for each other, and the homes of teams.
#[derive(Clone, Debug, PartialEq)]
pub struct CellsFile {
    /// `cells.generation`: rises with every change of the file.
    pub generation: u64,
    /// `cells.here`: the cell that this controller belongs to.
    pub local_cell: Cell,
    /// `cell.CELL.MEMBER`: where each cell's controllers listen for other cells.
    pub cells: BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>,
    /// `team.TEAM.home` and `team.TEAM.since`: the cell that makes a team's limit, and the
    /// generation with which the team came.
    pub teams: BTreeMap<String, HomeTeam>,
    /// `team.TEAM.floor`: CPUs and GPUs that stay in each cell for urgent work while links are
    /// cut.
    pub floors: BTreeMap<String, Amount>,
}

/// The properties of one file, of which each is taken once.
struct Table<'a> {
    file: &'a str,
    values: HashMap<String, String>,
}

impl Table<'_> {
    fn text(&mut self, key: &str) -> Result<String, SettingsError> {
        let found = self.values.remove(key);
        let text = found.ok_or_else(|| self.error(key, Reason::Missing))?;
        Ok(text.trim().to_string())
    }

    fn generation(&mut self, key: &str, default: Option<u64>) -> Result<u64, SettingsError> {
        if let (Some(default), false) = (default, self.values.contains_key(key)) {
            return Ok(default);
        }
        let text = self.text(key)?;
        let number = text.parse().ok().filter(|number| *number > 0);
        number.ok_or_else(|| self.error(key, Reason::NotAGeneration(text)))
    }

    fn error(&self, key: &str, reason: Reason) -> SettingsError {
        SettingsError::new(self.file, key, reason)
    }

    /// The names in the keys that begin and end like this.
    fn names(&self, prefix: &str, last: &str) -> Vec<String> {
        let keys = self.values.keys();
        let names = keys.filter_map(|key| key.strip_prefix(prefix)?.strip_suffix(last));
        let mut names: Vec<String> = names.map(String::from).collect();
        names.sort();
        names
    }
}

impl CellsFile {
    /// Reads a cells file and checks it against the platform's settings.
    pub fn parse(text: &str, file: &str, platform: &Platform) -> Result<Self, SettingsError> {
        let values = java_properties::read(text.as_bytes())
            .map_err(|error| SettingsError::whole_file(file, error))?;
        let mut table = Table { file, values };
        let generation = table.generation("cells.generation", None)?;
        let local_cell = table.text("cells.here")?;
        let cells = read_cells(&mut table)?;
        let teams = read_teams(&mut table, generation, platform, &cells)?;
        let floors = read_floors(&mut table, &teams, cells.len())?;
        if let Some(key) = table.values.keys().min() {
            return Err(table.error(key, Reason::UnknownKey));
        }
        let cells_file = Self {
            generation,
            local_cell,
            cells,
            teams,
            floors,
        };
        cells_file.check_local_cell(file, platform)?;
        Ok(cells_file)
    }

    fn check_local_cell(&self, file: &str, platform: &Platform) -> Result<(), SettingsError> {
        let Some(controller_ids) = self.cells.get(&self.local_cell) else {
            let reason = Reason::UnknownCell(self.local_cell.clone());
            return Err(SettingsError::new(file, "cells.here", reason));
        };
        let peers = platform.peers.iter().map(|peer| &peer.controller_id);
        for controller_id in peers.chain([&platform.controller_id]) {
            if !controller_ids.contains_key(controller_id) {
                let key = format!("cell.{}.{controller_id}", self.local_cell);
                return Err(SettingsError::new(file, &key, Reason::Missing));
            }
        }
        Ok(())
    }

    /// Where this controller listens for other cells.
    pub fn listen(&self, controller_id: &ControllerId) -> Option<SocketAddrV4> {
        self.cells
            .get(&self.local_cell)?
            .get(controller_id)
            .copied()
    }

    /// The other cells.
    pub fn other_cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.keys().filter(|cell| **cell != self.local_cell)
    }
}

fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    !text.is_empty() && text.len() <= NAME_MAX && text.bytes().all(plain)
}

fn read_cells(
    table: &mut Table,
) -> Result<BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>, SettingsError> {
    let mut cells: BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>> = BTreeMap::new();
    for name in table.names("cell.", "") {
        let key = format!("cell.{name}");
        let text = table.text(&key)?;
        let Some((cell, controller_id)) = name.split_once('.').filter(|(cell, _)| is_name(cell))
        else {
            return Err(table.error(&key, Reason::NotACellMember));
        };
        let address: Result<SocketAddrV4, _> = text.parse();
        let address = address.map_err(|_| table.error(&key, Reason::NotAnAddress(text)));
        let controller_ids = cells.entry(cell.to_string()).or_default();
        controller_ids.insert(ControllerId::from(controller_id), address?);
    }
    match cells.len() {
        2..=CELLS_MAX => Ok(cells),
        _ => Err(table.error("cell", Reason::CellCount(CELLS_MAX))),
    }
}

fn read_teams(
    table: &mut Table,
    generation: u64,
    platform: &Platform,
    cells: &BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>,
) -> Result<BTreeMap<String, HomeTeam>, SettingsError> {
    let teams = platform.facts.teams.iter();
    let limited = teams.filter(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0);
    let limited: Vec<&Team> = limited.collect();
    if limited.len() > TEAMS_MAX {
        return Err(table.error("team", Reason::TooManyTeams(TEAMS_MAX)));
    }
    for name in table.names("team.", ".home") {
        if !limited.iter().any(|team| team.name == name) {
            let key = format!("team.{name}.home");
            return Err(table.error(&key, Reason::UnknownTeam));
        }
    }
    let mut teams = BTreeMap::new();
    for team in limited {
        let key = format!("team.{}.home", team.name);
        let home = table.text(&key)?;
        if !cells.contains_key(&home) {
            return Err(table.error(&key, Reason::UnknownCell(home)));
        }
        let key = format!("team.{}.since", team.name);
        let since = table.generation(&key, Some(1))?;
        if since > generation {
            return Err(table.error(&key, Reason::AfterGeneration));
        }
        let limit = Amount::rounded_down(team.cpus_max, team.gpus_max);
        teams.insert(team.name.clone(), HomeTeam { home, since, limit });
    }
    Ok(teams)
}

fn read_floors(
    table: &mut Table,
    teams: &BTreeMap<String, HomeTeam>,
    cells: usize,
) -> Result<BTreeMap<String, Amount>, SettingsError> {
    let mut floors = BTreeMap::new();
    for name in table.names("team.", ".floor") {
        let key = format!("team.{name}.floor");
        let text = table.text(&key)?;
        let amounts = text.split(' ').filter_map(|amount| amount.parse().ok());
        let amounts: Vec<f64> = amounts.collect();
        let good = |amount: &f64| amount.is_finite() && *amount >= 0.0;
        let [cpus, gpus] = amounts[..] else {
            return Err(table.error(&key, Reason::NotAnAmount(text)));
        };
        let Some(team) = teams.get(&name).filter(|_| good(&cpus) && good(&gpus)) else {
            return Err(table.error(&key, Reason::InvalidFloor));
        };
        let floor = Amount::rounded_up(cpus, gpus);
        let all = (0..cells).fold(Amount::ZERO, |sum, _| sum.plus(floor));
        if !all.beyond(team.limit).is_zero() {
            return Err(table.error(&key, Reason::FloorsExceedLimit(cells)));
        }
        floors.insert(name, floor);
    }
    Ok(floors)
}
