//! Queries of other instances and of this process, and their routing.

use serde::{Deserialize, Serialize};

use super::tasks::JobSummary;
use super::{Control, Origin};
use crate::core::allocator::{Heartbeat, Seen};
use crate::core::claim;
use crate::core::fleet;
use crate::core::gate::TeamStat;
use crate::core::job::{self, Job, Spec};
use crate::core::registry::{Command, InstanceId, Outcome, Push};
use crate::core::time::Moment;
use crate::error::{Error, Kind};

/// Instance that should answer a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// This instance.
    Local,
    /// The leader of the root group.
    Root,
    /// The leader of a zone.
    Zone(String),
    /// The instance with this ID.
    Instance(InstanceId),
}

/// A query to an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Query {
    /// Append a command to the replicated log.
    Propose(Command),
    /// Handle an upstream's heartbeat.
    Announce(Heartbeat),
    /// Handle a zone's report of its demand for units of team limits.
    Demand(super::root::ZoneDemand),
    /// Return units of team limits from the zone to the pool.
    Return(Vec<(String, u64)>),
    /// Confirm that the zone leader has applied the log up to this index.
    Applied(u64),
    /// Return the status of the instance.
    Status,
    /// Return the accepted configuration pushes.
    History,
    /// Claim a request ID at its home zone.
    Claim(claim::Attempt),
    /// Report the outcome of a claimed run to its home zone.
    Settle(claim::Settlement),
    /// Store copies of a zone's claims.
    Copy(claim::Batch),
    /// Return all stored copies of a zone's claims.
    Fetch(String),
    /// Handle a worker's poll.
    Poll(Box<fleet::Poll>),
    /// Return whether a job with this spec can run in the zone.
    Admit(Box<Spec>),
    /// Return a job with its state.
    Job(job::Id),
    /// List the jobs of a team, or of all teams.
    Jobs(Option<String>),
    /// Explain why a job's tasks wait.
    Explain(job::Id),
    /// Appoint a new leader for a zone whose roster does not respond.
    Replace(String),
}

/// Answer to a query.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The query was carried out.
    Done,
    /// The heartbeat was accepted.
    HeartbeatAccepted(Seen),
    /// Outcome of the applied command.
    Outcome(Outcome),
    /// Units of team limits that the zone should return.
    Recalls(Vec<(String, u64)>),
    /// Status of the instance.
    Status(Box<Status>),
    /// Accepted configuration pushes, oldest first.
    History(Vec<Push>),
    /// Result of an attempt to claim a request ID.
    Verdict(claim::Verdict),
    /// Stored copies of claims.
    Copies(claim::Batch),
    /// Orders for a worker.
    Orders(Box<fleet::Orders>),
    /// Whether a job can run in the zone, and how much of the zone is free.
    Admission {
        /// Reason why the job can never run there, if any.
        misfit: Option<String>,
        /// Free fraction of the zone's dominant resource, in thousandths.
        free_milli: u64,
    },
    /// The requested job.
    Job(Box<Job>),
    /// Jobs, newest first.
    Jobs(Vec<JobSummary>),
    /// Reasons why a job's tasks wait.
    Explanation(fleet::Explanation),
    /// The query failed.
    Failed(Error),
}

/// A connected peer of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// ID of its process run.
    pub id: InstanceId,
    /// Name of the peer.
    pub name: String,
    /// Availability zone.
    pub zone: String,
}

/// Status of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// ID of its process run.
    pub id: InstanceId,
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the configuration in force.
    pub version: u64,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Age of the known root group state in milliseconds, if any is known.
    pub fresh_ms: Option<u64>,
    /// Name of the root leader, if known.
    pub root_leader: Option<String>,
    /// Names of the voters of the root group.
    pub voters: Vec<String>,
    /// Term of the root group.
    pub root_term: u64,
    /// Whether the instance may act as leader of its zone.
    pub leads_zone: bool,
    /// Term of the zone's leadership.
    pub zone_term: u64,
    /// Connected peers.
    pub peers: Vec<PeerStatus>,
    /// Admission statistics of the teams at this instance.
    pub teams: Vec<TeamStat>,
    /// Workers of the zone, if the instance leads it.
    pub workers: Vec<fleet::WorkerStatus>,
    /// Upstreams of the zone, if the instance leads it.
    pub upstreams: Vec<UpstreamStat>,
}

/// An upstream and its allotted slots at the zone leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamStat {
    /// Name of the upstream.
    pub name: String,
    /// Number of slots that it offers.
    pub slots: u64,
    /// Number of slots allotted to entry instances.
    pub allotted: u64,
    /// Whether the upstream is draining and gets no new requests.
    pub leaving: bool,
}

impl Control {
    pub(super) fn ask(&mut self, now: Moment, call: u64, target: &Target, query: Query) {
        let origin = Origin::Local(call);
        if let Query::Propose(Command::WithdrawKey { id }) = &query {
            // The revocation takes effect here and is sent to all peers before it is
            // committed.
            self.handle_withdrawn(vec![id.clone()]);
        }
        self.route(now, origin, target, query);
    }

    pub(super) fn route(&mut self, now: Moment, origin: Origin, target: &Target, query: Query) {
        let to = match target {
            Target::Local => Some(self.identity.id),
            Target::Root => self.root_leader(),
            Target::Zone(zone) => self.zone_leader(zone),
            Target::Instance(id) => Some(*id),
        };
        match to {
            Some(id) if id == self.identity.id => self.handle(now, origin, query),
            Some(id) if self.peers.contains_key(&id) => self.forward(now, id, origin, &query),
            _ => {
                let message = match target {
                    Target::Zone(zone) => format!("the leader of zone {zone} cannot be reached"),
                    _ => "the root group cannot be reached".to_owned(),
                };
                self.answer(
                    now,
                    origin,
                    Answer::Failed(Error::new(Kind::NoQuorum, message)),
                );
            }
        }
    }

    pub(super) fn handle(&mut self, now: Moment, origin: Origin, query: Query) {
        match query {
            Query::Propose(Command::Submit(job)) => self.submit(now, origin, job),
            Query::Propose(command) => {
                self.propose(now, origin, &command, None);
            }
            Query::Announce(heartbeat) => {
                let answer = self.handle_heartbeat(now, &heartbeat);
                self.answer(now, origin, answer);
            }
            Query::Demand(zone_demand) => {
                let answer = self.handle_zone_demand(now, &zone_demand);
                self.answer(now, origin, answer);
            }
            Query::Return(recalls) => {
                self.handle_recalls(now, &recalls);
                self.answer(now, origin, Answer::Done);
            }
            Query::Applied(at) => {
                let answer = self.confirm_applied(now, at);
                self.answer(now, origin, answer);
            }
            Query::Status => {
                let status = self.status(now);
                self.answer(now, origin, Answer::Status(Box::new(status)));
            }
            Query::History => {
                let history = self.registry.history.iter().cloned().collect();
                self.answer(now, origin, Answer::History(history));
            }
            Query::Claim(attempt) => self.handle_claim(now, origin, &attempt),
            Query::Settle(settlement) => self.handle_settlement(now, origin, settlement),
            Query::Copy(batch) => {
                self.store_copies(now, batch);
                self.answer(now, origin, Answer::Done);
            }
            Query::Fetch(zone) => {
                let batch = self.copies_of(now, &zone);
                self.answer(now, origin, Answer::Copies(batch));
            }
            Query::Poll(poll) => self.handle_poll(now, origin, &poll),
            Query::Admit(spec) => {
                let answer = self.admit(now, &spec);
                self.answer(now, origin, answer);
            }
            Query::Job(id) => {
                let answer = self.job(id);
                self.answer(now, origin, answer);
            }
            Query::Jobs(team) => {
                let answer = self.list_jobs(team.as_deref());
                self.answer(now, origin, answer);
            }
            Query::Explain(id) => {
                let answer = self.explain(now, id);
                self.answer(now, origin, answer);
            }
            Query::Replace(zone) => self.replace_zone(now, origin, &zone),
        }
    }

    /// Proposes a command. Returns its index in the log, unless it is refused.
    pub(super) fn propose(
        &mut self,
        now: Moment,
        origin: Origin,
        command: &Command,
        appointed_zone: Option<String>,
    ) -> Option<u64> {
        let body = postcard::to_allocvec(command).expect("command encodes");
        match self.replica.propose(body.into()) {
            Ok(index) => {
                let term = self.replica.term();
                let origin = (origin != super::root::NO_REPLY).then_some(origin);
                self.proposals.insert(index, (term, origin, appointed_zone));
                Some(index)
            }
            Err(err) => {
                if let Some(zone) = appointed_zone {
                    self.lease_grants.end_appointment(&zone);
                }
                let err = Error::new(Kind::NoQuorum, err.to_string());
                self.answer(now, origin, Answer::Failed(err));
                None
            }
        }
    }

    fn status(&self, now: Moment) -> Status {
        let gate = self.gate.lock().expect("gate lock");
        let leader = self.root_leader();
        let name_of = |id: InstanceId| {
            if id == self.identity.id {
                return Some(self.identity.name.clone());
            }
            self.peers.get(&id).map(|state| state.peer.name.clone())
        };
        Status {
            id: self.identity.id,
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            version: self.registry.version,
            applied: self.registry.applied,
            fresh_ms: self.fresh.age(now).map(|age| age.as_millis() as u64),
            root_leader: leader.and_then(name_of),
            voters: self
                .replica
                .voters()
                .iter()
                .map(|v| v.name.clone())
                .collect(),
            root_term: self.replica.term(),
            leads_zone: self.participant.may_act(now),
            zone_term: self.participant.term(),
            peers: self
                .peers
                .values()
                .map(|state| PeerStatus {
                    id: state.peer.id,
                    name: state.peer.name.clone(),
                    zone: state.peer.zone.clone(),
                })
                .collect(),
            teams: gate.team_stats(),
            workers: self
                .fleet
                .iter()
                .flat_map(|f| f.workers())
                .map(fleet::Worker::status)
                .collect(),
            upstreams: self
                .allocator
                .iter()
                .flat_map(|o| o.upstreams())
                .map(|upstream| UpstreamStat {
                    name: upstream.announcement().name.clone(),
                    slots: upstream.issuer().capacity(),
                    allotted: upstream.issuer().outstanding(),
                    leaving: upstream.is_leaving(),
                })
                .collect(),
        }
    }
}
