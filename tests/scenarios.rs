//! Plays every scenario file, randomized fault runs, and violations on purpose, which the checker
//! must see.

mod scenario_runs;
mod sim;

use libtest_mimic::{Arguments, Trial};
use scenario_runs::{checker_rules, files, random_faults, work_per_change};

fn main() {
    // RUST_LOG=info shows what the controllers log; for one scenario, name it.
    env_logger::init();
    let arguments = Arguments::from_args();
    let mut trials = files::trials();
    trials.extend(checker_rules::trials());
    trials.extend(random_faults::trials());
    trials.push(Trial::test(
        "work follows what changes",
        work_per_change::machines_scanned_when_the_fleet_grows_hardly_rise,
    ));
    libtest_mimic::run(&arguments, trials).exit();
}
