//! Event log of an instance: numbered events, a hybrid logical clock, and a bounded ring buffer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Maximum number of events that one process keeps.
pub const RING_EVENTS_MAX: usize = 20_000;

macro_rules! events {
    ($($(#[$doc:meta])* $number:literal $name:ident { $($(#[$fdoc:meta])* $field:ident: $ty:ty),* $(,)? })*) => {
        /// Events recorded in the event log.
        #[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
        #[serde(tag = "event", rename_all = "snake_case")]
        pub enum Event {
            $($(#[$doc])* $name { $($(#[$fdoc])* $field: $ty),* },)*
        }

        impl Event {
            /// Numbers and names of all events, in the order of their declaration.
            pub const CATALOGUE: &'static [(u16, &'static str)] = &[$(($number, stringify!($name))),*];

            /// Returns the number of the event, as listed in the catalogue.
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
    /// A graceful shutdown has begun.
    101 Draining {}
    /// A graceful shutdown has finished and the process ends.
    102 Stopped {}
    /// The process was paused for more than 1 s, which may outlast its leases.
    103 Paused {
        /// Length of the pause in milliseconds.
        millis: u64,
    }
    /// The first link to a peer is up.
    110 PeerUp {
        /// Name of the peer.
        peer: String,
    }
    /// The last link to a peer is down.
    111 PeerDown {
        /// Name of the peer.
        peer: String,
    }
    /// A connection was refused because it failed the handshake.
    112 PeerRefused {
        /// Reason of the refusal.
        reason: String,
    }
    /// This instance became leader of the root group.
    120 RootLed {
        /// Leadership term.
        term: u64,
    }
    /// This instance is no longer leader of the root group.
    121 RootLost {
        /// Leadership term that ended.
        term: u64,
    }
    /// The voters of the root group changed.
    122 VotersChanged {
        /// Names of the new voters.
        voters: String,
    }
    /// A snapshot received from another replica was loaded.
    123 SnapshotLoaded {
        /// Index of the last log entry that it covers.
        index: u64,
    }
    /// This instance may act as leader of its zone from now on.
    130 ZoneLed {
        /// Name of the zone.
        zone: String,
        /// Leadership term.
        term: u64,
    }
    /// This instance may no longer act as leader of its zone.
    131 ZoneLost {
        /// Name of the zone.
        zone: String,
        /// Leadership term that ended.
        term: u64,
    }
    /// A configuration is in force at this instance.
    140 ConfigInForce {
        /// Version of the configuration.
        version: u64,
    }
    /// The withdrawal of a key is in force at this instance.
    141 KeyWithdrawn {
        /// Name of the key.
        key: String,
    }
    /// An upstream was added.
    150 UpstreamUp {
        /// Name of the upstream.
        upstream: String,
    }
    /// An upstream gets no new requests.
    151 UpstreamLeaving {
        /// Name of the upstream.
        upstream: String,
    }
    /// A request was received and authenticated.
    200 RequestTaken {
        /// Id of the request.
        request: String,
        /// Team of the caller.
        team: String,
        /// Name of the service.
        service: String,
    }
    /// A request was queued because there is no free capacity.
    201 RequestQueued {
        /// Id of the request.
        request: String,
    }
    /// A request was sent to an upstream.
    202 RequestSent {
        /// Id of the request.
        request: String,
        /// Name of the upstream.
        upstream: String,
    }
    /// A request is retried at another upstream.
    203 RequestRetried {
        /// Id of the request.
        request: String,
    }
    /// A complete response was returned to the caller.
    204 RequestAnswered {
        /// Id of the request.
        request: String,
        /// HTTP status code.
        status: u16,
        /// Time since the request arrived, in milliseconds.
        millis: u64,
    }
    /// A request was refused or failed.
    205 RequestRefused {
        /// Id of the request.
        request: String,
        /// Kind of the error.
        kind: String,
    }
    /// A request id was claimed at its home zone.
    210 RequestClaimed {
        /// Id of the request.
        request: String,
        /// Home zone of the claim.
        home: String,
    }
    /// A job was registered.
    300 JobSubmitted {
        /// Id of the job.
        job: u64,
        /// Team that submitted it.
        team: String,
    }
    /// A job ended.
    301 JobEnded {
        /// Id of the job.
        job: u64,
        /// Final state.
        state: String,
    }
    /// A task was placed on a worker.
    310 TaskPlaced {
        /// Id of the task.
        task: String,
        /// Name of the worker.
        worker: String,
    }
    /// A task ended.
    311 TaskEnded {
        /// Id of the task.
        task: String,
        /// Whether it ended successfully.
        ok: bool,
    }
    /// A task was evicted, to make room for urgent work or to relieve its worker.
    312 TaskEvicted {
        /// Id of the task.
        task: String,
        /// Name of the worker.
        worker: String,
        /// Reason of the eviction.
        reason: String,
    }
    /// The lease of a task expired because its worker did not poll.
    313 TaskLost {
        /// Id of the task.
        task: String,
        /// Name of the worker.
        worker: String,
    }
    /// A worker was added.
    320 WorkerUp {
        /// Name of the worker.
        worker: String,
    }
    /// A worker has stopped polling.
    321 WorkerSilent {
        /// Name of the worker.
        worker: String,
    }
    /// A worker was quarantined because tasks fail on it, and gets no new ones.
    322 WorkerQuarantined {
        /// Name of the worker.
        worker: String,
        /// Length of the quarantine in milliseconds.
        millis: u64,
    }
}

/// Timestamp of a hybrid logical clock, which orders events across processes consistently with
/// the messages between them.
///
/// Source: Kulkarni et al., Logical Physical Clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    pub millis: u64,
    /// Counter that orders events with equal `millis`.
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

    /// Returns the stamp after a message with stamp `other` arrived at wall time `millis`.
    #[must_use]
    pub fn merge(self, other: Self, millis: u64) -> Self {
        self.max(other).next(millis)
    }
}

/// An event with its time, position and instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event.
    pub at: Stamp,
    /// Sequence number at its instance, which increases by one with each event.
    pub seq: u64,
    /// Name of the instance.
    pub instance: String,
    /// Number of the kind of event.
    pub number: u16,
    /// Event with its fields.
    #[serde(flatten)]
    pub event: Event,
}

/// Ring buffer of the latest events of one process.
#[derive(Debug)]
pub struct Ring {
    instance: String,
    last: Stamp,
    next: u64,
    records: VecDeque<Record>,
}

impl Ring {
    /// Creates an empty ring.
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

    /// Adds an event at wall time `millis`, and drops the oldest if the ring is full.
    pub fn push(&mut self, millis: u64, event: Event) {
        self.last = self.last.next(millis);
        if self.records.len() == RING_EVENTS_MAX {
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

    /// Merges the stamp of a message that arrived at wall time `millis`.
    pub fn merge(&mut self, other: Stamp, millis: u64) {
        self.last = self.last.merge(other, millis);
    }

    /// Returns the latest stamp.
    pub const fn stamp(&self) -> Stamp {
        self.last
    }

    /// Returns up to `max` records with a sequence number above `seq`, oldest first.
    pub fn after(&self, seq: u64, max: usize) -> Vec<Record> {
        let first = self.records.front().map_or(0, |r| r.seq);
        let skip = usize::try_from((seq + 1).saturating_sub(first)).unwrap_or(usize::MAX);
        self.records.iter().skip(skip).take(max).cloned().collect()
    }
}
