//! Structured log on standard output, one JSON object a line.
//!
//! A bounded queue and a writer thread keep a slow reader from blocking the process: when
//! the queue is full, lines are dropped and counted. Each kind of line is also limited to a
//! number of lines a second; the lines suppressed by that limit are counted, and the count
//! is logged.

use std::collections::HashMap;
use std::mem::{Discriminant, discriminant};
use std::sync::{Arc, Mutex};

use serde::Serialize;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use crate::clock;
use crate::core::consensus::VoteRefusal;
use crate::core::plane::lead::Note;

/// Largest number of lines of one kind that are written in a second. Eight kinds at this
/// rate take about 2 % of an entry instance's processor time.
pub const LINES_PER_SECOND: u32 = 120;
/// Capacity of the queue to the writer thread, in lines.
const QUEUE_LINES_MAX: usize = 4_096;

/// Log lines of the process, apart from those of the leader (`Note`).
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Line {
    /// The process started.
    Started {
        /// Role of the instance.
        role: &'static str,
        /// Availability zone.
        zone: String,
        /// Version of the executable.
        version: &'static str,
    },
    /// The process was asked to stop.
    Stopping {},
    /// The process is about to exit.
    Stopped {},
    /// The settings were read again.
    Reloaded {
        /// Whether any setting in use changed.
        changed: bool,
    },
    /// The new settings are invalid; the previous ones stay in force.
    ReloadRefused {
        /// Error message.
        error: String,
    },
    /// A link to a peer is up.
    PeerUp {
        /// Name of the peer.
        peer: String,
        /// Availability zone of the peer.
        zone: String,
    },
    /// The last link to a peer is down.
    PeerDown {
        /// Name of the peer.
        peer: String,
    },
    /// The handshake with a peer failed.
    PeerRefused {
        /// Error message.
        error: String,
    },
    /// This instance became the leader.
    Led {
        /// Term in which it leads.
        term: u64,
        /// Index of the last applied log entry.
        applied: u64,
    },
    /// This instance stopped leading.
    LeadLost {
        /// Term in which it led.
        term: u64,
    },
    /// This instance became a candidate in an election.
    Stood {
        /// Whether this is a pre-vote, which tests whether the candidate could win.
        pre: bool,
        /// Term of the election.
        term: u64,
        /// Index of the last entry of its log.
        last_index: u64,
    },
    /// This instance was asked for its vote.
    VoteAsked {
        /// Name of the candidate's instance, or its replica number if it is not linked.
        candidate: String,
        /// Whether this is a pre-vote, which tests whether the candidate could win.
        pre: bool,
        /// Term of the election.
        term: u64,
        /// Reason for refusing the vote; absent if it was granted.
        refused: Option<VoteRefusal>,
    },
    /// This instance learned of a new leader.
    LeaderSeen {
        /// Name of the leader's instance.
        leader: String,
        /// Term of the leader.
        term: u64,
    },
    /// The leader's heartbeats stopped, or its links went down.
    LeaderGone {
        /// Time since its latest heartbeat, in milliseconds.
        age_ms: u64,
    },
    /// The voters of the root group changed. After a restart, older changes that are
    /// replayed from the log are reported again.
    Voters {
        /// Index of the log entry with the change.
        index: u64,
        /// Names of the voters' instances.
        voters: Vec<String>,
    },
    /// Writing to the data folder failed.
    DiskRefused {
        /// Error message.
        error: String,
    },
    /// A failed write to the data folder succeeded on a retry.
    DiskBack {},
    /// The log is being compacted into a snapshot.
    Compacted {
        /// Index of the last log entry in the snapshot.
        index: u64,
        /// Size of the state in the snapshot, in bytes.
        bytes: usize,
    },
    /// The event loop was delayed, by a suspension of the process or by overload.
    Paused {
        /// Time between two iterations of the loop, in milliseconds.
        ms: u64,
        /// Part of that time spent on processing inputs, in milliseconds. It is nearly all
        /// of it on overload or if the process was suspended while processing, and little
        /// if the process was suspended while waiting for inputs.
        busy_ms: u64,
    },
    /// Load of the leader's event loop since the previous line. Times are wall-clock times.
    LeaderLoad {
        /// Time since the previous line, in milliseconds.
        interval_ms: u64,
        /// Longest delay between a timer's expiry and its handling, in milliseconds. A reply
        /// of a worker waits as long before the leader handles it.
        delay_max_ms: u64,
        /// Time spent on inputs, planning, ticks and the replicated log, in milliseconds.
        busy_ms: u64,
        /// Part of it spent on planning rounds, in milliseconds.
        planning_ms: u64,
        /// Number of planning rounds.
        rounds: u64,
        /// Part of it spent on checking all workers for what is due, in milliseconds.
        ticking_ms: u64,
        /// Number of such checks.
        ticks: u64,
        /// Number of inputs: messages of peers, replies, queries and completed writes.
        inputs: u64,
        /// Number of inputs that were workers' replies.
        replies: u64,
        /// Number of inputs that were answers of the permission service.
        permissions: u64,
        /// Number of inputs that were queries.
        queries: u64,
        /// Maximum number of steps that waited for placement in a planning round.
        steps_waiting_max: usize,
        /// Number of steps for which rounds searched workers; a step counts once a round.
        steps_searched: usize,
        /// Number of tasks that rounds started.
        tasks_started: usize,
    },
    /// A caller's request was answered.
    Request {
        /// HTTP method and path.
        request: String,
        /// HTTP status of the response.
        status: u16,
        /// Reason for not serving the request; absent if it was served.
        why: Option<String>,
        /// Number of times the query was sent to a leader.
        attempts: u32,
        /// Term of the latest known leader.
        term: u64,
        /// Time since the leader's latest heartbeat, in milliseconds.
        leader_age_ms: u64,
        /// Time to answer, in milliseconds.
        took_ms: u64,
    },
    /// Requests or connections of clients were refused to bound memory.
    ClientsRefused {
        /// Latest reason: `budget`, `timeout` or `connections`.
        why: &'static str,
        /// Number of refusals since the previous line, whatever the reason.
        count: u64,
        /// Bytes received from clients and not yet answered.
        held_bytes: usize,
        /// Number of open connections of clients.
        connections: usize,
    },
    /// Data from a peer or the disk could not be decoded.
    Unreadable {
        /// Kind of data.
        what: &'static str,
        /// Error message.
        error: String,
    },
    /// A request to a worker or the permission service was not sent, because no connection
    /// was available.
    Unreached {
        /// Address of the worker or service.
        address: String,
        /// Reason: a connection error, or that the limit of open connections is reached.
        error: String,
        /// Number of open connections.
        open: usize,
    },
    /// Lines were suppressed because their kind exceeded its rate limit.
    LeftOut {
        /// Event name of the suppressed lines.
        kind: String,
        /// Number of suppressed lines.
        count: u64,
    },
}

/// Kind of a line; each kind has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Kind {
    Line(Discriminant<Line>),
    Note(Discriminant<Note>),
}

/// Rate limit of one kind of line, in windows of one second.
#[derive(Debug, Default)]
struct Budget {
    /// Current window, as a Unix time in seconds.
    second: u64,
    /// Lines written in the window.
    written: u32,
    /// Lines suppressed since the last line that was written.
    suppressed: u64,
}

/// Log of one instance; clones write to the same sink and share the rate limits.
#[derive(Clone, Debug)]
pub struct Journal {
    instance: Arc<str>,
    writer: NonBlocking,
    dropped: ErrorCounter,
    budgets: Arc<Mutex<HashMap<Kind, Budget>>>,
}

impl Journal {
    /// Creates a journal that writes to `sink`, and the guard of its writer thread. Dropping
    /// the guard writes the lines that are still queued.
    pub fn new(instance: &str, sink: impl std::io::Write + Send + 'static) -> (Self, WorkerGuard) {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_LINES_MAX)
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

    /// Returns the number of lines dropped because the queue was full.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }

    /// Writes a line, subject to the rate limit of its kind.
    pub fn write(&self, line: &Line) {
        self.write_limited(Kind::Line(discriminant(line)), line);
    }

    /// Writes a line of the leader, subject to the rate limit of its kind.
    pub fn note(&self, note: &Note) {
        self.write_limited(Kind::Note(discriminant(note)), note);
    }

    fn write_limited<T: Serialize>(&self, kind: Kind, line: &T) {
        let at_ms = clock::wall_millis();
        let Some(suppressed) = self.admit(kind, at_ms / 1_000) else {
            return;
        };
        let text = serde_json::to_string(line).expect("plain data always encodes");
        if suppressed > 0 {
            let summary = Line::LeftOut {
                kind: event_name(&text).to_owned(),
                count: suppressed,
            };
            let summary = serde_json::to_string(&summary).expect("plain data always encodes");
            self.emit(at_ms, &summary);
        }
        self.emit(at_ms, &text);
    }

    // Returns the number of lines suppressed since the last one of this kind, or `None` if
    // the limit for this second is reached and the line must be suppressed.
    fn admit(&self, kind: Kind, second: u64) -> Option<u64> {
        let mut budgets = self.budgets.lock().expect("budgets lock");
        let budget = budgets.entry(kind).or_default();
        if budget.second != second {
            budget.second = second;
            budget.written = 0;
        }
        if budget.written >= LINES_PER_SECOND {
            budget.suppressed += 1;
            return None;
        }
        budget.written += 1;
        Some(std::mem::take(&mut budget.suppressed))
    }

    // Queues a line with time and instance in front of its own fields.
    fn emit(&self, at_ms: u64, text: &str) {
        use std::io::Write;
        let fields = text.strip_prefix('{').unwrap_or(text);
        let line = format!(
            "{{\"at_ms\":{at_ms},\"instance\":\"{}\",{fields}\n",
            self.instance
        );
        // If the queue is full, the writer drops the line and counts it.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

// Returns the event name of an encoded line. Serde writes the enum's tag as the first field.
fn event_name(text: &str) -> &str {
    text.split('"').nth(3).unwrap_or_default()
}
