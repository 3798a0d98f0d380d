//! Permits to run steps on workers, granted by an external permission service.
//!
//! The service handles one request at a time for each requesting instance, and a request
//! takes longer the more workers it names. Requests are spread over all instances: a quick
//! request goes to the instance that is free first, a slow one to an idle instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::io::Question;
use crate::core::plane::plan::Permission;
use crate::core::plane::types::{StepName, WorkerKey};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;

/// A permit is treated as expired this long before its expiry, to allow for the delay of a
/// start on its way to the worker.
const PERMIT_MARGIN: Duration = Duration::from_millis(150);
/// Time added to the instance's queueing delay and twice the expected duration of a request
/// for its timeout.
const ANSWER_SLACK: Duration = Duration::from_millis(700);
/// An instance whose request failed gets no further requests for this long.
const ASKER_PAUSE: Duration = Duration::from_millis(500);
/// Expected duration from which a request counts as slow: the fixed part of most
/// response-time goals.
pub const SLOW_MIN: Duration = Duration::from_millis(200);
/// Share of the instances that may have slow requests in flight, so that the others are free
/// for quick ones.
const SLOW_SHARE: f64 = 0.6;
/// Maximum number of slow requests in flight for one step. With the permission costs of the
/// first users, 8 requests name about 550 workers, of which 190 may run the step: enough for
/// a gang of 130 tasks.
const PARTS_MAX: usize = 8;
/// Number of idle instances required for each slow request of a step, so that two other
/// steps find an idle instance as well.
const IDLE_PER_PART: usize = 3;
/// Maximum queueing delay of a quick request at the instance that sends it.
const TURN_MAX: Duration = Duration::from_millis(100);
/// Maximum number of workers in one request; a limit of the permission service.
pub const NAMED_MAX: usize = 100;
/// Minimum number of workers in the first request of a step.
const NAMED_MIN: usize = 8;
/// Maximum cost of the named workers as a share of the fixed cost of a request.
const NAMING_SHARE: f64 = 0.4;
/// The same share for gangs, which need more workers because the granted ones must have room
/// for all tasks at once.
const NAMING_SHARE_GANG: f64 = 1.0;

/// Permit to run a step on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Opaque text of the permit, passed on to the worker with the start.
    pub text: String,
    /// Time from which the permit must not be used.
    pub until: Moment,
}

/// Answers and requests of one step.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Workers that may run the step, with the latest permit, which may have expired.
    pub good: BTreeMap<WorkerKey, Permit>,
    /// Workers that may not run the step.
    pub bad: BTreeSet<WorkerKey>,
    /// Number of requests in flight.
    pub asking: u32,
    /// Earliest time of the next request, after a failure or a deferral.
    pub retry_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    busy_until: Moment,
    /// Number of slow requests in flight.
    slow: u32,
}

impl Asker {
    fn is_idle(&self, now: Moment) -> bool {
        self.slow == 0 && self.busy_until <= now
    }
}

#[derive(Clone, Debug)]
struct Open {
    step: StepName,
    asker: InstanceId,
    named: Vec<WorkerKey>,
    sent_at: Moment,
    expires: Moment,
    valid: Duration,
    is_slow: bool,
}

/// A request that was answered, failed or timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Step that the request was for.
    pub step: StepName,
    /// Number of workers named in the request.
    pub named: usize,
    /// Number of workers granted; `None` if the request failed.
    pub granted: Option<usize>,
    /// Time from sending the request to its end.
    pub took: Duration,
}

/// Permits and permission requests of a leader.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    steps: HashMap<StepName, Known>,
    askers: BTreeMap<InstanceId, Asker>,
    open: HashMap<u64, Open>,
}

/// Returns the number of workers to name in the first request of a step. Their cost is at
/// most a set share of the fixed cost of the request.
pub fn named_count(terms: Permission, gang: bool) -> usize {
    if terms.each_ms <= 0.0 {
        return NAMED_MAX;
    }
    let share = if gang {
        NAMING_SHARE_GANG
    } else {
        NAMING_SHARE
    };
    let affordable = terms.decide_ms * share / terms.each_ms;
    (affordable as usize).clamp(NAMED_MIN, NAMED_MAX)
}

/// Returns the expected duration of a request that names `named` workers.
pub fn expected(terms: Permission, named: usize) -> Duration {
    let millis = terms.decide_ms + terms.each_ms * named as f64;
    Duration::from_micros((millis * 1_000.0) as u64)
}

impl Permits {
    /// Replaces the set of instances that can send requests.
    pub fn set_askers(&mut self, askers: &[InstanceId]) {
        self.askers.retain(|id, _| askers.contains(id));
        for id in askers {
            self.askers.entry(*id).or_insert(Asker {
                busy_until: Moment::ZERO,
                slow: 0,
            });
        }
    }

    /// Returns the answers and requests of a step, if it has any.
    pub fn known(&self, step: StepName) -> Option<&Known> {
        self.steps.get(&step)
    }

    /// Returns the permit of a step for a worker, if it is valid at `now`.
    pub fn valid(&self, now: Moment, step: StepName, worker: WorkerKey) -> Option<&Permit> {
        let permit = self.steps.get(&step)?.good.get(&worker)?;
        (now < permit.until).then_some(permit)
    }

    /// Defers the next request of a step until at least `until`.
    pub fn defer(&mut self, step: StepName, until: Moment) {
        let known = self.steps.entry(step).or_default();
        known.retry_at = known.retry_at.max(until);
    }

    /// Returns whether a request of the step is in flight or its next request is deferred.
    pub fn is_waiting(&self, now: Moment, step: StepName) -> bool {
        let known = self.steps.get(&step);
        known.is_some_and(|known| known.asking > 0 || now < known.retry_at)
    }

    /// Returns the workers for which the step has a permit that is valid at `now`.
    pub fn valid_workers(&self, now: Moment, step: StepName) -> Vec<WorkerKey> {
        let Some(known) = self.steps.get(&step) else {
            return Vec::new();
        };
        known
            .good
            .iter()
            .filter(|(_, permit)| now < permit.until)
            .map(|(&key, _)| key)
            .collect()
    }

    /// Expires a permit that a worker refused. The worker still counts as permitted, so that
    /// the permit is requested again.
    pub fn revoke(&mut self, step: StepName, worker: WorkerKey) {
        if let Some(known) = self.steps.get_mut(&step)
            && let Some(permit) = known.good.get_mut(&worker)
        {
            permit.until = Moment::ZERO;
        }
    }

    /// Drops the steps for which `keep` returns false, except those with requests in flight.
    pub fn retain(&mut self, keep: impl Fn(StepName) -> bool) {
        self.steps
            .retain(|step, known| known.asking > 0 || keep(*step));
    }

    /// Returns whether an instance can send a request at `now`.
    pub fn can_ask(&self, now: Moment, is_slow: bool) -> bool {
        self.choose(now, is_slow).is_some()
    }

    /// Returns how many instances can send a slow request at `now`.
    pub fn idle(&self, now: Moment) -> usize {
        self.slow_askers().filter(|(_, a)| a.is_idle(now)).count()
    }

    /// Returns how many slow requests one step may have in flight: a fraction of the idle
    /// instances, so that other steps find an idle instance as well.
    pub fn parts(&self, now: Moment) -> usize {
        (self.idle(now) / IDLE_PER_PART).clamp(1, PARTS_MAX)
    }

    /// Estimates the share of workers that may run a step from the answers so far, starting
    /// at one half.
    pub fn granted_share(&self, step: StepName) -> f64 {
        let known = self.steps.get(&step);
        let (good, bad) = known.map_or((0, 0), |k| (k.good.len(), k.bad.len()));
        (good + 1) as f64 / (good + bad + 2) as f64
    }

    /// Creates a request for permits on the named workers and returns it with the instance
    /// that sends it. Returns `None` if no instance can send one. Workers beyond the limit of
    /// one request are left out.
    pub fn ask(
        &mut self,
        now: Moment,
        number: u64,
        step: StepName,
        terms: Permission,
        named: Vec<(WorkerKey, String)>,
    ) -> Option<(InstanceId, Question)> {
        if named.is_empty() {
            return None;
        }
        let cost = expected(terms, named.len().min(NAMED_MAX));
        let is_slow = cost >= SLOW_MIN;
        let asker = self.choose(now, is_slow)?;
        let at = self.askers.get_mut(&asker)?;
        at.busy_until = at.busy_until.max(now) + cost;
        at.slow += u32::from(is_slow);
        self.steps.entry(step).or_default().asking += 1;
        let timeout = at.busy_until.since(now) + cost + ANSWER_SLACK;
        let (keys, workers): (Vec<WorkerKey>, Vec<String>) =
            named.into_iter().take(NAMED_MAX).unzip();
        self.open.insert(
            number,
            Open {
                step,
                asker,
                named: keys,
                sent_at: now,
                expires: now + timeout,
                valid: Duration::from_millis(terms.valid_ms),
                is_slow,
            },
        );
        let question = Question {
            number,
            step,
            workers,
            timeout_ms: timeout.as_millis() as u64,
        };
        Some((asker, question))
    }

    // Chooses the instance that can send a request first. Slow requests are not queued, and
    // only a fixed share of the instances sends them, so that quick requests rarely wait
    // behind slow ones.
    fn choose(&self, now: Moment, is_slow: bool) -> Option<InstanceId> {
        if is_slow {
            let idle = self.slow_askers().find(|(_, a)| a.is_idle(now));
            return idle.map(|(&id, _)| id);
        }
        let (&id, asker) = self
            .askers
            .iter()
            .min_by_key(|(_, a)| (a.busy_until.max(now), a.slow))?;
        (asker.busy_until <= now + TURN_MAX).then_some(id)
    }

    fn slow_askers(&self) -> impl Iterator<Item = (&InstanceId, &Asker)> {
        let most = (self.askers.len() as f64 * SLOW_SHARE).ceil() as usize;
        self.askers.iter().take(most)
    }

    /// Records the answer to a request; `None` for `granted` means that the request failed.
    /// Returns `None` if the request is unknown, for example after its timeout.
    pub fn take(
        &mut self,
        now: Moment,
        number: u64,
        granted: Option<Vec<(WorkerKey, String)>>,
    ) -> Option<Finished> {
        let open = self.open.remove(&number)?;
        let took = now.since(open.sent_at);
        if let Some(asker) = self.askers.get_mut(&open.asker)
            && open.is_slow
        {
            asker.slow = asker.slow.saturating_sub(1);
            asker.busy_until = asker.busy_until.min(now);
        }
        let known = self.steps.entry(open.step).or_default();
        known.asking = known.asking.saturating_sub(1);
        let finished = Finished {
            step: open.step,
            named: open.named.len(),
            granted: granted.as_ref().map(Vec::len),
            took,
        };
        let Some(granted) = granted else {
            known.retry_at = now + ASKER_PAUSE / 5;
            if let Some(asker) = self.askers.get_mut(&open.asker) {
                asker.busy_until = asker.busy_until.max(now + ASKER_PAUSE);
            }
            return Some(finished);
        };
        let life = open.valid.saturating_sub(PERMIT_MARGIN);
        for worker in &open.named {
            if !granted.iter().any(|(good, _)| good == worker) {
                known.bad.insert(*worker);
                known.good.remove(worker);
            }
        }
        for (worker, text) in granted {
            let until = now + life;
            known.good.insert(worker, Permit { text, until });
        }
        Some(finished)
    }

    /// Fails the requests that have reached their timeout.
    pub fn expire(&mut self, now: Moment) -> Vec<Finished> {
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.expires)
            .map(|(&number, _)| number)
            .collect();
        late.into_iter()
            .filter_map(|number| self.take(now, number, None))
            .collect()
    }
}
