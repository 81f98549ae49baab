//! Checks that only the leader rents and deletes machines, based on the leader records in the store
//! and the calls that reach the cloud.

use std::collections::BTreeMap;

/// A controller that called the cloud, and its token as a leader at that time.
#[derive(Clone, Debug)]
struct Caller {
    token: u64,
    controller_id: String,
}

/// Checks that leaders call the cloud one after the other: once a leader has called it, no leader
/// with a lower token may. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct CloudCallChecker {
    /// The latest token under which each controller was the leader.
    leader_tokens: BTreeMap<String, u64>,
    /// The caller with the highest token among those that rented or deleted machines.
    latest_caller: Option<Caller>,
    /// The token of the current leader record; `None` while there is no record.
    leader_token: Option<u64>,
    /// Number of leader records that still existed when a successor replaced them.
    pub replaced_records: usize,
    /// One line for each violation: the time in seconds and what was wrong.
    pub violations: Vec<String>,
}

impl CloudCallChecker {
    /// Records the token and the controller of the current leader record; `None` if there is no
    /// record.
    pub fn record_leader(&mut self, leader: Option<(u64, &str)>) {
        if let Some((token, controller_id)) = leader {
            let replaces = self.leader_token.is_some_and(|before| before != token);
            self.replaced_records += usize::from(replaces);
            self.leader_tokens.insert(controller_id.into(), token);
        }
        self.leader_token = leader.map(|(token, _)| token);
    }

    /// Records that a controller rents or deletes machines, and checks that it may.
    pub fn record_cloud_change(&mut self, now: u64, controller_id: &str) {
        let at_s = now as f64 / 1e3;
        let Some(token) = self.leader_tokens.get(controller_id).copied() else {
            let what = format!("{at_s:.3} cloud call: {controller_id} was never the leader");
            return self.violations.push(what);
        };
        if let Some(latest) = self
            .latest_caller
            .as_ref()
            .filter(|latest| token < latest.token)
        {
            let (by, under) = (&latest.controller_id, latest.token);
            return self.violations.push(format!(
                "{at_s:.3} cloud call: {controller_id} under token {token}, after {by} under token {under}"
            ));
        }
        let controller_id = controller_id.into();
        self.latest_caller = Some(Caller {
            token,
            controller_id,
        });
    }
}
