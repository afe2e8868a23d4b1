//! Tests how settings files are parsed and which mistakes are reported.

use peridotdeck_settings::{load, parse};

const VALID: &str = r#"
node = 3
place = "sohar-a"
callers = "127.0.0.1:8080"
peers = "127.0.0.1:8081"
platform = ["127.0.0.1:8500"]
"#;

fn parse_error(text: &str) -> String {
    parse(text, "router.toml").unwrap_err().to_string()
}

#[test]
fn defaults_apply() {
    let settings = parse(VALID, "router.toml").unwrap();
    assert_eq!(
        (settings.node, settings.body_limit_kb, settings.drain_s),
        (3, 4_096, 600)
    );
    assert_eq!(settings.memory_mb, 256);
}

#[test]
fn unknown_key() {
    let error = parse_error(&format!("{VALID}\nport = 1\n"));
    assert!(
        error.contains("router.toml") && error.contains("port"),
        "{error}"
    );
}

#[test]
fn missing_key() {
    let error = parse_error("node = 3\n");
    assert!(error.contains("missing field"), "{error}");
}

#[test]
fn wrong_type() {
    let error = parse_error(&VALID.replace("node = 3", "node = \"three\""));
    assert!(error.contains("node"), "{error}");
}

#[test]
fn out_of_range() {
    let error = parse_error(&format!("{VALID}\ndrain_s = 0\n"));
    assert_eq!(
        error,
        "router.toml: drain_s = 0: choose a value from 1 to 86400"
    );
}

#[test]
fn host_name_as_address() {
    let error = parse_error(&VALID.replace("127.0.0.1:8500", "platform.example:8500"));
    assert!(
        error.contains("platform") && error.contains("IP address"),
        "{error}"
    );
}

#[test]
fn unknown_log_level() {
    let error = parse_error(&format!("{VALID}\nlog = \"loud\"\n"));
    assert!(error.contains("log: choose error"), "{error}");
}

#[test]
fn missing_file() {
    let error = load(std::path::Path::new("no/such.toml"))
        .unwrap_err()
        .to_string();
    assert!(error.starts_with("no/such.toml"), "{error}");
}
