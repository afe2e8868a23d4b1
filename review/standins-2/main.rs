//! Runs one case of the second review: starts the nodes as processes, and plays the store, the
//! servers and the clients as threads. Standard library only; `review/build-2.sh` builds it.
//!
//! Usage: `world CASE RECORD`, where RECORD is the file of what was sent, answered and run. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod cases;
mod client;
mod http;
mod node;
mod record;
mod server;
mod store;

use std::{env, panic, path::PathBuf, process::exit};

fn main() {
    let mut words = env::args().skip(1);
    let (Some(case), Some(file)) = (words.next(), words.next()) else {
        eprintln!("usage: world CASE RECORD");
        exit(2);
    };
    // A stand-in that fails must not leave processes behind.
    panic::set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
        node::end_all();
        exit(2);
    }));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(file));
    let outcome = cases::run(&case, trouble, &record);
    let code = match &outcome {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    let text = match outcome {
        Ok(true) => "the rule held".to_owned(),
        Ok(false) => "THE RULE WAS BROKEN".to_owned(),
        Err(cause) => format!("the case could not run: {cause}"),
    };
    record.line(&format!("outcome: {text} (exit {code}, trouble {trouble})"));
    println!("{text}");
    node::end_all();
    exit(code);
}
