//! The names and loopback addresses of the cells' programs.

use crate::experiment::{Cell, Experiment};
use std::net::{Ipv4Addr, SocketAddrV4};

const USER_PORT: u16 = 8080;
const PEER_PORT: u16 = 8081;
const STORE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
/// Where a controller listens for other cells.
const CELL_LINK_PORT: u16 = 8082;
/// Where the proxy listens in place of a controller: one port for each sending cell.
const FIRST_PROXY_PORT: u16 = 8100;
/// The last octet of the addresses of a cell's store and cloud.
const SERVICES_OCTET: u8 = 1;
/// The last octet of the address of a cell's first controller.
const FIRST_CONTROLLER_OCTET: u8 = 10;
/// Concurrent runs of other processes have other networks, modulo this number.
const NETWORK_COUNT: u32 = 200;

/// The addresses of one cell.
#[derive(Clone, Debug)]
pub struct CellAddresses {
    /// The store.
    pub store: SocketAddrV4,
    /// The cloud: an address for each controller, by which it knows its caller.
    pub clouds: Vec<SocketAddrV4>,
    /// Where each controller listens for users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// Where each controller listens for its peers.
    pub peers: Vec<SocketAddrV4>,
    /// Where each controller listens for other cells.
    pub cell_links: Vec<SocketAddrV4>,
}

impl CellAddresses {
    /// The addresses of the cell at `index`; they depend on the process, so that concurrent runs
    /// don't collide.
    pub fn new(network: Ipv4Addr, index: usize, controllers: usize) -> Self {
        let [first, second, _, _] = network.octets();
        let second = second.wrapping_add(index as u8);
        let third = (std::process::id() % NETWORK_COUNT) as u8;
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

    /// The addresses of all cells of an experiment.
    pub fn of_cells(experiment: &Experiment) -> Vec<Self> {
        let cells = experiment.cells.iter().enumerate();
        cells
            .map(|(index, cell)| Self::new(experiment.network, index, cell.controllers))
            .collect()
    }

    /// Where the proxy listens for messages of the cell `from` to one of this cell's controllers.
    pub fn proxy_address(&self, from: usize, controller: usize) -> SocketAddrV4 {
        SocketAddrV4::new(
            *self.cell_links[controller].ip(),
            FIRST_PROXY_PORT + from as u16,
        )
    }
}

/// A controller, by its cell and its place in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerIndex {
    /// Index of its cell.
    pub cell: usize,
    /// Its index within the cell.
    pub controller: usize,
}

/// The id of a cell's controller.
pub fn controller_id(cell: &Cell, controller: usize) -> String {
    format!("{}-{controller}", cell.name)
}

/// The name of a team.
pub fn team_name(team: usize) -> String {
    format!("team-{team}")
}

/// The home cell of a team, which sets its limit.
pub fn home_cell(experiment: &Experiment, team: usize) -> usize {
    team % experiment.cells.len()
}
