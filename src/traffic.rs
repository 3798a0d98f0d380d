//! What the traffic threads share with the control thread.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use crate::clock::{Clock, wall_millis};
use crate::config::{Config, StaleKeys};
use crate::core::gate::{
    Admission, Assignment, Exchange, Gate, Refusal, Request, ServiceKey, TeamKey, Ticket,
    UpstreamKey,
};
use crate::core::registry::{InstanceId, Key};
use crate::core::retry::Budget;
use crate::core::time::Moment;
use crate::error::{Error, Kind, Result};
use crate::event::{Event, Ring, Stamp};
use crate::metrics::Metrics;
use crate::util::sha256;

/// What the control thread publishes for every request to read.
#[derive(Debug, Default)]
pub struct View {
    /// Keys by the first eight bytes of their digests.
    keys: HashMap<[u8; 8], Vec<(String, Key)>>,
    /// Configuration in force.
    pub config: Config,
    /// Version of the configuration.
    pub version: u64,
    /// Zones in the order in which they were first seen.
    pub zones: Vec<String>,
}

impl View {
    /// Makes a view; keys in `tombstones` count as withdrawn.
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
    /// Run of the process.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: String,
    /// Clock of the process.
    pub clock: Clock,
    /// Admission state.
    pub gate: Arc<Mutex<Gate>>,
    /// Published state.
    pub view: ArcSwap<View>,
    /// Events.
    pub ring: Mutex<Ring>,
    /// Budget of retries.
    pub budget: Mutex<Budget>,
    /// Metrics.
    pub metrics: Metrics,
    waiters: Mutex<HashMap<Ticket, oneshot::Sender<Result<Assignment, Refusal>>>>,
    root_fresh: AtomicU64,
    zone_fresh: AtomicU64,
    minted: AtomicU64,
}

impl Traffic {
    /// Makes the shared state of an instance.
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
            root_fresh: AtomicU64::new(0),
            zone_fresh: AtomicU64::new(0),
            minted: AtomicU64::new(0),
        }
    }

    /// Records an event.
    pub fn record(&self, event: Event) {
        log::info!(target: "event", "{} {} {event:?}", event.number(), event.name());
        let mut ring = self.ring.lock().expect("ring lock");
        ring.push(wall_millis(), event);
    }

    /// Takes the event clock of a peer, so that later events here sort after it.
    pub fn hear_stamp(&self, stamp: Stamp) {
        let mut ring = self.ring.lock().expect("ring lock");
        ring.hear(stamp, wall_millis());
    }

    /// Returns the event clock.
    pub fn stamp(&self) -> Stamp {
        self.ring.lock().expect("ring lock").stamp()
    }

    /// Sets until when keys count as verified: by the root group, and by the
    /// leader of the own zone for keys whose home it is.
    pub fn set_fresh(&self, root: Moment, zone: Moment) {
        self.root_fresh.store(root.0, Ordering::Relaxed);
        self.zone_fresh.store(zone.0, Ordering::Relaxed);
    }

    /// Mints a request id that carries its home zone and the time.
    pub fn mint(&self) -> String {
        let count = self.minted.fetch_add(1, Ordering::Relaxed);
        format!("{}:{}:{}:{count}", self.zone, wall_millis(), self.id)
    }

    /// Returns the team that `secret` stands for.
    ///
    /// # Errors
    ///
    /// Fails if the key is unknown, withdrawn or cannot be verified now.
    pub fn authenticate(&self, view: &View, secret: &str) -> Result<String> {
        let digest = sha256(secret.as_bytes());
        let now = self.clock.now();
        let root_fresh = now.0 < self.root_fresh.load(Ordering::Relaxed);
        let Some((_, key)) = view.find(&digest) else {
            let kind = if root_fresh {
                Kind::Unauthenticated
            } else {
                Kind::KeyUnverified
            };
            return Err(Error::from(kind));
        };
        if key.withdrawn {
            return Err(Error::from(Kind::KeyWithdrawn));
        }
        let home = key.home_zone.as_ref() == Some(&self.zone);
        let zone_fresh = now.0 < self.zone_fresh.load(Ordering::Relaxed);
        let serves_stale = view
            .config
            .teams
            .get(&key.team)
            .is_some_and(|team| team.stale_keys == StaleKeys::Serve);
        // While a home zone is cut off, only its leader's word counts for its keys.
        let verified = root_fresh || (home && zone_fresh) || serves_stale;
        if !verified {
            return Err(Error::from(Kind::KeyUnverified));
        }
        if !view.config.teams.contains_key(&key.team) {
            return Err(Error::new(Kind::Forbidden, "the team no longer exists"));
        }
        Ok(key.team.clone())
    }

    /// Takes a request; the receiver yields its assignment or refusal.
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
                let loser = displaced.and_then(|ticket| waiters.remove(&ticket));
                drop(waiters);
                drop(gate);
                if let Some(loser) = loser {
                    let _ = loser.send(Err(refusal(Kind::Overloaded)));
                }
                Ok(Submitted::Waiting(ticket, rx))
            }
        }
    }

    /// Takes a waiting request back.
    pub fn cancel(&self, service: ServiceKey, ticket: Ticket) {
        let mut gate = self.gate.lock().expect("gate lock");
        gate.cancel(service, ticket);
        self.waiters.lock().expect("waiters lock").remove(&ticket);
    }

    /// Assigns a retry, if there is capacity.
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

    /// Ends an assignment and starts what waits for its slot.
    pub fn finish(&self, assignment: Assignment, exchange: Exchange) {
        let now = self.clock.now();
        let mut gate = self.gate.lock().expect("gate lock");
        gate.finish(now, assignment, exchange);
        drop(gate);
        if exchange == Exchange::Answered {
            self.budget.lock().expect("budget lock").earn();
        }
        self.pump();
    }

    /// Avoids an upstream that has not answered in time.
    pub fn suspect(&self, upstream: UpstreamKey) {
        let now = self.clock.now();
        self.gate.lock().expect("gate lock").suspect(now, upstream);
    }

    /// Starts waiting requests for which there is capacity.
    pub fn pump(&self) {
        loop {
            let now = self.clock.now();
            let mut gate = self.gate.lock().expect("gate lock");
            let started = gate.pump(now);
            if started.is_empty() {
                return;
            }
            let mut unwanted = Vec::new();
            let mut waiters = self.waiters.lock().expect("waiters lock");
            for (ticket, assignment) in started {
                let sent = waiters
                    .remove(&ticket)
                    .is_some_and(|tx| tx.send(Ok(assignment)).is_ok());
                if !sent {
                    unwanted.push(assignment);
                }
            }
            drop(waiters);
            for assignment in &unwanted {
                gate.finish(now, *assignment, Exchange::Unsent);
            }
            if unwanted.is_empty() {
                return;
            }
        }
    }

    /// Takes the gate's figures into the measure of nearness to share.
    pub fn sample(&self) {
        let now = self.clock.now();
        let teams = self.gate.lock().expect("gate lock").team_stats();
        self.metrics.sample(now, &teams);
    }

    /// Refuses waiting requests that can no longer meet their deadlines.
    pub fn expire(&self) {
        let now = self.clock.now();
        let late = self.gate.lock().expect("gate lock").expire(now);
        if late.is_empty() {
            return;
        }
        let mut waiters = self.waiters.lock().expect("waiters lock");
        for ticket in late {
            if let Some(tx) = waiters.remove(&ticket) {
                let _ = tx.send(Err(refusal(Kind::DeadlineUnmeetable)));
            }
        }
    }
}

/// A request that was taken.
#[derive(Debug)]
pub enum Submitted {
    /// It runs now.
    Started(Assignment),
    /// It waits.
    Waiting(Ticket, oneshot::Receiver<Result<Assignment, Refusal>>),
}

fn refusal(kind: Kind) -> Refusal {
    Refusal {
        kind,
        retry_after: kind.answer().retry_after.unwrap_or_default(),
    }
}
