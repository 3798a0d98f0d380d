//! Hashing, and parsing of durations and sizes.

use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::core::escrow::ResourceId;

/// Returns the SHA-256 digest of `bytes`.
pub fn sha256(bytes: &[u8]) -> [u8; 32] {
    Sha256::digest(bytes).into()
}

/// Returns the first eight bytes of the SHA-256 digest of `bytes` as a little-endian number.
pub fn hash64(bytes: &[u8]) -> u64 {
    let digest = sha256(bytes);
    u64::from_le_bytes(digest[..8].try_into().expect("eight of 32 bytes"))
}

/// Returns the id under which escrow accounts for the units of `name`.
pub fn resource_id(name: &str) -> ResourceId {
    ResourceId(hash64(name.as_bytes()))
}

/// Parses a duration such as `250ms`, `2s`, `5m` or `1h`.
///
/// # Errors
///
/// Returns a message if the number is missing or too large, or the unit is unknown.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let (number, unit) = split_unit(text)?;
    let millis = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(format!("`{text}` is not a duration (units: ms, s, m, h)")),
    };
    number
        .checked_mul(millis)
        .map(Duration::from_millis)
        .ok_or_else(|| format!("`{text}` is too long"))
}

/// Parses a size such as `512KB`, `64MB` or `128GB` and returns the number of bytes. Units are
/// powers of 1024.
///
/// # Errors
///
/// Returns a message if the number is missing or too large, or the unit is unknown.
pub fn parse_size(text: &str) -> Result<u64, String> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1,
        "KB" => 1 << 10,
        "MB" => 1 << 20,
        "GB" => 1 << 30,
        _ => return Err(format!("`{text}` is not a size (units: B, KB, MB, GB)")),
    };
    number
        .checked_mul(factor)
        .ok_or_else(|| format!("`{text}` is too large"))
}

fn split_unit(text: &str) -> Result<(u64, &str), String> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number = number
        .parse()
        .map_err(|_| format!("`{text}` does not start with a whole number"))?;
    Ok((number, unit.trim()))
}
