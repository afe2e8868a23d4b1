//! Path delays and cuts between data centres, which loopback does not have.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_std::{net::TcpStream, task};
use peridotdeck_http::client;
use peridotdeck_router::Dial;

use crate::experiment::Experiment;

#[derive(Debug)]
struct Map {
    regions: Vec<(String, String)>,
    region: Duration,
    remote: Duration,
    cut: Mutex<Vec<String>>,
}

/// All paths of an experiment.
#[derive(Clone, Debug)]
pub struct Paths {
    map: Arc<Map>,
}

/// The paths as one data centre sees them.
#[derive(Clone, Debug)]
pub struct From {
    place: String,
    map: Arc<Map>,
}

impl Paths {
    /// Reads the paths of an experiment.
    #[must_use]
    pub fn new(experiment: &Experiment) -> Self {
        let regions = experiment.places.iter();
        let map = Map {
            regions: regions
                .map(|place| (place.name.clone(), place.region.clone()))
                .collect(),
            region: Duration::from_millis(experiment.paths.region_ms),
            remote: Duration::from_millis(experiment.paths.remote_ms),
            cut: Mutex::default(),
        };
        Self { map: Arc::new(map) }
    }

    /// Returns the paths as seen from a data centre.
    #[must_use]
    pub fn from(&self, place: &str) -> From {
        From {
            place: place.to_owned(),
            map: Arc::clone(&self.map),
        }
    }

    /// Cuts a data centre off from the others and from the platform.
    pub fn cut(&self, place: &str) {
        self.map
            .cut
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(place.to_owned());
    }

    /// Restores all paths.
    pub fn heal(&self) {
        self.map
            .cut
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl Map {
    /// One-way delay between two data centres, or none if they are cut off from each other.
    fn delay(&self, from: &str, to: &str) -> Option<Duration> {
        if from == to {
            return Some(Duration::ZERO);
        }
        let cut = self.cut.lock().unwrap_or_else(PoisonError::into_inner);
        if cut.iter().any(|place| place == from || place == to) {
            return None;
        }
        let region = |name: &str| {
            self.regions
                .iter()
                .find(|(each, _)| each == name)
                .map(|(_, region)| region)
        };
        Some(if region(from) == region(to) {
            self.region
        } else {
            self.remote
        })
    }
}

impl Dial for From {
    async fn connect(&self, place: &str, address: SocketAddr) -> Result<TcpStream, client::Error> {
        let Some(delay) = self.map.delay(&self.place, place) else {
            task::sleep(client::CONNECT_TIMEOUT).await;
            let cause = io::Error::new(io::ErrorKind::TimedOut, "the path is cut");
            return Err(client::Error::Unreachable(cause));
        };
        // One round trip opens the connection and another carries request and first answer.
        task::sleep(delay * 4).await;
        client::connect(address).await
    }

    fn datagram_delay(&self, place: &str) -> Option<Duration> {
        self.map.delay(&self.place, place)
    }

    fn reaches_platform(&self) -> bool {
        let cut = self.map.cut.lock().unwrap_or_else(PoisonError::into_inner);
        !cut.contains(&self.place)
    }
}
