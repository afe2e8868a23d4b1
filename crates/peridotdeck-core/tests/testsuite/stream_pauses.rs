//! Long prompts beside streams whose pauses must stay short.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    config::{Config, Kind, Route},
    registry::{Area, Fact},
};

use crate::dispatch::{admit, ask, config, dispatcher, endpoint, ms, prompt, report, route, sent};

const GAP: Duration = Duration::from_millis(250);

/// Endpoints of one data centre, and a route of streams that allow short pauses only.
fn site(ids: &[&str]) -> Dispatcher {
    let endpoints: Vec<_> = ids
        .iter()
        .map(|id| endpoint(id, "text", "muenchen"))
        .collect();
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let chat = Route {
        target: ms(400),
        gap: Some(GAP),
        ..route("chat", Kind::Stream, 1)
    };
    let Config { mut routes, .. } = config(2);
    routes.push(chat.into());
    let config = Config {
        routes,
        ..config(2)
    };
    let facts = vec![Fact::Config(config.indexed())];
    node.apply_report(report(Area::Policy, 2, false, facts), ms(0));
    node
}

fn place(node: &mut Dispatcher, route: &str, subject: u64, own: u32) -> String {
    let mut ask = ask(route);
    ask.prompt = prompt(subject, 200, own);
    let mut flight = admit(node, ask, ms(10));
    sent(node.place(&mut flight, ms(10))).instance
}

/// Returns at how many endpoints short streams run beside more than one long prompt.
fn mixed(node: &mut Dispatcher, ids: &[&str]) -> usize {
    let mut streams = vec![0; ids.len()];
    let mut prompts = vec![0; ids.len()];
    let at = |id: String| ids.iter().position(|each| *each == id);
    for subject in 0..12 {
        let chat = place(node, "chat", 500 + subject, 400);
        streams[at(chat).expect("it is an endpoint")] += 1;
        let bulk = place(node, "bulk", subject, 12_000);
        prompts[at(bulk).expect("it is an endpoint")] += 1;
    }
    let both = streams.iter().zip(&prompts);
    both.filter(|(streams, prompts)| **streams > 0 && **prompts > 1)
        .count()
}

#[test]
fn short_streams_meet_where_no_long_prompts_go() {
    for ids in [&["a", "b"][..], &["a", "b", "c", "d", "e", "f"]] {
        let mut node = site(ids);
        for _ in 0..30 {
            node.record_pause("text", ms(300));
        }
        assert_eq!(mixed(&mut node, ids), 0, "{ids:?}");
    }
}

#[test]
fn nothing_is_kept_apart_while_pauses_are_short() {
    let ids = ["a", "b"];
    let mut node = site(&ids);
    for _ in 0..100 {
        node.record_pause("text", ms(100));
    }
    let busy: Vec<String> = (0..6)
        .map(|subject| place(&mut node, "bulk", subject, 12_000))
        .collect();
    for id in ids {
        assert_eq!(busy.iter().filter(|each| *each == id).count(), 3);
    }
    assert!(mixed(&mut node, &ids) > 0);
}

#[test]
fn usual_pause_is_what_nine_of_ten_streams_stay_within() {
    let mut node = site(&["a"]);
    let stream = |node: &mut Dispatcher, pause: u64| {
        if !node.record_pause("text", ms(pause)) {
            node.record_steady_stream("text");
        }
    };
    for at in 0..2_000 {
        stream(&mut node, at * 37 % 100);
    }
    assert!(node.record_pause("text", ms(105)));
    assert!(!node.record_pause("text", ms(75)));
}
