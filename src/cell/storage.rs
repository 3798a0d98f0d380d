//! The disk's own thread, so that a slow disk holds up nothing but its instance's
//! word for what is stored.

use std::time::Duration;

use tokio::sync::mpsc;

use super::journal::{Journal, Line};
use crate::core::consensus::{Ready, Snapshot};
use crate::store::Wal;
use crate::wire::Entry;

/// Pause before a disk that refused is tried again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Work for the disk.
#[derive(Debug)]
pub enum Job {
    /// Store what a replica has to store. `last` is the index and term of the last
    /// entry of its log then.
    Store { ready: Box<Ready>, last: (u64, u64) },
    /// Store a snapshot of the replica's own state and the log after it.
    Compact(Box<Snapshot>, Vec<Entry>),
}

/// What the disk has done.
#[derive(Debug)]
pub enum Done {
    /// All is stored.
    Stored { ready: Box<Ready>, last: (u64, u64) },
    /// The snapshot is stored.
    Compacted,
}

/// Runs until the control loop is gone.
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
                    // The log stays longer; the next snapshot tries again.
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

// Nothing may be answered before it is stored, so there is nothing to do but wait.
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
