//! Names of controllers and teams, and loopback addresses of all programs of the cells.

use crate::experiment::{Cell, Experiment};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Port at which a controller listens for users and workers.
const USER_PORT: u16 = 8080;
/// Port at which a controller listens for its peers in the cell.
const PEER_PORT: u16 = 8081;
const STORE_PORT: u16 = 2379;
/// Port of the cloud for a cell's first controller. Further controllers use the next ports.
const CLOUD_PORT: u16 = 8443;
/// Port at which a controller listens for controllers of other cells.
const CELL_LINK_PORT: u16 = 8082;
/// First port at which the proxy listens in place of a controller. Each sending cell has a port of
/// its own, at the offset of its index.
const FIRST_PROXY_PORT: u16 = 8100;
/// Last octet of the address of a cell's store and cloud.
const SERVICES_OCTET: u8 = 1;
/// Last octet of the address of a cell's first controller. Further controllers count up from it.
const FIRST_CONTROLLER_OCTET: u8 = 10;
/// Number of values of the third octet. A process takes one of them by its id, so that concurrent
/// runs rarely share addresses.
const THIRD_OCTET_COUNT: u32 = 200;

/// Loopback addresses of one cell's programs.
#[derive(Clone, Debug)]
pub struct CellAddresses {
    /// Address of the store.
    pub store: SocketAddrV4,
    /// Addresses of the cloud, one for each controller: by them the cloud identifies its caller.
    pub clouds: Vec<SocketAddrV4>,
    /// Address at which each controller listens for users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// Address at which each controller listens for its peers in the cell.
    pub peers: Vec<SocketAddrV4>,
    /// Address at which each controller listens for controllers of other cells.
    pub cell_links: Vec<SocketAddrV4>,
}

impl CellAddresses {
    /// Returns the addresses of the cell at `index`. They depend on the id of this process, so that
    /// concurrent runs rarely collide.
    pub fn new(network: Ipv4Addr, index: usize, controllers: usize) -> Self {
        let [first, second, _, _] = network.octets();
        let second = second.wrapping_add(index as u8);
        let third = (std::process::id() % THIRD_OCTET_COUNT) as u8;
        let address = |last_octet: u8, port: u16| {
            SocketAddrV4::new(Ipv4Addr::new(first, second, third, last_octet), port)
        };
        let controller_addresses = |port: u16| {
            (0..controllers)
                .map(|controller| address(FIRST_CONTROLLER_OCTET + controller as u8, port))
                .collect()
        };
        Self {
            store: address(SERVICES_OCTET, STORE_PORT),
            clouds: (0..controllers)
                .map(|controller| address(SERVICES_OCTET, CLOUD_PORT + controller as u16))
                .collect(),
            controllers: controller_addresses(USER_PORT),
            peers: controller_addresses(PEER_PORT),
            cell_links: controller_addresses(CELL_LINK_PORT),
        }
    }

    /// Returns the addresses of all cells of an experiment.
    pub fn of_cells(experiment: &Experiment) -> Vec<Self> {
        let cells = experiment.cells.iter().enumerate();
        cells
            .map(|(index, cell)| Self::new(experiment.network, index, cell.controllers))
            .collect()
    }

    /// Returns the address at which the proxy listens for messages from the cell `from` to one of
    /// this cell's controllers.
    pub fn proxy_address(&self, from: usize, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            *self.cell_links[controller].ip(),
            FIRST_PROXY_PORT + from as u16,
        )
    }
}

/// Position of a controller: its cell, and its index within the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerIndex {
    /// Index of the cell.
    pub cell: usize,
    /// Index of the controller within the cell.
    pub controller: usize,
}

/// Returns the id of one of a cell's controllers.
pub fn controller_id(cell: &Cell, controller: usize) -> String {
    format!("{}-{controller}", cell.name)
}

/// Returns the name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// Returns the index of a team's home cell, which sets the team's limit.
pub fn home_cell(experiment: &Experiment, team: usize) -> usize {
    team % experiment.cells.len()
}
