//! Framing of the records in the log and snapshot files: length, checksum, content.

use bytes::{BufMut, Bytes};

/// Size of the header before the content: length and CRC-32, four bytes each.
pub const HEADER_BYTES: usize = 8;
/// Largest content of a record of the log that is accepted when reading. A snapshot may be larger.
pub const LOG_CONTENT_MAX_BYTES: usize = 32 << 20;

/// Appends a record with the given content to `buf`.
pub fn put(buf: &mut Vec<u8>, content: &[u8]) {
    buf.put_slice(&header(&[content]));
    buf.put_slice(content);
}

/// Returns the header of a record whose content consists of `parts`.
pub fn header(parts: &[&[u8]]) -> [u8; HEADER_BYTES] {
    let size: usize = parts.iter().map(|part| part.len()).sum();
    let length = u32::try_from(size).expect("record below 4 GiB");
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..].copy_from_slice(&checksum(length, parts).to_le_bytes());
    header
}

/// Result of reading at a position of a file.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// Content of an intact record, and the position after it.
    Record(Bytes, usize),
    /// The end of the file.
    End,
    /// Bytes that are not an intact record.
    Damaged,
}

/// Reads the record that starts at position `at`, which must not lie beyond the end, and whose
/// content has at most `content_max` bytes.
pub fn get(file: &Bytes, at: usize, content_max: usize) -> Parsed {
    let rest = file.len() - at;
    if rest == 0 {
        return Parsed::End;
    }
    if rest < HEADER_BYTES {
        return Parsed::Damaged;
    }
    let read_u32 = |at: usize| u32::from_le_bytes(file[at..at + 4].try_into().expect("four bytes"));
    let (length, crc) = (read_u32(at), read_u32(at + 4));
    let size = length as usize;
    if size > content_max || size > rest - HEADER_BYTES {
        return Parsed::Damaged;
    }
    let content = file.slice(at + HEADER_BYTES..at + HEADER_BYTES + size);
    if checksum(length, &[&content]) != crc {
        return Parsed::Damaged;
    }
    Parsed::Record(content, at + HEADER_BYTES + size)
}

/// Returns whether an intact record starts anywhere after position `at`.
pub fn any_record_after(file: &Bytes, at: usize) -> bool {
    (at + 1..file.len()).any(|at| {
        // Empty records do not count: the content of another record may contain the
        // eight bytes of one by chance. Eight zero bytes are not an empty record, as its
        // checksum is not zero.
        let parsed = get(file, at, LOG_CONTENT_MAX_BYTES);
        matches!(parsed, Parsed::Record(content, _) if !content.is_empty())
    })
}

fn checksum(length: u32, parts: &[&[u8]]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}
