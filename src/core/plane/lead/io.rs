//! Inputs and outputs of the leader.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::fence::Fence;
use super::waiting::WaitReason;
use crate::core::plane::job::{Annotation, Status, Submission};
use crate::core::plane::state::Command;
use crate::core::plane::types::{StepName, TaskName, Termination, WorkerKey};
use crate::core::plane::worker::{Condition, Departure, Report};
use crate::core::registry::InstanceId;
use crate::core::room::Shortage;
use crate::core::time::Moment;

/// Number of a query from a caller, worker or operator. The answer carries the same
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Call(pub u64);

/// Request of a caller, as parsed by its entry instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Host name in the request.
    pub host: String,
    /// Path: the queue's prefix, followed by the job id or nothing.
    pub path: String,
    /// Key in the request, if any.
    pub key: Option<String>,
    /// Requested action.
    pub action: Action,
}

/// Action on a job or queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Submits a job. The job id is taken from the path.
    Submit(Box<Submission>),
    /// Returns the state of a job or queue.
    Show,
    /// Cancels a job.
    Cancel,
    /// Submits a job with an annotation for each step.
    SubmitAnnotated(Box<Submission>, Vec<Annotation>),
}

/// Query to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// Request of a caller.
    Request(Box<Request>),
    /// Report of a worker.
    Report(Box<Report>),
    /// Announcement of a worker that it shuts down.
    Depart(Departure),
    /// Configuration to apply.
    Configure {
        /// Parsed configuration.
        plan: Box<crate::core::plane::plan::Config>,
        /// Configuration document as the operator sent it.
        document: Vec<u8>,
    },
    /// Requests the current configuration.
    Configuration,
    /// Evacuates an availability zone, or revokes this.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Whether the zone is to get no starts.
        active: bool,
    },
    /// Report of a worker that is cold or about to leave.
    Heartbeat {
        /// Report of the worker.
        report: Box<Report>,
        /// Temporary condition of the worker.
        condition: Condition,
    },
}

/// Answer of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The change is committed.
    Done,
    /// State of a job.
    Standing(Status),
    /// Number of accepted jobs of a queue that have no started task.
    Pending(u64),
    /// The job does not exist.
    Gone,
    /// The queue does not exist.
    NotFound,
    /// The key is missing or unknown.
    Unauthorized,
    /// The query is invalid, with a description of the problem.
    Malformed(String),
    /// Current configuration document as the operator sent it.
    Configuration(Vec<u8>),
    /// The query has had no effect and will have none.
    Unavailable {
        /// Time after which to retry, in milliseconds.
        retry_ms: u64,
        /// Reason.
        why: Refusal,
    },
    /// The outcome is unknown: the change may or may not be committed.
    Unknown,
    /// The instance is not the leader. The query has had no effect.
    NotLeader,
}

/// Reason why a query has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No configuration has been applied yet.
    NoConfiguration,
    /// No leader is reachable.
    NoLeader,
    /// More work is queued than can be served in time.
    Overloaded,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Number of the order. The reply carries the same number.
    pub number: u64,
    /// Id of the worker.
    pub worker: String,
    /// Address of the worker.
    pub address: String,
    /// Fencing token of the leader's term and the incarnation that the order is meant for.
    pub fence: Fence,
    /// Time to wait for the reply.
    pub timeout: Duration,
    /// Content of the order.
    pub task: Work,
}

/// Content of an order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// Starts a run.
    Start {
        /// Task to run.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Text of the job.
        text: String,
        /// Lease expiry, in milliseconds on the worker's clock.
        until: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<Box<str>>,
        /// Permit to run the step on this worker.
        permit: Option<String>,
    },
    /// Stops a run, or prevents it from starting.
    Stop {
        /// Task to stop.
        task: TaskName,
        /// Run number.
        run: u32,
    },
    /// Inspects the worker: requests its lists of current and ended runs and renews the
    /// lease.
    Inspect {
        /// New lease expiry, in milliseconds on the worker's clock; `None` does not renew
        /// it.
        until: Option<u64>,
        /// Ends up to this number are committed; the worker may drop them.
        seen: u64,
        /// Maximum time for which the worker delays its reply until a run ends.
        wait: Duration,
    },
}

/// Current run in a worker's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRow {
    /// Task that runs.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint that the run saved.
    pub checkpoint: Option<Box<str>>,
    /// Progress as a percentage.
    pub percent: u32,
    /// Approximate figure for the last half second: for a serving task the tail of its response
    /// times, in milliseconds, for any other the processor time in use, in thousandths of a core.
    /// `None` if the worker gave none, or an implausible one.
    pub recent: Option<u32>,
}

/// Ended run in a worker's lists.
#[derive(Clone, Debug, PartialEq)]
pub struct EndRow {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Task that ran.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Result of the run.
    pub how: Termination,
    /// Latest checkpoint that the run saved.
    pub checkpoint: Option<Box<str>>,
}

/// Current and ended runs of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lists {
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch, if known.
    pub born_ms: Option<u64>,
    /// Current runs.
    pub running: Vec<RunningRow>,
    /// Ended runs that are not yet known to be committed, in the order of their numbers.
    pub ended: Vec<EndRow>,
    /// Whether rows are missing because they could not be decoded.
    pub is_partial: bool,
}

/// Reason why a worker declined a start order. The order has had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Declined {
    /// The fencing token is lower than one the worker has seen.
    Fence,
    /// The worker has stopped or ended this run of the task or a later one.
    Old,
    /// The lease has already expired.
    Late,
    /// The worker has too little free capacity.
    Room,
    /// The permit is missing or has expired.
    Permit,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker cannot parse the order.
    Malformed,
}

/// Reply to an order.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The order was carried out. Holds the worker's clock, in milliseconds.
    Done(u64),
    /// The start order was declined.
    Declined(Declined),
    /// Worker's clock, in milliseconds, and the requested lists.
    Lists(u64, Lists),
    /// Another incarnation of the worker replied.
    Replaced,
    /// The order was not sent.
    NotSent,
    /// No valid reply arrived. The order may have been carried out or may still be.
    NoAnswer,
}

/// Request to the permission service: which of these workers may run a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermissionRequest {
    /// Number of the request. The answer carries the same number.
    pub number: u64,
    /// Step to be run.
    pub step: StepName,
    /// Ids of the workers to be permitted.
    pub workers: Vec<String>,
    /// Time to wait for the answer, in milliseconds.
    pub timeout_ms: u64,
}

/// Answer of the permission service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Permission {
    /// Ids of the workers that may run the step, each with a permit.
    Granted(Vec<(String, String)>),
    /// The service rejected the request because too many are queued.
    Busy,
    /// No valid answer arrived.
    NoAnswer,
}

/// Action that the caller of the leader has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Proposes a command to the log, and gives the answers once it is committed.
    Propose(Command, Vec<(Call, Answer)>),
    /// Answers a query.
    Answer(Call, Answer),
    /// Sends an order to a worker.
    Order(Order),
    /// Has an instance send a request to the permission service.
    Ask(InstanceId, PermissionRequest),
    /// Writes an event to the event log.
    Note(Note),
}

/// Event for the event log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Note {
    /// A job was accepted, or submitted again.
    JobAccepted {
        /// Job id.
        job: String,
        /// Name of the queue.
        queue: String,
        /// Name of the client account.
        account: Option<String>,
        /// Whether the job was submitted before.
        repeated: bool,
        /// Version of the configuration in effect.
        version: u64,
    },
    /// A query was refused.
    Refused {
        /// Request path, job id or other subject of the query.
        path: String,
        /// Reason.
        why: String,
        /// Version of the configuration in effect.
        version: u64,
    },
    /// A job was refused because accepted jobs hold too much. It has not run and never will.
    NoRoom {
        /// Job id.
        job: String,
        /// Client account; absent on an open queue without a key.
        account: Option<String>,
        /// What is short.
        shortage: Shortage,
        /// Estimated memory of all accepted jobs, in bytes.
        held_bytes: usize,
        /// Maximum of this.
        room_bytes: usize,
        /// Number of accepted jobs that have not ended.
        open_jobs: usize,
        /// Time after which the caller should retry, in milliseconds.
        retry_ms: u64,
    },
    /// A job was cancelled by its caller.
    JobCancelled {
        /// Job id.
        job: String,
    },
    /// All tasks of a job are done.
    JobCompleted {
        /// Job id.
        job: String,
        /// Time since acceptance, in milliseconds.
        took_ms: u64,
    },
    /// A task or gang of a job used up its attempts.
    JobFailed {
        /// Job id.
        job: String,
        /// Number of attempts that the job's queue allows.
        attempts: u32,
        /// Time since acceptance, in milliseconds.
        took_ms: u64,
    },
    /// A run was assigned to a worker.
    Placed {
        /// Name of the task.
        task: String,
        /// Run number.
        run: u32,
        /// Id of the worker.
        worker: String,
        /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
        born_ms: u64,
        /// Time since acceptance of the job, in milliseconds.
        waited_ms: u64,
        /// Whether the task, or a member of its gang, may have crashed a worker.
        on_trial: bool,
        /// Whether the start order carries a permit.
        has_permit: bool,
    },
    /// A worker declined a start order.
    StartDeclined {
        /// Name of the task.
        task: String,
        /// Run number.
        run: u32,
        /// Id of the worker.
        worker: String,
        /// Start of the incarnation that the order was meant for, in milliseconds since the Unix
        /// epoch.
        born_ms: u64,
        /// Reason that the worker gave.
        why: Declined,
    },
    /// A run ended.
    Ended {
        /// Name of the task.
        task: String,
        /// Run number.
        run: u32,
        /// Id of the worker.
        worker: String,
        /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
        born_ms: u64,
        /// Result of the run.
        how: Termination,
        /// How the leader learned of the end, such as from the worker's list or an
        /// expired lease.
        by: &'static str,
    },
    /// A stop order was sent.
    Stopping {
        /// Name of the task.
        task: String,
        /// Run number.
        run: u32,
        /// Id of the worker.
        worker: String,
        /// Reason.
        why: &'static str,
    },
    /// An order was left unanswered.
    OrderLost {
        /// Id of the worker.
        worker: String,
        /// Time since the worker's latest answer, in milliseconds.
        silent_ms: u64,
    },
    /// A worker registered or changed its report.
    WorkerChanged {
        /// Id of the worker.
        worker: String,
        /// Start of the incarnation, in milliseconds since the Unix epoch.
        born_ms: u64,
        /// Whether the worker is draining.
        draining: bool,
    },
    /// A worker announced that it shuts down.
    WorkerDeparts {
        /// Id of the worker.
        worker: String,
        /// Start of the incarnation that the announcement names, in milliseconds since the Unix
        /// epoch.
        named_born_ms: Option<u64>,
        /// Start of the latest known incarnation, in milliseconds since the Unix epoch.
        known_born_ms: Option<u64>,
        /// Whether that incarnation has reported that it drains.
        draining: bool,
        /// Whether the announcement is that of the latest known incarnation.
        is_current: bool,
    },
    /// The runs of a worker count as ended.
    WorkerGone {
        /// Id of the worker.
        worker: String,
        /// How the leader learned of it.
        by: &'static str,
    },
    /// A worker answered the first inspection of this term.
    WorkerAdopted {
        /// Id of the worker.
        worker: String,
        /// Start of the incarnation that answered, in milliseconds since the Unix epoch.
        born_ms: u64,
        /// Fencing token of the inspection.
        fence: Fence,
        /// Number of runs that the worker listed.
        running: usize,
    },
    /// A failing worker is excluded from placement for some time.
    WorkerAvoided {
        /// Id of the worker.
        worker: String,
        /// Failure score of the worker.
        failures: f64,
        /// Duration of the exclusion, in milliseconds.
        for_ms: u64,
    },
    /// The learned speed of a worker has left the normal band or re-entered it.
    WorkerSpeed {
        /// Id of the worker.
        worker: String,
        /// Run time as a multiple of the fleet's median.
        slowness: f64,
        /// Number of observations, reduced with age.
        observations: f64,
        /// Mean deviation of the observations from the estimate, as a logarithm.
        spread: f64,
        /// Whether the speed is in the normal band.
        normal: bool,
    },
    /// A step has tasks that wait for placement for long.
    StepWaits {
        /// Name of the step.
        step: String,
        /// Number of tasks that wait.
        tasks: usize,
        /// Reason that the latest planning round gave.
        reason: WaitReason,
        /// Time for which tasks of the step have been waiting, in milliseconds.
        waited_ms: u64,
    },
    /// No worker of an availability zone answers any more, or one answers again.
    ZoneSilent {
        /// Availability zone.
        zone: String,
        /// Whether its workers are silent.
        silent: bool,
    },
    /// A permission request was answered or timed out.
    Permission {
        /// Name of the step.
        step: String,
        /// Number of workers in the request.
        named: usize,
        /// Number of workers that got a permit; absent without an answer.
        granted: Option<usize>,
        /// Time until the answer, in milliseconds.
        took_ms: u64,
    },
    /// A configuration was applied.
    Configured {
        /// Version in effect.
        version: u64,
    },
    /// An availability zone was evacuated, or this was revoked.
    ZoneEvacuated {
        /// Availability zone.
        zone: String,
        /// Whether the zone gets no starts.
        active: bool,
        /// Number of runs that may be on its workers.
        runs: usize,
    },
    /// Tasks of one image began or ceased to count as slowed down by those of another one on the
    /// same worker.
    Interference {
        /// Image that is slowed down, or `queue NAME` for the steps of a queue without an image.
        image: String,
        /// Image that slows it down, in the same form.
        beside: String,
        /// Whether the pair counts from now on.
        interferes: bool,
        /// Run time beside the other image as a multiple of that beside others.
        ratio: f64,
        /// Number of observations; earlier ones count less.
        observations: f64,
    },
}

/// Record of an order that awaits its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentOrder {
    /// Incarnation that the order was meant for.
    pub worker: WorkerKey,
    /// Task and run number of a start or stop; `None` for an inspection.
    pub run: Option<(TaskName, u32)>,
    /// Whether the order is a start.
    pub is_start: bool,
    /// Number up to which an inspection acknowledged ends as committed.
    pub seen: u64,
    /// Time at which the order was sent.
    pub sent_at: Moment,
    /// Time until which its reply is awaited.
    pub times_out_at: Moment,
}
