//! One trial for each scenario file.

use super::play;
use crate::sim::scenario::Scenario;
use libtest_mimic::Trial;
use std::path::{Path, PathBuf};

/// A trial for each file of tests/scenarios, in the order of their names.
pub(crate) fn trials() -> Vec<Trial> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = std::fs::read_dir(folder).expect("the scenarios");
    let files = files.map(|entry| entry.expect("a file").path());
    let mut files: Vec<PathBuf> = files.collect();
    files.sort();
    files.into_iter().map(trial).collect()
}

fn trial(file: PathBuf) -> Trial {
    let name = file.file_stem().expect("a name");
    let name = name.to_string_lossy().to_string();
    Trial::test(name.clone(), move || {
        let text = std::fs::read_to_string(&file).expect("a scenario");
        play::with_its_seeds(&name, &Scenario::parse(&text))
    })
}
