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
pub enum Job {
    /// Write the replica's pending changes. `last` is the index and term of the last entry
    /// of its log at the time of the request.
    Store { ready: Box<Ready>, last: (u64, u64) },
    /// Replace the log by a snapshot of this replica's state and the entries after it.
    Compact(Box<Snapshot>, Vec<Entry>),
}

/// Completed request of the disk thread.
#[derive(Debug)]
pub enum Done {
    /// The changes are on disk; the fields are those of the request.
    Stored { ready: Box<Ready>, last: (u64, u64) },
    /// The compaction has ended, with or without success.
    Compacted,
}

/// Serves requests until the event loop has ended.
pub fn run(
    mut wal: Wal,
    jobs: &std::sync::mpsc::Receiver<Job>,
    done: &mpsc::Sender<Done>,
    journal: &Journal,
) {
    while let Ok(job) = jobs.recv() {
        let finished = match job {
            Job::Store { ready, last } => {
                retry(journal, || wal.store(&ready));
                Done::Stored { ready, last }
            }
            Job::Compact(snapshot, entries) => {
                if let Err(err) = wal.compact(&snapshot, &entries) {
                    // Not fatal: the log stays as it is until the next compaction.
                    journal.write(&Line::DiskRefused {
                        error: err.to_string(),
                    });
                }
                Done::Compacted
            }
        };
        if done.blocking_send(finished).is_err() {
            return;
        }
    }
}

// Retries a write until it succeeds, since no message may be sent before the data that
// it depends on is stored. Logs the first failure and the recovery only.
fn retry(journal: &Journal, mut store: impl FnMut() -> std::io::Result<()>) {
    let mut refused = false;
    while let Err(err) = store() {
        if !refused {
            journal.write(&Line::DiskRefused {
                error: err.to_string(),
            });
        }
        refused = true;
        std::thread::sleep(RETRY_AFTER);
    }
    if refused {
        journal.write(&Line::DiskBack {});
    }
}
