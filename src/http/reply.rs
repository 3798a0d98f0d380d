//! JSON responses that the instance itself makes.

use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

use crate::core::retry::spread;
use crate::error::{Error, Kind, Run};

/// Header that carries the id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    kind: Kind,
    run: Run,
    message: &'a str,
    request: &'a str,
}

/// An error response to one request.
#[derive(Debug)]
pub struct ErrorResponse {
    /// Kind and message of the error.
    pub error: Error,
    /// Id of the request; empty if it has none.
    pub request: String,
    /// Whether the request ran, if known more precisely than the kind implies.
    pub run: Option<Run>,
    /// Retry delay, if known more precisely than the default of the kind; ignored for kinds
    /// without one.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// Returns the error response for the request with id `request`.
    pub fn new(error: impl Into<Error>, request: &str) -> Self {
        Self {
            error: error.into(),
            request: request.to_owned(),
            run: None,
            retry_after: None,
        }
    }
}

impl From<Error> for ErrorResponse {
    fn from(error: Error) -> Self {
        Self::new(error, "")
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let defaults = self.error.kind.answer();
        let body = ErrorBody {
            kind: self.error.kind,
            run: self.run.unwrap_or(defaults.run),
            message: &self.error.message,
            request: &self.request,
        };
        let status =
            StatusCode::from_u16(defaults.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = json(status, &body);
        let headers = response.headers_mut();
        if let Some(wait) = defaults.retry_after.map(|default| {
            self.retry_after
                .unwrap_or_else(|| spread_delay(self.error.kind, default))
        }) {
            let secs = wait.as_secs_f64().ceil() as u64;
            headers.insert(header::RETRY_AFTER, HeaderValue::from(secs.max(1)));
        }
        if let Ok(value) = HeaderValue::from_str(&self.request)
            && !self.request.is_empty()
        {
            headers.insert(REQUEST_ID, value);
        }
        response
    }
}

// Returns the retry delay of a kind of error. Clients that are refused together for lack of memory
// must not come back together.
fn spread_delay(kind: Kind, default: Duration) -> Duration {
    const SPREAD: Duration = Duration::from_secs(3);
    match kind {
        Kind::OverBudget => spread(default, SPREAD, rand::random()),
        _ => default,
    }
}

/// Returns a JSON response.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let mut bytes = serde_json::to_vec(body).expect("answer encodes");
    bytes.push(b'\n');
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
