//! Handlers for the platform: upstreams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::App;
use super::headers::bearer;
use super::reply::{Refused, json};
use crate::core::allocator::{Heartbeat, Seen};
use crate::core::control::{Answer, Query, Target};
use crate::core::fleet::Poll;
use crate::core::gate::Announcement;
use crate::core::registry::InstanceId;
use crate::error::{Error, Kind, Result};
use crate::util::sha256;

/// Heartbeat of an upstream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announce {
    /// Unique name within its availability zone.
    pub name: String,
    /// Number that rises with each restart.
    pub incarnation: u64,
    /// Service that it answers for.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts at once.
    pub connections: u32,
    /// Whether it takes nothing new.
    #[serde(default)]
    pub leaving: bool,
    /// Requests that it runs, by the value of `X-Plantaincross-Sender`.
    #[serde(default)]
    pub running: Option<BTreeMap<String, u32>>,
    /// `seen` of the latest answer to a heartbeat.
    #[serde(default)]
    pub seen: Option<String>,
}

/// Answer to an accepted heartbeat.
#[derive(Debug, Serialize)]
struct Accepted {
    accepted: bool,
    /// To be repeated in the next heartbeat.
    seen: String,
}

/// Takes an upstream's heartbeat.
pub async fn announce(State(app): State<App>, headers: HeaderMap, body: String) -> Response {
    match accept(&app, &headers, &body).await {
        Ok(seen) => {
            let seen = seen.to_string();
            let accepted = true;
            json(StatusCode::OK, &Accepted { accepted, seen })
        }
        Err(err) => Refused::from(err).into_response(),
    }
}

async fn accept(app: &App, headers: &HeaderMap, body: &str) -> Result<Seen> {
    authorize(app, headers)?;
    let announce: Announce = parse(body)?;
    let view = app.node.traffic.view.load();
    let zones = &view.config.cell.zones;
    if !zones.is_empty() && !zones.contains(&announce.zone) {
        let message = format!("no zone {}", announce.zone);
        return Err(Error::new(Kind::BadAnnouncement, message));
    }
    let target = Target::Zone(announce.zone.clone());
    let beat = Heartbeat {
        leaving: announce.leaving,
        running: announce.running.map(by_instance),
        seen: announce.seen.map(|seen| seen.parse()).transpose()?,
        announcement: Announcement {
            name: announce.name,
            incarnation: announce.incarnation,
            service: announce.service,
            zone: announce.zone,
            address: announce.address,
            slots: announce.slots,
            connections: announce.connections,
        },
    };
    match app.node.ask(target, Query::Announce(beat)).await? {
        Answer::Heard(seen) => Ok(seen),
        _ => Err(Kind::Internal.into()),
    }
}

/// Takes a worker's poll; answers once there are orders or its wait is over.
pub async fn poll(State(app): State<App>, headers: HeaderMap, body: String) -> Response {
    let polled = async {
        authorize(&app, &headers)?;
        let poll: Poll = parse(&body)?;
        let target = Target::Zone(poll.zone.clone());
        match app.node.ask(target, Query::Poll(Box::new(poll))).await? {
            Answer::Orders(orders) => Ok(orders),
            _ => Err(Error::from(Kind::Internal)),
        }
    };
    match polled.await {
        Ok(orders) => json(StatusCode::OK, &orders),
        Err(err) => Refused::from(err).into_response(),
    }
}

fn by_instance(running: BTreeMap<String, u32>) -> BTreeMap<InstanceId, u32> {
    running
        .into_iter()
        .filter_map(|(id, count)| Some((InstanceId(u64::from_str_radix(&id, 16).ok()?), count)))
        .collect()
}

/// Checks the platform's token.
///
/// # Errors
///
/// Fails with [`Kind::Unauthenticated`] if it is missing or wrong.
pub fn authorize(app: &App, headers: &HeaderMap) -> Result<()> {
    let token = &app.node.settings.platform_token;
    if token.is_empty() {
        return Ok(());
    }
    let given = bearer(headers)?.unwrap_or_default();
    let same = sha256(given.as_bytes()).ct_eq(&sha256(token.as_bytes()));
    if bool::from(same) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthenticated, "wrong platform token"))
}

/// Reads a JSON body.
///
/// # Errors
///
/// Fails with [`Kind::BadRequest`] and the place of the mistake.
pub fn parse<T: serde::de::DeserializeOwned>(body: &str) -> Result<T> {
    serde_json::from_str(body).map_err(|err| Error::new(Kind::BadRequest, err.to_string()))
}
