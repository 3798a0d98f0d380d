//! Numbered events, their clock and the bounded ring that keeps them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Events that one process keeps.
pub const RING_MAX: usize = 20_000;

macro_rules! events {
    ($($(#[$doc:meta])* $number:literal $name:ident { $($(#[$fdoc:meta])* $field:ident: $ty:ty),* $(,)? })*) => {
        /// Everything that is worth a line on the time line.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(tag = "event", rename_all = "snake_case")]
        pub enum Event {
            $($(#[$doc])* $name { $($(#[$fdoc])* $field: $ty),* },)*
        }

        impl Event {
            /// Numbers and names of all events, in the order of the catalogue.
            pub const CATALOGUE: &'static [(u16, &'static str)] = &[$(($number, stringify!($name))),*];

            /// Returns the number of the event.
            pub const fn number(&self) -> u16 {
                match self { $(Self::$name { .. } => $number),* }
            }

            /// Returns the name of the event.
            pub const fn name(&self) -> &'static str {
                match self { $(Self::$name { .. } => stringify!($name)),* }
            }
        }
    };
}

events! {
    /// The process has started.
    100 Started {
        /// Version of the program.
        version: String,
    }
    /// A planned stop has begun.
    101 Draining {}
    /// The process ends.
    102 Stopped {}
    /// The process was paused for longer than its leases allow.
    103 Paused {
        /// Length of the pause.
        millis: u64,
    }
    /// A link to a peer is up.
    110 PeerUp {
        /// Name of the peer.
        peer: String,
    }
    /// A link to a peer is down.
    111 PeerDown {
        /// Name of the peer.
        peer: String,
    }
    /// A connection failed to prove that it belongs to the cell.
    112 PeerRefused {
        /// Reason.
        reason: String,
    }
    /// This instance now leads the root group.
    120 RootLed {
        /// Term.
        term: u64,
    }
    /// This instance no longer leads the root group.
    121 RootLost {
        /// Term.
        term: u64,
    }
    /// The voters of the root group changed.
    122 VotersChanged {
        /// Names of the voters.
        voters: String,
    }
    /// A snapshot of another replica was loaded.
    123 SnapshotLoaded {
        /// Index of its last entry.
        index: u64,
    }
    /// This instance may now act as leader of its zone.
    130 ZoneLed {
        /// Zone.
        zone: String,
        /// Term.
        term: u64,
    }
    /// This instance may no longer act as leader of its zone.
    131 ZoneLost {
        /// Zone.
        zone: String,
        /// Term.
        term: u64,
    }
    /// A configuration is in force at this instance.
    140 ConfigInForce {
        /// Version.
        version: u64,
    }
    /// A key is known to be withdrawn at this instance.
    141 KeyWithdrawn {
        /// Name of the key.
        key: String,
    }
    /// An upstream is taken.
    150 UpstreamUp {
        /// Name of the upstream.
        upstream: String,
    }
    /// An upstream gets nothing new.
    151 UpstreamLeaving {
        /// Name of the upstream.
        upstream: String,
    }
    /// A request was taken.
    200 RequestTaken {
        /// Request.
        request: String,
        /// Team.
        team: String,
        /// Service.
        service: String,
    }
    /// A request waits for capacity.
    201 RequestQueued {
        /// Request.
        request: String,
    }
    /// A request was sent.
    202 RequestSent {
        /// Request.
        request: String,
        /// Upstream.
        upstream: String,
    }
    /// A request is tried again.
    203 RequestRetried {
        /// Request.
        request: String,
    }
    /// A request was answered whole.
    204 RequestAnswered {
        /// Request.
        request: String,
        /// HTTP status.
        status: u16,
        /// Time since it was taken.
        millis: u64,
    }
    /// A request was refused or failed.
    205 RequestRefused {
        /// Request.
        request: String,
        /// Kind of the error.
        kind: String,
    }
    /// A request id was claimed.
    210 RequestClaimed {
        /// Request.
        request: String,
        /// Home zone of the claim.
        home: String,
    }
    /// A job was registered.
    300 JobSubmitted {
        /// Job.
        job: u64,
        /// Team.
        team: String,
    }
    /// A job ended.
    301 JobEnded {
        /// Job.
        job: u64,
        /// How it ended.
        state: String,
    }
    /// A task was given to a worker.
    310 TaskPlaced {
        /// Task.
        task: String,
        /// Worker.
        worker: String,
    }
    /// A task ended.
    311 TaskEnded {
        /// Task.
        task: String,
        /// Whether it ended well.
        ok: bool,
    }
    /// A task was told to make way for urgent work or to spare its worker.
    312 TaskEvicted {
        /// Task.
        task: String,
        /// Worker.
        worker: String,
        /// Reason.
        reason: String,
    }
    /// A task's worker was silent until its lease ran out.
    313 TaskLost {
        /// Task.
        task: String,
        /// Worker.
        worker: String,
    }
    /// A worker is taken.
    320 WorkerUp {
        /// Worker.
        worker: String,
    }
    /// A worker is silent.
    321 WorkerSilent {
        /// Worker.
        worker: String,
    }
    /// A worker fails what it starts and gets nothing new for a while.
    322 WorkerQuarantined {
        /// Worker.
        worker: String,
        /// Length of the quarantine.
        millis: u64,
    }
}

/// Time that orders events over processes: wall clock, made monotone across
/// messages.
///
/// Source: Kulkarni et al., Logical Physical Clocks (hybrid logical clock).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Order within the millisecond.
    pub count: u32,
}

impl Stamp {
    /// Returns the stamp of a local event at wall time `millis`.
    #[must_use]
    pub fn next(self, millis: u64) -> Self {
        if millis > self.millis {
            Self { millis, count: 0 }
        } else {
            Self {
                millis: self.millis,
                count: self.count + 1,
            }
        }
    }

    /// Returns the stamp after a message with stamp `other` came at wall time `millis`.
    #[must_use]
    pub fn merge(self, other: Self, millis: u64) -> Self {
        self.max(other).next(millis)
    }
}

/// An event with its time and place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at: Stamp,
    /// Position in the ring of its instance; rises by one with each event.
    pub seq: u64,
    /// Name of the instance.
    pub instance: String,
    /// Number of the event.
    pub number: u16,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

/// The latest events of one process.
#[derive(Debug)]
pub struct Ring {
    instance: String,
    last: Stamp,
    next: u64,
    records: VecDeque<Record>,
}

impl Ring {
    /// Makes an empty ring.
    pub const fn new(instance: String) -> Self {
        Self {
            instance,
            last: Stamp {
                millis: 0,
                count: 0,
            },
            next: 1,
            records: VecDeque::new(),
        }
    }

    /// Adds an event at wall time `millis`; the oldest makes way when full.
    pub fn push(&mut self, millis: u64, event: Event) {
        self.last = self.last.next(millis);
        if self.records.len() == RING_MAX {
            self.records.pop_front();
        }
        self.records.push_back(Record {
            at: self.last,
            seq: self.next,
            instance: self.instance.clone(),
            number: event.number(),
            event,
        });
        self.next += 1;
    }

    /// Takes the stamp that came with a message.
    pub fn hear(&mut self, other: Stamp, millis: u64) {
        self.last = self.last.merge(other, millis);
    }

    /// Returns the latest stamp.
    pub const fn stamp(&self) -> Stamp {
        self.last
    }

    /// Returns up to `max` records with a position after `seq`.
    pub fn after(&self, seq: u64, max: usize) -> Vec<Record> {
        let first = self.records.front().map_or(0, |r| r.seq);
        let skip = usize::try_from((seq + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip).take(max).cloned().collect()
    }
}
