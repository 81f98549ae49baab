//! The scenario tests: every scenario file, randomized fault tests, tests of the checker itself,
//! and a test of the work per change.

mod scenario_runs;
mod sim;

use libtest_mimic::{Arguments, Trial};
use scenario_runs::{checker_rules, files, random_faults, work_per_change};

fn main() {
    // RUST_LOG=info shows the log lines of the controllers. A test name selects a single scenario.
    env_logger::init();
    let arguments = Arguments::from_args();
    let mut trials = files::trials();
    trials.extend(checker_rules::trials());
    trials.extend(random_faults::trials());
    trials.push(Trial::test(
        "placement work hardly grows with the fleet",
        work_per_change::machines_scanned_hardly_grow_with_fleet,
    ));
    libtest_mimic::run(&arguments, trials).exit();
}
