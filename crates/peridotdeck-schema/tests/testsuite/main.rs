//! Tests of the generator.

use std::fs;

use peridotdeck_schema::{TARGETS, render, root};

#[test]
fn output_is_current() {
    for (schema, target) in TARGETS {
        let text = fs::read_to_string(root().join(schema)).unwrap();
        let committed = fs::read_to_string(root().join(target)).unwrap();
        assert!(
            render(&text).unwrap() == committed,
            "{target} is old: run `cargo schema`"
        );
    }
}
