//! Property tests over drawn orders of steps: from a fixed seed in CI, and more of them by hand from
//! another seed each time. Included by the packages whose tests draw such orders.

use proptest::prelude::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::fmt::Debug;
use std::hash::{BuildHasher, RandomState};

/// How many cases are drawn, and from what.
struct Draw {
    cases: u32,
    rng: TestRng,
}

impl Draw {
    /// Cases that are the same in each run.
    fn fixed(cases: u32) -> Self {
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        Self { cases, rng }
    }

    /// Cases of another seed in each run.
    fn fresh(cases: u32) -> Self {
        let seed = RandomState::new().hash_one(0u8).to_le_bytes();
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed.repeat(4));
        Self { cases, rng }
    }

    /// Fresh cases, as many as a variable says, or fixed ones if it isn't set.
    fn by_hand_or_fixed(variable: &str, cases: u32) -> Self {
        let by_hand = std::env::var(variable).ok();
        match by_hand.and_then(|text| text.parse().ok()) {
            Some(cases) => Self::fresh(cases),
            None => Self::fixed(cases),
        }
    }

    /// Plays all cases; the first failure is shrunk.
    fn play<S: Strategy>(
        self,
        strategy: &S,
        test: impl Fn(S::Value) -> Result<(), TestCaseError>,
    ) -> Result<(), TestError<S::Value>> {
        let config = Config {
            cases: self.cases,
            failure_persistence: None,
            ..Config::default()
        };
        TestRunner::new_with_rng(config, self.rng).run(strategy, test)
    }
}

/// Fails unless all cases pass: the fixed ones, or as many fresh ones as the variable says.
pub(crate) fn assert_holds<S: Strategy>(
    variable: &str,
    cases: u32,
    strategy: &S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let draw = Draw::by_hand_or_fixed(variable, cases);
    if let Err(failure) = draw.play(strategy, test) {
        panic!("{failure}");
    }
}

/// Fails unless one of the fixed cases finds a mistake that is planted in the test.
pub(crate) fn assert_found<Step: Debug, S: Strategy<Value = Vec<Step>>>(
    mistake: &impl Debug,
    cases: u32,
    strategy: &S,
    test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>,
) {
    let failure = Draw::fixed(cases).play(strategy, test);
    let failure = failure.expect_err("the mistake isn't found");
    let TestError::Fail(reason, steps) = failure else {
        panic!("{failure}");
    };
    println!("{mistake:?} after {} steps: {reason}", steps.len());
}
