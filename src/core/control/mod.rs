//! The control state of one instance: a pure machine that takes inputs and
//! returns effects. One thread drives it.

mod claims;
mod peers;
mod query;
mod root;
mod tasks;
mod zone;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;

pub use query::{Answer, PeerStatus, Query, Status, Target, UpstreamStat};
pub use tasks::JobLine;

use crate::core::agent::Agent;
use crate::core::allocator::Allocator;
use crate::core::claim;
use crate::core::consensus::{Ready, Replica, Stored};
use crate::core::fleet::Fleet;
use crate::core::freshness::Tracker;
use crate::core::gate::Gate;
use crate::core::job::{Ended, Task};
use crate::core::lease::{Participant, Register};
use crate::core::registry::{Command, InstanceId, Member, Outcome, Registry};
use crate::core::time::Moment;
use crate::error::{Error, Kind};
use crate::event::Event;
use crate::wire::{Body, Voter};

/// Interval at which pings tell of all known peers.
const GOSSIP_EVERY: Duration = Duration::from_secs(5);
/// Interval of pings on each link.
const PING_EVERY: Duration = Duration::from_millis(500);
/// A peer that was silent for this long is taken to be gone.
pub const PEER_SILENCE_MAX: Duration = Duration::from_millis(2_500);
/// A gap between ticks above this is a pause of this process.
const OWN_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Interval at which withdrawals are proposed until they are committed.
const WITHDRAW_EVERY: Duration = Duration::from_secs(1);
/// A question is given up after this long.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Bytes of log after which a snapshot is made.
const COMPACT_BYTES: usize = 2 << 20;
/// Entries of log after which a snapshot is made.
const COMPACT_ENTRIES: usize = 4_096;

/// Another instance as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Run of its process.
    pub id: InstanceId,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub address: String,
    /// Identity as a replica.
    pub replica: u64,
    /// Whether it has a disk.
    pub durable: bool,
    /// Whether it has joined a founded group.
    pub founded: bool,
}

/// What this instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Run of its process.
    pub id: InstanceId,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for peers.
    pub address: String,
    /// Identity as a replica.
    pub replica: u64,
    /// Whether it has a disk.
    pub durable: bool,
    /// Names of the instances that found the root group.
    pub founders: Vec<String>,
    /// A voter that was silent for longer is replaced by a spare.
    pub replace_after: Duration,
}

/// Something that happened.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A link came up.
    PeerUp(Peer),
    /// A link went down.
    PeerDown(InstanceId),
    /// A message came.
    Message(InstanceId, Body),
    /// A local question.
    Ask {
        /// Number that the answer repeats.
        call: u64,
        /// Who is to answer.
        target: Target,
        /// Question.
        query: Query,
    },
    /// A planned stop begins.
    Leave,
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a message.
    Send(InstanceId, Body),
    /// Answer a local question.
    Reply(u64, Answer),
    /// Record an event.
    Event(Event),
    /// The registry, the tombstones or the freshness changed.
    Publish,
}

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    Local(u64),
    Peer(InstanceId, u64),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    to: InstanceId,
    origin: Origin,
    until: Moment,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    heard: Moment,
    ping_received: u64,
    ping_received_at: Moment,
}

/// Control state of one instance.
#[derive(Debug)]
pub struct Control {
    me: Identity,
    gate: Arc<Mutex<Gate>>,
    replica: Replica,
    registry: Registry,
    peers: BTreeMap<InstanceId, Known>,
    fresh: Tracker,
    participant: Participant,
    agent: Agent,
    allocator: Option<Allocator>,
    fleet: Option<Fleet>,
    polls: BTreeMap<String, Pending>,
    ends: BTreeMap<Task, Ended>,
    ends_at: Moment,
    jobs_seen: u64,
    withdraw_at: Moment,
    register: Register,
    root_term: Option<u64>,
    acting: bool,
    wants: BTreeMap<(String, String), root::Demanded>,
    told: BTreeMap<String, root::Want>,
    told_at: Moment,
    wants_at: Moment,
    proposals: BTreeMap<u64, (u64, Option<Origin>, Option<String>)>,
    calls: BTreeMap<u64, Pending>,
    next_call: u64,
    ping_at: Moment,
    gossip_at: Moment,
    tombstones: BTreeSet<String>,
    claims: BTreeMap<String, claim::Table>,
    copies: claims::Copies,
    leaving: bool,
    ticked_at: Moment,
    effects: Vec<Effect>,
}

impl Control {
    /// Makes the control state of an instance that starts at `now`.
    pub fn new(
        me: Identity,
        gate: Arc<Mutex<Gate>>,
        stored: Stored,
        now: Moment,
        seed: u64,
    ) -> Self {
        let registry = decode_registry(&stored.snapshot.data).unwrap_or_default();
        let member = Member {
            id: me.id,
            address: me.address.clone(),
        };
        let replica = Replica::new(me.replica, &me.name, me.durable, stored, now, seed);
        let mut control = Self {
            gate,
            replica,
            registry,
            peers: BTreeMap::new(),
            fresh: Tracker::default(),
            participant: Participant::new(member, now),
            agent: Agent::new(me.zone.clone()),
            allocator: None,
            fleet: None,
            polls: BTreeMap::new(),
            ends: BTreeMap::new(),
            ends_at: now,
            jobs_seen: u64::MAX,
            withdraw_at: now,
            register: Register::default(),
            root_term: None,
            acting: false,
            wants: BTreeMap::new(),
            told: BTreeMap::new(),
            told_at: Moment::ZERO,
            wants_at: now,
            proposals: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: seed,
            ping_at: now,
            gossip_at: now,
            tombstones: BTreeSet::new(),
            claims: BTreeMap::new(),
            copies: claims::Copies::default(),
            leaving: false,
            ticked_at: now,
            effects: Vec::new(),
            me,
        };
        control.take_registry(now, 0);
        control
    }

    /// Returns the replicated state as far as it is known here.
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the names of keys whose withdrawal was heard of.
    pub const fn tombstones(&self) -> &BTreeSet<String> {
        &self.tombstones
    }

    /// Returns the moment up to which all commits are known.
    pub const fn fresh_as_of(&self) -> Option<Moment> {
        self.fresh.as_of()
    }

    /// Returns until when keys count as verified by the root group.
    pub fn root_vouches_until(&self) -> Moment {
        let freshness = self.registry.config.cell.freshness;
        let as_of = self.fresh.as_of();
        as_of.map_or(Moment::ZERO, |as_of| as_of + freshness)
    }

    /// Returns until when the own zone's leader vouches for keys whose home is the
    /// zone. Zero while this instance lacks something that the leader had applied.
    pub fn zone_vouches_until(&self) -> Moment {
        if self.registry.applied < self.agent.zone_applied() {
            return Moment::ZERO;
        }
        let gate = self.gate.lock().expect("gate lock");
        self.agent
            .own_source()
            .map_or(Moment::ZERO, |source| gate.expiry(source))
    }

    /// Returns the consensus replica.
    pub const fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether a link to `peer` is known.
    pub fn knows(&self, peer: InstanceId) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Returns the zone leadership as this instance sees it.
    pub const fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Returns the zone leader's state, while this instance leads its zone.
    pub const fn allocator(&self) -> Option<&Allocator> {
        self.allocator.as_ref()
    }

    /// Takes an input and returns what is to be done once [`Control::take_ready`]
    /// has been stored.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::PeerUp(peer) => self.peer_up(now, peer),
            Input::PeerDown(id) => self.peer_down(now, id),
            Input::Message(from, body) => self.message(now, from, body),
            Input::Ask {
                call,
                target,
                query,
            } => self.ask(now, call, &target, query),
            Input::Leave => self.leave(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns what the replica wants stored, sent and applied.
    pub fn take_ready(&mut self, now: Moment) -> Ready {
        self.replica.flush(now);
        self.replica.take_ready()
    }

    /// Goes on after `ready` has been stored.
    pub fn stored(&mut self, now: Moment, ready: Ready) -> Vec<Effect> {
        self.replica.persisted(now);
        for raft in ready.messages {
            self.send_raft(now, raft);
        }
        let before = self.registry.version;
        if let Some(snapshot) = ready.snapshot
            && let Some(registry) = decode_registry(&snapshot.data)
        {
            self.registry = registry;
            self.registry.applied = snapshot.index;
            self.effects.push(Effect::Event(Event::SnapshotLoaded {
                index: snapshot.index,
            }));
            self.take_registry(now, before);
        }
        if !ready.committed.is_empty() {
            for entry in ready.committed {
                self.apply(now, entry.index, entry.term, &entry.command, &entry.voters);
            }
            self.take_registry(now, before);
        }
        self.fresh.apply(self.registry.applied);
        std::mem::take(&mut self.effects)
    }

    /// Makes a snapshot if the log has grown long; yields it for storing.
    pub fn compact(&mut self) -> Option<crate::core::consensus::Snapshot> {
        let log = self.replica.log();
        if log.bytes() < COMPACT_BYTES && log.len() < COMPACT_ENTRIES {
            return None;
        }
        let data = postcard::to_allocvec(&self.registry).expect("registry encodes");
        self.replica.compact(self.registry.applied, data.into())
    }

    fn tick(&mut self, now: Moment) {
        self.forgive_own_pause(now);
        self.replica.tick(now);
        self.expire_peers(now);
        self.expire_calls(now);
        self.found(now);
        self.ping(now);
        self.tick_root(now);
        self.tick_zone(now);
        self.tick_claims(now);
        self.tick_tasks(now);
        self.repeat_withdrawals(now);
        self.report(now);
    }

    fn report(&mut self, now: Moment) {
        let reports = {
            let mut gate = self.gate.lock().expect("gate lock");
            gate.sweep();
            self.agent.tick(now, &mut gate)
        };
        for (leader, report) in reports {
            if leader == self.me.id {
                self.take_report(now, self.me.id, &report);
            } else {
                self.send(leader, Body::Report(report));
            }
        }
    }

    // The founders wait until all of them are seen blank; the first by name founds.
    fn found(&mut self, now: Moment) {
        if !self.replica.is_blank() || !self.me.durable {
            return;
        }
        let mut names = self.me.founders.clone();
        names.sort_unstable();
        if names.first() != Some(&self.me.name) {
            return;
        }
        let mut voters = vec![Voter {
            replica: self.me.replica,
            name: self.me.name.clone(),
        }];
        for name in names.iter().skip(1) {
            let peer = self.peers.values().find(|k| k.peer.name == *name);
            let Some(known) = peer.filter(|k| !k.peer.founded && k.peer.durable) else {
                return;
            };
            voters.push(Voter {
                replica: known.peer.replica,
                name: name.clone(),
            });
        }
        self.replica.found(now, voters);
    }

    fn root_leader(&self) -> Option<InstanceId> {
        self.instance_of(self.replica.leader()?)
    }

    fn zone_leader(&self, zone: &str) -> Option<InstanceId> {
        self.registry.zones.get(zone).map(|led| led.leader)
    }

    fn apply(&mut self, now: Moment, index: u64, term: u64, command: &Bytes, voters: &[Voter]) {
        if !voters.is_empty() {
            self.registry.applied = index;
            let names: Vec<&str> = voters.iter().map(|v| v.name.as_str()).collect();
            let voters = names.join(" ");
            self.effects
                .push(Effect::Event(Event::VotersChanged { voters }));
            return;
        }
        // The first entry of a term changes nothing.
        if command.is_empty() {
            self.registry.applied = index;
            return;
        }
        let decoded: Result<Command, _> = postcard::from_bytes(command);
        let outcome = match &decoded {
            Ok(command) => self.registry.apply(index, command),
            Err(err) => {
                self.registry.applied = index;
                Outcome::Refused(Error::new(Kind::Internal, err.to_string()))
            }
        };
        if let Ok(command) = &decoded {
            self.record_command(command, &outcome);
        }
        if let Some((proposed, origin, naming)) = self.proposals.remove(&index) {
            if let Some(zone) = naming {
                self.register.end_naming(&zone);
            }
            let answer = if proposed == term {
                Answer::Outcome(outcome)
            } else {
                Answer::Failed(Error::new(Kind::NoQuorum, "the root leader changed"))
            };
            if let Some(origin) = origin {
                self.answer(now, origin, answer);
            }
        }
    }

    fn record_command(&mut self, command: &Command, outcome: &Outcome) {
        let event = match (command, outcome) {
            (Command::Submit(job), Outcome::Submitted(id)) => Event::JobSubmitted {
                job: id.0,
                team: job.team.clone(),
            },
            (Command::WithdrawKey { id }, Outcome::Withdrawn { .. }) => {
                Event::KeyWithdrawn { key: id.clone() }
            }
            _ => return,
        };
        self.effects.push(Effect::Event(event));
    }

    // Brings everything that mirrors the registry up to date.
    fn take_registry(&mut self, now: Moment, version_before: u64) {
        let version = self.registry.version;
        let mut gate = self.gate.lock().expect("gate lock");
        if version != version_before {
            for (name, team) in &self.registry.config.teams {
                gate.put_team(name, team.share);
            }
            for (name, service) in &self.registry.config.services {
                gate.put_service(name, service.queue_limit);
            }
            self.effects
                .push(Effect::Event(Event::ConfigInForce { version }));
        }
        for (zone, led) in &self.registry.zones {
            self.agent.set_leader(&mut gate, zone, led.leader);
        }
        drop(gate);
        self.observe_leadership(now);
        self.effects.push(Effect::Publish);
    }

    fn leave(&mut self, now: Moment) {
        self.leaving = true;
        self.release_polls(now);
        self.agent.leave();
        self.ping_at = now;
        self.effects.push(Effect::Event(Event::Draining {}));
    }

    /// Gives up zone leadership, at the end of a planned stop.
    pub const fn resign(&mut self) {
        self.participant.resign();
    }
}

fn decode_registry(data: &[u8]) -> Option<Registry> {
    if data.is_empty() {
        return None;
    }
    postcard::from_bytes(data).ok()
}
