//! Parsing of request headers.

use std::time::Duration;

use axum::http::{HeaderMap, Method, header};

use crate::config::Service;
use crate::error::{Error, Kind, Result};

/// Longest request id, in bytes.
const ID_MAX_BYTES: usize = 128;
/// Worth of a request without an `X-Worth` header.
const DEFAULT_WORTH: u64 = 1;

/// Request options given in headers, with defaults filled in.
#[derive(Debug, PartialEq, Eq)]
pub struct Options {
    /// Request id chosen by the caller, from `Idempotency-Key`.
    pub id: Option<String>,
    /// Time from arrival until the answer is no longer useful to the caller.
    pub deadline: Duration,
    /// Value of an answer before the deadline; admission prefers higher values.
    pub worth: u64,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
}

/// Parses the headers of a request for `service`.
///
/// # Errors
///
/// Fails with [`Kind::BadRequest`] if a header is malformed.
pub fn parse_options(method: &Method, headers: &HeaderMap, service: &Service) -> Result<Options> {
    let id = id(headers)?;
    let deadline = match number(headers, "x-deadline-ms")? {
        Some(0) => return Err(bad_request("X-Deadline-Ms must be greater than 0")),
        Some(millis) => Duration::from_millis(millis),
        None => service.deadline,
    };
    let worth = number(headers, "x-worth")?.unwrap_or(DEFAULT_WORTH);
    let explicit = match text(headers, "x-idempotent")? {
        None => None,
        Some("yes") => Some(true),
        Some("no") => Some(false),
        Some(_) => return Err(bad_request("X-Idempotent must be `yes` or `no`")),
    };
    let default = method.is_idempotent() || (*method == Method::POST && service.post_idempotent);
    Ok(Options {
        id,
        deadline: deadline.min(DEADLINE_MAX),
        worth,
        idempotent: explicit.unwrap_or(default),
    })
}

/// Returns the request id chosen by the caller, if there is one.
///
/// # Errors
///
/// Fails with [`Kind::BadRequest`] if it is malformed.
pub fn id(headers: &HeaderMap) -> Result<Option<String>> {
    match text(headers, "idempotency-key")? {
        Some(id) if is_id(id) => Ok(Some(id.to_owned())),
        Some(_) => Err(bad_request(
            "Idempotency-Key must be 1 to 128 visible ASCII characters",
        )),
        None => Ok(None),
    }
}

/// Upper bound of a requested deadline; longer ones are shortened to it.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// Returns the bearer token of a request, if it has one.
///
/// # Errors
///
/// Fails with [`Kind::BadRequest`] if the header is malformed.
pub fn bearer(headers: &HeaderMap) -> Result<Option<&str>> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .map_err(|_| bad_request("Authorization is not valid ASCII text"))?;
    let secret = value
        .strip_prefix("Bearer ")
        .ok_or_else(|| bad_request("Authorization must be `Bearer KEY`"))?;
    Ok(Some(secret.trim()))
}

fn is_id(id: &str) -> bool {
    !id.is_empty() && id.len() <= ID_MAX_BYTES && id.bytes().all(|b| b.is_ascii_graphic())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_request(&format!("{name} is given more than once")));
    }
    value
        .to_str()
        .map(|v| Some(v.trim()))
        .map_err(|_| bad_request(&format!("{name} is not valid ASCII text")))
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>> {
    text(headers, name)?
        .map(|v| {
            v.parse()
                .map_err(|_| bad_request(&format!("{name} is not a whole number")))
        })
        .transpose()
}

fn bad_request(message: &str) -> Error {
    Error::new(Kind::BadRequest, message)
}
