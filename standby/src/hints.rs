//! Hints of the leader for the other controllers, which aren't in any record: estimates, and the
//! images that each machine has cached. Messages don't depend on each other. A message that is
//! lost, late, duplicated or reordered only makes the hints older.

use crate::{ControllerId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Maximum number of machines in one message. A larger fleet is sent in several messages, one after
/// the other.
pub const MACHINES_PER_MESSAGE: usize = 256;
/// Maximum number of machines whose images are stored. Beyond that, the machines with the oldest
/// first hint are dropped.
const MACHINES_MAX: usize = 20_000;
/// Maximum number of pools in one message.
const POOLS_MAX: usize = 512;
/// Maximum number of images in one message.
const IMAGES_MAX: usize = 1_024;
/// Maximum number of images of one machine in a message.
const IMAGES_PER_MACHINE_MAX: usize = 64;
/// Maximum length of a machine type, an image name or a machine id in bytes.
const NAME_BYTES_MAX: usize = 256;
/// Maximum age of estimates that are used, in milliseconds. Older estimates are less accurate than
/// ones derived from the running tasks.
const ESTIMATES_AGE_MAX_MS: Millis = 120_000;

/// A message with hints of the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hints {
    /// The sending controller.
    pub from: ControllerId,
    /// The token under which the sender leads.
    pub token: u64,
    /// The sender's estimates.
    pub estimates: Estimates,
    /// The images to which `machines` refers by index.
    pub images: Vec<ImageHint>,
    /// Some of the machines; the following messages contain the others.
    pub machines: Vec<MachineHint>,
}

/// Estimates that a leader learns over minutes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// Average of the recent boot times of each machine type, in seconds.
    pub boots: Vec<(String, f64)>,
    /// Variability of services' demand for each machine type and market, on demand or spot
    /// (`true`): the decayed sum of the squared sizes of arriving services, in machines squared.
    pub bursts: Vec<(String, bool, f64)>,
}

/// A container image.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageHint {
    /// The image's name.
    pub name: String,
    /// The image's size in GB.
    pub gb: f64,
}

/// The images that one machine has cached.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineHint {
    /// The machine's id.
    pub id: String,
    /// Indexes into [`Hints::images`], least recently used image first.
    pub images: Vec<u16>,
}

/// Why a message with hints is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HintsError {
    /// A list has too many entries.
    #[error("too many {0}")]
    TooMany(&'static str),
    /// A name or a machine id is too long.
    #[error("a name or a machine id is longer than {NAME_BYTES_MAX} bytes")]
    LongName,
    /// A value is negative or not finite.
    #[error("a value of {0} is negative or not finite")]
    Impossible(&'static str),
    /// A machine refers to an image that the message doesn't list.
    #[error("a machine refers to an image that isn't listed")]
    UnknownImage,
}

impl Hints {
    /// Checks a message of another controller: sizes, values and indexes.
    pub fn check(&self) -> Result<(), HintsError> {
        let lists = [
            ("boots", self.estimates.boots.len(), POOLS_MAX),
            ("bursts", self.estimates.bursts.len(), POOLS_MAX),
            ("images", self.images.len(), IMAGES_MAX),
            ("machines", self.machines.len(), MACHINES_PER_MESSAGE),
        ];
        if let Some((what, ..)) = lists.iter().find(|(_, count, count_max)| count > count_max) {
            return Err(HintsError::TooMany(what));
        }
        self.check_names()?;
        self.check_values()?;
        self.check_machines()
    }

    fn check_names(&self) -> Result<(), HintsError> {
        let boots = self.estimates.boots.iter().map(|(name, _)| name);
        let bursts = self.estimates.bursts.iter().map(|(name, ..)| name);
        let images = self.images.iter().map(|image| &image.name);
        let machines = self.machines.iter().map(|machine| &machine.id);
        let mut names = boots.chain(bursts).chain(images).chain(machines);
        match names.any(|name| name.len() > NAME_BYTES_MAX) {
            true => Err(HintsError::LongName),
            false => Ok(()),
        }
    }

    fn check_values(&self) -> Result<(), HintsError> {
        let is_valid = |value: &f64| value.is_finite() && *value >= 0.0;
        if !self.estimates.boots.iter().all(|(_, s)| is_valid(s)) {
            return Err(HintsError::Impossible("boots"));
        }
        if !self.estimates.bursts.iter().all(|(.., s)| is_valid(s)) {
            return Err(HintsError::Impossible("bursts"));
        }
        match self.images.iter().all(|image| is_valid(&image.gb)) {
            true => Ok(()),
            false => Err(HintsError::Impossible("images")),
        }
    }

    fn check_machines(&self) -> Result<(), HintsError> {
        for machine in &self.machines {
            if machine.images.len() > IMAGES_PER_MACHINE_MAX {
                return Err(HintsError::TooMany("images of a machine"));
            }
            let is_listed = |image: &u16| usize::from(*image) < self.images.len();
            if !machine.images.iter().all(is_listed) {
                return Err(HintsError::UnknownImage);
            }
        }
        Ok(())
    }
}

/// Splits the machines of a fleet over consecutive messages. Machines are sent in order of their
/// ids, starting again with the first one after the last.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    last_sent: Option<String>,
}

impl Rotation {
    /// The machine after which the next message starts; `None` if it starts with the first machine.
    pub fn after(&self) -> Option<&str> {
        self.last_sent.as_deref()
    }

    /// Takes as many machines as one message holds, and returns the images of these machines and
    /// the machines. `machines` yields each machine's id with the names and sizes in GB of its
    /// images, least recently used first, and starts after the machine that [`Rotation::after`]
    /// returns.
    pub fn next<'a>(
        &mut self,
        machines: impl Iterator<Item = (&'a str, Vec<(&'a str, f64)>)>,
    ) -> (Vec<ImageHint>, Vec<MachineHint>) {
        let mut indexes: BTreeMap<&str, u16> = BTreeMap::new();
        let mut images = Vec::new();
        let mut part = Vec::new();
        for (id, cached) in machines.take(MACHINES_PER_MESSAGE) {
            let mut machine_images = Vec::new();
            let first_sent = cached.len().saturating_sub(IMAGES_PER_MACHINE_MAX);
            for (name, gb) in &cached[first_sent..] {
                if !indexes.contains_key(name) && images.len() < IMAGES_MAX {
                    indexes.insert(name, images.len() as u16);
                    let name = String::from(*name);
                    images.push(ImageHint { name, gb: *gb });
                }
                machine_images.extend(indexes.get(name));
            }
            part.push(MachineHint {
                id: id.into(),
                images: machine_images,
            });
        }
        let is_full = part.len() == MACHINES_PER_MESSAGE;
        let last = part.last().map(|machine| machine.id.clone());
        self.last_sent = last.filter(|_| is_full);
        (images, part)
    }
}

/// The hints that a controller has received from leaders.
#[derive(Clone, Debug, Default)]
pub struct HintStore {
    estimates: Option<(Millis, Estimates)>,
    machines: BTreeMap<String, Vec<ImageHint>>,
    /// Machines in the order of their first hints, from which the oldest is dropped.
    arrival_order: VecDeque<String>,
    /// When the latest message arrived.
    received_at: Option<Millis>,
}

impl HintStore {
    /// Stores a message that has passed [`Hints::check`].
    pub fn add(&mut self, now: Millis, hints: Hints) {
        self.received_at = Some(now);
        self.estimates = Some((now, hints.estimates));
        for machine in hints.machines {
            let images = machine.images.iter();
            let images = images.filter_map(|index| hints.images.get(usize::from(*index)).cloned());
            let previous = self.machines.insert(machine.id.clone(), images.collect());
            if previous.is_none() {
                self.arrival_order.push_back(machine.id);
            }
        }
        while self.arrival_order.len() > MACHINES_MAX {
            if let Some(oldest) = self.arrival_order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }

    /// The age of the latest estimates in milliseconds, and the estimates; `None` if there are none
    /// or they are too old.
    pub fn estimates(&self, now: Millis) -> Option<(Millis, &Estimates)> {
        let (at, estimates) = self.estimates.as_ref()?;
        let age_ms = now.saturating_sub(*at);
        (age_ms <= ESTIMATES_AGE_MAX_MS).then_some((age_ms, estimates))
    }

    /// The images that a machine had cached by the latest hint about it, least recently used first;
    /// empty for an unknown machine.
    pub fn cached_images(&self, machine: &str) -> &[ImageHint] {
        self.machines.get(machine).map_or(&[], Vec::as_slice)
    }

    /// Number of machines with hints.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The age of the latest message in milliseconds; `None` if none has arrived.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.received_at.map(|at| now.saturating_sub(at))
    }
}
