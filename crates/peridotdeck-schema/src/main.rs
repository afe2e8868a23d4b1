//! Rewrites the generated types from the schemas.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let changed = peridotdeck_schema::write_all()?;
    println!("changed={changed}");
    Ok(())
}
