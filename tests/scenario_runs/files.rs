//! Trials of the scenario files.

use super::play;
use crate::sim::scenario::Scenario;
use libtest_mimic::Trial;
use std::path::{Path, PathBuf};

/// Creates one trial per file in tests/scenarios, sorted by file name.
pub(crate) fn trials() -> Vec<Trial> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let files = std::fs::read_dir(folder).expect("the scenario directory is readable");
    let files = files.map(|entry| entry.expect("a readable directory entry").path());
    let mut files: Vec<PathBuf> = files.collect();
    files.sort();
    files.into_iter().map(trial).collect()
}

fn trial(file: PathBuf) -> Trial {
    let name = file.file_stem().expect("a file name");
    let name = name.to_string_lossy().to_string();
    Trial::test(name.clone(), move || {
        let text = std::fs::read_to_string(&file).expect("the scenario file is readable");
        play::run_with_seeds(&name, &Scenario::parse(&text))
    })
}
