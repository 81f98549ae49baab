//! A store that responds slowly to some controllers.

use super::event::Process;
use super::world::World;
use salttrestle::ids::CallId;

/// The steps in which the moment of a request's execution is drawn.
const EXECUTION_STEPS: u64 = 17;
/// Spreads the numbers of successive calls over the steps.
const CALL_SPREAD: u64 = 7;

/// The time that the store takes for each response to a controller.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreDelay {
    pub total_ms: u64,
    /// When the store is fast again, in milliseconds.
    pub until: u64,
}

/// The two parts of the delay of one call.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallDelay {
    /// Delay before the request is executed.
    pub until_executed_ms: u64,
    /// Delay from the execution, or from the change that a watch waits for, to the response.
    pub until_answered_ms: u64,
}

impl World {
    /// The delay of a call. The moment of its execution depends on the number of the call only, so
    /// that it is the same for both parts, and that other calls have other moments.
    pub(super) fn store_delay(&self, process: Process, call: CallId) -> CallDelay {
        let delay = self.hosts[process.controller].store_delay;
        if self.now >= delay.until {
            return CallDelay::default();
        }
        let step = call.0 * CALL_SPREAD % EXECUTION_STEPS;
        let until_executed_ms = delay.total_ms * step / (EXECUTION_STEPS - 1);
        CallDelay {
            until_executed_ms,
            until_answered_ms: delay.total_ms - until_executed_ms,
        }
    }
}
