//! Replicated state of the task plane and the commands that change it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::job::{Annotation, Job, Phase, Status, Step, Submission, Task};
use super::plan::{Account, Config, Queue};
use super::types::{
    AccountKey, JobId, QueueKey, Resources, StepName, TaskName, Termination, WorkerKey,
};
use super::worker::{Report, Run, Worker};
use crate::core::room::{Amount, Holdings};

/// Time for which an ended job is kept, in milliseconds, so that a repeated submission
/// finds it. One hour is thirty times the longest status interval promised to callers.
const RETENTION_MS: u64 = 3_600_000;
/// Shorter time for which it is kept while there are more than [`ENDED_JOBS_MAX`], in
/// milliseconds: more than twice the longest status interval.
const RETENTION_MIN_MS: u64 = 300_000;
/// Number of ended jobs above which the oldest are removed early.
const ENDED_JOBS_MAX: usize = 20_000;
/// Memory of an ended job, in bytes.
const ENDED_JOB_BYTES: usize = 256;

/// Number of crashed workers from which on a task is a suspect whenever they crashed.
const SUSPICION_CRASHES_MIN: u32 = 3;
/// Number of crashes on trial after which a task is given up. A single one may be a coincidence.
const TRIAL_CRASHES_MAX: u32 = 2;
/// Number of crashed workers after which a task is given up in any case.
const CRASHES_MAX: u32 = 5;

/// Start of a run, as recorded in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run.
    pub task: TaskName,
    /// Run number; later runs of a task have higher numbers.
    pub run: u32,
    /// Worker that may run the task.
    pub worker: WorkerKey,
}

/// End of a run, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Task that ran.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Worker to which the run was assigned.
    pub worker: WorkerKey,
    /// Result of the run.
    pub how: Termination,
    /// Checkpoint that the run saved, if any.
    pub checkpoint: Option<Box<str>>,
}

/// Command that changes the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Applies a configuration, unless the current version is the same or higher.
    Configure {
        /// Configuration to apply.
        plan: Box<Config>,
        /// Configuration document as the operator sent it, returned on request.
        document: Vec<u8>,
    },
    /// Registers a worker or updates its report.
    Register(Box<Report>),
    /// Marks an incarnation of a worker as ended.
    Depart(WorkerKey),
    /// Accepts a job.
    Submit {
        /// Job as submitted.
        submission: Box<Submission>,
        /// Name of the queue.
        queue: String,
        /// Name of the client account; absent on an open queue without a key.
        account: Option<String>,
        /// Time of acceptance, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// Job to cancel.
        job: JobId,
        /// Time of the cancellation, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Records ends of runs, then starts.
    Progress {
        /// Runs that ended.
        ends: Vec<End>,
        /// Runs to start.
        starts: Vec<Start>,
        /// Time of the entry, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// Evacuates an availability zone, or revokes this.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is to get no starts.
        active: bool,
    },
    /// Accepts a job with an annotation for each step.
    SubmitAnnotated {
        /// Job as submitted.
        submission: Box<Submission>,
        /// Annotations, in the order of the steps.
        annotations: Vec<Annotation>,
        /// Name of the queue.
        queue: String,
        /// Name of the client account; absent on an open queue without a key.
        account: Option<String>,
        /// Time of acceptance, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
}

/// Crashes of workers under one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Crashes {
    /// Number of workers that crashed.
    count: u32,
    /// Whether the task may have crashed a worker. It then runs on a worker of its own.
    is_suspect: bool,
    /// Number of crashes shortly after a start on a worker of its own.
    on_trial: u32,
}

impl Crashes {
    // Counts a crash and returns whether the task is to be given up. A crash shortly after
    // the start makes the task a suspect. Further ones prove it, since a suspect has its worker
    // to itself.
    fn count(&mut self, shortly_after_start: bool) -> bool {
        self.count += 1;
        self.on_trial += u32::from(shortly_after_start && self.is_suspect);
        self.is_suspect |= shortly_after_start || self.count >= SUSPICION_CRASHES_MIN;
        self.on_trial >= TRIAL_CRASHES_MAX || self.count >= CRASHES_MAX
    }
}

/// Replicated state of the task plane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Current configuration.
    pub config: Config,
    /// Current configuration document as the operator sent it.
    pub document: Vec<u8>,
    /// Queues, including removed ones; indexed by [`QueueKey`]. A state of an earlier version may
    /// have several entries of one queue.
    pub queues: Vec<Queue>,
    /// Client accounts, including removed ones; indexed by [`AccountKey`].
    pub accounts: Vec<Account>,
    /// Resources in use by each account, in the order of the accounts.
    pub account_usage: Vec<Resources>,
    /// Open jobs, and ended ones within the retention time.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not ended.
    pub open: BTreeSet<JobId>,
    /// Ended jobs with the time of their end, in milliseconds since the Unix epoch.
    ended: VecDeque<(u64, JobId)>,
    /// Incarnations of all workers, including ended ones; indexed by [`WorkerKey`].
    pub workers: Vec<Worker>,
    /// Latest incarnation of each worker, by worker id.
    pub worker_keys: HashMap<String, WorkerKey>,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Open tasks under which workers crashed. Snapshots of earlier versions end before it.
    crashes: BTreeMap<TaskName, Crashes>,
    /// Names of the evacuated availability zones, whose workers get no starts. Snapshots of
    /// earlier versions end before it.
    pub evacuated: BTreeSet<String>,
    /// Annotations of the steps of open jobs that have any. Snapshots of earlier versions end
    /// before them.
    pub annotations: BTreeMap<JobId, Vec<Annotation>>,
    /// What the jobs hold, derived from them.
    #[serde(skip)]
    pub holdings: Holdings<Option<AccountKey>>,
}

impl State {
    /// Returns the jobs that ended at `at_ms`, which must be the latest end recorded.
    pub fn ended_at(&self, at_ms: u64) -> impl Iterator<Item = JobId> {
        let latest = self.ended.iter().rev();
        latest
            .take_while(move |(at, _)| *at == at_ms)
            .map(|&(_, job)| job)
    }

    /// Returns whether any open task may have crashed a worker.
    pub fn has_suspects(&self) -> bool {
        self.crashes.values().any(|crashes| crashes.is_suspect)
    }

    /// Returns whether a run of a task needs a worker of its own: the task, or a member of its
    /// gang, may have crashed a worker.
    pub fn is_on_trial(&self, task: TaskName) -> bool {
        let is_gang = self
            .jobs
            .get(&task.step.job)
            .and_then(|job| job.step(task.step))
            .is_some_and(|(spec, _)| spec.gang);
        let mut suspects = self.suspects(task.step);
        suspects.any(|suspect| is_gang || suspect == task)
    }

    /// Returns the tasks of a step that may have crashed a worker.
    pub fn suspects(&self, step: StepName) -> impl Iterator<Item = TaskName> {
        let first = TaskName { step, index: 0 };
        let last = TaskName {
            step,
            index: u16::MAX,
        };
        self.crashes
            .range(first..=last)
            .filter(|(_, crashes)| crashes.is_suspect)
            .map(|(&task, _)| task)
    }

    /// Returns whether a task may have crashed a worker and another one crashed shortly after its
    /// next start.
    pub fn has_crashed_on_trial(&self, task: TaskName) -> bool {
        let crashes = self.crashes.get(&task);
        crashes.is_some_and(|crashes| crashes.on_trial > 0)
    }

    /// Returns whether a worker's availability zone is evacuated.
    pub fn is_evacuated(&self, key: WorkerKey) -> bool {
        !self.evacuated.is_empty() && self.evacuated.contains(&self.worker(key).report.zone)
    }

    /// Returns whether a start would put a run into an evacuated zone. A gang is stopped as soon as
    /// one member is not started, so a start of a gang counts if any of its members is there.
    pub fn is_start_evacuated(&self, start: Start) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let job = self.jobs.get(&start.task.step.job);
        let gang = job
            .and_then(|job| job.step(start.task.step))
            .filter(|(spec, _)| spec.gang);
        let members = gang.into_iter().flat_map(|(_, step)| &step.tasks);
        let mut placed = members.filter_map(|task| match task.phase {
            Phase::Placed(worker) if task.run == start.run => Some(worker),
            _ => None,
        });
        self.is_evacuated(start.worker) || placed.any(|worker| self.is_evacuated(worker))
    }

    /// Returns whether any worker, present or past, has reported an availability zone.
    pub fn names_zone(&self, zone: &str) -> bool {
        self.workers.iter().any(|worker| worker.report.zone == zone)
    }

    /// Returns the image of a step of an open job, if it has one.
    pub fn image(&self, step: StepName) -> Option<&str> {
        let annotations = self.annotations.get(&step.job)?;
        annotations.get(usize::from(step.step))?.image.as_deref()
    }

    /// Returns a worker incarnation.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    /// Returns a queue as the configuration in force defines it. A removed queue stays as it was
    /// last.
    pub fn queue(&self, key: QueueKey) -> &Queue {
        &self.queues[key.0 as usize]
    }

    /// Returns the worker incarnations that have not ended.
    pub fn live_workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.workers)
            .filter(|(_, worker)| !worker.departed)
    }

    /// Returns whether a run should go on: its job is open, the task is assigned to this
    /// worker under this run number, and its gang is not being stopped.
    pub fn is_wanted(&self, worker: WorkerKey, task: TaskName, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        if job.status.is_final() {
            return false;
        }
        let Some((_, step, found)) = job.task(task) else {
            return false;
        };
        found.run == run && found.phase == Phase::Placed(worker) && !step.aborting
    }

    /// Applies a committed command. Commands that no longer fit the state are ignored.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Configure { plan, document } => self.configure(*plan, document),
            Command::Register(report) => self.register(*report),
            Command::Depart(worker) => self.depart(worker),
            Command::Submit {
                submission,
                queue,
                account,
                at_ms,
            } => {
                self.submit(*submission, Vec::new(), &queue, account.as_deref(), at_ms);
            }
            Command::SubmitAnnotated {
                submission,
                annotations,
                queue,
                account,
                at_ms,
            } => {
                self.submit(*submission, annotations, &queue, account.as_deref(), at_ms);
            }
            Command::Cancel { job, at_ms } => self.finish(job, Status::Cancelled, at_ms),
            Command::Progress {
                ends,
                starts,
                at_ms,
            } => {
                for end in ends {
                    self.end(end, at_ms);
                }
                for start in starts {
                    self.start(start);
                }
            }
            Command::Evacuate { zone, active } => {
                if active {
                    self.evacuated.insert(zone);
                } else {
                    self.evacuated.remove(&zone);
                }
            }
        }
    }

    fn configure(&mut self, config: Config, document: Vec<u8>) {
        if config.version <= self.config.version {
            return;
        }
        for account in &mut self.accounts {
            account.keys.clear();
        }
        for account in &config.accounts {
            match self.accounts.iter_mut().find(|a| a.name == account.name) {
                Some(existing) => *existing = account.clone(),
                None => self.accounts.push(account.clone()),
            }
        }
        self.account_usage
            .resize(self.accounts.len(), Resources::default());
        self.config = config;
        self.document = document;
        self.update_queues();
    }

    /// Updates the queues to the configuration in force. Open jobs follow their queue.
    pub(super) fn update_queues(&mut self) {
        let known: HashSet<&str> = self.queues.iter().map(|q| q.name.as_str()).collect();
        let current = self.config.queues.iter();
        let added = current.filter(|queue| !known.contains(queue.name.as_str()));
        let added: Vec<Queue> = added.cloned().collect();
        self.queues.extend(added);
        let current = self.config.queues.iter();
        let current: HashMap<&str, &Queue> = current.map(|q| (q.name.as_str(), q)).collect();
        for queue in &mut self.queues {
            let found = current.get(queue.name.as_str());
            if let Some(&current) = found.filter(|&&current| current != queue) {
                queue.clone_from(current);
            }
        }
    }

    fn register(&mut self, report: Report) {
        if let Some(&key) = self.worker_keys.get(&report.id) {
            let existing = &mut self.workers[key.0 as usize];
            if existing.report.born_ms == report.born_ms {
                // Draining is permanent within an incarnation.
                let draining = existing.report.draining || report.draining;
                existing.report = Report { draining, ..report };
                return;
            }
            if !report.is_later(&existing.report) {
                return;
            }
            existing.departed = true;
        }
        let key = WorkerKey(self.workers.len() as u32);
        self.worker_keys.insert(report.id.clone(), key);
        self.workers.push(Worker {
            report,
            ..Worker::default()
        });
    }

    fn depart(&mut self, worker: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(worker.0 as usize) {
            worker.departed = true;
        }
    }

    fn submit(
        &mut self,
        submission: Submission,
        annotations: Vec<Annotation>,
        queue: &str,
        account: Option<&str>,
        at_ms: u64,
    ) {
        self.remove_expired(at_ms);
        if self.jobs.contains_key(&submission.id) {
            return;
        }
        let Some(queue) = self.queues.iter().position(|q| q.name == queue) else {
            return;
        };
        let account = account.and_then(|name| self.account_key(name));
        let id = submission.id;
        let job = Job::new(submission, QueueKey(queue as u32), account, at_ms);
        if !annotations.is_empty() {
            self.annotations.insert(id, annotations);
        }
        self.holdings.add(account, self.held_by(id, &job));
        self.open.insert(id);
        self.jobs.insert(id, job);
    }

    /// Returns the key of a client account.
    pub fn account_key(&self, name: &str) -> Option<AccountKey> {
        let at = self.accounts.iter().position(|a| a.name == name)?;
        Some(AccountKey(at as u32))
    }

    // Returns what a job holds.
    fn held_by(&self, id: JobId, job: &Job) -> Amount {
        if job.status.is_final() {
            return Amount {
                jobs: 0,
                bytes: ENDED_JOB_BYTES,
            };
        }
        let annotations = self.annotations.get(&id).map_or(&[][..], Vec::as_slice);
        Amount {
            jobs: 1,
            bytes: job.submission.held_bytes(annotations),
        }
    }

    /// Derives what the jobs hold from the jobs of a decoded state.
    pub(super) fn update_holdings(&mut self) {
        let mut holdings = Holdings::default();
        for (&id, job) in &self.jobs {
            holdings.add(job.account, self.held_by(id, job));
        }
        self.holdings = holdings;
    }

    fn remove_expired(&mut self, at_ms: u64) {
        while let Some(&(ended_ms, id)) = self.ended.front() {
            let retention_ms = if self.ended.len() > ENDED_JOBS_MAX {
                RETENTION_MIN_MS
            } else {
                RETENTION_MS
            };
            if ended_ms + retention_ms > at_ms {
                return;
            }
            self.ended.pop_front();
            if let Some(job) = self.jobs.remove(&id) {
                self.holdings.remove(&job.account, self.held_by(id, &job));
            }
        }
    }

    fn finish(&mut self, id: JobId, status: Status, at_ms: u64) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.status.is_final()) else {
            return;
        };
        let (account, held) = (job.account, self.held_by(id, job));
        self.holdings.remove(&account, held);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.status = status;
            job.trim();
        }
        let ended = Amount {
            jobs: 0,
            bytes: ENDED_JOB_BYTES,
        };
        self.holdings.add(account, ended);
        self.crashes.retain(|task, _| task.step.job != id);
        self.annotations.remove(&id);
        self.open.remove(&id);
        self.ended.push_back((at_ms, id));
    }

    fn start(&mut self, start: Start) {
        let Start { task, run, worker } = start;
        let Some(assigned_worker) = self.workers.get_mut(worker.0 as usize) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if assigned_worker.departed || job.status.is_final() {
            return;
        }
        let Some(spec) = job.submission.steps.get(usize::from(task.step.step)) else {
            return;
        };
        let record = Run {
            run,
            room: spec.room(),
            need: spec.need,
            account: job.account,
        };
        let Some(step) = step_mut(&mut job.occurrences, task) else {
            return;
        };
        let Some(found) = step.tasks.get_mut(usize::from(task.index)) else {
            return;
        };
        if found.phase != Phase::Waiting || run <= found.run {
            return;
        }
        found.phase = Phase::Placed(worker);
        found.run = run;
        step.placed += 1;
        if job.status == Status::Queued {
            job.status = Status::Running;
        }
        assigned_worker.used += record.room;
        if let Some(account) = record.account {
            self.account_usage[account.0 as usize] += record.need;
        }
        assigned_worker.runs.insert(task, record);
    }

    fn end(&mut self, end: End, at_ms: u64) {
        let Some(assigned_worker) = self.workers.get_mut(end.worker.0 as usize) else {
            return;
        };
        if assigned_worker
            .runs
            .get(&end.task)
            .is_none_or(|r| r.run != end.run)
        {
            self.complete_late(end, at_ms);
            return;
        }
        if let Some(record) = assigned_worker.runs.remove(&end.task) {
            assigned_worker.used -= record.room;
            if let Some(account) = record.account {
                self.account_usage[account.0 as usize] -= record.need;
            }
        }
        self.apply_end(end, at_ms);
    }

    // Applies the success of a run that was given up when its worker's lease expired, unless
    // a later run of the task has started. The result is valid, so the work is not repeated.
    fn complete_late(&mut self, end: End, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&end.task.step.job) else {
            return;
        };
        if end.how != Termination::Done || !job.is_given_up(end.task, end.run) {
            return;
        }
        let Some(step) = step_mut(&mut job.occurrences, end.task) else {
            return;
        };
        step.tasks[usize::from(end.task.index)].phase = Phase::Placed(end.worker);
        step.placed += 1;
        self.apply_end(end, at_ms);
    }

    // Applies the end of a run to its task, gang and job.
    fn apply_end(&mut self, end: End, at_ms: u64) {
        let id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.status.is_final() {
            return;
        }
        let attempts = self.queues[job.queue.0 as usize].attempts.max(1);
        let Some(spec) = job.submission.steps.get(usize::from(end.task.step.step)) else {
            return;
        };
        let (gang, long_running) = (spec.gang, spec.long_running);
        let Some(step) = step_mut(&mut job.occurrences, end.task) else {
            return;
        };
        let index = usize::from(end.task.index);
        let Some(task) = step.tasks.get_mut(index) else {
            return;
        };
        if task.run != end.run || task.phase != Phase::Placed(end.worker) {
            return;
        }
        if let Some(saved) = end.checkpoint.filter(|c| !c.is_empty()) {
            if gang {
                let save = |task: &mut Task| task.checkpoint = Some(saved.clone());
                step.tasks.iter_mut().for_each(save);
            } else {
                task.checkpoint = Some(saved);
            }
        }
        let done = end.how == Termination::Done && !long_running;
        if gang && done {
            for task in &mut step.tasks {
                task.phase = Phase::Done;
            }
            step.placed = 0;
            step.done = step.tasks.len() as u16;
            step.aborting = false;
        } else {
            release(step, index, done);
        }
        let mut failed = false;
        match end.how {
            Termination::Failed => {
                failed = count_failure(step, index, gang, end.run, attempts) && !long_running;
            }
            // A service outlives any number of workers, and its run has outlived its start.
            Termination::Lost if long_running => {
                self.crashes.remove(&end.task);
            }
            Termination::Crashed | Termination::Lost => {
                let crashes = self.crashes.entry(end.task).or_default();
                failed = crashes.count(end.how == Termination::Crashed);
            }
            _ => {}
        }
        if gang && !done {
            step.aborting = step.placed > 0;
        }
        if failed {
            self.finish(id, Status::Failed, at_ms);
        } else if done && job.occurrences.iter().flatten().all(Step::is_done) {
            self.finish(id, Status::Completed, at_ms);
        }
    }
}

fn step_mut(occurrences: &mut [Vec<Step>], task: TaskName) -> Option<&mut Step> {
    occurrences
        .get_mut(task.step.occurrence as usize)?
        .get_mut(usize::from(task.step.step))
}

// Unassigns a task from its worker.
fn release(step: &mut Step, index: usize, done: bool) {
    step.placed -= 1;
    step.tasks[index].phase = if done { Phase::Done } else { Phase::Waiting };
    step.done += u16::from(done);
}

// Counts a failed run and returns whether the task or its gang has used up its attempts.
// A run of a gang counts once, however many of its members failed.
fn count_failure(step: &mut Step, index: usize, gang: bool, run: u32, attempts: u32) -> bool {
    step.tasks[index].failed += 1;
    if gang && step.gang_failed_run != run {
        step.gang_failed_run = run;
        step.gang_failed += 1;
    }
    step.tasks[index].failed >= attempts || step.gang_failed >= attempts
}
