//! Checks that each log line that the runbook names exists in the sources, word for word, so that
//! operators can search for it.

use std::fs;
use std::path::{Path, PathBuf};

/// Adds all files below a folder to `found`.
fn collect_files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_files(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// The text of all source files, one after the other.
fn source_text() -> String {
    let mut files = Vec::new();
    collect_files(&repository_root().join("src"), &mut files);
    let texts = files
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source"));
    texts.collect()
}

fn repository_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The log lines in the second column of the runbook's table for on-call engineers: all text in
/// backquotes but fields such as `key=value`.
fn log_lines(page: &str) -> Vec<String> {
    let section = page.split("### For on-call").nth(1);
    let section = section.expect("the on-call table");
    let table = section.split("\n## ").next().unwrap_or(section);
    let rows = table.lines().filter(|line| line.starts_with("| "));
    let columns = rows.skip(2).filter_map(|row| row.split(" | ").nth(1));
    let lines = columns.flat_map(|column| column.split('`').skip(1).step_by(2));
    let lines = lines.filter(|line| !line.contains('=')).map(String::from);
    lines.collect()
}

#[test]
fn each_log_line_of_the_on_call_table_exists_in_the_sources() {
    let page =
        fs::read_to_string(repository_root().join("docs/operations.md")).expect("the runbook");
    let lines = log_lines(&page);
    assert!(lines.len() > 25, "only {} lines found", lines.len());
    let sources = source_text();
    let begins_a_literal = |line: &String| {
        sources.contains(&format!("\"{line}")) || sources.contains(&format!("\"{line},"))
    };
    let missing: Vec<&String> = lines
        .iter()
        .filter(|line| !begins_a_literal(line))
        .collect();
    assert!(missing.is_empty(), "not in the sources: {missing:?}");
}
