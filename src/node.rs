//! One running instance: its threads, its control loop and its planned stop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::core::consensus::{Ready, Stored};
use crate::core::control::{Answer, Control, Effect, Identity, Input, Query, Target};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::error::{Error, Kind, Result};
use crate::event::Event;
use crate::net::{Link, Mesh, Notice};
use crate::settings::Settings;
use crate::store::{Folder, Wal};
use crate::traffic::{Traffic, View};
use crate::wire::Body;

/// Interval of the control loop's ticks.
const TICK_EVERY: Duration = Duration::from_millis(50);
/// Interval at which late requests are refused.
const EXPIRE_EVERY: Duration = Duration::from_millis(10);
/// Interval at which nearness to share is sampled.
const SAMPLE_EVERY: Duration = Duration::from_millis(500);
/// Inputs that wait for the control thread.
const INBOX_MAX: usize = 16_384;
/// Inputs taken before the log is synced once for all of them.
const BATCH_MAX: usize = 512;
/// Longest wait for an answer of the control thread.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);
/// A gap between ticks above this counts as a pause of the process.
const PAUSE_MIN: Duration = Duration::from_millis(1_000);

/// A question to the control thread.
#[derive(Debug)]
struct Question {
    target: Target,
    query: Query,
    reply: oneshot::Sender<Answer>,
}

/// Orders to the control thread.
#[derive(Debug)]
enum Order {
    Ask(Box<Question>),
    Leave,
    Resign(oneshot::Sender<()>),
}

/// A running instance, as its own servers see it.
#[derive(Clone, Debug)]
pub struct Node {
    /// Shared state.
    pub traffic: Arc<Traffic>,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Links to peers.
    pub mesh: Arc<Mesh>,
    orders: mpsc::Sender<Order>,
    leaving: CancellationToken,
}

impl Node {
    /// Asks an instance; local questions are answered by the control thread.
    ///
    /// # Errors
    ///
    /// Fails if the responsible instance cannot be reached or refuses.
    pub async fn ask(&self, target: Target, query: Query) -> Result<Answer> {
        let (reply, answer) = oneshot::channel();
        let question = Question {
            target,
            query,
            reply,
        };
        let sent = self.orders.send(Order::Ask(Box::new(question))).await;
        sent.map_err(|_| Error::from(Kind::Draining))?;
        match timeout(ASK_TIMEOUT, answer).await {
            Ok(Ok(Answer::Failed(err))) => Err(err),
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(Error::new(Kind::NoQuorum, "no answer in time")),
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Completes when a planned stop begins.
    pub async fn leaving(&self) {
        self.leaving.cancelled().await;
    }

    /// Begins a planned stop: the platform and the peers are told.
    pub async fn leave(&self) {
        self.leaving.cancel();
        let _ = self.orders.send(Order::Leave).await;
    }

    /// Hands back everything allotted and gives up zone leadership.
    pub async fn resign(&self) {
        let (done, wait) = oneshot::channel();
        if self.orders.send(Order::Resign(done)).await.is_ok() {
            let _ = wait.await;
        }
    }
}

/// A started instance and what stops it.
#[derive(Debug)]
pub struct Started {
    /// The instance.
    pub node: Node,
    /// Address for callers.
    pub http: SocketAddr,
    listener: Option<TcpListener>,
    stop: CancellationToken,
    thread: Option<std::thread::JoinHandle<()>>,
}

/// Starts an instance: opens its sockets and files and runs its control thread.
///
/// # Errors
///
/// Fails if an address is taken or the data folder cannot be used.
pub async fn start(settings: Settings) -> Result<Started> {
    let listener = TcpListener::bind(settings.http).await?;
    let peer_listener = TcpListener::bind(settings.peer).await?;
    start_on(settings, listener, peer_listener).await
}

/// Does what [`start`] does on sockets that are already open.
///
/// # Errors
///
/// Fails if the data folder cannot be used.
pub async fn start_on(
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
    let (notices, inbox) = mpsc::channel(INBOX_MAX);
    let identity = Identity {
        id,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.peer.to_string(),
        replica,
        durable: wal.is_some(),
        founders: settings.founders.clone(),
        replace_after: settings.replace_after,
    };
    let mesh = Mesh::new(
        identity.clone(),
        settings.secret.clone(),
        &settings.seeds,
        notices,
        stop.child_token(),
    );
    let (orders, order_inbox) = mpsc::channel(INBOX_MAX);
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
    let thread = spawn_control(driver, inbox, order_inbox, std_listener)?;
    spawn_expiry(Arc::clone(&traffic), stop.clone());
    let http = settings.http;
    let node = Node {
        traffic,
        settings: Arc::new(settings),
        mesh,
        orders,
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
    /// Serves callers until `shutdown` completes, then stops gracefully: tells the
    /// platform, serves on for the notice, ends what runs, hands over, and ends.
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

    /// Ends the instance at once, as if its process had died.
    pub async fn halt(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}

fn spawn_control(
    driver: Driver,
    inbox: mpsc::Receiver<Notice>,
    orders: mpsc::Receiver<Order>,
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
                driver.run(inbox, orders).await;
                let _ = links.await;
            });
        })?;
    Ok(thread)
}

fn spawn_expiry(traffic: Arc<Traffic>, stop: CancellationToken) {
    tokio::spawn(async move {
        let mut ticks = interval(EXPIRE_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut samples = interval(SAMPLE_EVERY);
        loop {
            tokio::select! {
                _ = ticks.tick() => traffic.expire(),
                _ = samples.tick() => traffic.sample(),
                () = stop.cancelled() => return,
            }
        }
    });
}

/// What the latest published view was made of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Published {
    version: u64,
    key_changes: u64,
    tombstones: usize,
    zones: usize,
}

/// The control thread's loop.
struct Driver {
    control: Control,
    wal: Option<Wal>,
    backlog: Vec<Ready>,
    traffic: Arc<Traffic>,
    mesh: Arc<Mesh>,
    links: HashMap<InstanceId, Vec<Link>>,
    replies: HashMap<u64, oneshot::Sender<Answer>>,
    next_call: u64,
    published: Published,
    stop: CancellationToken,
}

impl Driver {
    async fn run(mut self, mut inbox: mpsc::Receiver<Notice>, mut orders: mpsc::Receiver<Order>) {
        let mut ticks = interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_tick = self.now();
        loop {
            tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => {
                    let now = self.now();
                    self.note_pause(now.since(last_tick));
                    last_tick = now;
                    self.step(Input::Tick);
                }
                Some(notice) = inbox.recv() => self.take_notice(notice),
                Some(order) = orders.recv() => self.take_order(order),
            }
            for _ in 0..BATCH_MAX {
                if let Ok(notice) = inbox.try_recv() {
                    self.take_notice(notice);
                } else if let Ok(order) = orders.try_recv() {
                    self.take_order(order);
                } else {
                    break;
                }
            }
            self.settle();
        }
    }

    fn now(&self) -> Moment {
        self.traffic.clock.now()
    }

    fn note_pause(&self, gap: Duration) {
        if gap > PAUSE_MIN {
            let millis = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            self.traffic.record(Event::Paused { millis });
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.now();
        let effects = self.control.step(now, input);
        self.carry_out(effects);
    }

    fn take_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Up(peer, link) => {
                let links = self.links.entry(peer.id).or_default();
                links.push(link);
                self.step(Input::PeerUp(peer));
            }
            Notice::Down(id, number) => {
                let Some(links) = self.links.get_mut(&id) else {
                    return;
                };
                links.retain(|link| link.number != number);
                if links.is_empty() {
                    self.links.remove(&id);
                    self.step(Input::PeerDown(id));
                }
            }
            Notice::Message(from, body) => {
                if let Body::Ping(ping) = &body {
                    self.mesh.learn(&ping.peers);
                }
                self.step(Input::Message(from, body));
            }
            Notice::Refused(reason) => self.traffic.record(Event::PeerRefused { reason }),
        }
    }

    fn take_order(&mut self, order: Order) {
        match order {
            Order::Ask(question) => {
                self.next_call += 1;
                let call = self.next_call;
                self.replies.insert(call, question.reply);
                self.step(Input::Ask {
                    call,
                    target: question.target,
                    query: question.query,
                });
            }
            Order::Leave => self.step(Input::Leave),
            Order::Resign(done) => {
                self.traffic.gate.lock().expect("gate lock").return_all();
                // The returned counters go out with this tick.
                self.step(Input::Tick);
                self.control.resign();
                let _ = done.send(());
            }
        }
    }

    // Stores, sends and applies until nothing is left to do.
    fn settle(&mut self) {
        loop {
            let now = self.now();
            let ready = self.control.take_ready(now);
            if is_idle(&ready) && self.backlog.is_empty() {
                break;
            }
            self.backlog.push(ready);
            if !self.store_backlog() {
                break;
            }
        }
        self.compact();
        self.traffic.pump();
    }

    // False if the disk refused; nothing is sent before it takes the records.
    fn store_backlog(&mut self) -> bool {
        while !self.backlog.is_empty() {
            let ready = &self.backlog[0];
            if let Some(wal) = &mut self.wal
                && let Err(err) = wal.store(ready)
            {
                log::error!("the data folder takes no records: {err}");
                return false;
            }
            let ready = self.backlog.remove(0);
            let effects = self.control.stored(self.traffic.clock.now(), ready);
            self.carry_out(effects);
        }
        true
    }

    fn compact(&mut self) {
        if !self.backlog.is_empty() {
            return;
        }
        let Some(snapshot) = self.control.compact() else {
            return;
        };
        let log = self.control.replica().log();
        let entries = log.slice(log.first_index(), usize::MAX);
        if let Some(wal) = &mut self.wal
            && let Err(err) = wal.compact(&snapshot, &entries)
        {
            log::error!("the snapshot was not stored: {err}");
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => {
                    if let Some(link) = self.links.get(&to).and_then(|links| links.last()) {
                        link.send(body);
                    }
                }
                Effect::Reply(call, answer) => {
                    if let Some(reply) = self.replies.remove(&call) {
                        let _ = reply.send(answer);
                    }
                }
                Effect::Event(event) => self.traffic.record(event),
                Effect::Publish => self.publish(),
            }
        }
    }

    fn publish(&mut self) {
        let registry = self.control.registry();
        let tombstones = self.control.tombstones();
        if !self.control.replica().is_blank() {
            self.mesh.set_founded();
        }
        let state = Published {
            version: registry.version,
            key_changes: registry.key_changes,
            tombstones: tombstones.len(),
            zones: registry.zone_names.len(),
        };
        if state != self.published {
            self.published = state;
            let view = View::new(
                registry.keys.iter(),
                |id| tombstones.contains(id),
                registry.config.clone(),
                registry.version,
                registry.zone_names.clone(),
            );
            self.traffic.view.store(Arc::new(view));
        }
        let root = self.control.root_vouches_until();
        let zone = self.control.zone_vouches_until();
        self.traffic.set_fresh(root, zone);
    }
}

fn is_idle(ready: &Ready) -> bool {
    ready.hard.is_none()
        && ready.snapshot.is_none()
        && ready.truncate_from.is_none()
        && ready.entries.is_empty()
        && ready.messages.is_empty()
        && ready.committed.is_empty()
}

/// Number that makes free names in one process.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// Returns a number that no other call in this process got.
pub fn unique() -> u64 {
    NEXT.fetch_add(1, Ordering::Relaxed)
}
