//! Stand-ins and runs of the review's cases: `review-standins CASE RECORD FOLDER`. The exit code is
//! 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod cbor;
mod cloud;
mod cut;
mod http;
mod pipeline;
mod record;
mod state;
mod swarm;
mod worker;
mod world;

use record::Record;
use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, file, folder] = args.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = Record::create(Path::new(file)) else {
        std::process::exit(2);
    };
    record.line(&format!("case={case} trouble={trouble}"));
    let folder = Path::new(folder);
    // A panic means that the case can't run. The controllers are ended on the way.
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "cut" => cut::run(record.clone(), folder, trouble),
        "pipeline" => pipeline::run(record.clone(), folder, trouble),
        "swarm" => swarm::run(record.clone(), folder, trouble),
        _ => 2,
    });
    let result = result.unwrap_or(2);
    record.line(&format!("result={result}"));
    std::process::exit(result);
}
