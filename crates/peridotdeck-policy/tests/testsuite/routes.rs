//! The longest matching route of a plain service decides.

use peridotdeck_policy::{Class, Organisation, Policy, Service, Snapshot};

fn snapshot() -> Snapshot {
    let service = Service::plain("desk", "check")
        .repeatable("/", "check")
        .unrepeatable("/reorders", "reorder")
        .repeatable("/reorders/list", "check")
        .endpoint("a", "127.0.0.1:1");
    let policy = Policy::new()
        .place("a", "north")
        .class(Class::interactive("check", 1).whole_ms(800))
        .class(Class::interactive("reorder", 0).whole_ms(1_500))
        .organisation(Organisation::named("matrah"))
        .service(service);
    Snapshot::new(policy.build().unwrap()).unwrap()
}

#[test]
fn longest_wins() {
    let snapshot = snapshot();
    let desk = snapshot.service("desk").unwrap();
    let class = |path| desk.route_of(path).map(|route| route.class.as_str());
    assert_eq!(class("/reorders"), Some("reorder"));
    assert_eq!(class("/reorders/7"), Some("reorder"));
    assert_eq!(class("/reorders/list"), Some("check"));
    assert_eq!(class("/stock"), Some("check"));
}

#[test]
fn whole_segments() {
    let snapshot = snapshot();
    let desk = snapshot.service("desk").unwrap();
    assert!(desk.route_of("/reorders-archive").unwrap().repeatable);
    assert!(!desk.route_of("/reorders?now=1").unwrap().repeatable);
}
