//! Pool of HTTP/1 connections to upstreams and workers. A connection carries one exchange at
//! a time and is not reused after an error.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged data closes a connection (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest idle time of a connection that may carry a non-idempotent request. The connection
/// may have been lost unnoticed, and then such a request cannot be retried.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_millis(500);
/// Largest head of a response.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// An open connection without a running exchange.
#[derive(Debug)]
pub struct Connection {
    /// Sender for the next request.
    pub sender: SendRequest<Full<Bytes>>,
    driver: tokio::task::AbortHandle,
    address: SocketAddr,
    _permit: Permit,
}

// Permit for one open connection, returned when dropped.
#[derive(Debug)]
struct Permit(Arc<AtomicUsize>);

impl Permit {
    // Returns `None` if `max_open` connections are open.
    fn acquire(open: &Arc<AtomicUsize>, max_open: usize) -> Option<Self> {
        let one_more = |count: usize| (count < max_open).then_some(count + 1);
        open.fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more)
            .is_ok()
            .then(|| Self(Arc::clone(open)))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Connection {
    /// Closes the connection immediately, without waiting for a running exchange.
    pub fn close(self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

/// Pool of connections by the address of the upstream or worker.
#[derive(Debug)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    open: Arc<AtomicUsize>,
    max_open: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_max_open(usize::MAX)
    }
}

impl Pool {
    /// Creates a pool that keeps at most `max_open` connections open, in use or idle.
    pub fn with_max_open(max_open: usize) -> Self {
        Self {
            idle: Mutex::default(),
            open: Arc::default(),
            max_open,
        }
    }

    /// Returns the number of open connections, in use or idle.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Returns an idle connection that was used recently enough, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached or the maximum number of connections is in use.
    /// No request has been sent in either case.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        idempotent: bool,
    ) -> std::io::Result<Connection> {
        let age_max = if idempotent {
            IDLE_TIMEOUT
        } else {
            NON_IDEMPOTENT_IDLE_MAX
        };
        while let Some(idle) = self.pop(address) {
            let usable = idle.since.elapsed() < age_max && !idle.connection.sender.is_closed();
            if usable && idle.connection.sender.is_ready() {
                return Ok(idle.connection);
            }
            idle.connection.close();
        }
        connect(address, self.acquire_permit()?).await
    }

    // At the limit, closes idle connections to any address, the longest idle first.
    fn acquire_permit(&self) -> std::io::Result<Permit> {
        loop {
            if let Some(permit) = Permit::acquire(&self.open, self.max_open) {
                return Ok(permit);
            }
            let Some(oldest) = self.pop_oldest() else {
                let message = format!("connection limit reached: {} in use", self.max_open);
                return Err(std::io::Error::other(message));
            };
            oldest.connection.close();
        }
    }

    fn pop_oldest(&self) -> Option<Idle> {
        let mut idle = self.idle.lock().expect("pool lock");
        let lists = idle.iter().filter(|(_, list)| !list.is_empty());
        // Lists are used as stacks, so the first connection of each has been idle longest.
        let (&address, _) = lists.min_by_key(|(_, list)| list[0].since)?;
        Some(idle.get_mut(&address)?.remove(0))
    }

    fn pop(&self, address: SocketAddr) -> Option<Idle> {
        let mut idle = self.idle.lock().expect("pool lock");
        idle.get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool after a complete exchange. Closes it if `idle_max`
    /// idle connections to the same address are already pooled.
    pub fn release(&self, connection: Connection, idle_max: usize) {
        if connection.sender.is_closed() {
            connection.close();
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock");
        let list = idle.entry(connection.address).or_default();
        if list.len() >= idle_max {
            drop(idle);
            connection.close();
            return;
        }
        list.push(Idle {
            connection,
            since: Instant::now(),
        });
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().expect("pool lock");
        for list in idle.values_mut() {
            let (keep, old): (Vec<Idle>, Vec<Idle>) = list
                .drain(..)
                .partition(|i| i.since.elapsed() < IDLE_TIMEOUT);
            *list = keep;
            for idle in old {
                idle.connection.close();
            }
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

async fn connect(address: SocketAddr, permit: Permit) -> std::io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(HEAD_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
        address,
        _permit: permit,
    })
}
