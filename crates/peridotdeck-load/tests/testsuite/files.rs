//! Experiment files are checked before anything starts.

use std::path::Path;

use peridotdeck_load::experiment::{load, parse};

fn folder() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments")
}

fn text() -> String {
    std::fs::read_to_string(folder().join("hollerieth.toml")).unwrap()
}

#[test]
fn all_are_valid() {
    let mut count = 0;
    for entry in std::fs::read_dir(folder()).unwrap() {
        let path = entry.unwrap().path();
        if let Err(error) = load(&path) {
            panic!("{error}");
        }
        count += 1;
    }
    assert!(count >= 9);
}

#[test]
fn base_is_replaced() {
    let experiment = load(&folder().join("crowding.toml")).unwrap();
    assert_eq!(experiment.seconds, 20);
    assert_eq!(
        experiment.places.len(),
        3,
        "what the file does not name comes from its base"
    );
}

#[test]
fn unknown_class() {
    let error = parse(
        &text().replace(
            "class = \"summary\"\nservice",
            "class = \"sumary\"\nservice",
        ),
        "x.toml",
    )
    .unwrap_err();
    assert_eq!(
        error.to_string(),
        "x.toml: a load names unknown class \"sumary\""
    );
}

#[test]
fn unknown_key() {
    let error = parse(&format!("speed = 1\n{}", text()), "x.toml")
        .unwrap_err()
        .to_string();
    assert!(error.contains("speed"), "{error}");
}

#[test]
fn fault_out_of_range() {
    let text = format!(
        "{}\n[[faults]]\nat = 1.0\nkind = {{ router-kill = 9 }}\n",
        text()
    );
    let error = parse(&text, "x.toml").unwrap_err().to_string();
    assert_eq!(error, "x.toml: a fault names router 9, but there are 7");
}
