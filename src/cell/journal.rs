//! Structured log lines on standard output.
//!
//! Each line is a JSON object. Lines go through a bounded queue to a thread of their
//! own, which drops them when the reader is too slow, and each kind of line has a
//! budget a second. What was left out is counted and told.

use std::collections::HashMap;
use std::mem::{Discriminant, discriminant};
use std::sync::{Arc, Mutex};

use serde::Serialize;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::clock;
use crate::core::consensus::Doubt;
use crate::core::plane::lead::Note;

/// Lines of one kind that are written in a second. Eight kinds at this rate are some
/// 2 % of an entry instance's processor.
pub const LINES_PER_SECOND: u32 = 120;
/// Lines that wait for the reader.
const QUEUE_LINES: usize = 4_096;

/// Lines that are not a leader's notes.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line {
    /// The process started.
    Started {
        /// What it is for.
        role: &'static str,
        /// Availability zone.
        zone: String,
        /// Version of the program.
        version: &'static str,
    },
    /// The process is asked to stop.
    Stopping {},
    /// The process ends.
    Stopped {},
    /// The settings were read again.
    Reloaded {
        /// Whether anything in use changed.
        changed: bool,
    },
    /// The settings could not be used; the former stay in force.
    ReloadRefused {
        /// Why.
        error: String,
    },
    /// A link to a peer is up.
    PeerUp {
        /// Peer.
        peer: String,
        /// Its availability zone.
        zone: String,
    },
    /// The last link to a peer is down.
    PeerDown {
        /// Peer.
        peer: String,
    },
    /// A peer was refused.
    PeerRefused {
        /// Why.
        error: String,
    },
    /// This instance leads.
    Led {
        /// Term.
        term: u64,
        /// Last applied entry.
        applied: u64,
    },
    /// This instance no longer leads.
    LeadLost {
        /// Term.
        term: u64,
    },
    /// This instance asks for votes.
    Stood {
        /// Whether it only asks if it would win.
        pre: bool,
        /// Term that it wants to lead.
        term: u64,
        /// Last entry of its log.
        last_index: u64,
    },
    /// This instance was asked for its vote.
    VoteAsked {
        /// Who asked.
        candidate: String,
        /// Whether it only asked if it would win.
        pre: bool,
        /// Term that it wants to lead.
        term: u64,
        /// Why the vote was refused; absent if it was given.
        refused: Option<Doubt>,
    },
    /// Another instance leads, as far as this one knows.
    LeaderSeen {
        /// Its name.
        leader: String,
        /// Term.
        term: u64,
    },
    /// No leader is known.
    LeaderGone {
        /// Time since its latest word, in milliseconds.
        age_ms: u64,
    },
    /// The voters changed.
    Voters {
        /// Entry of the log that names them; those before the last one at the start of
        /// the process are read again from the log.
        index: u64,
        /// Their names.
        voters: Vec<String>,
    },
    /// The disk takes no records.
    DiskRefused {
        /// Why.
        error: String,
    },
    /// The disk takes records again.
    DiskBack {},
    /// The log was replaced by a snapshot.
    Compacted {
        /// Last entry in it.
        index: u64,
        /// Its size in bytes.
        bytes: usize,
    },
    /// The process was suspended.
    Paused {
        /// For how long, in milliseconds.
        ms: u64,
        /// How much of it passed while the instance worked on its inputs, in
        /// milliseconds: all of it if it has too much to do, or if it was stopped
        /// meanwhile; little if it was stopped while it waited.
        busy_ms: u64,
    },
    /// A caller's request was answered.
    Request {
        /// Method and path.
        request: String,
        /// Status.
        status: u16,
        /// Why, if it was not served.
        why: Option<String>,
        /// Attempts to reach the leader.
        attempts: u32,
        /// Term of the leader, as far as known.
        term: u64,
        /// Time since the leader's latest word, in milliseconds.
        leader_age_ms: u64,
        /// Time taken, in milliseconds.
        took_ms: u64,
    },
    /// Something that a peer or the disk holds could not be read.
    Unreadable {
        /// What.
        what: &'static str,
        /// Why.
        error: String,
    },
    /// A worker or the permission service could not be reached; nothing was sent.
    Unreached {
        /// Address.
        address: String,
        /// Why; also that all connections that may be open are in use.
        error: String,
        /// Connections open.
        open: usize,
    },
    /// Lines that were left out.
    LeftOut {
        /// Kind of line.
        kind: String,
        /// How many.
        count: u64,
    },
}

/// Kinds of lines, each with a budget of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Line(Discriminant<Line>),
    Note(Discriminant<Note>),
}

#[derive(Debug, Default)]
struct Budget {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Where log lines go.
#[derive(Clone, Debug)]
pub struct Journal {
    instance: Arc<str>,
    writer: NonBlocking,
    dropped: ErrorCounter,
    budgets: Arc<Mutex<HashMap<Kind, Budget>>>,
}

impl Journal {
    /// Makes a journal on `sink`. Lines that wait are written when the guard is
    /// dropped.
    pub fn new(instance: &str, sink: impl std::io::Write + Send + 'static) -> (Self, WorkerGuard) {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_LINES)
            .finish(sink);
        let dropped = writer.error_counter();
        let journal = Self {
            instance: instance.into(),
            writer,
            dropped,
            budgets: Arc::default(),
        };
        (journal, guard)
    }

    /// Returns how many lines were dropped because the reader was too slow.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Writes a line of the process.
    pub fn write(&self, line: &Line) {
        self.put(Kind::Line(discriminant(line)), line);
    }

    /// Writes a leader's note.
    pub fn note(&self, note: &Note) {
        self.put(Kind::Note(discriminant(note)), note);
    }

    fn put<T: Serialize>(&self, kind: Kind, line: &T) {
        let at_ms = clock::wall_millis();
        let Some(left_out) = self.admit(kind, at_ms / 1_000) else {
            return;
        };
        let text = serde_json::to_string(line).expect("plain data always encodes");
        if left_out > 0 {
            let told = Line::LeftOut {
                kind: kind_of(&text).to_owned(),
                count: left_out,
            };
            let told = serde_json::to_string(&told).expect("plain data always encodes");
            self.emit(at_ms, &told);
        }
        self.emit(at_ms, &text);
    }

    // None if the budget of the second is spent; else what was left out before.
    fn admit(&self, kind: Kind, second: u64) -> Option<u64> {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let budget = budgets.entry(kind).or_default();
        if budget.second != second {
            budget.second = second;
            budget.written = 0;
        }
        if budget.written >= LINES_PER_SECOND {
            budget.left_out += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.left_out))
    }

    // Puts time and instance before the line's own fields.
    fn emit(&self, at_ms: u64, text: &str) {
        use std::io::Write;
        let fields = text.strip_prefix('{').unwrap_or(text);
        let line = format!(
            "{{\"at_ms\":{at_ms},\"instance\":\"{}\",{fields}\n",
            self.instance
        );
        // A full queue drops the line and counts it.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

// The tag of the enum, which comes first and names the variant.
fn kind_of(text: &str) -> &str {
    text.split('"').nth(3).unwrap_or_default()
}
