//! Claims on request ids: a non-idempotent request runs at most once under its id.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::error::Kind;

/// Claims that one zone leader remembers. Beyond it new ids are refused.
pub const CLAIMS_MAX: usize = 100_000;
/// Bytes of answers that one zone leader keeps.
pub const ANSWER_BYTES_MAX: usize = 4 << 20;
/// Largest answer that is kept.
pub const ANSWER_MAX: usize = 64 << 10;

/// Identity of a claim: digest of team and request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub [u8; 16]);

impl Id {
    /// Returns the identity of a team's request id.
    pub fn of(team: &str, request: &str) -> Self {
        let digest = crate::util::sha256(format!("{team}\n{request}").as_bytes());
        Self(digest[..16].try_into().expect("16 of 32 bytes"))
    }
}

/// A whole answer as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body.
    pub body: Vec<u8>,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner may be running it.
    Running,
    /// It was answered; the answer is kept if it is small and recent.
    Answered(Option<Answer>),
    /// It was sent and how it ended is not known.
    Unknown,
}

/// A claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Identity.
    pub id: Id,
    /// Digest of method, path and body.
    pub body: u64,
    /// Instance that runs it.
    pub owner: InstanceId,
    /// Age of the claim.
    pub age: Duration,
    /// What became of it.
    pub state: State,
}

/// Answer to an attempt to claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The claim is the caller's: it may run the request.
    Granted,
    /// The request ran before; here is its answer.
    Repeat(Answer),
    /// The request is not to be run.
    Refused(Kind),
}

#[derive(Clone, Debug)]
struct Entry {
    body: u64,
    owner: InstanceId,
    at: Moment,
    state: State,
}

/// Claims whose home is one zone, at its leader or at a holder of copies.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<Id, Entry>,
    order: VecDeque<(Moment, Id)>,
    answers: VecDeque<Id>,
    answer_bytes: usize,
    complete_from: Option<Moment>,
    synced_by: Option<InstanceId>,
}

impl Table {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that claims made before `now` may be missing.
    pub const fn lose_memory(&mut self, now: Moment) {
        self.complete_from = Some(now);
    }

    /// Records that `leader` has sent all its claims.
    pub const fn set_synced_by(&mut self, leader: InstanceId) {
        self.synced_by = Some(leader);
    }

    /// Returns the leader that has sent all its claims.
    pub const fn synced_by(&self) -> Option<InstanceId> {
        self.synced_by
    }

    /// Claims `id` for `owner`. `minted_age` is the age of an id that the system
    /// minted, and `None` for one that the caller chose.
    pub fn claim(
        &mut self,
        now: Moment,
        id: Id,
        body: u64,
        owner: InstanceId,
        minted_age: Option<Duration>,
        retention: Duration,
    ) -> Verdict {
        self.expire(now, retention);
        if let Some(entry) = self.entries.get(&id) {
            return repeat(entry, body);
        }
        if minted_age.is_some_and(|age| age >= retention) {
            return Verdict::Refused(Kind::ClaimUnknown);
        }
        if let Some(from) = self.complete_from {
            let known = minted_age.is_some_and(|age| now.since(from) > age);
            if !known && now < from + retention {
                return Verdict::Refused(Kind::ClaimUnknown);
            }
        }
        if self.entries.len() >= CLAIMS_MAX {
            return Verdict::Refused(Kind::ClaimUnavailable);
        }
        self.insert(id, body, owner, now, State::Running);
        Verdict::Granted
    }

    fn insert(&mut self, id: Id, body: u64, owner: InstanceId, at: Moment, state: State) {
        let entry = Entry {
            body,
            owner,
            at,
            state,
        };
        self.entries.insert(id, entry);
        self.order.push_back((at, id));
    }

    /// Records how the owner's run ended.
    pub fn finish(&mut self, id: Id, owner: InstanceId, answer: Option<Answer>) {
        let Some(entry) = self.entries.get_mut(&id).filter(|e| e.owner == owner) else {
            return;
        };
        if matches!(entry.state, State::Answered(_)) {
            return;
        }
        let kept = answer.filter(|a| a.body.len() <= ANSWER_MAX);
        if let Some(answer) = &kept {
            self.answer_bytes += answer.body.len();
            self.answers.push_back(id);
        }
        entry.state = State::Answered(kept);
        self.shed_answers();
    }

    /// Records that the owner's run broke off after it was sent.
    pub fn lose(&mut self, id: Id, owner: InstanceId) {
        if let Some(entry) = self.entries.get_mut(&id).filter(|e| e.owner == owner) {
            entry.state = State::Unknown;
        }
    }

    /// Removes a claim whose owner proved that nothing was sent.
    pub fn release(&mut self, id: Id, owner: InstanceId) {
        if self
            .entries
            .get(&id)
            .is_some_and(|e| e.owner == owner && e.state == State::Running)
        {
            self.entries.remove(&id);
        }
    }

    /// Records that runs of `owner` can no longer be answered.
    pub fn lose_owner(&mut self, owner: InstanceId) {
        for entry in self.entries.values_mut() {
            if entry.owner == owner && entry.state == State::Running {
                entry.state = State::Unknown;
            }
        }
    }

    /// Takes copies. A later state replaces an earlier one.
    pub fn merge(&mut self, now: Moment, records: Vec<Record>) {
        for record in records {
            let at = Moment(now.0.saturating_sub(record.age.as_micros() as u64));
            let is_new = match self.entries.get(&record.id) {
                None => true,
                Some(old) => old.state == State::Running && record.state != State::Running,
            };
            if is_new {
                let Record {
                    id,
                    body,
                    owner,
                    state,
                    ..
                } = record;
                if let State::Answered(Some(answer)) = &state {
                    self.answer_bytes += answer.body.len();
                    self.answers.push_back(id);
                }
                self.insert(id, body, owner, at, state);
            }
        }
    }

    /// Removes the copy of a released claim.
    pub fn remove(&mut self, id: Id) {
        self.drop_entry(id);
    }

    /// Returns the claim under `id`.
    pub fn record(&self, now: Moment, id: Id) -> Option<Record> {
        let entry = self.entries.get(&id)?;
        Some(Record {
            id,
            body: entry.body,
            owner: entry.owner,
            age: now.since(entry.at),
            state: entry.state.clone(),
        })
    }

    /// Returns all claims, without their answers.
    pub fn records(&self, now: Moment) -> Vec<Record> {
        self.entries
            .iter()
            .map(|(&id, entry)| Record {
                id,
                body: entry.body,
                owner: entry.owner,
                age: now.since(entry.at),
                state: match &entry.state {
                    State::Answered(_) => State::Answered(None),
                    other => other.clone(),
                },
            })
            .collect()
    }

    /// Returns the owners of claims that may be running.
    pub fn running_owners(&self) -> BTreeSet<InstanceId> {
        self.entries
            .values()
            .filter(|e| e.state == State::Running)
            .map(|e| e.owner)
            .collect()
    }

    /// Forgets claims older than the retention.
    pub fn expire(&mut self, now: Moment, retention: Duration) {
        while let Some(&(at, id)) = self.order.front() {
            if now < at + retention {
                break;
            }
            self.order.pop_front();
            if self.entries.get(&id).is_some_and(|e| e.at == at) {
                self.drop_entry(id);
            }
        }
        if self
            .complete_from
            .is_some_and(|from| now >= from + retention)
        {
            self.complete_from = None;
        }
    }

    fn drop_entry(&mut self, id: Id) {
        if let Some(entry) = self.entries.remove(&id)
            && let State::Answered(Some(answer)) = entry.state
        {
            self.answer_bytes -= answer.body.len();
        }
    }

    fn shed_answers(&mut self) {
        while self.answer_bytes > ANSWER_BYTES_MAX {
            let Some(id) = self.answers.pop_front() else {
                return;
            };
            if let Some(Entry { state, .. }) = self.entries.get_mut(&id)
                && let State::Answered(Some(answer)) = state
            {
                self.answer_bytes -= answer.body.len();
                *state = State::Answered(None);
            }
        }
    }
}

fn repeat(entry: &Entry, body: u64) -> Verdict {
    if entry.body != body {
        return Verdict::Refused(Kind::IdReused);
    }
    match &entry.state {
        State::Running => Verdict::Refused(Kind::InProgress),
        State::Answered(Some(answer)) => Verdict::Repeat(answer.clone()),
        State::Answered(None) => Verdict::Refused(Kind::AnswerNotKept),
        State::Unknown => Verdict::Refused(Kind::ClaimUnknown),
    }
}

/// Returns the home zone of a request id: by rendezvous hash over the zones.
///
/// Source: Thaler and Ravishankar, Using name-based mappings to increase hit rates.
pub fn home_zone<'a>(id: Id, zones: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    zones.max_by_key(|zone| {
        let mut bytes = id.0.to_vec();
        bytes.extend_from_slice(zone.as_bytes());
        crate::util::hash64(&bytes)
    })
}

/// An attempt to claim a request id at its home zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attempt {
    /// Home zone.
    pub home: String,
    /// Identity of the claim.
    pub id: Id,
    /// Digest of method, path and body.
    pub body: u64,
    /// Instance that wants to run the request.
    pub owner: InstanceId,
    /// Age of an id that the system minted.
    pub minted_age: Option<Duration>,
}

/// How a claimed run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With this answer; `None` if it is too large to keep.
    Answered(Option<Answer>),
    /// Unknown.
    Lost,
    /// Nothing was sent.
    Released,
}

/// Report of the owner of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// Home zone.
    pub home: String,
    /// Identity of the claim.
    pub id: Id,
    /// Instance that ran it.
    pub owner: InstanceId,
    /// How it ended.
    pub end: End,
}

/// Copies of claims of one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// Home zone.
    pub zone: String,
    /// Claims.
    pub records: Vec<Record>,
    /// Claims that were released.
    pub removed: Vec<Id>,
    /// Leader that has sent all its claims with this batch.
    pub synced_by: Option<InstanceId>,
}
