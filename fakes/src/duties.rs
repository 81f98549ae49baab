//! The duties that one controller has at a time, renting and deleting, seen from outside: by whose
//! record stood at the store, and who called the cloud.

use std::collections::BTreeMap;

/// Judges who calls the cloud. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    /// The latest number under which each controller led.
    led: BTreeMap<String, u64>,
    /// Who changed something at the cloud under the highest number, and that number.
    latest: Option<(u64, String)>,
    /// The latest leader.
    leader: Option<(u64, String)>,
    /// Records of leaders that stood when the next one replaced them.
    pub replaced: usize,
    /// What was broken.
    pub broken: Vec<String>,
}

impl Duties {
    /// The leader's record is as follows; `None` while there is none.
    pub fn leader_is(&mut self, leader: Option<(u64, &str)>) {
        if let Some((token, controller_id)) = leader {
            let before = self.leader.as_ref().filter(|(n, _)| *n != token);
            self.replaced += usize::from(before.is_some());
            self.led.insert(controller_id.into(), token);
        }
        self.leader = leader.map(|(token, controller_id)| (token, controller_id.into()));
    }

    /// A controller rents or deletes.
    pub fn cloud_changed(&mut self, now: u64, controller_id: &str) {
        let Some(token) = self.led.get(controller_id).copied() else {
            let what = format!("{:.3} duty: {controller_id} never led", now as f64 / 1e3);
            return self.broken.push(what);
        };
        match &self.latest {
            Some((latest, by)) if token < *latest => self.broken.push(format!(
                "{:.3} duty: {controller_id} calls the cloud under {token}, after {by} did under {latest}",
                now as f64 / 1e3
            )),
            _ => self.latest = Some((token, controller_id.into())),
        }
    }
}
