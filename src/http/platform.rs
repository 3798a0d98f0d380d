//! Handlers of the platform API: upstream heartbeats and worker polls.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::App;
use super::body::Text;
use super::headers::bearer;
use super::reply::{ErrorResponse, json};
use crate::core::allocator::{Heartbeat, Seen};
use crate::core::control::{Answer, Query, Target};
use crate::core::fleet::Poll;
use crate::core::gate::Announcement;
use crate::core::registry::InstanceId;
use crate::error::{Error, Kind, Result};
use crate::util::sha256;

/// Request body of an upstream's heartbeat.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatBody {
    /// Unique name within its availability zone.
    pub name: String,
    /// Incarnation number, which must increase with each restart.
    pub incarnation: u64,
    /// Service that it serves.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Whether it is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Number of running requests by the value of their `X-Plantaincross-Sender` header.
    #[serde(default)]
    pub running: Option<BTreeMap<String, u32>>,
    /// Value of `seen` in the latest response to a heartbeat.
    #[serde(default)]
    pub seen: Option<String>,
}

/// Response to an accepted heartbeat.
#[derive(Debug, Serialize)]
struct Accepted {
    accepted: bool,
    /// Time mark that the next heartbeat repeats, so that the zone leader can bound the age of
    /// the counts in it.
    seen: String,
}

/// Accepts the heartbeat of an upstream.
pub async fn heartbeat(State(app): State<App>, headers: HeaderMap, body: Text) -> Response {
    match accept(&app, &headers, &body).await {
        Ok(seen) => {
            let seen = seen.to_string();
            let accepted = true;
            json(StatusCode::OK, &Accepted { accepted, seen })
        }
        Err(err) => ErrorResponse::from(err).into_response(),
    }
}

async fn accept(app: &App, headers: &HeaderMap, body: &str) -> Result<Seen> {
    authorize(app, headers)?;
    let announced: HeartbeatBody = parse(body)?;
    let view = app.node.traffic.view.load();
    let zones = &view.config.cell.zones;
    if !zones.is_empty() && !zones.contains(&announced.zone) {
        let message = format!("unknown zone {}", announced.zone);
        return Err(Error::new(Kind::BadAnnouncement, message));
    }
    let target = Target::Zone(announced.zone.clone());
    let heartbeat = Heartbeat {
        leaving: announced.leaving,
        running: announced.running.map(by_instance),
        seen: announced.seen.map(|seen| seen.parse()).transpose()?,
        announcement: Announcement {
            name: announced.name,
            incarnation: announced.incarnation,
            service: announced.service,
            zone: announced.zone,
            address: announced.address,
            slots: announced.slots,
            connections: announced.connections,
        },
    };
    match app.node.ask(target, Query::Announce(heartbeat)).await? {
        Answer::HeartbeatAccepted(seen) => Ok(seen),
        _ => Err(Kind::Internal.into()),
    }
}

/// Handles a worker's long poll; responds when there are orders or the wait time is over.
pub async fn poll(State(app): State<App>, headers: HeaderMap, body: Text) -> Response {
    let polled = async {
        authorize(&app, &headers)?;
        let poll: Poll = parse(&body)?;
        // The wait takes up to the poll's own time: the charge must not last as long.
        drop(body);
        let target = Target::Zone(poll.zone.clone());
        match app.node.ask(target, Query::Poll(Box::new(poll))).await? {
            Answer::Orders(orders) => Ok(orders),
            _ => Err(Error::from(Kind::Internal)),
        }
    };
    match polled.await {
        Ok(orders) => json(StatusCode::OK, &orders),
        Err(err) => ErrorResponse::from(err).into_response(),
    }
}

// Skips counts of senders that are not instances.
fn by_instance(running: BTreeMap<String, u32>) -> BTreeMap<InstanceId, u32> {
    running
        .into_iter()
        .filter_map(|(id, count)| Some((InstanceId(u64::from_str_radix(&id, 16).ok()?), count)))
        .collect()
}

/// Checks the platform token of a request. An empty token in the settings disables the check.
///
/// # Errors
///
/// Fails with [`Kind::Unauthenticated`] if the token is missing or wrong.
pub fn authorize(app: &App, headers: &HeaderMap) -> Result<()> {
    let token = &app.node.settings.platform_token;
    if token.is_empty() {
        return Ok(());
    }
    let given = bearer(headers)?.unwrap_or_default();
    let is_equal = sha256(given.as_bytes()).ct_eq(&sha256(token.as_bytes()));
    if bool::from(is_equal) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthenticated, "wrong platform token"))
}

/// Parses a JSON body.
///
/// # Errors
///
/// Fails with [`Kind::BadRequest`] and a message with line and column.
pub fn parse<T: serde::de::DeserializeOwned>(body: &str) -> Result<T> {
    serde_json::from_str(body).map_err(|err| Error::new(Kind::BadRequest, err.to_string()))
}
