//! Handlers of the request API: requests to services and request ids.

use axum::body::Body;
use axum::extract::{Path, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use std::time::Duration;

use super::App;
use super::body::{check_responses, read, refuse as refuse_body};
use super::headers::{bearer, id as request_id, parse_options};
use super::proxy::{FullResponse, Incoming, is_hop_header};
use super::reply::{ErrorResponse, REQUEST_ID, json};
use crate::clock::wall_millis;
use crate::config::Config;
use crate::error::{Error, Kind, Result, Run};
use crate::ingress::Received;

/// Response body with a new request id.
#[derive(Debug, Serialize)]
struct GeneratedId {
    id: String,
}

/// Handles a request for the root path of a service.
pub async fn request_root(
    State(app): State<App>,
    Path(service): Path<String>,
    request: Request,
) -> Response {
    handle(&app, &service, "/", request).await
}

/// Handles a request for any other path of a service.
pub async fn request(
    State(app): State<App>,
    Path((service, path)): Path<(String, String)>,
    request: Request,
) -> Response {
    handle(&app, &service, &format!("/{path}"), request).await
}

/// Generates a request id that the caller may use as its `Idempotency-Key`.
pub async fn generate_id(State(app): State<App>) -> Response {
    let id = app.node.traffic.generate_id();
    json(StatusCode::OK, &GeneratedId { id })
}

/// Answers requests for unknown paths.
pub async fn not_found() -> Response {
    ErrorResponse::from(Error::new(Kind::NotFound, "no such path")).into_response()
}

async fn handle(app: &App, service: &str, path: &str, request: Request) -> Response {
    let generated = app.node.traffic.generate_id();
    let repeatable = matches!(request_id(request.headers()), Ok(Some(_)));
    match accept(app, service, path, request, &generated).await {
        Ok(incoming) => {
            let id = incoming.id.clone();
            match app.proxy.run(incoming).await {
                Ok(response) => to_response(response, &id),
                Err(error_response) => {
                    app.node
                        .traffic
                        .metrics
                        .record_refusal(error_response.error.kind);
                    error_response.into_response()
                }
            }
        }
        Err(mut error_response) => {
            app.node
                .traffic
                .metrics
                .record_refusal(error_response.error.kind);
            if repeatable && may_have_run(error_response.error.kind) {
                error_response.run = Some(Run::Unknown);
            }
            refuse_body(error_response)
        }
    }
}

// An id chosen by the caller may have run in an earlier request, which only the lookup of
// its claim can tell. Without a team or a service there can be no earlier run.
const fn may_have_run(kind: Kind) -> bool {
    !matches!(kind, Kind::Unauthenticated | Kind::UnknownService)
}

async fn accept(
    app: &App,
    service: &str,
    path: &str,
    request: Request,
    generated: &str,
) -> Result<Incoming, ErrorResponse> {
    let traffic = &app.node.traffic;
    let refuse = |error: Error| ErrorResponse::new(error, generated);
    let received_at = traffic.clock.now();
    let view = traffic.view.load_full();
    let (head, body) = request.into_parts();
    let settings = view.config.services.get(service).cloned().ok_or_else(|| {
        refuse(Error::new(
            Kind::UnknownService,
            format!("unknown service {service}"),
        ))
    })?;
    let secret = bearer(&head.headers).map_err(refuse)?;
    let team = match (secret, &settings.open) {
        (Some(secret), _) => traffic.authenticate(&view, secret).map_err(refuse)?,
        (None, Some(open)) => open.clone(),
        (None, None) => return Err(refuse(Error::new(Kind::Unauthenticated, "no API key"))),
    };
    let options = parse_options(&head.method, &head.headers, &settings).map_err(refuse)?;
    let deadline = received_at + options.deadline;
    let id = options.id.clone().unwrap_or_else(|| generated.to_owned());
    check_responses(&app.node.budget).map_err(|error| ErrorResponse::new(error, &id))?;
    let limit = usize::try_from(settings.body_limit).unwrap_or(usize::MAX);
    let Received { bytes, charge } = read(body, limit, &app.node.budget)
        .await
        .map_err(|error| ErrorResponse::new(error, &id))?;
    let origin = options
        .id
        .as_deref()
        .and_then(|id| parse_generated_id(&view.config, &view.zones, id));
    Ok(Incoming {
        id_from_caller: options.id.is_some(),
        generated_age: origin.as_ref().map(|(_, age)| *age),
        home_zone: origin.map(|(zone, _)| zone),
        id,
        team,
        service: service.to_owned(),
        settings,
        method: head.method,
        path: target_path(path, &head.uri),
        headers: end_to_end(&head.headers),
        body: bytes,
        charge,
        received_at,
        deadline,
        worth: options.worth,
        idempotent: options.idempotent,
    })
}

// Returns the home zone and the age encoded in a generated id, which has the form
// `zone:millis:instance:count`.
fn parse_generated_id(config: &Config, zones: &[String], id: &str) -> Option<(String, Duration)> {
    let mut parts = id.split(':');
    let zone = parts.next()?;
    let millis: u64 = parts.next()?.parse().ok()?;
    let instance = parts.next()?;
    let count = parts.next()?;
    let is_generated = parts.next().is_none()
        && instance.len() == 16
        && instance.bytes().all(|b| b.is_ascii_hexdigit())
        && count.parse::<u64>().is_ok()
        && zones.iter().any(|known| known == zone);
    if !is_generated {
        return None;
    }
    let age = Duration::from_millis(wall_millis().saturating_sub(millis));
    // The age of an id with a timestamp in the future is unknown, so it counts as expired.
    let from_future = millis > wall_millis() + config.cell.claim_retention.as_millis() as u64;
    let age = if from_future { Duration::MAX } else { age };
    Some((zone.to_owned(), age))
}

fn target_path(path: &str, uri: &Uri) -> String {
    match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        if !is_hop_header(name) {
            kept.append(name, value.clone());
        }
    }
    kept
}

fn to_response(upstream_response: FullResponse, id: &str) -> Response {
    let (head, body) = upstream_response.into_parts();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if !is_hop_header(name) {
            response.headers_mut().append(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
    response
}
