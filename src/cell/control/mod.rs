//! Event loop of a control instance: it drives the replica, the leader's decisions and
//! the disk thread.

mod links;
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
use crate::cell::storage::{self, Done, Job};
use crate::cell::{
    Asked, Handle, INBOX_MAX, LEADING_EVERY, Links, PING_EVERY, Port, Remote, RemoteAnswer,
    Settings,
};
use crate::clock::{self, Clock};
use crate::core::consensus::Replica;
use crate::core::control::{Identity, Peer};
use crate::core::plane::codec;
use crate::core::plane::lead::{
    Answer, Call, Effect, Lead, Note, Now, Order, Permission, Query, Question, Reply,
};
use crate::core::plane::state::{Command, State};
use crate::core::registry::InstanceId;
use crate::core::roster::{self, Place, Wanted};
use crate::core::time::Moment;
use crate::error::Result;
use crate::net::{Mesh, Notice};
use crate::store::{Folder, Wal};
use crate::wire::{Body, Leading, Ping, Voter};

/// Longest wait of the loop on a leader: the shortest interval of the leader's timers.
const LEAD_TICK: Duration = Duration::from_millis(20);
/// Longest wait of the loop on any other instance.
const IDLE_TICK: Duration = Duration::from_millis(50);
/// Largest number of inputs that share one write of the log.
const BATCH_MAX: usize = 512;
/// A longer gap between iterations of the loop is logged as a suspension of the process.
const PAUSE_MIN: Duration = Duration::from_millis(1_000);
/// Interval at which the leader checks whether voters need to be replaced.
const ROSTER_EVERY: Duration = Duration::from_millis(200);
/// Log size at which the log is compacted: a tenth of the smallest supported disk.
const COMPACT_BYTES: usize = 12 << 20;
/// Number of log entries at which the log is compacted.
const COMPACT_ENTRIES: usize = 40_000;

/// Result of a request that a spawned task made for the leader. The numbers are the term
/// in which it was made and the number of the order or permission request.
#[derive(Debug)]
enum Back {
    Reply(u64, u64, Reply),
    Permission(u64, u64, Permission),
}

/// Where the answer to a query goes.
#[derive(Debug)]
enum Origin {
    /// A peer, and the peer's id of the call.
    Peer(InstanceId, u64),
    /// A caller in this process.
    Local(oneshot::Sender<Answer>),
}

struct Inboxes {
    notices: mpsc::Receiver<Notice>,
    asked: mpsc::Receiver<Asked>,
    back: mpsc::Receiver<Back>,
    stored: mpsc::Receiver<Done>,
}

struct Control<P> {
    settings: Settings,
    me: Identity,
    clock: Clock,
    port: Arc<P>,
    journal: Journal,
    metrics: Metrics,
    mesh: Arc<Mesh>,
    replica: Replica,
    state: State,
    /// Term and state of the leader role while this instance has it.
    lead: Option<(u64, Lead)>,
    peers: BTreeMap<InstanceId, Peer>,
    links: Links,
    calls: Calls,
    origins: HashMap<Call, Origin>,
    next_call: u64,
    /// Answers to send once the log entry with this index is applied.
    waiting: BTreeMap<u64, Vec<(Call, Answer)>>,
    /// When the entry with this index was proposed.
    proposed_at: BTreeMap<u64, Moment>,
    jobs: std::sync::mpsc::Sender<Job>,
    /// Whether the disk thread has a write to finish.
    storing: bool,
    /// Whether the disk thread has a snapshot to finish.
    compacting: bool,
    back: mpsc::Sender<Back>,
    ping_at: Moment,
    leading_at: Moment,
    roster_at: Moment,
    /// Replica that was last logged as the leader.
    seen_leader: Option<u64>,
    resign: Arc<Notify>,
    token: CancellationToken,
}

/// Starts a control instance. It runs until the token is cancelled.
///
/// # Errors
///
/// Fails if the peer address cannot be bound or the data folder cannot be used.
pub async fn start<P: Port>(
    settings: Settings,
    port: Arc<P>,
    journal: Journal,
    metrics: Metrics,
    token: CancellationToken,
) -> Result<Handle> {
    let listener = TcpListener::bind(settings.peer).await?;
    let clock = Clock::default();
    let path = settings.data.clone().unwrap_or_default();
    let (wal, stored) = Wal::open(Folder::open(&path)?)?;
    let id = InstanceId(rand::random::<u64>().max(1));
    let me = Identity {
        id,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.announced.to_string(),
        replica: wal.replica(),
        durable: true,
        founders: settings.seeds.clone(),
        replace_after: settings.replace_after,
    };
    let mut state = State::default();
    if !stored.snapshot.data.is_empty() {
        state = read_state(&stored.snapshot.data)?;
        state.applied = stored.snapshot.index;
    }
    let now = clock.now();
    let replica = Replica::new(me.replica, &me.name, true, stored, now, rand::random());
    let (notices, notices_in) = mpsc::channel(INBOX_MAX);
    let (asked, asked_in) = mpsc::channel(INBOX_MAX);
    let (back, back_in) = mpsc::channel(INBOX_MAX);
    let (done, stored_in) = mpsc::channel(8);
    let (jobs, jobs_in) = std::sync::mpsc::channel();
    let mesh = Mesh::new(
        me.clone(),
        settings.secret.clone(),
        &settings.seeds,
        notices,
        token.child_token(),
    );
    let disk_journal = journal.clone();
    std::thread::Builder::new()
        .name("disk".to_owned())
        .spawn(move || storage::run(wal, &jobs_in, &done, &disk_journal))?;
    tokio::spawn(Arc::clone(&mesh).run(listener));
    let resign = Arc::new(Notify::new());
    let handle = Handle {
        asked,
        resign: Arc::clone(&resign),
        mesh: Arc::clone(&mesh),
    };
    let control = Control {
        settings,
        me,
        clock,
        port,
        journal,
        metrics,
        mesh,
        replica,
        state,
        lead: None,
        peers: BTreeMap::new(),
        links: Links::new(),
        calls: Calls::default(),
        origins: HashMap::new(),
        next_call: 0,
        waiting: BTreeMap::new(),
        proposed_at: BTreeMap::new(),
        jobs,
        storing: false,
        compacting: false,
        back,
        ping_at: Moment::ZERO,
        leading_at: Moment::ZERO,
        roster_at: Moment::ZERO,
        seen_leader: None,
        resign,
        token,
    };
    let inboxes = Inboxes {
        notices: notices_in,
        asked: asked_in,
        back: back_in,
        stored: stored_in,
    };
    tokio::spawn(control.run(inboxes));
    Ok(handle)
}

fn read_state(data: &[u8]) -> Result<State> {
    codec::decode(data).map_err(|err| {
        let message = format!("state in the stored snapshot cannot be decoded: {err}");
        crate::error::Error::new(crate::error::Kind::Internal, message)
    })
}

impl<P: Port> Control<P> {
    async fn run(mut self, mut inboxes: Inboxes) {
        let mut last = self.clock.now();
        let mut busy = Duration::ZERO;
        loop {
            let wait = self.pause();
            let resign = Arc::clone(&self.resign);
            tokio::select! {
                biased;
                () = self.token.cancelled() => return,
                () = resign.notified() => self.replica.resign(self.clock.now()),
                Some(done) = inboxes.stored.recv() => self.take_stored(done),
                Some(notice) = inboxes.notices.recv() => self.take_notice(notice),
                Some(back) = inboxes.back.recv() => self.take_back(back),
                Some(asked) = inboxes.asked.recv() => self.take_asked(asked),
                () = sleep(wait) => {}
            }
            let now = self.clock.now();
            let gap = now.since(last);
            if gap > PAUSE_MIN {
                self.journal.write(&Line::Paused {
                    ms: gap.as_millis() as u64,
                    busy_ms: busy.as_millis() as u64,
                });
            }
            last = now;
            self.drain(&mut inboxes);
            self.tick();
            self.pump();
            busy = self.clock.now().since(last);
        }
    }

    fn drain(&mut self, inboxes: &mut Inboxes) {
        for _ in 0..BATCH_MAX {
            if let Ok(notice) = inboxes.notices.try_recv() {
                self.take_notice(notice);
            } else if let Ok(back) = inboxes.back.try_recv() {
                self.take_back(back);
            } else if let Ok(asked) = inboxes.asked.try_recv() {
                self.take_asked(asked);
            } else {
                return;
            }
        }
    }

    fn pause(&self) -> Duration {
        let Some((_, lead)) = &self.lead else {
            return IDLE_TICK;
        };
        let now = self.clock.now();
        let wake = lead.wake_at();
        Duration::from_micros(wake.0.saturating_sub(now.0)).min(LEAD_TICK)
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
        self.found(now);
        self.ping(now);
        self.tell_leading(now);
        self.review_roster(now);
        self.follow_leadership(now);
        let now = self.now();
        if let Some((_, lead)) = &mut self.lead {
            let effects = lead.tick(now, &self.state);
            self.carry_out(effects);
        }
    }

    // Bootstraps a new cell. Only the seed with the lowest address does so, and only once
    // it is linked to all other seeds and none of them belongs to a group yet.
    fn found(&mut self, now: Moment) {
        if !self.settings.founding || !self.replica.is_blank() {
            return;
        }
        let mut founders = self.settings.seeds.clone();
        founders.sort_unstable();
        if founders.first() != Some(&self.me.address) {
            return;
        }
        let mut voters = vec![Voter {
            replica: self.me.replica,
            name: self.me.name.clone(),
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

    fn ping(&mut self, now: Moment) {
        if now < self.ping_at {
            return;
        }
        self.ping_at = now + PING_EVERY;
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
        self.calls.sweep(&self.links);
        let dropped = self.journal.dropped();
        self.metrics.lines_dropped.set(dropped as i64);
    }

    fn tell_leading(&mut self, now: Moment) {
        if now < self.leading_at || !self.leads(now) {
            return;
        }
        self.leading_at = now + LEADING_EVERY;
        let term = self.replica.term();
        for link in self.links.values().filter_map(|links| links.last()) {
            link.send(Body::Leading(Leading { term }));
        }
        let metrics = &self.metrics;
        metrics.configuration.set(self.state.plan.version as i64);
        metrics.open_jobs.set(self.state.open.len() as i64);
        let workers = self.state.live_workers().count();
        metrics.workers.set(workers as i64);
    }

    fn review_roster(&mut self, now: Moment) {
        if now < self.roster_at || !self.leads(now) {
            return;
        }
        self.roster_at = now + ROSTER_EVERY;
        let place = |peer: &Peer| Place {
            name: peer.name.clone(),
            zone: peer.zone.clone(),
        };
        let mut places: BTreeMap<u64, Place> = self
            .peers
            .values()
            .filter(|p| p.durable)
            .map(|p| (p.replica, place(p)))
            .collect();
        let own = Place {
            name: self.me.name.clone(),
            zone: self.me.zone.clone(),
        };
        places.insert(self.me.replica, own);
        let wanted = Wanted {
            voters: self.settings.voters,
            replace_after: self.settings.replace_after,
        };
        if let Some(next) = roster::next_voters(now, &self.replica, &places, wanted) {
            // Rejected while another membership change is in progress; retried at the next
            // review.
            let _ = self.replica.propose_voters(next);
        }
    }

    // Returns whether this instance leads and holds a valid lease.
    fn leads(&self, now: Moment) -> bool {
        self.lead.is_some() && self.replica.is_leased(now)
    }

    fn follow_leadership(&mut self, now: Moment) {
        let term = self.replica.term();
        let lost = match &self.lead {
            Some((led, _)) => *led != term || !self.replica.is_leader(),
            None => false,
        };
        if lost {
            self.lose_lead();
        }
        if self.lead.is_none() && self.replica.is_leased(now) && !self.is_behind() {
            self.begin_lead(term);
        }
        let leader = self.replica.leader();
        if leader != self.seen_leader {
            self.seen_leader = leader;
            let name = leader.and_then(|id| self.instance_of(id));
            if let Some(peer) = name.and_then(|id| self.peers.get(&id)) {
                let leader = peer.name.clone();
                self.journal.write(&Line::LeaderSeen { leader, term });
            }
        }
    }

    fn is_behind(&self) -> bool {
        self.state.applied < self.replica.commit()
    }

    fn begin_lead(&mut self, term: u64) {
        let applied = self.state.applied;
        self.journal.write(&Line::Led { term, applied });
        self.metrics.leads.set(1);
        let bounds = self.settings.bounds;
        let mut lead = Lead::new(self.now(), term, bounds, &self.state);
        lead.set_askers(&self.askers());
        self.lead = Some((term, lead));
        self.leading_at = Moment::ZERO;
    }

    fn lose_lead(&mut self) {
        let Some((term, _)) = self.lead.take() else {
            return;
        };
        self.journal.write(&Line::LeadLost { term });
        self.metrics.leads.set(0);
        self.proposed_at.clear();
        for (call, _) in std::mem::take(&mut self.waiting).into_values().flatten() {
            self.answer(call, Answer::Unknown);
        }
    }

    fn askers(&self) -> Vec<InstanceId> {
        self.links.keys().copied().chain([self.me.id]).collect()
    }

    fn instance_of(&self, replica: u64) -> Option<InstanceId> {
        let mut peers = self.peers.values();
        peers.find(|p| p.replica == replica).map(|p| p.id)
    }

    fn ask_lead(&mut self, call: Call, query: Query) {
        let now = self.now();
        if !self.leads(now.at) {
            self.answer(call, Answer::NotLeader);
            return;
        }
        if let Some((_, lead)) = &mut self.lead {
            let effects = lead.ask(now, &self.state, call, query);
            self.carry_out(effects);
        }
    }

    fn answer(&mut self, call: Call, answer: Answer) {
        match self.origins.remove(&call) {
            Some(Origin::Peer(peer, id)) => {
                if let Some(link) = self.link(peer) {
                    calls::answer(link, id, &RemoteAnswer::Query(answer));
                }
            }
            // Sending fails if the caller no longer waits.
            Some(Origin::Local(reply)) => drop(reply.send(answer)),
            None => {}
        }
    }

    fn take_back(&mut self, back: Back) {
        let now = self.now();
        let Some((term, lead)) = &mut self.lead else {
            return;
        };
        let effects = match back {
            Back::Reply(of, number, reply) if of == *term => {
                lead.reply(now, &self.state, number, reply)
            }
            Back::Permission(of, number, permission) if of == *term => {
                lead.permission(now, &self.state, number, permission)
            }
            // The request was made in an earlier term of this instance.
            Back::Reply(..) | Back::Permission(..) => return,
        };
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Propose(command, answers) => self.propose(&command, answers),
                Effect::Answer(call, answer) => self.answer(call, answer),
                Effect::Order(order) => self.send_order(order),
                Effect::Ask(asker, question) => self.send_question(asker, question),
                Effect::Note(note) => self.take_note(&note),
            }
        }
    }

    fn take_note(&self, note: &Note) {
        match note {
            Note::Ended { how, .. } => Metrics::count(&self.metrics.ends, how.to_string()),
            Note::Placed { waited_ms, .. } => {
                let waited = Duration::from_millis(*waited_ms);
                Metrics::observe(&self.metrics.wait_seconds, waited);
            }
            Note::Permission { granted, .. } => {
                let outcome = if granted.is_some() {
                    "answered"
                } else {
                    "failed"
                };
                Metrics::count(&self.metrics.questions, outcome);
            }
            _ => {}
        }
        self.journal.note(note);
    }

    fn propose(&mut self, command: &Command, answers: Vec<(Call, Answer)>) {
        match self.replica.propose(codec::encode(command)) {
            Ok(index) => {
                self.proposed_at.insert(index, self.clock.now());
                self.waiting.insert(index, answers);
            }
            Err(_) => {
                for (call, _) in answers {
                    self.answer(call, Answer::NotLeader);
                }
            }
        }
    }

    fn send_order(&mut self, order: Order) {
        let Some((term, _)) = &self.lead else {
            return;
        };
        let (term, number, back) = (*term, order.number, self.back.clone());
        let leased = self.replica.is_leased(self.clock.now());
        let port = Arc::clone(&self.port);
        tokio::spawn(async move {
            let reply = if leased {
                port.order(order).await
            } else {
                Reply::NotSent
            };
            // Sending fails during shutdown, when the loop ends before its tasks.
            let _ = back.send(Back::Reply(term, number, reply)).await;
        });
    }

    fn send_question(&mut self, asker: InstanceId, question: Question) {
        let Some((term, _)) = &self.lead else {
            return;
        };
        let (term, number, back) = (*term, question.number, self.back.clone());
        if asker == self.me.id {
            let port = Arc::clone(&self.port);
            tokio::spawn(async move {
                let permission = port.ask(question).await;
                let _ = back.send(Back::Permission(term, number, permission)).await;
            });
            return;
        }
        let link = self.link(asker).cloned();
        let remote = Remote::Permission(question);
        let answer = link.map(|link| self.calls.send(asker, &link, &remote));
        tokio::spawn(async move {
            let permission = match answer {
                Some(answer) => match answer.await {
                    Ok(RemoteAnswer::Permission(permission)) => permission,
                    _ => Permission::NoAnswer,
                },
                None => Permission::NoAnswer,
            };
            let _ = back.send(Back::Permission(term, number, permission)).await;
        });
    }
}
