//! Handlers for operators.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query as Parameters, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::App;
use super::headers::bearer;
use super::platform::parse;
use super::reply::{Refused, json};
use crate::config::{Fault, Source, merge};
use crate::core::control::{Answer, Query, Target};
use crate::core::registry::{Command, Key, Outcome, Push};
use crate::error::{Error, Kind, Result};
use crate::event::Record;
use crate::traffic::View;
use crate::util::sha256;

/// Records in one answer.
const RECORDS_MAX: usize = 2_000;
/// Longest wait for the home zone's leader to confirm a withdrawal, and for a
/// version to come.
const CONFIRM_MAX: Duration = Duration::from_secs(2);
/// Pause between two tries to get that.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);

/// A push of a configuration.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PushBody {
    /// Version that it replaces.
    pub replaces: u64,
    /// Who pushes.
    pub operator: String,
    /// Files of the folder.
    pub files: Vec<Source>,
}

/// Answer to a push.
#[derive(Debug, Serialize, Deserialize)]
pub struct Pushed {
    /// Version in force.
    pub version: u64,
}

/// Errors of a configuration.
#[derive(Debug, Serialize, Deserialize)]
pub struct Faults {
    /// Kind of the refusal.
    pub kind: Kind,
    /// Errors by file and line.
    pub faults: Vec<Fault>,
}

/// The configuration in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Shown {
    /// Version.
    pub version: u64,
    /// Digest of the canonical form.
    pub digest: String,
    /// The configuration.
    pub config: crate::config::Config,
    /// Accepted pushes, oldest first, with their digests.
    pub history: Vec<Accepted>,
}

/// An accepted push.
#[derive(Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Version that it made.
    pub version: u64,
    /// Digest of the configuration.
    pub digest: String,
    /// Who pushed it.
    pub operator: String,
}

/// A key to give.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveBody {
    /// Name of the key.
    pub id: String,
    /// Team.
    pub team: String,
    /// SHA-256 of the secret, in hexadecimal.
    pub digest: String,
    /// Zone that goes on taking it while cut off.
    #[serde(default)]
    pub home_zone: Option<String>,
}

/// A key as operators see it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ShownKey {
    /// Name of the key.
    pub id: String,
    /// Team.
    pub team: String,
    /// Home zone.
    pub home_zone: Option<String>,
    /// Whether it has been withdrawn.
    pub withdrawn: bool,
}

/// How far a withdrawal has got.
#[derive(Debug, Serialize, Deserialize)]
pub struct WithdrawnBody {
    /// Whether it is in force wherever the key could still be taken.
    pub accepted: bool,
    /// Zone whose leader could not be reached to confirm it.
    pub waits_for: Option<String>,
}

/// Which records to return.
#[derive(Debug, Deserialize)]
pub struct After {
    /// Position after which records are wanted.
    #[serde(default)]
    pub after: u64,
}

/// Records of one instance.
#[derive(Debug, Serialize, Deserialize)]
pub struct Events {
    /// Records.
    pub records: Vec<Record>,
}

/// Returns the token that operators present, derived from the cell's secret.
pub fn operator_token(secret: &[u8]) -> String {
    let mut bytes = b"plantaincross operator\n".to_vec();
    bytes.extend_from_slice(secret);
    hex::encode(sha256(&bytes))
}

/// Returns whether a request carries the operators' token.
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
        Err(err) => Refused::from(err).into_response(),
    }
}

/// Tells whether the instance may be sent requests.
pub async fn ready(State(app): State<App>) -> Response {
    if app.node.is_leaving() {
        return Refused::from(Error::from(Kind::Draining)).into_response();
    }
    let view = app.node.traffic.view.load();
    if view.version == 0 {
        let err = Error::new(Kind::NoQuorum, "no configuration yet");
        return Refused::from(err).into_response();
    }
    "ready\n".into_response()
}

/// Returns the metrics.
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

/// Takes a configuration.
pub async fn push(State(app): State<App>, headers: HeaderMap, body: String) -> Response {
    let pushed = async {
        authorize(&app, &headers)?;
        parse::<PushBody>(&body)
    };
    let body = match pushed.await {
        Ok(body) => body,
        Err(err) => return Refused::from(err).into_response(),
    };
    let config = match merge(&body.files) {
        Ok(config) => config,
        Err(faults) => {
            let kind = Kind::InvalidConfig;
            return json(StatusCode::UNPROCESSABLE_ENTITY, &Faults { kind, faults });
        }
    };
    let view = view_of(&app, body.replaces).await;
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

// The change is made against the version that it replaces, which this instance may
// be about to learn.
async fn view_of(app: &App, version: u64) -> Arc<View> {
    let deadline = tokio::time::Instant::now() + CONFIRM_MAX;
    loop {
        let view = app.node.traffic.view.load_full();
        if view.version >= version || tokio::time::Instant::now() >= deadline {
            return view;
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

/// Shows the configuration in force at this instance.
pub async fn show(State(app): State<App>, headers: HeaderMap) -> Response {
    let shown = async {
        authorize(&app, &headers)?;
        let answer = app.node.ask(Target::Here, Query::History).await?;
        let Answer::History(history) = answer else {
            return Err(Kind::Internal.into());
        };
        let view = app.node.traffic.view.load();
        Ok(Shown {
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

/// Lists the keys.
pub async fn keys(State(app): State<App>, headers: HeaderMap) -> Response {
    let listed = async {
        authorize(&app, &headers)?;
        let view = app.node.traffic.view.load();
        let mut keys: Vec<ShownKey> = view
            .keys()
            .map(|(id, key)| ShownKey {
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

/// Gives a key.
pub async fn give(State(app): State<App>, headers: HeaderMap, body: String) -> Response {
    let given = async {
        authorize(&app, &headers)?;
        let body: GiveBody = parse(&body)?;
        if !crate::config::is_name(&body.id) {
            return Err(Error::new(Kind::BadRequest, "the key needs a plain name"));
        }
        let digest = hex::decode(&body.digest)
            .ok()
            .and_then(|d| <[u8; 32]>::try_from(d).ok())
            .ok_or_else(|| Error::new(Kind::BadRequest, "the digest is not SHA-256"))?;
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

/// Withdraws a key for good.
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
            Some(zone) => (!confirm(&app, &zone, at).await).then_some(zone),
            None => None,
        };
        Ok(WithdrawnBody {
            accepted: waits_for.is_none(),
            waits_for,
        })
    };
    respond(withdrawn.await)
}

// The home zone goes on taking the key until its leader has the withdrawal.
async fn confirm(app: &App, zone: &str, at: u64) -> bool {
    let deadline = tokio::time::Instant::now() + CONFIRM_MAX;
    while tokio::time::Instant::now() < deadline {
        let target = Target::Zone(zone.to_owned());
        if app.node.ask(target, Query::Applied(at)).await.is_ok() {
            return true;
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
    false
}

/// Names a new leader for a zone whose whole roster is silent.
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

/// Tells how the instance and its peers stand.
pub async fn status(State(app): State<App>, headers: HeaderMap) -> Response {
    let status = async {
        authorize(&app, &headers)?;
        let Answer::Status(own) = app.node.ask(Target::Here, Query::Status).await? else {
            return Err(Kind::Internal.into());
        };
        let mut all = vec![own.clone()];
        for peer in &own.peers {
            let target = Target::Instance(peer.id);
            if let Ok(Answer::Status(status)) = app.node.ask(target, Query::Status).await {
                all.push(status);
            }
        }
        Ok(all)
    };
    respond(status.await)
}

/// Returns events of this instance.
pub async fn events(
    State(app): State<App>,
    Parameters(after): Parameters<After>,
    headers: HeaderMap,
) -> Response {
    let events = authorize(&app, &headers).map(|()| {
        let ring = app.node.traffic.ring.lock().expect("ring lock");
        Events {
            records: ring.after(after.after, RECORDS_MAX),
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
