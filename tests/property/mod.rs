//! Property tests over random sequences of steps. CI uses a fixed seed; a manual run can use more
//! cases and a new seed each time. Packages with such tests include this module by its path.

use proptest::prelude::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestError, TestRng, TestRunner};
use std::fmt::Debug;
use std::hash::{BuildHasher, RandomState};

/// The number of cases and the random generator from which they are drawn.
struct CaseSource {
    cases: u32,
    rng: TestRng,
}

impl CaseSource {
    /// Draws the same cases in each run.
    fn fixed(cases: u32) -> Self {
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        Self { cases, rng }
    }

    /// Draws cases from a new random seed in each run.
    fn randomly_seeded(cases: u32) -> Self {
        let seed = RandomState::new().hash_one(0u8).to_le_bytes();
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed.repeat(4));
        Self { cases, rng }
    }

    /// Draws as many randomly seeded cases as the environment variable says, or the fixed cases if
    /// the variable is not set.
    fn from_variable_or_fixed(variable: &str, cases: u32) -> Self {
        let requested_cases = std::env::var(variable).ok();
        match requested_cases.and_then(|text| text.parse().ok()) {
            Some(cases) => Self::randomly_seeded(cases),
            None => Self::fixed(cases),
        }
    }

    /// Runs the test with all cases. The first failing case is shrunk.
    fn run_cases<S: Strategy>(
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

/// Panics unless the test passes for all cases: the fixed ones, or as many randomly seeded ones as
/// the environment variable says.
pub(crate) fn assert_holds<S: Strategy>(
    variable: &str,
    cases: u32,
    strategy: &S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let source = CaseSource::from_variable_or_fixed(variable, cases);
    if let Err(failure) = source.run_cases(strategy, test) {
        panic!("{failure}");
    }
}

/// Panics unless one of the fixed cases detects a deliberate mistake in the tested steps, to show
/// that the property can fail.
pub(crate) fn assert_found<Step: Debug, S: Strategy<Value = Vec<Step>>>(
    mistake: &impl Debug,
    cases: u32,
    strategy: &S,
    test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>,
) {
    let failure = CaseSource::fixed(cases).run_cases(strategy, test);
    let failure = failure.expect_err("no case detected the mistake");
    let TestError::Fail(reason, steps) = failure else {
        panic!("{failure}");
    };
    println!(
        "mistake detected: mistake={mistake:?} steps={} reason={reason}",
        steps.len()
    );
}
