//! Write-ahead log: a replica's term, vote, snapshot and log entries on disk.

use std::fs::File;
use std::io::{Seek, SeekFrom, Write};

use bytes::Bytes;
use prost::encoding::{WireType, encode_key, encode_varint};
use prost::{Message, Oneof};

use super::folder::{Folder, open_private, write_atomically};
use super::record::{self, Parsed};
use crate::core::consensus::{HardState, Ready, Snapshot, Stored};
use crate::error::{Error, Kind, Result};
use crate::wire::{Entry, Voter};

const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";
/// Number of the field `data` of [`SnapshotFile`].
const SNAPSHOT_DATA_TAG: u32 = 4;

/// One record of the log file.
#[derive(Clone, PartialEq, Message)]
struct Record {
    #[prost(oneof = "Content", tags = "1, 2, 3")]
    content: Option<Content>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Content {
    #[prost(message, tag = "1")]
    HardState(HardStateRecord),
    #[prost(message, tag = "2")]
    Entry(Entry),
    /// Truncates the log: removes the entries from this index on.
    #[prost(uint64, tag = "3")]
    Truncate(u64),
}

#[derive(Clone, Copy, PartialEq, Message)]
struct HardStateRecord {
    #[prost(uint64, tag = "1")]
    term: u64,
    #[prost(fixed64, tag = "2")]
    vote: u64,
    /// Number of snapshots received from other replicas before the log file was written.
    #[prost(uint64, tag = "3")]
    generation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct SnapshotFile {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    term: u64,
    #[prost(message, repeated, tag = "3")]
    voters: Vec<Voter>,
    #[prost(bytes = "bytes", tag = "4")]
    data: Bytes,
    /// Generation of the log file that continues this snapshot. The entries of a log
    /// file of an earlier generation do not follow it.
    #[prost(uint64, tag = "5")]
    generation: u64,
}

/// Write-ahead log of a replica, with its log file open for appending.
#[derive(Debug)]
pub struct Wal {
    folder: Folder,
    file: File,
    end: u64,
    hard_state: HardState,
    generation: u64,
}

impl Wal {
    /// Reads the state that the folder holds and opens the log file for appending. An
    /// incomplete record at the end of the file, as a crash leaves it, is removed.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, if the snapshot is damaged, if the log file is
    /// damaged elsewhere than at its end, or if the log has a gap.
    pub fn open(folder: Folder) -> Result<(Self, Stored)> {
        let (snapshot, generation) = read_snapshot(&folder)?;
        let path = folder.path().join(LOG_FILE);
        let bytes: Bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes.into(),
            Err(err) if err.kind() == std::io::ErrorKind::NotFound => Bytes::new(),
            Err(err) => return Err(err.into()),
        };
        let (records, end) = read_records(&bytes).map_err(|at| {
            let message = format!("{} is damaged at byte {at}", path.display());
            Error::new(Kind::Internal, message)
        })?;
        let first = records.first().cloned();
        let mut stored = Stored {
            snapshot,
            ..Stored::default()
        };
        for record in records {
            replay(&mut stored, record);
        }
        if first.map_or(0, |record| log_generation(&record)) < generation {
            stored.entries.clear();
        }
        check_contiguous(&stored)?;
        let file = open_private(&path)?;
        file.set_len(end as u64)?;
        file.sync_all()?;
        File::open(folder.path())?.sync_all()?;
        let wal = Self {
            folder,
            file,
            end: end as u64,
            hard_state: stored.hard_state,
            generation,
        };
        Ok((wal, stored))
    }

    /// Returns the length of the log file, in bytes.
    pub const fn size(&self) -> u64 {
        self.end
    }

    /// Returns the number of the replica whose state this is.
    pub const fn replica(&self) -> u64 {
        self.folder.replica()
    }

    /// Writes the term and vote, snapshot, truncation and entries of `ready` and syncs
    /// them.
    ///
    /// # Errors
    ///
    /// Fails if the data could not be written or synced, for example on a full disk. The
    /// call may then be repeated; records that were written in part are removed.
    pub fn store(&mut self, ready: &Ready) -> std::io::Result<()> {
        if let Some(snapshot) = &ready.snapshot {
            // After a crash between the two writes, the old log must not be taken for
            // the continuation of the new snapshot.
            self.generation += 1;
            self.write_snapshot(snapshot)?;
            self.rewrite(ready.hard_state.unwrap_or(self.hard_state), &ready.entries)?;
            return Ok(());
        }
        let mut buf = Vec::new();
        if let Some(hard_state) = ready.hard_state {
            put_record(&mut buf, hard_state_record(hard_state, self.generation));
        }
        if let Some(from) = ready.truncate_from {
            put_record(&mut buf, Content::Truncate(from));
        }
        for entry in &ready.entries {
            put_record(&mut buf, Content::Entry(entry.clone()));
        }
        if buf.is_empty() {
            return Ok(());
        }
        self.append(&buf)?;
        self.hard_state = ready.hard_state.unwrap_or(self.hard_state);
        Ok(())
    }

    /// Stores a snapshot of the replica's own state, and replaces the log file by one
    /// that holds `entries`, those after the snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the data could not be written or synced. The snapshot and the log file
    /// may then each be the old or the new one; what they hold together is complete.
    pub fn compact(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> std::io::Result<()> {
        self.write_snapshot(snapshot)?;
        self.rewrite(self.hard_state, entries)
    }

    fn append(&mut self, buf: &[u8]) -> std::io::Result<()> {
        let written = self
            .file
            .seek(SeekFrom::Start(self.end))
            .and_then(|_| self.file.write_all(buf))
            .and_then(|()| self.file.sync_data());
        if let Err(err) = written {
            // A partly written record must not be followed by others.
            self.file.set_len(self.end)?;
            return Err(err);
        }
        self.end += buf.len() as u64;
        Ok(())
    }

    fn write_snapshot(&self, snapshot: &Snapshot) -> std::io::Result<()> {
        let file = SnapshotFile {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
            data: Bytes::new(),
            generation: self.generation,
        };
        // The data is the last field and is written from where it is: a copy would take as much
        // memory again.
        let mut start = file.encode_to_vec();
        encode_key(SNAPSHOT_DATA_TAG, WireType::LengthDelimited, &mut start);
        encode_varint(snapshot.data.len() as u64, &mut start);
        let header = record::header(&[&start, &snapshot.data]);
        let parts = [header.as_slice(), &start, &snapshot.data];
        write_atomically(self.folder.path(), SNAPSHOT_FILE, &parts)
    }

    fn rewrite(&mut self, hard_state: HardState, entries: &[Entry]) -> std::io::Result<()> {
        let mut buf = Vec::new();
        put_record(&mut buf, hard_state_record(hard_state, self.generation));
        for entry in entries {
            put_record(&mut buf, Content::Entry(entry.clone()));
        }
        write_atomically(self.folder.path(), LOG_FILE, &[&buf])?;
        self.file = open_private(&self.folder.path().join(LOG_FILE))?;
        self.end = buf.len() as u64;
        self.hard_state = hard_state;
        Ok(())
    }
}

const fn hard_state_record(hard_state: HardState, generation: u64) -> Content {
    Content::HardState(HardStateRecord {
        term: hard_state.term,
        vote: hard_state.vote,
        generation,
    })
}

fn put_record(buf: &mut Vec<u8>, content: Content) {
    let record = Record {
        content: Some(content),
    };
    record::put(buf, &record.encode_to_vec());
}

fn read_snapshot(folder: &Folder) -> Result<(Snapshot, u64)> {
    let path = folder.path().join(SNAPSHOT_FILE);
    let bytes: Bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes.into(),
        Err(err) if err.kind() == std::io::ErrorKind::NotFound => return Ok(Default::default()),
        Err(err) => return Err(err.into()),
    };
    let file = match record::get(&bytes, 0, usize::MAX) {
        Parsed::Record(content, _) => SnapshotFile::decode(content).ok(),
        Parsed::End | Parsed::Damaged => None,
    };
    let Some(file) = file else {
        let message = format!("{} is damaged", path.display());
        return Err(Error::new(Kind::Internal, message));
    };
    let snapshot = Snapshot {
        index: file.index,
        term: file.term,
        voters: file.voters,
        data: file.data,
    };
    Ok((snapshot, file.generation))
}

// Returns the records and the position after the last one, or as an error the position of
// damage that is not at the end of the file. Damage counts as an incomplete write at the
// end if no intact record follows it.
fn read_records(bytes: &Bytes) -> Result<(Vec<Content>, usize), usize> {
    let mut records = Vec::new();
    let mut position = 0;
    loop {
        match record::get(bytes, position, record::LOG_CONTENT_MAX_BYTES) {
            Parsed::Record(content, next) => {
                let record = Record::decode(content).map_err(|_| position)?;
                records.extend(record.content);
                position = next;
            }
            Parsed::End => return Ok((records, position)),
            Parsed::Damaged if record::any_record_after(bytes, position) => return Err(position),
            Parsed::Damaged => return Ok((records, position)),
        }
    }
}

// A log file starts with a record that holds its generation, except for the first one of
// a folder, which is of generation 0.
const fn log_generation(first: &Content) -> u64 {
    match first {
        Content::HardState(hard_state) => hard_state.generation,
        Content::Entry(_) | Content::Truncate(_) => 0,
    }
}

fn replay(stored: &mut Stored, content: Content) {
    match content {
        Content::HardState(hard_state) => {
            stored.hard_state = HardState {
                term: hard_state.term,
                vote: hard_state.vote,
            };
        }
        // A crash during compaction can leave entries that the snapshot already covers.
        Content::Entry(entry) if entry.index > stored.snapshot.index => {
            stored.entries.push(entry);
        }
        Content::Entry(_) => {}
        Content::Truncate(from) => stored.entries.retain(|e| e.index < from),
    }
}

fn check_contiguous(stored: &Stored) -> Result<()> {
    for (next, entry) in (stored.snapshot.index + 1..).zip(&stored.entries) {
        if entry.index != next {
            let message = format!("log entry {next} is missing");
            return Err(Error::new(Kind::Internal, message));
        }
    }
    Ok(())
}
