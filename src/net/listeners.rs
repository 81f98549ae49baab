//! The listening sockets of this process.

use crate::net::waiting::SocketPoller;
use crate::settings::Settings;
use std::io::{self, ErrorKind};
use std::net::{SocketAddrV4, TcpListener, TcpStream};

/// Which clients connect to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListenerKind {
    /// Users, workers and health checks.
    UsersAndWorkers,
    /// Other controllers of this cell.
    Peers,
    /// Controllers of other cells.
    Cells,
}

impl ListenerKind {
    /// The number of kinds. Poller keys below this number belong to listeners.
    pub(super) const COUNT: usize = 3;

    /// The key under which the poller reports the listener.
    fn key(self) -> usize {
        match self {
            Self::UsersAndWorkers => 0,
            Self::Peers => 1,
            Self::Cells => 2,
        }
    }

    /// The listener with this poller key; `None` if the key belongs to a connection.
    pub(super) fn from_key(key: usize) -> Option<Self> {
        let kinds = [Self::UsersAndWorkers, Self::Peers, Self::Cells];
        kinds.into_iter().find(|kind| kind.key() == key)
    }
}

/// The listening sockets, one for each [`ListenerKind`].
pub(super) struct Listeners {
    users_and_workers: TcpListener,
    peers: TcpListener,
    /// `None` if team limits aren't shared with other cells.
    cells: Option<TcpListener>,
}

impl Listeners {
    /// Listens on the addresses in the settings and registers the listeners with the poller.
    pub(super) fn bind(poller: &SocketPoller, settings: &Settings) -> io::Result<Self> {
        let platform = &settings.platform;
        let users_and_workers = bind(poller, platform.listen, ListenerKind::UsersAndWorkers)?;
        let peers = bind(poller, platform.peer_listen, ListenerKind::Peers)?;
        let cells_file = settings.cells.as_ref();
        let cells_address = cells_file.and_then(|file| file.listen(&platform.controller_id));
        let cells = cells_address
            .map(|address| bind(poller, address, ListenerKind::Cells))
            .transpose()?;
        Ok(Self {
            users_and_workers,
            peers,
            cells,
        })
    }

    /// Accepts the next pending connection of a listener; `None` if there is none.
    pub(super) fn accept(&self, kind: ListenerKind) -> io::Result<Option<TcpStream>> {
        let listener = match kind {
            ListenerKind::UsersAndWorkers => Some(&self.users_and_workers),
            ListenerKind::Peers => Some(&self.peers),
            ListenerKind::Cells => self.cells.as_ref(),
        };
        let Some(listener) = listener else {
            return Ok(None);
        };
        loop {
            match listener.accept() {
                Ok((stream, _)) => return Ok(Some(stream)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
                Err(error) => return Err(error),
            }
        }
    }
}

fn bind(
    poller: &SocketPoller,
    address: SocketAddrV4,
    kind: ListenerKind,
) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    poller.add(&listener, kind.key())?;
    Ok(listener)
}
