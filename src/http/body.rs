//! Bodies of requests, within the instance's budget.

use std::time::Duration;

use axum::body::Body;
use axum::extract::{FromRequest, Request, State};
use axum::http::{HeaderValue, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use derive_more::Deref;
use hyper::body::Body as _;

use super::reply::ErrorResponse;
use super::{App, report};
use crate::error::{Error, Kind};
use crate::ingress::{Budget, Charge, Failure, Received, Refusal, decoded_bytes, read_body};

/// Time within which the whole body of a request must arrive; a declared body of the control
/// APIs has [`SLOWEST_BYTES_PER_S`] on top.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Rate of the slowest link on which declared bodies of the control APIs are received, in
/// bytes per second. 4 MiB take 32 s.
const SLOWEST_BYTES_PER_S: u64 = 128 << 10;
/// Largest body of a request to the platform, job and operator APIs.
const CONTROL_BODY_MAX_BYTES: usize = 4 << 20;
/// Estimated memory of a decoded JSON object or array, in bytes.
const CONTAINER_BYTES: usize = 128;
/// Estimated memory of a decoded JSON element, in bytes: a short string or number as an entry
/// of a map.
const ELEMENT_BYTES: usize = 64;

/// JSON body of a request to the platform, job or operator API. Its charge covers the decoded
/// form and is released with it, at the end of the handler.
#[derive(Debug, Deref)]
pub struct Text {
    #[deref]
    text: String,
    _charge: Charge,
}

impl FromRequest<App> for Text {
    type Rejection = Response;

    async fn from_request(request: Request, app: &App) -> Result<Self, Response> {
        let body = request.into_body();
        let declared = body.size_hint().exact().unwrap_or(0);
        let declared = declared.min(CONTROL_BODY_MAX_BYTES as u64);
        let transfer = Duration::from_millis(declared * 1_000 / SLOWEST_BYTES_PER_S);
        let time_limit = BODY_TIMEOUT + transfer;
        let budget = &app.node.budget;
        let received = read_within(body, CONTROL_BODY_MAX_BYTES, time_limit, budget).await;
        let Received { bytes, mut charge } = received.map_err(|err| refuse(err.into()))?;
        let decoded = decoded_bytes(&bytes, CONTAINER_BYTES, ELEMENT_BYTES);
        if let Err(failure) = charge.add_decoded(decoded) {
            report(&app.node.budget, Refusal::Budget);
            return Err(refuse(Error::from(failure).into()));
        }
        match String::from_utf8(bytes.into()) {
            Ok(text) => Ok(Self {
                text,
                _charge: charge,
            }),
            Err(err) => {
                let error = Error::new(Kind::BadRequest, err.utf8_error().to_string());
                Err(refuse(error.into()))
            }
        }
    }
}

/// Reads a body and logs a refusal.
///
/// # Errors
///
/// Fails like [`read_body`].
pub async fn read(body: Body, limit: usize, budget: &Budget) -> Result<Received, Error> {
    read_within(body, limit, BODY_TIMEOUT, budget).await
}

async fn read_within(
    body: Body,
    limit: usize,
    time_limit: Duration,
    budget: &Budget,
) -> Result<Received, Error> {
    let received = read_body(body, limit, time_limit, budget).await;
    match &received {
        Err(Failure::OverBudget) => report(budget, Refusal::Budget),
        Err(Failure::TooSlow) => report(budget, Refusal::Timeout),
        _ => {}
    }
    Ok(received?)
}

/// Refuses a request while clients do not read the responses of others.
///
/// # Errors
///
/// Fails with [`Kind::OverBudget`].
pub fn check_responses(budget: &Budget) -> Result<(), Error> {
    if !budget.has_unsent_responses() {
        return Ok(());
    }
    budget.record(Refusal::Responses);
    report(budget, Refusal::Responses);
    let message = "the memory for responses is in use";
    Err(Error::new(Kind::OverBudget, message))
}

/// Applies [`check_responses`] to a route.
pub async fn limit_responses(State(app): State<App>, request: Request, next: Next) -> Response {
    match check_responses(&app.node.budget) {
        Ok(()) => next.run(request).await,
        Err(err) => refuse(err.into()),
    }
}

/// Closes the connection after a refusal, as the rest of the body is not read.
pub fn refuse(error: ErrorResponse) -> Response {
    let close = matches!(error.error.kind, Kind::OverBudget | Kind::SlowRequest);
    let mut response = error.into_response();
    if close {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        let kind = match failure {
            Failure::TooLarge { .. } => Kind::BodyTooLarge,
            Failure::TooSlow => Kind::SlowRequest,
            Failure::Incomplete { .. } => Kind::BadRequest,
            Failure::OverBudget => Kind::OverBudget,
        };
        Self::new(kind, failure.to_string())
    }
}
