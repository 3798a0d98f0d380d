//! A cell with a single task plane. Control instances replicate the state and elect a
//! leader; entry instances forward callers' queries to it.

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

use crate::core::plane::lead::{
    Answer, Bounds, Order, Permission, PermissionRequest, Query, Reply,
};
use crate::core::room::Room;
use crate::net::Mesh;

/// Interval of pings on a link: a fifth of the time without traffic after which the link
/// is closed.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a leader that holds its lease sends heartbeats to all instances.
const LEADER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Capacity of each queue of inputs to an instance's event loop.
const INBOX_MESSAGES_MAX: usize = 16_384;

/// Settings of an instance of a cell with a single task plane.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique in the cell.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address on which the instance listens for peers.
    pub listen: SocketAddr,
    /// Address that the instance advertises to its peers. It differs from the listening
    /// address behind a proxy.
    pub advertised: SocketAddr,
    /// Peer addresses of control instances to connect to first.
    pub seeds: Vec<String>,
    /// Secret that all instances of the cell share.
    pub secret: Vec<u8>,
    /// Data folder; required for a control instance.
    pub data_dir: Option<PathBuf>,
    /// Whether the cell starts for the first time, so that the seeds bootstrap its root
    /// group.
    pub bootstrap: bool,
    /// Target number of voters in the root group.
    pub voters: usize,
    /// Time without contact after which a voter is replaced.
    pub replace_after: Duration,
    /// Limits that the installation sets for the task plane.
    pub bounds: Bounds,
    /// Names of all availability zones of the installation.
    pub zone_names: Vec<String>,
    /// Room for jobs on the instance's machine.
    pub room: Room,
}

/// Client interface to the workers and the permission service.
pub trait Transport: Send + Sync + 'static {
    /// Sends an order to a worker and returns its reply.
    fn send_order(&self, order: Order) -> impl Future<Output = Reply> + Send;
    /// Sends a permission request to the permission service and returns its response.
    fn request_permission(
        &self,
        request: PermissionRequest,
    ) -> impl Future<Output = Permission> + Send;
}

/// Call from one instance to another, encoded with postcard.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Remote {
    /// Query to the leader.
    Query(Query),
    /// Permission request that the receiver is to send to the permission service.
    Permission(PermissionRequest),
}

/// Answer to a call, encoded with postcard.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum RemoteAnswer {
    /// Leader's answer to a query.
    Query(Answer),
    /// Permission service's response.
    Permission(Permission),
}

/// Query from this process with the channel for its answer.
#[derive(Debug)]
pub struct LocalQuery {
    /// Query to the leader.
    pub query: Query,
    /// Channel that receives the answer.
    pub reply: oneshot::Sender<Answer>,
}

/// Handle to the event loop of a running control instance.
#[derive(Clone, Debug)]
pub struct Handle {
    queries: mpsc::Sender<LocalQuery>,
    resign: Arc<tokio::sync::Notify>,
    mesh: Arc<Mesh>,
}

impl Handle {
    /// Adds peer addresses of control instances to connect to.
    pub fn add_peer_addresses(&self, addresses: &[String]) {
        self.mesh.add_peer_addresses(addresses);
    }

    /// Transfers leadership to another instance if this one leads. Called before a planned
    /// stop.
    pub fn resign(&self) {
        self.resign.notify_one();
    }

    /// Forwards a query to the leader. Returns [`Answer::Unknown`] if no answer arrives
    /// within `limit`, in which case the leader may have executed the query.
    pub async fn query(&self, query: Query, limit: Duration) -> Answer {
        let (reply, answer) = oneshot::channel();
        if self
            .queries
            .send(LocalQuery { query, reply })
            .await
            .is_err()
        {
            return Answer::NotLeader;
        }
        match tokio::time::timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            _ => Answer::Unknown,
        }
    }
}

/// Open links by the peer's instance id, which is new at each start of its process.
type Links = BTreeMap<crate::core::registry::InstanceId, Vec<crate::net::Link>>;
