//! Which images services use, and how often services with each image arrive.

use crate::controller::shard::{ShardOwner, decay};
use crate::controller::store::records::{JobKind, JobRecord, Resources};
use crate::ids::Time;

/// The demand for an image that services use.
#[derive(Debug)]
pub(crate) struct ImageDemand {
    /// Job class of the latest service with the image.
    pub(crate) class: String,
    /// Size of the image in GB.
    pub(crate) gb: f64,
    /// Resources that a task of the latest service with the image needs.
    pub(crate) need: Resources,
    /// Number of services that arrived with the image, with exponential decay, as of `at`.
    uses: f64,
    /// When `uses` was last updated.
    at: Time,
}

/// Half-life of the recorded uses of an image.
const USE_HALF_LIFE_S: f64 = 300.0;
/// Maximum number of images that are remembered. The least used image is forgotten first.
const IMAGES_MAX: usize = 256;

impl ImageDemand {
    /// Number of recent uses of the image, with decay up to `now`.
    pub(crate) fn recent_uses(&self, now: Time) -> f64 {
        decay(self.uses, now.since(self.at), USE_HALF_LIFE_S)
    }
}

impl ShardOwner {
    /// Records a use of a job's image, if the job is a service.
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
