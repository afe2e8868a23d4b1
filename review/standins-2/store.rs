//! The platform's metadata store: range, watch, eras, and times without answers.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Received, Server, answer, free_address},
    record::Record,
};

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Change {
    key: String,
    value: Option<String>,
    revision: u64,
    at: Instant,
}

struct State {
    revision: u64,
    created: Vec<(String, u64)>,
    items: Vec<(String, String, u64)>,
    changes: Vec<Change>,
    forgotten: u64,
    silent: bool,
    era: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddrV4,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// What the store held at a moment.
pub struct Copy {
    revision: u64,
    items: Vec<(String, String, u64)>,
}

impl State {
    /// Forgets the changes that are older than the history.
    fn prune(&mut self) {
        while self.changes.first().is_some_and(|change| change.at.elapsed() > HISTORY) {
            self.forgotten = self.changes.remove(0).revision;
        }
    }
}

impl Store {
    pub fn start(record: &Record) -> Self {
        let state = State {
            revision: 100,
            created: Vec::new(),
            items: Vec::new(),
            changes: Vec::new(),
            forgotten: 0,
            silent: false,
            era: 1,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let own = Arc::clone(&state);
        let address = free_address(Ipv4Addr::LOCALHOST);
        let server = Server::start(address, move |request: &Received, stream: &mut TcpStream| {
            respond(&own, request, stream)
        });
        let server = server.expect("the store's port is free");
        let store = Self { address: server.address, state, record: record.clone() };
        std::mem::forget(server);
        store
    }

    fn change(&self, key: &str, value: Option<&str>) -> u64 {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().expect("held briefly");
        state.revision += 1;
        let revision = state.revision;
        state.items.retain(|(each, ..)| each != key);
        if let Some(value) = value {
            state.items.push((key.to_owned(), base64(value.as_bytes()), revision));
            state.items.sort();
            if !state.created.iter().any(|(each, _)| each == key) {
                state.created.push((key.to_owned(), revision));
            }
        }
        let value = value.map(|value| base64(value.as_bytes()));
        state.changes.push(Change { key: key.to_owned(), value, revision, at: Instant::now() });
        changed.notify_all();
        revision
    }

    /// Writes an item; returns the revision, which is the ack.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.change(key, Some(value));
        let shown: String = value.chars().take(160).collect();
        self.record.line(&format!("store: {key} written at revision {revision}: {shown}"));
        revision
    }

    pub fn remove(&self, key: &str) -> u64 {
        let revision = self.change(key, None);
        self.record.line(&format!("store: {key} removed at revision {revision}"));
        revision
    }

    /// Answers nothing while set; connections are accepted and stay open.
    pub fn set_silent(&self, silent: bool) {
        let (mutex, changed) = &*self.state;
        mutex.lock().expect("held briefly").silent = silent;
        changed.notify_all();
        self.record.line(&format!("store: silent={silent}"));
    }

    pub fn is_silent(&self) -> bool {
        self.state.0.lock().expect("held briefly").silent
    }

    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().expect("held briefly");
        Copy { revision: state.revision, items: state.items.clone() }
    }

    /// Comes back from a copy, in the next era.
    pub fn restore(&self, copy: &Copy) {
        let (mutex, changed) = &*self.state;
        let mut state = mutex.lock().expect("held briefly");
        state.revision = copy.revision;
        state.items.clone_from(&copy.items);
        state.changes.clear();
        state.forgotten = copy.revision;
        state.era += 1;
        let era = state.era;
        drop(state);
        changed.notify_all();
        self.record.line(&format!("store: restored from a copy, era {era}"));
    }
}

fn respond(shared: &(Mutex<State>, Condvar), request: &Received, stream: &mut TcpStream) -> bool {
    let target = request.head.word(1).to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let prefix = parameter(query, "pathPrefix");
    let after = parameter(query, "afterRev");
    let (mutex, changed) = shared;
    let mut state = mutex.lock().expect("held briefly");
    let body = if path == "/api/kv-range" {
        while state.silent {
            state = changed.wait(state).expect("held briefly");
            if !state.silent {
                // What was asked during the silence is never answered.
                return false;
            }
        }
        let items = state.items.iter().filter(|(key, ..)| {
            key.starts_with(&prefix) && key.as_str() > after.as_str()
        });
        let items: Vec<String> = items
            .map(|(key, value, revision)| {
                let created = state.created.iter().find(|(each, _)| each == key);
                let created = created.map_or(*revision, |(_, at)| *at);
                format!(r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#)
            })
            .collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"storeRevision":{}}}"#,
            items.join(","),
            state.revision
        )
    } else if path == "/api/kv-watch" {
        let after: u64 = after.parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            if state.silent {
                while state.silent {
                    state = changed.wait(state).expect("held briefly");
                }
                return false;
            }
            state.prune();
            if after < state.forgotten || after > state.revision {
                let era = state.era;
                drop(state);
                let field = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
                return answer(stream, 410, &field, b"{}");
            }
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.value {
                    Some(value) => format!(
                        r#"{{"key":"{}","value":"{value}","revision":{},"created":{},"lease":0}}"#,
                        change.key, change.revision, change.revision
                    ),
                    None => format!(
                        r#"{{"key":"{}","revision":{},"removed":true}}"#,
                        change.key, change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                break format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, until - now).expect("held briefly").0;
        }
    } else {
        drop(state);
        return answer(stream, 404, "", b"{}");
    };
    let era = state.era;
    drop(state);
    thread::sleep(Duration::from_millis(4));
    let fields = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
    answer(stream, 200, &fields, body.as_bytes())
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| value.replace("%2F", "/"))
}

/// Encodes bytes in the standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let number = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            if place <= three.len() {
                let sign = SIGNS[(number >> (18 - 6 * place) & 63) as usize];
                text.push(char::from(sign));
            } else {
                text.push('=');
            }
        }
    }
    text
}
