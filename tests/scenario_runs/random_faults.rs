//! Randomized fault tests: scenarios with two or three concurrent faults, drawn from a seed.

use super::play;
use crate::sim::scenario::Scenario;
use libtest_mimic::{Failed, Trial};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The environment variable that selects other seeds for a manual run: `TROUBLE_SEEDS=1..500`.
const SEEDS_VARIABLE: &str = "TROUBLE_SEEDS";
/// The seeds that are used if [`SEEDS_VARIABLE`] is not set.
const SEEDS: std::ops::Range<u64> = 1..25;

/// The faults that are drawn. All start between seconds 38 and 55, so that they overlap.
const FAULTS: [&str; 24] = [
    "kill leader down=4",
    "kill leader down=0.4",
    "kill all down=3",
    "kill all down=14",
    "freeze leader for=9",
    "refuse leader for=14",
    "refuse other for=14",
    "cut leader from=state,peers for=30",
    "cut leader from=state hold for=12",
    "cut leader from=workers for=20",
    "cut leader from=cloud hold for=20",
    "peers-refuse for=20",
    "slow-state share=0.5 for=25",
    "late-writes share=0.3 for=25",
    "lost-answers share=0.3 for=25",
    "late-reports share=0.4 for=40",
    "keep-reports share=0.3 for=30",
    "fast-boots for=40",
    "cancel-at-end share=0.5 for=40",
    "machine 2 hang for=9",
    "machine 2 hang for=14",
    "machine 2 cut for=25",
    "machine 2 deaf for=25",
    "machine 2 mute for=25",
];

/// Creates one trial per seed, and an upgrade trial for each odd seed only, because upgrade trials
/// take longer.
pub(crate) fn trials() -> Vec<Trial> {
    let mut trials = Vec::new();
    for seed in seeds() {
        trials.push(trial("troubles", seed, random_scenario(seed)));
        if !seed.is_multiple_of(2) {
            trials.push(trial("upgrade", seed, upgrade_scenario(seed)));
        }
    }
    trials
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("TROUBLE_SEEDS=from..to");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

fn trial(kind: &'static str, seed: u64, scenario: String) -> Trial {
    Trial::test(format!("{kind} of seed {seed}"), move || {
        let run = format!("{kind}/{seed}");
        play::run_once(&run, &Scenario::parse(&scenario))
            .map_err(|error| Failed::from(format!("seed {seed}: {error}\n{scenario}")))
    })
}

/// A scenario with two or three concurrent faults, pipelines, cancellations, users who send queries
/// after each status change, and malformed requests. Even seeds also have a store outage.
fn random_scenario(seed: u64) -> String {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut text = format!(
        "seed {seed}\ntype g8\nteam t gpus_max=24\nteam u gpus_max=12\nroom g8 a 10\nroom g8 b 10\n\
         machines g8 a 2\nmachines g8 b 2\nat 5 close-looks cancel=0.15 for=90\nat 5 odd for=90\n\
         at 18 submit s-1 service count=4 rank=critical scatter\n\
         at 19 submit s-2 service count=3 rank=urgent team=u\n\
         at 20 stream q rate=1 for=50 count=2 run=9 cancelled=0.2\n\
         at 22 stream z rate=0.3 for=40 count=3 run=25 team=u zone=b\n\
         at 24 pipelines p rate=0.6 for=45 count=2 run=6 gpus=0 cpus=1 cancelled=0.4 late=0.2\n"
    );
    for _ in 0..rng.random_range(2..4) {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        text += &format!("at {}~6 {fault}\n", rng.random_range(38..50));
    }
    if seed.is_multiple_of(2) {
        text += &outage(&mut rng);
    }
    for at in [40, 46, 52] {
        let hang = rng.random_range(0..6);
        text += &format!("at {at}~5 cancel-now count=2 of=q hang={hang}\n");
    }
    text + "end 420\nexpect confirmed 4\nexpect runs s-1\nexpect runs s-2\nexpect ended 40\n"
}

fn outage(rng: &mut StdRng) -> String {
    let from = rng.random_range(42..50);
    let to = from + [6, 13, 40][rng.random_range(0..3)];
    format!("at {from} outage state\nat {to} restore state\n")
}

/// The scenario of [`random_scenario`] during an upgrade to lower store limits. Controllers learn
/// of the next limits only when they restart, and the limits take effect after that. Jobs accepted
/// before have records that exceed the lower limits.
fn upgrade_scenario(seed: u64) -> String {
    let scenario = random_scenario(seed)
        .replace("g8 a ", "g8 port-of-spain ")
        .replace("g8 b ", "g8 san-fernando ")
        .replace("zone=b", "zone=san-fernando")
        .replace("at 24 pipelines", "at 46 pipelines");
    format!(
        "zones port-of-spain san-fernando\nstate write=60 kb=8 ops=16\n\
         next write=42 kb=2 ops=4 later\n\
         at 18 submit j-1 count=62 run=70 gpus=0 cpus=1\n\
         at 18 submit s-3 service count=60 rank=urgent gpus=0 cpus=1\n\
         at 26~4 upgrade 0\nat 32~4 upgrade 1\nat 38~4 upgrade 2\nat 43~10 limits-fall\n\
         {scenario}expect runs s-3 but=8\n"
    )
}
