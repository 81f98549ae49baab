//! Which images services use, and how often jobs with them arrive.

use crate::controller::shard::{ShardOwner, decayed};
use crate::controller::store::records::{JobKind, JobRecord, Resources};
use crate::ids::Time;

/// What is known of an image that services use.
#[derive(Debug)]
pub(crate) struct ImageDemand {
    /// The class of the job that used it last.
    pub(crate) class: String,
    /// Its size.
    pub(crate) gb: f64,
    /// What a task of the job that used it last needs.
    pub(crate) need: Resources,
    /// Jobs that arrived with it, older ones decayed, as of `at`.
    uses: f64,
    /// When the use was last brought up to date.
    at: Time,
}

/// Half-life of the use of an image.
const USE_HALF_LIFE_S: f64 = 300.0;
/// Most images remembered; the least used are forgotten first.
const IMAGES_MAX: usize = 256;

impl ImageDemand {
    /// How much it is used, decayed until now.
    pub(crate) fn recent_uses(&self, now: Time) -> f64 {
        decayed(self.uses, now.since(self.at), USE_HALF_LIFE_S)
    }
}

impl ShardOwner {
    /// Records the image of a service that arrived.
    pub(crate) fn record_image_use(&mut self, now: Time, record: &JobRecord) {
        if record.kind != JobKind::Service {
            return;
        }
        let known = self.images.get(&record.image);
        let demand = ImageDemand {
            class: record.class.clone(),
            gb: record.image_gb,
            need: record.resources,
            uses: 1.0 + known.map_or(0.0, |known| known.recent_uses(now)),
            at: now,
        };
        self.images.insert(record.image.clone(), demand);
        if self.images.len() > IMAGES_MAX {
            let by_use = |demand: &ImageDemand| demand.recent_uses(now);
            let least_used = self
                .images
                .iter()
                .min_by(|(_, a), (_, b)| by_use(a).total_cmp(&by_use(b)));
            if let Some(image) = least_used.map(|(image, _)| image.clone()) {
                self.images.remove(&image);
            }
        }
    }
}
