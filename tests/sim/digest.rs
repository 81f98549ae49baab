//! A digest over everything that leaves the controllers of one run, in order, in its encoded form
//! and with its time. Two builds that behave alike have the same digest for the same scenario and
//! seed, whatever their types and functions are called.

use salttrestle::controller::events::Output;
use salttrestle::peer;
use salttrestle::wire::Call;
use std::fs::OpenOptions;
use std::io::Write;
use xxhash_rust::xxh3::Xxh3;

/// Names the file that digests are appended to, one line a run. Not set in CI.
pub(crate) const FILE_VARIABLE: &str = "SCENARIO_DIGESTS";

/// The digest of one run so far.
#[derive(Default)]
pub(crate) struct OutputDigest {
    hasher: Xxh3,
}

impl OutputDigest {
    /// Adds one output of a controller.
    pub(crate) fn add(&mut self, now: u64, controller: usize, incarnation: u64, output: &Output) {
        self.number(now);
        self.number(controller as u64);
        self.number(incarnation);
        match output {
            Output::Answer(request, reply) => {
                self.number(0);
                self.number(request.0);
                self.number(u64::from(reply.status));
                self.number(reply.retry_after.map_or(u64::MAX, u64::from));
                self.bytes(&reply.body);
            }
            Output::Store(call, request) => self.call(1, call.0, &request.to_call()),
            Output::Cloud(call, request) => self.call(2, call.0, &request.to_call()),
            Output::CancelCall(call) => {
                self.number(3);
                self.number(call.0);
            }
            Output::Peer(to, message) => {
                self.number(4);
                self.bytes(to.as_ref().map_or("", |to| to.as_str()).as_bytes());
                match peer::frame(message) {
                    Ok(frame) => self.bytes(&frame),
                    Err(size) => self.number(size as u64),
                }
            }
            Output::Reconnect(to) => {
                self.number(5);
                self.bytes(to.as_str().as_bytes());
            }
            Output::Cell(to, message) => {
                self.number(6);
                self.bytes(to.as_bytes());
                self.bytes(message.from.as_bytes());
            }
        }
    }

    fn call(&mut self, kind: u64, id: u64, call: &Call) {
        self.number(kind);
        self.number(id);
        self.bytes(call.method.as_bytes());
        self.bytes(call.path.as_bytes());
        self.bytes(call.body.as_deref().unwrap_or_default());
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    /// With its length, so that what follows can't be taken for a part of it.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    /// Appends the run's line to the file that [`FILE_VARIABLE`] names, if it is set.
    pub(crate) fn record(&self, run: &str) {
        let Ok(path) = std::env::var(FILE_VARIABLE) else {
            return;
        };
        let line = format!("{run} {:016x}\n", self.hasher.digest());
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the file of digests");
        file.write_all(line.as_bytes()).expect("a line is written");
    }
}
