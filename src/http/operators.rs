//! Handlers of the operator API.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query as Parameters, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::App;
use super::body::Text;
use super::headers::bearer;
use super::platform::parse;
use super::reply::{ErrorResponse, json};
use crate::config::{Fault, Source, merge};
use crate::core::control::{Answer, Query, Target};
use crate::core::registry::{Command, Key, Outcome, Push};
use crate::error::{Error, Kind, Result};
use crate::event::Record;
use crate::traffic::View;
use crate::util::sha256;

/// Maximum number of event records in one response.
const RECORDS_MAX: usize = 2_000;
/// Longest wait for a zone leader to confirm a key withdrawal, and for a configuration
/// version to be applied here.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks during these waits.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

/// Request body to push a configuration.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PushBody {
    /// Version that it replaces; the push fails if another version is in force.
    pub replaces: u64,
    /// Name of the operator, for the history.
    pub operator: String,
    /// Files of the configuration folder.
    pub files: Vec<Source>,
}

/// Response to an accepted push.
#[derive(Debug, Serialize, Deserialize)]
pub struct Pushed {
    /// Version that the push created.
    pub version: u64,
}

/// Response to a push with an invalid configuration.
#[derive(Debug, Serialize, Deserialize)]
pub struct Faults {
    /// Always [`Kind::InvalidConfig`].
    pub kind: Kind,
    /// Errors by file and line.
    pub faults: Vec<Fault>,
}

/// The configuration in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfigInfo {
    /// Version of the configuration.
    pub version: u64,
    /// SHA-256 of the canonical form, in hexadecimal.
    pub digest: String,
    /// Merged configuration.
    pub config: crate::config::Config,
    /// Accepted pushes, oldest first.
    pub history: Vec<Accepted>,
}

/// An accepted push.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that the push created.
    pub version: u64,
    /// SHA-256 of the configuration's canonical form, in hexadecimal.
    pub digest: String,
    /// Name of the operator who pushed it.
    pub operator: String,
}

/// Request body to add an API key.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveBody {
    /// Name of the key.
    pub id: String,
    /// Team that the key authenticates.
    pub team: String,
    /// SHA-256 of the secret, in hexadecimal.
    pub digest: String,
    /// Zone that keeps accepting the key while partitioned from the root group.
    #[serde(default)]
    pub home_zone: Option<String>,
}

/// Description of an API key, without its digest.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyInfo {
    /// Name of the key.
    pub id: String,
    /// Team that the key authenticates.
    pub team: String,
    /// Zone that keeps accepting the key while partitioned from the root group.
    pub home_zone: Option<String>,
    /// Whether it has been withdrawn.
    pub withdrawn: bool,
}

/// Response to the withdrawal of a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct Withdrawal {
    /// Whether the withdrawal is in force: committed by the root group and, for a key with a
    /// home zone, confirmed by the leader of that zone.
    pub accepted: bool,
    /// Home zone whose leader has not confirmed the withdrawal in time.
    pub waits_for: Option<String>,
}

/// Query parameters of the event list.
#[derive(Debug, Deserialize)]
pub struct Cursor {
    /// Sequence number after which records are returned.
    #[serde(default)]
    pub after: u64,
}

/// Response with event records of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct Events {
    /// Records in order of their sequence numbers.
    pub records: Vec<Record>,
}

/// Returns the bearer token of operators, which is derived from the cell's secret.
pub fn operator_token(secret: &[u8]) -> String {
    let mut bytes = b"plantaincross operator\n".to_vec();
    bytes.extend_from_slice(secret);
    hex::encode(sha256(&bytes))
}

/// Returns whether a request carries the operator token.
pub fn is_operator(app: &App, headers: &HeaderMap) -> bool {
    let token = operator_token(&app.node.settings.secret);
    let given = bearer(headers).ok().flatten().unwrap_or_default();
    bool::from(sha256(given.as_bytes()).ct_eq(&sha256(token.as_bytes())))
}

fn authorize(app: &App, headers: &HeaderMap) -> Result<()> {
    if is_operator(app, headers) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthenticated, "wrong operator token"))
}

fn respond<T: Serialize>(result: Result<T>) -> Response {
    match result {
        Ok(body) => json(StatusCode::OK, &body),
        Err(err) => ErrorResponse::from(err).into_response(),
    }
}

/// Reports whether the instance is ready to receive requests.
pub async fn ready(State(app): State<App>) -> Response {
    if app.node.is_leaving() {
        return ErrorResponse::from(Error::from(Kind::Draining)).into_response();
    }
    let view = app.node.traffic.view.load();
    if view.version == 0 {
        let err = Error::new(Kind::NoQuorum, "no configuration has been applied yet");
        return ErrorResponse::from(err).into_response();
    }
    "ready\n".into_response()
}

/// Returns the metrics in the Prometheus text format.
pub async fn metrics(State(app): State<App>) -> String {
    let traffic = &app.node.traffic;
    let (teams, slots) = {
        let gate = traffic.gate.lock().expect("gate lock");
        (gate.team_stats(), gate.slots())
    };
    traffic
        .metrics
        .encode(&teams, slots, &app.node.mesh.counters)
}

/// Checks a pushed configuration and proposes it to the root group.
pub async fn push(State(app): State<App>, headers: HeaderMap, body: Text) -> Response {
    let pushed = async {
        authorize(&app, &headers)?;
        parse::<PushBody>(&body)
    };
    let body = match pushed.await {
        Ok(body) => body,
        Err(err) => return ErrorResponse::from(err).into_response(),
    };
    let config = match merge(&body.files) {
        Ok(config) => config,
        Err(faults) => {
            let kind = Kind::InvalidConfig;
            return json(StatusCode::UNPROCESSABLE_ENTITY, &Faults { kind, faults });
        }
    };
    let view = wait_for_version(&app, body.replaces).await;
    let command = Command::push(body.replaces, &view.config, &config, &body.operator);
    respond(
        propose(&app, command)
            .await
            .and_then(|outcome| match outcome {
                Outcome::Pushed(version) => Ok(Pushed { version }),
                _ => Err(Kind::Internal.into()),
            }),
    )
}

// Waits until `version` is applied here, because the change is computed against it and this
// instance may lag behind the root group.
async fn wait_for_version(app: &App, version: u64) -> Arc<View> {
    let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
    loop {
        let view = app.node.traffic.view.load_full();
        if view.version >= version || tokio::time::Instant::now() >= deadline {
            return view;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Returns the configuration in force at this instance.
pub async fn show(State(app): State<App>, headers: HeaderMap) -> Response {
    let shown = async {
        authorize(&app, &headers)?;
        let answer = app.node.ask(Target::Local, Query::History).await?;
        let Answer::History(history) = answer else {
            return Err(Kind::Internal.into());
        };
        let view = app.node.traffic.view.load();
        Ok(ConfigInfo {
            version: view.version,
            digest: hex::encode(view.config.digest()),
            config: view.config.clone(),
            history: history.into_iter().map(accepted).collect(),
        })
    };
    respond(shown.await)
}

fn accepted(push: Push) -> Accepted {
    Accepted {
        version: push.version,
        digest: hex::encode(push.digest),
        operator: push.operator,
    }
}

/// Lists all API keys.
pub async fn keys(State(app): State<App>, headers: HeaderMap) -> Response {
    let listed = async {
        authorize(&app, &headers)?;
        let view = app.node.traffic.view.load();
        let mut keys: Vec<KeyInfo> = view
            .keys()
            .map(|(id, key)| KeyInfo {
                id: id.clone(),
                team: key.team.clone(),
                home_zone: key.home_zone.clone(),
                withdrawn: key.withdrawn,
            })
            .collect();
        keys.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(keys)
    };
    respond(listed.await)
}

/// Adds an API key.
pub async fn give(State(app): State<App>, headers: HeaderMap, body: Text) -> Response {
    let given = async {
        authorize(&app, &headers)?;
        let body: GiveBody = parse(&body)?;
        if !crate::config::is_name(&body.id) {
            return Err(Error::new(
                Kind::BadRequest,
                "the key id must be 1 to 64 letters, digits, `-`, `_` or `.`",
            ));
        }
        let digest = hex::decode(&body.digest)
            .ok()
            .and_then(|d| <[u8; 32]>::try_from(d).ok())
            .ok_or_else(|| Error::new(Kind::BadRequest, "the digest is not SHA-256 in hex"))?;
        let key = Key {
            team: body.team,
            digest,
            home_zone: body.home_zone,
            withdrawn: false,
            withdrawn_at: 0,
        };
        propose(&app, Command::GiveKey { id: body.id, key }).await?;
        Ok(())
    };
    respond(given.await)
}

/// Withdraws an API key permanently.
pub async fn withdraw(
    State(app): State<App>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response {
    let withdrawn = async {
        authorize(&app, &headers)?;
        let outcome = propose(&app, Command::WithdrawKey { id }).await?;
        let Outcome::Withdrawn { at, home_zone } = outcome else {
            return Err(Kind::Internal.into());
        };
        let waits_for = match home_zone {
            Some(zone) => (!wait_until_applied(&app, &zone, at).await).then_some(zone),
            None => None,
        };
        Ok(Withdrawal {
            accepted: waits_for.is_none(),
            waits_for,
        })
    };
    respond(withdrawn.await)
}

// Waits until the leader of the key's home zone has applied the withdrawal; until then that
// zone may keep accepting the key.
async fn wait_until_applied(app: &App, zone: &str, at: u64) -> bool {
    let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
    while tokio::time::Instant::now() < deadline {
        let target = Target::Zone(zone.to_owned());
        if app.node.ask(target, Query::Applied(at)).await.is_ok() {
            return true;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
    false
}

/// Appoints a new leader for a zone in which no candidate of the roster responds.
pub async fn replace(
    State(app): State<App>,
    Path(zone): Path<String>,
    headers: HeaderMap,
) -> Response {
    let replaced = async {
        authorize(&app, &headers)?;
        app.node.ask(Target::Root, Query::Replace(zone)).await?;
        Ok(())
    };
    respond(replaced.await)
}

/// Returns the status of this instance and of the peers that it can reach.
pub async fn status(State(app): State<App>, headers: HeaderMap) -> Response {
    let status = async {
        authorize(&app, &headers)?;
        let Answer::Status(own) = app.node.ask(Target::Local, Query::Status).await? else {
            return Err(Kind::Internal.into());
        };
        let mut statuses = vec![own.clone()];
        for peer in &own.peers {
            let target = Target::Instance(peer.id);
            if let Ok(Answer::Status(status)) = app.node.ask(target, Query::Status).await {
                statuses.push(status);
            }
        }
        Ok(statuses)
    };
    respond(status.await)
}

/// Returns recorded events of this instance.
pub async fn events(
    State(app): State<App>,
    Parameters(cursor): Parameters<Cursor>,
    headers: HeaderMap,
) -> Response {
    let events = authorize(&app, &headers).map(|()| {
        let ring = app.node.traffic.ring.lock().expect("ring lock");
        Events {
            records: ring.after(cursor.after, RECORDS_MAX),
        }
    });
    respond(events)
}

async fn propose(app: &App, command: Command) -> Result<Outcome> {
    match app.node.ask(Target::Root, Query::Propose(command)).await? {
        Answer::Outcome(Outcome::Refused(err)) => Err(err),
        Answer::Outcome(outcome) => Ok(outcome),
        _ => Err(Kind::Internal.into()),
    }
}
