//! A running instance: startup, the control thread, and graceful shutdown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::core::consensus::Stored;
use crate::core::control::{Answer, Control, Identity, Query, Target};
use crate::core::registry::InstanceId;
use crate::driver::{Driver, Published};
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::ingress::Budget;
use crate::net::{LinkEvent, Mesh};
use crate::settings::Settings;
use crate::store::{Folder, Wal};
use crate::traffic::Traffic;

/// Interval at which waiting requests that cannot meet their deadlines are refused.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which team usage is sampled for the fair-share metrics.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Capacity of each input queue of the control thread, in messages.
const INBOX_MESSAGES_MAX: usize = 16_384;
/// Longest wait for an answer from the control thread.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);

/// A query to the control thread, with the channel for its answer.
#[derive(Debug)]
pub(crate) struct PendingQuery {
    pub(crate) target: Target,
    pub(crate) query: Query,
    pub(crate) reply: oneshot::Sender<Answer>,
}

/// Commands to the control thread.
#[derive(Debug)]
pub(crate) enum Command {
    Ask(Box<PendingQuery>),
    Leave,
    Resign(oneshot::Sender<()>),
}

/// Handle of a running instance.
#[derive(Clone, Debug)]
pub struct Node {
    /// State shared with the request threads.
    pub traffic: Arc<Traffic>,
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Connections to peers.
    pub mesh: Arc<Mesh>,
    /// Budget for bytes received from callers and not yet answered.
    pub budget: Budget,
    commands: mpsc::Sender<Command>,
    leaving: CancellationToken,
}

impl Node {
    /// Sends a query to the instance responsible for `target` and returns its answer. The
    /// control thread routes the query and answers local ones itself.
    ///
    /// # Errors
    ///
    /// Fails if the responsible instance cannot be reached, does not answer in time or refuses.
    pub async fn ask(&self, target: Target, query: Query) -> Result<Answer> {
        let (reply, answer) = oneshot::channel();
        let pending = PendingQuery {
            target,
            query,
            reply,
        };
        let sent = self.commands.send(Command::Ask(Box::new(pending))).await;
        sent.map_err(|_| Error::from(Kind::Draining))?;
        match timeout(ASK_TIMEOUT, answer).await {
            Ok(Ok(Answer::Failed(err))) => Err(err),
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(Error::new(
                Kind::NoQuorum,
                "control plane did not answer in time",
            )),
        }
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Waits until a graceful shutdown begins.
    pub async fn leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// Begins a graceful shutdown: readiness checks fail from now on and peers are notified.
    pub async fn leave(&self) {
        self.leaving.cancel();
        let _ = self.commands.send(Command::Leave).await;
    }

    /// Returns all idle allotted slots and units and gives up zone leadership.
    pub async fn resign(&self) {
        let (done, wait) = oneshot::channel();
        if self.commands.send(Command::Resign(done)).await.is_ok() {
            let _ = wait.await;
        }
    }
}

/// A started instance with its listener and control thread.
#[derive(Debug)]
pub struct Started {
    /// Handle of the instance.
    pub node: Node,
    /// Address of the HTTP server.
    pub http: SocketAddr,
    listener: Option<TcpListener>,
    stop: CancellationToken,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Opens the sockets and data files of an instance and starts its control thread.
///
/// # Errors
///
/// Fails if an address is in use or the data folder cannot be opened.
pub async fn start(settings: Settings) -> Result<Started> {
    let listener = TcpListener::bind(settings.http).await?;
    let peer_listener = TcpListener::bind(settings.peer).await?;
    start_with_listeners(settings, listener, peer_listener).await
}

/// Starts an instance like [`start`], on sockets that are already open.
///
/// # Errors
///
/// Fails if the data folder cannot be opened.
pub async fn start_with_listeners(
    mut settings: Settings,
    listener: TcpListener,
    peer_listener: TcpListener,
) -> Result<Started> {
    settings.http = listener.local_addr()?;
    settings.peer = peer_listener.local_addr()?;
    let clock = Clock::default();
    let (wal, stored) = match &settings.data {
        Some(path) => {
            let (wal, stored) = Wal::open(Folder::open(path)?)?;
            (Some(wal), stored)
        }
        None => (None, Stored::default()),
    };
    let id = InstanceId(rand::random::<u64>().max(1));
    let replica = wal.as_ref().map_or(id.0, Wal::replica);
    let traffic = Arc::new(Traffic::new(id, &settings.name, &settings.zone, clock));
    let stop = CancellationToken::new();
    let (link_events, inbox) = mpsc::channel(INBOX_MESSAGES_MAX);
    let identity = Identity {
        id,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.peer.to_string(),
        replica,
        durable: wal.is_some(),
        founders: settings.founders.clone(),
        replace_after: settings.replace_after,
        room_bytes: settings.job_memory_bytes as u64,
    };
    let mesh = Mesh::new(
        identity.clone(),
        settings.secret.clone(),
        &settings.seeds,
        link_events,
        stop.child_token(),
    );
    let (commands, command_inbox) = mpsc::channel(INBOX_MESSAGES_MAX);
    let gate = Arc::clone(&traffic.gate);
    let control = Control::new(identity, gate, stored, clock.now(), rand::random());
    let driver = Driver {
        control,
        wal,
        backlog: Vec::new(),
        traffic: Arc::clone(&traffic),
        mesh: Arc::clone(&mesh),
        links: HashMap::new(),
        replies: HashMap::new(),
        next_call: 0,
        published: Published::default(),
        stop: stop.clone(),
    };
    traffic.record(Event::Started {
        version: env!("CARGO_PKG_VERSION").to_owned(),
    });
    let std_listener = peer_listener.into_std()?;
    let thread = spawn_control(driver, inbox, command_inbox, std_listener)?;
    spawn_expiry(Arc::clone(&traffic), stop.clone());
    let http = settings.http;
    let budget = Budget::new(settings.receive_budget_bytes);
    traffic.metrics.register_ingress(&budget);
    let node = Node {
        traffic,
        budget,
        settings: Arc::new(settings),
        mesh,
        commands,
        leaving: CancellationToken::new(),
    };
    Ok(Started {
        node,
        http,
        listener: Some(listener),
        stop,
        thread: Some(thread),
    })
}

impl Started {
    /// Serves requests until `shutdown` completes, then shuts down gracefully: fails readiness
    /// checks, serves on for the drain notice, finishes running requests within the drain
    /// limit, returns allotments, and stops.
    pub async fn serve(mut self, shutdown: impl Future<Output = ()>) {
        let listener = self.listener.take().expect("served once");
        let settings = Arc::clone(&self.node.settings);
        let close = CancellationToken::new();
        let server = crate::http::serve(listener, self.node.clone(), close.clone());
        let server = tokio::spawn(server);
        shutdown.await;
        self.node.leave().await;
        tokio::time::sleep(settings.drain_notice).await;
        close.cancel();
        let _ = timeout(settings.drain_limit, server).await;
        self.node.resign().await;
        self.node.traffic.record(Event::Stopped {});
        self.halt().await;
    }

    /// Stops the instance immediately, without a graceful shutdown, as if its process had
    /// crashed.
    pub async fn halt(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

fn spawn_control(
    driver: Driver,
    inbox: mpsc::Receiver<LinkEvent>,
    commands: mpsc::Receiver<Command>,
    listener: std::net::TcpListener,
) -> Result<std::thread::JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let Ok(listener) = TcpListener::from_std(listener) else {
                    return;
                };
                let mesh = Arc::clone(&driver.mesh);
                let links = tokio::spawn(mesh.run(listener));
                driver.run(inbox, commands).await;
                let _ = links.await;
            });
        })?;
    Ok(thread)
}

fn spawn_expiry(traffic: Arc<Traffic>, stop: CancellationToken) {
    tokio::spawn(async move {
        let mut expiry_ticks = interval(EXPIRE_INTERVAL);
        expiry_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sample_ticks = interval(SAMPLE_INTERVAL);
        loop {
            tokio::select! {
                _ = expiry_ticks.tick() => traffic.expire(),
                _ = sample_ticks.tick() => traffic.sample(),
                () = stop.cancelled() => return,
            }
        }
    });
}
