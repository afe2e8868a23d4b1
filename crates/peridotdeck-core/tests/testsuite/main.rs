//! Tests of the decision core: single mechanisms, and simulated clusters whose messages are delayed,
//! dropped, duplicated and reordered.

mod attempt_ends;
mod brittle_endpoints;
mod claims;
mod common_restarts;
mod config;
mod crashing_parts;
mod cut_nodes;
mod departures;
mod dispatch;
mod fairness;
mod fleet_beats;
mod handover;
mod membership;
mod named_rates;
mod numbering;
mod odd_facts;
mod odd_messages;
mod older_bytes;
mod out_of_step;
mod overload_waits;
mod poison;
mod preemption;
mod prefix_index;
mod prompt_placement;
mod queued_prompts;
mod random;
mod random_dispatch;
mod recovery;
mod restored_publisher;
mod roster_lapse;
mod shared_bounds;
mod simulation;
mod software_versions;
mod stream_pauses;
mod world;
