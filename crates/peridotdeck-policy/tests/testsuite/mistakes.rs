//! Every mistake is named before anything is published.

use peridotdeck_policy::{Class, Error, Organisation, Policy, Service};

fn base() -> Policy {
    Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .organisation(Organisation::named("matrah").key("m"))
}

fn model() -> Service {
    Service::model("wickmind", "counter").endpoint("a", "127.0.0.1:9000")
}

fn mistakes(policy: Policy) -> Vec<String> {
    policy
        .build()
        .unwrap_err()
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn good_is_accepted() {
    assert!(base().service(model()).build().is_ok());
}

#[test]
fn missing_target() {
    let policy = base()
        .class(Class::interactive("advice", 1))
        .service(model());
    assert_eq!(
        policy.build().unwrap_err(),
        [Error::MissingTarget("advice".to_owned())]
    );
}

#[test]
fn unknown_place() {
    let found = mistakes(base().service(model().endpoint("b", "127.0.0.1:9001")));
    assert_eq!(
        found,
        ["endpoint 2 names unknown place \"b\": define it or correct the name"]
    );
}

#[test]
fn unknown_class() {
    let found = mistakes(base().service(Service::model("wickmind", "conter")));
    assert_eq!(
        found,
        ["service \"wickmind\" names unknown class \"conter\": define it or correct the name"]
    );
}

#[test]
fn name_twice() {
    let found = mistakes(base().place("a", "south").service(model()));
    assert_eq!(
        found,
        ["place \"a\" is defined twice: rename or remove one"]
    );
}

#[test]
fn key_twice() {
    let found = mistakes(
        base()
            .organisation(Organisation::named("barka").key("m"))
            .service(model()),
    );
    assert!(found[0].starts_with("key digest"), "{found:?}");
}

#[test]
fn address_twice() {
    let found = mistakes(base().service(model().endpoint("a", "127.0.0.1:9000")));
    assert!(found[0].contains("endpoint address"), "{found:?}");
}

#[test]
fn high_tier() {
    let found = mistakes(
        base()
            .class(Class::interactive("late", 9).whole_ms(1))
            .service(model()),
    );
    assert_eq!(found, ["class \"late\": tier is 9: choose 0 to 4"]);
}

#[test]
fn starving_bulk() {
    let bulk = Class::bulk("draft", 4).whole_ms(1).min_share_percent(0);
    assert!(mistakes(base().class(bulk).service(model()))[0].contains("can starve"));
}

#[test]
fn shares_too_large() {
    let bulk = Class::bulk("draft", 4).whole_ms(1).min_share_percent(60);
    assert!(mistakes(base().class(bulk).service(model()))[0].contains("sums to 60"));
}

/// Guards against sums of slots that overflow.
#[test]
fn too_many_slots() {
    let service = Service::model("wickmind", "counter");
    let service = service.sized_endpoint("a", "127.0.0.1:1", u32::MAX, 5);
    assert!(mistakes(base().service(service))[0].contains("slots is 4294967295"));
}

#[test]
fn cold_above_warm() {
    let service = Service::model("wickmind", "counter").sized_endpoint("a", "127.0.0.1:1", 4, 5);
    assert!(mistakes(base().service(service))[0].contains("cold_slots is 5"));
}

#[test]
fn empty_configuration() {
    assert_eq!(mistakes(Policy::new()).len(), 4);
}
