//! A configuration survives its way through parts, and broken parts are named.

use bolero::check;
use peridotdeck_policy::{Class, Config, Organisation, Policy, Service, Snapshot, join, split};

fn config() -> Config {
    let organisations = (0..40).fold(Policy::new(), |policy, index| {
        policy.organisation(
            Organisation::named(&format!("shop-{index}")).key(&format!("key-{index}")),
        )
    });
    let model = (0..20).fold(Service::model("wickmind", "counter"), |service, index| {
        service.endpoint("a", &format!("127.0.0.1:{}", 9_000 + index))
    });
    organisations
        .place("a", "north")
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .service(model)
        .build()
        .unwrap()
}

fn texts(config: &Config) -> Vec<(String, String)> {
    split(config)
        .into_iter()
        .map(|(key, value)| (key, value.to_string()))
        .collect()
}

fn rejoin(texts: &[(String, String)]) -> Result<Config, peridotdeck_policy::Error> {
    join(
        texts
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_str())),
    )
}

#[test]
fn round_trip() {
    let original = config();
    let joined = rejoin(&texts(&original)).unwrap();
    assert_eq!(split(&joined), split(&original));
}

#[test]
fn small_change() {
    let (before, mut changed) = (config(), config());
    changed.organisations[3].weight = 9;
    let (old, new) = (split(&before), split(&changed));
    let differing = new
        .iter()
        .filter(|(key, value)| old.get(*key) != Some(value));
    assert_eq!(
        differing.count(),
        1,
        "one group of customers travels, not all"
    );
}

#[test]
fn broken_part() {
    let mut texts = texts(&config());
    texts[0].1 = "{".to_owned();
    let error = rejoin(&texts).unwrap_err().to_string();
    assert!(error.starts_with("part \"classes\""), "{error}");
}

#[test]
fn unknown_part() {
    let error = rejoin(&[("colour".to_owned(), "1".to_owned())])
        .unwrap_err()
        .to_string();
    assert_eq!(error, "part \"colour\": unknown key");
}

#[test]
fn pools_are_sharded() {
    let snapshot = Snapshot::new(config()).unwrap();
    let sizes: Vec<usize> = snapshot
        .pools()
        .iter()
        .map(|pool| pool.endpoints.len())
        .collect();
    assert_eq!(sizes.iter().sum::<usize>(), 20);
    assert!(sizes.iter().all(|&size| size <= 8), "{sizes:?}");
}

#[test]
fn key_is_found() {
    let snapshot = Snapshot::new(config()).unwrap();
    assert_eq!(snapshot.holder("key-7").unwrap().name, "shop-7");
    assert!(snapshot.holder("key-99").is_none());
    let published = format!("{:?}", split(&config()));
    assert!(
        !published.contains("key-7"),
        "keys never leave the operator's machine"
    );
}

#[test]
fn random_parts() {
    check!().with_type::<(u8, String)>().for_each(|(at, text)| {
        let mut texts = texts(&config());
        let at = usize::from(*at) % texts.len();
        texts[at].1.clone_from(text);
        if let Ok(config) = rejoin(&texts) {
            drop(Snapshot::new(config));
        }
    });
}
