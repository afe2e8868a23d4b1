//! Names that other programs publish.

/// Longest name in bytes.
const MAX_BYTES: usize = 200;

/// Returns whether a text can be a name: not empty, not too long, without control characters.
///
/// A name is written to logs and status pages, where a line break would forge a line.
#[must_use]
pub fn is_valid(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_BYTES && !name.chars().any(char::is_control)
}

/// Returns whether a name can be an endpoint's id, which is sent in a header.
pub(super) fn is_id(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"';
    is_valid(name) && name.bytes().all(is_plain)
}
