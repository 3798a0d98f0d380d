//! Disk thread. Writes run outside the event loop so that a slow disk delays only the
//! messages and acknowledgements that depend on stored data.

use std::time::Duration;

use tokio::sync::mpsc;

use super::journal::{Journal, Line};
use crate::core::consensus::{Ready, Snapshot};
use crate::store::Wal;
use crate::wire::Entry;

/// Pause before a failed write is retried.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Request to the disk thread.
#[derive(Debug)]
pub enum Request {
    /// Write the replica's pending changes. `last` is the index and term of the last entry
    /// of its log at the time of the request.
    Store { ready: Box<Ready>, last: (u64, u64) },
    /// Replace the log by a snapshot of this replica's state and the entries after it.
    Compact(Box<Snapshot>, Vec<Entry>),
}

/// Completed request of the disk thread.
#[derive(Debug)]
pub enum Completion {
    /// The changes are on disk; the fields are those of the request.
    Stored { ready: Box<Ready>, last: (u64, u64) },
    /// The compaction has ended, with or without success.
    Compacted,
}

/// Serves requests until the event loop has ended.
pub fn run(
    mut wal: Wal,
    requests: &std::sync::mpsc::Receiver<Request>,
    completions: &mpsc::Sender<Completion>,
    journal: &Journal,
) {
    while let Ok(request) = requests.recv() {
        let completion = match request {
            Request::Store { ready, last } => {
                retry(journal, || wal.store(&ready));
                Completion::Stored { ready, last }
            }
            Request::Compact(snapshot, entries) => {
                if let Err(err) = wal.compact(&snapshot, &entries) {
                    // Not fatal: the log stays as it is until the next compaction.
                    journal.write(&Line::DiskRefused {
                        error: err.to_string(),
                    });
                }
                Completion::Compacted
            }
        };
        if completions.blocking_send(completion).is_err() {
            return;
        }
    }
}

// Retries a write until it succeeds, since no message may be sent before the data that
// it depends on is stored. Logs the first failure and the recovery only.
fn retry(journal: &Journal, mut store: impl FnMut() -> std::io::Result<()>) {
    let mut has_failed = false;
    while let Err(err) = store() {
        if !has_failed {
            journal.write(&Line::DiskRefused {
                error: err.to_string(),
            });
        }
        has_failed = true;
        std::thread::sleep(RETRY_AFTER);
    }
    if has_failed {
        journal.write(&Line::DiskBack {});
    }
}
