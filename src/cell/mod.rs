//! A cell with one task plane: control instances agree on the state and one of them
//! leads, entry instances pass what callers want on to it.

mod calls;
mod control;
mod entry;
pub mod journal;
pub mod metrics;
mod storage;

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

pub use control::start as start_control;
pub use entry::{Entry, Leader, Outcome, start as start_entry};

use crate::core::plane::lead::{Answer, Bounds, Order, Permission, Query, Question, Reply};
use crate::net::Mesh;

/// Interval of pings on links, a fifth of the silence after which a link is closed.
const PING_EVERY: Duration = Duration::from_millis(500);
/// Interval at which a leader tells all instances that its lease holds.
const LEADING_EVERY: Duration = Duration::from_millis(300);
/// Inputs that wait for the control loop.
const INBOX_MAX: usize = 16_384;

/// Settings of an instance of such a cell.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique in the cell.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address to listen at for peers.
    pub peer: SocketAddr,
    /// Address under which peers reach it; another one behind a proxy.
    pub announced: SocketAddr,
    /// Peer addresses of some control instances.
    pub seeds: Vec<String>,
    /// Secret that all instances of the cell share.
    pub secret: Vec<u8>,
    /// Data folder; control instances have one.
    pub data: Option<PathBuf>,
    /// Whether the cell starts for the first time and the seeds found it.
    pub founding: bool,
    /// Voters that the root group should have.
    pub voters: usize,
    /// A voter that was silent for longer is replaced.
    pub replace_after: Duration,
    /// What the installation allows.
    pub bounds: Bounds,
}

/// How an instance reaches workers and the permission service.
pub trait Port: Send + Sync + 'static {
    /// Sends an order to a worker.
    fn order(&self, order: Order) -> impl Future<Output = Reply> + Send;
    /// Asks the permission service.
    fn ask(&self, question: Question) -> impl Future<Output = Permission> + Send;
}

/// What instances ask each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Remote {
    /// A question to the leader.
    Query(Query),
    /// A question to the permission service, to be asked by the receiver.
    Permission(Question),
}

/// What instances answer each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum RemoteAnswer {
    /// Of the leader.
    Query(Answer),
    /// Of the permission service.
    Permission(Permission),
}

/// A question of this process and where its answer goes.
#[derive(Debug)]
pub struct Asked {
    /// Question.
    pub query: Query,
    /// Receives the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// The way into a control instance's loop.
#[derive(Clone, Debug)]
pub struct Handle {
    asked: mpsc::Sender<Asked>,
    resign: Arc<tokio::sync::Notify>,
    mesh: Arc<Mesh>,
}

impl Handle {
    /// Adds peer addresses of control instances.
    pub fn learn(&self, addresses: &[String]) {
        self.mesh.learn(addresses);
    }

    /// Hands leadership over, if this instance leads, before a planned stop.
    pub fn resign(&self) {
        self.resign.notify_one();
    }

    /// Asks the leader, through this instance. Without an answer in time, what was
    /// asked may have been done.
    pub async fn ask(&self, query: Query, limit: Duration) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self.asked.send(Asked { query, reply }).await.is_err() {
            return Answer::NotLeader;
        }
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown,
        }
    }
}

/// Peers by the run of their process.
type Links = BTreeMap<crate::core::registry::InstanceId, Vec<crate::net::Link>>;
