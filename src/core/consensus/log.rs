//! In-memory copy of the replicated log.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::wire::{Entry, Voter};

/// State after the entry at an index. It replaces all entries up to there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Voters in force at `index`.
    pub voters: Vec<Voter>,
    /// Encoded state machine.
    pub data: Bytes,
}

/// A log that starts with a snapshot, followed by the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// Makes a log from a stored snapshot and the entries after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let bytes = entries.iter().map(|e| e.command.len()).sum();
        Self {
            snapshot,
            entries: entries.into(),
            bytes,
        }
    }

    /// Returns the snapshot at the start of the log.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the index of the first entry after the snapshot.
    pub const fn first_index(&self) -> u64 {
        self.snapshot.index + 1
    }

    /// Returns the index of the last entry, or of the snapshot if there is none after it.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or of the snapshot if there is none after it.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.snapshot.term, |e| e.term)
    }

    /// Returns the number of entries after the snapshot.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry after the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the commands after the snapshot, in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index`, or `None` if the index lies before the
    /// snapshot or beyond the end.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, unless it was compacted or lies beyond the end.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Returns entries from `index` on, about `max_bytes` of them, but at least one if
    /// there is any. Returns nothing if `index` was compacted.
    pub fn slice(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let Some(skip) = index.checked_sub(self.first_index()) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(skip as usize) {
            bytes += entry.command.len() + 32;
            if bytes > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// Appends an entry. Its index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.command.len();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        while self.last_index() >= index && !self.entries.is_empty() {
            let entry = self.entries.pop_back().expect("not empty");
            self.bytes -= entry.command.len();
        }
    }

    /// Replaces the entries up to `snapshot.index` by a snapshot of the replica's own
    /// state.
    pub fn compact(&mut self, snapshot: Snapshot) {
        while self.first_index() <= snapshot.index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.command.len();
            self.snapshot.index = entry.index;
        }
        self.snapshot = snapshot;
    }

    /// Replaces the whole log by a snapshot received from another replica.
    pub fn reset(&mut self, snapshot: Snapshot) {
        self.snapshot = snapshot;
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the latest voters in the log, committed or not, and the index of the
    /// entry or snapshot that set them.
    pub fn voters(&self) -> (&[Voter], u64) {
        self.entries
            .iter()
            .rev()
            .find(|entry| !entry.voters.is_empty())
            .map_or((&self.snapshot.voters, self.snapshot.index), |entry| {
                (&entry.voters, entry.index)
            })
    }

    /// Returns the voters in force at `index`.
    pub fn voters_at(&self, index: u64) -> Vec<Voter> {
        self.entries
            .iter()
            .rev()
            .find(|entry| entry.index <= index && !entry.voters.is_empty())
            .map_or_else(
                || self.snapshot.voters.clone(),
                |entry| entry.voters.clone(),
            )
    }
}
