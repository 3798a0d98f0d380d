//! Transfer of a snapshot in parts, resumable by offset.

use bytes::{Bytes, BytesMut};

use super::log::Snapshot;
use crate::wire::{SnapshotPart, Voter};

/// Largest size of one part.
pub const PART_MAX_BYTES: usize = 64 << 10;

/// A snapshot that is being received.
#[derive(Debug)]
pub struct Incoming {
    index: u64,
    term: u64,
    total: u64,
    crc: u32,
    voters: Vec<Voter>,
    data: BytesMut,
}

impl Incoming {
    /// Starts receiving the snapshot that `part` belongs to. Does not add the part.
    pub fn new(part: &SnapshotPart) -> Self {
        Self {
            index: part.index,
            term: part.term,
            total: part.total,
            crc: part.crc,
            voters: part.voters.clone(),
            data: BytesMut::new(),
        }
    }

    /// Returns whether `part` belongs to the same snapshot.
    pub const fn matches(&self, part: &SnapshotPart) -> bool {
        self.index == part.index
            && self.term == part.term
            && self.total == part.total
            && self.crc == part.crc
    }

    /// Returns the number of contiguous bytes received from the start.
    pub fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends a part if it starts where the received bytes end, and ignores it
    /// otherwise.
    pub fn add(&mut self, part: &SnapshotPart) {
        if part.offset == self.received() {
            self.data.extend_from_slice(&part.data);
        }
    }

    /// Returns whether all bytes have been received.
    pub fn is_complete(&self) -> bool {
        self.received() >= self.total
    }

    /// Returns the snapshot, or `None` if its checksum does not match.
    pub fn finish(self) -> Option<Snapshot> {
        let data: Bytes = self.data.freeze();
        (crc32fast::hash(&data) == self.crc).then_some(Snapshot {
            index: self.index,
            term: self.term,
            voters: self.voters,
            data,
        })
    }
}

/// Returns the part of a snapshot that starts at `offset`.
pub fn part_at(snapshot: &Snapshot, crc: u32, offset: u64, sent_at: u64) -> SnapshotPart {
    let start = usize::try_from(offset)
        .unwrap_or(usize::MAX)
        .min(snapshot.data.len());
    let end = (start + PART_MAX_BYTES).min(snapshot.data.len());
    SnapshotPart {
        index: snapshot.index,
        term: snapshot.term,
        offset: start as u64,
        total: snapshot.data.len() as u64,
        data: snapshot.data.slice(start..end),
        crc,
        voters: snapshot.voters.clone(),
        sent_at,
    }
}
