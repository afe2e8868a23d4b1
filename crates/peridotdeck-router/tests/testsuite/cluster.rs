//! A small site: stand-ins, one or more routers, and a caller.

use std::{net::SocketAddr, time::Duration};

use async_std::{net::TcpStream, prelude::*, task};
use http_types::{Method, Request, Response, mime};
use peridotdeck_core::Strategy;
use peridotdeck_fake::{Engine, Plain, Platform, engine::Setting, plain::Record};
use peridotdeck_http::client;
use peridotdeck_policy::{Class, Config, Organisation, Policy, Service, split};
use peridotdeck_router::{
    Direct, Router,
    router::{Options, Sockets},
};
use peridotdeck_wire::Member;
use serde_json::{Value, json};

pub const KEY: &str = "matrah-key";
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Site {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub plains: Vec<Plain>,
    pub record: Record,
    pub routers: Vec<Router>,
    pub members: Vec<Member>,
    pub config: Config,
}

pub fn fast() -> Setting {
    Setting {
        model: "wickmind".to_owned(),
        step_us: 500,
        prefill_us: 10,
        report_lag: 0,
        restart: 300,
        ..Setting::default()
    }
}

impl Site {
    pub async fn start(engines: &[Setting], routers: usize) -> Self {
        Self::start_sized(engines, routers, 8).await
    }

    /// Starts a site whose engines are configured with a number of slots.
    pub async fn start_sized(engines: &[Setting], routers: usize, slots: u32) -> Self {
        let platform = Platform::start().await.unwrap();
        let record = Record::default();
        let mut site = Self {
            platform,
            engines: Vec::new(),
            plains: Vec::new(),
            record: record.clone(),
            routers: Vec::new(),
            members: Vec::new(),
            config: Policy::new()
                .clone()
                .place("a", "north")
                .build()
                .unwrap_or_else(|_| empty()),
        };
        for setting in engines {
            site.engines
                .push(Engine::start(setting.clone()).await.unwrap());
        }
        for _ in 0..2 {
            site.plains.push(
                Plain::start(record.clone(), Duration::from_millis(5))
                    .await
                    .unwrap(),
            );
        }
        site.config = site.configure(slots);
        site.platform.publish(&split(&site.config));
        for node in 1..=routers as u32 {
            site.add_router(node).await;
        }
        site.platform.list(site.members.clone());
        site.wait_ready().await;
        site
    }

    fn configure(&self, slots: u32) -> Config {
        let mut model = Service::model("wickmind", "counter");
        for engine in &self.engines {
            model = model.sized_endpoint("a", &engine.address().to_string(), slots, slots / 2);
        }
        let mut desk =
            Service::plain("refill-desk", "stock-check").unrepeatable("/reorders", "reorder");
        for plain in &self.plains {
            desk = desk.sized_endpoint("a", &plain.address().to_string(), 32, 32);
        }
        Policy::new()
            .place("a", "north")
            .class(Class::interactive("counter", 0).first_token_ms(10_000))
            .class(Class::interactive("reorder", 0).whole_ms(20_000))
            .class(Class::interactive("stock-check", 1).whole_ms(20_000))
            .class(Class::bulk("draft", 4).whole_ms(600_000))
            .organisation(
                Organisation::named("matrah")
                    .key(KEY)
                    .rate(10_000, 10_000)
                    .concurrency(10_000),
            )
            .organisation(Organisation::named("tiny").key("tiny-key").rate(1, 1))
            .service(model)
            .service(desk)
            .build()
            .unwrap()
    }

    pub async fn add_router(&mut self, node: u32) {
        let text = format!(
            "node = {node}\nplace = \"a\"\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             platform = [\"{}\"]\nbody_limit_kb = 64\nbody_timeout_ms = 500\nsilence_ms = 600\n",
            self.platform.address()
        );
        let settings = peridotdeck_settings::parse(&text, "test").unwrap();
        let sockets = Sockets::bind(&settings).await.unwrap();
        let peers = sockets.peers().unwrap().to_string();
        let options = Options {
            dial: Direct,
            strategy: Strategy::Deadline,
            seed: node.into(),
            incarnation: 1,
        };
        let router = Router::start(settings, sockets, options).await.unwrap();
        let callers = router.address().to_string();
        self.members.push(Member {
            node,
            place: "a".to_owned(),
            peers,
            callers,
            leaving: false,
        });
        self.routers.push(router);
    }

    async fn wait_ready(&self) {
        let count = self.routers.len();
        for router in &self.routers {
            loop {
                let ready = router.handle().inspect(move |node, _| {
                    node.is_ready()
                        && node.view().live_count() == count
                        && node.witness().is_ready()
                });
                if ready.await == Some(true) {
                    break;
                }
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        task::sleep(peridotdeck_core::pool::SETTLE_PERIOD).await;
    }

    pub fn address(&self) -> SocketAddr {
        self.routers[0].address()
    }
}

fn empty() -> Config {
    Config {
        classes: vec![],
        places: vec![],
        organisations: vec![],
        services: vec![],
    }
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> Request {
    let mut request = Request::new(Method::Post, client::url(address, path).unwrap());
    request.insert_header("authorization", format!("Bearer {KEY}"));
    request.set_body(body);
    request.set_content_type(mime::JSON);
    request
}

pub fn chat(address: SocketAddr, prompt: &str, stream: bool) -> Request {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body = json!({"model": "wickmind", "messages": messages, "stream": stream});
    post(address, "/v1/chat/completions", &body.to_string())
}

pub async fn send(address: SocketAddr, request: Request) -> Response {
    client::request(address, request, PATIENCE).await.unwrap()
}

pub async fn value(mut response: Response) -> Value {
    response.body_json().await.unwrap()
}

pub async fn error(address: SocketAddr, request: Request) -> (u16, String, String) {
    let response = send(address, request).await;
    let status = response.status().into();
    let body = value(response).await;
    let text = |key: &str| body["error"][key].as_str().unwrap_or_default().to_owned();
    (status, text("code"), text("verdict"))
}

/// Text of a whole streamed answer, or none if its end marker is missing.
pub async fn streamed(mut response: Response) -> Option<String> {
    let body = response.body_string().await.ok()?;
    let mut text = String::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Some(text);
        }
        let chunk: Value = serde_json::from_str(line).ok()?;
        text.push_str(
            chunk["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    None
}

/// Sends bytes as they are and returns what comes back until the connection closes.
pub async fn raw(address: SocketAddr, bytes: &[u8], finish: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    if finish {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
