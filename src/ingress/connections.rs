//! Connections of clients: a limit on their number and time limits on their reads and writes.
//!
//! The load that it handles: more connections than the limit that send nothing, only a part of
//! a head, or do not read their responses.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};
use tokio_util::sync::CancellationToken;

use super::{Budget, SMALL_BODY_BYTES};

/// Time limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which a head must arrive, from its first byte.
    pub head: Duration,
    /// Time for which a connection may stay without a request.
    pub idle: Duration,
    /// Time without progress after which a connection is closed whose client does not read its
    /// response. Clients that read slowly get theirs.
    pub write: Duration,
    /// The same for a connection that makes room for another.
    pub stall: Duration,
    /// Time within which long responses must be read while they take too much memory.
    pub response: Duration,
}

impl Limits {
    /// Limits of both front ends. The platform allows as much for heads (`headerTimeoutMs`) and
    /// for idle connections (`idleTimeoutMs`).
    pub const DEFAULT: Self = Self {
        head: Duration::from_secs(3),
        idle: Duration::from_secs(15),
        write: Duration::from_secs(15),
        stall: Duration::from_secs(3),
        response: Duration::from_secs(30),
    };
}

/// What a connection does at present.
#[derive(Debug)]
struct State {
    /// Requests whose response body is not yet taken over by the HTTP library.
    under_way: usize,
    /// Time since which a write has waited for the client.
    writing_since: Option<Instant>,
    /// Time of the connection's start or of its latest response.
    idle_since: Instant,
    /// Time of the first byte of a head that is not complete.
    head_since: Option<Instant>,
    /// Bytes of long responses that are not sent, and time since which there are any.
    unsent_bytes: usize,
    unsent_since: Option<Instant>,
}

impl State {
    const fn is_waiting(&self) -> bool {
        self.under_way == 0 && self.writing_since.is_none()
    }

    fn read_deadline(&self, limits: &Limits) -> Option<Instant> {
        let idle = self.idle_since + limits.idle;
        let deadline = self.head_since.map_or(idle, |since| since + limits.head);
        self.is_waiting().then_some(deadline)
    }

    fn receive(&mut self, now: Instant) {
        if self.under_way == 0 {
            self.head_since.get_or_insert(now);
        }
    }

    fn set_writing(&mut self, is_writing: bool, now: Instant) {
        if !is_writing && self.writing_since.take().is_some() {
            self.idle_since = now;
        }
        if is_writing {
            self.writing_since.get_or_insert(now);
        }
    }

    // Returns whether the client has not read its response for long.
    fn is_stalled(&self, limits: &Limits, now: Instant) -> bool {
        let waited = self.writing_since.map(|since| now.duration_since(since));
        waited.is_some_and(|waited| waited >= limits.stall)
    }
}

type Shared = Arc<Mutex<State>>;

// The state stays valid if a thread panics between its changes.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug, Default)]
struct Open {
    latest_id: u64,
    by_id: HashMap<u64, (Shared, CancellationToken)>,
}

/// Open connections of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    max: usize,
    limits: Limits,
    open: Arc<Mutex<Open>>,
}

impl Connections {
    /// Creates a set of at most `max` connections.
    pub fn new(max: usize, limits: Limits) -> Self {
        Self {
            max,
            limits,
            open: Arc::default(),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        lock(&self.open).by_id.len()
    }

    /// Returns whether the limit is reached. Connections are then closed after their response, as
    /// clients that always have a further request would otherwise keep all others out.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max
    }

    /// Evicts the connections whose clients do not read long responses: those without progress
    /// for long, and those that take too long.
    pub fn evict_slow_readers(&self, now: Instant) {
        let mut open = lock(&self.open);
        open.by_id.retain(|_, (state, token)| {
            let state = lock(state);
            let sending = state.unsent_since.map(|since| now.duration_since(since));
            let is_slow = sending.is_some_and(|time| time >= self.limits.response);
            let is_evicted =
                state.unsent_bytes > 0 && (is_slow || state.is_stalled(&self.limits, now));
            if is_evicted {
                token.cancel();
            }
            !is_evicted
        });
    }

    /// Adds a connection. At the limit it evicts the one that has waited longest without a
    /// request under way, or else the one whose client has not read its response for longest, if
    /// that is long; the flag tells whether it did. Returns `None` if there is neither.
    pub fn add(&self, now: Instant) -> Option<(Connection, bool)> {
        let mut open = lock(&self.open);
        let is_full = open.by_id.len() >= self.max;
        if is_full {
            let waiting = open.by_id.iter().filter_map(|(id, (state, _))| {
                let state = lock(state);
                state.is_waiting().then_some((state.idle_since, *id))
            });
            let stalled = open.by_id.iter().filter_map(|(id, (state, _))| {
                let state = lock(state);
                let is_stalled = state.is_stalled(&self.limits, now);
                is_stalled.then_some((state.writing_since, *id))
            });
            let longest = waiting.min().map(|(_, id)| id);
            let longest = longest.or_else(|| stalled.min().map(|(_, id)| id))?;
            let (_, token) = open.by_id.remove(&longest)?;
            token.cancel();
        }
        open.latest_id += 1;
        let connection = Connection {
            id: open.latest_id,
            limits: self.limits,
            open: Arc::clone(&self.open),
            state: Arc::new(Mutex::new(State {
                under_way: 0,
                writing_since: None,
                idle_since: now,
                head_since: None,
                unsent_bytes: 0,
                unsent_since: None,
            })),
            evicted: CancellationToken::new(),
        };
        let entry = (Arc::clone(&connection.state), connection.evicted.clone());
        open.by_id.insert(connection.id, entry);
        Some((connection, is_full))
    }
}

/// One open connection; it no longer counts when it is dropped.
#[derive(Debug)]
pub struct Connection {
    id: u64,
    limits: Limits,
    open: Arc<Mutex<Open>>,
    state: Shared,
    evicted: CancellationToken,
}

impl Connection {
    /// Waits until the connection must be closed in favour of another.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Applies the time limits to the connection's stream.
    pub fn stream<S>(&self, stream: S) -> Stream<S> {
        Stream {
            stream,
            limits: self.limits,
            state: Arc::clone(&self.state),
            read_timer: Box::pin(sleep(self.limits.idle)),
            write_timer: None,
        }
    }

    /// Begins a request, which is under way until the returned value is dropped.
    pub fn begin(&self) -> UnderWay {
        let mut state = lock(&self.state);
        state.under_way += 1;
        state.head_since = None;
        UnderWay(Arc::clone(&self.state))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        lock(&self.open).by_id.remove(&self.id);
    }
}

/// A request that is under way.
#[derive(Debug)]
pub struct UnderWay(Shared);

impl UnderWay {
    /// Keeps the request under way until the HTTP library has taken over the body, and counts
    /// long parts of it in `budget` until they are sent.
    pub fn until_sent<B>(self, body: B, budget: &Budget) -> Reply<B> {
        Reply {
            body,
            under_way: self,
            budget: budget.clone(),
        }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.under_way -= 1;
        state.idle_since = Instant::now();
    }
}

/// Response body whose request is under way until it is dropped.
#[derive(Debug)]
pub struct Reply<B> {
    body: B,
    under_way: UnderWay,
    budget: Budget,
}

/// Part of a response that is not sent.
struct Unsent {
    bytes: Bytes,
    state: Shared,
    budget: Budget,
}

impl Unsent {
    fn new(bytes: Bytes, state: &Shared, budget: &Budget) -> Self {
        let mut connection = lock(state);
        connection.unsent_bytes += bytes.len();
        connection.unsent_since.get_or_insert_with(Instant::now);
        drop(connection);
        budget.add_unsent(bytes.len());
        Self {
            bytes,
            state: Arc::clone(state),
            budget: budget.clone(),
        }
    }
}

impl AsRef<[u8]> for Unsent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.unsent_bytes -= self.bytes.len();
        if state.unsent_bytes == 0 {
            state.unsent_since = None;
        }
        drop(state);
        self.budget.remove_unsent(self.bytes.len());
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Reply<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let hold = |bytes: Bytes| {
            if bytes.len() <= SMALL_BODY_BYTES {
                return bytes;
            }
            Bytes::from_owner(Unsent::new(bytes, &self.under_way.0, &self.budget))
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(hold))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a connection whose reads and writes fail at its time limits.
#[derive(Debug)]
pub struct Stream<S> {
    stream: S,
    limits: Limits,
    state: Shared,
    read_timer: Pin<Box<Sleep>>,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> Stream<S> {
    fn limit_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            if self.write_timer.take().is_some() {
                lock(&self.state).set_writing(false, Instant::now());
            }
            return polled;
        }
        if self.write_timer.is_none() {
            lock(&self.state).set_writing(true, Instant::now());
        }
        let limit = self.limits.write;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let length = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let mut state = lock(&this.state);
        if buffer.filled().len() > length {
            state.receive(Instant::now());
        } else if polled.is_ready() {
            return polled;
        }
        let deadline = state.read_deadline(&this.limits);
        drop(state);
        let Some(deadline) = deadline else {
            return polled;
        };
        if this.read_timer.deadline() != deadline {
            this.read_timer.as_mut().reset(deadline);
        }
        if this.read_timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.limit_write(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.limit_write(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.limit_write(cx, polled)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.limit_write(cx, polled)
    }
}
