//! Stand-ins and cases of the review; each case is run by a `run.sh`.
//!
//! Usage: `standins CASE FOLDER`, from the root of the repository. The record of the run is written
//! to `FOLDER/record.txt`. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod double_run;
mod endless_head;
mod engine;
mod fleet;
mod http;
mod left_version;
mod lost_peer;
mod planned_stop;
mod proxy;
mod store;
mod taken_up;
mod util;

use std::path::Path;

use util::{NOT_RUN, Record};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    fleet::start_watchdog();
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let code = match case.as_str() {
        "double-run" => double_run::run(&record, has_trouble),
        "endless-head" => endless_head::run(&record, has_trouble),
        "planned-stop" => planned_stop::run(&record, has_trouble),
        "taken-up" => taken_up::run(&record, has_trouble),
        "left-version" => left_version::run(&record, has_trouble),
        "lost-peer" => lost_peer::run(&record, has_trouble),
        _ => NOT_RUN,
    };
    record.line(format!("exit code {code}"));
    fleet::kill_all();
    std::process::exit(code);
}
