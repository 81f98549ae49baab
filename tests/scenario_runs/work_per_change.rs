//! What a controller does must follow what changes, not how much there is.

use crate::sim::scenario::Scenario;
use crate::sim::world::World;
use libtest_mimic::Failed;
use thiserror::Error;

/// Tasks that the burst has.
const BURST_TASKS: u64 = 160;

/// Why the work isn't as little as it must be.
#[derive(Debug, Error)]
enum WorkError {
    #[error("only {0} tasks placed")]
    FewPlaced(u64),
    #[error("{small} machines looked at, then {large}")]
    Grows { small: u64, large: u64 },
}

/// What the controllers of a run have done for placements.
struct PlacementWork {
    machines_scanned: u64,
    placed: u64,
}

impl PlacementWork {
    /// Until a run's end.
    fn of(scenario: &str) -> Self {
        let mut world = World::new(&Scenario::parse(scenario));
        world.run();
        let controllers = world.hosts.iter().filter_map(|h| h.controller.as_ref());
        let loads: Vec<_> = controllers
            .map(salttrestle::controller::Controller::load)
            .collect();
        Self {
            machines_scanned: loads.iter().map(|load| load.machines_scanned).sum(),
            placed: loads.iter().map(|load| load.placed).sum(),
        }
    }
}

/// A burst at 40 s on a fleet of which all but a few machines are full.
fn burst(machines: u32, end: u32) -> String {
    let mut text = format!(
        "type g8\nteam t\nreport 2.5\nstate rps=600 write=250 kb=8 ops=16\nroom g8 a {machines}\n\
         machines g8 a {machines}\nat 12 submit j-1 count={} run=500 rank=critical\nend {end}\n",
        8 * (machines - 10),
    );
    for n in 0..40 {
        text += &format!("at 40 submit j-{} count=4 run=5\n", n + 2);
    }
    text
}

/// How many machines an owner looks at to place the burst.
fn machines_scanned(machines: u32) -> Result<u64, WorkError> {
    let before = PlacementWork::of(&burst(machines, 39));
    let after = PlacementWork::of(&burst(machines, 75));
    if after.placed < before.placed + BURST_TASKS {
        return Err(WorkError::FewPlaced(after.placed - before.placed));
    }
    Ok(after.machines_scanned - before.machines_scanned)
}

/// A placement once looked at every machine there is. At four times the size, what a burst costs
/// must hardly grow.
pub(crate) fn machines_scanned_when_the_fleet_grows_hardly_rise() -> Result<(), Failed> {
    let (small, large) = (machines_scanned(50)?, machines_scanned(200)?);
    if small == 0 || large >= 2 * small {
        return Err(WorkError::Grows { small, large }.into());
    }
    Ok(())
}
