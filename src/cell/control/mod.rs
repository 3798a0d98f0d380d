//! Event loop of a control instance: it drives the replica, the leader's decisions and
//! the disk thread.

mod links;
mod load;
mod log;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::cell::calls::{self, Calls};
use crate::cell::journal::{Journal, Line};
use crate::cell::metrics::Metrics;
use crate::cell::storage::{self, Completion, Request};
use crate::cell::{
    Handle, INBOX_MESSAGES_MAX, LEADER_HEARTBEAT_INTERVAL, Links, LocalQuery, PING_INTERVAL,
    Remote, RemoteAnswer, Settings, Transport,
};
use crate::clock::{self, Clock};
use crate::core::consensus::Replica;
use crate::core::control::{Identity, Peer};
use crate::core::plane::codec;
use crate::core::plane::lead::{
    Answer, Call, Effect, Lead, Note, Now, Order, Permission, PermissionRequest, Query, Reply,
};
use crate::core::plane::state::{Command, State};
use crate::core::registry::InstanceId;
use crate::core::room::{Room, Shortage};
use crate::core::roster::{self, Constraints, Location};
use crate::core::time::Moment;
use crate::error::Result;
use crate::net::{LinkEvent, Mesh};
use crate::store::{Folder, Wal};
use crate::wire::{Body, LeaderHeartbeat, Ping, Voter};
use load::{DELAY_TIMER_INTERVAL, Load};

/// Longest wait of the loop on a leader: the shortest interval of the leader's timers.
const LEADER_LOOP_WAIT_MAX: Duration = Duration::from_millis(20);
/// Longest wait of the loop on any other instance.
const IDLE_LOOP_WAIT_MAX: Duration = Duration::from_millis(50);
/// Largest number of inputs that share one write of the log.
const BATCH_INPUTS_MAX: usize = 512;
/// A longer gap between iterations of the loop is logged as a suspension of the process.
const SUSPENSION_MIN: Duration = Duration::from_millis(1_000);
/// Interval at which the leader checks whether voters need to be replaced.
const VOTER_REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// Log size at which the log is compacted: a tenth of the smallest supported disk.
const COMPACT_LOG_BYTES: usize = 12 << 20;
/// Number of log entries at which the log is compacted.
const COMPACT_LOG_ENTRIES: usize = 40_000;

/// Input from a spawned task. The numbers of a reply or permission are the term in which the
/// request was made and the number of the order or permission request.
#[derive(Debug)]
enum TaskResult {
    /// A timer of the leader of this term that expired at this time. Its delay is that of any
    /// other input.
    DelayTimer(u64, Moment),
    Reply(u64, u64, Reply),
    Permission(u64, u64, Permission),
}

/// Sender of a query, which receives the answer.
#[derive(Debug)]
enum Origin {
    /// A peer, and the peer's id of the call.
    Peer(InstanceId, u64),
    /// A caller in this process.
    Local(oneshot::Sender<Answer>),
}

/// Receivers of the event loop's inputs.
struct Inboxes {
    events: mpsc::Receiver<LinkEvent>,
    queries: mpsc::Receiver<LocalQuery>,
    results: mpsc::Receiver<TaskResult>,
    completions: mpsc::Receiver<Completion>,
}

/// Event loop of a control instance and its state.
struct Control<P> {
    settings: Settings,
    identity: Identity,
    clock: Clock,
    transport: Arc<P>,
    journal: Journal,
    metrics: Metrics,
    mesh: Arc<Mesh>,
    replica: Replica,
    state: State,
    /// Term and state of the leader role while this instance has it.
    lead: Option<(u64, Lead)>,
    /// Load of the event loop while this instance leads.
    load: Load,
    peers: BTreeMap<InstanceId, Peer>,
    links: Links,
    calls: Calls,
    origins: HashMap<Call, Origin>,
    next_call: u64,
    /// Answers to send once the log entry with this index is applied.
    deferred_answers: BTreeMap<u64, Vec<(Call, Answer)>>,
    /// Time at which the log entry with this index was proposed.
    proposed_at: BTreeMap<u64, Moment>,
    disk_requests: std::sync::mpsc::Sender<Request>,
    /// Whether a write of the replica's changes is in progress.
    storing: bool,
    /// Whether a compaction of the log is in progress.
    compacting: bool,
    results: mpsc::Sender<TaskResult>,
    next_ping_at: Moment,
    next_leader_heartbeat_at: Moment,
    next_voter_review_at: Moment,
    /// Replica that was last logged as the leader.
    logged_leader: Option<u64>,
    resign: Arc<Notify>,
    token: CancellationToken,
}

/// Starts a control instance. It runs until the token is cancelled.
///
/// # Errors
///
/// Fails if the peer address cannot be bound or the data folder cannot be used.
pub async fn start<P: Transport>(
    settings: Settings,
    transport: Arc<P>,
    journal: Journal,
    metrics: Metrics,
    token: CancellationToken,
) -> Result<Handle> {
    let listener = TcpListener::bind(settings.listen).await?;
    let clock = Clock::default();
    let path = settings.data_dir.clone().unwrap_or_default();
    let (wal, stored) = Wal::open(Folder::open(&path)?)?;
    let id = InstanceId(rand::random::<u64>().max(1));
    let identity = Identity {
        id,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.advertised.to_string(),
        replica: wal.replica(),
        durable: true,
        founders: settings.seeds.clone(),
        replace_after: settings.replace_after,
        room_bytes: settings.room.bytes as u64,
    };
    let mut state = State::default();
    if !stored.snapshot.data.is_empty() {
        state = decode_state(&stored.snapshot.data)?;
        state.applied = stored.snapshot.index;
    }
    let now = clock.now();
    let replica = Replica::new(
        identity.replica,
        &identity.name,
        true,
        stored,
        now,
        rand::random(),
    );
    let (events, events_in) = mpsc::channel(INBOX_MESSAGES_MAX);
    let (queries, queries_in) = mpsc::channel(INBOX_MESSAGES_MAX);
    let (results, results_in) = mpsc::channel(INBOX_MESSAGES_MAX);
    let (completions, completions_in) = mpsc::channel(8);
    let (disk_requests, disk_requests_in) = std::sync::mpsc::channel();
    let mesh = Mesh::new(
        identity.clone(),
        settings.secret.clone(),
        &settings.seeds,
        events,
        token.child_token(),
    );
    let disk_journal = journal.clone();
    std::thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || storage::run(wal, &disk_requests_in, &completions, &disk_journal))?;
    tokio::spawn(Arc::clone(&mesh).run(listener));
    let resign = Arc::new(Notify::new());
    let handle = Handle {
        queries,
        resign: Arc::clone(&resign),
        mesh: Arc::clone(&mesh),
    };
    let control = Control {
        settings,
        identity,
        clock,
        transport,
        journal,
        metrics,
        mesh,
        replica,
        state,
        lead: None,
        load: Load::default(),
        peers: BTreeMap::new(),
        links: Links::new(),
        calls: Calls::default(),
        origins: HashMap::new(),
        next_call: 0,
        deferred_answers: BTreeMap::new(),
        proposed_at: BTreeMap::new(),
        disk_requests,
        storing: false,
        compacting: false,
        results,
        next_ping_at: Moment::ZERO,
        next_leader_heartbeat_at: Moment::ZERO,
        next_voter_review_at: Moment::ZERO,
        logged_leader: None,
        resign,
        token,
    };
    let inboxes = Inboxes {
        events: events_in,
        queries: queries_in,
        results: results_in,
        completions: completions_in,
    };
    tokio::spawn(control.run(inboxes));
    Ok(handle)
}

fn decode_state(data: &[u8]) -> Result<State> {
    codec::decode_state(data).map_err(|err| {
        let message = format!("state in the stored snapshot cannot be decoded: {err}");
        crate::error::Error::new(crate::error::Kind::Internal, message)
    })
}

impl<P: Transport> Control<P> {
    async fn run(mut self, mut inboxes: Inboxes) {
        let mut last = self.clock.now();
        let mut busy = Duration::ZERO;
        loop {
            let wait = self.loop_wait();
            let resign = Arc::clone(&self.resign);
            tokio::select! {
                biased;
                () = self.token.cancelled() => return,
                () = resign.notified() => self.replica.resign(self.clock.now()),
                Some(completion) = inboxes.completions.recv() => self.handle_disk_result(completion),
                Some(event) = inboxes.events.recv() => self.handle_link_event(event),
                Some(result) = inboxes.results.recv() => self.handle_task_result(result),
                Some(query) = inboxes.queries.recv() => self.handle_local_query(query),
                () = sleep(wait) => {}
            }
            let now = self.clock.now();
            let gap = now.since(last);
            if gap > SUSPENSION_MIN {
                self.journal.write(&Line::Paused {
                    ms: gap.as_millis() as u64,
                    busy_ms: busy.as_millis() as u64,
                });
            }
            last = now;
            self.handle_queued_inputs(&mut inboxes);
            self.tick();
            self.process_ready();
            // Planning follows the commands just applied, and its proposal is sent at once.
            if self.plan() {
                self.process_ready();
            }
            let end = self.clock.now();
            busy = end.since(last);
            self.load.record_iteration(busy);
            if self.lead.is_some()
                && let Some(line) = self.load.take_line(end)
            {
                self.journal.write(&line);
            }
        }
    }

    fn handle_queued_inputs(&mut self, inboxes: &mut Inboxes) {
        for _ in 0..BATCH_INPUTS_MAX {
            if let Ok(event) = inboxes.events.try_recv() {
                self.handle_link_event(event);
            } else if let Ok(result) = inboxes.results.try_recv() {
                self.handle_task_result(result);
            } else if let Ok(query) = inboxes.queries.try_recv() {
                self.handle_local_query(query);
            } else {
                return;
            }
        }
    }

    fn loop_wait(&self) -> Duration {
        let Some((_, lead)) = &self.lead else {
            return IDLE_LOOP_WAIT_MAX;
        };
        let now = self.clock.now();
        let wake = lead.wake_at();
        Duration::from_micros(wake.0.saturating_sub(now.0)).min(LEADER_LOOP_WAIT_MAX)
    }

    fn now(&self) -> Now {
        Now {
            at: self.clock.now(),
            wall_ms: clock::wall_millis(),
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.replica.tick(now);
        self.bootstrap(now);
        self.send_pings(now);
        self.send_leader_heartbeats(now);
        self.review_voters(now);
        self.update_leadership(now);
        self.tick_lead();
    }

    // Has the leader decide, if this instance leads, and carries out what it decided.
    fn decide(&mut self, decide: impl FnOnce(&mut Lead, Now, &State) -> Vec<Effect>) {
        let now = self.now();
        let Some((_, lead)) = &mut self.lead else {
            return;
        };
        let effects = decide(lead, now, &self.state);
        self.execute(effects);
    }

    fn tick_lead(&mut self) {
        let now = self.now();
        let Some((_, lead)) = &mut self.lead else {
            return;
        };
        let Some(effects) = lead.tick_if_due(now, &self.state) else {
            return;
        };
        self.execute(effects);
        self.load.record_tick(self.clock.now().since(now.at));
    }

    // Plans a round if one is due. Returns whether it did.
    fn plan(&mut self) -> bool {
        let now = self.now();
        let Some((_, lead)) = &mut self.lead else {
            return false;
        };
        let Some(effects) = lead.plan_if_due(now, &self.state) else {
            return false;
        };
        let end = self.clock.now();
        lead.end_round(end);
        let tally = lead.tally();
        let took = end.since(now.at);
        self.load.record_round(took, tally);
        Metrics::observe(&self.metrics.planning_seconds, took);
        self.execute(effects);
        true
    }

    // Bootstraps a new cell. Only the seed with the lowest address does so, and only once
    // it is linked to all other seeds and none of them belongs to a group yet.
    fn bootstrap(&mut self, now: Moment) {
        if !self.settings.bootstrap || !self.replica.is_uninitialized() {
            return;
        }
        let mut founders = self.settings.seeds.clone();
        founders.sort_unstable();
        if founders.first() != Some(&self.identity.address) {
            return;
        }
        let mut voters = vec![Voter {
            replica: self.identity.replica,
            name: self.identity.name.clone(),
        }];
        for address in &founders[1..] {
            let found = self.peers.values().find(|p| p.address == *address);
            let Some(peer) = found.filter(|p| p.durable && !p.founded) else {
                return;
            };
            voters.push(Voter {
                replica: peer.replica,
                name: peer.name.clone(),
            });
        }
        self.replica.found(now, voters);
    }

    fn send_pings(&mut self, now: Moment) {
        if now < self.next_ping_at {
            return;
        }
        self.next_ping_at = now + PING_INTERVAL;
        let peers: Vec<String> = self
            .peers
            .values()
            .filter(|p| p.durable)
            .map(|p| p.address.clone())
            .collect();
        let ping = Ping {
            sent_at: now.0,
            peers,
            ..Ping::default()
        };
        // Pings go out on every link: if both peers dialed, each side may use a different
        // link for its messages, and a silent link is closed.
        for link in self.links.values().flatten() {
            link.send(Body::Ping(ping.clone()));
        }
        self.calls.remove_abandoned(&self.links);
        let dropped = self.journal.dropped();
        self.metrics.lines_dropped.set(dropped as i64);
    }

    fn send_leader_heartbeats(&mut self, now: Moment) {
        if now < self.next_leader_heartbeat_at || !self.is_leading(now) {
            return;
        }
        self.next_leader_heartbeat_at = now + LEADER_HEARTBEAT_INTERVAL;
        let term = self.replica.term();
        for link in self.links.values().filter_map(|links| links.last()) {
            link.send(Body::LeaderHeartbeat(LeaderHeartbeat { term }));
        }
        let metrics = &self.metrics;
        metrics.config_version.set(self.state.config.version as i64);
        metrics.open_jobs.set(self.state.open.len() as i64);
        let held = self.state.holdings.total().bytes;
        metrics.job_bytes.set(held as i64);
        let workers = self.state.live_workers().count();
        metrics.workers.set(workers as i64);
        let evacuated = self.state.evacuated.len();
        metrics.evacuated_zones.set(evacuated as i64);
        let interfering = self.lead.as_ref().map(|(_, lead)| lead.interfering_pairs());
        metrics
            .interfering_pairs
            .set(interfering.unwrap_or(0) as i64);
    }

    fn review_voters(&mut self, now: Moment) {
        if now < self.next_voter_review_at || !self.is_leading(now) {
            return;
        }
        self.next_voter_review_at = now + VOTER_REVIEW_INTERVAL;
        let location_of = |peer: &Peer| Location {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
        };
        let mut locations: BTreeMap<u64, Location> = self
            .peers
            .values()
            .filter(|p| p.durable)
            .map(|p| (p.replica, location_of(p)))
            .collect();
        let own = Location {
            name: self.identity.name.clone(),
            zone: self.identity.zone.clone(),
        };
        locations.insert(self.identity.replica, own);
        let constraints = Constraints {
            voters: self.settings.voters,
            replace_after: self.settings.replace_after,
        };
        if let Some(next) = roster::next_voters(now, &self.replica, &locations, constraints) {
            // Rejected while another membership change is in progress; retried at the next
            // review.
            let _ = self.replica.propose_voters(next);
        }
    }

    // Returns whether this instance leads and holds a valid lease.
    fn is_leading(&self, now: Moment) -> bool {
        self.lead.is_some() && self.replica.holds_lease(now)
    }

    fn update_leadership(&mut self, now: Moment) {
        let term = self.replica.term();
        let lost = match &self.lead {
            Some((led_term, _)) => *led_term != term || !self.replica.is_leader(),
            None => false,
        };
        if lost {
            self.stop_leading();
        }
        if self.lead.is_none() && self.replica.holds_lease(now) && !self.has_unapplied_entries() {
            self.start_leading(term);
        }
        let leader = self.replica.leader();
        if leader != self.logged_leader {
            self.logged_leader = leader;
            let instance = leader.and_then(|id| self.instance_of(id));
            if let Some(peer) = instance.and_then(|id| self.peers.get(&id)) {
                let leader = peer.name.clone();
                self.journal.write(&Line::LeaderSeen { leader, term });
            }
        }
    }

    fn has_unapplied_entries(&self) -> bool {
        self.state.applied < self.replica.commit()
    }

    fn start_leading(&mut self, term: u64) {
        let applied = self.state.applied;
        self.journal.write(&Line::Led { term, applied });
        self.metrics.is_leader.set(1);
        let bounds = self.settings.bounds;
        let mut lead = Lead::new(self.now(), term, bounds, &self.state);
        lead.set_requesters(&self.requesters());
        lead.set_room(self.room());
        lead.set_zone_names(&self.settings.zone_names);
        self.lead = Some((term, lead));
        self.load = Load::starting(self.clock.now());
        self.next_leader_heartbeat_at = Moment::ZERO;
        self.start_delay_timer(term);
    }

    fn stop_leading(&mut self) {
        let Some((term, _)) = self.lead.take() else {
            return;
        };
        self.journal.write(&Line::LeadLost { term });
        self.metrics.is_leader.set(0);
        self.metrics.interfering_pairs.set(0);
        self.proposed_at.clear();
        for (call, _) in std::mem::take(&mut self.deferred_answers)
            .into_values()
            .flatten()
        {
            self.send_answer(call, Answer::Unknown);
        }
    }

    // Returns the room for jobs on the smallest machine of a control instance.
    fn room(&self) -> Room {
        let peers = self.peers.values().filter(|peer| peer.durable);
        self.settings
            .room
            .smallest(peers.map(|peer| peer.room_bytes))
    }

    fn requesters(&self) -> Vec<InstanceId> {
        self.links
            .keys()
            .copied()
            .chain([self.identity.id])
            .collect()
    }

    fn instance_of(&self, replica: u64) -> Option<InstanceId> {
        let mut peers = self.peers.values();
        peers.find(|p| p.replica == replica).map(|p| p.id)
    }

    fn handle_query(&mut self, call: Call, query: Query) {
        let now = self.now();
        if !self.is_leading(now.at) {
            self.send_answer(call, Answer::NotLeader);
            return;
        }
        self.load.record_query();
        self.decide(|lead, now, state| lead.handle_query(now, state, call, query));
    }

    fn send_answer(&mut self, call: Call, answer: Answer) {
        match self.origins.remove(&call) {
            Some(Origin::Peer(peer, id)) => {
                if let Some(link) = self.link(peer) {
                    calls::send_answer(link, id, &RemoteAnswer::Query(answer));
                }
            }
            // Sending fails if the caller no longer waits.
            Some(Origin::Local(reply)) => drop(reply.send(answer)),
            None => {}
        }
    }

    fn handle_task_result(&mut self, result: TaskResult) {
        self.load.record_input();
        let led_term = self.lead.as_ref().map(|(term, _)| *term);
        match result {
            TaskResult::DelayTimer(term, expired_at) if led_term == Some(term) => {
                self.record_delay(expired_at);
                self.start_delay_timer(term);
            }
            TaskResult::Reply(term, number, reply) if led_term == Some(term) => {
                self.load.record_reply();
                self.decide(|lead, now, state| lead.handle_reply(now, state, number, reply));
            }
            TaskResult::Permission(term, number, permission) if led_term == Some(term) => {
                self.load.record_permission();
                self.decide(|lead, now, state| {
                    lead.handle_permission(now, state, number, permission)
                });
            }
            // The request was made in an earlier term of this instance.
            TaskResult::DelayTimer(..) | TaskResult::Reply(..) | TaskResult::Permission(..) => {}
        }
    }

    // Starts a timer whose expiry takes the same way as a worker's reply.
    fn start_delay_timer(&self, term: u64) {
        let expires_at = self.clock.now() + DELAY_TIMER_INTERVAL;
        let results = self.results.clone();
        tokio::spawn(async move {
            sleep(DELAY_TIMER_INTERVAL).await;
            // Sending fails during shutdown, when the loop ends before its tasks.
            let _ = results.send(TaskResult::DelayTimer(term, expires_at)).await;
        });
    }

    fn record_delay(&mut self, expired_at: Moment) {
        let now = self.now();
        if let Some((_, lead)) = &mut self.lead {
            lead.handle_delay_timer(now, expired_at);
        }
        let delay = now.at.since(expired_at);
        self.load.record_delay(delay);
        Metrics::observe(&self.metrics.leader_delay_seconds, delay);
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Propose(command, answers) => self.propose(&command, answers),
                Effect::Answer(call, answer) => self.send_answer(call, answer),
                Effect::Order(order) => self.send_order(order),
                Effect::Ask(requester, request) => self.send_permission_request(requester, request),
                Effect::Note(note) => self.record_note(&note),
            }
        }
    }

    fn record_note(&self, note: &Note) {
        match note {
            Note::Ended { how, .. } => Metrics::count(&self.metrics.run_ends, how.to_string()),
            Note::Placed { waited_ms, .. } => {
                let waited = Duration::from_millis(*waited_ms);
                Metrics::observe(&self.metrics.placement_wait_seconds, waited);
            }
            Note::Permission { granted, .. } => {
                let outcome = if granted.is_some() {
                    "answered"
                } else {
                    "failed"
                };
                Metrics::count(&self.metrics.permission_requests, outcome);
            }
            Note::NoRoom { shortage, .. } => {
                let outcome = match shortage {
                    Shortage::Account => "account",
                    Shortage::Total => "total",
                };
                Metrics::count(&self.metrics.jobs_without_room, outcome);
            }
            _ => {}
        }
        self.journal.note(note);
    }

    fn propose(&mut self, command: &Command, answers: Vec<(Call, Answer)>) {
        match self.replica.propose(codec::encode(command)) {
            Ok(index) => {
                self.proposed_at.insert(index, self.clock.now());
                self.deferred_answers.insert(index, answers);
            }
            Err(_) => {
                for (call, _) in answers {
                    self.send_answer(call, Answer::NotLeader);
                }
            }
        }
    }

    fn send_order(&mut self, order: Order) {
        let Some((term, _)) = &self.lead else {
            return;
        };
        let (term, number, results) = (*term, order.number, self.results.clone());
        let holds_lease = self.replica.holds_lease(self.clock.now());
        let transport = Arc::clone(&self.transport);
        tokio::spawn(async move {
            let reply = if holds_lease {
                transport.send_order(order).await
            } else {
                Reply::NotSent
            };
            // Sending fails during shutdown, when the loop ends before its tasks.
            let _ = results.send(TaskResult::Reply(term, number, reply)).await;
        });
    }

    fn send_permission_request(&mut self, requester: InstanceId, request: PermissionRequest) {
        let Some((term, _)) = &self.lead else {
            return;
        };
        let (term, number, results) = (*term, request.number, self.results.clone());
        if requester == self.identity.id {
            let transport = Arc::clone(&self.transport);
            tokio::spawn(async move {
                let permission = transport.request_permission(request).await;
                let _ = results
                    .send(TaskResult::Permission(term, number, permission))
                    .await;
            });
            return;
        }
        let link = self.link(requester).cloned();
        let remote = Remote::Permission(request);
        let answer = link.map(|link| self.calls.send(requester, &link, &remote));
        tokio::spawn(async move {
            let permission = match answer {
                Some(answer) => match answer.await {
                    Ok(RemoteAnswer::Permission(permission)) => permission,
                    _ => Permission::NoAnswer,
                },
                None => Permission::NoAnswer,
            };
            let _ = results
                .send(TaskResult::Permission(term, number, permission))
                .await;
        });
    }
}
