//! Tests of routers against fake endpoints and a fake platform, over sockets on loopback.

mod callers;
mod cluster;
mod cut_answers;
mod endless_answers;
mod fleet;
mod http_limits;
mod joined_streams;
mod late_callers;
mod late_requests;
mod operators;
mod passed_answers;
#[expect(dead_code, reason = "the tests of memory use the rest")]
mod process;
mod second_refusals;
mod sound_streams;
mod streams;
