//! What the leader tells the others that no record has: estimates, and which images each machine has
//! cached. Each message is complete in itself, so that a lost, late, duplicated or reordered one
//! only makes the hints older.

use crate::{ControllerId, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Machines in one message: a fleet is sent in parts, one after the other.
pub const MACHINES_PER_MESSAGE: usize = 256;
/// Most machines whose images are remembered; the oldest are dropped.
const MACHINES_MAX: usize = 20_000;
/// Most pools, and most images, in one message.
const POOLS_MAX: usize = 512;
const IMAGES_MAX: usize = 1_024;
/// Most images of one machine.
const IMAGES_PER_MACHINE: usize = 64;
/// Most bytes of a name.
const NAME_MAX: usize = 256;
/// Older estimates are worse than a guess from what runs.
const ESTIMATES_LIFE_MS: Millis = 120_000;

/// What the leader knows besides the records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hints {
    /// The sender.
    pub from: ControllerId,
    /// The token of its leadership.
    pub token: u64,
    /// What it estimates.
    pub estimates: Estimates,
    /// The images that `machines` refers to.
    pub images: Vec<ImageHint>,
    /// A part of its machines.
    pub machines: Vec<MachineHint>,
}

/// Estimates that a leader learns over minutes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    /// How long machines of a type have recently taken to boot, in seconds.
    pub boots: Vec<(String, f64)>,
    /// The estimate of bursts in the demand of services for each type and market.
    pub bursts: Vec<(String, bool, f64)>,
}

/// An image.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImageHint {
    /// Its name.
    pub name: String,
    /// Its size.
    pub gb: f64,
}

/// The images on one machine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineHint {
    /// The machine's name.
    pub id: String,
    /// Its images by index into the message's list, least recently used first.
    pub images: Vec<u16>,
}

/// The limit that a message exceeds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HintsError {
    /// A list is too long.
    #[error("too many {0}")]
    TooMany(&'static str),
    /// A name is too long.
    #[error("a name is too long")]
    LongName,
    /// A number is negative or not finite.
    #[error("a figure of {0} is impossible")]
    Impossible(&'static str),
    /// A machine has an image that isn't listed.
    #[error("a machine has an image that isn't listed")]
    UnknownImage,
}

impl Hints {
    /// Checks a message of another controller against the limits.
    pub fn check(&self) -> Result<(), HintsError> {
        let lists = [
            ("boots", self.estimates.boots.len(), POOLS_MAX),
            ("bursts", self.estimates.bursts.len(), POOLS_MAX),
            ("images", self.images.len(), IMAGES_MAX),
            ("machines", self.machines.len(), MACHINES_PER_MESSAGE),
        ];
        if let Some((what, ..)) = lists.iter().find(|(_, count, most)| count > most) {
            return Err(HintsError::TooMany(what));
        }
        self.check_names()?;
        self.check_figures()?;
        self.check_machines()
    }

    fn check_names(&self) -> Result<(), HintsError> {
        let boots = self.estimates.boots.iter().map(|(name, _)| name);
        let bursts = self.estimates.bursts.iter().map(|(name, ..)| name);
        let images = self.images.iter().map(|image| &image.name);
        let machines = self.machines.iter().map(|machine| &machine.id);
        let mut names = boots.chain(bursts).chain(images).chain(machines);
        match names.any(|name| name.len() > NAME_MAX) {
            true => Err(HintsError::LongName),
            false => Ok(()),
        }
    }

    fn check_figures(&self) -> Result<(), HintsError> {
        let possible = |value: &f64| value.is_finite() && *value >= 0.0;
        if !self.estimates.boots.iter().all(|(_, s)| possible(s)) {
            return Err(HintsError::Impossible("boots"));
        }
        if !self.estimates.bursts.iter().all(|(.., s)| possible(s)) {
            return Err(HintsError::Impossible("bursts"));
        }
        match self.images.iter().all(|image| possible(&image.gb)) {
            true => Ok(()),
            false => Err(HintsError::Impossible("images")),
        }
    }

    fn check_machines(&self) -> Result<(), HintsError> {
        for machine in &self.machines {
            if machine.images.len() > IMAGES_PER_MACHINE {
                return Err(HintsError::TooMany("images of a machine"));
            }
            let listed = |image: &u16| usize::from(*image) < self.images.len();
            if !machine.images.iter().all(listed) {
                return Err(HintsError::UnknownImage);
            }
        }
        Ok(())
    }
}

/// Assembles the parts of a fleet for one message after the other: machines come in the order of
/// their names, and the first one follows the last.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    after: Option<String>,
}

impl Rotation {
    /// The machine after which the next part begins; `None` for the first part.
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    /// The next part: machines with their images, as many as a message holds.
    pub fn next<'a>(
        &mut self,
        machines: impl Iterator<Item = (&'a str, Vec<(&'a str, f64)>)>,
    ) -> (Vec<ImageHint>, Vec<MachineHint>) {
        let mut indexes: BTreeMap<&str, u16> = BTreeMap::new();
        let mut images = Vec::new();
        let mut part = Vec::new();
        for (id, cached) in machines.take(MACHINES_PER_MESSAGE) {
            let mut of_machine = Vec::new();
            let latest = cached.len().saturating_sub(IMAGES_PER_MACHINE);
            for (name, gb) in &cached[latest..] {
                if !indexes.contains_key(name) && images.len() < IMAGES_MAX {
                    indexes.insert(name, images.len() as u16);
                    let name = String::from(*name);
                    images.push(ImageHint { name, gb: *gb });
                }
                of_machine.extend(indexes.get(name));
            }
            part.push(MachineHint {
                id: id.into(),
                images: of_machine,
            });
        }
        let whole = part.len() == MACHINES_PER_MESSAGE;
        let last = part.last().map(|machine| machine.id.clone());
        self.after = last.filter(|_| whole);
        (images, part)
    }
}

/// The hints that a standby has received.
#[derive(Clone, Debug, Default)]
pub struct HintStore {
    estimates: Option<(Millis, Estimates)>,
    machines: BTreeMap<String, Vec<ImageHint>>,
    /// Machines in the order of their first hints, to drop the oldest.
    order: VecDeque<String>,
    /// When the latest hints arrived.
    received_at: Option<Millis>,
}

impl HintStore {
    /// Adds hints that have passed [`Hints::check`].
    pub fn add(&mut self, now: Millis, hints: Hints) {
        self.received_at = Some(now);
        self.estimates = Some((now, hints.estimates));
        for machine in hints.machines {
            let images = machine.images.iter();
            let images = images.filter_map(|at| hints.images.get(usize::from(*at)).cloned());
            let known = self.machines.insert(machine.id.clone(), images.collect());
            if known.is_none() {
                self.order.push_back(machine.id);
            }
        }
        while self.order.len() > MACHINES_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.machines.remove(&oldest);
            }
        }
    }

    /// The estimates and their age, unless they are too old.
    pub fn estimates(&self, now: Millis) -> Option<(Millis, &Estimates)> {
        let (at, estimates) = self.estimates.as_ref()?;
        let age_ms = now.saturating_sub(*at);
        (age_ms <= ESTIMATES_LIFE_MS).then_some((age_ms, estimates))
    }

    /// The images that a machine had, least recently used first.
    pub fn cached_images(&self, machine: &str) -> &[ImageHint] {
        self.machines.get(machine).map_or(&[], Vec::as_slice)
    }

    /// The number of machines with hints.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// The age of the latest hints; `None` if none have arrived.
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        self.received_at.map(|at| now.saturating_sub(at))
    }
}
