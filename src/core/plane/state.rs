//! The replicated state of a task plane and the commands that change it.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::job::{Job, Phase, Standing, Step, Submission, Task};
use super::plan::{Account, Plan, Queue};
use super::types::{AccountKey, Amount, How, JobId, QueueKey, TaskName, WorkerKey};
use super::worker::{Report, Run, Worker};

/// Ended jobs are remembered for this long, in milliseconds, so that a repeated
/// submission finds them. An hour is thirty times the longest status interval that
/// callers are promised.
const RETENTION_MS: u64 = 3_600_000;

/// A start of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: WorkerKey,
}

/// An end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Worker.
    pub worker: WorkerKey,
    /// How it ended.
    pub how: How,
    /// Progress that it saved.
    pub checkpoint: Option<Box<str>>,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force, unless a higher version is.
    Configure {
        /// The configuration.
        plan: Box<Plan>,
        /// What the operator sent, to be shown again.
        document: Vec<u8>,
    },
    /// Records what a worker says of itself.
    Register(Box<Report>),
    /// Records that an incarnation of a worker has ended.
    Depart(WorkerKey),
    /// Accepts a job.
    Submit {
        /// What was handed in.
        submission: Box<Submission>,
        /// Name of its queue.
        queue: String,
        /// Name of the client account.
        account: Option<String>,
        /// When it was accepted, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Gives up a job.
    Cancel {
        /// Job.
        job: JobId,
        /// When it was given up, in milliseconds since 1970.
        at_ms: u64,
    },
    /// Records ends, then starts.
    Progress {
        /// Ends.
        ends: Vec<End>,
        /// Starts.
        starts: Vec<Start>,
        /// When, in milliseconds since 1970.
        at_ms: u64,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// Configuration in force.
    pub plan: Plan,
    /// The configuration as it was sent.
    pub document: Vec<u8>,
    /// Every version of every queue.
    pub queues: Vec<Queue>,
    /// Client accounts, also those that were removed.
    pub accounts: Vec<Account>,
    /// What each account has running.
    pub account_use: Vec<Amount>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that have not ended.
    pub open: BTreeSet<JobId>,
    /// Ended jobs by the time of their end.
    ended: VecDeque<(u64, JobId)>,
    /// Incarnations of workers.
    pub workers: Vec<Worker>,
    /// Latest incarnation of each worker.
    pub worker_keys: HashMap<String, WorkerKey>,
    /// Index of the last applied log entry.
    pub applied: u64,
}

impl State {
    /// Returns the jobs that ended at `at_ms`, if nothing ended later.
    pub fn ended_at(&self, at_ms: u64) -> impl Iterator<Item = JobId> {
        let latest = self.ended.iter().rev();
        latest
            .take_while(move |(at, _)| *at == at_ms)
            .map(|&(_, job)| job)
    }

    /// Returns a worker's incarnation.
    pub fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[key.0 as usize]
    }

    /// Returns a queue as it was when its jobs were accepted.
    pub fn queue(&self, key: QueueKey) -> &Queue {
        &self.queues[key.0 as usize]
    }

    /// Returns the incarnations that have not ended.
    pub fn live_workers(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.workers)
            .filter(|(_, worker)| !worker.gone)
    }

    /// Returns the service whose workers run the jobs of a queue now. A queue that
    /// was removed keeps its last service while that exists.
    pub fn service_of(&self, key: QueueKey) -> &str {
        let queue = self.queue(key);
        let current = self.plan.queues.iter().find(|q| q.name == queue.name);
        &current.unwrap_or(queue).service
    }

    /// Returns whether a run is still wanted: its job is open, and the task is to
    /// run there under that number.
    pub fn is_wanted(&self, worker: WorkerKey, task: TaskName, run: u32) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        if job.standing.is_final() {
            return false;
        }
        let Some((_, step, found)) = job.task(task) else {
            return false;
        };
        found.run == run && found.phase == Phase::Placed(worker) && !step.breaking
    }

    /// Applies a command.
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
            } => self.submit(*submission, &queue, account.as_deref(), at_ms),
            Command::Cancel { job, at_ms } => self.finish(job, Standing::Cancelled, at_ms),
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
        }
    }

    fn configure(&mut self, plan: Plan, document: Vec<u8>) {
        if plan.version <= self.plan.version {
            return;
        }
        for queue in &plan.queues {
            if !self.queues.contains(queue) {
                self.queues.push(queue.clone());
            }
        }
        for account in &mut self.accounts {
            account.keys.clear();
        }
        for account in &plan.accounts {
            match self.accounts.iter_mut().find(|a| a.name == account.name) {
                Some(known) => *known = account.clone(),
                None => self.accounts.push(account.clone()),
            }
        }
        self.account_use
            .resize(self.accounts.len(), Amount::default());
        self.plan = plan;
        self.document = document;
    }

    fn register(&mut self, report: Report) {
        if let Some(&key) = self.worker_keys.get(&report.id) {
            let known = &mut self.workers[key.0 as usize];
            if known.report.born_ms == report.born_ms {
                // A worker that drains never takes work again in this incarnation.
                let draining = known.report.draining || report.draining;
                known.report = Report { draining, ..report };
                return;
            }
            if !report.is_later(&known.report) {
                return;
            }
            known.gone = true;
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
            worker.gone = true;
        }
    }

    fn submit(&mut self, submission: Submission, queue: &str, account: Option<&str>, at_ms: u64) {
        self.forget_ended(at_ms);
        if self.jobs.contains_key(&submission.id) {
            return;
        }
        let Some(queue) = self.queues.iter().rposition(|q| q.name == queue) else {
            return;
        };
        let account = account
            .and_then(|name| self.accounts.iter().position(|a| a.name == name))
            .map(|at| AccountKey(at as u32));
        let id = submission.id;
        let job = Job::new(submission, QueueKey(queue as u32), account, at_ms);
        self.open.insert(id);
        self.jobs.insert(id, job);
    }

    fn forget_ended(&mut self, at_ms: u64) {
        while let Some(&(ended_ms, id)) = self.ended.front() {
            if ended_ms + RETENTION_MS > at_ms {
                return;
            }
            self.ended.pop_front();
            self.jobs.remove(&id);
        }
    }

    fn finish(&mut self, id: JobId, standing: Standing, at_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.standing.is_final() {
            return;
        }
        job.standing = standing;
        job.trim();
        self.open.remove(&id);
        self.ended.push_back((at_ms, id));
    }

    fn start(&mut self, start: Start) {
        let Start { task, run, worker } = start;
        let Some(place) = self.workers.get_mut(worker.0 as usize) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if place.gone || job.standing.is_final() {
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
        if job.standing == Standing::Queued {
            job.standing = Standing::Running;
        }
        place.used += record.room;
        if let Some(account) = record.account {
            self.account_use[account.0 as usize] += record.need;
        }
        place.runs.insert(task, record);
    }

    fn end(&mut self, end: End, at_ms: u64) {
        let Some(place) = self.workers.get_mut(end.worker.0 as usize) else {
            return;
        };
        if place.runs.get(&end.task).is_none_or(|r| r.run != end.run) {
            return;
        }
        if let Some(record) = place.runs.remove(&end.task) {
            place.used -= record.room;
            if let Some(account) = record.account {
                self.account_use[account.0 as usize] -= record.need;
            }
        }
        self.settle(end, at_ms);
    }

    // Carries an end over to the task, its gang and its job.
    fn settle(&mut self, end: End, at_ms: u64) {
        let id = end.task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.standing.is_final() {
            return;
        }
        let attempts = self.queues[job.queue.0 as usize].attempts.max(1);
        let Some(spec) = job.submission.steps.get(usize::from(end.task.step.step)) else {
            return;
        };
        let (gang, lasting) = (spec.gang, spec.lasting);
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
        let done = end.how == How::Done && !lasting;
        if gang && done {
            for task in &mut step.tasks {
                task.phase = Phase::Done;
            }
            step.placed = 0;
            step.done = step.tasks.len() as u16;
            step.breaking = false;
        } else {
            release(step, index, done);
        }
        let mut failed = false;
        if end.how == How::Failed {
            failed = count_failure(step, index, gang, end.run, attempts) && !lasting;
        }
        if gang && !done {
            step.breaking = step.placed > 0;
        }
        if failed {
            self.finish(id, Standing::Failed, at_ms);
        } else if done && job.occurrences.iter().flatten().all(Step::is_done) {
            self.finish(id, Standing::Completed, at_ms);
        }
    }
}

fn step_mut(occurrences: &mut [Vec<Step>], task: TaskName) -> Option<&mut Step> {
    occurrences
        .get_mut(task.step.occurrence as usize)?
        .get_mut(usize::from(task.step.step))
}

// Takes a task from its worker.
fn release(step: &mut Step, index: usize, done: bool) {
    step.placed -= 1;
    step.tasks[index].phase = if done { Phase::Done } else { Phase::Waiting };
    step.done += u16::from(done);
}

// Returns whether the task or its gang has failed as often as allowed. A gang's run
// counts once, however many of its members failed.
fn count_failure(step: &mut Step, index: usize, gang: bool, run: u32, attempts: u32) -> bool {
    step.tasks[index].failed += 1;
    if gang && step.gang_failed_run != run {
        step.gang_failed_run = run;
        step.gang_failed += 1;
    }
    step.tasks[index].failed >= attempts || step.gang_failed >= attempts
}
