//! `plantaincross load`: open-loop load generator that checks the answers.

use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::Response;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};

use super::print;
use crate::client::Client;
use crate::error::{Error, Kind, Result};

/// Highest latency that the histogram records, in microseconds.
const HISTOGRAM_MAX: u64 = 120_000_000;
/// Interval between progress lines.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);
/// Time limit for one request.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Highest worth assigned to a request; worths are uniform from 1.
const WORTH_MAX: u64 = 100;
/// Time limit for requests still in flight after the last one was sent; exceeds the
/// limit of a single request.
const SETTLE_MAX: Duration = Duration::from_secs(35);

/// Sends a seeded open-loop load to a running cell and checks every answer.
///
/// Requests are sent at the given rate regardless of the answers; about ten
/// connections per thousand requests a second are typical. The load on the cell is
/// bounded by `--rate` and `--seconds`.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// HTTP address of an entry instance; repeat for several
    #[arg(long, required = true)]
    at: Vec<SocketAddr>,
    /// Team and its key as TEAM=KEY, or TEAM=KEY=WEIGHT to set its share of the load
    #[arg(long, required = true)]
    team: Vec<String>,
    /// Service to send requests to
    #[arg(long, default_value = "orders")]
    service: String,
    /// Mean requests per second
    #[arg(long, default_value_t = 100)]
    rate: u32,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of the random arrivals and requests
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Percentage of requests that are orders, which must run at most once
    #[arg(long, default_value_t = 50)]
    orders: u32,
    /// Percentage of orders sent a second time, to a randomly chosen instance
    #[arg(long, default_value_t = 20)]
    repeats: u32,
    /// Deadline of each request in milliseconds
    #[arg(long, default_value_t = 2_000)]
    deadline_ms: u64,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Debug)]
struct Team {
    name: String,
    key: String,
    weight: u32,
}

/// Counters of sent requests and their outcomes.
#[derive(Debug)]
struct Ledger {
    sent: u64,
    answered: u64,
    refused: BTreeMap<String, u64>,
    failed: u64,
    /// Answers that carried another request's id or were incomplete.
    crossed: u64,
    /// Ids of orders that got two different answers, so ran twice.
    doubled: HashSet<String>,
    /// Orders reported as not run although an earlier answer shows that they ran.
    untrue: u64,
    order_answers: BTreeMap<String, Bytes>,
    offered_worth: u64,
    gained_worth: u64,
    teams: BTreeMap<String, u64>,
    times: Histogram<u64>,
}

impl Ledger {
    fn new() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            failed: 0,
            crossed: 0,
            doubled: HashSet::new(),
            untrue: 0,
            order_answers: BTreeMap::new(),
            offered_worth: 0,
            gained_worth: 0,
            teams: BTreeMap::new(),
            times: Histogram::new_with_max(HISTOGRAM_MAX, 3).expect("valid bounds"),
        }
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the arguments are invalid, if an order ran twice, if an answer belonged
/// to another request or if an order that ran was reported as not run.
pub fn run(args: &Args) -> Result<()> {
    let teams = parse_teams(&args.team)?;
    let ledger = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(drive(args, &teams));
    report(args, &ledger)
}

fn parse_teams(texts: &[String]) -> Result<Vec<Team>> {
    texts
        .iter()
        .map(|text| {
            let mut parts = text.split('=');
            let team = Team {
                name: parts.next().unwrap_or_default().to_owned(),
                key: parts.next().unwrap_or_default().to_owned(),
                weight: parts
                    .next()
                    .map_or(Some(1), |w| w.parse().ok())
                    .unwrap_or(0),
            };
            if team.name.is_empty() || team.key.is_empty() || team.weight == 0 {
                let message = format!("`{text}` is not TEAM=KEY or TEAM=KEY=WEIGHT");
                return Err(Error::new(Kind::BadRequest, message));
            }
            Ok(team)
        })
        .collect()
}

/// One generated request.
#[derive(Clone, Debug)]
struct Shot {
    number: u64,
    team: Team,
    at: SocketAddr,
    again: Option<SocketAddr>,
    order: bool,
    worth: u64,
}

async fn drive(args: &Args, teams: &[Team]) -> Ledger {
    let ledger = Arc::new(Mutex::new(Ledger::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let run: u32 = rand::random();
    let started = Instant::now();
    let mut next = started;
    let mut told = started;
    let mut number = 0;
    let end = started + Duration::from_secs(args.seconds);
    let mut tasks = Vec::new();
    let clients: Arc<Clients> = Arc::default();
    while next < end {
        sleep_until(next).await;
        // Exponential gaps give Poisson arrivals.
        let gap = -(1.0 - rng.random::<f64>()).ln() / f64::from(args.rate.max(1));
        next += Duration::from_secs_f64(gap);
        number += 1;
        let shot = plan(args, teams, &mut rng, number);
        let (own, clients) = (Arc::clone(&ledger), Arc::clone(&clients));
        let (service, deadline) = (args.service.clone(), args.deadline_ms);
        tasks.push(tokio::spawn(async move {
            fire(shot, run, &service, deadline, &own, &clients).await;
        }));
        if told.elapsed() >= PROGRESS_EVERY && !args.json {
            told = Instant::now();
            progress(&ledger);
        }
    }
    let settle = async {
        for task in tasks {
            let _ = task.await;
        }
    };
    let _ = tokio::time::timeout(SETTLE_MAX, settle).await;
    let mut ledger = ledger.lock().expect("ledger lock");
    std::mem::replace(&mut ledger, Ledger::new())
}

fn plan(args: &Args, teams: &[Team], rng: &mut ChaCha8Rng, number: u64) -> Shot {
    let total: u32 = teams.iter().map(|t| t.weight).sum();
    let mut pick = rng.random_range(0..total);
    let team = teams
        .iter()
        .find(|team| {
            let chosen = pick < team.weight;
            pick = pick.saturating_sub(team.weight);
            chosen
        })
        .unwrap_or(&teams[0]);
    let order = rng.random_range(0..100) < args.orders;
    let repeats = order && rng.random_range(0..100) < args.repeats;
    let at = args.at[rng.random_range(0..args.at.len())];
    let other = args.at[rng.random_range(0..args.at.len())];
    Shot {
        number,
        team: team.clone(),
        at,
        again: repeats.then_some(other),
        order,
        worth: rng.random_range(1..=WORTH_MAX),
    }
}

/// Idle clients by instance address and key.
type Clients = Mutex<BTreeMap<(SocketAddr, String), Vec<Client>>>;

async fn fire(
    shot: Shot,
    run: u32,
    service: &str,
    deadline: u64,
    ledger: &Mutex<Ledger>,
    clients: &Clients,
) {
    let id = format!("load-{run:08x}-{}", shot.number);
    let first = send(&shot, shot.at, &id, service, deadline, ledger, clients).await;
    if let Some(again) = shot.again {
        sleep(Duration::from_millis(5)).await;
        let second = send(&shot, again, &id, service, deadline, ledger, clients).await;
        compare(&id, first.as_ref(), second.as_ref(), ledger);
    }
}

async fn send(
    shot: &Shot,
    at: SocketAddr,
    id: &str,
    service: &str,
    deadline: u64,
    ledger: &Mutex<Ledger>,
    clients: &Clients,
) -> Option<Response<Bytes>> {
    let slot = (at, shot.team.key.clone());
    let idle = clients
        .lock()
        .expect("clients lock")
        .get_mut(&slot)
        .and_then(Vec::pop);
    let mut client = idle.unwrap_or_else(|| Client::new(at, Some(shot.team.key.clone()), TIMEOUT));
    let (deadline, worth) = (deadline.to_string(), shot.worth.to_string());
    let mut headers = vec![
        ("x-deadline-ms", deadline.as_str()),
        ("x-worth", worth.as_str()),
    ];
    let method = if shot.order { "POST" } else { "GET" };
    if shot.order {
        headers.push(("idempotency-key", id));
    }
    let path = format!("/v1/services/{service}/load/{id}");
    let started = Instant::now();
    let answer = client.send(method, &path, &headers, id.to_owned()).await;
    let took = started.elapsed();
    if answer.is_ok() {
        clients
            .lock()
            .expect("clients lock")
            .entry(slot)
            .or_default()
            .push(client);
    }
    note(shot, id, took, answer.as_ref().ok(), ledger);
    answer.ok()
}

fn note(
    shot: &Shot,
    id: &str,
    took: Duration,
    answer: Option<&Response<Bytes>>,
    ledger: &Mutex<Ledger>,
) {
    let mut ledger = ledger.lock().expect("ledger lock");
    ledger.sent += 1;
    ledger.offered_worth += shot.worth;
    let Some(answer) = answer else {
        ledger.failed += 1;
        return;
    };
    if !answer.status().is_success() {
        let (kind, _) = refusal(answer);
        *ledger.refused.entry(kind).or_default() += 1;
        return;
    }
    let micros = u64::try_from(took.as_micros()).unwrap_or(HISTOGRAM_MAX);
    ledger.times.saturating_record(micros.min(HISTOGRAM_MAX));
    ledger.answered += 1;
    ledger.gained_worth += shot.worth;
    *ledger.teams.entry(shot.team.name.clone()).or_default() += 1;
    // The stand-in upstream echoes the path, which contains the request's id.
    let text = String::from_utf8_lossy(answer.body());
    if !text.contains(&format!("/load/{id} ")) || !text.ends_with('\n') {
        ledger.crossed += 1;
    }
    if shot.order {
        let body = answer.body().clone();
        let known = ledger.order_answers.entry(id.to_owned()).or_insert(body);
        if *known != *answer.body() {
            ledger.doubled.insert(id.to_owned());
        }
    }
}

fn compare(
    id: &str,
    first: Option<&Response<Bytes>>,
    second: Option<&Response<Bytes>>,
    ledger: &Mutex<Ledger>,
) {
    let (Some(first), Some(second)) = (first, second) else {
        return;
    };
    let said_not_run =
        |answer: &Response<Bytes>| !answer.status().is_success() && refusal(answer).1 == "not_run";
    // After a complete answer, no instance may report the same id as not run.
    if first.status().is_success() && said_not_run(second) {
        ledger.lock().expect("ledger lock").untrue += 1;
        log::warn!("{id}: reported as not run after it had been answered");
    }
}

fn refusal(answer: &Response<Bytes>) -> (String, String) {
    let value: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let text = |name: &str| value[name].as_str().unwrap_or("?").to_owned();
    (text("kind"), text("run"))
}

fn progress(ledger: &Mutex<Ledger>) {
    let ledger = ledger.lock().expect("ledger lock");
    let refused: u64 = ledger.refused.values().sum();
    let _ = writeln!(
        std::io::stderr(),
        "{} sent, {} answered, {refused} refused, p99 {:.1} ms",
        ledger.sent,
        ledger.answered,
        ledger.times.value_at_quantile(0.99) as f64 / 1_000.0
    );
}

fn report(args: &Args, ledger: &Ledger) -> Result<()> {
    let quantile = |q: f64| ledger.times.value_at_quantile(q) as f64 / 1_000.0;
    if args.json {
        print(serde_json::json!({
            "sent": ledger.sent,
            "answered": ledger.answered,
            "refused": ledger.refused,
            "failed": ledger.failed,
            "crossed": ledger.crossed,
            "doubled": ledger.doubled.len(),
            "untrue_not_run": ledger.untrue,
            "offered_worth": ledger.offered_worth,
            "gained_worth": ledger.gained_worth,
            "teams": ledger.teams,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
            "max_ms": quantile(1.0),
        }))?;
    } else {
        print(format_args!("sent        {}", ledger.sent))?;
        print(format_args!("answered    {}", ledger.answered))?;
        for (kind, count) in &ledger.refused {
            print(format_args!("refused     {count} {kind}"))?;
        }
        print(format_args!("failed      {}", ledger.failed))?;
        print(format_args!(
            "p50 p99 max {:.1} {:.1} {:.1} ms",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        ))?;
        print(format_args!(
            "worth       {} of {} offered",
            ledger.gained_worth, ledger.offered_worth
        ))?;
        for (team, count) in &ledger.teams {
            print(format_args!("answered    {count} of {team}"))?;
        }
        print(format_args!(
            "doubled {} crossed {} untrue not_run {}",
            ledger.doubled.len(),
            ledger.crossed,
            ledger.untrue
        ))?;
    }
    if ledger.doubled.is_empty() && ledger.crossed == 0 && ledger.untrue == 0 {
        return Ok(());
    }
    let message =
        "orders ran twice, answers were mixed up or orders were wrongly reported as not run";
    Err(Error::new(Kind::BadAnswer, message))
}
