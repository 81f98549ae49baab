//! A digest of all outputs of a run's controllers, in order, each in its encoded form and with its
//! time. Two builds with the same behaviour have the same digest for the same scenario and seed, so
//! the digest shows whether a refactoring changed behaviour.

use salttrestle::controller::events::Output;
use salttrestle::peer;
use salttrestle::wire::Call;
use std::fs::OpenOptions;
use std::io::Write;
use xxhash_rust::xxh3::Xxh3;

/// The environment variable that names the file to which digests are appended, one line per run.
/// CI doesn't set it.
pub(crate) const DIGEST_FILE_VARIABLE: &str = "SCENARIO_DIGESTS";

/// The digest of a run's outputs so far.
#[derive(Default)]
pub(crate) struct OutputDigest {
    hasher: Xxh3,
}

impl OutputDigest {
    /// Adds one controller output.
    pub(crate) fn add(&mut self, now: u64, controller: usize, incarnation: u64, output: &Output) {
        self.add_number(now);
        self.add_number(controller as u64);
        self.add_number(incarnation);
        match output {
            Output::Answer(request, reply) => {
                self.add_number(0);
                self.add_number(request.0);
                self.add_number(u64::from(reply.status));
                self.add_number(reply.retry_after.map_or(u64::MAX, u64::from));
                self.add_bytes(&reply.body);
            }
            Output::Store(call, request) => self.add_call(1, call.0, &request.to_call()),
            Output::Cloud(call, request) => self.add_call(2, call.0, &request.to_call()),
            Output::CancelCall(call) => {
                self.add_number(3);
                self.add_number(call.0);
            }
            Output::Peer(to, message) => {
                self.add_number(4);
                self.add_bytes(to.as_ref().map_or("", |to| to.as_str()).as_bytes());
                match peer::frame(message) {
                    Ok(frame) => self.add_bytes(&frame),
                    Err(size) => self.add_number(size as u64),
                }
            }
            Output::Reconnect(to) => {
                self.add_number(5);
                self.add_bytes(to.as_str().as_bytes());
            }
            Output::Cell(to, message) => {
                self.add_number(6);
                self.add_bytes(to.as_bytes());
                self.add_bytes(message.from.as_bytes());
            }
        }
    }

    fn add_call(&mut self, kind: u64, id: u64, call: &Call) {
        self.add_number(kind);
        self.add_number(id);
        self.add_bytes(call.method.as_bytes());
        self.add_bytes(call.path.as_bytes());
        self.add_bytes(call.body.as_deref().unwrap_or_default());
    }

    fn add_number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }

    /// Adds bytes with their length, so that the boundary to the next value is unambiguous.
    fn add_bytes(&mut self, bytes: &[u8]) {
        self.add_number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    /// Appends the run's line to the file that [`DIGEST_FILE_VARIABLE`] names, if the variable is
    /// set.
    pub(crate) fn record(&self, run: &str) {
        let Ok(path) = std::env::var(DIGEST_FILE_VARIABLE) else {
            return;
        };
        let line = format!("{run} {:016x}\n", self.hasher.digest());
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the digest file can be opened");
        file.write_all(line.as_bytes())
            .expect("the digest file can be written");
    }
}
