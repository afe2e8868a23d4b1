//! Reads and checks a settings file.

use std::{fs, io, net::SocketAddr, ops::RangeInclusive, path::Path};

use quick_error::quick_error;

use crate::Settings;

quick_error! {
    /// Why a settings file was rejected.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(file: String, cause: io::Error) {
            display("{file}: {cause}; name a readable file")
            source(cause)
        }
        /// The file is not valid TOML, or a key is unknown, missing or of the wrong type.
        Syntax(file: String, cause: toml::de::Error) {
            display("{file}: {}", cause.to_string().trim_end())
            source(cause)
        }
        /// A number is outside its range.
        Range(file: String, key: &'static str, value: u32, range: RangeInclusive<u32>) {
            display("{file}: {key} = {value}: choose a value from {} to {}", range.start(), range.end())
        }
        /// A value is not an IP address with a port.
        Address(file: String, key: &'static str, value: String) {
            display("{file}: {key} = \"{value}\": write an IP address and a port, such as \"127.0.0.1:8080\"")
        }
        /// A value is empty or not one of the allowed values.
        Value(file: String, key: &'static str, remedy: &'static str) {
            display("{file}: {key}: {remedy}")
        }
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// Fails on an unreadable or invalid file.
/// The error names the file, the faulty key and the remedy.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|cause| Error::Read(file.clone(), cause))?;
    parse(&text, &file)
}

/// Parses and checks the text of a settings file; errors name it as `file`.
///
/// # Errors
/// Fails on invalid text; the error names the file, the faulty key and the remedy.
pub fn parse(text: &str, file: &str) -> Result<Settings, Error> {
    let settings: Settings =
        toml::from_str(text).map_err(|cause| Error::Syntax(file.to_owned(), cause))?;
    check_ranges(&settings, file)?;
    check_addresses(&settings, file)?;
    check_strings(&settings, file)?;
    Ok(settings)
}

fn check_ranges(settings: &Settings, file: &str) -> Result<(), Error> {
    let ranges = [
        ("body_limit_kb", settings.body_limit_kb, 1..=65_536),
        ("body_timeout_ms", settings.body_timeout_ms, 100..=120_000),
        ("silence_ms", settings.silence_ms, 100..=600_000),
        ("drain_s", settings.drain_s, 1..=86_400),
        ("memory_mb", settings.memory_mb, 64..=65_536),
        ("open_connections", settings.open_connections, 16..=65_536),
    ];
    for (key, value, range) in ranges {
        if !range.contains(&value) {
            return Err(Error::Range(file.to_owned(), key, value, range));
        }
    }
    Ok(())
}

fn check_addresses(settings: &Settings, file: &str) -> Result<(), Error> {
    let listening = [("callers", &settings.callers), ("peers", &settings.peers)];
    let platform = settings.platform.iter().map(|value| ("platform", value));
    for (key, value) in listening.into_iter().chain(platform) {
        if value.parse::<SocketAddr>().is_err() {
            return Err(Error::Address(file.to_owned(), key, value.clone()));
        }
    }
    Ok(())
}

fn check_strings(settings: &Settings, file: &str) -> Result<(), Error> {
    let invalid = |key, remedy| Err(Error::Value(file.to_owned(), key, remedy));
    if settings.platform.is_empty() {
        return invalid(
            "platform",
            "give at least one address of the configuration service",
        );
    }
    if settings.place.is_empty() {
        return invalid("place", "give the name of the data centre of this VM");
    }
    if !["error", "warn", "info", "debug", "trace"].contains(&settings.log.as_str()) {
        return invalid("log", "choose error, warn, info, debug or trace");
    }
    Ok(())
}
