//! A test cluster of routers, fake endpoints and a fake platform, with functions that send requests.

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

/// API key of the organisation `matrah`, whose limits are too high to be reached.
pub const API_KEY: &str = "matrah-key";
/// Maximum wait for a response, and for a condition that a test polls.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Routers in one data centre, two services' endpoints and the fake platform.
pub struct Cluster {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub plains: Vec<Plain>,
    /// Runs of each idempotency key, shared by all plain endpoints.
    pub record: Record,
    pub routers: Vec<Router>,
    /// The routers, as the platform lists them to each other.
    pub members: Vec<Member>,
    /// The configuration in effect after the start; tests change it and publish it again.
    pub config: Config,
}

/// Returns the settings of an engine with short steps and a short prefill.
pub fn fast_engine() -> Setting {
    Setting {
        model: "wickmind".to_owned(),
        step_us: 500,
        prefill_us: 10,
        report_lag: 0,
        restart: 300,
        ..Setting::default()
    }
}

impl Cluster {
    /// Starts a cluster whose engines are configured with 8 slots each.
    ///
    /// Returns when all routers are ready and their schedulers may trust their slot counts.
    pub async fn start(engines: &[Setting], routers: usize) -> Self {
        Self::start_sized(engines, routers, 8).await
    }

    /// Starts a cluster whose engines are configured with `slots` slots each.
    pub async fn start_sized(engines: &[Setting], routers: usize, slots: u32) -> Self {
        let platform = Platform::start().await.unwrap();
        let record = Record::default();
        let mut cluster = Self {
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
                .unwrap_or_else(|_| empty_config()),
        };
        for setting in engines {
            cluster
                .engines
                .push(Engine::start(setting.clone()).await.unwrap());
        }
        for _ in 0..2 {
            cluster.plains.push(
                Plain::start(record.clone(), Duration::from_millis(5))
                    .await
                    .unwrap(),
            );
        }
        cluster.config = cluster.configure(slots);
        cluster.platform.publish(&split(&cluster.config));
        for node in 1..=routers as u32 {
            cluster.add_router(node).await;
        }
        cluster.platform.list(cluster.members.clone());
        cluster.wait_ready().await;
        cluster
    }

    /// Returns the configuration with the addresses of the endpoints started so far.
    fn configure(&self, slots: u32) -> Config {
        let mut model = Service::model("wickmind", "counter");
        for engine in &self.engines {
            model = model.sized_endpoint("a", &engine.address().to_string(), slots, slots / 2);
        }
        let mut orders =
            Service::plain("refill-desk", "stock-check").unrepeatable("/reorders", "reorder");
        for plain in &self.plains {
            orders = orders.sized_endpoint("a", &plain.address().to_string(), 32, 32);
        }
        Policy::new()
            .place("a", "north")
            .class(Class::interactive("counter", 0).first_token_ms(10_000))
            .class(Class::interactive("reorder", 0).whole_ms(20_000))
            .class(Class::interactive("stock-check", 1).whole_ms(20_000))
            .class(Class::bulk("draft", 4).whole_ms(600_000))
            .organisation(
                Organisation::named("matrah")
                    .key(API_KEY)
                    .rate(10_000, 10_000)
                    .concurrency(10_000),
            )
            .organisation(Organisation::named("tiny").key("tiny-key").rate(1, 1))
            .service(model)
            .service(orders)
            .build()
            .unwrap()
    }

    /// Starts a router and adds it to the members, without publishing them.
    pub async fn add_router(&mut self, node: u32) {
        let text = format!(
            "node = {node}\nplace = \"a\"\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             platform = [\"{}\"]\nbody_limit_kb = 64\nbody_timeout_ms = 500\nsilence_ms = 600\n\
             drain_s = 2\n",
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

    /// Waits until all routers are ready and see each other, then for the settle period.
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

    /// Returns the caller address of the first router.
    pub fn address(&self) -> SocketAddr {
        self.routers[0].address()
    }
}

/// Returns a configuration that stands in until the endpoints have addresses.
fn empty_config() -> Config {
    Config {
        classes: vec![],
        places: vec![],
        organisations: vec![],
        services: vec![],
    }
}

/// Returns a POST request with a JSON body and the key `API_KEY`.
pub fn post_request(address: SocketAddr, path: &str, body: &str) -> Request {
    let mut request = Request::new(Method::Post, client::url(address, path).unwrap());
    request.insert_header("authorization", format!("Bearer {API_KEY}"));
    request.set_body(body);
    request.set_content_type(mime::JSON);
    request
}

/// Returns a chat completion request with one message of the user.
pub fn chat_request(address: SocketAddr, prompt: &str, stream: bool) -> Request {
    let messages = json!([{"role": "user", "content": prompt}]);
    let body = json!({"model": "wickmind", "messages": messages, "stream": stream});
    post_request(address, "/v1/chat/completions", &body.to_string())
}

/// Sends a request and returns the response as soon as its head has arrived.
pub async fn send(address: SocketAddr, request: Request) -> Response {
    client::request(address, request, RESPONSE_TIMEOUT)
        .await
        .unwrap()
}

/// Reads the body as JSON.
pub async fn read_json(mut response: Response) -> Value {
    response.body_json().await.unwrap()
}

/// Sends a request that fails, and returns the status, the error code and the verdict.
pub async fn send_refused(address: SocketAddr, request: Request) -> (u16, String, String) {
    let response = send(address, request).await;
    let status = response.status().into();
    let body = read_json(response).await;
    let text = |key: &str| body["error"][key].as_str().unwrap_or_default().to_owned();
    (status, text("code"), text("verdict"))
}

/// Returns the text of a whole streamed response, or `None` if its end marker is missing.
pub async fn read_stream(mut response: Response) -> Option<String> {
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

/// Sends raw bytes and returns everything received until the connection closes.
///
/// With `finish`, the sending side is closed after the bytes.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], finish: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    if finish {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
