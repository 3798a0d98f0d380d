//! HTTP server for callers, the platform and operators.

mod body;
mod callers;
mod exchange;
mod headers;
mod jobs;
mod operators;
mod platform;
mod pool;
mod proxy;
mod reply;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::http::{HeaderValue, header};
use axum::middleware::from_fn_with_state;
use axum::routing::{any, get, post};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use rustix::process::{Resource, getrlimit};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use jobs::{JobInfo, Submitted};
pub use operators::{
    ConfigInfo, Events, Faults, GiveBody, KeyInfo, PushBody, Pushed, Withdrawal, operator_token,
};
pub use platform::HeartbeatBody;
pub use pool::{Connection, Pool};
pub use proxy::Proxy;

use crate::ingress::{Budget, Connections, Limits, READ_BUFFER_BYTES, Refusal, set_receive_buffer};
use crate::node::Node;

/// Pause after `accept` failed, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Descriptors that are not available for callers: links to peers, connections to upstreams
/// and files.
const RESERVED_DESCRIPTORS: usize = 256;

/// State shared by all handlers.
#[derive(Clone, Debug)]
pub struct App {
    /// Handle of the instance.
    pub node: Node,
    /// Proxy for requests to services.
    pub proxy: Arc<Proxy>,
}

/// Serves until `close` is cancelled, then finishes running requests and returns.
pub async fn serve(listener: TcpListener, node: Node, close: CancellationToken) {
    let limits = Limits::DEFAULT;
    if let Err(err) = set_receive_buffer(&listener, node.settings.receive_buffer_bytes) {
        log::warn!("cannot bound the receive buffers of connections: {err}");
    }
    let connections = Connections::new(connections_max(node.settings.connections), limits);
    let budget = node.budget.clone();
    let proxy = Arc::new(Proxy::new(node.clone()));
    let app = router(App {
        node,
        proxy: Arc::clone(&proxy),
    });
    // HTTP/1 only: a builder that detects the version waits for the first bytes without a timer.
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Never reached before the limits of the connection, which tell idle ones apart.
        .header_read_timeout(limits.idle + limits.head)
        .max_headers(64)
        .max_buf_size(READ_BUFFER_BYTES);
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(_) => {
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = close.cancelled() => break,
        };
        let Some((connection, has_evicted)) = connections.add(Instant::now()) else {
            report(&budget, Refusal::Connections);
            continue;
        };
        if has_evicted {
            report(&budget, Refusal::Connections);
        }
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(connection);
        let stream = TokioIo::new(connection.stream(stream));
        let handler = TowerToHyperService::new(app.clone());
        let requests = Arc::clone(&connection);
        let (all, budget) = (connections.clone(), budget.clone());
        let service = service_fn(move |request| {
            let under_way = requests.begin();
            if budget.has_unsent_responses() {
                all.evict_slow_readers(Instant::now());
            }
            let response = handler.call(request);
            let (all, budget) = (all.clone(), budget.clone());
            async move {
                let mut response = response.await?;
                if all.is_full() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response.map(|body| under_way.until_sent(body, &budget)))
            }
        });
        let served = graceful.watch(builder.serve_connection(stream, service));
        tokio::spawn(async move {
            tokio::select! {
                _ = served => {}
                () = connection.evicted() => {}
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
    proxy.wait_idle().await;
}

// Returns the connection limit: the one of the settings, but below the descriptors of the
// process. A limit on descriptors that leaves few is halved.
fn connections_max(settings_max: usize) -> usize {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let available = limit.saturating_sub(RESERVED_DESCRIPTORS).max(limit / 2);
    settings_max.min(available)
}

/// Counts a refused connection (a refused body was counted where it was read) and writes a
/// log line about refusals, at most one per second.
fn report(budget: &Budget, refusal: Refusal) {
    if refusal == Refusal::Connections {
        budget.record(refusal);
    }
    if let Some(count) = budget.line_due(Instant::now()) {
        log::warn!(
            "{count} requests or connections refused to bound memory, the latest for {}; \
             {} bytes are not yet answered",
            refusal.name(),
            budget.held_bytes()
        );
    }
}

fn router(app: App) -> Router {
    let control = Router::new()
        .route("/v1/jobs", get(jobs::list).post(jobs::submit))
        .route("/v1/jobs/{id}", get(jobs::show).delete(jobs::cancel))
        .route("/v1/jobs/{id}/explain", get(jobs::explain))
        .route("/v1/config", get(operators::show).post(operators::push))
        .route("/v1/keys", get(operators::keys).post(operators::give))
        .route("/v1/keys/{id}", axum::routing::delete(operators::withdraw))
        .route("/v1/zones/{zone}/replace", post(operators::replace))
        .route("/v1/status", get(operators::status))
        .route("/v1/events", get(operators::events))
        .route_layer(from_fn_with_state(app.clone(), body::limit_responses));
    Router::new()
        .route("/v1/services/{service}", any(callers::request_root))
        .route("/v1/services/{service}/{*path}", any(callers::request))
        .route("/v1/request-ids", post(callers::generate_id))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(operators::ready))
        .route("/metrics", get(operators::metrics))
        .route("/v1/upstreams", post(platform::heartbeat))
        .route("/v1/workers/poll", post(platform::poll))
        .merge(control)
        .fallback(callers::not_found)
        .with_state(app)
}
