//! What control costs a node: bytes, decision time and memory, as slopes.
//!
//! Real routers run in one data centre of a loopback fleet, first idle, then under requests, then
//! under configuration changes. The engines answer at once, so that the cost of relaying tokens
//! stays out. The table extrapolates to the size that `docs/CAPACITY.md` designs for.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs, io,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use async_std::task;
use peridotdeck_core::Strategy;
use peridotdeck_fake::engine::Setting;
use peridotdeck_policy::split;

use crate::{
    arrivals::Arrival,
    caller,
    experiment::{Class, Experiment, Load, Model, Organisation, Paths, Place},
    stage::Stage,
};

/// Engines for each node, as in the designed fleet: 870 before 360.
const ENGINES_PER_NODE: f64 = 2.4;

/// Requests a second and node that the measurement sends; small, so that the stand-ins do not
/// compete with the routers for the processor.
const RATE: f64 = 4.0;

/// Changes of the configuration during the third measurement.
const CHANGES: u32 = 4;

/// Customers in the designed fleet.
const ORGANISATIONS: usize = 600;

/// Nodes of one data centre in the designed fleet.
const TARGET_NODES: f64 = 60.0;

/// Requests a second and node in the designed fleet: 9,700 over 360.
const TARGET_RATE: f64 = 27.0;

/// Changes a second in the designed fleet: 3,700 a day.
const TARGET_CHANGES: f64 = 3_700.0 / 86_400.0;

/// Budget in bytes a second and node.
const BUDGET_BYTES: f64 = 15_000.0;

/// Budget in milliseconds of processor time a second and node: 2.8 % of a core.
const BUDGET_MS: f64 = 28.0;

/// Totals over all routers at one moment.
#[derive(Clone, Debug, Default)]
struct Reading {
    sent: BTreeMap<String, u64>,
    received: BTreeMap<String, u64>,
    busy_ns: u64,
}

/// Costs of one run, per node.
#[derive(Clone, Copy, Debug)]
struct Costs {
    nodes: f64,
    idle_out: f64,
    idle_in: f64,
    idle_ms: f64,
    request_out: f64,
    request_us: f64,
    change_out: f64,
    change_ms: f64,
    change_s: f64,
    resident_kb: f64,
}

/// Measures fleets of the given sizes and returns the table.
///
/// # Errors
/// If something cannot start.
pub async fn measure(sizes: &[u32], seconds: u64) -> io::Result<String> {
    let mut rows = Vec::new();
    for &size in sizes {
        eprintln!("measuring {size} nodes");
        rows.push(measure_size(size, Duration::from_secs(seconds)).await?);
    }
    Ok(table(&rows))
}

fn experiment(size: u32) -> Experiment {
    let engines = (f64::from(size) * ENGINES_PER_NODE).ceil() as usize;
    let class = |name: &str, tier, bulk| Class {
        name: name.to_owned(),
        tier,
        bulk,
        first_token_ms: 5_000,
        token_gap_ms: 0,
        whole_ms: 0,
    };
    let organisation = |index| Organisation {
        name: format!("shop-{index:03}"),
        load: 1.0,
        requests_per_second: 10_000,
    };
    Experiment {
        seed: 1,
        seconds: 0,
        tail_seconds: 0,
        places: vec![Place {
            name: "a".to_owned(),
            region: "north".to_owned(),
            routers: size,
        }],
        paths: Paths::default(),
        classes: vec![
            class("counter", 0, false),
            class("advice", 1, false),
            class("check", 2, false),
            class("report", 3, false),
            class("draft", 4, true),
        ],
        organisations: (0..ORGANISATIONS).map(organisation).collect(),
        models: vec![Model {
            name: "wickmind".to_owned(),
            class: "counter".to_owned(),
            engine: Setting {
                step_us: 0,
                prefill_us: 0,
                slots: 32,
                cold_slots: 16,
                ..Setting::default()
            },
            places: vec!["a".to_owned(); engines],
        }],
        plains: Vec::new(),
        loads: vec![Load {
            class: "counter".to_owned(),
            service: "wickmind".to_owned(),
            rate: RATE,
            tokens_min: 2,
            tokens_max: 2,
            prompt: 16,
            stream: false,
            path: String::new(),
            once: false,
            twice: 0.0,
            bursts: Vec::new(),
        }],
        faults: Vec::new(),
    }
}

async fn measure_size(size: u32, time: Duration) -> io::Result<Costs> {
    let experiment = experiment(size);
    let mut stage = Stage::start(&experiment, Strategy::Deadline, 1).await?;
    let nodes = f64::from(size);
    let seconds = time.as_secs_f64();

    let start = read(&stage);
    task::sleep(time).await;
    let idle = read(&stage);

    let sent = send_load(&experiment, &stage, time).await;
    let loaded = read(&stage);

    let started = Instant::now();
    let slowest = change(&mut stage).await;
    let changing = started.elapsed().as_secs_f64();
    let changed = read(&stage);

    let idle_out = (total(&idle.sent) - total(&start.sent)) / seconds / nodes;
    let idle_ns = (idle.busy_ns - start.busy_ns) as f64 / seconds / nodes;
    let per_request =
        |before: f64, after: f64, idle: f64| (after - before - idle * seconds * nodes) / sent;
    let per_change = |before: f64, after: f64, idle: f64| {
        (after - before - idle * changing * nodes) / nodes / f64::from(CHANGES)
    };
    Ok(Costs {
        nodes,
        idle_out,
        idle_in: (total(&idle.received) - total(&start.received)) / seconds / nodes,
        idle_ms: idle_ns / 1e6,
        request_out: per_request(total(&idle.sent), total(&loaded.sent), idle_out),
        request_us: per_request(idle.busy_ns as f64, loaded.busy_ns as f64, idle_ns) / 1e3,
        change_out: per_change(total(&loaded.sent), total(&changed.sent), idle_out),
        change_ms: per_change(loaded.busy_ns as f64, changed.busy_ns as f64, idle_ns) / 1e6,
        change_s: slowest.as_secs_f64(),
        resident_kb: resident_kb() / nodes,
    })
}

fn total(bytes: &BTreeMap<String, u64>) -> f64 {
    bytes.values().sum::<u64>() as f64
}

fn read(stage: &Stage) -> Reading {
    let mut reading = Reading::default();
    for router in stage.routers() {
        let metrics = router.metrics();
        for (kind, bytes) in metrics.message_bytes("out") {
            *reading.sent.entry(kind).or_default() += bytes;
        }
        for (kind, bytes) in metrics.message_bytes("in") {
            *reading.received.entry(kind).or_default() += bytes;
        }
        reading.busy_ns += router.handle().shared.busy_ns.load(Ordering::Relaxed);
    }
    reading
}

/// Sends requests evenly to all routers and returns how many.
async fn send_load(experiment: &Experiment, stage: &Stage, time: Duration) -> f64 {
    let count = (time.as_secs_f64() * RATE * stage.slots.len() as f64) as usize;
    let started = Instant::now();
    let mut callers = Vec::with_capacity(count);
    for index in 0..count {
        let due = time.mul_f64(index as f64 / count as f64);
        task::sleep(due.saturating_sub(started.elapsed())).await;
        let arrival = Arrival {
            at: due,
            load: 0,
            organisation: index % experiment.organisations.len(),
            place: 0,
            prompt: format!("request {index} about 2 words"),
            key: None,
            twice: false,
        };
        let Some((_, address)) = stage.balance("a", index) else {
            continue;
        };
        let experiment = experiment.clone();
        callers.push(task::spawn(async move {
            caller::send(&experiment, &arrival, address, Duration::from_secs(10)).await
        }));
    }
    for caller in callers {
        caller.await;
    }
    count as f64
}

/// Publishes changes of one customer each and returns the slowest time until all nodes follow.
async fn change(stage: &mut Stage) -> Duration {
    /// Time between two looks.
    const LOOK: Duration = Duration::from_millis(10);
    let mut slowest = Duration::ZERO;
    for number in 0..CHANGES {
        stage.config.organisations[number as usize].weight += 1;
        let revision = stage.platform.publish(&split(&stage.config));
        let started = Instant::now();
        let lags = |stage: &Stage| {
            stage.routers().any(|router| {
                router
                    .handle()
                    .shared
                    .config_revision
                    .load(Ordering::Relaxed)
                    < revision
            })
        };
        while lags(stage) && started.elapsed() < Duration::from_secs(30) {
            task::sleep(LOOK).await;
        }
        slowest = slowest.max(started.elapsed());
    }
    slowest
}

/// Resident memory of this process in kilobytes, stand-ins included.
fn resident_kb() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0.0)
}

fn table(rows: &[Costs]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "| nodes | idle out B/s | idle in B/s | idle ms/s | request B | request µs | change B | change ms | slowest change s | RSS kB/node |"
    );
    let _ = writeln!(text, "|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|");
    for row in rows {
        let _ = writeln!(
            text,
            "| {} | {:.0} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} | {:.0} |",
            row.nodes,
            row.idle_out,
            row.idle_in,
            row.idle_ms,
            row.request_out,
            row.request_us,
            row.change_out,
            row.change_ms,
            row.change_s,
            row.resident_kb
        );
    }
    if let Some(last) = rows.last() {
        text.push_str(&extrapolate(rows, last));
    }
    text
}

/// Extrapolates to the designed fleet: idle costs by a line through the runs, the rest by the
/// largest run, which is the closest.
fn extrapolate(rows: &[Costs], last: &Costs) -> String {
    let at_target = |value: fn(&Costs) -> f64| {
        let points: Vec<(f64, f64)> = rows.iter().map(|row| (row.nodes, value(row))).collect();
        line(&points, TARGET_NODES)
    };
    let idle = at_target(|row| row.idle_out);
    let requests = last.request_out * TARGET_RATE;
    let changes = last.change_out * TARGET_CHANGES;
    let idle_ms = at_target(|row| row.idle_ms);
    let request_ms = last.request_us * TARGET_RATE / 1e3;
    let change_ms = last.change_ms * TARGET_CHANGES;
    let (bytes, time) = (idle + requests + changes, idle_ms + request_ms + change_ms);
    format!(
        "\nAt {TARGET_NODES} nodes a data centre, {TARGET_RATE} requests/s a node and {TARGET_CHANGES:.3} changes/s:\n\
         bytes sent a second and node: {idle:.0} idle + {requests:.0} requests + {changes:.0} changes = {bytes:.0} of {BUDGET_BYTES:.0}\n\
         decision time, ms a second and node: {idle_ms:.2} idle + {request_ms:.2} requests + {change_ms:.2} changes = {time:.2} of {BUDGET_MS:.0}\n"
    )
}

/// Value at `x` of the least-squares line through the points; the mean of a single one.
fn line(points: &[(f64, f64)], x: f64) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if spread == 0.0 {
        return mean_y;
    }
    let slope = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum::<f64>()
        / spread;
    mean_y + slope * (x - mean_x)
}
