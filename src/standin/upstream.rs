//! A stand-in upstream: a real HTTP server that counts what it is asked for.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::Response;
use futures_util::StreamExt;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::time::{interval, sleep};
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::error::Result;

/// Time between the first part of a short answer and its end.
const CUT_AFTER: Duration = Duration::from_millis(50);
/// Interval of heartbeats.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(400);
/// Longest wait for an answer to a heartbeat.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// How an upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// With the request's method, path and body after the service time.
    Echo,
    /// It closes the connection without an answer.
    Close,
    /// It never answers.
    Silent,
    /// Its answer ends before its stated length.
    Short,
    /// Its answer carries another request's id.
    Crossed,
    /// Its answer is this many bytes long.
    Large(usize),
}

/// What an upstream has seen.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Requests running now.
    pub running: u32,
    /// Most requests that ran at once.
    pub most_running: u32,
    /// Connections open now.
    pub connections: u32,
    /// Most connections that were open at once.
    pub most_connections: u32,
    /// Runs by request id.
    pub runs: HashMap<String, u32>,
    /// Requests begun by team.
    pub teams: BTreeMap<String, u64>,
    by_sender: BTreeMap<String, u32>,
}

/// A running stand-in upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    state: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    name: String,
    zone: String,
    service: String,
    address: SocketAddr,
    slots: u32,
    connections: u32,
    incarnation: u64,
    service_time: Mutex<Duration>,
    behaviour: Mutex<Behaviour>,
    leaving: Mutex<bool>,
    muted: Mutex<bool>,
    seen: Mutex<Option<String>>,
    counts: bool,
    ledger: Mutex<Ledger>,
    token: CancellationToken,
}

/// What an upstream is.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: String,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Time for one request.
    pub service_time: Duration,
    /// Whether its heartbeats tell what it runs by sender.
    pub counts: bool,
    /// Port that it listens on; any free one without it.
    pub port: Option<u16>,
    /// Address that it announces; its own without it.
    pub announced: Option<SocketAddr>,
}

impl Upstream {
    /// Starts an upstream that announces itself to `entries` in turn.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn start(
        plan: Plan,
        entries: Vec<SocketAddr>,
        platform_token: Option<String>,
        token: CancellationToken,
    ) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", plan.port.unwrap_or(0))).await?;
        let state = Arc::new(Inner {
            name: plan.name,
            zone: plan.zone,
            service: plan.service,
            address: match plan.announced {
                Some(address) => address,
                None => listener.local_addr()?,
            },
            slots: plan.slots,
            connections: plan.connections,
            incarnation: incarnation(),
            service_time: Mutex::new(plan.service_time),
            behaviour: Mutex::new(Behaviour::Echo),
            leaving: Mutex::new(false),
            muted: Mutex::new(false),
            seen: Mutex::new(None),
            counts: plan.counts,
            ledger: Mutex::default(),
            token,
        });
        let upstream = Self { state };
        tokio::spawn(upstream.clone().serve(listener));
        tokio::spawn(upstream.clone().announce(entries, platform_token));
        Ok(upstream)
    }

    /// Returns the address that it announces.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Changes how it answers.
    pub fn behave(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock().expect("behaviour lock") = behaviour;
    }

    /// Changes its service time.
    pub fn set_service_time(&self, time: Duration) {
        *self.state.service_time.lock().expect("time lock") = time;
    }

    /// Says in every heartbeat from now on whether it leaves.
    pub fn leave(&self, leaving: bool) {
        *self.state.leaving.lock().expect("leaving lock") = leaving;
    }

    /// Stops or resumes its heartbeats.
    pub fn mute(&self, muted: bool) {
        *self.state.muted.lock().expect("muted lock") = muted;
    }

    /// Reads its ledger.
    pub fn ledger<T>(&self, read: impl FnOnce(&Ledger) -> T) -> T {
        read(&self.state.ledger.lock().expect("ledger lock"))
    }

    /// Ends it at once.
    pub fn kill(&self) {
        self.state.token.cancel();
    }

    async fn serve(self, listener: TcpListener) {
        let app = Router::new()
            .fallback(answer)
            .with_state(Arc::clone(&self.state));
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
                () = self.state.token.cancelled() => return,
            };
            let _ = stream.set_nodelay(true);
            let state = Arc::clone(&self.state);
            let service = TowerToHyperService::new(app.clone());
            tokio::spawn(async move {
                state.count_connection();
                let io = TokioIo::new(stream);
                let connection =
                    hyper::server::conn::http1::Builder::new().serve_connection(io, service);
                tokio::select! {
                    _ = connection => {}
                    () = state.token.cancelled() => {}
                }
                state.ledger.lock().expect("ledger lock").connections -= 1;
            });
        }
    }

    async fn announce(self, entries: Vec<SocketAddr>, platform_token: Option<String>) {
        let mut ticks = interval(ANNOUNCE_EVERY);
        let mut clients: Vec<Client> = entries
            .into_iter()
            .map(|entry| Client::new(entry, platform_token.clone(), ANNOUNCE_TIMEOUT))
            .collect();
        for turn in 0usize.. {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.state.token.cancelled() => return,
            }
            if clients.is_empty() || *self.state.muted.lock().expect("muted lock") {
                continue;
            }
            let at = turn % clients.len();
            let body = self.state.heartbeat();
            let accepted: Result<serde_json::Value> =
                clients[at].call("POST", "/v1/upstreams", Some(&body)).await;
            match accepted {
                Ok(answer) => self.state.see(&answer),
                Err(err) => log::debug!("{}: {err}", self.state.name),
            }
        }
    }
}

impl Inner {
    fn heartbeat(&self) -> serde_json::Value {
        let ledger = self.ledger.lock().expect("ledger lock");
        let mut body = serde_json::json!({
            "name": self.name,
            "incarnation": self.incarnation,
            "service": self.service,
            "zone": self.zone,
            "address": self.address,
            "slots": self.slots,
            "connections": self.connections,
            "leaving": *self.leaving.lock().expect("leaving lock"),
        });
        if self.counts {
            body["running"] = serde_json::json!(ledger.by_sender);
            body["seen"] = serde_json::json!(*self.seen.lock().expect("seen lock"));
        }
        body
    }

    fn see(&self, answer: &serde_json::Value) {
        let seen = answer["seen"].as_str().map(str::to_owned);
        *self.seen.lock().expect("seen lock") = seen;
    }

    fn count_connection(&self) {
        let mut ledger = self.ledger.lock().expect("ledger lock");
        ledger.connections += 1;
        ledger.most_connections = ledger.most_connections.max(ledger.connections);
    }
}

/// Counts one running request until it is dropped, also when its caller goes away.
struct Run {
    state: Arc<Inner>,
    sender: String,
}

impl Run {
    fn begin(state: &Arc<Inner>, headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            headers
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        let sender = text("x-plantaincross-sender");
        let mut ledger = state.ledger.lock().expect("ledger lock");
        ledger.running += 1;
        ledger.most_running = ledger.most_running.max(ledger.running);
        *ledger.runs.entry(text("x-request-id")).or_default() += 1;
        *ledger.teams.entry(text("x-team")).or_default() += 1;
        *ledger.by_sender.entry(sender.clone()).or_default() += 1;
        Self {
            state: Arc::clone(state),
            sender,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut ledger = self.state.ledger.lock().expect("ledger lock");
        ledger.running -= 1;
        if let Some(count) = ledger.by_sender.get_mut(&self.sender) {
            *count -= 1;
        }
        ledger.by_sender.retain(|_, count| *count > 0);
    }
}

async fn answer(State(state): State<Arc<Inner>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let run = Run::begin(&state, &head.headers);
    let work = tokio::spawn(work(Arc::clone(&state), run));
    let behaviour = *state.behaviour.lock().expect("behaviour lock");
    let body = axum::body::to_bytes(body, usize::MAX)
        .await
        .unwrap_or_default();
    let _ = work.await;
    let id = head.headers.get("x-request-id").cloned();
    let text = format!(
        "{} {} {} {}\n",
        state.name,
        head.method,
        head.uri,
        String::from_utf8_lossy(&body)
    );
    let mut response = match behaviour {
        Behaviour::Echo => Response::new(Body::from(text)),
        Behaviour::Large(size) => Response::new(Body::from(vec![b'x'; size])),
        Behaviour::Silent => {
            state.token.cancelled().await;
            Response::new(Body::empty())
        }
        Behaviour::Short => {
            let cut = futures_util::stream::once(async {
                sleep(CUT_AFTER).await;
                Err(std::io::Error::other("cut"))
            });
            let part = futures_util::stream::iter([Ok(text)]).chain(cut);
            Response::new(Body::from_stream(part))
        }
        Behaviour::Crossed => Response::new(Body::from(text)),
        // A panic in a handler closes its connection.
        Behaviour::Close => std::panic::resume_unwind(Box::new("closed")),
    };
    let headers = response.headers_mut();
    match (behaviour, id) {
        (Behaviour::Crossed, _) => {
            headers.insert("x-request-id", HeaderValue::from_static("other"));
        }
        (_, Some(id)) => {
            headers.insert("x-request-id", id);
        }
        _ => {}
    }
    *response.status_mut() = StatusCode::OK;
    response
}

// The work goes on if the connection closes, as it does on a real upstream.
async fn work(state: Arc<Inner>, run: Run) {
    let time = *state.service_time.lock().expect("time lock");
    sleep(time).await;
    drop(run);
}

fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(0))
}
