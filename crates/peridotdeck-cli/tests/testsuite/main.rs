//! Tests of the operators' command on files.

use std::{fs, path::PathBuf};

use peridotdeck_cli::ops;
use peridotdeck_policy::{Class, Organisation, Policy, Service};

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn good() -> String {
    Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .organisation(Organisation::named("matrah").key("m"))
        .service(Service::model("wickmind", "counter").endpoint("a", "127.0.0.1:9000"))
        .print()
        .unwrap()
}

#[test]
fn good_is_counted() {
    let line = ops::check(&file("good.json", &good())).unwrap();
    assert!(
        line.ends_with("ok, 1 classes, 1 places, 1 organisations, 1 services, 1 endpoints"),
        "{line}"
    );
}

#[test]
fn print_is_stable() {
    let once = ops::print(&file("first.json", &good())).unwrap();
    assert_eq!(ops::print(&file("second.json", &once)).unwrap(), once);
}

#[test]
fn mistakes_are_listed() {
    let path = file(
        "bad.json",
        &good().replace("\"place\": \"a\"", "\"place\": \"z\""),
    );
    let error = ops::check(&path).unwrap_err().to_string();
    assert!(
        error.contains("1 mistake(s)") && error.contains("unknown place \"z\""),
        "{error}"
    );
}

#[test]
fn broken_file() {
    let error = ops::check(&file("broken.json", "{"))
        .unwrap_err()
        .to_string();
    assert!(error.contains("broken.json"), "{error}");
}
