//! Tests that a controller's work depends on the amount of change and not on the fleet size.

use crate::sim::scenario::Scenario;
use crate::sim::world::World;
use libtest_mimic::Failed;
use thiserror::Error;

/// The number of tasks of the burst: 40 jobs of 4 tasks each.
const BURST_TASKS: u64 = 160;

/// The reason why the test fails.
#[derive(Debug, Error)]
enum WorkError {
    #[error("too few tasks of the burst were placed: tasks={0}")]
    FewPlaced(u64),
    #[error("machines scanned grow with the fleet: small_fleet={small} large_fleet={large}")]
    Grows { small: u64, large: u64 },
}

/// The placement work of all controllers of a run.
struct PlacementWork {
    machines_scanned: u64,
    placed: u64,
}

impl PlacementWork {
    /// Runs a scenario and adds up the work of the controllers that run at its end.
    fn measure(scenario: &str) -> Self {
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

/// A scenario with a burst at 40 s on a fleet of which all but ten machines are full.
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

/// The number of machines that the shard owner scans to place the burst.
fn machines_scanned(machines: u32) -> Result<u64, WorkError> {
    let before = PlacementWork::measure(&burst(machines, 39));
    let after = PlacementWork::measure(&burst(machines, 75));
    if after.placed < before.placed + BURST_TASKS {
        return Err(WorkError::FewPlaced(after.placed - before.placed));
    }
    Ok(after.machines_scanned - before.machines_scanned)
}

/// Guards against a placement that scans every machine of the fleet, as an earlier version did. On
/// a fleet of four times the size, the same burst must scan fewer than twice as many machines.
pub(crate) fn machines_scanned_hardly_grow_with_fleet() -> Result<(), Failed> {
    let (small, large) = (machines_scanned(50)?, machines_scanned(200)?);
    if small == 0 || large >= 2 * small {
        return Err(WorkError::Grows { small, large }.into());
    }
    Ok(())
}
