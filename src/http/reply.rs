//! Answers of the system itself.

use axum::body::Body;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

use crate::error::{Error, Kind, Run};

/// Header with the id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// Body of every refusal or failure.
#[derive(Debug, Serialize)]
struct Failure<'a> {
    kind: Kind,
    run: Run,
    message: &'a str,
    request: &'a str,
}

/// A refusal or failure of one request.
#[derive(Debug)]
pub struct Refused {
    /// What went wrong.
    pub error: Error,
    /// Request, or empty.
    pub request: String,
    /// Whether it ran, where that is known better than the kind tells.
    pub run: Option<Run>,
    /// When to come back, where that is known better than the kind tells.
    pub retry_after: Option<std::time::Duration>,
}

impl Refused {
    /// Makes the answer for an error of `request`.
    pub fn new(error: impl Into<Error>, request: &str) -> Self {
        Self {
            error: error.into(),
            request: request.to_owned(),
            run: None,
            retry_after: None,
        }
    }
}

impl From<Error> for Refused {
    fn from(error: Error) -> Self {
        Self::new(error, "")
    }
}

impl IntoResponse for Refused {
    fn into_response(self) -> Response {
        let answer = self.error.kind.answer();
        let failure = Failure {
            kind: self.error.kind,
            run: self.run.unwrap_or(answer.run),
            message: &self.error.message,
            request: &self.request,
        };
        let status =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = json(status, &failure);
        let headers = response.headers_mut();
        if let Some(wait) = answer
            .retry_after
            .map(|own| self.retry_after.unwrap_or(own))
        {
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

/// Makes a JSON answer.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    let mut bytes = serde_json::to_vec(body).expect("answer encodes");
    bytes.push(b'\n');
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
