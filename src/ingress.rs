//! Bounds on what HTTP clients can make a process hold: one budget of bytes that were received
//! and not yet answered, and a reader of request bodies that charges to it.
//!
//! The load that it handles: many clients that concurrently send the largest permitted bodies,
//! in pieces of any size, and stall before the end.

mod connections;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes};
use derive_more::Deref;
use http_body_util::BodyExt;
use hyper::body::Body;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use snafu::Snafu;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use crate::core::retry::spread;

pub use connections::{Connection, Connections, Limits, Reply, Stream, UnderWay};

/// Read buffer of a connection, in bytes. It bounds heads and the empty lines before them. A
/// head may have 16 KiB; the rest is for line ends that callers do not count.
pub const READ_BUFFER_BYTES: usize = 20 << 10;
/// Memory that a connection takes apart from bodies, in bytes: the read buffer, which is
/// allocated in powers of two, the write buffer of 8 KiB and the state of its task.
pub const CONNECTION_BYTES: usize = 48 << 10;
/// Bodies up to this length, in bytes, may use the part of the budget that is kept for them.
pub const SMALL_BODY_BYTES: usize = 16 << 10;
/// Bodies whose decoded form is estimated at more than this, in bytes, count as large. Ordinary
/// JSON of [`SMALL_BODY_BYTES`] decodes to a few times its length.
pub const SMALL_DECODED_BYTES: usize = 4 * SMALL_BODY_BYTES;
/// Smallest budget, in bytes. The part for large bodies holds one body of 4 MiB.
pub const BUDGET_MIN_BYTES: usize = 8 << 20;
/// Shortest retry delay given with a refusal for lack of budget. Stalled bodies time out after a
/// few seconds, others make room sooner.
const RETRY_DELAY_MIN: Duration = Duration::from_secs(1);
/// Time over which retries after such refusals are spread.
const RETRY_DELAY_SPREAD: Duration = Duration::from_secs(3);

/// Divisor of the budget that gives the part kept for small bodies.
const SMALL_PART: usize = 4;
/// Estimated memory of a decoded string apart from its text, in bytes: its fields and the
/// overhead of its allocation.
const STRING_BYTES: usize = 32;
/// Initial capacity of a body of unknown length, in bytes.
const CAPACITY_MIN_BYTES: usize = 1 << 10;
/// Shortest time between two log lines about refusals.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds the bytes that the kernel holds unread for each connection that `listener` accepts. It
/// holds up to twice `bytes`, and less if that is the limit of the system.
///
/// # Errors
///
/// Fails if the kernel refuses the option.
pub fn set_receive_buffer(listener: &TcpListener, bytes: usize) -> std::io::Result<()> {
    SockRef::from(listener).set_recv_buffer_size(bytes)
}

/// Reason why the body of a request was not received.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The body is longer than its limit.
    #[snafu(display("the request body exceeds {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the request body took too long"))]
    TooSlow,
    /// The connection ended before the body, or the body is malformed.
    #[snafu(display("{message}"))]
    Incomplete {
        /// Message of the HTTP library.
        message: String,
    },
    /// The process holds too much that is not yet answered.
    #[snafu(display("the memory for request bodies is in use"))]
    OverBudget,
}

/// Reason why a client was refused, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The budget was in use.
    Budget,
    /// The body did not arrive in time.
    Timeout,
    /// The connection limit was reached.
    Connections,
    /// Accepted jobs leave no room.
    Jobs,
    /// Responses that are not read take too much.
    Responses,
}

impl Refusal {
    /// Returns the value of the metric's label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Budget => "budget",
            Self::Timeout => "timeout",
            Self::Connections => "connections",
            Self::Jobs => "jobs",
            Self::Responses => "responses",
        }
    }
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Labels {
    reason: &'static str,
}

#[derive(Debug)]
struct Shared {
    total_bytes: usize,
    held_bytes: AtomicUsize,
    /// Bytes of long responses that are not sent.
    unsent_bytes: AtomicUsize,
    /// Whether a request is served whose decoded form did not fit.
    overdrawn: AtomicBool,
    held_gauge: Gauge,
    unsent_gauge: Gauge,
    refusals: Family<Labels, Counter>,
    refusals_since_line: AtomicU64,
    delays_given: AtomicU64,
    last_line: Mutex<Option<Instant>>,
}

/// Budget of a process for bytes received from clients and not yet answered. Clones share it.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Shared>);

impl Budget {
    /// Creates a budget of `total_bytes`, but at least [`BUDGET_MIN_BYTES`].
    pub fn new(total_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            total_bytes: total_bytes.max(BUDGET_MIN_BYTES),
            held_bytes: AtomicUsize::new(0),
            unsent_bytes: AtomicUsize::new(0),
            overdrawn: AtomicBool::new(false),
            held_gauge: Gauge::default(),
            unsent_gauge: Gauge::default(),
            refusals: Family::default(),
            refusals_since_line: AtomicU64::new(0),
            delays_given: AtomicU64::new(0),
            last_line: Mutex::default(),
        }))
    }

    /// Returns the number of bytes charged at present.
    pub fn held_bytes(&self) -> usize {
        self.0.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the part of the budget that large bodies may use, in bytes.
    pub fn large_bytes(&self) -> usize {
        self.0.total_bytes - self.0.total_bytes / SMALL_PART
    }

    /// Creates an empty charge. A body that is known to be large does not use the part kept
    /// for small ones; one of unknown length becomes large when it exceeds
    /// [`SMALL_BODY_BYTES`].
    pub fn charge(&self, is_large: bool) -> Charge {
        Charge {
            budget: self.clone(),
            held_bytes: 0,
            is_large,
            overdraws: false,
        }
    }

    /// Returns the retry delay of the next refusal for lack of budget. Delays differ, so that
    /// clients that are refused together do not come back together.
    pub fn retry_delay(&self) -> Duration {
        let number = self.0.delays_given.fetch_add(1, Ordering::Relaxed);
        spread(RETRY_DELAY_MIN, RETRY_DELAY_SPREAD, number)
    }

    /// Charges `bytes` for a response before it is made.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::OverBudget`].
    pub fn reserve(&self, bytes: usize) -> Result<Charge, Failure> {
        let mut charge = self.charge(true);
        let reserved = charge.grow_to(bytes);
        if reserved.is_err() {
            self.record(Refusal::Budget);
        }
        reserved.map(|()| charge)
    }

    /// Returns whether responses that clients do not read take as much as requests may. Further
    /// requests are then refused before they run.
    pub fn has_unsent_responses(&self) -> bool {
        self.0.unsent_bytes.load(Ordering::Relaxed) >= self.0.total_bytes
    }

    // Responses that are ready are delivered, also above the limit.
    fn add_unsent(&self, bytes: usize) {
        self.0.unsent_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.0.unsent_gauge.inc_by(bytes as i64);
    }

    fn remove_unsent(&self, bytes: usize) {
        self.0.unsent_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.0.unsent_gauge.dec_by(bytes as i64);
    }

    /// Counts a refusal.
    pub fn record(&self, refusal: Refusal) {
        let reason = refusal.name();
        self.0.refusals.get_or_create(&Labels { reason }).inc();
        self.0.refusals_since_line.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of refusals since the previous log line about them, or `None` if
    /// that line was written less than a second before `now`.
    pub fn line_due(&self, now: Instant) -> Option<u64> {
        let mut last = self.0.last_line.lock().expect("line lock");
        if last.is_some_and(|last| now.duration_since(last) < LINE_INTERVAL) {
            return None;
        }
        *last = Some(now);
        Some(self.0.refusals_since_line.swap(0, Ordering::Relaxed))
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "client_refusals",
            "Requests and connections refused to bound memory, by reason",
            self.0.refusals.clone(),
        );
        registry.register(
            "unanswered_bytes",
            "Bytes received from clients and not yet answered, decoded bodies included",
            self.0.held_gauge.clone(),
        );
        registry.register(
            "unsent_bytes",
            "Bytes of long responses that clients have not read",
            self.0.unsent_gauge.clone(),
        );
    }

    fn add(&self, bytes: usize, is_large: bool) -> Result<(), Failure> {
        let limit = if is_large {
            self.large_bytes()
        } else {
            self.0.total_bytes
        };
        let add = |held: usize| held.checked_add(bytes).filter(|&sum| sum <= limit);
        let held = &self.0.held_bytes;
        held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| Failure::OverBudget)?;
        self.0.held_gauge.inc_by(bytes as i64);
        Ok(())
    }

    // Charges what the part for large bodies has left and returns it, unless another request
    // did so before and is not yet answered.
    fn overdraw(&self) -> Option<usize> {
        if self.0.overdrawn.swap(true, Ordering::Relaxed) {
            return None;
        }
        let limit = self.large_bytes();
        let fill = |held: usize| (held < limit).then_some(limit);
        let held = &self.0.held_bytes;
        let filled = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fill);
        let added = filled.map_or(0, |held| limit - held);
        self.0.held_gauge.inc_by(added as i64);
        Some(added)
    }

    fn release(&self, bytes: usize) {
        self.0.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.0.held_gauge.dec_by(bytes as i64);
    }
}

/// Part of a budget in use by one request. Dropping it releases it.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    held_bytes: usize,
    is_large: bool,
    /// Whether this is the request whose decoded form did not fit.
    overdraws: bool,
}

impl Charge {
    /// Charges for a buffer that grows to `capacity` bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::OverBudget`]; the charge is then as before.
    fn grow_to(&mut self, capacity: usize) -> Result<(), Failure> {
        let added = capacity.saturating_sub(self.held_bytes);
        let is_large = self.is_large || capacity > SMALL_BODY_BYTES;
        self.budget.add(added, is_large)?;
        self.is_large = is_large;
        self.held_bytes += added;
        Ok(())
    }

    /// Charges for the decoded form of the body. One request at a time whose decoded form does
    /// not fit is charged only what the part for large bodies has left, so that a single
    /// request is always served, whatever the ordinary ones beside it hold.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::OverBudget`]; the charge is then as before.
    pub fn add_decoded(&mut self, decoded_bytes: usize) -> Result<(), Failure> {
        let is_large = self.is_large || decoded_bytes > SMALL_DECODED_BYTES;
        let added = match self.budget.add(decoded_bytes, is_large) {
            Ok(()) => decoded_bytes,
            Err(failure) => {
                let rest = is_large.then(|| self.budget.overdraw()).flatten();
                let Some(rest) = rest else {
                    self.budget.record(Refusal::Budget);
                    return Err(failure);
                };
                self.overdraws = true;
                rest
            }
        };
        self.is_large = is_large;
        self.held_bytes += added;
        Ok(())
    }

    /// Returns the number of bytes charged.
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.budget.release(self.held_bytes);
        if self.overdraws {
            self.budget.0.overdrawn.store(false, Ordering::Relaxed);
        }
    }
}

/// A received body with its charge.
#[derive(Debug, Deref)]
pub struct Received {
    /// The whole body.
    #[deref]
    pub bytes: Bytes,
    /// Must be kept until the response is ready to be sent.
    pub charge: Charge,
}

/// Reads a body of at most `limit` bytes that arrives within `time_limit`.
///
/// The body is copied into one buffer: a frame of a chunked body keeps the read buffer of its
/// connection alive, so that frames of one byte would take far more memory than their length.
///
/// # Errors
///
/// Fails if the body is too large, too slow or incomplete, or if the budget is in use. The
/// connection must then be closed, because the rest of the body was not read.
pub async fn read_body<B>(
    body: B,
    limit: usize,
    time_limit: Duration,
    budget: &Budget,
) -> Result<Received, Failure>
where
    B: Body + Unpin,
    B::Error: std::fmt::Display,
{
    let received = timeout(time_limit, collect(body, limit, budget));
    let result = received.await.unwrap_or(Err(Failure::TooSlow));
    match &result {
        Err(Failure::TooSlow) => budget.record(Refusal::Timeout),
        Err(Failure::OverBudget) => budget.record(Refusal::Budget),
        _ => {}
    }
    result
}

async fn collect<B>(mut body: B, limit: usize, budget: &Budget) -> Result<Received, Failure>
where
    B: Body + Unpin,
    B::Error: std::fmt::Display,
{
    let declared = body.size_hint().exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    // The largest capacity that the buffer can need.
    let longest = declared.unwrap_or(limit);
    // Such a body is read up to the limit, but not kept: a client that still sends when its
    // connection is closed may lose the response.
    let is_too_long = longest > limit;
    let mut discarded_bytes = 0;
    let mut charge = budget.charge(declared.is_some_and(|length| length > SMALL_BODY_BYTES));
    let mut buffer: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| Failure::Incomplete {
            message: err.to_string(),
        })?;
        // Trailers have no meaning here.
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        if is_too_long {
            discarded_bytes += data.remaining();
            if discarded_bytes > limit {
                return Err(Failure::TooLarge { limit });
            }
            continue;
        }
        let length = buffer.len() + data.remaining();
        if length > longest {
            return Err(Failure::TooLarge { limit });
        }
        if length > buffer.capacity() {
            let doubled = (2 * buffer.capacity()).max(CAPACITY_MIN_BYTES);
            let capacity = doubled.min(longest).max(length);
            charge.grow_to(capacity)?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        while data.has_remaining() {
            let piece = data.chunk();
            buffer.extend_from_slice(piece);
            let copied = piece.len();
            data.advance(copied);
        }
    }
    if is_too_long {
        return Err(Failure::TooLarge { limit });
    }
    Ok(Received {
        bytes: buffer.into(),
        charge,
    })
}

/// Returns an upper estimate of the memory that a decoded JSON text takes, from its length, the
/// number of its strings, of its objects and arrays and of its elements.
pub fn decoded_bytes(json: &[u8], container_bytes: usize, element_bytes: usize) -> usize {
    let (mut containers, mut elements, mut quotes) = (0_usize, 0_usize, 0_usize);
    for byte in json {
        containers += usize::from(matches!(byte, b'{' | b'['));
        elements += usize::from(*byte == b',');
        quotes += usize::from(*byte == b'"');
    }
    let strings = (quotes / 2).saturating_mul(STRING_BYTES);
    let containers = containers.saturating_mul(container_bytes);
    let elements = elements.saturating_mul(element_bytes);
    json.len()
        .saturating_add(strings)
        .saturating_add(containers)
        .saturating_add(elements)
}
