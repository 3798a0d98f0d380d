//! Entry instance: forwards callers' queries to the leader and sends permission requests
//! on the leader's behalf. It stores nothing.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, interval, timeout_at};
use tokio_util::sync::CancellationToken;

use super::calls::{self, Calls};
use super::journal::{Journal, Line};
use super::{INBOX_MESSAGES_MAX, Links, PING_INTERVAL, Remote, RemoteAnswer, Settings, Transport};
use crate::clock::Clock;
use crate::core::control::{Identity, Peer};
use crate::core::plane::codec;
use crate::core::plane::lead::{Answer, Query, Refusal};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::error::Result;
use crate::net::{Link, LinkEvent, Mesh, Queued};
use crate::wire::{Body, Ping};

/// Age of the latest heartbeat above which the leader is considered lost: four heartbeat
/// intervals.
const LEADER_AGE_MAX: Duration = Duration::from_millis(1_200);
/// Longest wait of a query for a leader: the longest time that an election takes. A query
/// that waits is handled as soon as there is a leader, which is earlier than a caller that is
/// refused may return.
const LEADER_WAIT: Duration = Duration::from_millis(1_000);
/// Time without a leader after which queries are refused at once, as it is not due to an
/// election.
const ELECTION_WINDOW: Duration = Duration::from_millis(2_200);
/// Time after which an unanswered query is sent again, since the leader may be suspended.
/// It is about thirty times the duration of a commit and as long as an election.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry delay, in milliseconds, given to callers when there is no leader: about the
/// duration of an election.
const NO_LEADER_RETRY_MS: u64 = 1_000;
/// Pause between attempts to query the leader.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(30);

/// Leader as known to an entry instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leader {
    /// Instance id of the leader; absent if no linked instance is known to lead.
    pub instance: Option<InstanceId>,
    /// Latest term known to have a leader.
    pub term: u64,
    /// Time of the latest heartbeat.
    pub heard_at: Moment,
}

/// Result of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Leader's answer, or a refusal if there was none.
    pub answer: Answer,
    /// Number of times the query was sent to a leader.
    pub attempts: u32,
    /// Term of the latest known leader at the last attempt.
    pub term: u64,
    /// Time since the leader's latest heartbeat.
    pub leader_age: Duration,
}

/// State that the event loop and the callers of queries share.
#[derive(Debug, Default)]
struct Shared {
    links: Links,
    peers: BTreeMap<InstanceId, Peer>,
    calls: Calls,
}

/// Handle to a running entry instance.
#[derive(Clone, Debug)]
pub struct Entry {
    shared: Arc<Mutex<Shared>>,
    leader: watch::Receiver<Leader>,
    clock: Clock,
    started_at: Moment,
    mesh: Arc<Mesh>,
}

/// Starts an entry instance. It runs until the token is cancelled.
///
/// # Errors
///
/// Fails if the peer address cannot be bound.
pub async fn start<P: Transport>(
    settings: Settings,
    transport: Arc<P>,
    journal: Journal,
    token: CancellationToken,
) -> Result<Entry> {
    let listener = TcpListener::bind(settings.listen).await?;
    let id = InstanceId(rand::random::<u64>().max(1));
    let identity = Identity {
        id,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        // Peers do not dial an instance without an address.
        address: String::new(),
        replica: id.0,
        durable: false,
        founders: Vec::new(),
        replace_after: settings.replace_after,
        room_bytes: 0,
    };
    let (events, inbox) = mpsc::channel(INBOX_MESSAGES_MAX);
    let mesh = Mesh::new(
        identity,
        settings.secret.clone(),
        &settings.seeds,
        events,
        token.child_token(),
    );
    tokio::spawn(Arc::clone(&mesh).run(listener));
    let (leader, leader_updates) = watch::channel(Leader::default());
    let clock = Clock::default();
    let entry = Entry {
        shared: Arc::default(),
        leader: leader_updates,
        clock,
        started_at: clock.now(),
        mesh: Arc::clone(&mesh),
    };
    let event_loop = EventLoop {
        shared: Arc::clone(&entry.shared),
        leader,
        clock: entry.clock,
        transport,
        journal,
        mesh,
        token,
        had_leader: false,
    };
    tokio::spawn(event_loop.run(inbox));
    Ok(entry)
}

impl Entry {
    /// Adds peer addresses of control instances to connect to.
    pub fn add_peer_addresses(&self, addresses: &[String]) {
        self.mesh.add_peer_addresses(addresses);
    }

    /// Returns the leader as known now.
    pub fn leader(&self) -> Leader {
        *self.leader.borrow()
    }

    /// Returns whether a leader is known and its latest heartbeat is recent enough to send
    /// queries to it.
    pub fn is_ready(&self) -> bool {
        is_fresh(&self.leader(), self.clock.now())
    }

    /// Sends a query to the leader and retries until it answers or the deadline passes.
    /// The query may be sent more than once, so it must be idempotent.
    ///
    /// Returns [`Answer::Unknown`] if an attempt was sent and its result is not known.
    pub async fn query(&self, query: Query, deadline: Instant) -> Outcome {
        let mut attempts = 0;
        let mut result_unknown = false;
        let mut latest: Option<Attempt> = None;
        loop {
            let leader = self.await_leader(deadline).await;
            let outcome = |answer, attempts| Outcome {
                answer,
                attempts,
                term: leader.term,
                leader_age: self.clock.now().since(leader.heard_at),
            };
            let failure = if result_unknown {
                Answer::Unknown
            } else {
                no_leader()
            };
            // On a slow link the earlier copy may still be queued: another would not arrive
            // earlier, and would take its memory once more.
            let is_queued = |attempt: &Attempt| {
                leader.instance == Some(attempt.to) && attempt.queued.is_queued()
            };
            if !latest.as_ref().is_some_and(is_queued) {
                match leader.instance.map(|id| self.send_query(id, &query)) {
                    Some(Sending::Sent(attempt)) => {
                        latest = Some(attempt);
                        attempts += 1;
                    }
                    // The answer to the earlier copy may still arrive.
                    Some(Sending::Full) if latest.is_some() => {}
                    Some(Sending::Full) if !result_unknown => {
                        return outcome(link_full(), attempts);
                    }
                    _ => return outcome(failure, attempts),
                }
            }
            let Some(attempt) = &mut latest else {
                return outcome(failure, attempts);
            };
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let answered = tokio::select! {
                answered = timeout_at(attempt_deadline, &mut attempt.answer) => answered,
                // A replaced leader may never answer, so retry with the new one at once.
                () = self.await_term_after(leader.term) => {
                    result_unknown = true;
                    continue;
                }
            };
            if answered.is_ok() {
                latest = None;
            }
            match answered {
                Ok(Ok(RemoteAnswer::Query(Answer::NotLeader))) => {}
                Ok(Ok(RemoteAnswer::Query(Answer::Unknown))) => result_unknown = true,
                Ok(Ok(RemoteAnswer::Query(answer))) => return outcome(answer, attempts),
                _ => result_unknown = true,
            }
            if Instant::now() + ATTEMPT_PAUSE >= deadline {
                let failure = if result_unknown {
                    Answer::Unknown
                } else {
                    no_leader()
                };
                return outcome(failure, attempts);
            }
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
    }

    fn send_query(&self, to: InstanceId, query: &Query) -> Sending {
        let mut shared = self.shared.lock().expect("shared lock");
        let Some(link) = shared
            .links
            .get(&to)
            .and_then(|links| links.last())
            .cloned()
        else {
            return Sending::NoLink;
        };
        let remote = Remote::Query(query.clone());
        match shared.calls.send_query(to, &link, &remote) {
            Some((answer, queued)) => Sending::Sent(Attempt { to, answer, queued }),
            None => Sending::Full,
        }
    }

    async fn await_term_after(&self, term: u64) {
        let mut leader_updates = self.leader.clone();
        // The sender is dropped only when the instance stops. The caller's time-out ends the
        // wait then.
        if leader_updates
            .wait_for(|leader| leader.term > term)
            .await
            .is_err()
        {
            std::future::pending::<()>().await;
        }
    }

    async fn await_leader(&self, deadline: Instant) -> Leader {
        let mut leader_updates = self.leader.clone();
        let lost_at = leader_updates.borrow().heard_at.max(self.started_at);
        let since_lost = self.clock.now().since(lost_at);
        let wait = ELECTION_WINDOW.saturating_sub(since_lost).min(LEADER_WAIT);
        let wait_deadline = deadline.min(Instant::now() + wait);
        loop {
            let leader = *leader_updates.borrow_and_update();
            if is_fresh(&leader, self.clock.now()) {
                return leader;
            }
            let changed = timeout_at(wait_deadline, leader_updates.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return Leader {
                    instance: None,
                    ..leader
                };
            }
        }
    }
}

/// Copy of a query that was queued.
#[derive(Debug)]
struct Attempt {
    to: InstanceId,
    answer: oneshot::Receiver<RemoteAnswer>,
    queued: Queued,
}

/// Result of sending a query.
#[derive(Debug)]
enum Sending {
    Sent(Attempt),
    /// There is no link to the leader.
    NoLink,
    /// The link has too many bytes of queries queued.
    Full,
}

const fn link_full() -> Answer {
    Answer::Unavailable {
        retry_ms: NO_LEADER_RETRY_MS,
        why: Refusal::Overloaded,
    }
}

const fn no_leader() -> Answer {
    Answer::Unavailable {
        retry_ms: NO_LEADER_RETRY_MS,
        why: Refusal::NoLeader,
    }
}

fn is_fresh(leader: &Leader, now: Moment) -> bool {
    leader.instance.is_some() && now.since(leader.heard_at) <= LEADER_AGE_MAX
}

/// Event loop of an entry instance: it handles links and messages and follows the leader.
struct EventLoop<P> {
    shared: Arc<Mutex<Shared>>,
    leader: watch::Sender<Leader>,
    clock: Clock,
    transport: Arc<P>,
    journal: Journal,
    mesh: Arc<Mesh>,
    token: CancellationToken,
    had_leader: bool,
}

impl<P: Transport> EventLoop<P> {
    async fn run(mut self, mut inbox: mpsc::Receiver<LinkEvent>) {
        let mut pings = interval(PING_INTERVAL);
        loop {
            tokio::select! {
                () = self.token.cancelled() => return,
                Some(event) = inbox.recv() => self.handle_link_event(event),
                _ = pings.tick() => self.send_pings(),
            }
        }
    }

    fn send_pings(&mut self) {
        let now = self.clock.now();
        let mut shared = self.shared.lock().expect("shared lock");
        let ping = Ping {
            sent_at: now.0,
            ..Ping::default()
        };
        // Pings go out on every link: if both peers dialed, each side may use a different
        // link for its messages, and a silent link is closed.
        for link in shared.links.values().flatten() {
            link.send(Body::Ping(ping.clone()));
        }
        let Shared { links, calls, .. } = &mut *shared;
        calls.remove_abandoned(links);
        drop(shared);
        let leader = *self.leader.borrow();
        let has_leader = is_fresh(&leader, now);
        if self.had_leader && !has_leader {
            let age_ms = now.since(leader.heard_at).as_millis() as u64;
            self.journal.write(&Line::LeaderGone { age_ms });
        }
        self.had_leader = has_leader;
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer, link) => {
                self.journal.write(&Line::PeerUp {
                    peer: peer.name.clone(),
                    zone: peer.zone.clone(),
                });
                let mut shared = self.shared.lock().expect("shared lock");
                shared.links.entry(peer.id).or_default().push(link);
                shared.peers.insert(peer.id, peer);
            }
            LinkEvent::Down(id, number) => self.handle_link_down(id, number),
            LinkEvent::Message(from, body) => self.handle_message(from, body),
            LinkEvent::Refused(error) => self.journal.write(&Line::PeerRefused { error }),
        }
    }

    fn handle_link_down(&mut self, id: InstanceId, number: u64) {
        let mut shared = self.shared.lock().expect("shared lock");
        let Some(links) = shared.links.get_mut(&id) else {
            return;
        };
        links.retain(|link| link.number != number);
        if !links.is_empty() {
            return;
        }
        shared.links.remove(&id);
        let Shared { links, calls, .. } = &mut *shared;
        calls.remove_abandoned(links);
        if let Some(peer) = shared.peers.remove(&id) {
            let peer = peer.name;
            self.journal.write(&Line::PeerDown { peer });
        }
        drop(shared);
        self.leader.send_if_modified(|leader| {
            let was_leader = leader.instance == Some(id);
            if was_leader {
                leader.instance = None;
            }
            was_leader
        });
    }

    fn handle_message(&mut self, from: InstanceId, body: Body) {
        match body {
            Body::Ping(ping) => self.mesh.add_peer_addresses(&ping.peers),
            Body::LeaderHeartbeat(heartbeat) => self.handle_leader_heartbeat(from, heartbeat.term),
            Body::Call(call) => match codec::decode::<Remote>(&call.body) {
                Ok(Remote::Permission(request)) => {
                    let shared = self.shared.lock().expect("shared lock");
                    let link: Option<Link> =
                        shared.links.get(&from).and_then(|l| l.last()).cloned();
                    drop(shared);
                    let (transport, id) = (Arc::clone(&self.transport), call.id);
                    tokio::spawn(async move {
                        let answer =
                            RemoteAnswer::Permission(transport.request_permission(request).await);
                        if let Some(link) = link {
                            calls::send_answer(&link, id, &answer);
                        }
                    });
                }
                // Entry instances do not answer queries.
                Ok(Remote::Query(_)) => {}
                Err(err) => self.log_unreadable("call from a peer", &err),
            },
            Body::Return(response) => {
                let mut shared = self.shared.lock().expect("shared lock");
                if let Err(err) = shared.calls.complete(from, &response) {
                    self.log_unreadable("answer from a peer", &err);
                }
            }
            _ => {}
        }
    }

    fn log_unreadable(&self, what: &'static str, err: &postcard::Error) {
        let error = err.to_string();
        self.journal.write(&Line::Unreadable { what, error });
    }

    fn handle_leader_heartbeat(&mut self, from: InstanceId, term: u64) {
        let known = *self.leader.borrow();
        if term < known.term {
            return;
        }
        if known.instance != Some(from) || known.term != term {
            let shared = self.shared.lock().expect("shared lock");
            if let Some(peer) = shared.peers.get(&from) {
                let leader = peer.name.clone();
                self.journal.write(&Line::LeaderSeen { leader, term });
            }
        }
        self.had_leader = true;
        self.leader.send_replace(Leader {
            instance: Some(from),
            term,
            heard_at: self.clock.now(),
        });
    }
}
