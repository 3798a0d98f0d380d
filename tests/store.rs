//! Recovery of the data folder after incomplete writes, damage, crashes and many changes,
//! and its locking and permissions.

use std::fs::OpenOptions;
use std::io::{Read, Seek, SeekFrom, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use plantaincross::core::consensus::{HardState, Ready, Snapshot, Stored};
use plantaincross::store::{Folder, Wal};
use plantaincross::wire::Entry;

struct Temp(PathBuf);

impl Temp {
    fn new() -> Self {
        Self(std::env::temp_dir().join(format!(
            "plantaincross-store-{:016x}",
            rand::random::<u64>()
        )))
    }

    fn open(&self) -> Result<(Wal, Stored), String> {
        let folder = Folder::open(&self.0).map_err(|err| err.message)?;
        Wal::open(folder).map_err(|err| err.message)
    }

    fn log(&self) -> PathBuf {
        self.0.join("log")
    }
}

impl Drop for Temp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        command: Bytes::from(format!("command {index} {}", "x".repeat(60))),
        voters: Vec::new(),
    }
}

fn append(wal: &mut Wal, range: std::ops::Range<u64>) {
    let ready = Ready {
        entries: range.map(entry).collect(),
        ..Ready::default()
    };
    wal.store(&ready).expect("stored");
}

fn fill(temp: &Temp, count: u64) {
    let (mut wal, _) = temp.open().expect("opens");
    wal.store(&Ready {
        hard_state: Some(HardState { term: 1, vote: 7 }),
        ..Ready::default()
    })
    .expect("stored");
    append(&mut wal, 1..count + 1);
}

fn change_byte(path: &Path, at: i64) {
    let mut file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .expect("opens");
    let whence = if at < 0 {
        SeekFrom::End(at)
    } else {
        SeekFrom::Start(at as u64)
    };
    let at = file.seek(whence).expect("seeks");
    let mut byte = [0];
    file.read_exact(&mut byte).expect("reads");
    file.seek(SeekFrom::Start(at)).expect("seeks");
    file.write_all(&[byte[0] ^ 0xff]).expect("writes");
}

macro_rules! cases {
    ($(fn $name:ident($temp:ident) $body:block)*) => {
        $(#[test] fn $name() { let $temp = Temp::new(); $body })*
    };
}

cases! {
    fn stored_state_is_recovered(temp) {
        fill(&temp, 20);
        let (_, stored) = temp.open().expect("opens");
        assert_eq!(stored.hard_state, HardState { term: 1, vote: 7 });
        assert_eq!(stored.entries, (1..21).map(entry).collect::<Vec<_>>());
    }

    fn torn_tail_is_cut_at_every_length(temp) {
        fill(&temp, 3);
        let whole = std::fs::read(temp.log()).expect("reads");
        let last = whole.len() - 100;
        for length in last..whole.len() {
            std::fs::write(temp.log(), &whole[..length]).expect("writes");
            let (mut wal, stored) = temp.open().expect("opens");
            let count = stored.entries.len() as u64;
            assert!((1..=3).contains(&count));
            append(&mut wal, count + 1..count + 2);
            drop(wal);
            let (_, stored) = temp.open().expect("opens");
            assert_eq!(stored.entries.len() as u64, count + 1);
        }
    }

    fn damaged_middle_is_reported_and_refused(temp) {
        fill(&temp, 20);
        change_byte(&temp.log(), 200);
        let err = temp.open().expect_err("refused");
        assert!(err.contains("is damaged at byte"), "{err}");
    }

    fn large_snapshot_is_recovered(temp) {
        let (mut wal, _) = temp.open().expect("opens");
        let snapshot = Snapshot {
            index: 3,
            term: 1,
            data: vec![7; 40 << 20].into(),
            ..Snapshot::default()
        };
        wal.compact(&snapshot, &[]).expect("written");
        drop(wal);
        let (_, stored) = temp.open().expect("opens again");
        assert!(stored.snapshot == snapshot);
    }

    fn damaged_snapshot_is_reported_and_refused(temp) {
        fill(&temp, 20);
        let (mut wal, _) = temp.open().expect("opens");
        let snapshot = Snapshot { index: 10, term: 1, voters: Vec::new(), data: Bytes::from_static(b"state") };
        let rest: Vec<Entry> = (11..21).map(entry).collect();
        wal.compact(&snapshot, &rest).expect("stored");
        drop(wal);
        let (wal, stored) = temp.open().expect("opens");
        assert_eq!((stored.snapshot, stored.entries), (snapshot, rest));
        drop(wal);
        change_byte(&temp.0.join("snapshot"), -1);
        assert!(temp.open().expect_err("refused").contains("snapshot is damaged"));
    }

    fn crash_after_a_received_snapshot_drops_the_old_log(temp) {
        fill(&temp, 5);
        let before = std::fs::read(temp.log()).expect("reads");
        let (mut wal, _) = temp.open().expect("opens");
        let snapshot = Snapshot { index: 3, term: 2, voters: Vec::new(), data: Bytes::from_static(b"state") };
        wal.store(&Ready { snapshot: Some(snapshot.clone()), ..Ready::default() }).expect("stored");
        drop(wal);
        // Simulates a crash after the snapshot was written, before the log was replaced.
        std::fs::write(temp.log(), before).expect("writes");
        let (_, stored) = temp.open().expect("opens");
        assert_eq!(stored.snapshot, snapshot);
        assert!(stored.entries.is_empty());
    }

    fn second_process_is_refused(temp) {
        let first = temp.open().expect("opens");
        assert!(temp.open().expect_err("refused").contains("in use by another process"));
        drop(first);
        temp.open().expect("opens");
    }

    fn files_are_private(temp) {
        fill(&temp, 1);
        for name in ["log", "lock", "replica"] {
            let mode = std::fs::metadata(temp.0.join(name)).expect("exists").permissions().mode();
            assert_eq!(mode & 0o077, 0, "{name}");
        }
        assert_eq!(std::fs::metadata(&temp.0).expect("exists").permissions().mode() & 0o077, 0);
    }

    fn new_folder_is_a_new_replica(temp) {
        let first = temp.open().expect("opens").0.replica();
        assert_eq!(temp.open().expect("opens").0.replica(), first);
        std::fs::remove_dir_all(&temp.0).expect("removes");
        assert_ne!(temp.open().expect("opens").0.replica(), first);
    }

    fn truncated_entries_are_not_recovered(temp) {
        fill(&temp, 9);
        let (mut wal, _) = temp.open().expect("opens");
        let ready = Ready { truncate_from: Some(5), entries: vec![Entry { term: 2, ..entry(5) }], ..Ready::default() };
        wal.store(&ready).expect("stored");
        drop(wal);
        let (_, stored) = temp.open().expect("opens");
        let terms: Vec<u64> = stored.entries.iter().map(|e| e.term).collect();
        assert_eq!(terms, [1, 1, 1, 1, 2]);
    }

    fn hundred_thousand_changes_leave_a_bounded_folder(temp) {
        let (mut wal, _) = temp.open().expect("opens");
        for batch in 0..100u64 {
            append(&mut wal, batch * 1_000 + 1..batch * 1_000 + 1_001);
            let index = (batch + 1) * 1_000;
            let snapshot = Snapshot { index, term: 1, voters: Vec::new(), data: Bytes::from(vec![1; 1_000]) };
            wal.compact(&snapshot, &[]).expect("stored");
        }
        drop(wal);
        let size: u64 = std::fs::read_dir(&temp.0).expect("reads")
            .map(|e| e.expect("entry").metadata().expect("metadata").len()).sum();
        assert!(size < 100_000, "{size} bytes");
        let (_, stored) = temp.open().expect("opens");
        assert_eq!(stored.snapshot.index, 100_000);
    }
}
