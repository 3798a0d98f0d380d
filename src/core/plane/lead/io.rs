//! What the leader is told and what it wants done.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::plane::job::{Standing, Submission};
use crate::core::plane::state::Command;
use crate::core::plane::types::{How, StepName, TaskName, WorkerKey};
use crate::core::plane::worker::Report;
use crate::core::registry::InstanceId;

/// A question of a caller, a worker or an operator; its answer repeats the number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call(pub u64);

/// What a caller wants, as its entry instance read it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Host that it named.
    pub host: String,
    /// Path: the queue's prefix, then the job's id or nothing.
    pub path: String,
    /// Key that came with it.
    pub key: Option<String>,
    /// What is to be done.
    pub action: Action,
}

/// What is to be done with a job or a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Accept a job; its id comes from the path.
    Submit(Box<Submission>),
    /// Tell how a job or a queue stands.
    Show,
    /// Give up a job.
    Cancel,
}

/// A question to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// Of a caller.
    Request(Box<Request>),
    /// A worker's report.
    Report(Box<Report>),
    /// A worker that is about to end.
    Depart(String),
    /// A new configuration.
    Configure {
        /// The configuration.
        plan: Box<crate::core::plane::plan::Plan>,
        /// What the operator sent.
        document: Vec<u8>,
    },
    /// The configuration in force.
    Configuration,
}

/// Answer of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// It is done and stored.
    Done,
    /// How a job stands.
    Standing(Standing),
    /// Accepted jobs of a queue for which no task has started.
    Pending(u64),
    /// There is no such job.
    Gone,
    /// There is no such queue.
    NotFound,
    /// The key is not known.
    Unauthorized,
    /// What was sent is not valid.
    Malformed(String),
    /// The configuration in force, as it was sent.
    Configuration(Vec<u8>),
    /// Nothing was done, and nothing will be.
    Unavailable {
        /// When to come back, in milliseconds.
        retry_ms: u64,
        /// Why.
        why: Refusal,
    },
    /// It may have been done or not.
    Unknown,
    /// The instance that was asked does not lead; nothing was done.
    NotLeader,
}

/// Why nothing was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// There is no configuration yet.
    NoConfiguration,
    /// No leader can be reached.
    NoLeader,
    /// More work is waiting than can be served in time.
    Overloaded,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Number; its reply repeats it.
    pub number: u64,
    /// Id of the worker.
    pub worker: String,
    /// Its address.
    pub address: String,
    /// Fence: workers ignore orders below the highest they have seen.
    pub fence: u64,
    /// Time that the reply may take.
    pub timeout: Duration,
    /// What is to be done.
    pub task: Work,
}

/// What a worker is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Start a run.
    Start {
        /// Task.
        task: TaskName,
        /// Run.
        run: u32,
        /// Text of the job.
        text: String,
        /// End of the lease, in milliseconds on the worker's clock.
        until: u64,
        /// Progress to resume from.
        checkpoint: Option<Box<str>>,
        /// Permission to run the step there.
        permit: Option<String>,
    },
    /// Stop a run, or see to it that it never starts.
    Stop {
        /// Task.
        task: TaskName,
        /// Run.
        run: u32,
    },
    /// Tell what runs and what ended, and lengthen the lease.
    Look {
        /// End of the lease; none leaves it as it is.
        until: Option<u64>,
        /// Ends up to this number are stored and may be forgotten.
        seen: u64,
        /// Longest time to wait for an end.
        wait: Duration,
    },
}

/// A run that a worker has.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// Task.
    pub task: TaskName,
    /// Run.
    pub run: u32,
    /// Progress that it saved.
    pub checkpoint: Option<Box<str>>,
    /// Progress in percent.
    pub percent: u32,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Number within the incarnation.
    pub number: u64,
    /// Task.
    pub task: TaskName,
    /// Run.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Progress that it saved.
    pub checkpoint: Option<Box<str>>,
}

/// What a worker has and what ended on it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lists {
    /// Start of the incarnation, in milliseconds since 1970, if told.
    pub born_ms: Option<u64>,
    /// Runs.
    pub running: Vec<RunningRow>,
    /// Ends.
    pub ended: Vec<EndRow>,
}

/// Why a worker refused a start. It has done nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// The fence is below one it has seen.
    Fence,
    /// The run is not above one that was stopped or ended there.
    Old,
    /// The lease is over already.
    Late,
    /// It has no room.
    Room,
    /// The permission is missing or over.
    Permit,
    /// It is not well.
    Unhealthy,
    /// It does not understand the order.
    Malformed,
}

/// What came back for an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Done. Carries the worker's clock, in milliseconds.
    Done(u64),
    /// Not done.
    Declined(Declined),
    /// The lists that were asked for and the worker's clock, in milliseconds.
    Lists(u64, Lists),
    /// Another incarnation answered.
    Replaced,
    /// The order was not sent.
    NotSent,
    /// There was no usable answer; the order may be carried out, also later.
    NoAnswer,
}

/// A question to the permission service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// Number; its answer repeats it.
    pub number: u64,
    /// Step.
    pub step: StepName,
    /// Ids of workers.
    pub workers: Vec<String>,
    /// Time that the answer may take, in milliseconds.
    pub timeout_ms: u64,
}

/// Answer of the permission service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Permission {
    /// Workers that may run the step, each with a permit.
    Granted(Vec<(String, String)>),
    /// Too many questions are waiting there.
    Busy,
    /// There was no usable answer.
    NoAnswer,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Put a command into the log, then give the answers.
    Propose(Command, Vec<(Call, Answer)>),
    /// Give an answer.
    Answer(Call, Answer),
    /// Send an order to a worker.
    Order(Order),
    /// Have an instance ask the permission service.
    Ask(InstanceId, Question),
    /// Write an event to the log of events.
    Note(Note),
}

/// Something worth a log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Note {
    /// A job was accepted or found again.
    JobAccepted {
        /// Job.
        job: String,
        /// Queue.
        queue: String,
        /// Account.
        account: Option<String>,
        /// Whether it was there before.
        repeated: bool,
        /// Version of the configuration that decided.
        version: u64,
    },
    /// A request was refused.
    Refused {
        /// Path of the request.
        path: String,
        /// Why.
        why: String,
        /// Version of the configuration that decided.
        version: u64,
    },
    /// A job was given up by its caller.
    JobCancelled {
        /// Job.
        job: String,
    },
    /// All tasks of a job are done.
    JobCompleted {
        /// Job.
        job: String,
        /// Time since it was accepted, in milliseconds.
        took_ms: u64,
    },
    /// A task or gang of a job failed as often as allowed.
    JobFailed {
        /// Job.
        job: String,
        /// Time since it was accepted, in milliseconds.
        took_ms: u64,
    },
    /// A run was placed.
    Placed {
        /// Task.
        task: String,
        /// Run.
        run: u32,
        /// Worker.
        worker: String,
        /// Time since the job was accepted, in milliseconds.
        waited_ms: u64,
    },
    /// A run ended.
    Ended {
        /// Task.
        task: String,
        /// Run.
        run: u32,
        /// Worker.
        worker: String,
        /// How.
        how: How,
        /// What told: a list, a refusal, a lapsed lease.
        by: &'static str,
    },
    /// A run is stopped.
    Stopping {
        /// Task.
        task: String,
        /// Run.
        run: u32,
        /// Worker.
        worker: String,
        /// Why.
        why: &'static str,
    },
    /// An order had no answer.
    OrderLost {
        /// Worker.
        worker: String,
        /// Time since its latest answer, in milliseconds.
        silent_ms: u64,
    },
    /// A worker was registered or changed.
    WorkerChanged {
        /// Worker.
        worker: String,
        /// Start of its incarnation.
        born_ms: u64,
        /// Whether it drains.
        draining: bool,
    },
    /// A worker is gone.
    WorkerGone {
        /// Worker.
        worker: String,
        /// What told.
        by: &'static str,
    },
    /// A worker answered the first look of this term.
    WorkerAdopted {
        /// Worker.
        worker: String,
        /// Fence.
        fence: u64,
        /// Runs that it has.
        running: usize,
    },
    /// A worker is left alone for a while.
    WorkerAvoided {
        /// Worker.
        worker: String,
        /// Score of failures.
        failures: f64,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The permission service answered or did not.
    Permission {
        /// Step.
        step: String,
        /// Workers named.
        named: usize,
        /// Workers granted; absent without an answer.
        granted: Option<usize>,
        /// Time taken, in milliseconds.
        took_ms: u64,
    },
    /// A configuration is in force.
    Configured {
        /// Version.
        version: u64,
    },
}

/// Where an order belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    /// Worker.
    pub worker: WorkerKey,
    /// Task and run of a start or stop; none for a look.
    pub run: Option<(TaskName, u32)>,
    /// Whether it is a start.
    pub is_start: bool,
    /// Ends that a look said to be stored.
    pub seen: u64,
    /// When it was sent.
    pub at: crate::core::time::Moment,
}
