//! Control state of one instance: a state machine without I/O that takes inputs
//! and returns effects. It is driven by one thread.

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
pub use tasks::JobSummary;

use crate::core::agent::Agent;
use crate::core::allocator::Allocator;
use crate::core::claim;
use crate::core::consensus::{Ready, Replica, Stored};
use crate::core::fleet::Fleet;
use crate::core::freshness::Tracker;
use crate::core::gate::Gate;
use crate::core::job::{Ended, Task};
use crate::core::lease::{Grants, Participant};
use crate::core::registry::{Command, InstanceId, Member, Outcome, Registry};
use crate::core::room::Holdings;
use crate::core::time::Moment;
use crate::error::{Error, Kind};
use crate::event::Event;
use crate::wire::{Body, Voter};

/// Interval at which pings carry the addresses of all known peers.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between pings on each link.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a peer counts as disconnected.
pub const PEER_SILENCE_MAX: Duration = Duration::from_millis(2_500);
/// Gap between ticks above which this process counts as having been paused.
const OWN_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Interval at which key revocations are proposed until they are committed.
const WITHDRAWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a call to another instance fails if it was not answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Size of the log at which it is compacted into a snapshot.
const COMPACT_LOG_BYTES: usize = 2 << 20;
/// Number of log entries at which the log is compacted into a snapshot.
const COMPACT_LOG_ENTRIES: usize = 4_096;

/// Properties of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// ID of its process run.
    pub id: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for connections from peers.
    pub address: String,
    /// ID of its replica of the root group.
    pub replica: u64,
    /// Whether it stores the log on disk.
    pub durable: bool,
    /// Whether its replica belongs to a root group that was already founded.
    pub founded: bool,
    /// Room for jobs on its machine, in bytes; 0 if it states none.
    pub room_bytes: u64,
}

/// Properties of this instance.
#[derive(Clone, Debug)]
pub struct Identity {
    /// ID of its process run.
    pub id: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for connections from peers.
    pub address: String,
    /// ID of its replica of the root group.
    pub replica: u64,
    /// Whether it stores the log on disk.
    pub durable: bool,
    /// Names of the instances that found the root group.
    pub founders: Vec<String>,
    /// Silence after which a spare replaces a voter.
    pub replace_after: Duration,
    /// Room for jobs on its machine, in bytes; 0 if it states none.
    pub room_bytes: u64,
}

/// Input to the state machine.
#[derive(Debug)]
pub enum Input {
    /// Periodic clock tick.
    Tick,
    /// A link to a peer was established.
    PeerUp(Peer),
    /// A link to a peer was lost.
    PeerDown(InstanceId),
    /// A message from a peer arrived.
    Message(InstanceId, Body),
    /// A query from this process.
    Ask {
        /// Call number that the reply carries.
        call: u64,
        /// Instance that should answer.
        target: Target,
        /// Query to answer.
        query: Query,
    },
    /// A planned stop of this instance begins.
    Leave,
}

/// Action that the driver should perform.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to an instance.
    Send(InstanceId, Body),
    /// Answer the local query with this call number.
    Reply(u64, Answer),
    /// Record an event in the event log.
    Event(Event),
    /// Publish the registry, the tombstones and the freshness, which may have changed.
    Publish,
}

/// Receiver of an answer.
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
struct PeerState {
    peer: Peer,
    last_heard: Moment,
    ping_received: u64,
    ping_received_at: Moment,
}

/// Control state of one instance.
#[derive(Debug)]
pub struct Control {
    identity: Identity,
    gate: Arc<Mutex<Gate>>,
    replica: Replica,
    registry: Registry,
    peers: BTreeMap<InstanceId, PeerState>,
    fresh: Tracker,
    participant: Participant,
    agent: Agent,
    allocator: Option<Allocator>,
    fleet: Option<Fleet>,
    waiting_polls: BTreeMap<String, Pending>,
    unconfirmed_ends: BTreeMap<Task, Ended>,
    next_ends_at: Moment,
    synced_job_changes: u64,
    next_withdrawal_at: Moment,
    lease_grants: Grants,
    root_term: Option<u64>,
    had_authority: bool,
    demands: BTreeMap<(String, String), root::RecordedDemand>,
    reported: BTreeMap<String, root::TeamDemand>,
    full_report_at: Moment,
    next_report_at: Moment,
    proposals: BTreeMap<u64, (u64, Option<Origin>, Option<String>)>,
    /// Jobs that are proposed and not yet in the registry, by index in the log.
    job_proposals: BTreeMap<u64, tasks::Proposal>,
    /// What these jobs hold.
    proposed_jobs: Holdings<String>,
    calls: BTreeMap<u64, Pending>,
    next_call: u64,
    next_ping_at: Moment,
    next_gossip_at: Moment,
    tombstones: BTreeSet<String>,
    claims: BTreeMap<String, claim::Table>,
    replication: claims::Replication,
    leaving: bool,
    last_tick_at: Moment,
    effects: Vec<Effect>,
}

impl Control {
    /// Creates the control state of an instance that starts at `now`.
    pub fn new(
        identity: Identity,
        gate: Arc<Mutex<Gate>>,
        stored: Stored,
        now: Moment,
        seed: u64,
    ) -> Self {
        let registry = decode_registry(&stored.snapshot.data).unwrap_or_default();
        let member = Member {
            id: identity.id,
            address: identity.address.clone(),
        };
        let replica = Replica::new(
            identity.replica,
            &identity.name,
            identity.durable,
            stored,
            now,
            seed,
        );
        let mut control = Self {
            gate,
            replica,
            registry,
            peers: BTreeMap::new(),
            fresh: Tracker::default(),
            participant: Participant::new(member, now),
            agent: Agent::new(identity.zone.clone()),
            allocator: None,
            fleet: None,
            waiting_polls: BTreeMap::new(),
            unconfirmed_ends: BTreeMap::new(),
            next_ends_at: now,
            synced_job_changes: u64::MAX,
            next_withdrawal_at: now,
            lease_grants: Grants::default(),
            root_term: None,
            had_authority: false,
            demands: BTreeMap::new(),
            reported: BTreeMap::new(),
            full_report_at: Moment::ZERO,
            next_report_at: now,
            proposals: BTreeMap::new(),
            job_proposals: BTreeMap::new(),
            proposed_jobs: Holdings::default(),
            calls: BTreeMap::new(),
            next_call: seed,
            next_ping_at: now,
            next_gossip_at: now,
            tombstones: BTreeSet::new(),
            claims: BTreeMap::new(),
            replication: claims::Replication::default(),
            leaving: false,
            last_tick_at: now,
            effects: Vec::new(),
            identity,
        };
        control.apply_registry(now, 0);
        control
    }

    /// Returns the replicated state as applied at this instance.
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Returns the names of keys known to be revoked, including revocations that are
    /// not yet committed.
    pub const fn tombstones(&self) -> &BTreeSet<String> {
        &self.tombstones
    }

    /// Returns the moment up to which all commits are applied, if known.
    pub const fn fresh_as_of(&self) -> Option<Moment> {
        self.fresh.as_of()
    }

    /// Returns the moment until which keys count as verified by the root group.
    pub fn root_verified_until(&self) -> Moment {
        let freshness = self.registry.config.cell.freshness;
        let as_of = self.fresh.as_of();
        as_of.map_or(Moment::ZERO, |as_of| as_of + freshness)
    }

    /// Returns the moment until which keys whose home is this zone count as verified
    /// by its leader. Zero while this instance has not applied all log entries that
    /// the leader had applied.
    pub fn zone_verified_until(&self) -> Moment {
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

    /// Returns whether `peer` is connected.
    pub fn has_peer(&self, peer: InstanceId) -> bool {
        self.peers.contains_key(&peer)
    }

    /// Returns this instance's state in the leader election of its zone.
    pub const fn participant(&self) -> &Participant {
        &self.participant
    }

    /// Returns the zone's allocator while this instance leads the zone.
    pub const fn allocator(&self) -> Option<&Allocator> {
        self.allocator.as_ref()
    }

    /// Handles an input. The returned effects must be performed only after the
    /// result of [`Control::take_ready`] has been stored.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Effect> {
        match input {
            Input::Tick => self.tick(now),
            Input::PeerUp(peer) => self.peer_up(now, peer),
            Input::PeerDown(id) => self.peer_down(now, id),
            Input::Message(from, body) => self.handle_message(now, from, body),
            Input::Ask {
                call,
                target,
                query,
            } => self.ask(now, call, &target, query),
            Input::Leave => self.leave(now),
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the replica's data to store, send and apply.
    pub fn take_ready(&mut self, now: Moment) -> Ready {
        self.replica.flush(now);
        self.replica.take_ready()
    }

    /// Sends and applies the contents of `ready` after it has been stored.
    pub fn advance(&mut self, now: Moment, ready: Ready) -> Vec<Effect> {
        self.replica.mark_persisted(now);
        for raft in ready.messages {
            self.send_raft(now, raft);
        }
        let version_before = self.registry.version;
        if let Some(snapshot) = ready.snapshot
            && let Some(registry) = decode_registry(&snapshot.data)
        {
            self.registry = registry;
            self.registry.applied = snapshot.index;
            self.effects.push(Effect::Event(Event::SnapshotLoaded {
                index: snapshot.index,
            }));
            self.apply_registry(now, version_before);
        }
        if !ready.committed.is_empty() {
            for entry in ready.committed {
                self.apply(now, entry.index, entry.term, &entry.command, &entry.voters);
            }
            self.apply_registry(now, version_before);
        }
        self.fresh.advance(self.registry.applied);
        std::mem::take(&mut self.effects)
    }

    /// Compacts the log if it has reached the size limits. Returns the snapshot to
    /// store.
    pub fn compact(&mut self) -> Option<crate::core::consensus::Snapshot> {
        let log = self.replica.log();
        if log.bytes() < COMPACT_LOG_BYTES && log.len() < COMPACT_LOG_ENTRIES {
            return None;
        }
        let data = postcard::to_allocvec(&self.registry).expect("registry encodes");
        self.replica.compact(self.registry.applied, data.into())
    }

    fn tick(&mut self, now: Moment) {
        self.reset_silence_after_pause(now);
        self.replica.tick(now);
        self.expire_peers(now);
        self.expire_calls(now);
        self.found_group(now);
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
            gate.remove_drained_upstreams();
            self.agent.tick(now, &mut gate)
        };
        for (leader, report) in reports {
            if leader == self.identity.id {
                self.handle_report(now, self.identity.id, &report);
            } else {
                self.send(leader, Body::Report(report));
            }
        }
    }

    // The first founder by name founds the root group once all other founders are
    // connected and none of them belongs to a group.
    fn found_group(&mut self, now: Moment) {
        if !self.replica.is_uninitialized() || !self.identity.durable {
            return;
        }
        let mut names = self.identity.founders.clone();
        names.sort_unstable();
        if names.first() != Some(&self.identity.name) {
            return;
        }
        let mut voters = vec![Voter {
            replica: self.identity.replica,
            name: self.identity.name.clone(),
        }];
        for name in names.iter().skip(1) {
            let peer = self.peers.values().find(|state| state.peer.name == *name);
            let Some(state) = peer.filter(|state| !state.peer.founded && state.peer.durable) else {
                return;
            };
            voters.push(Voter {
                replica: state.peer.replica,
                name: name.clone(),
            });
        }
        self.replica.found(now, voters);
    }

    fn root_leader(&self) -> Option<InstanceId> {
        self.instance_of(self.replica.leader()?)
    }

    fn zone_leader(&self, zone: &str) -> Option<InstanceId> {
        self.registry
            .zones
            .get(zone)
            .map(|leadership| leadership.leader)
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
        // A leader's first entry in its term has no command.
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
        self.end_job_proposal(index);
        if let Some((proposal_term, origin, appointed_zone)) = self.proposals.remove(&index) {
            if let Some(zone) = appointed_zone {
                self.lease_grants.end_appointment(&zone);
            }
            let answer = if proposal_term == term {
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

    // Updates all state that is derived from the registry.
    fn apply_registry(&mut self, now: Moment, version_before: u64) {
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
        for (zone, leadership) in &self.registry.zones {
            self.agent.set_leader(&mut gate, zone, leadership.leader);
        }
        drop(gate);
        self.observe_leadership(now);
        self.effects.push(Effect::Publish);
    }

    fn leave(&mut self, now: Moment) {
        self.leaving = true;
        self.release_polls(now);
        self.agent.set_leaving();
        self.next_ping_at = now;
        self.effects.push(Effect::Event(Event::Draining {}));
    }

    /// Gives up the zone leadership at the end of a planned stop.
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
