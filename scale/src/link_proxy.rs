//! The links between cells, through which each message passes, so that they can be cut: both ways
//! or one way, dropping what is sent or holding it back until the link works again.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a quiet link looks whether it is cut or over.
const LOOK: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 16 * 1024;

/// What a cut does with what is sent meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// Connections are closed, and no others come through.
    Drop,
    /// It waits, and comes when the cut is over.
    Hold,
}

/// From one cell to another.
type Direction = (usize, usize);

#[derive(Default)]
struct State {
    cuts: Mutex<BTreeMap<Direction, (CutKind, Instant)>>,
    over: AtomicBool,
}

impl State {
    fn cut(&self, direction: Direction) -> Option<CutKind> {
        let cuts = self
            .cuts
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        let found = cuts
            .get(&direction)
            .filter(|(_, until)| Instant::now() < *until);
        found.map(|(kind, _)| *kind)
    }

    fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }
}

/// All links between cells.
#[derive(Default)]
pub struct LinkProxy {
    state: Arc<State>,
    threads: Vec<JoinHandle<()>>,
}

impl LinkProxy {
    /// Carries what comes to `listen` on to `target`, as messages from one cell to another.
    pub fn carry(
        &mut self,
        direction: Direction,
        listen: SocketAddrV4,
        target: SocketAddrV4,
    ) -> io::Result<()> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let state = self.state.clone();
        let accepts = move || accept(&state, direction, &listener, target);
        self.threads
            .push(std::thread::Builder::new().spawn(accepts)?);
        Ok(())
    }

    /// Cuts the link in one direction for a while.
    pub fn cut(&self, direction: Direction, kind: CutKind, lasts: Duration) {
        let mut cuts = self
            .state
            .cuts
            .lock()
            .unwrap_or_else(|broken| broken.into_inner());
        cuts.insert(direction, (kind, Instant::now() + lasts));
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.state.over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn accept(state: &Arc<State>, direction: Direction, listener: &TcpListener, target: SocketAddrV4) {
    let mut links: Vec<JoinHandle<()>> = Vec::new();
    while !state.over() {
        match listener.accept() {
            // What arrives while the link is cut is closed at once.
            Ok((stream, _)) if state.cut(direction) != Some(CutKind::Drop) => {
                let state = state.clone();
                let carries = move || {
                    let _ = carry(&state, direction, stream, target);
                };
                links.extend(std::thread::Builder::new().spawn(carries));
            }
            Ok(_) => {}
            Err(_) => std::thread::sleep(LOOK),
        }
        links.retain(|link| !link.is_finished());
    }
    for link in links {
        let _ = link.join();
    }
}

/// Carries one connection's bytes until it ends, is cut, or all is over.
fn carry(
    state: &State,
    direction: Direction,
    mut from: TcpStream,
    target: SocketAddrV4,
) -> io::Result<()> {
    let mut to = TcpStream::connect_timeout(&target.into(), Duration::from_secs(1))?;
    from.set_nonblocking(false)?;
    from.set_read_timeout(Some(LOOK))?;
    to.set_nodelay(true)?;
    let mut buffer = vec![0; READ_BYTES];
    while !state.over() {
        match state.cut(direction) {
            Some(CutKind::Drop) => return Ok(()),
            Some(CutKind::Hold) => {
                std::thread::sleep(LOOK);
                continue;
            }
            None => {}
        }
        match from.read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(n) => to.write_all(&buffer[..n])?,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
