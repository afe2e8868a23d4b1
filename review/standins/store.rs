//! The platform's store: `kv-range` and `kv-watch` over what the operator and the engines wrote.

use std::{
    io::{BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, read_request},
    util::base64,
};

/// Key, value and revision; a removed entry has no value.
type Entry = (String, Option<String>, u64);

/// Replaces text in the values that one caller reads, for a proxy in front of an engine.
type View = Vec<(String, String)>;

#[derive(Default)]
struct State {
    revision: u64,
    entries: Vec<Entry>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn put(&self, key: &str, value: &str) {
        self.edit(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.edit(key, None);
    }

    fn edit(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("held briefly");
        state.revision = state.revision.max(100) + 1;
        let revision = state.revision;
        state.entries.retain(|(each, ..)| each != key);
        state.entries.push((key.to_owned(), value, revision));
        state.entries.sort();
        changed.notify_all();
    }

    /// Serves the store at a new address, with a view of its own.
    pub fn serve(&self, view: View) -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (own, view) = (self.clone(), Arc::new(view));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, view) = (own.clone(), Arc::clone(&view));
                thread::spawn(move || own.answer_all(&stream, &view));
            }
        });
        address
    }

    fn answer_all(&self, stream: &TcpStream, view: &View) {
        let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
        while let Some(request) = read_request(&mut reader) {
            let body = match request.path() {
                "/api/kv-range" => self.range(&request, view),
                "/api/kv-watch" => self.watch(&request, view),
                _ => "{}".to_owned(),
            };
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let mut writer = stream;
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, request: &Request, view: &View) -> String {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let state = self.shared.0.lock().expect("held briefly");
        let live = state.entries.iter().filter(|entry| entry.1.is_some());
        let items: Vec<String> = live
            .filter(|entry| entry.0.starts_with(prefix))
            .map(|entry| item(entry, view))
            .collect();
        format!(
            r#"{{"items":[{}],"hasMore":false,"storeRevision":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, request: &Request, view: &View) -> String {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after: u64 = number("afterRev").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().expect("held briefly");
        loop {
            let under = state
                .entries
                .iter()
                .filter(|entry| entry.0.starts_with(prefix));
            let events: Vec<String> = under
                .filter(|entry| entry.2 > after)
                .map(|entry| item(entry, view))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).expect("held briefly").0;
        }
    }
}

fn item((key, value, revision): &Entry, view: &View) -> String {
    let Some(value) = value else {
        return format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#);
    };
    let mut value = value.clone();
    for (from, to) in view {
        value = value.replace(from, to);
    }
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{revision},"created":101,"lease":0}}"#,
        base64(value.as_bytes())
    )
}
