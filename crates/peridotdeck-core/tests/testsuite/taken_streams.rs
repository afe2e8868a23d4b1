//! Streams that are begun, and taken up by their callers after a start.

use crate::world::World;

/// Number of streams that are begun in each play.
const STREAMS: u64 = 60;

/// Streams of one play: begun, gone on, and gone on at another version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub begun: usize,
    pub going: usize,
    pub mixed: usize,
}

/// Begins a stream of each session, and returns the versions.
pub fn begin(world: &mut World, name: &str) -> Vec<String> {
    let nodes = world.nodes.len() as u64;
    let versions = (0..STREAMS).map(|session| {
        let node = (session % nodes) as usize;
        world.stream_of(node, &format!("{name}{session}"), None, Some(session))
    });
    versions.map(|version| version.expect("begun")).collect()
}

impl Counts {
    /// Takes up the stream of one session, and counts it.
    pub fn take_up(&mut self, world: &mut World, session: usize, version: &str) {
        let (id, began) = (format!("taken{session}"), format!("begun{session}"));
        let node = (session * 5 + 1) % world.nodes.len();
        let went_on = world.stream_of(node, &id, Some(&began), Some(session as u64));
        self.begun += 1;
        self.going += usize::from(went_on.is_some());
        self.mixed += usize::from(went_on.is_some_and(|other| other != version));
    }
}

/// Takes all streams up, and counts those of one version.
pub fn take_up(world: &mut World, versions: &[String], of: &str) -> Counts {
    let mut counts = Counts::default();
    for (session, version) in versions.iter().enumerate() {
        if version == of {
            counts.take_up(world, session, version);
        }
    }
    println!("{} nodes: {of} {counts:?}", world.nodes.len());
    counts
}
