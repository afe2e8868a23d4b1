//! The task that owns the decision core.
//!
//! All inputs arrive over one channel, so the core needs no lock and handles one event at a time.
//! Tokens do not pass through the driver: each request's own task relays them and reports only the
//! end of an attempt.

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
    peers,
};

/// Commands that may wait for the task of one request.
const MAX_QUEUED_COMMANDS: usize = 8;

/// The decision core, with the network and channels that carry out its actions.
#[derive(Debug)]
pub struct Driver<D> {
    node: Node,
    clock: Clock,
    inputs: Receiver<Input>,
    handle: Handle,
    dial: D,
    peers: peers::Sender<D>,
    metrics: Arc<Metrics>,
    seeds: Vec<SocketAddr>,
    commands: Vec<(id::Request, Sender<Command>)>,
}

impl<D: Dial> Driver<D> {
    /// Creates the driver of a node.
    #[must_use]
    pub fn new(
        node: Node,
        (handle, inputs): (Handle, Receiver<Input>),
        dial: D,
        peers: peers::Sender<D>,
        metrics: Arc<Metrics>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let commands = Vec::new();
        Self {
            node,
            clock: Clock::start(),
            inputs,
            handle,
            dial,
            peers,
            metrics,
            seeds,
            commands,
        }
    }

    /// Handles inputs and ticks until the task is cancelled.
    pub async fn run(mut self) {
        let mut next_tick = Duration::ZERO;
        loop {
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.handle_event(now, Event::Tick);
            }
            if let Ok(Ok(input)) = timeout(next_tick.saturating_sub(now), self.inputs.recv()).await
            {
                self.handle_input(input);
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Event(event) => self.handle_event(now, event),
            Input::Message(envelope, from) => {
                if self.comes_from_member(&envelope, from) {
                    self.handle_event(now, Event::Message(envelope));
                }
            }
            Input::Submit(call, reply) => {
                let request = self.node.next_request_id();
                let (sender, receiver) = async_channel::bounded(MAX_QUEUED_COMMANDS);
                // Ids grow, so the list stays sorted for the binary search.
                self.commands.push((request, sender));
                let _ = reply.try_send((request, receiver));
                log::info!(
                    "event=arrived request={request:016x} class={} organisation={} service={}",
                    call.class,
                    call.organisation,
                    call.service
                );
                self.handle_event(now, Event::Arrive { request, call });
            }
            Input::Inspect(inspect) => inspect(&self.node, now),
        }
    }

    /// Returns whether a message comes from the address of its sender in the VM list.
    ///
    /// Returns true if the list does not name the sender: a starting node has no list yet.
    fn comes_from_member(&self, envelope: &Envelope, from: IpAddr) -> bool {
        let Some(member) = self.node.view().member(envelope.sender) else {
            return true;
        };
        member
            .peers
            .parse::<SocketAddr>()
            .is_ok_and(|address| address.ip() == from)
    }

    /// Handles an event and adds the time that it takes to the published total.
    fn handle_event(&mut self, now: Duration, event: Event) {
        let started = Instant::now();
        self.apply_event(now, event);
        let busy = started.elapsed().as_nanos() as u64;
        self.handle
            .shared
            .busy_ns
            .fetch_add(busy, Ordering::Relaxed);
    }

    fn apply_event(&mut self, now: Duration, event: Event) {
        let ends = matches!(event, Event::Ended { .. } | Event::Abandoned { .. });
        let actions = self.node.handle(now, event);
        let refuses = actions
            .iter()
            .any(|action| matches!(action, Action::Refuse { .. } | Action::Replay { .. }));
        for action in actions {
            self.execute(action);
        }
        if ends || refuses {
            self.close_ended_channels();
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

    /// Closes the command channels of requests that have ended, which ends their tasks.
    fn close_ended_channels(&mut self) {
        let flights = self.node.request_table().flights();
        self.commands.retain(|(request, _)| {
            flights
                .binary_search_by_key(request, |flight| flight.request)
                .is_ok()
        });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Dispatch {
                request,
                attempt,
                endpoint,
            } => {
                let found = self
                    .node
                    .snapshot()
                    .and_then(|snapshot| snapshot.endpoint(endpoint))
                    .cloned();
                let Some(endpoint) = found else { return };
                log::info!(
                    "event=dispatched request={request:016x} attempt={attempt:016x} endpoint={} place={}",
                    endpoint.id,
                    endpoint.place
                );
                self.send_command(request, Command::Run { attempt, endpoint });
            }
            Action::Refuse { request, refusal } => {
                log::info!(
                    "event=refused request={request:016x} cause={} verdict={}",
                    refusal.cause,
                    refusal.verdict
                );
                self.send_command(request, Command::Refuse(refusal));
            }
            Action::Replay {
                request,
                status,
                body,
            } => {
                log::info!("event=replayed request={request:016x} status={status}");
                self.send_command(request, Command::Replay { status, body });
            }
            Action::Stop { attempt } => self.stop_attempt(attempt),
            Action::Send { to, body } => self.peers.send(to, body),
            Action::SendToSeeds { body } => self.send_to_seeds(&body),
            Action::Watch(watch) => self.handle.shared.watching.store(watch, Ordering::Relaxed),
            Action::Poll { endpoint } => self.poll_load(endpoint),
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

    fn send_command(&self, request: id::Request, command: Command) {
        let found = self.commands.binary_search_by_key(&request, |(id, _)| *id);
        if let Ok(index) = found
            && self.commands[index].1.try_send(command).is_err()
        {
            log::warn!("event=order_lost request={request:016x}");
        }
    }

    fn stop_attempt(&self, attempt: id::Attempt) {
        let flights = self.node.request_table().flights();
        if let Some(flight) = flights
            .iter()
            .find(|flight| flight.attempt() == Some(attempt))
        {
            self.send_command(flight.request, Command::Stop { attempt });
        }
    }

    /// Sends a message to the seeds by JSON-RPC, since only their callers' addresses are known.
    fn send_to_seeds(&self, body: &Body) {
        for &seed in &self.seeds {
            let to = Member {
                node: 0,
                place: String::new(),
                peers: String::new(),
                callers: seed.to_string(),
                leaving: false,
            };
            self.peers.send_by_rpc(to, body.clone());
        }
    }

    /// Starts a task that fetches an endpoint's load report and sends it to the driver.
    fn poll_load(&self, id: id::Endpoint) {
        let found = self
            .node
            .snapshot()
            .and_then(|snapshot| snapshot.endpoint(id));
        let Some(endpoint) = found.cloned() else {
            return;
        };
        let (dial, handle) = (self.dial.clone(), self.handle.clone());
        let metrics = Arc::clone(&self.metrics);
        task::spawn(async move {
            match fetch_load(&dial, &endpoint).await {
                Ok((report, bytes)) => {
                    metrics.count_message("in", "load", bytes);
                    handle
                        .send(Event::Reported {
                            endpoint: id,
                            report,
                        })
                        .await;
                }
                Err(cause) => log::debug!("event=poll_failed endpoint={id} cause=\"{cause}\""),
            }
        });
    }
}

/// Fetches an endpoint's load report and returns it with its size in bytes.
async fn fetch_load<D: Dial>(
    dial: &D,
    endpoint: &Endpoint,
) -> http_types::Result<(engine::Report, usize)> {
    /// Longest wait for the response head, and for the body; an old report is worthless.
    const TIMEOUT: Duration = Duration::from_millis(900);
    /// Longest report in bytes.
    const MAX_BYTES: usize = 64 << 10;
    let address: SocketAddr = endpoint.address.parse()?;
    let bad_gateway = |cause| http_types::Error::new(http_types::StatusCode::BadGateway, cause);
    let stream = dial
        .connect(&endpoint.place, address)
        .await
        .map_err(bad_gateway)?;
    let request = http_types::Request::get(client::url(address, "/load")?);
    let mut response = client::send(stream, request, TIMEOUT)
        .await
        .map_err(bad_gateway)?;
    let body = timeout(TIMEOUT, client::read_body(&mut response, MAX_BYTES)).await??;
    Ok((serde_json::from_slice(&body)?, body.len()))
}
