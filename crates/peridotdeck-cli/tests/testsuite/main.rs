//! Tests the subcommands that read a configuration file.

use std::{fs, path::PathBuf};

use peridotdeck_cli::ops;
use peridotdeck_policy::{Class, Organisation, Policy, Service};

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn valid_config() -> String {
    Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .organisation(Organisation::named("matrah").key("m"))
        .service(Service::model("wickmind", "counter").endpoint("a", "127.0.0.1:9000"))
        .print()
        .unwrap()
}

#[test]
fn check_counts_items() {
    let line = ops::check(&write_file("good.json", &valid_config())).unwrap();
    assert!(
        line.ends_with("ok, 1 classes, 1 places, 1 organisations, 1 services, 1 endpoints"),
        "{line}"
    );
}

#[test]
fn print_is_stable() {
    let once = ops::print(&write_file("first.json", &valid_config())).unwrap();
    assert_eq!(ops::print(&write_file("second.json", &once)).unwrap(), once);
}

#[test]
fn mistakes_are_listed() {
    let path = write_file(
        "bad.json",
        &valid_config().replace("\"place\": \"a\"", "\"place\": \"z\""),
    );
    let error = ops::check(&path).unwrap_err().to_string();
    assert!(
        error.contains("1 mistake(s)") && error.contains("unknown place \"z\""),
        "{error}"
    );
}

#[test]
fn invalid_json() {
    let error = ops::check(&write_file("broken.json", "{"))
        .unwrap_err()
        .to_string();
    assert!(error.contains("broken.json"), "{error}");
}
