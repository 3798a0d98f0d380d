//! `plantaincross local`: runs a complete cell in one process, for trials.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{print, push};
use crate::client::Client;
use crate::config::{Config, Source, merge, read_folder};
use crate::core::control::Status;
use crate::core::job::Size;
use crate::error::{Error, Kind, Result};
use crate::http::{GiveBody, operator_token};
use crate::metrics::Totals;
use crate::node::{self, Node, Started};
use crate::settings::Settings;
use crate::standin::{Options, Upstream, worker};
use crate::util::sha256;

/// Time limit for the cell to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between attempts while the cell starts.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Configuration used when no folder is given.
const EXAMPLE_CONFIG: &str = include_str!("../../examples/local/10-local.ini");

/// Job submission in the printed example commands.
const EXAMPLE_JOB: &str = r#"{"name":"nest","class":"batch","tasks":20,"run_ms":500,"size":{"cpu_milli":2000,"memory_mb":512}}"#;

/// Starts a complete cell in this process, on loopback, with simulated upstreams and
/// workers.
///
/// Runs until Ctrl-C or for the given time, then stops gracefully and prints a
/// summary. Uses about 50 MB of memory and is ready after about 3 s.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// Seconds to run; without it, until Ctrl-C
    #[arg(long = "for", value_name = "SECONDS")]
    seconds: Option<u64>,
    /// Configuration folder; without it, a built-in example
    #[arg(long)]
    config: Option<PathBuf>,
    /// Entry instances in each zone
    #[arg(long, default_value_t = 1)]
    entries: usize,
    /// Upstreams in each zone
    #[arg(long, default_value_t = 3)]
    upstreams: usize,
    /// Workers in each zone
    #[arg(long, default_value_t = 4)]
    workers: usize,
    /// Milliseconds that an upstream takes to serve one request
    #[arg(long, default_value_t = 20)]
    service_ms: u64,
    /// Data folder; without it, a temporary one that is removed at the end
    #[arg(long)]
    data: Option<PathBuf>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the configuration is invalid or the cell does not become ready.
pub fn run(args: &Args) -> Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run_cell(args))
}

async fn run_cell(args: &Args) -> Result<()> {
    let sources = match &args.config {
        Some(folder) => read_folder(folder)?,
        None => vec![Source {
            name: "10-local.ini".to_owned(),
            text: EXAMPLE_CONFIG.to_owned(),
        }],
    };
    let config = merge(&sources).map_err(|faults| {
        let message = faults.first().map(ToString::to_string).unwrap_or_default();
        Error::new(Kind::InvalidConfig, message)
    })?;
    let data = DataFolder::new(args.data.as_deref())?;
    let secret = hex::encode(rand::random::<[u8; 16]>());
    std::fs::write(data.path.join("secret"), &secret)?;
    let cell = Cell::start(&config, args, &data.path, secret.as_bytes()).await?;
    let stand_in_token = CancellationToken::new();
    let mut operator = cell.operator(secret.as_bytes());
    let keys = configure(&mut operator, &config, sources).await?;
    start_upstreams(&config, args, &cell.addresses, &stand_in_token).await?;
    let worker_stats = start_workers(&config, args, &cell.addresses, &stand_in_token);
    wait_until_ready(&cell, &config, &keys).await?;
    print_access(&cell, &config, &keys, &data.path)?;
    let seconds = args.seconds.map(Duration::from_secs);
    wait_for_shutdown(seconds).await?;
    let statuses: Vec<Status> = operator.call("GET", "/v1/status", None::<&()>).await?;
    let totals = cell.totals();
    cell.stop().await;
    stand_in_token.cancel();
    let worker_stats = worker_stats.lock().expect("stats lock");
    print_summary(&statuses, &totals, &worker_stats)
}

/// Data folder of a local cell; a temporary one is removed on drop.
struct DataFolder {
    path: PathBuf,
    temporary: bool,
}

impl DataFolder {
    fn new(data_dir: Option<&Path>) -> Result<Self> {
        let (path, temporary) = match data_dir {
            Some(path) => (path.to_owned(), false),
            None => {
                let name = format!("plantaincross-{:016x}", rand::random::<u64>());
                (std::env::temp_dir().join(name), true)
            }
        };
        std::fs::create_dir_all(&path)?;
        Ok(Self { path, temporary })
    }
}

impl Drop for DataFolder {
    fn drop(&mut self) {
        if self.temporary {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// The running entry instances of a local cell.
struct Cell {
    addresses: Vec<SocketAddr>,
    nodes: Vec<Node>,
    stop: CancellationToken,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Cell {
    async fn start(config: &Config, args: &Args, data: &Path, secret: &[u8]) -> Result<Self> {
        let mut sockets = Vec::new();
        for zone in zones(config) {
            for index in 0..args.entries.max(1) {
                let http = TcpListener::bind(("127.0.0.1", 0)).await?;
                let peer = TcpListener::bind(("127.0.0.1", 0)).await?;
                sockets.push((format!("{zone}-{index}"), zone.clone(), http, peer));
            }
        }
        let seeds: Vec<String> = sockets
            .iter()
            .map(|(_, _, _, peer)| Ok(peer.local_addr()?.to_string()))
            .collect::<Result<_>>()?;
        // An odd number of founders, spread over the zones.
        let founders: Vec<String> = pick_founders(&sockets, if sockets.len() < 3 { 1 } else { 3 });
        let stop = CancellationToken::new();
        let instances = sockets.len().max(1);
        let mut cell = Self {
            addresses: Vec::new(),
            nodes: Vec::new(),
            stop,
            tasks: Vec::new(),
        };
        for (name, zone, http, peer) in sockets {
            let mut settings =
                Settings::new(&name, &zone, http.local_addr()?, peer.local_addr()?, secret);
            settings.seeds.clone_from(&seeds);
            settings.founders.clone_from(&founders);
            // The instances share the process.
            settings.divide(instances);
            settings.drain_notice = Duration::from_millis(300);
            if founders.contains(&name) {
                settings.data = Some(data.join(&name));
            }
            let started = node::start_with_listeners(settings, http, peer).await?;
            cell.add(started);
        }
        Ok(cell)
    }

    fn add(&mut self, started: Started) {
        self.addresses.push(started.http);
        self.nodes.push(started.node.clone());
        let stop = self.stop.clone();
        let task = tokio::spawn(started.serve(async move { stop.cancelled().await }));
        self.tasks.push(task);
    }

    fn operator(&self, secret: &[u8]) -> Client {
        let token = Some(operator_token(secret));
        Client::new(self.addresses[0], token, Duration::from_secs(5))
    }

    fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for node in &self.nodes {
            totals.add(&node.traffic.metrics.totals());
        }
        totals
    }

    async fn stop(self) {
        self.stop.cancel();
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

fn zones(config: &Config) -> Vec<String> {
    if config.cell.zones.is_empty() {
        return vec!["zone-a".to_owned(), "zone-b".to_owned()];
    }
    config.cell.zones.clone()
}

fn pick_founders(
    sockets: &[(String, String, TcpListener, TcpListener)],
    count: usize,
) -> Vec<String> {
    (0..count)
        .map(|index| sockets[index * sockets.len() / count].0.clone())
        .collect()
}

/// Pushes the configuration and issues a key to each team. Returns the secrets by
/// team. Repeats the push until it succeeds, since it fails while the cell is starting.
async fn configure(
    operator: &mut Client,
    config: &Config,
    sources: Vec<Source>,
) -> Result<BTreeMap<String, String>> {
    let started = Instant::now();
    loop {
        match push::push(operator, 0, "local", sources.clone()).await {
            Ok(_) => break,
            Err(err) if started.elapsed() > READY_TIMEOUT => return Err(err),
            Err(_) => sleep(READY_POLL_INTERVAL).await,
        }
    }
    let mut keys = BTreeMap::new();
    for team in config.teams.keys() {
        let secret = hex::encode(rand::random::<[u8; 12]>());
        let body = GiveBody {
            id: format!("{team}-1"),
            team: team.clone(),
            digest: hex::encode(sha256(secret.as_bytes())),
            home_zone: None,
        };
        let () = operator.call("POST", "/v1/keys", Some(&body)).await?;
        keys.insert(team.clone(), secret);
    }
    Ok(keys)
}

async fn start_upstreams(
    config: &Config,
    args: &Args,
    entries: &[SocketAddr],
    token: &CancellationToken,
) -> Result<()> {
    for zone in zones(config) {
        for service in config.services.keys() {
            for index in 0..args.upstreams {
                let options = Options {
                    name: format!("{service}-{zone}-{index}"),
                    zone: zone.clone(),
                    service: service.clone(),
                    slots: 8,
                    connections: 64,
                    service_time: Duration::from_millis(args.service_ms),
                    reports_running: true,
                    port: None,
                    advertised: None,
                };
                Upstream::start(options, entries.to_vec(), None, token.child_token()).await?;
            }
        }
    }
    Ok(())
}

fn start_workers(
    config: &Config,
    args: &Args,
    entries: &[SocketAddr],
    token: &CancellationToken,
) -> Arc<Mutex<worker::Stats>> {
    let worker_stats: Arc<Mutex<worker::Stats>> = Arc::default();
    for zone in zones(config) {
        for index in 0..args.workers {
            let options = worker::Options {
                name: format!("worker-{zone}-{index}"),
                zone: zone.clone(),
                rack: format!("rack-{}", index / 6),
                size: Size {
                    cpu_milli: 32_000,
                    memory_mb: 128 << 10,
                    accelerators: 0,
                },
                fails_tasks: false,
            };
            let worker_stats = Arc::clone(&worker_stats);
            let worker = worker::run(
                options,
                entries.to_vec(),
                None,
                worker_stats,
                token.child_token(),
            );
            tokio::spawn(worker);
        }
    }
    worker_stats
}

/// Waits until every entry instance has answered a request with each team's key.
async fn wait_until_ready(
    cell: &Cell,
    config: &Config,
    keys: &BTreeMap<String, String>,
) -> Result<()> {
    let started = Instant::now();
    let Some(service) = config.services.keys().next() else {
        return Ok(());
    };
    for &address in &cell.addresses {
        for secret in keys.values() {
            loop {
                let path = format!("/v1/services/{service}/ready");
                let mut client = Client::new(address, Some(secret.clone()), Duration::from_secs(2));
                let answer = client.send("GET", &path, &[], "").await;
                if answer.is_ok_and(|a| a.status().is_success()) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    return Err(Error::new(
                        Kind::Internal,
                        "the cell did not become ready in time",
                    ));
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
    }
    Ok(())
}

fn print_access(
    cell: &Cell,
    config: &Config,
    keys: &BTreeMap<String, String>,
    data: &Path,
) -> Result<()> {
    for address in &cell.addresses {
        print(format_args!("entry instance  http://{address}"))?;
    }
    for (team, secret) in keys {
        print(format_args!("key of {team}  {secret}"))?;
    }
    let at = cell.addresses[0];
    print(format_args!(
        "operators       --at {at} --secret-file {}/secret",
        data.display()
    ))?;
    let service = config.services.keys().next();
    let key = keys.values().next();
    if let (Some(service), Some(key)) = (service, key) {
        print("")?;
        print(format_args!(
            "curl -sS -X POST -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: order-1' \
             -d '12 reams' http://{at}/v1/services/{service}/orders"
        ))?;
        print(format_args!(
            "curl -sS -X POST -H 'Authorization: Bearer {key}' -d '{EXAMPLE_JOB}' \
             http://{at}/v1/jobs"
        ))?;
    }
    Ok(())
}

async fn wait_for_shutdown(seconds: Option<Duration>) -> Result<()> {
    let interrupted = tokio::signal::ctrl_c();
    match seconds {
        Some(seconds) => {
            let _ = timeout(seconds, interrupted).await;
        }
        None => interrupted.await?,
    }
    Ok(())
}

fn print_summary(statuses: &[Status], totals: &Totals, worker_stats: &worker::Stats) -> Result<()> {
    let mut sums: BTreeMap<&str, (u64, Duration, u32)> = BTreeMap::new();
    for load in statuses.iter().flat_map(|s| &s.teams) {
        let sum = sums.entry(&load.team).or_default();
        sum.0 += load.completed;
        sum.1 += load.slot_time;
        sum.2 = load.share;
    }
    let total_time: f64 = sums.values().map(|s| s.1.as_secs_f64()).sum();
    let total_share: u32 = sums.values().map(|s| s.2).sum();
    print("")?;
    for (team, (completed, slot_time, share)) in sums {
        print(format_args!(
            "{team}: {completed} requests completed, {:.1} % of slot time, share {:.1} %",
            slot_time.as_secs_f64() / total_time.max(f64::MIN_POSITIVE) * 100.0,
            f64::from(share) / f64::from(total_share.max(1)) * 100.0
        ))?;
    }
    let waiting_ms = |quantile: f64| totals.waiting.value_at_quantile(quantile) as f64 / 1_000.0;
    print(format_args!(
        "waiting p50 {:.2} ms, p99 {:.2} ms",
        waiting_ms(0.5),
        waiting_ms(0.99)
    ))?;
    for (kind, count) in &totals.refused {
        print(format_args!("refused {count} {kind}"))?;
    }
    print(format_args!(
        "{} tasks started, {} ended, {} at most in one place",
        worker_stats.started, worker_stats.completed, worker_stats.max_copies
    ))
}
