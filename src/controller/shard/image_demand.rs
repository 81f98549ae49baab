//! Which images services ask for, and how often.

use crate::controller::shard::{ShardOwner, decayed};
use crate::controller::store::records::{JobKind, JobRecord, Resources};
use crate::ids::Time;

/// What is known of an image that services use.
#[derive(Debug)]
pub(crate) struct ImageDemand {
    pub(crate) class: String,
    pub(crate) gb: f64,
    /// What a task of the job that used it last takes.
    pub(crate) need: Resources,
    /// Jobs that came with it, older ones counting less, and when that was reckoned.
    uses: f64,
    at: Time,
}

/// Half of the jobs that came so long ago are forgotten.
const USE_HALF_S: f64 = 300.0;
/// Most images remembered; the least used are forgotten first.
const IMAGES_MAX: usize = 256;

impl ImageDemand {
    /// How much it is asked for now.
    pub(crate) fn asked(&self, now: Time) -> f64 {
        decayed(self.uses, now.since(self.at), USE_HALF_S)
    }
}

impl ShardOwner {
    /// Takes note of the image that a service comes with.
    pub(crate) fn record_image_use(&mut self, now: Time, record: &JobRecord) {
        if record.kind != JobKind::Service {
            return;
        }
        let known = self.images.get(&record.image);
        let demand = ImageDemand {
            class: record.class.clone(),
            gb: record.image_gb,
            need: record.resources,
            uses: 1.0 + known.map_or(0.0, |w| w.asked(now)),
            at: now,
        };
        self.images.insert(record.image.clone(), demand);
        if self.images.len() > IMAGES_MAX {
            let all = self.images.iter();
            let least = all.min_by(|a, b| a.1.asked(now).total_cmp(&b.1.asked(now)));
            if let Some(image) = least.map(|(image, _)| image.clone()) {
                self.images.remove(&image);
            }
        }
    }
}
