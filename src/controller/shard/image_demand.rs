//! Which images services ask for, and how often.

use crate::controller::shard::{Holder, faded};
use crate::controller::store::records::{Form, JobRec, Room};
use crate::ids::Time;

/// What is known of an image that services use.
#[derive(Debug)]
pub(crate) struct ImageDemand {
    pub(crate) class: String,
    pub(crate) gb: f64,
    /// What a task of the job that used it last takes.
    pub(crate) need: Room,
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
        faded(self.uses, now.since(self.at), USE_HALF_S)
    }
}

impl Holder {
    /// Takes note of the image that a service comes with.
    pub(crate) fn note_image(&mut self, now: Time, rec: &JobRec) {
        if rec.form != Form::Service {
            return;
        }
        let known = self.images.get(&rec.image);
        let demand = ImageDemand {
            class: rec.class.clone(),
            gb: rec.image_gb,
            need: rec.need,
            uses: 1.0 + known.map_or(0.0, |w| w.asked(now)),
            at: now,
        };
        self.images.insert(rec.image.clone(), demand);
        if self.images.len() > IMAGES_MAX {
            let all = self.images.iter();
            let least = all.min_by(|a, b| a.1.asked(now).total_cmp(&b.1.asked(now)));
            if let Some(image) = least.map(|(image, _)| image.clone()) {
                self.images.remove(&image);
            }
        }
    }
}
