//! Binary encoding of messages in datagrams.

use quick_error::quick_error;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Body, Envelope};

/// Protocol version, the first byte of a datagram; other versions are dropped and counted.
pub const VERSION: u8 = 4;

/// First byte of a datagram about loans of organisations' limits.
///
/// Builds that know nothing of loans count it as another version; see `docs/design/BUILDS.md`.
const LOANS: u8 = 0x4c;

/// Maximum size of a datagram in bytes.
///
/// It fits one Ethernet frame with IP and UDP headers, so datagrams are never fragmented and the
/// loss of one fragment cannot lose a larger message.
pub const MAX_DATAGRAM: usize = 1_400;

quick_error! {
    /// Why a datagram was rejected or a message could not be encoded.
    #[derive(Debug)]
    pub enum Error {
        /// The bytes are not a valid message of this protocol.
        Malformed(cause: postcard::Error) {
            display("malformed message: {cause}")
            from()
            source(cause)
        }
        /// Bytes that are no [`Extension`] follow the message.
        Trailing(count: usize) {
            display("{count} bytes that are no extension follow the message")
        }
        /// The sender uses another protocol version.
        Version(version: u8) {
            display("protocol version {version} is not supported; this build uses {VERSION}")
        }
        /// The message exceeds [`MAX_DATAGRAM`]; send it as a JSON-RPC request.
        TooLarge(size: usize) {
            display("message of {size} bytes exceeds the datagram limit of {MAX_DATAGRAM}")
        }
    }
}

/// Something that a later build says after a message of this protocol.
///
/// A receiver skips the kinds that it does not know. See `docs/design/BUILDS.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension<'a> {
    /// Number of the kind, which is never used for anything else.
    pub kind: u16,
    /// Content in the encoding of the kind.
    pub bytes: &'a [u8],
}

impl Extension<'_> {
    /// Kind that tells of the speeds of endpoints.
    pub const SPEEDS: u16 = 1;
    /// Kind that tells how long ago the publisher has confirmed what the sender knows.
    pub const AGES: u16 = 2;
}

/// Encodes an envelope for a datagram.
///
/// # Errors
/// [`Error::TooLarge`] if the message does not fit.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let mut bytes = pack(envelope)?;
    bytes[0] = first_byte(&envelope.body);
    Ok(bytes)
}

/// Decodes a datagram that holds an envelope.
///
/// # Errors
/// If the input is malformed, too large, followed by bytes that are no [`Extension`], or of another
/// protocol version. No input causes a panic.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    let first = bytes.first().copied().unwrap_or(VERSION);
    let body = bytes.get(1..).unwrap_or_default();
    let known = if first == LOANS { VERSION } else { first };
    let (envelope, _): (Envelope, _) = unpack_body(bytes.len(), known, body)?;
    if first_byte(&envelope.body) != first {
        return Err(Error::Version(first));
    }
    Ok(envelope)
}

/// Returns the byte before an envelope: messages that older builds don't know have their own.
fn first_byte(body: &Body) -> u8 {
    match body {
        Body::Borrow(_) | Body::Lend(_) => LOANS,
        _ => VERSION,
    }
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

/// Encodes a message for a datagram, followed by those extensions that still fit.
///
/// # Errors
/// [`Error::TooLarge`] if the message itself does not fit.
pub fn pack_with<T: Serialize>(
    message: &T,
    extensions: &[Extension<'_>],
) -> Result<Vec<u8>, Error> {
    let mut bytes = pack(message)?;
    for extension in extensions {
        let encoded = postcard::to_extend(extension, Vec::new())?;
        if bytes.len() + encoded.len() <= MAX_DATAGRAM {
            bytes.extend(encoded);
        }
    }
    Ok(bytes)
}

/// Decodes a datagram that holds a message of any type of this crate.
///
/// # Errors
/// If the input is malformed, too large, followed by bytes that are no [`Extension`], or of another
/// protocol version. No input causes a panic.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    Ok(unpack_with(bytes)?.0)
}

/// Decodes a datagram like [`unpack`], and returns the extensions too, also of unknown kinds.
///
/// # Errors
/// Those of [`unpack`].
pub fn unpack_with<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, Vec<Extension<'_>>), Error> {
    let Some((&version, message)) = bytes.split_first() else {
        return Err(Error::Malformed(postcard::Error::DeserializeUnexpectedEnd));
    };
    unpack_body(bytes.len(), version, message)
}

fn unpack_body<T: DeserializeOwned>(
    size: usize,
    version: u8,
    message: &[u8],
) -> Result<(T, Vec<Extension<'_>>), Error> {
    if size > MAX_DATAGRAM {
        return Err(Error::TooLarge(size));
    }
    if version != VERSION {
        return Err(Error::Version(version));
    }
    let (decoded, rest) = postcard::take_from_bytes(message)?;
    Ok((decoded, extensions(rest)?))
}

fn extensions(mut rest: &[u8]) -> Result<Vec<Extension<'_>>, Error> {
    let mut extensions = Vec::new();
    while !rest.is_empty() {
        let taken = postcard::take_from_bytes::<Extension<'_>>(rest);
        let (extension, after) = taken.map_err(|_| Error::Trailing(rest.len()))?;
        extensions.push(extension);
        rest = after;
    }
    Ok(extensions)
}
