//! Records of the log file: length, checksum, content.

use bytes::{BufMut, Bytes};

/// Bytes before the content: length and CRC-32, four bytes each.
pub const HEAD_BYTES: usize = 8;
/// Largest content of a record, in bytes.
const CONTENT_MAX: usize = 32 << 20;

/// Appends a record to `buf`.
pub fn put(buf: &mut Vec<u8>, content: &[u8]) {
    let length = u32::try_from(content.len()).expect("record below 4 GiB");
    buf.put_u32_le(length);
    buf.put_u32_le(checksum(length, content));
    buf.put_slice(content);
}

/// What stands at a position of a log file.
#[derive(Debug, PartialEq, Eq)]
pub enum Found {
    /// A whole record and the position after it.
    Record(Bytes, usize),
    /// The end of the file.
    End,
    /// Bytes that are no record.
    Damage,
}

/// Reads the record at `at`.
pub fn get(file: &Bytes, at: usize) -> Found {
    let rest = file.len() - at;
    if rest == 0 {
        return Found::End;
    }
    if rest < HEAD_BYTES {
        return Found::Damage;
    }
    let word = |at: usize| u32::from_le_bytes(file[at..at + 4].try_into().expect("four bytes"));
    let (length, crc) = (word(at), word(at + 4));
    let size = length as usize;
    if size > CONTENT_MAX || size > rest - HEAD_BYTES {
        return Found::Damage;
    }
    let content = file.slice(at + HEAD_BYTES..at + HEAD_BYTES + size);
    if checksum(length, &content) != crc {
        return Found::Damage;
    }
    Found::Record(content, at + HEAD_BYTES + size)
}

/// Returns whether a whole record starts anywhere after `at`.
pub fn any_after(file: &Bytes, at: usize) -> bool {
    (at + 1..file.len()).any(|at| {
        // An empty record is no evidence: eight zero bytes are not one, but the
        // content of other records may hold such a pattern by chance.
        matches!(get(file, at), Found::Record(content, _) if !content.is_empty())
    })
}

fn checksum(length: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
