//! The cells file: a Java properties file with the cells that share team limits. It is the same for
//! all cells except for `cells.here`.

use crate::ids::ControllerId;
use crate::settings::platform::{Platform, Team};
use crate::settings::{Reason, SettingsError};
use salttrestle_cells::ledger::HomeTeam;
use salttrestle_cells::{Amount, Cell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;

/// Maximum length of a cell's name, in bytes. The name is part of a key in the store.
const NAME_BYTES_MAX: usize = 32;
/// Maximum number of cells. It limits the size of messages and records.
const CELLS_MAX: usize = 16;
/// Maximum number of teams with a limit. It limits the size of messages and records.
const TEAMS_MAX: usize = 256;

/// The cells, the addresses of their controllers, and the home cells of teams.
#[derive(Clone, Debug, PartialEq)]
pub struct CellsFile {
    /// `cells.generation`: increases with every change of the file.
    pub generation: u64,
    /// `cells.here`: the cell that this controller belongs to.
    pub local_cell: Cell,
    /// `cell.CELL.MEMBER`: the addresses at which each cell's controllers listen for other cells.
    pub cells: BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>,
    /// `team.TEAM.home` and `team.TEAM.since`: the cell that creates a team's limit, and the
    /// generation of the file in which the team was added.
    pub teams: BTreeMap<String, HomeTeam>,
    /// `team.TEAM.floor`: CPUs and GPUs that each cell keeps for urgent work while links between
    /// cells are down.
    pub floors: BTreeMap<String, Amount>,
}

/// The properties of one file. A property is removed when it is read, so that unknown keys remain.
struct Properties<'a> {
    file: &'a str,
    values: HashMap<String, String>,
}

impl Properties<'_> {
    fn take_text(&mut self, key: &str) -> Result<String, SettingsError> {
        let found = self.values.remove(key);
        let text = found.ok_or_else(|| self.error(key, Reason::Missing))?;
        Ok(text.trim().to_string())
    }

    fn take_generation(&mut self, key: &str, default: Option<u64>) -> Result<u64, SettingsError> {
        if let (Some(default), false) = (default, self.values.contains_key(key)) {
            return Ok(default);
        }
        let text = self.take_text(key)?;
        let number = text.parse().ok().filter(|number| *number > 0);
        number.ok_or_else(|| self.error(key, Reason::NotAGeneration(text)))
    }

    fn error(&self, key: &str, reason: Reason) -> SettingsError {
        SettingsError::new(self.file, key, reason)
    }

    /// Returns the parts between prefix and suffix of all keys that have both, sorted.
    fn names(&self, prefix: &str, suffix: &str) -> Vec<String> {
        let keys = self.values.keys();
        let names = keys.filter_map(|key| key.strip_prefix(prefix)?.strip_suffix(suffix));
        let mut names: Vec<String> = names.map(String::from).collect();
        names.sort();
        names
    }
}

impl CellsFile {
    /// Parses a cells file and validates it against the platform's settings.
    pub fn parse(text: &str, file: &str, platform: &Platform) -> Result<Self, SettingsError> {
        let values = java_properties::read(text.as_bytes())
            .map_err(|error| SettingsError::whole_file(file, error))?;
        let mut properties = Properties { file, values };
        let generation = properties.take_generation("cells.generation", None)?;
        let local_cell = properties.take_text("cells.here")?;
        let cells = parse_cells(&mut properties)?;
        let teams = parse_teams(&mut properties, generation, platform, &cells)?;
        let floors = parse_floors(&mut properties, &teams, cells.len())?;
        if let Some(key) = properties.values.keys().min() {
            return Err(properties.error(key, Reason::UnknownKey));
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

    /// Returns the address at which a controller of this cell listens for other cells.
    pub fn listen(&self, controller_id: &ControllerId) -> Option<SocketAddrV4> {
        self.cells
            .get(&self.local_cell)?
            .get(controller_id)
            .copied()
    }

    /// Returns all cells except this one.
    pub fn other_cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.keys().filter(|cell| **cell != self.local_cell)
    }
}

fn is_cell_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !text.is_empty() && text.len() <= NAME_BYTES_MAX && text.bytes().all(is_allowed)
}

fn parse_cells(
    properties: &mut Properties,
) -> Result<BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>, SettingsError> {
    let mut cells: BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>> = BTreeMap::new();
    for name in properties.names("cell.", "") {
        let key = format!("cell.{name}");
        let text = properties.take_text(&key)?;
        let Some((cell, controller_id)) =
            name.split_once('.').filter(|(cell, _)| is_cell_name(cell))
        else {
            return Err(properties.error(&key, Reason::NotACellMember));
        };
        let address: Result<SocketAddrV4, _> = text.parse();
        let address = address.map_err(|_| properties.error(&key, Reason::NotAnAddress(text)));
        let controller_ids = cells.entry(cell.to_string()).or_default();
        controller_ids.insert(ControllerId::from(controller_id), address?);
    }
    match cells.len() {
        2..=CELLS_MAX => Ok(cells),
        _ => Err(properties.error("cell", Reason::CellCount(CELLS_MAX))),
    }
}

fn parse_teams(
    properties: &mut Properties,
    generation: u64,
    platform: &Platform,
    cells: &BTreeMap<Cell, BTreeMap<ControllerId, SocketAddrV4>>,
) -> Result<BTreeMap<String, HomeTeam>, SettingsError> {
    let teams = platform.facts.teams.iter();
    let limited_teams = teams.filter(|team| team.cpus_max > 0.0 || team.gpus_max > 0.0);
    let limited_teams: Vec<&Team> = limited_teams.collect();
    if limited_teams.len() > TEAMS_MAX {
        return Err(properties.error("team", Reason::TooManyTeams(TEAMS_MAX)));
    }
    for name in properties.names("team.", ".home") {
        if !limited_teams.iter().any(|team| team.name == name) {
            let key = format!("team.{name}.home");
            return Err(properties.error(&key, Reason::UnknownTeam));
        }
    }
    let mut teams = BTreeMap::new();
    for team in limited_teams {
        let key = format!("team.{}.home", team.name);
        let home = properties.take_text(&key)?;
        if !cells.contains_key(&home) {
            return Err(properties.error(&key, Reason::UnknownCell(home)));
        }
        let key = format!("team.{}.since", team.name);
        let since = properties.take_generation(&key, Some(1))?;
        if since > generation {
            return Err(properties.error(&key, Reason::AfterGeneration));
        }
        let limit = Amount::rounded_down(team.cpus_max, team.gpus_max);
        teams.insert(team.name.clone(), HomeTeam { home, since, limit });
    }
    Ok(teams)
}

fn parse_floors(
    properties: &mut Properties,
    teams: &BTreeMap<String, HomeTeam>,
    cell_count: usize,
) -> Result<BTreeMap<String, Amount>, SettingsError> {
    let mut floors = BTreeMap::new();
    for name in properties.names("team.", ".floor") {
        let key = format!("team.{name}.floor");
        let text = properties.take_text(&key)?;
        let amounts = text.split(' ').filter_map(|amount| amount.parse().ok());
        let amounts: Vec<f64> = amounts.collect();
        let is_valid = |amount: &f64| amount.is_finite() && *amount >= 0.0;
        let [cpus, gpus] = amounts[..] else {
            return Err(properties.error(&key, Reason::NotAnAmount(text)));
        };
        let Some(team) = teams
            .get(&name)
            .filter(|_| is_valid(&cpus) && is_valid(&gpus))
        else {
            return Err(properties.error(&key, Reason::InvalidFloor));
        };
        let floor = Amount::rounded_up(cpus, gpus);
        let sum_of_floors = (0..cell_count).fold(Amount::ZERO, |sum, _| sum.saturating_add(floor));
        if !sum_of_floors.saturating_sub(team.limit).is_zero() {
            return Err(properties.error(&key, Reason::FloorsExceedLimit(cell_count)));
        }
        floors.insert(name, floor);
    }
    Ok(floors)
}
