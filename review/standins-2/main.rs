//! Runs one case: starts the controllers as processes and plays everything around them.
//! Arguments: the case, the repository's root, the record's path. `TROUBLE=0` leaves the
//! disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cbor;
mod cloud;
mod http;
mod quiet;
mod rig;
mod scene;
mod slow_state;
mod state;
mod vast_array;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, record) = (PathBuf::from(root), PathBuf::from(record));
    let result = match case.as_str() {
        "quiet" => quiet::run(&root, &record, trouble),
        "slow-state" => slow_state::run(&root, &record, trouble),
        "vast-array" => vast_array::run(&root, &record, trouble),
        _ => Err("unknown case".into()),
    };
    match result {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
