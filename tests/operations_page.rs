//! The runbook names log lines: each one exists in the sources, word for word.

use std::fs;
use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// The text of all sources, with string literals that go on over a line's end joined.
fn source_text() -> String {
    let mut files = Vec::new();
    sources(&root().join("src"), &mut files);
    let texts = files
        .iter()
        .map(|path| fs::read_to_string(path).expect("a source"));
    texts.collect()
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The log lines of the second column of the on-call table.
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
    let page = fs::read_to_string(root().join("docs/operations.md")).expect("the runbook");
    let lines = log_lines(&page);
    assert!(lines.len() > 25, "only {} lines found", lines.len());
    let sources = source_text();
    let begins = |line: &String| {
        sources.contains(&format!("\"{line}")) || sources.contains(&format!("\"{line},"))
    };
    let missing: Vec<&String> = lines.iter().filter(|line| !begins(line)).collect();
    assert!(missing.is_empty(), "not in the sources: {missing:?}");
}
