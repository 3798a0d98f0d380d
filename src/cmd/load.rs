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
const HISTOGRAM_MAX_US: u64 = 120_000_000;
/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit for one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Highest worth assigned to a request; worths are uniform from 1.
const WORTH_MAX: u64 = 100;
/// Time limit for requests still in flight after the last one was sent; exceeds the
/// limit of a single request.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(35);

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
struct Stats {
    sent: u64,
    answered: u64,
    refused: BTreeMap<String, u64>,
    failed: u64,
    /// Answers that carried another request's id or were incomplete. Reported as `crossed`.
    mismatched: u64,
    /// Ids of orders that got two different answers, so ran twice. Reported as `doubled`.
    run_twice: HashSet<String>,
    /// Orders reported as not run although an earlier answer shows that they ran.
    /// Reported as `untrue_not_run`.
    false_not_run: u64,
    /// First answer to each order, by id.
    order_answers: BTreeMap<String, Bytes>,
    offered_worth: u64,
    gained_worth: u64,
    teams: BTreeMap<String, u64>,
    latencies: Histogram<u64>,
}

impl Stats {
    fn new() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: BTreeMap::new(),
            failed: 0,
            mismatched: 0,
            run_twice: HashSet::new(),
            false_not_run: 0,
            order_answers: BTreeMap::new(),
            offered_worth: 0,
            gained_worth: 0,
            teams: BTreeMap::new(),
            latencies: Histogram::new_with_max(HISTOGRAM_MAX_US, 3).expect("valid bounds"),
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
    let stats = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(generate(args, &teams));
    report(args, &stats)
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
struct Request {
    number: u64,
    team: Team,
    at: SocketAddr,
    repeat_at: Option<SocketAddr>,
    order: bool,
    worth: u64,
}

async fn generate(args: &Args, teams: &[Team]) -> Stats {
    let stats = Arc::new(Mutex::new(Stats::new()));
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let run_id: u32 = rand::random();
    let started = Instant::now();
    let mut next_arrival = started;
    let mut last_progress = started;
    let mut number = 0;
    let end = started + Duration::from_secs(args.seconds);
    let mut tasks = Vec::new();
    let clients: Arc<Clients> = Arc::default();
    while next_arrival < end {
        sleep_until(next_arrival).await;
        // Exponential gaps give Poisson arrivals.
        let gap = -(1.0 - rng.random::<f64>()).ln() / f64::from(args.rate.max(1));
        next_arrival += Duration::from_secs_f64(gap);
        number += 1;
        let request = random_request(args, teams, &mut rng, number);
        let (shared, clients) = (Arc::clone(&stats), Arc::clone(&clients));
        let (service, deadline) = (args.service.clone(), args.deadline_ms);
        tasks.push(tokio::spawn(async move {
            execute(request, run_id, &service, deadline, &shared, &clients).await;
        }));
        if last_progress.elapsed() >= PROGRESS_INTERVAL && !args.json {
            last_progress = Instant::now();
            print_progress(&stats);
        }
    }
    let drain = async {
        for task in tasks {
            let _ = task.await;
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
    let mut stats = stats.lock().expect("stats lock");
    std::mem::replace(&mut stats, Stats::new())
}

fn random_request(args: &Args, teams: &[Team], rng: &mut ChaCha8Rng, number: u64) -> Request {
    let total: u32 = teams.iter().map(|t| t.weight).sum();
    let mut offset = rng.random_range(0..total);
    let team = teams
        .iter()
        .find(|team| {
            let chosen = offset < team.weight;
            offset = offset.saturating_sub(team.weight);
            chosen
        })
        .unwrap_or(&teams[0]);
    let order = rng.random_range(0..100) < args.orders;
    let repeats = order && rng.random_range(0..100) < args.repeats;
    let at = args.at[rng.random_range(0..args.at.len())];
    let other = args.at[rng.random_range(0..args.at.len())];
    Request {
        number,
        team: team.clone(),
        at,
        repeat_at: repeats.then_some(other),
        order,
        worth: rng.random_range(1..=WORTH_MAX),
    }
}

/// Idle clients by instance address and key.
type Clients = Mutex<BTreeMap<(SocketAddr, String), Vec<Client>>>;

async fn execute(
    request: Request,
    run_id: u32,
    service: &str,
    deadline: u64,
    stats: &Mutex<Stats>,
    clients: &Clients,
) {
    let id = format!("load-{run_id:08x}-{}", request.number);
    let first = send(&request, request.at, &id, service, deadline, stats, clients).await;
    if let Some(repeat_at) = request.repeat_at {
        sleep(Duration::from_millis(5)).await;
        let second = send(&request, repeat_at, &id, service, deadline, stats, clients).await;
        check_repeat(&id, first.as_ref(), second.as_ref(), stats);
    }
}

async fn send(
    request: &Request,
    at: SocketAddr,
    id: &str,
    service: &str,
    deadline: u64,
    stats: &Mutex<Stats>,
    clients: &Clients,
) -> Option<Response<Bytes>> {
    let pool_key = (at, request.team.key.clone());
    let idle = clients
        .lock()
        .expect("clients lock")
        .get_mut(&pool_key)
        .and_then(Vec::pop);
    let mut client =
        idle.unwrap_or_else(|| Client::new(at, Some(request.team.key.clone()), REQUEST_TIMEOUT));
    let (deadline, worth) = (deadline.to_string(), request.worth.to_string());
    let mut headers = vec![
        ("x-deadline-ms", deadline.as_str()),
        ("x-worth", worth.as_str()),
    ];
    let method = if request.order { "POST" } else { "GET" };
    if request.order {
        headers.push(("idempotency-key", id));
    }
    let path = format!("/v1/services/{service}/load/{id}");
    let started = Instant::now();
    let answer = client.send(method, &path, &headers, id.to_owned()).await;
    let latency = started.elapsed();
    if answer.is_ok() {
        clients
            .lock()
            .expect("clients lock")
            .entry(pool_key)
            .or_default()
            .push(client);
    }
    record(request, id, latency, answer.as_ref().ok(), stats);
    answer.ok()
}

fn record(
    request: &Request,
    id: &str,
    latency: Duration,
    answer: Option<&Response<Bytes>>,
    stats: &Mutex<Stats>,
) {
    let mut stats = stats.lock().expect("stats lock");
    stats.sent += 1;
    stats.offered_worth += request.worth;
    let Some(answer) = answer else {
        stats.failed += 1;
        return;
    };
    if !answer.status().is_success() {
        let (kind, _) = refusal(answer);
        *stats.refused.entry(kind).or_default() += 1;
        return;
    }
    let micros = u64::try_from(latency.as_micros()).unwrap_or(HISTOGRAM_MAX_US);
    stats
        .latencies
        .saturating_record(micros.min(HISTOGRAM_MAX_US));
    stats.answered += 1;
    stats.gained_worth += request.worth;
    *stats.teams.entry(request.team.name.clone()).or_default() += 1;
    // The stand-in upstream echoes the path, which contains the request's id.
    let text = String::from_utf8_lossy(answer.body());
    if !text.contains(&format!("/load/{id} ")) || !text.ends_with('\n') {
        stats.mismatched += 1;
    }
    if request.order {
        let body = answer.body().clone();
        let first_answer = stats.order_answers.entry(id.to_owned()).or_insert(body);
        if *first_answer != *answer.body() {
            stats.run_twice.insert(id.to_owned());
        }
    }
}

fn check_repeat(
    id: &str,
    first: Option<&Response<Bytes>>,
    second: Option<&Response<Bytes>>,
    stats: &Mutex<Stats>,
) {
    let (Some(first), Some(second)) = (first, second) else {
        return;
    };
    let reported_not_run =
        |answer: &Response<Bytes>| !answer.status().is_success() && refusal(answer).1 == "not_run";
    // After a complete answer, no instance may report the same id as not run.
    if first.status().is_success() && reported_not_run(second) {
        stats.lock().expect("stats lock").false_not_run += 1;
        log::warn!("{id}: reported as not run after it had been answered");
    }
}

fn refusal(answer: &Response<Bytes>) -> (String, String) {
    let value: Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    let text = |name: &str| value[name].as_str().unwrap_or("?").to_owned();
    (text("kind"), text("run"))
}

fn print_progress(stats: &Mutex<Stats>) {
    let stats = stats.lock().expect("stats lock");
    let refused: u64 = stats.refused.values().sum();
    let _ = writeln!(
        std::io::stderr(),
        "{} sent, {} answered, {refused} refused, p99 {:.1} ms",
        stats.sent,
        stats.answered,
        stats.latencies.value_at_quantile(0.99) as f64 / 1_000.0
    );
}

fn report(args: &Args, stats: &Stats) -> Result<()> {
    let quantile = |q: f64| stats.latencies.value_at_quantile(q) as f64 / 1_000.0;
    if args.json {
        print(serde_json::json!({
            "sent": stats.sent,
            "answered": stats.answered,
            "refused": stats.refused,
            "failed": stats.failed,
            "crossed": stats.mismatched,
            "doubled": stats.run_twice.len(),
            "untrue_not_run": stats.false_not_run,
            "offered_worth": stats.offered_worth,
            "gained_worth": stats.gained_worth,
            "teams": stats.teams,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
            "max_ms": quantile(1.0),
        }))?;
    } else {
        print(format_args!("sent        {}", stats.sent))?;
        print(format_args!("answered    {}", stats.answered))?;
        for (kind, count) in &stats.refused {
            print(format_args!("refused     {count} {kind}"))?;
        }
        print(format_args!("failed      {}", stats.failed))?;
        print(format_args!(
            "p50 p99 max {:.1} {:.1} {:.1} ms",
            quantile(0.5),
            quantile(0.99),
            quantile(1.0)
        ))?;
        print(format_args!(
            "worth       {} of {} offered",
            stats.gained_worth, stats.offered_worth
        ))?;
        for (team, count) in &stats.teams {
            print(format_args!("answered    {count} of {team}"))?;
        }
        print(format_args!(
            "doubled {} crossed {} untrue not_run {}",
            stats.run_twice.len(),
            stats.mismatched,
            stats.false_not_run
        ))?;
    }
    if stats.run_twice.is_empty() && stats.mismatched == 0 && stats.false_not_run == 0 {
        return Ok(());
    }
    let message =
        "orders ran twice, answers were mixed up or orders were wrongly reported as not run";
    Err(Error::new(Kind::BadAnswer, message))
}
