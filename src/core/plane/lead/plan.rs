//! One planning round: selects the waiting tasks to start and their workers.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::interference::Marks;
use super::listing::{Budget, Listed, Position, listing_cost};
use super::order::{Rank, Timing, rank};
use super::place::{Requirement, Sharing, Target, Targets, goal_multiple, urgency};
use super::trial::{Search, Trial};
use super::waiting::{Outcome, WaitReason, search_interval};
use super::{Lead, Now};
use crate::core::plane::job::{Job, Phase, Step, StepSpec};
use crate::core::plane::plan::Queue;
use crate::core::plane::state::{Start, State};
use crate::core::plane::types::{Resources, StepName, TaskName, WorkerKey};
use crate::core::share::{Claimant, divide};

/// Maximum share of all processors reserved for waiting gangs. A larger reserve would leave
/// the fleet idle. The first gang gets its reserve whatever its size, if it can start at all.
const GANG_RESERVE_SHARE: f64 = 0.3;
/// Capacity provided for urgent work as a multiple of its recent peak.
const URGENT_MARGIN: f64 = 1.2;
/// Share by which the recent peak of urgent work decays in each round: by half in about 10 s
/// at 50 rounds per second.
const URGENT_DECAY_PER_ROUND: f64 = 0.0014;

/// Time after which a step may use room that is withheld, if at least half of its workers'
/// capacity has been free meanwhile. Users are promised that no job stands still for 3 s on such a
/// fleet.
const WITHHELD_MAX: Duration = Duration::from_millis(2_000);

/// Minimum stretch of a queue whose steps may prefer slow workers. An estimate that is nine tenths
/// too low makes the fixed part of a goal look like slack.
const SLACK_STRETCH_MIN: f64 = 2.0;

/// Number of workers and steps examined after which a round ends and leaves the other steps
/// to the next. The least urgent steps come last, so that they do not hold up replies.
const EXAMINED_MAX: u32 = 15_000;
/// Number of workers that the searches of a round may examine, however many steps wait.
const SEARCHED_MIN: u32 = 5_000;

/// Capacity reserved for a gang that waits.
#[derive(Clone, Debug)]
pub(super) struct Reserve {
    /// What each task takes.
    required: Requirement,
    /// Number of tasks.
    count: usize,
    /// Workers that they may run on.
    allowed: Vec<WorkerKey>,
}

/// State of one planning round.
pub(super) struct Round {
    pub(super) targets: Targets,
    /// Reserves of the group of steps being planned.
    reserves: Vec<Arc<Reserve>>,
    /// Processors reserved so far and their maximum, in thousandths of a core.
    reserved_cpu: i64,
    reserved_cpu_max: i64,
    starts: Vec<Start>,
    budget: Budget,
    /// Eligible workers by service and label.
    eligible: HashMap<(String, Option<String>), Rc<Eligible>>,
}

/// Workers of a service that have a label.
struct Eligible {
    workers: Vec<WorkerKey>,
    /// Whether at least half of their capacity was free when the round first needed them.
    are_mostly_idle: bool,
}

impl Round {
    // Applies the reserves of the group of steps just planned to the groups after it. Within
    // a group they do not apply: gangs of one queue would wait for each other's permits.
    fn apply_reserves(&mut self) {
        for reserve in self.reserves.drain(..) {
            let Reserve {
                required,
                count,
                allowed,
            } = reserve.as_ref();
            self.targets.reserve(required, *count, allowed);
        }
    }

    const fn may_reserve(&self) -> bool {
        self.reserved_cpu < self.reserved_cpu_max
    }

    fn reserve(&mut self, reserve: &Arc<Reserve>) {
        self.reserved_cpu += reserve.required.resources.cpu * reserve.count as i64;
        self.reserves.push(Arc::clone(reserve));
    }
}

/// What a planning round did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of steps with tasks that wait for placement.
    pub waiting: usize,
    /// Number of these steps for which workers were searched.
    pub searched: usize,
    /// Number of workers and steps examined.
    pub examined: u32,
    /// Number of tasks to start.
    pub started: usize,
}

/// A step with tasks waiting for placement.
pub(super) struct PendingStep {
    pub(super) rank: Rank,
    pub(super) step: StepName,
    pub(super) count: usize,
    path: Path,
}

/// Estimated critical path of an occurrence of a job, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Path {
    whole_ms: u64,
    remaining_ms: u64,
}

impl Path {
    fn new(job: &Job, occurrence: usize) -> Self {
        Self {
            whole_ms: job.critical_path_ms(occurrence, true),
            remaining_ms: job.critical_path_ms(occurrence, false),
        }
    }
}

impl Lead {
    /// Plans one round. Returns the starts.
    pub(super) fn plan(&mut self, now: Now, state: &State) -> Vec<Start> {
        self.remove_placed_jobs(state);
        let mut waiting = self.waiting_steps(now, state);
        if waiting.is_empty() {
            self.waits.record(now.at, Vec::new());
            self.tally = Tally::default();
            return Vec::new();
        }
        waiting.sort_unstable_by_key(|w| (w.rank, w.step));
        let targets = self.targets(now, state);
        targets.add_examined(waiting.len() + self.channels.len());
        let account_of = |step: &PendingStep| state.jobs[&step.step.job].account;
        let first_account = waiting.first().map(account_of);
        let is_shared = waiting
            .iter()
            .any(|step| Some(account_of(step)) != first_account);
        let listed = targets.examined();
        let limit = EXAMINED_MAX.max(listed + SEARCHED_MIN);
        let reserved_cpu_max = (targets.total_cpu() as f64 * GANG_RESERVE_SHARE) as i64;
        let mut round = Round {
            targets,
            reserves: Vec::new(),
            reserved_cpu: 0,
            reserved_cpu_max,
            starts: Vec::new(),
            budget: Budget::new(listed, limit, is_shared),
            eligible: HashMap::new(),
        };
        self.keep_workers_for_trials(state, &waiting, &mut round);
        let first_priority = state.config.queues.iter().map(|q| q.priority).min();
        let mut group = None;
        let mut left = Vec::new();
        let mut searched = 0;
        for step in &waiting {
            let next = (step.rank.lateness, step.rank.priority);
            if group.is_some_and(|group| group != next) {
                round.apply_reserves();
            }
            group = Some(next);
            let can_wait = step.rank.lateness > 0 || Some(step.rank.priority) > first_priority;
            let account = account_of(step);
            let is_due = self.turns.is_due(now.at, account);
            let is_deferred = self.is_behind() && can_wait && !is_due;
            let examined = round.targets.examined();
            let is_allowed = round.budget.allows(account, examined, is_due);
            let known = self.outcome_without_search(now, state, step, is_deferred, is_allowed);
            if let Some(outcome) = known {
                if let Some(reserve) = outcome.reserve.as_ref().filter(|_| round.may_reserve()) {
                    round.reserve(reserve);
                }
                left.push((step.step, outcome));
                continue;
            }
            round.targets.add_examined(1);
            let outcome = self.plan_step(now, state, step, &mut round);
            self.turns.record(now.at, account);
            round
                .budget
                .spend(account, round.targets.examined() - examined);
            left.extend(outcome.map(|outcome| (step.step, outcome)));
            searched += 1;
        }
        for note in self.waits.record(now.at, left) {
            self.note(note);
        }
        self.tally = Tally {
            waiting: waiting.len(),
            searched,
            examined: round.targets.examined(),
            started: round.starts.len(),
        };
        round.starts
    }

    // Removes the jobs whose tasks are all on workers or done, until one of its runs ends.
    fn remove_placed_jobs(&mut self, state: &State) {
        self.waiting_jobs.retain(|id| {
            let Some(job) = state.jobs.get(id).filter(|job| !job.status.is_final()) else {
                return false;
            };
            job.occurrences.iter().flatten().any(|s| s.waiting() > 0)
        });
    }

    fn waiting_steps(&mut self, now: Now, state: &State) -> Vec<PendingStep> {
        let is_over_share = over_share(state);
        let mut waiting = Vec::new();
        for listed in self.listing.select(now.wall_ms, state, &self.waiting_jobs) {
            let account = state.jobs[&listed.job].account;
            let over_share = account.is_some_and(|a| is_over_share[a.0 as usize]);
            let stopped_at = self.list_steps(now, state, &listed, over_share, &mut waiting);
            if let Some(at) = stopped_at {
                self.listing.stop_at(account, listed.job, at);
            }
        }
        waiting
    }

    // Lists the waiting steps of a job. Returns the first one that is left to the next round, if
    // any is.
    fn list_steps(
        &self,
        now: Now,
        state: &State,
        listed: &Listed,
        over_share: bool,
        waiting: &mut Vec<PendingStep>,
    ) -> Option<Position> {
        let job = &state.jobs[&listed.job];
        let queue = state.queue(job.queue);
        let (first_occurrence, mut first) = listed.from;
        let mut left = listed.count;
        for (occurrence, steps) in job.occurrences.iter().enumerate().skip(first_occurrence) {
            let due_ms = job.submission.due_ms(occurrence as u32);
            if due_ms.is_some_and(|due| due > now.wall_ms) {
                break;
            }
            // The steps of an occurrence share its critical path, whose length takes as long to
            // compute as there are steps.
            let mut timed = None;
            for (index, step) in steps.iter().enumerate().skip(first) {
                if left == 0 {
                    return Some((occurrence, index));
                }
                let spec = &job.submission.steps[index];
                left = left.saturating_sub(listing_cost(spec.after.len()));
                let name = StepName {
                    job: listed.job,
                    occurrence: occurrence as u32,
                    step: index as u16,
                };
                let starting = self
                    .uncommitted_step_starts
                    .get(&name)
                    .copied()
                    .unwrap_or(0);
                let count = step.waiting().saturating_sub(usize::from(starting));
                if count == 0 || step.aborting || !job.is_unblocked(occurrence, index) {
                    continue;
                }
                let (rank, path) = if spec.long_running {
                    let since_ms = due_ms.unwrap_or(job.accepted_ms);
                    (Rank::long_running(since_ms), Path::default())
                } else {
                    *timed.get_or_insert_with(|| {
                        let path = Path::new(job, occurrence);
                        let rank = self.rank(now, job, queue, path, due_ms, over_share);
                        (rank, path)
                    })
                };
                waiting.push(PendingStep {
                    rank,
                    step: name,
                    count,
                    path,
                });
            }
            first = 0;
        }
        None
    }

    fn rank(
        &self,
        now: Now,
        job: &Job,
        queue: &Queue,
        path: Path,
        due_ms: Option<u64>,
        over_share: bool,
    ) -> Rank {
        let ratio = self.ratio(&queue.name);
        let timing = Timing {
            since_ms: due_ms.unwrap_or(job.accepted_ms),
            critical_path_ms: path.whole_ms as f64 * ratio,
            remaining_ms: path.remaining_ms as f64 * ratio,
            stretch: queue.stretch,
            goal_ms: queue.goal_ms,
        };
        rank(now.wall_ms, timing, queue.priority, over_share)
    }

    fn targets(&mut self, now: Now, state: &State) -> Targets {
        let urgent: i64 = self.channels.values().map(|c| c.urgent_cpu).sum();
        self.urgent_cpu_peak =
            (self.urgent_cpu_peak * (1.0 - URGENT_DECAY_PER_ROUND)).max(urgent as f64);
        self.update_silent_zones();
        let mut targets = Targets::with_capacity(state.workers.len());
        targets.set_upper_decile(self.speeds.upper_decile());
        for (key, channel) in self.channels.iter() {
            let worker = state.worker(key);
            if self.silent_zones.contains(&channel.zone) || state.is_evacuated(key) {
                continue;
            }
            if worker.departed
                || worker.report.draining
                || !channel.is_usable(now.at, self.caught_up_to)
            {
                continue;
            }
            let capacity = channel.offered_capacity(now.at, worker.report.capacity);
            let free = capacity - worker.used - channel.reserved;
            let target = Target {
                capacity,
                lasting: channel.lasting,
                free,
                free_non_urgent: free,
                rack: channel.rack,
                zone: channel.zone,
                slowness: self.slowness(now, key),
                recent_slowness: channel.slowness,
                failure_score: channel.failures(now.at),
                serving: channel.serving > 0,
                best_effort: channel.best_effort > 0,
                busy: !channel.live().is_empty() || channel.reserved != Resources::default(),
                kept: false,
                on_trial: channel.is_on_trial(),
                marks: Marks::default(),
            };
            targets.insert(key, target);
        }
        let headroom = self.urgent_cpu_peak * URGENT_MARGIN - urgent as f64;
        targets.reserve_for_urgent(headroom as i64);
        self.mark_images(state, &mut targets);
        targets
    }

    // Returns why a step waits, if no search for workers can change that in this round.
    fn outcome_without_search(
        &self,
        now: Now,
        state: &State,
        pending: &PendingStep,
        is_deferred: bool,
        is_allowed: bool,
    ) -> Option<Outcome> {
        let PendingStep { step, count, .. } = *pending;
        let wait = |reason| Outcome {
            reason,
            count,
            has_idle_workers: false,
            search_at: now.at,
            reserve: None,
        };
        let job = &state.jobs[&step.job];
        let (spec, _) = job.step(step)?;
        if self.count_within_cap(state, job, spec, count) == 0 {
            return Some(wait(WaitReason::Cap));
        }
        if let Some(outcome) = self.waits.outcome(now.at, step, count) {
            return Some(outcome.clone());
        }
        if is_deferred {
            return Some(wait(WaitReason::LeaderBehind));
        }
        (!is_allowed).then(|| wait(WaitReason::RoundLimit))
    }

    // Starts what tasks of a step it can. Returns why the others wait, if any do.
    fn plan_step(
        &mut self,
        now: Now,
        state: &State,
        pending: &PendingStep,
        round: &mut Round,
    ) -> Option<Outcome> {
        let name = pending.step;
        let job = &state.jobs[&name.job];
        let (spec, _) = job.step(name)?;
        let search_at = now.at + search_interval(Duration::from_millis(spec.estimate_ms));
        let eligible = eligible(state, round, job, spec);
        let has_idle_workers = eligible.are_mostly_idle;
        let wait = |reason, placed: usize, reserve| {
            Some(Outcome {
                reason,
                count: pending.count - placed,
                has_idle_workers,
                search_at,
                reserve,
            })
        };
        let queue = state.queue(job.queue);
        let permitted = queue
            .permission
            .map(|_| self.permits.valid_workers(now.at, name));
        let trial = self.trial(state, name);
        if trial == Trial::Running && !spec.gang {
            return wait(WaitReason::Trial, 0, None);
        }
        let suspects = match &trial {
            Trial::Waiting(suspects) => suspects.tasks.as_slice(),
            Trial::None | Trial::Running => &[],
        };
        let mut required = Requirement {
            single_zone: self.outlasted_by_lease(job, queue, pending),
            urgency: self.urgency(now, job, queue, pending),
            ignores_reserves: has_idle_workers
                && self.waits.starved_for(now.at, name) >= WITHHELD_MAX,
            ..self.requirement(spec, queue, !suspects.is_empty())
        };
        self.avoid_interference(state, name, &mut required);
        if permitted.as_ref().is_some_and(Vec::is_empty) && self.permits.is_waiting(now.at, name) {
            let reserve = self.reserve_room(state, pending, &required, &[], round);
            return wait(WaitReason::Permit, 0, reserve);
        }
        let mut count = self.count_within_cap(state, job, spec, pending.count);
        if !suspects.is_empty() && !spec.gang {
            count = count.min(suspects.len());
        }
        let allowed = permitted.as_ref().unwrap_or(&eligible.workers);
        let existing = self.tasks_by_worker(state, name, spec);
        let found = if let Trial::Waiting(suspects) = &trial {
            let search = Search {
                required: &required,
                count,
                allowed,
                existing: &existing,
                on_one_worker: !spec.gang && !suspects.has_passed,
                needs_all: spec.gang,
                empty_worker_wait_max: suspects.empty_worker_wait_max(),
            };
            let (sharing, found) = self.find_for_trial(now, &round.targets, name, &search);
            required.sharing = sharing;
            found
        } else {
            round.targets.find(&required, count, allowed, &existing)
        };
        let is_complete = found.len() == pending.count;
        if !spec.gang || is_complete {
            self.start_tasks(state, name, &found, &required, suspects, round);
        }
        if is_complete {
            return None;
        }
        let placed = if spec.gang { 0 } else { found.len() };
        if let Some(permission) = queue.permission {
            let targets = &round.targets;
            let wanted = pending.count - placed;
            self.request_permits(
                now,
                state,
                name,
                &required,
                permission,
                &eligible.workers,
                targets,
                &existing,
                wanted,
            );
        }
        let reserve = self.reserve_room(state, pending, &required, &eligible.workers, round);
        let is_asking = queue.permission.is_some() && self.permits.is_waiting(now.at, name);
        let reason = if is_asking {
            WaitReason::Permit
        } else if required.sharing == Sharing::None {
            WaitReason::TrialWorker
        } else {
            WaitReason::Room
        };
        wait(reason, placed, reserve)
    }

    fn requirement(&self, spec: &StepSpec, queue: &Queue, is_suspect: bool) -> Requirement {
        let sharing = if is_suspect {
            Sharing::None
        } else {
            Sharing::Any
        };
        Requirement {
            sharing,
            ..requirement(spec, queue, &self.racks, self.bounds.far_factor)
        }
    }

    /// Returns what the suspects of a step need, and the workers that they may run on.
    pub(super) fn trial_workers(
        &self,
        state: &State,
        pending: &PendingStep,
        round: &mut Round,
    ) -> Option<(Requirement, Vec<WorkerKey>)> {
        let job = &state.jobs[&pending.step.job];
        let (spec, _) = job.step(pending.step)?;
        let required = self.requirement(spec, state.queue(job.queue), true);
        let permitted = self.permitted_workers(pending.step, &round.targets);
        let allowed =
            permitted.unwrap_or_else(|| eligible(state, round, job, spec).workers.clone());
        Some((required, allowed))
    }

    // Returns whether a job with independent tasks cannot meet its goal if one of its workers is cut off until the
    // lease expires. The fewer availability zones the tasks of such a job are in, the fewer
    // jobs a cut makes late.
    fn outlasted_by_lease(&self, job: &Job, queue: &Queue, pending: &PendingStep) -> bool {
        let is_excluded = |(spec, _): (&StepSpec, &Step)| spec.gang || spec.long_running;
        if job.step(pending.step).is_some_and(is_excluded) {
            return false;
        }
        let path = pending.path.whole_ms as f64 * self.ratio(&queue.name);
        let slack = (queue.stretch.max(1.0) - 1.0) * path + queue.goal_ms as f64;
        slack < self.bounds.max_lease.as_millis() as f64
    }

    // Returns the urgency of a step; 0.0 if its goal does not depend on a run time, or if the
    // result has become worthless.
    fn urgency(&self, now: Now, job: &Job, queue: &Queue, pending: &PendingStep) -> f64 {
        let PendingStep {
            rank, step: name, ..
        } = *pending;
        // At the speed of an average worker: the ratio itself falls when the queue runs on fast
        // workers, which would lower the urgency again.
        let ratio = self.average_speed_ratio(&queue.name);
        let path_ms = pending.path.whole_ms as f64 * ratio;
        let remaining_ms = pending.path.remaining_ms as f64 * ratio;
        let is_timed = job.step(name).is_some_and(|(spec, _)| !spec.long_running);
        if !is_timed || rank.is_worthless() || remaining_ms < 1.0 {
            return 0.0;
        }
        let goal_ms = queue.stretch.max(1.0) * path_ms + queue.goal_ms as f64;
        let due_ms = job.submission.due_ms(name.occurrence);
        let since_ms = due_ms.unwrap_or(job.accepted_ms);
        let elapsed_ms = now.wall_ms.saturating_sub(since_ms) as f64;
        let urgency = urgency(goal_multiple(goal_ms, elapsed_ms, path_ms, remaining_ms));
        if queue.stretch < SLACK_STRETCH_MIN {
            urgency.max(0.0)
        } else {
            urgency
        }
    }

    // Reserves capacity for a gang that does not fit yet or waits for permits, so that later
    // work does not take it in the meantime. Without known permits it is reserved on `workers`.
    // Nothing is reserved for a gang that would not fit if all but tasks that last had ended.
    fn reserve_room(
        &self,
        state: &State,
        pending: &PendingStep,
        required: &Requirement,
        workers: &[WorkerKey],
        round: &mut Round,
    ) -> Option<Arc<Reserve>> {
        if !required.gang || !round.may_reserve() {
            return None;
        }
        let job = &state.jobs[&pending.step.job];
        let (spec, _) = job.step(pending.step)?;
        let eligible = eligible(state, round, job, spec);
        let known = self.permits.for_step(pending.step);
        let is_denied = |key: &WorkerKey| known.is_some_and(|known| known.denied.contains(key));
        let candidates = eligible.workers.iter().copied();
        let candidates = candidates.filter(|key| !is_denied(key));
        if round.targets.attainable_fit_count(candidates, required) < pending.count {
            return None;
        }
        let allowed = self.permitted_workers(pending.step, &round.targets);
        let reserve = Arc::new(Reserve {
            required: required.clone(),
            count: pending.count,
            allowed: allowed.unwrap_or_else(|| workers.to_vec()),
        });
        round.reserve(&reserve);
        Some(reserve)
    }

    /// Returns how many of a step's waiting tasks can start within the account's cap.
    pub(super) fn pending_within_cap(&self, state: &State, pending: &PendingStep) -> usize {
        let job = &state.jobs[&pending.step.job];
        let step = job.step(pending.step);
        step.map_or(0, |(spec, _)| {
            self.count_within_cap(state, job, spec, pending.count)
        })
    }

    // Returns how many of `count` tasks can start within the account's cap. A gang starts
    // whole or not at all.
    fn count_within_cap(&self, state: &State, job: &Job, spec: &StepSpec, count: usize) -> usize {
        let Some(key) = job.account else {
            return count;
        };
        let cap = state.accounts[key.0 as usize].cap;
        let planned = self
            .uncommitted_usage
            .get(&key.0)
            .copied()
            .unwrap_or_default();
        let used = state.account_usage[key.0 as usize] + planned;
        let fits = |n: &usize| (used + spec.need.times(*n as i64)).is_within_cap(&cap);
        if spec.gang {
            return if fits(&count) { count } else { 0 };
        }
        (0..=count).rev().find(fits).unwrap_or(0)
    }

    // Returns the number of the step's tasks on each worker, or nothing if the step has no
    // limit for each worker.
    fn tasks_by_worker(
        &self,
        state: &State,
        name: StepName,
        spec: &StepSpec,
    ) -> HashMap<WorkerKey, u16> {
        let mut existing = HashMap::new();
        if spec.max_per_worker == 0 {
            return existing;
        }
        let Some((_, step)) = state.jobs[&name.job].step(name) else {
            return existing;
        };
        for task in &step.tasks {
            if let Phase::Placed(worker) = task.phase {
                *existing.entry(worker).or_insert(0) += 1;
            }
        }
        for (task, worker) in &self.uncommitted_starts {
            if task.step == name {
                *existing.entry(*worker).or_insert(0) += 1;
            }
        }
        existing
    }

    fn start_tasks(
        &mut self,
        state: &State,
        name: StepName,
        found: &[WorkerKey],
        required: &Requirement,
        suspects: &[TaskName],
        round: &mut Round,
    ) {
        let job = &state.jobs[&name.job];
        let Some((spec, step)) = job.step(name) else {
            return;
        };
        let gang_run = step.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        let indexes = (0_u16..).zip(&step.tasks).filter(|(index, task)| {
            let task_name = TaskName {
                step: name,
                index: *index,
            };
            let is_chosen = spec.gang || suspects.is_empty() || suspects.contains(&task_name);
            is_chosen
                && task.phase == Phase::Waiting
                && !self.uncommitted_starts.contains_key(&task_name)
        });
        let pairs: Vec<(u16, u32, WorkerKey)> = indexes
            .zip(found)
            .map(|((index, task), &worker)| {
                let run = if spec.gang { gang_run } else { task.run + 1 };
                (index, run, worker)
            })
            .collect();
        for (index, run, worker) in pairs {
            round.targets.allocate(worker, required);
            let task = TaskName { step: name, index };
            self.reserve(
                task,
                worker,
                spec.room(),
                spec.need,
                job.account.map(|a| a.0),
            );
            round.starts.push(Start { task, run, worker });
        }
    }

    fn reserve(
        &mut self,
        task: TaskName,
        worker: WorkerKey,
        room: Resources,
        need: Resources,
        account: Option<u32>,
    ) {
        self.uncommitted_starts.insert(task, worker);
        self.reservations.insert(task, (room, need, account));
        *self.uncommitted_step_starts.entry(task.step).or_insert(0) += 1;
        if let Some(channel) = self.channels.get_mut(worker) {
            channel.reserved += room;
        }
        if let Some(account) = account {
            *self.uncommitted_usage.entry(account).or_default() += need;
        }
    }

    /// Releases the reservation of a task once its start is committed.
    pub(super) fn unreserve(&mut self, task: TaskName) {
        let Some(worker) = self.uncommitted_starts.remove(&task) else {
            return;
        };
        if let Some(count) = self.uncommitted_step_starts.get_mut(&task.step) {
            *count -= 1;
            if *count == 0 {
                self.uncommitted_step_starts.remove(&task.step);
            }
        }
        let reservation = self.reservations.remove(&task);
        let Some((room, need, account)) = reservation else {
            return;
        };
        if let Some(channel) = self.channels.get_mut(worker) {
            channel.reserved -= room;
        }
        if let Some(account) = account
            && let Some(used) = self.uncommitted_usage.get_mut(&account)
        {
            *used -= need;
        }
    }
}

fn requirement(
    spec: &StepSpec,
    queue: &Queue,
    racks: &HashMap<String, u32>,
    slowdown: f64,
) -> Requirement {
    Requirement {
        resources: spec.room(),
        urgent: queue.priority == 0 || spec.long_running,
        data_rack: spec.data_rack.as_ref().and_then(|r| racks.get(r).copied()),
        slowdown,
        max_per_worker: (spec.max_per_worker > 0).then_some(spec.max_per_worker),
        single_rack: spec.gang && spec.rack_sensitive,
        single_zone: false,
        gang: spec.gang,
        urgency: 0.0,
        serving: spec.target_ms > 0,
        best_effort: spec.best_effort,
        ignores_reserves: false,
        sharing: Sharing::Any,
        marks: Marks::default(),
        avoided: Vec::new(),
    }
}

// Returns the workers of the job's service that have the step's label. The result is cached
// for the round.
fn eligible(state: &State, round: &mut Round, job: &Job, spec: &StepSpec) -> Rc<Eligible> {
    let service = state.queue(job.queue).service.as_str();
    let key = (service.to_owned(), spec.label.clone());
    if let Some(known) = round.eligible.get(&key) {
        return Rc::clone(known);
    }
    let has_label = |labels: &[String]| {
        let label = spec.label.as_ref();
        label.is_none_or(|label| labels.contains(label))
    };
    let workers: Vec<WorkerKey> = round
        .targets
        .iter()
        .map(|(key, _)| (key, &state.worker(key).report))
        .filter(|(_, report)| report.service == service && has_label(&report.labels))
        .map(|(key, _)| key)
        .collect();
    let found = Rc::new(Eligible {
        are_mostly_idle: round.targets.are_mostly_idle(&workers),
        workers,
    });
    round.eligible.insert(key, Rc::clone(&found));
    found
}

// Returns for each account whether it uses more than its weighted fair share of the
// processors in use.
fn over_share(state: &State) -> Vec<bool> {
    let used: Vec<f64> = state.account_usage.iter().map(|u| u.cpu as f64).collect();
    let total: f64 = used.iter().sum();
    let claimants: Vec<Claimant> = state
        .accounts
        .iter()
        .map(|account| Claimant {
            weight: account.weight.max(1) as f64,
            demand: f64::INFINITY,
        })
        .collect();
    if claimants.is_empty() {
        return Vec::new();
    }
    let fair_shares = divide(total, &claimants);
    used.iter()
        .zip(fair_shares)
        .map(|(used, fair_share)| *used > fair_share)
        .collect()
}
