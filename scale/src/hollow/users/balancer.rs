//! The load balancer between the users and the controllers of a cell: probes the health of the
//! controllers, and pools connections to them.

use crate::hollow::connections::{Connections, Role};
use rand::RngExt;
use rand::rngs::StdRng;
use salttrestle::http;
use std::io;
use std::net::SocketAddrV4;

/// Interval between two health probes of a controller, and timeout of a probe, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1000;
/// Maximum number of idle connections that are kept open to one controller.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// The balancer's state of one controller.
struct Backend {
    address: SocketAddrV4,
    /// Connection of the probe in flight.
    probe_connection: Option<usize>,
    next_probe_ms: u64,
    is_healthy: bool,
    idle_connections: Vec<usize>,
}

/// The load balancer between the users and the controllers of a cell.
pub(super) struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    /// Builds a balancer; all controllers are unhealthy until their first successful probe.
    pub(super) fn new(controllers: &[SocketAddrV4]) -> Self {
        let backends = controllers.iter().map(|address| Backend {
            address: *address,
            probe_connection: None,
            next_probe_ms: PROBE_INTERVAL_MS,
            is_healthy: false,
            idle_connections: Vec::new(),
        });
        Self {
            backends: backends.collect(),
        }
    }

    /// Probes the controllers whose next probe is due. A controller that hasn't answered its
    /// previous probe becomes unhealthy.
    pub(super) fn send_due_probes(&mut self, now: u64, connections: &mut Connections) {
        for (controller, backend) in self.backends.iter_mut().enumerate() {
            if now < backend.next_probe_ms {
                continue;
            }
            if let Some(key) = backend.probe_connection.take() {
                connections.close(key);
                backend.is_healthy = false;
            }
            backend.next_probe_ms = now + PROBE_INTERVAL_MS;
            match connections.connect(backend.address, Role::Probe(controller)) {
                Ok(key) => {
                    backend.probe_connection = Some(key);
                    let host = backend.address.to_string();
                    connections.send(key, &http::request("GET", "/up", &host, None));
                }
                Err(_) => backend.is_healthy = false,
            }
        }
    }

    /// Handles the status of a probe's response, or the close of its connection (`None`).
    pub(super) fn handle_probe_result(
        &mut self,
        controller: usize,
        key: usize,
        status: Option<u16>,
        connections: &mut Connections,
    ) {
        let backend = &mut self.backends[controller];
        if backend.probe_connection == Some(key) {
            backend.probe_connection = None;
            backend.is_healthy = status == Some(200);
            connections.close(key);
        }
    }

    /// Returns the number of healthy controllers.
    pub(super) fn healthy_count(&self) -> usize {
        let backends = self.backends.iter();
        backends.filter(|backend| backend.is_healthy).count()
    }

    /// Picks a random healthy controller; `None` if there is none.
    pub(super) fn pick_healthy(&self, rng: &mut StdRng) -> Option<usize> {
        let backends = self.backends.iter().enumerate();
        let healthy = backends.filter(|(_, backend)| backend.is_healthy);
        let healthy: Vec<usize> = healthy.map(|(index, _)| index).collect();
        match healthy.len() {
            0 => None,
            count => Some(healthy[rng.random_range(0..count)]),
        }
    }

    /// Returns the address of a controller.
    pub(super) fn address(&self, controller: usize) -> SocketAddrV4 {
        self.backends[controller].address
    }

    /// Takes an idle connection to a controller from the pool, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if a new connection can't be opened.
    pub(super) fn take_connection(
        &mut self,
        controller: usize,
        connections: &mut Connections,
    ) -> io::Result<usize> {
        let backend = &mut self.backends[controller];
        match backend.idle_connections.pop() {
            Some(key) => Ok(key),
            None => connections.connect(backend.address, Role::User(controller)),
        }
    }

    /// Returns a connection to the pool, or closes it if it can't be reused or the pool is full.
    pub(super) fn release_connection(
        &mut self,
        controller: usize,
        key: usize,
        is_reusable: bool,
        connections: &mut Connections,
    ) {
        let idle = &mut self.backends[controller].idle_connections;
        if is_reusable && idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(key);
        } else {
            connections.close(key);
        }
    }

    /// Removes a closed connection from the pool.
    pub(super) fn remove_connection(&mut self, key: usize) {
        for backend in &mut self.backends {
            backend.idle_connections.retain(|idle| *idle != key);
        }
    }
}
