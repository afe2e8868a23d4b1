//! The experiment file.

use std::{fs, io, path::Path};

use peridotdeck_fake::{engine, plain};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

quick_error! {
    /// Why an experiment cannot be read.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: String, cause: io::Error) {
            display("{file}: {cause}")
            source(cause)
        }
        /// The text is not valid TOML, or a key is unknown or of the wrong type.
        Syntax(file: String, cause: toml::de::Error) {
            display("{file}: {cause}")
            source(cause)
        }
        /// A name refers to nothing, or a number is out of range.
        Value(file: String, what: String) {
            display("{file}: {what}")
        }
    }
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of arrivals, sizes and stand-ins.
    pub seed: u64,
    /// Time in seconds for which requests arrive.
    pub seconds: u64,
    /// Longest time in seconds to wait for answers afterwards.
    pub tail_seconds: u64,
    /// Data centres.
    pub places: Vec<Place>,
    /// Path delays.
    #[serde(default)]
    pub paths: Paths,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Customers.
    pub organisations: Vec<Organisation>,
    /// Model services.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services.
    #[serde(default)]
    pub plains: Vec<Plain>,
    /// Streams of requests.
    pub loads: Vec<Load>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Routers that stand in it.
    pub routers: u32,
}

/// One-way path delays in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Paths {
    /// Between data centres of one region.
    pub region_ms: u64,
    /// Between regions.
    pub remote_ms: u64,
}

impl Default for Paths {
    fn default() -> Self {
        Self {
            region_ms: 1,
            remote_ms: 20,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name.
    pub name: String,
    /// Urgency from 0.
    pub tier: u8,
    /// Whether it may wait and be preempted.
    #[serde(default)]
    pub bulk: bool,
    /// Target in milliseconds for the first token; 0 sets none.
    #[serde(default)]
    pub first_token_ms: u32,
    /// Target in milliseconds for the mean gap between tokens; 0 sets none.
    #[serde(default)]
    pub token_gap_ms: u32,
    /// Target in milliseconds for the whole answer; 0 sets none.
    #[serde(default)]
    pub whole_ms: u32,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name.
    pub name: String,
    /// Part of the load relative to other customers.
    pub load: f64,
    /// Requests a second that it may send.
    pub requests_per_second: u32,
}

/// A model service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Class of requests that name none.
    pub class: String,
    /// Behaviour of each engine.
    #[serde(default)]
    pub engine: engine::Setting,
    /// Data centre of each engine.
    pub places: Vec<String>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plain {
    /// Name.
    pub name: String,
    /// Class of calls that match no route.
    pub class: String,
    /// Time in milliseconds that a call takes.
    pub delay_ms: u64,
    /// Calls that an endpoint takes at one time.
    pub slots: u32,
    /// Data centre of each endpoint.
    pub places: Vec<String>,
    /// Routes.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Path prefix.
    pub prefix: String,
    /// Class of the calls.
    pub class: String,
    /// Whether running a call twice is harmless.
    pub repeatable: bool,
}

/// A stream of requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Class.
    pub class: String,
    /// Service.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// Least output in tokens; for models.
    #[serde(default)]
    pub tokens_min: u32,
    /// Most output in tokens; small answers are more frequent.
    #[serde(default)]
    pub tokens_max: u32,
    /// Prompt size in tokens.
    #[serde(default)]
    pub prompt: u32,
    /// Whether answers are streamed.
    #[serde(default)]
    pub stream: bool,
    /// Path of a plain service's call.
    #[serde(default)]
    pub path: String,
    /// Whether a call carries an idempotency key and must run at most once.
    #[serde(default)]
    pub once: bool,
    /// Part of the calls with a key that their callers send twice at the same time, to two routers.
    #[serde(default)]
    pub twice: f64,
    /// Times with another rate.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// A time with another rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start in seconds.
    pub from: f64,
    /// End in seconds.
    pub to: f64,
    /// Rate as a multiple of the normal one.
    pub factor: f64,
}

/// A fault at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time in seconds after the start.
    pub at: f64,
    /// What happens.
    pub kind: Kind,
}

/// What happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// Something happens to an engine, counted from 0 over all models.
    Engine {
        /// Which engine.
        index: usize,
        /// What happens.
        fault: engine::Fault,
    },
    /// Something happens to the next call of a plain endpoint, counted from 0 over all services.
    Plain {
        /// Which endpoint.
        index: usize,
        /// What happens.
        fault: plain::Fault,
    },
    /// Operators take a data centre out.
    PlaceOut(String),
    /// Operators bring a data centre back.
    PlaceBack(String),
    /// A router dies.
    RouterKill(usize),
    /// A router stands still for some seconds and wakes.
    RouterPause {
        /// Which router, counted from 0.
        index: usize,
        /// How long, in seconds.
        seconds: f64,
    },
    /// A router shuts down gracefully and a new one takes its place.
    RouterReplace(usize),
    /// A data centre is cut off from the others and from the platform.
    Cut(String),
    /// All paths work again.
    Heal,
    /// The configuration service stops answering.
    PlatformDown,
    /// The configuration service answers again.
    PlatformUp,
    /// A caller sends a request that crashes engines, again and again.
    Deadly {
        /// Model.
        service: String,
        /// How often it is sent.
        times: u32,
    },
}

/// Reads and checks an experiment.
///
/// A file may name another one as its `base`, relative to itself; its own keys replace the base's.
///
/// # Errors
/// Says what is wrong in which file.
pub fn load(path: &Path) -> Result<Experiment, Error> {
    let file = path.display().to_string();
    let syntax = |cause| Error::Syntax(file.clone(), cause);
    let mut table = read_table(path)?;
    if let Some(base) = table.remove("base") {
        let name = base.as_str().unwrap_or_default();
        let mut merged = read_table(&path.with_file_name(name))?;
        merged.extend(table);
        table = merged;
    }
    let experiment = table.try_into().map_err(syntax)?;
    check(&experiment).map_err(|what| Error::Value(file, what))?;
    Ok(experiment)
}

fn read_table(path: &Path) -> Result<toml::Table, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(file.clone(), cause))?;
    toml::from_str(&text).map_err(|cause| Error::Syntax(file, cause))
}

/// Checks an experiment's text; `file` names it in errors.
///
/// # Errors
/// Says what is wrong in which file.
pub fn parse(text: &str, file: &str) -> Result<Experiment, Error> {
    let experiment: Experiment =
        toml::from_str(text).map_err(|cause| Error::Syntax(file.to_owned(), cause))?;
    check(&experiment).map_err(|what| Error::Value(file.to_owned(), what))?;
    Ok(experiment)
}

fn check(experiment: &Experiment) -> Result<(), String> {
    let classes: Vec<&str> = experiment
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let models = experiment.models.iter().map(|model| model.name.as_str());
    let services: Vec<&str> = models
        .chain(experiment.plains.iter().map(|plain| plain.name.as_str()))
        .collect();
    for load in &experiment.loads {
        if !classes.contains(&load.class.as_str()) {
            return Err(format!("a load names unknown class \"{}\"", load.class));
        }
        if !services.contains(&load.service.as_str()) {
            return Err(format!("a load names unknown service \"{}\"", load.service));
        }
        if !(load.rate > 0.0 && load.rate <= 10_000.0) {
            return Err(format!(
                "rate of class \"{}\" must be above 0 and at most 10000",
                load.class
            ));
        }
        if load.tokens_min > load.tokens_max {
            return Err(format!(
                "tokens_min of class \"{}\" exceeds tokens_max",
                load.class
            ));
        }
    }
    let engines: usize = experiment
        .models
        .iter()
        .map(|model| model.places.len())
        .sum();
    let plains: usize = experiment
        .plains
        .iter()
        .map(|plain| plain.places.len())
        .sum();
    let routers: u32 = experiment.places.iter().map(|place| place.routers).sum();
    for fault in &experiment.faults {
        let (kind, index, count) = match &fault.kind {
            Kind::Engine { index, .. } => ("engine", *index, engines),
            Kind::Plain { index, .. } => ("plain endpoint", *index, plains),
            Kind::RouterKill(index)
            | Kind::RouterPause { index, .. }
            | Kind::RouterReplace(index) => ("router", *index, routers as usize),
            _ => continue,
        };
        if index >= count {
            return Err(format!(
                "a fault names {kind} {index}, but there are {count}"
            ));
        }
    }
    if experiment.places.iter().all(|place| place.routers == 0) {
        return Err("no place has a router".to_owned());
    }
    Ok(())
}
