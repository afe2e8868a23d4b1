//! Regenerates the types from the schemas and prints how many files changed.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let changed = peridotdeck_schema::write_all()?;
    println!("changed={changed}");
    Ok(())
}
