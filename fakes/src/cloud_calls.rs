//! The duties that one controller has at a time, renting and deleting, seen from outside: by whose
//! record the store had, and who called the cloud.

use std::collections::BTreeMap;

/// A controller that calls the cloud, and the token under which it leads.
#[derive(Clone, Debug)]
struct Caller {
    token: u64,
    controller_id: String,
}

/// Judges who calls the cloud: leaders one after the other. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct CloudCallChecker {
    /// The latest token under which each controller led.
    leader_tokens: BTreeMap<String, u64>,
    /// Who changed something at the cloud under the highest token.
    latest_caller: Option<Caller>,
    /// The token of the latest leader's record; `None` while there is none.
    leader_token: Option<u64>,
    /// Records of leaders that still existed when the next one replaced them.
    pub replaced_records: usize,
    /// Violations.
    pub violations: Vec<String>,
}

impl CloudCallChecker {
    /// The leader's record is as follows; `None` while there is none.
    pub fn record_leader(&mut self, leader: Option<(u64, &str)>) {
        if let Some((token, controller_id)) = leader {
            let replaces = self.leader_token.is_some_and(|before| before != token);
            self.replaced_records += usize::from(replaces);
            self.leader_tokens.insert(controller_id.into(), token);
        }
        self.leader_token = leader.map(|(token, _)| token);
    }

    /// A controller rents or deletes.
    pub fn record_cloud_change(&mut self, now: u64, controller_id: &str) {
        let at_s = now as f64 / 1e3;
        let Some(token) = self.leader_tokens.get(controller_id).copied() else {
            let what = format!("{at_s:.3} duty: {controller_id} never led");
            return self.violations.push(what);
        };
        if let Some(latest) = self
            .latest_caller
            .as_ref()
            .filter(|latest| token < latest.token)
        {
            let (by, under) = (&latest.controller_id, latest.token);
            return self.violations.push(format!(
                "{at_s:.3} duty: {controller_id} calls the cloud under {token}, after {by} did under {under}"
            ));
        }
        let controller_id = controller_id.into();
        self.latest_caller = Some(Caller {
            token,
            controller_id,
        });
    }
}
