//! Opens and accepts links to all known instances of the cell.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::handshake::{HANDSHAKE_TIMEOUT, Refusal, Side, authenticate};
use super::link::{self, Counters, Link, LinkEvent};
use crate::core::control::{Identity, PEER_SILENCE_MAX, Peer};
use crate::core::registry::InstanceId;
use crate::wire::Hello;

/// Interval between attempts to connect to known addresses without a link; also the pause
/// after a failed accept.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out for opening a TCP connection: ten round trips between regions. It ends before
/// the kernel repeats a lost SYN, so that a peer that has just started is reached by the next
/// attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest number of concurrent handshakes on accepted connections; further connections are
/// closed at once.
const CONCURRENT_HANDSHAKES_MAX: usize = 64;
/// Largest number of peer addresses to keep.
const ADDRESSES_MAX: usize = 256;

/// Links of one instance to its peers.
#[derive(Debug)]
pub struct Mesh {
    identity: Identity,
    secret: Vec<u8>,
    founded: AtomicBool,
    /// Known peer addresses.
    addresses: Mutex<HashSet<String>>,
    /// Addresses with a link, each with the number of its latest link.
    linked: Mutex<HashMap<String, u64>>,
    events: mpsc::Sender<LinkEvent>,
    next_link: AtomicU64,
    token: CancellationToken,
    /// Traffic over all links.
    pub counters: Arc<Counters>,
}

impl Mesh {
    /// Creates the mesh of an instance. Links are opened and accepted once it runs.
    pub fn new(
        identity: Identity,
        secret: Vec<u8>,
        seeds: &[String],
        events: mpsc::Sender<LinkEvent>,
        token: CancellationToken,
    ) -> Arc<Self> {
        Arc::new(Self {
            identity,
            secret,
            founded: AtomicBool::new(false),
            addresses: Mutex::new(seeds.iter().cloned().collect()),
            linked: Mutex::new(HashMap::new()),
            events,
            next_link: AtomicU64::new(1),
            token,
            counters: Arc::default(),
        })
    }

    /// Records that this instance belongs to a bootstrapped group. Later handshakes announce
    /// it to the peers.
    pub fn set_founded(&self) {
        self.founded.store(true, Ordering::Relaxed);
    }

    /// Adds peer addresses to connect to.
    pub fn add_peer_addresses(&self, addresses: &[String]) {
        let mut known = self.addresses.lock().expect("addresses lock");
        for address in addresses {
            // Instances that accept no links have an empty address.
            if known.len() < ADDRESSES_MAX && !address.is_empty() {
                known.insert(address.clone());
            }
        }
    }

    /// Opens and accepts links until the token is cancelled.
    pub async fn run(self: Arc<Self>, listener: TcpListener) {
        let accept = Arc::clone(&self).accept(listener);
        let dial = Arc::clone(&self).dial();
        tokio::select! {
            () = accept => {}
            () = dial => {}
            () = self.token.cancelled() => {}
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(CONCURRENT_HANDSHAKES_MAX));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(DIAL_INTERVAL).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                continue;
            };
            let mesh = Arc::clone(&self);
            tokio::spawn(async move {
                let handshake = mesh.handshake(stream, Side::Acceptor).await;
                drop(permit);
                mesh.run_link(handshake, None).await;
            });
        }
    }

    async fn dial(self: Arc<Self>) {
        let dialing: Arc<Mutex<HashSet<String>>> = Arc::default();
        loop {
            for address in self.addresses_to_dial() {
                if !dialing
                    .lock()
                    .expect("dialing lock")
                    .insert(address.clone())
                {
                    continue;
                }
                let mesh = Arc::clone(&self);
                let dialing = Arc::clone(&dialing);
                tokio::spawn(async move {
                    let handshake = mesh.connect(&address).await;
                    dialing.lock().expect("dialing lock").remove(&address);
                    mesh.run_link(handshake, Some(address)).await;
                });
            }
            sleep(DIAL_INTERVAL).await;
        }
    }

    fn addresses_to_dial(&self) -> Vec<String> {
        let linked = self.linked.lock().expect("linked lock");
        let known = self.addresses.lock().expect("addresses lock");
        known
            .iter()
            .filter(|a| **a != self.identity.address && !linked.contains_key(*a))
            .cloned()
            .collect()
    }

    async fn connect(&self, address: &str) -> Result<Authenticated, Refusal> {
        let target: SocketAddr = address.parse().map_err(|_| Refusal::Malformed)?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(target))
            .await
            .map_err(|_| Refusal::Closed)?
            .map_err(|source| Refusal::Io { source })?;
        self.handshake(stream, Side::Dialer).await
    }

    async fn handshake(&self, stream: TcpStream, side: Side) -> Result<Authenticated, Refusal> {
        set_socket_options(&stream).map_err(|source| Refusal::Io { source })?;
        let hello = Hello {
            id: self.identity.id.0,
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address.clone(),
            replica: self.identity.replica,
            durable: self.identity.durable,
            founded: self.founded.load(Ordering::Relaxed),
            room_bytes: self.identity.room_bytes,
        };
        timeout(
            HANDSHAKE_TIMEOUT,
            authenticate(stream, side, &self.secret, &hello),
        )
        .await
        .map_err(|_| Refusal::Closed)?
    }

    async fn run_link(&self, handshake: Result<Authenticated, Refusal>, dialed: Option<String>) {
        let (hello, framed) = match handshake {
            Ok(handshake) => handshake,
            Err(err @ (Refusal::Secret | Refusal::Version { .. } | Refusal::Malformed)) => {
                let _ = self.events.send(LinkEvent::Refused(err.to_string())).await;
                return;
            }
            Err(Refusal::Io { .. } | Refusal::Closed) => return,
        };
        if hello.id == self.identity.id.0 {
            return;
        }
        let peer = peer_of(hello);
        let id = peer.id;
        let number = self.next_link.fetch_add(1, Ordering::Relaxed);
        let token = self.token.child_token();
        let (link, outbox) = Link::new(number, token.clone());
        let addresses: Vec<String> = std::iter::once(peer.address.clone())
            .chain(dialed)
            .collect();
        self.add_peer_addresses(&addresses[..1]);
        {
            let mut linked = self.linked.lock().expect("linked lock");
            for address in &addresses {
                linked.insert(address.clone(), number);
            }
        }
        if self.events.send(LinkEvent::Up(peer, link)).await.is_err() {
            return;
        }
        let counters = Arc::clone(&self.counters);
        link::run(framed, id, outbox, self.events.clone(), counters, token).await;
        self.linked
            .lock()
            .expect("linked lock")
            .retain(|_, latest| *latest != number);
        let _ = self.events.send(LinkEvent::Down(id, number)).await;
    }
}

/// The peer's `Hello` and the framed stream, after a successful handshake.
type Authenticated = (
    Hello,
    tokio_util::codec::Framed<TcpStream, tokio_util::codec::LengthDelimitedCodec>,
);

fn peer_of(hello: Hello) -> Peer {
    Peer {
        id: InstanceId(hello.id),
        name: hello.name,
        zone: hello.zone,
        address: hello.address,
        replica: hello.replica,
        durable: hello.durable,
        founded: hello.founded,
        room_bytes: hello.room_bytes,
    }
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    // Fails the connection if sent data stays unacknowledged, as on a path that silently
    // drops packets.
    SockRef::from(stream).set_tcp_user_timeout(Some(PEER_SILENCE_MAX))
}
