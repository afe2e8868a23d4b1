//! Tests that the committed generated files match the schemas.

use std::fs;

use peridotdeck_schema::{TARGETS, render, repository_root};

#[test]
fn committed_files_are_current() {
    for (schema, target) in TARGETS {
        let text = fs::read_to_string(repository_root().join(schema)).unwrap();
        let committed = fs::read_to_string(repository_root().join(target)).unwrap();
        assert!(
            render(&text).unwrap() == committed,
            "{target} is out of date: run `cargo schema`"
        );
    }
}
