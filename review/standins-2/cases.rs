//! The cases.

mod alone;
mod bigger;
mod crowd;
mod deadly;
mod limits;
mod moved;
mod renewed;

use crate::record::Record;

/// Runs a case; returns whether its rule held.
pub fn run(name: &str, trouble: bool, record: &Record) -> Result<bool, String> {
    match name {
        "alone" => alone::run(trouble, record),
        "bigger" => bigger::run(trouble, record),
        "crowd" => crowd::run(trouble, record),
        "deadly" => deadly::run(trouble, record),
        "limits" => limits::run(trouble, record),
        "moved" => moved::run(trouble, record),
        "renewed" => renewed::run(trouble, record),
        _ => Err(format!("there is no case {name}")),
    }
}
