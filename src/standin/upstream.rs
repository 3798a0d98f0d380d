//! A simulated upstream: an HTTP server that counts its requests and can misbehave
//! on demand.

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

/// Delay between the body of a truncated answer and the abort of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);
/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time limit for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

/// How an upstream answers requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Returns the request's method, path and body after the service time.
    Echo,
    /// Closes the connection without an answer.
    Close,
    /// Never answers.
    Silent,
    /// Aborts the connection before the end of the answer's body.
    Truncated,
    /// Returns another request's id in the answer.
    MismatchedId,
    /// Returns a body of this many bytes.
    Large(usize),
}

/// Counters of an upstream's requests and connections.
#[derive(Debug, Default)]
pub struct Stats {
    /// Requests currently running.
    pub running: u32,
    /// Highest number of requests that ran concurrently.
    pub peak_running: u32,
    /// Connections currently open.
    pub connections: u32,
    /// Highest number of concurrently open connections.
    pub peak_connections: u32,
    /// Number of runs by request id.
    pub runs: HashMap<String, u32>,
    /// Number of started requests by team.
    pub teams: BTreeMap<String, u64>,
    /// Running requests by sender.
    by_sender: BTreeMap<String, u32>,
}

/// Handle to a running upstream.
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
    heartbeats_paused: Mutex<bool>,
    /// `seen` of the latest answer to a heartbeat, returned in the next heartbeat.
    seen: Mutex<Option<String>>,
    reports_running: bool,
    stats: Mutex<Stats>,
    token: CancellationToken,
}

/// Identity, capacity and reporting of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Unique name of the upstream.
    pub name: String,
    /// Availability zone it belongs to.
    pub zone: String,
    /// Name of the service it provides.
    pub service: String,
    /// Number of requests that may run concurrently, as reported in heartbeats.
    pub slots: u32,
    /// Number of connections that may be open at once, as reported in heartbeats.
    pub connections: u32,
    /// Time to serve one request.
    pub service_time: Duration,
    /// Whether heartbeats report the number of running requests by sender.
    pub reports_running: bool,
    /// Port to listen on; any free port if `None`.
    pub port: Option<u16>,
    /// Address advertised in heartbeats; the listener's address if `None`.
    pub advertised: Option<SocketAddr>,
}

impl Upstream {
    /// Starts an upstream that sends its heartbeats to `entries` in rotation.
    ///
    /// # Errors
    ///
    /// Fails if the port cannot be opened.
    pub async fn start(
        options: Options,
        entries: Vec<SocketAddr>,
        platform_token: Option<String>,
        token: CancellationToken,
    ) -> Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", options.port.unwrap_or(0))).await?;
        let state = Arc::new(Inner {
            name: options.name,
            zone: options.zone,
            service: options.service,
            address: match options.advertised {
                Some(address) => address,
                None => listener.local_addr()?,
            },
            slots: options.slots,
            connections: options.connections,
            incarnation: incarnation(),
            service_time: Mutex::new(options.service_time),
            behaviour: Mutex::new(Behaviour::Echo),
            leaving: Mutex::new(false),
            heartbeats_paused: Mutex::new(false),
            seen: Mutex::new(None),
            reports_running: options.reports_running,
            stats: Mutex::default(),
            token,
        });
        let upstream = Self { state };
        tokio::spawn(upstream.clone().serve(listener));
        tokio::spawn(upstream.clone().send_heartbeats(entries, platform_token));
        Ok(upstream)
    }

    /// Returns the address that heartbeats advertise.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns the name under which it registers.
    pub fn name(&self) -> &str {
        &self.state.name
    }

    /// Sets how requests received from now on are answered.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock().expect("behaviour lock") = behaviour;
    }

    /// Sets the time to serve a request.
    pub fn set_service_time(&self, time: Duration) {
        *self.state.service_time.lock().expect("time lock") = time;
    }

    /// Sets whether further heartbeats report that the upstream is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        *self.state.leaving.lock().expect("leaving lock") = leaving;
    }

    /// Stops or resumes the heartbeats.
    pub fn set_heartbeats_paused(&self, paused: bool) {
        *self
            .state
            .heartbeats_paused
            .lock()
            .expect("heartbeats lock") = paused;
    }

    /// Calls `read` with the current counters.
    pub fn stats<T>(&self, read: impl FnOnce(&Stats) -> T) -> T {
        read(&self.state.stats.lock().expect("stats lock"))
    }

    /// Stops the upstream immediately and closes its connections.
    pub fn kill(&self) {
        self.state.token.cancel();
    }

    async fn serve(self, listener: TcpListener) {
        let app = Router::new()
            .fallback(handle)
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
                state.stats.lock().expect("stats lock").connections -= 1;
            });
        }
    }

    async fn send_heartbeats(self, entries: Vec<SocketAddr>, platform_token: Option<String>) {
        let mut ticks = interval(HEARTBEAT_INTERVAL);
        let mut clients: Vec<Client> = entries
            .into_iter()
            .map(|entry| Client::new(entry, platform_token.clone(), HEARTBEAT_TIMEOUT))
            .collect();
        for round in 0usize.. {
            tokio::select! {
                _ = ticks.tick() => {}
                () = self.state.token.cancelled() => return,
            }
            if clients.is_empty()
                || *self
                    .state
                    .heartbeats_paused
                    .lock()
                    .expect("heartbeats lock")
            {
                continue;
            }
            let index = round % clients.len();
            let body = self.state.heartbeat();
            let accepted: Result<serde_json::Value> = clients[index]
                .call("POST", "/v1/upstreams", Some(&body))
                .await;
            match accepted {
                Ok(answer) => self.state.record_seen(&answer),
                Err(err) => log::debug!("{}: {err}", self.state.name),
            }
        }
    }
}

impl Inner {
    fn heartbeat(&self) -> serde_json::Value {
        let stats = self.stats.lock().expect("stats lock");
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
        if self.reports_running {
            body["running"] = serde_json::json!(stats.by_sender);
            body["seen"] = serde_json::json!(*self.seen.lock().expect("seen lock"));
        }
        body
    }

    fn record_seen(&self, answer: &serde_json::Value) {
        let seen = answer["seen"].as_str().map(str::to_owned);
        *self.seen.lock().expect("seen lock") = seen;
    }

    fn count_connection(&self) {
        let mut stats = self.stats.lock().expect("stats lock");
        stats.connections += 1;
        stats.peak_connections = stats.peak_connections.max(stats.connections);
    }
}

/// Counts one running request until it is dropped, even if its caller disconnects.
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
        let mut stats = state.stats.lock().expect("stats lock");
        stats.running += 1;
        stats.peak_running = stats.peak_running.max(stats.running);
        *stats.runs.entry(text("x-request-id")).or_default() += 1;
        *stats.teams.entry(text("x-team")).or_default() += 1;
        *stats.by_sender.entry(sender.clone()).or_default() += 1;
        Self {
            state: Arc::clone(state),
            sender,
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut stats = self.state.stats.lock().expect("stats lock");
        stats.running -= 1;
        if let Some(count) = stats.by_sender.get_mut(&self.sender) {
            *count -= 1;
        }
        stats.by_sender.retain(|_, count| *count > 0);
    }
}

async fn handle(State(state): State<Arc<Inner>>, request: Request) -> Response {
    let (head, body) = request.into_parts();
    let run = Run::begin(&state, &head.headers);
    let work = tokio::spawn(simulate_work(Arc::clone(&state), run));
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
        Behaviour::Truncated => {
            let abort = futures_util::stream::once(async {
                sleep(TRUNCATION_DELAY).await;
                Err(std::io::Error::other("answer truncated"))
            });
            let truncated = futures_util::stream::iter([Ok(text)]).chain(abort);
            Response::new(Body::from_stream(truncated))
        }
        Behaviour::MismatchedId => Response::new(Body::from(text)),
        // A panic in the handler makes the server close the connection.
        Behaviour::Close => std::panic::resume_unwind(Box::new("closed")),
    };
    let headers = response.headers_mut();
    match (behaviour, id) {
        (Behaviour::MismatchedId, _) => {
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

// Runs as its own task, so that the work continues if the caller closes the connection,
// as on a real upstream.
async fn simulate_work(state: Arc<Inner>, run: Run) {
    let service_time = *state.service_time.lock().expect("time lock");
    sleep(service_time).await;
    drop(run);
}

fn incarnation() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| u64::try_from(d.as_micros()).unwrap_or(0))
}
