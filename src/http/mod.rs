//! HTTP server for callers, the platform and operators.

mod callers;
mod exchange;
mod headers;
mod jobs;
mod operators;
mod platform;
mod pool;
mod proxy;
mod reply;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, get, post};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

pub use jobs::{JobInfo, Submitted};
pub use operators::{
    ConfigInfo, Events, Faults, GiveBody, KeyInfo, PushBody, Pushed, Withdrawal, operator_token,
};
pub use platform::HeartbeatBody;
pub use pool::{Connection, Pool};
pub use proxy::Proxy;

use crate::node::Node;

/// Time within which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest body of a request to the platform, job and operator APIs.
const CONTROL_BODY_MAX_BYTES: usize = 4 << 20;
/// Pause after `accept` failed, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
    let connections = Arc::new(Semaphore::new(node.settings.connections));
    let proxy = Arc::new(Proxy::new(node.clone()));
    let app = router(App {
        node,
        proxy: Arc::clone(&proxy),
    });
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(64);
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
        // Over the connection limit: closes the connection without reading from it.
        let Ok(permit) = Arc::clone(&connections).try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(app.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
    proxy.wait_idle().await;
}

fn router(app: App) -> Router {
    let control = Router::new()
        .route("/v1/upstreams", post(platform::heartbeat))
        .route("/v1/workers/poll", post(platform::poll))
        .route("/v1/jobs", get(jobs::list).post(jobs::submit))
        .route("/v1/jobs/{id}", get(jobs::show).delete(jobs::cancel))
        .route("/v1/jobs/{id}/explain", get(jobs::explain))
        .route("/v1/config", get(operators::show).post(operators::push))
        .route("/v1/keys", get(operators::keys).post(operators::give))
        .route("/v1/keys/{id}", axum::routing::delete(operators::withdraw))
        .route("/v1/zones/{zone}/replace", post(operators::replace))
        .route("/v1/status", get(operators::status))
        .route("/v1/events", get(operators::events))
        .layer(DefaultBodyLimit::max(CONTROL_BODY_MAX_BYTES));
    Router::new()
        .route("/v1/services/{service}", any(callers::request_root))
        .route("/v1/services/{service}/{*path}", any(callers::request))
        .route("/v1/request-ids", post(callers::generate_id))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(operators::ready))
        .route("/metrics", get(operators::metrics))
        .merge(control)
        .fallback(callers::not_found)
        .with_state(app)
}
