//! A link: sends and receives frames on one connection and closes it when the peer is silent.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use crate::core::control::{PEER_SILENCE_MAX, Peer};
use crate::core::registry::InstanceId;
use crate::wire::{Body, Frame};

/// Capacity of a link's queue of outgoing frames. When the queue is full, the link is closed.
const OUTBOX_FRAMES_MAX: usize = 8_192;

/// Bytes of queries that an entry instance queues on one link. Messages between control
/// instances do not count. 4 MiB take 16 s on a link of 2 Mbit/s, longer than most deadlines.
pub const QUERY_BYTES_MAX: usize = 4 << 20;

/// Event of the links, sent to the instance's control loop.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link to the peer was established.
    Up(Peer, Link),
    /// The link with this number to the peer was closed.
    Down(InstanceId, u64),
    /// A message arrived from the peer.
    Message(InstanceId, Body),
    /// A connection was refused for the given reason.
    Refused(String),
}

/// Sending end of a link.
#[derive(Clone, Debug)]
pub struct Link {
    /// Number of the link, unique among the links of this instance.
    pub number: u64,
    outbox: mpsc::Sender<Outgoing>,
    query_bytes: Arc<AtomicUsize>,
    token: CancellationToken,
}

/// Message in the queue of a link. It must be dropped when it was written.
#[derive(Debug)]
pub struct Outgoing {
    body: Body,
    /// Present for queries.
    _place: Option<Arc<Place>>,
}

/// Bytes of a query in the queue of a link.
#[derive(Debug)]
struct Place {
    bytes: usize,
    query_bytes: Arc<AtomicUsize>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.query_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Tells whether a query is still in the queue of its link.
#[derive(Debug)]
pub struct Queued(Weak<Place>);

impl Queued {
    /// Returns whether the query has not yet been written to the connection.
    pub fn is_queued(&self) -> bool {
        self.0.strong_count() > 0
    }
}

/// Traffic over all links of an instance.
#[derive(Debug, Default)]
pub struct Counters {
    /// Messages sent.
    pub sent: AtomicU64,
    /// Bytes sent, including the length prefix of each frame.
    pub sent_bytes: AtomicU64,
    /// Messages received.
    pub received: AtomicU64,
    /// Bytes received, including the length prefix of each frame.
    pub received_bytes: AtomicU64,
}

impl Link {
    /// Creates a link and the receiver of its outgoing messages.
    pub fn new(number: u64, token: CancellationToken) -> (Self, mpsc::Receiver<Outgoing>) {
        let (outbox, outgoing) = mpsc::channel(OUTBOX_FRAMES_MAX);
        let link = Self {
            number,
            outbox,
            query_bytes: Arc::default(),
            token,
        };
        (link, outgoing)
    }

    /// Queues a message to the peer. Closes the link if the queue is full, as when the peer
    /// reads too slowly.
    pub fn send(&self, body: Body) {
        self.queue(Outgoing { body, _place: None });
    }

    /// Queues a query of `bytes` bytes to the peer, or returns `None` if that exceeds
    /// [`QUERY_BYTES_MAX`]. One query always fits.
    pub fn send_query(&self, body: Body, bytes: usize) -> Option<Queued> {
        let add = |queued: usize| {
            let sum = queued.saturating_add(bytes);
            (queued == 0 || sum <= QUERY_BYTES_MAX).then_some(sum)
        };
        let counter = &self.query_bytes;
        let added = counter.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.ok()?;
        let place = Arc::new(Place {
            bytes,
            query_bytes: Arc::clone(counter),
        });
        let queued = Queued(Arc::downgrade(&place));
        self.queue(Outgoing {
            body,
            _place: Some(place),
        });
        Some(queued)
    }

    fn queue(&self, outgoing: Outgoing) {
        if self.outbox.try_send(outgoing).is_err() {
            self.token.cancel();
        }
    }

    /// Closes the link.
    pub fn close(&self) {
        self.token.cancel();
    }
}

/// Sends and receives frames until the connection fails, nothing is received for
/// [`PEER_SILENCE_MAX`], one write takes longer than that, or the link is closed.
pub async fn run<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
    framed: Framed<S, LengthDelimitedCodec>,
    peer: InstanceId,
    mut outbox: mpsc::Receiver<Outgoing>,
    events: mpsc::Sender<LinkEvent>,
    counters: Arc<Counters>,
    token: CancellationToken,
) {
    const FRAME_HEADER_BYTES: u64 = 4;
    let (mut sink, mut stream) = framed.split::<Bytes>();
    let write = async {
        while let Some(outgoing) = outbox.recv().await {
            // The place is released when the message was written.
            let Outgoing { body, _place } = outgoing;
            let frame = Frame { body: Some(body) };
            let bytes = frame.encode_to_vec();
            counters.sent.fetch_add(1, Ordering::Relaxed);
            let size = bytes.len() as u64 + FRAME_HEADER_BYTES;
            counters.sent_bytes.fetch_add(size, Ordering::Relaxed);
            match timeout(PEER_SILENCE_MAX, sink.send(Bytes::from(bytes))).await {
                Ok(Ok(())) => {}
                _ => return,
            }
        }
    };
    let read = async {
        while let Ok(Some(Ok(bytes))) = timeout(PEER_SILENCE_MAX, stream.next()).await {
            counters.received.fetch_add(1, Ordering::Relaxed);
            let size = bytes.len() as u64 + FRAME_HEADER_BYTES;
            counters.received_bytes.fetch_add(size, Ordering::Relaxed);
            // A malformed frame closes the link.
            let Some(body) = decode(bytes) else {
                return;
            };
            if events.send(LinkEvent::Message(peer, body)).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
        () = token.cancelled() => {}
    }
}

fn decode(bytes: BytesMut) -> Option<Body> {
    Frame::decode(bytes).ok()?.body
}
