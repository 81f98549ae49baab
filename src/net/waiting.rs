//! Waits for ready sockets or for the next timer.
//!
//! Sockets are registered with the `polling` crate. Its `Poller::wait` sets a timer, arms that
//! timer and a notifier, and reads the notifier. This takes five system calls, while all other
//! handling of a heartbeat takes two or three: a controller on a small machine spends more time in
//! these calls than on the heartbeat itself. On Linux this module therefore calls `epoll_wait` on
//! the poller's descriptor: one system call. It relies on `polling` storing a socket's key as the
//! data of its epoll event; `tests/waiting.rs` checks that.

use polling::{AsRawSource, Event, PollMode, Poller};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Maximum number of events that one wait returns; the next wait returns the others.
const EVENTS_MAX: usize = 256;

/// The key of the notifier that `polling` registers for its own use; its events are ignored.
#[cfg(target_os = "linux")]
const NOTIFIER_KEY: usize = usize::MAX;

/// What a socket is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The key under which the socket was added.
    pub key: usize,
    /// Bytes can be read, a connection can be accepted, the remote side closed the connection, or
    /// the socket failed.
    pub readable: bool,
    /// The send buffer has room, or the socket failed.
    pub writable: bool,
}

/// Registers sockets and waits until some of them are ready. Readiness is level-triggered.
pub struct SocketPoller {
    poller: Poller,
    ready: Vec<Ready>,
    #[cfg(target_os = "linux")]
    buffer: Vec<rustix::event::epoll::Event>,
    #[cfg(not(target_os = "linux"))]
    buffer: polling::Events,
}

impl SocketPoller {
    /// Creates a poller without sockets.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            ready: Vec::with_capacity(EVENTS_MAX),
            #[cfg(target_os = "linux")]
            buffer: Vec::with_capacity(EVENTS_MAX),
            #[cfg(not(target_os = "linux"))]
            buffer: polling::Events::new(),
        })
    }

    /// Polls a listener or a connection for readability. The caller must remove a connection
    /// before it drops the socket.
    #[expect(
        unsafe_code,
        reason = "the poller keeps the descriptor of a socket that it doesn't own"
    )]
    pub fn add(&self, socket: impl AsRawSource, key: usize) -> io::Result<()> {
        // SAFETY: the caller keeps the socket open until it is removed from the poller.
        unsafe {
            self.poller
                .add_with_mode(socket, Event::readable(key), PollMode::Level)
        }
    }

    /// Enables or disables polling a connection for writability; it is polled for readability in
    /// both cases.
    pub fn set_write_interest(
        &self,
        stream: &TcpStream,
        key: usize,
        is_enabled: bool,
    ) -> io::Result<()> {
        let event = Event::new(key, true, is_enabled);
        self.poller.modify_with_mode(stream, event, PollMode::Level)
    }

    /// Stops polling a connection.
    pub fn remove(&self, stream: &TcpStream) -> io::Result<()> {
        self.poller.delete(stream)
    }

    /// Waits until a socket is ready or the timeout has passed, and returns the ready sockets.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<&[Ready]> {
        self.ready.clear();
        self.poll(timeout)?;
        Ok(&self.ready)
    }

    #[cfg(target_os = "linux")]
    fn poll(&mut self, timeout: Duration) -> io::Result<()> {
        use rustix::event::epoll::{self, EventFlags};
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: i64::from(timeout.subsec_nanos()),
        };
        self.buffer.clear();
        let capacity = rustix::buffer::spare_capacity(&mut self.buffer);
        epoll::wait(&self.poller, capacity, Some(&timeout))?;
        let failure_flags = EventFlags::HUP | EventFlags::ERR;
        for event in &self.buffer {
            let flags = event.flags;
            let key = event.data.u64() as usize;
            if key != NOTIFIER_KEY {
                self.ready.push(Ready {
                    key,
                    readable: flags.intersects(EventFlags::IN | EventFlags::PRI | failure_flags),
                    writable: flags.intersects(EventFlags::OUT | failure_flags),
                });
            }
        }
        Ok(())
    }

    #[cfg(not(target_os = "linux"))]
    fn poll(&mut self, timeout: Duration) -> io::Result<()> {
        self.buffer.clear();
        self.poller.wait(&mut self.buffer, Some(timeout))?;
        let events = self.buffer.iter();
        let ready = events.map(|event| Ready {
            key: event.key,
            readable: event.readable || event.is_err() == Some(true),
            writable: event.writable,
        });
        self.ready.extend(ready);
        Ok(())
    }
}
