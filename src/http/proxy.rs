//! The life of one request: claim, admission, exchange, retry, settlement.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header};
use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::pool::Pool;
use super::reply::Refused;
use crate::config::Service;
use crate::core::claim::{self, ANSWER_MAX, Attempt, End, Settlement, Verdict};
use crate::core::control::{Answer, Query, Target};
use crate::core::gate::{Announcement, Assignment, Request};
use crate::core::retry::backoff;
use crate::core::time::Moment;
use crate::error::{Error, Kind, Run};
use crate::event::Event;
use crate::node::Node;
use crate::traffic::Submitted;
use crate::util::hash64;

/// Attempts at one request in all.
const ATTEMPTS_MAX: u32 = 3;
/// Header that names the instance that sent a request; upstreams that count
/// their running requests by it let slots of a lost instance return early.
pub const SENDER: &str = "x-plantaincross-sender";
/// Tries to report the end of a claimed run to its home.
const SETTLE_TRIES: u32 = 5;
/// Pause between those tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(700);
/// Interval at which idle connections are checked.
const SWEEP_EVERY: Duration = Duration::from_secs(1);

/// A request as the caller sent it.
#[derive(Debug)]
pub struct Incoming {
    /// Id, minted if the caller chose none.
    pub id: String,
    /// Whether the caller chose the id, so that it may come again.
    pub claimed: bool,
    /// Age of an id that was minted for the caller.
    pub minted_age: Option<Duration>,
    /// Home zone of a minted id.
    pub home: Option<String>,
    /// Team that it counts for.
    pub team: String,
    /// Service.
    pub service: String,
    /// Settings of the service.
    pub settings: Service,
    /// Method.
    pub method: Method,
    /// Path and query towards the upstream.
    pub path: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When it came.
    pub taken: Moment,
    /// When its answer stops being of use.
    pub deadline: Moment,
    /// Worth if answered in time.
    pub worth: u64,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
}

/// A whole answer of an upstream.
pub type Whole = Response<Bytes>;

/// The request plane of one entry instance.
#[derive(Debug)]
pub struct Proxy {
    pub(super) node: Node,
    pub(super) pool: Arc<Pool>,
    pub(super) tasks: TaskTracker,
}

/// How one attempt ended.
pub(super) enum Attempted {
    Answered(Whole),
    /// Nothing was sent.
    Unsent(String),
    /// It may have run; the upstream may work on it until the given instant.
    Broken(Kind, String, Option<Instant>),
}

impl Proxy {
    /// Makes the request plane of an instance.
    pub fn new(node: Node) -> Self {
        let pool: Arc<Pool> = Arc::default();
        let sweeper = Arc::downgrade(&pool);
        tokio::spawn(async move {
            while let Some(pool) = sweeper.upgrade() {
                pool.sweep();
                drop(pool);
                tokio::time::sleep(SWEEP_EVERY).await;
            }
        });
        Self {
            node,
            pool,
            tasks: TaskTracker::new(),
        }
    }

    /// Waits until all exchanges have ended, those without a caller too.
    pub async fn settle(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Runs a request to its answer. The run goes on if the caller goes away.
    ///
    /// # Errors
    ///
    /// Fails with what the caller is to be told.
    pub async fn run(self: &Arc<Self>, incoming: Incoming) -> Result<Whole, Refused> {
        let id = incoming.id.clone();
        let (tx, rx) = oneshot::channel();
        let proxy = Arc::clone(self);
        self.tasks.spawn(async move {
            proxy.drive(incoming, tx).await;
        });
        rx.await
            .unwrap_or_else(|_| Err(Refused::new(Kind::Internal, &id)))
    }

    async fn drive(&self, incoming: Incoming, mut caller: Caller) {
        self.node.traffic.record(Event::RequestTaken {
            request: incoming.id.clone(),
            team: incoming.team.clone(),
            service: incoming.service.clone(),
        });
        let claim = match self.claim(&incoming).await {
            Ok(claim) => claim,
            Err(Claimed::Repeat(answer)) => {
                self.answer(&incoming, caller, Ok(answer));
                return;
            }
            Err(Claimed::Refused(refused)) => {
                self.answer(&incoming, caller, Err(refused));
                return;
            }
        };
        let assignment = match self.admit(&incoming, &mut caller).await {
            Ok(assignment) => {
                let waited = self.node.traffic.clock.now().since(incoming.taken);
                self.node.traffic.metrics.waited(waited);
                assignment
            }
            Err(refused) => {
                self.settle_claim(claim, End::Released);
                self.answer(&incoming, caller, Err(refused));
                return;
            }
        };
        self.exchange(incoming, assignment, claim, caller).await;
    }

    /// Claims the id of a non-idempotent request that the caller may repeat.
    async fn claim(&self, incoming: &Incoming) -> Result<Option<Attempt>, Claimed> {
        if incoming.idempotent || !incoming.claimed {
            return Ok(None);
        }
        let traffic = &self.node.traffic;
        let view = traffic.view.load();
        let id = claim::Id::of(&incoming.team, &incoming.id);
        let home = incoming.home.clone().or_else(|| {
            let zones = view.zones.iter().map(String::as_str);
            claim::home_zone(id, zones).map(str::to_owned)
        });
        let Some(home) = home else {
            return Err(Claimed::Refused(Refused::new(
                Kind::ClaimUnavailable,
                &incoming.id,
            )));
        };
        let attempt = Attempt {
            home: home.clone(),
            id,
            body: body_digest(incoming),
            owner: traffic.id,
            minted_age: incoming.minted_age,
        };
        let query = Query::Claim(attempt.clone());
        let refused = |error: Error| Claimed::Refused(Refused::new(error, &incoming.id));
        match self.node.ask(Target::Zone(home.clone()), query).await {
            Ok(Answer::Verdict(Verdict::Granted)) => {
                traffic.record(Event::RequestClaimed {
                    request: incoming.id.clone(),
                    home,
                });
                Ok(Some(attempt))
            }
            Ok(Answer::Verdict(Verdict::Repeat(answer))) => Err(Claimed::Repeat(stored(answer))),
            Ok(Answer::Verdict(Verdict::Refused(kind))) => Err(refused(kind.into())),
            Ok(_) => Err(refused(Kind::Internal.into())),
            Err(err) => {
                // The grant may be under way: it is given back, since nothing of
                // this request will be sent.
                self.settle_claim(Some(attempt), End::Released);
                Err(refused(Error::new(Kind::ClaimUnavailable, err.message)))
            }
        }
    }

    async fn admit(&self, incoming: &Incoming, caller: &mut Caller) -> Result<Assignment, Refused> {
        let traffic = &self.node.traffic;
        let (team, service) = {
            let mut gate = traffic.gate.lock().expect("gate lock");
            let team = gate.team(&incoming.team);
            let service = gate.put_service(&incoming.service, incoming.settings.queue_limit);
            (team, service)
        };
        let Some(team) = team else {
            return Err(Refused::new(Kind::Forbidden, &incoming.id));
        };
        let request = Request {
            team,
            service,
            worth: incoming.worth,
            deadline: incoming.deadline,
        };
        let refusal = match traffic.submit(request) {
            Ok(Submitted::Started(assignment)) => return Ok(assignment),
            Ok(Submitted::Waiting(ticket, rx)) => {
                traffic.record(Event::RequestQueued {
                    request: incoming.id.clone(),
                });
                tokio::select! {
                    result = rx => match result {
                        Ok(Ok(assignment)) => return Ok(assignment),
                        Ok(Err(refusal)) => refusal,
                        Err(_) => return Err(Refused::new(Kind::Internal, &incoming.id)),
                    },
                    () = caller.closed() => {
                        traffic.cancel(service, ticket);
                        return Err(Refused::new(Kind::DeadlineUnmeetable, &incoming.id));
                    }
                }
            }
            Err(refusal) => refusal,
        };
        let mut refused = Refused::new(refusal.kind, &incoming.id);
        refused.retry_after = Some(refusal.retry_after);
        // A caller's id may have been tried before elsewhere; this one held its
        // claim, so the answer is as certain as the kind says.
        Err(refused)
    }

    async fn exchange(
        &self,
        incoming: Incoming,
        first: Assignment,
        claim: Option<Attempt>,
        caller: Caller,
    ) {
        let mut caller = Some(caller);
        let mut assignment = first;
        let mut sent = false;
        let mut attempt = 0;
        let (end, result) = loop {
            attempt += 1;
            let attempted = self.attempt(&incoming, assignment, &mut caller).await;
            self.release(assignment, &attempted);
            let failed = match attempted {
                Attempted::Answered(answer) => {
                    let end = End::Answered(keep(&answer));
                    break (end, Ok(answer));
                }
                Attempted::Unsent(message) => (Kind::UpstreamUnreachable, message),
                Attempted::Broken(kind, message, _) => {
                    sent = true;
                    (kind, message)
                }
            };
            let may_retry = (!sent || incoming.idempotent) && attempt < ATTEMPTS_MAX;
            if may_retry && let Some(next) = self.plan_retry(&incoming, assignment, attempt).await {
                assignment = next;
                continue;
            }
            let end = if sent { End::Lost } else { End::Released };
            let mut refused = Refused::new(Error::new(failed.0, failed.1), &incoming.id);
            refused.run = Some(if sent { Run::Unknown } else { Run::NotRun });
            break (end, Err(refused));
        };
        self.settle_claim(claim, end);
        if let Some(caller) = caller {
            self.answer(&incoming, caller, result);
        }
    }

    async fn plan_retry(
        &self,
        incoming: &Incoming,
        last: Assignment,
        attempt: u32,
    ) -> Option<Assignment> {
        let traffic = &self.node.traffic;
        if !traffic.budget.lock().expect("budget lock").spend() {
            return None;
        }
        let pause = backoff(attempt - 1, &mut rand::rng());
        if traffic.clock.now() + pause >= incoming.deadline {
            return None;
        }
        tokio::time::sleep(pause).await;
        let next = traffic.retry(last.service, last.team, last.upstream)?;
        traffic.metrics.retried();
        traffic.record(Event::RequestRetried {
            request: incoming.id.clone(),
        });
        Some(next)
    }

    fn settle_claim(&self, claim: Option<Attempt>, end: End) {
        let Some(claim) = claim else {
            return;
        };
        let node = self.node.clone();
        self.tasks.spawn(async move {
            let settlement = Settlement {
                home: claim.home.clone(),
                id: claim.id,
                owner: claim.owner,
                end,
            };
            for _ in 0..SETTLE_TRIES {
                let query = Query::Settle(settlement.clone());
                let target = Target::Zone(claim.home.clone());
                if node.ask(target, query).await.is_ok() {
                    return;
                }
                tokio::time::sleep(SETTLE_PAUSE).await;
            }
        });
    }

    pub(super) fn answer(
        &self,
        incoming: &Incoming,
        caller: Caller,
        result: Result<Whole, Refused>,
    ) {
        let traffic = &self.node.traffic;
        let event = match &result {
            Ok(answer) => Event::RequestAnswered {
                request: incoming.id.clone(),
                status: answer.status().as_u16(),
                millis: traffic.clock.now().since(incoming.taken).as_millis() as u64,
            },
            Err(refused) => Event::RequestRefused {
                request: incoming.id.clone(),
                kind: refused.error.kind.to_string(),
            },
        };
        traffic.record(event);
        let _ = caller.send(result);
    }
}

/// Where the answer to a caller goes.
pub(super) type Caller = oneshot::Sender<Result<Whole, Refused>>;

/// Why a claim was not granted.
enum Claimed {
    Repeat(Whole),
    Refused(Refused),
}

// Idle connections that one instance may keep, so that all together stay below
// what the upstream accepts.
pub(super) fn idle_limit(target: &Announcement) -> usize {
    const ENTRY_INSTANCES_MAX: u32 = 22;
    (target.connections.saturating_sub(target.slots) / ENTRY_INSTANCES_MAX) as usize
}

fn body_digest(incoming: &Incoming) -> u64 {
    let mut bytes = format!(
        "{}\n{}\n{}\n",
        incoming.method, incoming.service, incoming.path
    )
    .into_bytes();
    bytes.extend_from_slice(&incoming.body);
    hash64(&bytes)
}

fn keep(answer: &Whole) -> Option<claim::Answer> {
    if answer.body().len() > ANSWER_MAX {
        return None;
    }
    Some(claim::Answer {
        status: answer.status().as_u16(),
        content_type: answer
            .headers()
            .get(header::CONTENT_TYPE)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned),
        body: answer.body().to_vec(),
    })
}

fn stored(answer: claim::Answer) -> Whole {
    let mut response = Response::new(Bytes::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let content_type = answer
        .content_type
        .and_then(|v| HeaderValue::from_str(&v).ok());
    if let Some(value) = content_type {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Returns whether a header concerns one connection or the system only.
pub fn is_hop_header(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
            | "authorization"
            | "expect"
            | "x-request-id"
            | "x-team"
            | "x-plantaincross-sender"
    )
}
