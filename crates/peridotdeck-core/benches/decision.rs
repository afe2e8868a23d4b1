//! Cost of decisions at the size of one data centre in `docs/CAPACITY.md`: 145 engines, 60 nodes.

use std::{hint::black_box, sync::Arc, time::Duration};

use criterion::Criterion;
use peridotdeck_core::{
    Strategy, engine, flight::rank_candidates, membership::View, pool::Scheduler, request::Call,
};
use peridotdeck_policy::{Class, Organisation, Policy, Service, Snapshot};
use peridotdeck_wire::{Ask, Beat, Done, Member, Outcome};

/// Engines of the data centre.
const ENGINES: u16 = 145;
/// Router nodes of the data centre.
const NODES: u32 = 60;
/// Time of every decision, since the start of the node.
const NOW: Duration = Duration::from_secs(100);

fn snapshot() -> Arc<Snapshot> {
    let model = (0..ENGINES).fold(Service::model("wickmind", "counter"), |service, index| {
        service.endpoint("a", &format!("127.0.0.1:{}", 9_000 + index))
    });
    let policy = Policy::new()
        .place("a", "north")
        .class(Class::interactive("counter", 0).first_token_ms(440))
        .organisation(Organisation::named("matrah"))
        .service(model);
    Arc::new(
        Snapshot::new(policy.build().expect("the configuration is valid"))
            .expect("the configuration passes the check"),
    )
}

fn view() -> View {
    let mut view = View::new(1, "a".to_owned(), 1);
    let member = |node| Member {
        node,
        place: "a".to_owned(),
        peers: String::new(),
        callers: String::new(),
        leaving: false,
    };
    view.adopt_vm_list(1, (1..=NODES).map(member).collect());
    let beat = |node| Beat {
        node,
        incarnation: 1,
        counter: 1,
        leaving: false,
    };
    view.receive_heartbeats(&(2..=NODES).map(beat).collect::<Vec<_>>(), NOW);
    view.refresh(NOW);
    view
}

fn call() -> Call {
    Call {
        organisation: "matrah".to_owned(),
        service: "wickmind".to_owned(),
        class: "counter".to_owned(),
        prompt_tokens: 100,
        max_tokens: 0,
        prefix: 0,
        fingerprint: 1,
        idempotent: true,
        resumable: true,
        claim: None,
    }
}

fn ask(attempt: u64, pool: u64) -> Ask {
    Ask {
        attempt,
        pool,
        class: "counter".to_owned(),
        organisation: "matrah".to_owned(),
        tokens: 100,
        prompt: 100,
        prefix: attempt % 40,
        fingerprint: attempt,
        strikes: 0,
        waited_ms: 0,
        avoid: Vec::new(),
    }
}

fn choose_pool(criterion: &mut Criterion) {
    let (snapshot, view, call) = (snapshot(), view(), call());
    criterion.bench_function("choose_pool_145_engines", |bencher| {
        bencher.iter(|| rank_candidates(black_box(&call), Duration::ZERO, &view, &snapshot, NOW));
    });
}

/// Returns a scheduler of eight warm engines with half their slots in use, and its pool's id.
fn scheduler(snapshot: &Arc<Snapshot>) -> (Scheduler, u64) {
    let pool = snapshot.pools()[0].clone();
    let id = pool.id;
    let mut scheduler = Scheduler::new(
        pool.clone(),
        Arc::clone(snapshot),
        Strategy::Deadline,
        Duration::ZERO,
    );
    let mut out = Vec::new();
    for &endpoint in &pool.endpoints {
        let report = engine::Report {
            boot: 1,
            running: 0,
            queued: 0,
            warm: true,
        };
        scheduler.handle_report(endpoint, report, NOW, &mut out);
    }
    for attempt in 0..pool.endpoints.len() as u64 * 4 {
        scheduler.handle_ask(1, ask(attempt, id), NOW, &mut out);
    }
    (scheduler, id)
}

fn grant_slot(criterion: &mut Criterion) {
    let snapshot = snapshot();
    let (mut scheduler, pool) = scheduler(&snapshot);
    let mut attempt = 1_000;
    criterion.bench_function("ask_grant_done_8_engines", |bencher| {
        bencher.iter(|| {
            attempt += 1;
            let mut out = Vec::new();
            scheduler.handle_ask(1, ask(attempt, pool), NOW, &mut out);
            let done = Done {
                attempt,
                pool,
                endpoint: 0,
                outcome: Outcome::Finished,
                tokens: 100,
                first_ms: 30,
                gap_us: 0,
            };
            scheduler.handle_done(&done, NOW, &mut out);
            black_box(out)
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choose_pool(&mut criterion);
    grant_slot(&mut criterion);
    criterion.final_summary();
}
