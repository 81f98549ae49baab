//! Runs a scenario and collects its violations and unmet expectations.

use super::expectations::Expectation;
use crate::sim::scenario::Scenario;
use crate::sim::world::World;
use libtest_mimic::Failed;
use thiserror::Error;

/// The violations and unmet expectations of a run.
#[derive(Debug, Error)]
#[error("{}", .0.join("\n"))]
pub(crate) struct RunError(Vec<String>);

/// A run that failed, with its seed.
#[derive(Debug, Error)]
#[error("seed {seed}: {error}")]
struct SeedError {
    seed: String,
    error: RunError,
}

/// Runs a scenario with each seed of its `seeds` line, or once if there is none.
pub(crate) fn run_with_seeds(name: &str, scenario: &Scenario) -> Result<(), Failed> {
    let Some(seeds) = scenario.first("seeds") else {
        return Ok(run_once(name, scenario)?);
    };
    for seed in seeds.words() {
        let run = format!("{name}/{seed}");
        run_once(&run, &scenario.with_seed(seed)).map_err(|error| SeedError {
            seed: seed.clone(),
            error,
        })?;
    }
    Ok(())
}

/// Runs a scenario once.
pub(crate) fn run_once(name: &str, scenario: &Scenario) -> Result<(), RunError> {
    let mut world = World::new(scenario);
    world.run();
    world.digest.record(name);
    let expectations = scenario.all("expect");
    let unmet = expectations.filter_map(|line| Expectation::new(&world, line).check().err());
    let unmet: Vec<String> = unmet.map(|error| error.to_string()).collect();
    let failures = [std::mem::take(&mut world.checker.violations), unmet].concat();
    match failures.is_empty() {
        true => Ok(()),
        false => Err(RunError(failures)),
    }
}
