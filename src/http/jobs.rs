//! Handlers of the job API.

use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};

use super::body::Text;
use super::headers::{bearer, id as request_id};
use super::operators::is_operator;
use super::platform::parse;
use super::reply::{ErrorResponse, json};
use super::{App, report};
use crate::core::control::{Answer, JobSummary, Query, Target};
use crate::core::fleet::Explanation;
use crate::core::job::{Id, Job, Spec, State as JobState, TASKS_PER_JOB_MAX};
use crate::core::registry::{Command, Outcome};
use crate::core::retry::spread;
use crate::core::room::{ROOM_RETRY_MIN, ROOM_RETRY_SPREAD};
use crate::error::{Error, Kind, Result};
use crate::ingress::Refusal;

/// Response to an accepted job.
#[derive(Debug, Serialize, Deserialize)]
pub struct Submitted {
    /// Id assigned to the job.
    pub id: Id,
}

/// Description and progress of a job.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobInfo {
    /// Id of the job.
    pub id: Id,
    /// Team that submitted it.
    pub team: String,
    /// Zone whose leader places its tasks.
    pub zone: String,
    /// State of the job.
    pub state: JobState,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of tasks that ended successfully.
    pub ended: u32,
    /// Specification as submitted.
    pub spec: Spec,
}

fn respond<T: Serialize>(result: Result<T>) -> Response {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(err) => ErrorResponse::from(err).into_response(),
    }
}

/// Accepts a job.
pub async fn submit(State(app): State<App>, headers: HeaderMap, body: Text) -> Response {
    match accept(&app, &headers, &body).await {
        Err(err) if err.kind == Kind::Overloaded => {
            app.node.budget.record(Refusal::Jobs);
            report(&app.node.budget, Refusal::Jobs);
            let retry_after = spread(ROOM_RETRY_MIN, ROOM_RETRY_SPREAD, rand::random());
            let response = ErrorResponse {
                retry_after: Some(retry_after),
                ..err.into()
            };
            response.into_response()
        }
        accepted => respond(accepted),
    }
}

async fn accept(app: &App, headers: &HeaderMap, body: &str) -> Result<Submitted> {
    let spec: Spec = parse(body)?;
    check(&spec)?;
    let view = app.node.traffic.view.load_full();
    let queue = view.config.queues.get(&spec.queue);
    if queue.is_none() && !spec.queue.is_empty() {
        let message = format!("unknown queue {}", spec.queue);
        return Err(Error::new(Kind::NotFound, message));
    }
    let open = queue.and_then(|q| q.open.clone());
    let team = match (bearer(headers)?, open) {
        (Some(secret), _) => app.node.traffic.authenticate(&view, secret)?,
        (None, Some(open)) => open,
        (None, None) => return Err(Error::new(Kind::Unauthenticated, "no API key")),
    };
    let request = request_id(headers)?.unwrap_or_default();
    let zone = choose_zone(app, &view.zones, &spec).await?;
    let job = Job {
        id: Id(0),
        team,
        request,
        spec,
        zone,
        state: JobState::Open,
        ended: Vec::new(),
        failures: 0,
    };
    let query = Query::Propose(Command::Submit(Box::new(job)));
    match app.node.ask(Target::Root, query).await? {
        Answer::Outcome(Outcome::Submitted(id)) => Ok(Submitted { id }),
        Answer::Outcome(Outcome::Refused(err)) => Err(err),
        _ => Err(Kind::Internal.into()),
    }
}

fn check(spec: &Spec) -> Result<()> {
    let bad_request = |message: &str| Err(Error::new(Kind::BadRequest, message));
    if !crate::config::is_name(&spec.name) {
        return bad_request("the job needs a name of letters, digits, `-`, `_` or `.`");
    }
    if spec.tasks == 0 || spec.tasks > TASKS_PER_JOB_MAX {
        return Err(Error::new(
            Kind::BadRequest,
            format!("tasks must be from 1 to {TASKS_PER_JOB_MAX}"),
        ));
    }
    if spec.size.cpu_milli == 0 || spec.size.memory_mb == 0 {
        return bad_request("cpu_milli and memory_mb of a task must be greater than 0");
    }
    Ok(())
}

/// Chooses the zone with the most free processor capacity among those where the job can run;
/// the local zone wins a tie.
async fn choose_zone(app: &App, zones: &[String], spec: &Spec) -> Result<String> {
    let mut best: Option<(u64, String)> = None;
    let mut reasons = Vec::new();
    let local_zone = app.node.traffic.zone.clone();
    let others = zones.iter().filter(|zone| **zone != local_zone).cloned();
    for zone in std::iter::once(local_zone.clone()).chain(others) {
        let query = Query::Admit(Box::new(spec.clone()));
        let answer = app.node.ask(Target::Zone(zone.clone()), query).await;
        match answer {
            Ok(Answer::Admission {
                misfit: None,
                free_milli,
            }) if best.as_ref().is_none_or(|(free, _)| free_milli > *free) => {
                best = Some((free_milli, zone));
            }
            Ok(Answer::Admission {
                misfit: Some(reason),
                ..
            }) => reasons.push(format!("{zone}: {reason}")),
            // The zone has less free capacity or cannot be reached.
            _ => {}
        }
    }
    if let Some((_, zone)) = best {
        return Ok(zone);
    }
    if reasons.is_empty() {
        return Err(Error::new(Kind::NoQuorum, "no zone leader can be reached"));
    }
    Err(Error::new(Kind::Unplaceable, reasons.join("; ")))
}

/// Returns the team of the caller's key, or `None` for an operator, who may see all jobs.
fn viewer(app: &App, headers: &HeaderMap) -> Result<Option<String>> {
    if is_operator(app, headers) {
        return Ok(None);
    }
    let view = app.node.traffic.view.load();
    let secret = bearer(headers)?.ok_or_else(|| Error::new(Kind::Unauthenticated, "no API key"))?;
    app.node.traffic.authenticate(&view, secret).map(Some)
}

async fn find(app: &App, headers: &HeaderMap, id: u64) -> Result<Job> {
    let viewer = viewer(app, headers)?;
    // The local replica may lag behind: a submitter can ask for its job before the entry
    // is applied here.
    let local = app.node.ask(Target::Local, Query::Job(Id(id))).await;
    let answer = match local {
        Ok(answer) => answer,
        Err(_) => app.node.ask(Target::Root, Query::Job(Id(id))).await?,
    };
    match answer {
        Answer::Job(job) if viewer.is_none_or(|team| team == job.team) => Ok(*job),
        _ => Err(Error::new(Kind::NotFound, format!("no job {id}"))),
    }
}

/// Shows a job.
pub async fn show(State(app): State<App>, Path(id): Path<u64>, headers: HeaderMap) -> Response {
    let shown = find(&app, &headers, id).await.map(|job| JobInfo {
        id: job.id,
        ended: job.ended_count(),
        tasks: job.spec.tasks,
        team: job.team,
        zone: job.zone,
        state: job.state,
        spec: job.spec,
    });
    respond(shown)
}

/// Lists the jobs of the caller's team, or all jobs for an operator.
pub async fn list(State(app): State<App>, headers: HeaderMap) -> Response {
    let listed = async {
        let viewer = viewer(&app, &headers)?;
        match app.node.ask(Target::Local, Query::Jobs(viewer)).await? {
            Answer::Jobs(jobs) => Ok::<Vec<JobSummary>, Error>(jobs),
            _ => Err(Kind::Internal.into()),
        }
    };
    respond(listed.await)
}

/// Cancels a job.
pub async fn cancel(State(app): State<App>, Path(id): Path<u64>, headers: HeaderMap) -> Response {
    let cancelled = async {
        let team = viewer(&app, &headers)?;
        let command = Command::Cancel { job: Id(id), team };
        match app.node.ask(Target::Root, Query::Propose(command)).await? {
            Answer::Outcome(Outcome::Done) => Ok(()),
            Answer::Outcome(Outcome::Refused(err)) => Err(err),
            _ => Err(Error::from(Kind::Internal)),
        }
    };
    respond(cancelled.await)
}

/// Explains why tasks of a job are waiting.
pub async fn explain(State(app): State<App>, Path(id): Path<u64>, headers: HeaderMap) -> Response {
    let explained = async {
        let job = find(&app, &headers, id).await?;
        if job.state != JobState::Open {
            return Ok(Explanation::default());
        }
        let target = Target::Zone(job.zone);
        match app.node.ask(target, Query::Explain(Id(id))).await? {
            Answer::Explanation(explanation) => Ok(explanation),
            _ => Err(Error::from(Kind::Internal)),
        }
    };
    respond(explained.await)
}
