//! The compact encoding of an envelope.

use quick_error::quick_error;
use serde::{Serialize, de::DeserializeOwned};

use crate::Envelope;

/// Protocol version, the first byte of a datagram; other versions are dropped and counted.
pub const VERSION: u8 = 1;

/// Largest datagram in bytes: it fits one Ethernet frame after IP and UDP headers, so a single
/// lost fragment cannot lose a larger message.
pub const MAX_DATAGRAM: usize = 1_400;

quick_error! {
    /// Why a datagram was refused or a message could not be encoded.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes are no message of this protocol.
        Malformed(cause: postcard::Error) {
            display("malformed message: {cause}")
            from()
            source(cause)
        }
        /// Bytes follow the message.
        Trailing(count: usize) {
            display("{count} bytes follow the message")
        }
        /// The sender speaks another protocol version.
        Version(version: u8) {
            display("protocol version {version}, this build speaks {VERSION}")
        }
        /// The message exceeds [`MAX_DATAGRAM`]; send it as a JSON-RPC call.
        TooLarge(size: usize) {
            display("message of {size} bytes exceeds a datagram of {MAX_DATAGRAM}")
        }
    }
}

/// Encodes an envelope for a datagram.
///
/// # Errors
/// [`Error::TooLarge`] if the message does not fit.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    pack(envelope)
}

/// Decodes one datagram that should hold an envelope.
///
/// # Errors
/// Any malformed, oversized, trailing or foreign-version input is an error value, never a panic.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    unpack(bytes)
}

/// Encodes any message type of this crate for a datagram.
///
/// # Errors
/// [`Error::TooLarge`] if the message does not fit.
pub fn pack<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let bytes = postcard::to_extend(message, vec![VERSION])?;
    if bytes.len() > MAX_DATAGRAM {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes one datagram that should hold a message of a type of this crate.
///
/// # Errors
/// Any malformed, oversized, trailing or foreign-version input is an error value, never a panic.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(Error::TooLarge(bytes.len()));
    }
    let Some((&version, message)) = bytes.split_first() else {
        return Err(Error::Malformed(postcard::Error::DeserializeUnexpectedEnd));
    };
    if version != VERSION {
        return Err(Error::Version(version));
    }
    let (decoded, rest) = postcard::take_from_bytes(message)?;
    if !rest.is_empty() {
        return Err(Error::Trailing(rest.len()));
    }
    Ok(decoded)
}
