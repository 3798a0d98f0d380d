//! Permits to run steps on workers, granted by an external permission service.
//!
//! The service handles one request at a time for each requesting instance, and a request
//! takes longer the more workers it names. Requests are spread over all instances: a quick
//! request goes to the instance that is free first, a slow one to an idle instance.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::io::PermissionRequest;
use crate::core::plane::plan::Permission;
use crate::core::plane::types::{StepName, WorkerKey};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;

/// A permit is treated as expired this long before its expiry, to allow for the delay of a
/// start on its way to the worker.
const PERMIT_MARGIN: Duration = Duration::from_millis(150);
/// Time added to the instance's queueing delay and twice the expected duration of a request
/// for its timeout.
const TIMEOUT_SLACK: Duration = Duration::from_millis(700);
/// Time after which a request without an answer is overdue, counted from when the answer was
/// expected: about thirty round trips. The step is then asked for at another instance.
const OVERDUE_AFTER: Duration = Duration::from_millis(100);
/// An instance whose request failed gets no further requests for this long.
const REQUESTER_PAUSE: Duration = Duration::from_millis(500);
/// Expected duration from which a request counts as slow: the fixed part of most
/// response-time goals.
pub const SLOW_REQUEST_MIN: Duration = Duration::from_millis(200);
/// Share of the instances that may have slow requests in flight, so that the others are free
/// for quick ones.
const SLOW_REQUESTER_SHARE: f64 = 0.6;
/// Maximum number of slow requests in flight for one step. With the permission costs of the
/// first users, 8 requests name about 550 workers, of which 190 may run the step: enough for
/// a gang of 130 tasks.
const SLOW_REQUESTS_PER_STEP_MAX: usize = 8;
/// Number of idle instances required for each slow request of a step, so that two other
/// steps find an idle instance as well.
const IDLE_REQUESTERS_PER_REQUEST: usize = 3;
/// Maximum queueing delay of a quick request at the instance that sends it.
const QUEUEING_DELAY_MAX: Duration = Duration::from_millis(100);
/// Maximum number of workers in one request; a limit of the permission service.
pub const WORKERS_PER_REQUEST_MAX: usize = 100;
/// Minimum number of workers in the first request of a step.
const WORKERS_PER_REQUEST_MIN: usize = 8;
/// Maximum cost of the named workers as a share of the fixed cost of a request.
const WORKER_COST_SHARE: f64 = 0.4;
/// The same share for gangs, which need more workers because the granted ones must have room
/// for all tasks at once.
const GANG_WORKER_COST_SHARE: f64 = 1.0;

/// Permit to run a step on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Opaque text of the permit, passed on to the worker with the start.
    pub text: String,
    /// Time from which the permit must not be used.
    pub expires_at: Moment,
}

/// Answers and requests of one step.
#[derive(Clone, Debug, Default)]
pub struct StepPermits {
    /// Workers that may run the step, with the latest permit, which may have expired.
    pub permitted: BTreeMap<WorkerKey, Permit>,
    /// Workers that may not run the step.
    pub denied: BTreeSet<WorkerKey>,
    /// Time from which none of the permits may be used.
    valid_until: Moment,
    /// Requests in flight.
    in_flight: Vec<Awaited>,
    /// Earliest time of the next request, after a failure or a deferral.
    pub retry_at: Moment,
}

impl StepPermits {
    /// Returns the permitted ones of the workers, and those not named before. The workers
    /// must be in ascending order.
    pub fn split(&self, workers: &[WorkerKey]) -> (Vec<WorkerKey>, Vec<WorkerKey>) {
        let mut permitted = self.permitted.keys().copied().peekable();
        let mut denied = self.denied.iter().copied().peekable();
        let mut split = (Vec::new(), Vec::with_capacity(workers.len()));
        for &key in workers {
            while permitted.next_if(|other| *other < key).is_some() {}
            while denied.next_if(|other| *other < key).is_some() {}
            if denied.peek() == Some(&key) {
                continue;
            }
            if permitted.peek() == Some(&key) {
                split.0.push(key);
            } else {
                split.1.push(key);
            }
        }
        split
    }
}

/// Request in flight, by its number, and when it becomes overdue.
#[derive(Clone, Copy, Debug)]
struct Awaited {
    number: u64,
    overdue_at: Moment,
}

#[derive(Clone, Debug, Default)]
struct Requester {
    busy_until: Moment,
    /// Number of slow requests in flight.
    slow_in_flight: u32,
    in_flight: Vec<Awaited>,
}

impl Requester {
    fn has_overdue_request(&self, caught_up_to: Moment) -> bool {
        let mut requests = self.in_flight.iter();
        requests.any(|request| caught_up_to >= request.overdue_at)
    }

    fn is_idle(&self, now: Moment) -> bool {
        self.slow_in_flight == 0 && self.busy_until <= now
    }
}

#[derive(Clone, Debug)]
struct InFlight {
    step: StepName,
    requester: InstanceId,
    workers: Vec<WorkerKey>,
    sent_at: Moment,
    times_out_at: Moment,
    validity: Duration,
    is_slow: bool,
}

/// A request that was answered, failed or timed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedRequest {
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
    steps: HashMap<StepName, StepPermits>,
    requesters: BTreeMap<InstanceId, Requester>,
    in_flight: HashMap<u64, InFlight>,
    /// Time up to which the leader has handled what it would have received without a delay
    /// of its own. Requests become overdue by this time.
    caught_up_to: Moment,
}

/// Returns the number of workers to name in the first request of a step. Their cost is at
/// most a set share of the fixed cost of the request.
pub fn batch_size(permission: Permission, gang: bool) -> usize {
    if permission.each_ms <= 0.0 {
        return WORKERS_PER_REQUEST_MAX;
    }
    let share = if gang {
        GANG_WORKER_COST_SHARE
    } else {
        WORKER_COST_SHARE
    };
    let affordable = permission.decide_ms * share / permission.each_ms;
    (affordable as usize).clamp(WORKERS_PER_REQUEST_MIN, WORKERS_PER_REQUEST_MAX)
}

/// Returns the expected duration of a request that names `named` workers.
pub fn expected_duration(permission: Permission, named: usize) -> Duration {
    let duration_ms = permission.decide_ms + permission.each_ms * named as f64;
    Duration::from_micros((duration_ms * 1_000.0) as u64)
}

impl Permits {
    /// Replaces the set of instances that can send requests.
    pub fn set_requesters(&mut self, instances: &[InstanceId]) {
        self.requesters.retain(|id, _| instances.contains(id));
        for id in instances {
            self.requesters.entry(*id).or_default();
        }
    }

    /// Sets the time up to which the leader has caught up.
    pub fn set_caught_up_to(&mut self, at: Moment) {
        self.caught_up_to = at;
    }

    /// Returns the answers and requests of a step, if it has any.
    pub fn for_step(&self, step: StepName) -> Option<&StepPermits> {
        self.steps.get(&step)
    }

    /// Returns the permit of a step for a worker, if it is valid at `now`.
    pub fn valid(&self, now: Moment, step: StepName, worker: WorkerKey) -> Option<&Permit> {
        let permit = self.steps.get(&step)?.permitted.get(&worker)?;
        (now < permit.expires_at).then_some(permit)
    }

    /// Defers the next request of a step until at least `until`.
    pub fn defer(&mut self, step: StepName, until: Moment) {
        let step_permits = self.steps.entry(step).or_default();
        step_permits.retry_at = step_permits.retry_at.max(until);
    }

    /// Returns whether a request of the step is in flight and not overdue, or its next request
    /// is deferred.
    pub fn is_waiting(&self, now: Moment, step: StepName) -> bool {
        let step_permits = self.steps.get(&step);
        step_permits.is_some_and(|step_permits| {
            let mut requests = step_permits.in_flight.iter();
            requests.any(|request| self.caught_up_to < request.overdue_at)
                || now < step_permits.retry_at
        })
    }

    /// Returns the workers for which the step has a permit that is valid at `now`.
    pub fn valid_workers(&self, now: Moment, step: StepName) -> Vec<WorkerKey> {
        let known = self.steps.get(&step);
        let Some(step_permits) = known.filter(|known| now < known.valid_until) else {
            return Vec::new();
        };
        step_permits
            .permitted
            .iter()
            .filter(|(_, permit)| now < permit.expires_at)
            .map(|(&key, _)| key)
            .collect()
    }

    /// Expires a permit that a worker refused. The worker still counts as permitted, so that
    /// the permit is requested again.
    pub fn invalidate(&mut self, step: StepName, worker: WorkerKey) {
        if let Some(step_permits) = self.steps.get_mut(&step)
            && let Some(permit) = step_permits.permitted.get_mut(&worker)
        {
            permit.expires_at = Moment::ZERO;
        }
    }

    /// Drops the steps for which `keep` returns false, except those with requests in flight.
    pub fn retain(&mut self, keep: impl Fn(StepName) -> bool) {
        self.steps
            .retain(|step, step_permits| !step_permits.in_flight.is_empty() || keep(*step));
    }

    /// Returns whether an instance can send a request at `now`.
    pub fn has_requester(&self, now: Moment, is_slow: bool) -> bool {
        self.choose_requester(now, is_slow).is_some()
    }

    /// Returns how many instances can send a slow request at `now`.
    pub fn idle_requesters(&self, now: Moment) -> usize {
        self.slow_requesters()
            .filter(|(_, r)| r.is_idle(now))
            .count()
    }

    /// Returns how many slow requests one step may have in flight: a fraction of the idle
    /// instances, so that other steps find an idle instance as well.
    pub fn parallel_requests(&self, now: Moment) -> usize {
        (self.idle_requesters(now) / IDLE_REQUESTERS_PER_REQUEST)
            .clamp(1, SLOW_REQUESTS_PER_STEP_MAX)
    }

    /// Estimates the share of workers that may run a step from the answers so far, starting
    /// at one half.
    pub fn grant_share(&self, step: StepName) -> f64 {
        let step_permits = self.steps.get(&step);
        let (permitted, denied) =
            step_permits.map_or((0, 0), |p| (p.permitted.len(), p.denied.len()));
        (permitted + 1) as f64 / (permitted + denied + 2) as f64
    }

    /// Creates a request for permits on the named workers and returns it with the instance
    /// that sends it. Returns `None` if no instance can send one. Workers beyond the limit of
    /// one request are left out.
    pub fn request(
        &mut self,
        now: Moment,
        number: u64,
        step: StepName,
        permission: Permission,
        named: Vec<(WorkerKey, String)>,
    ) -> Option<(InstanceId, PermissionRequest)> {
        if named.is_empty() {
            return None;
        }
        let cost = expected_duration(permission, named.len().min(WORKERS_PER_REQUEST_MAX));
        let is_slow = cost >= SLOW_REQUEST_MIN;
        let requester = self.choose_requester(now, is_slow)?;
        let entry = self.requesters.get_mut(&requester)?;
        entry.busy_until = entry.busy_until.max(now) + cost;
        entry.slow_in_flight += u32::from(is_slow);
        let awaited = Awaited {
            number,
            overdue_at: entry.busy_until + OVERDUE_AFTER,
        };
        entry.in_flight.push(awaited);
        self.steps.entry(step).or_default().in_flight.push(awaited);
        let timeout = entry.busy_until.since(now) + cost + TIMEOUT_SLACK;
        let (keys, workers): (Vec<WorkerKey>, Vec<String>) =
            named.into_iter().take(WORKERS_PER_REQUEST_MAX).unzip();
        self.in_flight.insert(
            number,
            InFlight {
                step,
                requester,
                workers: keys,
                sent_at: now,
                times_out_at: now + timeout,
                validity: Duration::from_millis(permission.valid_ms),
                is_slow,
            },
        );
        let request = PermissionRequest {
            number,
            step,
            workers,
            timeout_ms: timeout.as_millis() as u64,
        };
        Some((requester, request))
    }

    // Chooses the instance that can send a request first. Slow requests are not queued, and
    // only a fixed share of the instances sends them, so that quick requests rarely wait
    // behind slow ones.
    fn choose_requester(&self, now: Moment, is_slow: bool) -> Option<InstanceId> {
        if is_slow {
            let idle = self
                .slow_requesters()
                .find(|(_, r)| r.is_idle(now) && !r.has_overdue_request(self.caught_up_to));
            return idle.map(|(&id, _)| id);
        }
        let (&id, requester) = self
            .requesters
            .iter()
            .filter(|(_, r)| !r.has_overdue_request(self.caught_up_to))
            .min_by_key(|(_, r)| (r.busy_until.max(now), r.slow_in_flight))?;
        (requester.busy_until <= now + QUEUEING_DELAY_MAX).then_some(id)
    }

    fn slow_requesters(&self) -> impl Iterator<Item = (&InstanceId, &Requester)> {
        let count = (self.requesters.len() as f64 * SLOW_REQUESTER_SHARE).ceil() as usize;
        self.requesters.iter().take(count)
    }

    /// Records the answer to a request; `None` for `granted` means that the request failed.
    /// Returns `None` if the request is unknown, for example after its timeout.
    pub fn record_answer(
        &mut self,
        now: Moment,
        number: u64,
        granted: Option<Vec<(WorkerKey, String)>>,
    ) -> Option<CompletedRequest> {
        let request = self.in_flight.remove(&number)?;
        let took = now.since(request.sent_at);
        if let Some(requester) = self.requesters.get_mut(&request.requester) {
            requester.in_flight.retain(|r| r.number != number);
            if request.is_slow {
                requester.slow_in_flight = requester.slow_in_flight.saturating_sub(1);
                requester.busy_until = requester.busy_until.min(now);
            }
        }
        let step_permits = self.steps.entry(request.step).or_default();
        step_permits.in_flight.retain(|r| r.number != number);
        let completed = CompletedRequest {
            step: request.step,
            named: request.workers.len(),
            granted: granted.as_ref().map(Vec::len),
            took,
        };
        let Some(granted) = granted else {
            step_permits.retry_at = now + REQUESTER_PAUSE / 5;
            if let Some(requester) = self.requesters.get_mut(&request.requester) {
                requester.busy_until = requester.busy_until.max(now + REQUESTER_PAUSE);
            }
            return Some(completed);
        };
        let lifetime = request.validity.saturating_sub(PERMIT_MARGIN);
        for worker in &request.workers {
            if !granted.iter().any(|(permitted, _)| permitted == worker) {
                step_permits.denied.insert(*worker);
                step_permits.permitted.remove(worker);
            }
        }
        let expires_at = now + lifetime;
        step_permits.valid_until = step_permits.valid_until.max(expires_at);
        for (worker, text) in granted {
            step_permits
                .permitted
                .insert(worker, Permit { text, expires_at });
        }
        Some(completed)
    }

    /// Fails the requests that have reached their timeout.
    pub fn expire(&mut self, now: Moment) -> Vec<CompletedRequest> {
        let timed_out: Vec<u64> = self
            .in_flight
            .iter()
            .filter(|(_, request)| self.caught_up_to >= request.times_out_at)
            .map(|(&number, _)| number)
            .collect();
        timed_out
            .into_iter()
            .filter_map(|number| self.record_answer(now, number, None))
            .collect()
    }
}
