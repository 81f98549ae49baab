//! A TCP proxy for the links between cells, which simulates network partitions. A partition affects
//! one direction of a link, and either drops its messages or delays them until the partition ends.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which an idle link checks for a partition and for the end of the run.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of connecting to a controller.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the read buffer of each connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Effect of a partition on messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionKind {
    /// Connections are closed, and new ones are closed as soon as they are accepted.
    Drop,
    /// Messages are delayed until the partition ends.
    Delay,
}

/// Direction of a link between two cells, by the indices of the cells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Direction {
    /// Index of the sending cell.
    pub from: usize,
    /// Index of the receiving cell.
    pub to: usize,
}

struct Partition {
    kind: PartitionKind,
    ends_at: Instant,
}

#[derive(Default)]
struct ProxyState {
    partitions: Mutex<BTreeMap<Direction, Partition>>,
    is_stopped: AtomicBool,
}

impl ProxyState {
    fn partitions(&self) -> MutexGuard<'_, BTreeMap<Direction, Partition>> {
        // The map is usable even after a panic of a thread that held the lock.
        self.partitions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the kind of the current partition in a direction; `None` if there is none.
    fn active_partition(&self, direction: Direction) -> Option<PartitionKind> {
        let partitions = self.partitions();
        let partition = partitions.get(&direction)?;
        (Instant::now() < partition.ends_at).then_some(partition.kind)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

/// Proxy for all links between cells. Dropping it ends its threads.
#[derive(Default)]
pub struct LinkProxy {
    state: Arc<ProxyState>,
    threads: Vec<JoinHandle<()>>,
}

impl LinkProxy {
    /// Forwards connections that arrive at `listen` to `target`. They are subject to the partitions
    /// of `direction`.
    ///
    /// # Errors
    ///
    /// Fails if the proxy can't listen or the thread can't be started.
    pub fn forward(
        &mut self,
        direction: Direction,
        listen: SocketAddrV4,
        target: SocketAddrV4,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let state = self.state.clone();
        let accept = move || accept_connections(&state, direction, &listener, target);
        self.threads
            .push(std::thread::Builder::new().spawn(accept)?);
        Ok(())
    }

    /// Partitions a link in one direction for `duration`. Replaces an earlier partition of the same
    /// direction.
    pub fn partition(&self, direction: Direction, kind: PartitionKind, duration: Duration) {
        let ends_at = Instant::now() + duration;
        let partition = Partition { kind, ends_at };
        self.state.partitions().insert(direction, partition);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Accepts connections and forwards each in a thread of its own, until the proxy is dropped.
fn accept_connections(
    state: &Arc<ProxyState>,
    direction: Direction,
    listener: &TcpListener,
    target: SocketAddrV4,
) {
    let mut links: Vec<JoinHandle<()>> = Vec::new();
    while !state.is_stopped() {
        match listener.accept() {
            // Connections that arrive during a `Drop` partition are closed at once.
            Ok((stream, _)) if state.active_partition(direction) != Some(PartitionKind::Drop) => {
                let state = state.clone();
                let forward = move || {
                    // A failed connection is closed, and the controllers reconnect.
                    let _ = forward_bytes(&state, direction, stream, target);
                };
                links.extend(std::thread::Builder::new().spawn(forward));
            }
            Ok(_) => {}
            Err(_) => std::thread::sleep(CHECK_INTERVAL),
        }
        links.retain(|link| !link.is_finished());
    }
    for link in links {
        let _ = link.join();
    }
}

/// Forwards the bytes of one connection until it ends, a `Drop` partition begins, or the proxy is
/// dropped. Only bytes that the connecting side sends are forwarded.
fn forward_bytes(
    state: &ProxyState,
    direction: Direction,
    mut from: TcpStream,
    target: SocketAddrV4,
) -> io::Result<()> {
    let mut to = TcpStream::connect_timeout(&target.into(), CONNECT_TIMEOUT)?;
    from.set_nonblocking(false)?;
    from.set_read_timeout(Some(CHECK_INTERVAL))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    while !state.is_stopped() {
        match state.active_partition(direction) {
            Some(PartitionKind::Drop) => return Ok(()),
            Some(PartitionKind::Delay) => {
                std::thread::sleep(CHECK_INTERVAL);
                continue;
            }
            None => {}
        }
        match from.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(length) => to.write_all(&buffer[..length])?,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
