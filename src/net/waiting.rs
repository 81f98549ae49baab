//! Waiting for sockets and for the next timer.
//!
//! Sockets are watched by `polling`. Its own wait sets a timer, arms that timer and a notifier, and
//! reads the notifier: five system calls, where all else that a heartbeat takes here are two or three.
//! A controller on a small machine spends more on them than on what it does for the heartbeat. On
//! Linux this module therefore waits on the poller's own descriptor, by one call. What it relies
//! on, that an event's data is the key given to `polling`, is checked by `tests/waiting.rs`.

use polling::{AsRawSource, Event, PollMode, Poller};
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Most events taken in one wait; further ones come with the next.
const EVENTS_MAX: usize = 256;

/// The key of a notifier that `polling` watches for itself, and that isn't used here.
#[cfg(target_os = "linux")]
const NOTIFIER_KEY: usize = usize::MAX;

/// What a socket is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ready {
    /// The key under which the socket was added.
    pub key: usize,
    /// Something can be read, or the other side closed it, or it failed.
    pub readable: bool,
    /// There is room to write, or it failed.
    pub writable: bool,
}

/// Watches sockets, and waits for them.
pub struct SocketPoller {
    poller: Poller,
    ready: Vec<Ready>,
    #[cfg(target_os = "linux")]
    buffer: Vec<rustix::event::epoll::Event>,
    #[cfg(not(target_os = "linux"))]
    buffer: polling::Events,
}

impl SocketPoller {
    /// A poller that watches nothing yet.
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

    /// Watches a listener or a connection for something to read, until it is removed.
    #[expect(
        unsafe_code,
        reason = "the poller keeps the descriptor of a socket it doesn't own"
    )]
    pub fn add(&self, socket: impl AsRawSource, key: usize) -> io::Result<()> {
        // SAFETY: the caller keeps the socket for as long as it isn't removed.
        unsafe {
            self.poller
                .add_with_mode(socket, Event::readable(key), PollMode::Level)
        }
    }

    /// Watches a connection for room to write as well, or no longer.
    pub fn set_write_interest(
        &self,
        stream: &TcpStream,
        key: usize,
        writing: bool,
    ) -> io::Result<()> {
        let event = Event::new(key, true, writing);
        self.poller.modify_with_mode(stream, event, PollMode::Level)
    }

    /// Watches a connection no longer.
    pub fn remove(&self, stream: &TcpStream) -> io::Result<()> {
        self.poller.delete(stream)
    }

    /// Waits until a socket is ready or the time is over, and returns those that are ready.
    pub fn wait(&mut self, timeout: Duration) -> io::Result<&[Ready]> {
        self.ready.clear();
        self.fill(timeout)?;
        Ok(&self.ready)
    }

    #[cfg(target_os = "linux")]
    fn fill(&mut self, timeout: Duration) -> io::Result<()> {
        use rustix::event::epoll::{self, EventFlags};
        let timeout = rustix::event::Timespec {
            tv_sec: timeout.as_secs() as i64,
            tv_nsec: i64::from(timeout.subsec_nanos()),
        };
        self.buffer.clear();
        let spare = rustix::buffer::spare_capacity(&mut self.buffer);
        epoll::wait(&self.poller, spare, Some(&timeout))?;
        let failed = EventFlags::HUP | EventFlags::ERR;
        for event in &self.buffer {
            let flags = event.flags;
            let key = event.data.u64() as usize;
            if key != NOTIFIER_KEY {
                self.ready.push(Ready {
                    key,
                    readable: flags.intersects(EventFlags::IN | EventFlags::PRI | failed),
                    writable: flags.intersects(EventFlags::OUT | failed),
                });
            }
        }
        Ok(())
    }

    #[cfg(not(target_os = "linux"))]
    fn fill(&mut self, timeout: Duration) -> io::Result<()> {
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
