//! The task that owns the decision core.
//!
//! Everything that happens comes in over one channel, so the core needs no lock and a decision is
//! never interleaved with another. Tokens do not pass through here: a request's own task relays
//! them and reports only its end.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task};
use peridotdeck_core::{Action, Event, Node, engine, id, node::TICK_INTERVAL};
use peridotdeck_http::client;
use peridotdeck_policy::Endpoint;
use peridotdeck_wire::{Body, Envelope, Member};

use crate::{
    clock::Clock,
    dial::Dial,
    handle::{Command, Handle, Input},
    metrics::Metrics,
    peers::Post,
};

/// Orders that may wait for one request's task.
const ORDERS: usize = 8;

/// The core and the means to carry out its actions.
#[derive(Debug)]
pub struct Driver<D> {
    node: Node,
    clock: Clock,
    inputs: Receiver<Input>,
    handle: Handle,
    dial: D,
    post: Post<D>,
    metrics: Arc<Metrics>,
    seeds: Vec<SocketAddr>,
    waiting: Vec<(id::Request, Sender<Command>)>,
}

impl<D: Dial> Driver<D> {
    /// Prepares the driver of a node.
    #[must_use]
    pub fn new(
        node: Node,
        (handle, inputs): (Handle, Receiver<Input>),
        dial: D,
        post: Post<D>,
        metrics: Arc<Metrics>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let waiting = Vec::new();
        Self {
            node,
            clock: Clock::start(),
            inputs,
            handle,
            dial,
            post,
            metrics,
            seeds,
            waiting,
        }
    }

    /// Runs until the task is cancelled.
    pub async fn run(mut self) {
        let mut next_tick = Duration::ZERO;
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.event(now, Event::Tick);
            }
            if let Ok(Ok(input)) = timeout(next_tick.saturating_sub(now), self.inputs.recv()).await
            {
                self.input(input);
            }
        }
    }

    fn input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Event(event) => self.event(now, event),
            Input::Message(envelope, from) => {
                if self.comes_from_member(&envelope, from) {
                    self.event(now, Event::Message(envelope));
                }
            }
            Input::Submit(call, reply) => {
                let request = self.node.next_request_id();
                let (orders, receiver) = async_channel::bounded(ORDERS);
                // Ids grow, so the list stays sorted.
                self.waiting.push((request, orders));
                let _ = reply.try_send((request, receiver));
                log::info!(
                    "event=arrived request={request:016x} class={} organisation={} service={}",
                    call.class,
                    call.organisation,
                    call.service
                );
                self.event(now, Event::Arrive { request, call });
            }
            Input::Inspect(inspect) => inspect(&self.node, now),
        }
    }

    /// A member speaks from the address that the VM list gives; a starting node knows none.
    fn comes_from_member(&self, envelope: &Envelope, from: IpAddr) -> bool {
        let Some(member) = self.node.view().member(envelope.sender) else {
            return true;
        };
        member
            .peers
            .parse::<SocketAddr>()
            .is_ok_and(|address| address.ip() == from)
    }

    fn event(&mut self, now: Duration, event: Event) {
        let started = Instant::now();
        self.handle_event(now, event);
        let busy = started.elapsed().as_nanos() as u64;
        self.handle
            .shared
            .busy_ns
            .fetch_add(busy, Ordering::Relaxed);
    }

    fn handle_event(&mut self, now: Duration, event: Event) {
        let ends = matches!(event, Event::Ended { .. } | Event::Abandoned { .. });
        let actions = self.node.handle(now, event);
        let refuses = actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { .. } | Action::Replay { .. }));
        for action in actions {
            self.act(action);
        }
        if ends || refuses {
            self.drop_ended();
        }
        self.handle
            .shared
            .config_revision
            .store(self.node.config().revision(), Ordering::Relaxed);
        self.handle
            .shared
            .vm_list_revision
            .store(self.node.view().vm_list_revision(), Ordering::Relaxed);
    }

    /// Closes the order channels of requests that have ended, which ends their tasks.
    fn drop_ended(&mut self) {
        let flights = self.node.request_table().flights();
        self.waiting.retain(|(request, _)| {
            flights
                .binary_search_by_key(request, |flight| flight.request)
                .is_ok()
        });
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                endpoint,
            } => {
                let found = self
                    .node
                    .snapshot()
                    .and_then(|each| each.endpoint(endpoint))
                    .cloned();
                let Some(endpoint) = found else { return };
                log::info!(
                    "event=dispatched request={request:016x} attempt={attempt:016x} endpoint={} place={}",
                    endpoint.id,
                    endpoint.place
                );
                self.order(request, Command::Run { attempt, endpoint });
            }
            Action::Refuse { request, refusal } => {
                log::info!(
                    "event=refused request={request:016x} cause={} verdict={}",
                    refusal.cause,
                    refusal.verdict
                );
                self.order(request, Command::Refuse(refusal));
            }
            Action::Replay {
                request,
                status,
                body,
            } => {
                log::info!("event=replayed request={request:016x} status={status}");
                self.order(request, Command::Replay { status, body });
            }
            Action::Stop { attempt } => self.stop(attempt),
            Action::Send { to, body } => self.post.send(to, body),
            Action::SendToSeeds { body } => self.seek(&body),
            Action::Watch(watch) => self.handle.shared.watching.store(watch, Ordering::Relaxed),
            Action::Poll { endpoint } => self.poll(endpoint),
            Action::Adopted { revision } => {
                self.handle
                    .shared
                    .set_snapshot(self.node.snapshot().cloned());
                log::info!("event=config_adopted revision={revision}");
            }
            Action::Rejected { revision, errors } => {
                log::error!(
                    "event=config_rejected revision={revision} errors=\"{}\"",
                    errors.join("; ")
                );
            }
        }
    }

    fn order(&self, request: id::Request, order: Command) {
        let found = self
            .waiting
            .binary_search_by_key(&request, |(each, _)| *each);
        if let Ok(at) = found
            && self.waiting[at].1.try_send(order).is_err()
        {
            log::warn!("event=order_lost request={request:016x}");
        }
    }

    fn stop(&self, attempt: id::Attempt) {
        let flights = self.node.request_table().flights();
        if let Some(flight) = flights
            .iter()
            .find(|flight| flight.attempt() == Some(attempt))
        {
            self.order(flight.request, Command::Stop { attempt });
        }
    }

    fn seek(&self, body: &Body) {
        for &seed in &self.seeds {
            let to = Member {
                node: 0,
                place: String::new(),
                peers: String::new(),
                callers: seed.to_string(),
                leaving: false,
            };
            self.post.call(to, body.clone());
        }
    }

    fn poll(&self, number: id::Endpoint) {
        let found = self
            .node
            .snapshot()
            .and_then(|snapshot| snapshot.endpoint(number));
        let Some(endpoint) = found.cloned() else {
            return;
        };
        let (dial, handle) = (self.dial.clone(), self.handle.clone());
        let metrics = Arc::clone(&self.metrics);
        task::spawn(async move {
            match read_load(&dial, &endpoint).await {
                Ok((report, bytes)) => {
                    metrics.count_message("in", "load", bytes);
                    handle
                        .send(Event::Reported {
                            endpoint: number,
                            report,
                        })
                        .await;
                }
                Err(cause) => log::debug!("event=poll_failed endpoint={number} cause=\"{cause}\""),
            }
        });
    }
}

/// Reads an endpoint's load report and returns its size in bytes with it.
async fn read_load<D: Dial>(
    dial: &D,
    endpoint: &Endpoint,
) -> http_types::Result<(engine::Report, usize)> {
    /// Longest time for a report, which is worthless when it is old.
    const PATIENCE: Duration = Duration::from_millis(900);
    let address: SocketAddr = endpoint.address.parse()?;
    let broken = |cause| http_types::Error::new(http_types::StatusCode::BadGateway, cause);
    let stream = dial
        .connect(&endpoint.place, address)
        .await
        .map_err(broken)?;
    let request = http_types::Request::get(client::url(address, "/load")?);
    let mut response = client::send(stream, request, PATIENCE)
        .await
        .map_err(broken)?;
    let body = timeout(PATIENCE, response.body_bytes()).await??;
    Ok((serde_json::from_slice(&body)?, body.len()))
}
