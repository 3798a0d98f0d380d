//! State shared between the request threads and the control thread.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::clock::{Clock, wall_millis};
use crate::config::{Config, StaleKeys};
use crate::core::gate::{
    Admission, Assignment, Completion, Gate, Refusal, Request, ServiceKey, TeamKey, Ticket,
    UpstreamKey,
};
use crate::core::registry::{InstanceId, Key};
use crate::core::retry::Budget;
use crate::core::time::Moment;
use crate::error::{Error, Kind, Result};
use crate::event::{Event, Ring, Stamp};
use crate::metrics::Metrics;
use crate::util::sha256;

/// Snapshot of the keys and the configuration, published by the control thread and read by
/// every request.
#[derive(Debug, Default)]
pub struct View {
    /// Names and keys by the first eight bytes of their digests.
    keys: HashMap<[u8; 8], Vec<(String, Key)>>,
    /// Configuration in force at this instance.
    pub config: Config,
    /// Version of the configuration; zero before the first one.
    pub version: u64,
    /// Names of the zones in the order in which they were first seen.
    pub zones: Vec<String>,
}

impl View {
    /// Creates a view. Keys for which `withdrawn` returns true count as withdrawn even if their
    /// own entry does not say so yet.
    pub fn new<'a>(
        keys: impl Iterator<Item = (&'a String, &'a Key)>,
        withdrawn: impl Fn(&str) -> bool,
        config: Config,
        version: u64,
        zones: Vec<String>,
    ) -> Self {
        let mut by_digest: HashMap<[u8; 8], Vec<(String, Key)>> = HashMap::new();
        for (id, key) in keys {
            let mut key = key.clone();
            key.withdrawn |= withdrawn(id);
            by_digest
                .entry(prefix(&key.digest))
                .or_default()
                .push((id.clone(), key));
        }
        Self {
            keys: by_digest,
            config,
            version,
            zones,
        }
    }

    /// Returns all keys with their names.
    pub fn keys(&self) -> impl Iterator<Item = (&String, &Key)> {
        self.keys.values().flatten().map(|(id, key)| (id, key))
    }

    fn find(&self, digest: &[u8; 32]) -> Option<&(String, Key)> {
        self.keys
            .get(&prefix(digest))?
            .iter()
            .find(|(_, key)| bool::from(key.digest.ct_eq(digest)))
    }
}

fn prefix(digest: &[u8; 32]) -> [u8; 8] {
    digest[..8].try_into().expect("eight of 32 bytes")
}

/// State shared by all threads of one instance.
#[derive(Debug)]
pub struct Traffic {
    /// Id of this run of the process.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: String,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Admission state.
    pub gate: Arc<Mutex<Gate>>,
    /// Latest published view.
    pub view: ArcSwap<View>,
    /// Recorded events.
    pub ring: Mutex<Ring>,
    /// Retry budget.
    pub budget: Mutex<Budget>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    waiters: Mutex<HashMap<Ticket, oneshot::Sender<Result<Assignment, Refusal>>>>,
    root_verified_until: AtomicU64,
    zone_verified_until: AtomicU64,
    generated_ids: AtomicU64,
}

impl Traffic {
    /// Creates the shared state of an instance.
    pub fn new(id: InstanceId, name: &str, zone: &str, clock: Clock) -> Self {
        Self {
            id,
            zone: zone.to_owned(),
            clock,
            gate: Arc::default(),
            view: ArcSwap::default(),
            ring: Mutex::new(Ring::new(name.to_owned())),
            budget: Mutex::default(),
            metrics: Metrics::default(),
            waiters: Mutex::default(),
            root_verified_until: AtomicU64::new(0),
            zone_verified_until: AtomicU64::new(0),
            generated_ids: AtomicU64::new(0),
        }
    }

    /// Records an event in the ring and in the log.
    pub fn record(&self, event: Event) {
        log::info!(target: "event", "{} {} {event:?}", event.number(), event.name());
        let mut ring = self.ring.lock().expect("ring lock");
        ring.push(wall_millis(), event);
    }

    /// Merges the event clock of a peer, so that later local events sort after its events.
    pub fn merge_stamp(&self, stamp: Stamp) {
        let mut ring = self.ring.lock().expect("ring lock");
        ring.merge(stamp, wall_millis());
    }

    /// Returns the latest value of the event clock.
    pub fn stamp(&self) -> Stamp {
        self.ring.lock().expect("ring lock").stamp()
    }

    /// Sets the times until which keys count as verified: all keys by the root group, and those
    /// whose home is the local zone also by its leader.
    pub fn set_verified_until(&self, root: Moment, zone: Moment) {
        self.root_verified_until.store(root.0, Ordering::Relaxed);
        self.zone_verified_until.store(zone.0, Ordering::Relaxed);
    }

    /// Generates a request id of the form `zone:millis:instance:count`.
    pub fn generate_id(&self) -> String {
        let count = self.generated_ids.fetch_add(1, Ordering::Relaxed);
        format!("{}:{}:{}:{count}", self.zone, wall_millis(), self.id)
    }

    /// Returns the team of the key with the given secret.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown or withdrawn, if it cannot be verified now, or if its team
    /// no longer exists.
    pub fn authenticate(&self, view: &View, secret: &str) -> Result<String> {
        let digest = sha256(secret.as_bytes());
        let now = self.clock.now();
        let root_verified = now.0 < self.root_verified_until.load(Ordering::Relaxed);
        let Some((_, key)) = view.find(&digest) else {
            let kind = if root_verified {
                Kind::Unauthenticated
            } else {
                Kind::KeyUnverified
            };
            return Err(Error::from(kind));
        };
        if key.withdrawn {
            return Err(Error::from(Kind::KeyWithdrawn));
        }
        let is_home = key.home_zone.as_ref() == Some(&self.zone);
        let zone_verified = now.0 < self.zone_verified_until.load(Ordering::Relaxed);
        let serves_stale = view
            .config
            .teams
            .get(&key.team)
            .is_some_and(|team| team.stale_keys == StaleKeys::Serve);
        // While the home zone is partitioned from the root group, its keys are verified by the
        // zone leader alone.
        let verified = root_verified || (is_home && zone_verified) || serves_stale;
        if !verified {
            return Err(Error::from(Kind::KeyUnverified));
        }
        if !view.config.teams.contains_key(&key.team) {
            return Err(Error::new(Kind::Forbidden, "the team no longer exists"));
        }
        Ok(key.team.clone())
    }

    /// Submits a request to admission. If it has to wait, the returned receiver yields its
    /// assignment or refusal.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused at once.
    pub fn submit(&self, request: Request) -> Result<Submitted, Refusal> {
        let now = self.clock.now();
        let mut gate = self.gate.lock().expect("gate lock");
        match gate.submit(now, request) {
            Admission::Start(assignment) => Ok(Submitted::Started(assignment)),
            Admission::Refuse(refusal) => Err(refusal),
            Admission::Wait { ticket, displaced } => {
                let (tx, rx) = oneshot::channel();
                let mut waiters = self.waiters.lock().expect("waiters lock");
                waiters.insert(ticket, tx);
                let displaced_waiter = displaced.and_then(|ticket| waiters.remove(&ticket));
                drop(waiters);
                drop(gate);
                if let Some(displaced_waiter) = displaced_waiter {
                    let _ = displaced_waiter.send(Err(refusal(Kind::Overloaded)));
                }
                Ok(Submitted::Waiting(ticket, rx))
            }
        }
    }

    /// Removes a waiting request whose caller is gone.
    pub fn cancel(&self, service: ServiceKey, ticket: Ticket) {
        let mut gate = self.gate.lock().expect("gate lock");
        gate.cancel(service, ticket);
        self.waiters.lock().expect("waiters lock").remove(&ticket);
    }

    /// Reserves a slot for a retry at an upstream other than `avoid`, if one is free.
    pub fn retry(
        &self,
        service: ServiceKey,
        team: TeamKey,
        avoid: UpstreamKey,
    ) -> Option<Assignment> {
        let now = self.clock.now();
        let mut gate = self.gate.lock().expect("gate lock");
        gate.retry(now, service, team, avoid)
    }

    /// Releases the slot of an assignment and dispatches waiting requests.
    pub fn finish(&self, assignment: Assignment, completion: Completion) {
        let now = self.clock.now();
        let mut gate = self.gate.lock().expect("gate lock");
        gate.finish(now, assignment, completion);
        drop(gate);
        if completion == Completion::Answered {
            self.budget.lock().expect("budget lock").record_success();
        }
        self.dispatch();
    }

    /// Suspends an upstream that has not answered in time.
    pub fn suspend(&self, upstream: UpstreamKey) {
        let now = self.clock.now();
        self.gate.lock().expect("gate lock").suspend(now, upstream);
    }

    /// Dispatches waiting requests for which there is capacity.
    pub fn dispatch(&self) {
        loop {
            let now = self.clock.now();
            let mut gate = self.gate.lock().expect("gate lock");
            let started = gate.dispatch(now);
            if started.is_empty() {
                return;
            }
            let mut undelivered = Vec::new();
            let mut waiters = self.waiters.lock().expect("waiters lock");
            for (ticket, assignment) in started {
                let sent = waiters
                    .remove(&ticket)
                    .is_some_and(|tx| tx.send(Ok(assignment)).is_ok());
                if !sent {
                    undelivered.push(assignment);
                }
            }
            drop(waiters);
            for assignment in &undelivered {
                gate.finish(now, *assignment, Completion::Unsent);
            }
            if undelivered.is_empty() {
                return;
            }
        }
    }

    /// Samples the usage of all teams for the fair-share metrics.
    pub fn sample(&self) {
        let now = self.clock.now();
        let teams = self.gate.lock().expect("gate lock").team_stats();
        self.metrics.sample(now, &teams);
    }

    /// Refuses waiting requests that can no longer meet their deadlines.
    pub fn expire(&self) {
        let now = self.clock.now();
        let expired = self.gate.lock().expect("gate lock").expire(now);
        if expired.is_empty() {
            return;
        }
        let mut waiters = self.waiters.lock().expect("waiters lock");
        for ticket in expired {
            if let Some(tx) = waiters.remove(&ticket) {
                let _ = tx.send(Err(refusal(Kind::DeadlineUnmeetable)));
            }
        }
    }
}

/// Result of a request that was not refused.
#[derive(Debug)]
pub enum Submitted {
    /// The request has a slot.
    Started(Assignment),
    /// The request is queued; the receiver yields the decision.
    Waiting(Ticket, oneshot::Receiver<Result<Assignment, Refusal>>),
}

fn refusal(kind: Kind) -> Refusal {
    Refusal {
        kind,
        retry_after: kind.answer().retry_after.unwrap_or_default(),
    }
}
