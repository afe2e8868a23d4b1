//! Placement of long prompts on endpoints with streams whose inter-token latency is bounded.

use std::time::Duration;

use peridotdeck_core::dispatch::{
    Dispatcher,
    config::{Config, Kind, Route},
    registry::{Area, Fact},
};

use crate::dispatch::{
    admit, config, decoded_request, dispatcher, endpoint, expect_sent, ms, prompt, report, route,
};

const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Returns a node with these endpoints and a route `chat` that bounds the pauses of streams.
fn dispatcher_with_chat(ids: &[&str]) -> Dispatcher {
    let endpoints: Vec<_> = ids
        .iter()
        .map(|id| endpoint(id, "text", "muenchen"))
        .collect();
    let mut node = dispatcher(1, "muenchen", &endpoints);
    let chat = Route {
        target: ms(400),
        gap: Some(MAX_PAUSE),
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

fn admit_and_place(node: &mut Dispatcher, route: &str, subject: u64, own: u32) -> String {
    let mut request = decoded_request(route);
    request.prompt = prompt(subject, 200, own);
    let mut flight = admit(node, request, ms(10));
    expect_sent(node.place(&mut flight, ms(10))).instance
}

/// Returns the number of endpoints that run short streams together with several long prompts.
fn count_shared_endpoints(node: &mut Dispatcher, ids: &[&str]) -> usize {
    let mut streams = vec![0; ids.len()];
    let mut prompts = vec![0; ids.len()];
    let index = |id: String| ids.iter().position(|listed| *listed == id);
    for subject in 0..12 {
        let chat = admit_and_place(node, "chat", 500 + subject, 400);
        streams[index(chat).expect("it is an endpoint")] += 1;
        let bulk = admit_and_place(node, "bulk", subject, 12_000);
        prompts[index(bulk).expect("it is an endpoint")] += 1;
    }
    let per_endpoint = streams.iter().zip(&prompts);
    per_endpoint
        .filter(|(streams, prompts)| **streams > 0 && **prompts > 1)
        .count()
}

#[test]
fn short_streams_and_long_prompts_use_separate_endpoints_after_long_pauses() {
    for ids in [&["a", "b"][..], &["a", "b", "c", "d", "e", "f"]] {
        let mut node = dispatcher_with_chat(ids);
        for _ in 0..30 {
            node.record_pause("text", ms(300));
        }
        assert_eq!(count_shared_endpoints(&mut node, ids), 0, "{ids:?}");
    }
}

#[test]
fn streams_and_prompts_share_endpoints_while_pauses_are_short() {
    let ids = ["a", "b"];
    let mut node = dispatcher_with_chat(&ids);
    for _ in 0..100 {
        node.record_pause("text", ms(100));
    }
    let busy: Vec<String> = (0..6)
        .map(|subject| admit_and_place(&mut node, "bulk", subject, 12_000))
        .collect();
    for id in ids {
        assert_eq!(busy.iter().filter(|busy_id| *busy_id == id).count(), 3);
    }
    assert!(count_shared_endpoints(&mut node, &ids) > 0);
}

#[test]
fn usual_pause_is_the_ninetieth_percentile_of_streams() {
    let mut node = dispatcher_with_chat(&["a"]);
    let record_stream = |node: &mut Dispatcher, pause: u64| {
        if !node.record_pause("text", ms(pause)) {
            node.record_steady_stream("text");
        }
    };
    for number in 0..2_000 {
        record_stream(&mut node, number * 37 % 100);
    }
    assert!(node.record_pause("text", ms(105)));
    assert!(!node.record_pause("text", ms(75)));
}
