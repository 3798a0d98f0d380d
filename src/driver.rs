//! Event loop of the control thread. It feeds inputs to the control state machine, syncs the
//! resulting records to disk, and only then carries out the effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::core::consensus::Ready;
use crate::core::control::{Answer, Control, Effect, Input};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;
use crate::event::{Event, Stamp};
use crate::net::{Link, LinkEvent, Mesh};
use crate::node::Command;
use crate::store::Wal;
use crate::traffic::{Traffic, View};
use crate::wire::Body;

/// Interval of the periodic tick.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of inputs handled per sync of the log.
const BATCH_INPUTS_MAX: usize = 512;
/// Gap between ticks above which an event reports that the process was paused.
const SUSPENSION_MIN: Duration = Duration::from_millis(1_000);

/// Counters that identify the content of the latest published view, to publish only changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Published {
    version: u64,
    key_changes: u64,
    tombstones: usize,
    zones: usize,
}

/// State of the control thread's event loop.
pub struct Driver {
    pub(crate) control: Control,
    pub(crate) wal: Option<Wal>,
    pub(crate) backlog: Vec<Ready>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) mesh: Arc<Mesh>,
    pub(crate) links: HashMap<InstanceId, Vec<Link>>,
    pub(crate) replies: HashMap<u64, oneshot::Sender<Answer>>,
    pub(crate) next_call: u64,
    pub(crate) published: Published,
    pub(crate) stop: CancellationToken,
}

impl Driver {
    /// Runs until the instance is stopped.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<LinkEvent>,
        mut commands: mpsc::Receiver<Command>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_tick = self.now();
        loop {
            tokio::select! {
                biased;
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => {
                    let now = self.now();
                    self.record_pause(now.since(last_tick));
                    last_tick = now;
                    self.step(Input::Tick);
                }
                Some(event) = inbox.recv() => self.handle_link_event(event),
                Some(command) = commands.recv() => self.handle_command(command),
            }
            for _ in 0..BATCH_INPUTS_MAX {
                if let Ok(event) = inbox.try_recv() {
                    self.handle_link_event(event);
                } else if let Ok(command) = commands.try_recv() {
                    self.handle_command(command);
                } else {
                    break;
                }
            }
            self.flush();
        }
    }

    fn now(&self) -> Moment {
        self.traffic.clock.now()
    }

    fn record_pause(&self, gap: Duration) {
        if gap > SUSPENSION_MIN {
            let millis = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            self.traffic.record(Event::Paused { millis });
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.now();
        let effects = self.control.step(now, input);
        self.apply_effects(effects);
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(peer, link) => {
                let links = self.links.entry(peer.id).or_default();
                links.push(link);
                self.step(Input::PeerUp(peer));
            }
            LinkEvent::Down(id, number) => {
                let Some(links) = self.links.get_mut(&id) else {
                    return;
                };
                links.retain(|link| link.number != number);
                if links.is_empty() {
                    self.links.remove(&id);
                    self.step(Input::PeerDown(id));
                }
            }
            LinkEvent::Message(from, body) => {
                if let Body::Ping(ping) = &body {
                    self.mesh.add_peer_addresses(&ping.peers);
                    let stamp = Stamp {
                        millis: ping.stamp_millis,
                        count: ping.stamp_count,
                    };
                    self.traffic.merge_stamp(stamp);
                }
                self.step(Input::Message(from, body));
            }
            LinkEvent::Refused(reason) => self.traffic.record(Event::PeerRefused { reason }),
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Ask(pending) => {
                self.next_call += 1;
                let call = self.next_call;
                self.replies.insert(call, pending.reply);
                self.step(Input::Ask {
                    call,
                    target: pending.target,
                    query: pending.query,
                });
            }
            Command::Leave => self.step(Input::Leave),
            Command::Resign(done) => {
                self.traffic.gate.lock().expect("gate lock").return_all();
                // The tick sends the returned allotments to the zone leaders.
                self.step(Input::Tick);
                self.control.resign();
                let _ = done.send(());
            }
        }
    }

    // Stores pending records and carries out their effects until there are none left.
    fn flush(&mut self) {
        loop {
            let now = self.now();
            let ready = self.control.take_ready(now);
            if !ready.is_idle() {
                self.backlog.push(ready);
            }
            if self.backlog.is_empty() || !self.store_backlog() {
                break;
            }
        }
        self.compact();
        self.traffic.dispatch();
    }

    // Returns false if the disk write failed. Nothing that depends on the records is sent
    // before they are stored.
    fn store_backlog(&mut self) -> bool {
        while !self.backlog.is_empty() {
            let ready = &self.backlog[0];
            if let Some(wal) = &mut self.wal
                && let Err(err) = wal.store(ready)
            {
                log::error!("cannot write records to the data folder: {err}");
                return false;
            }
            let ready = self.backlog.remove(0);
            let effects = self.control.advance(self.traffic.clock.now(), ready);
            self.apply_effects(effects);
        }
        true
    }

    fn compact(&mut self) {
        if !self.backlog.is_empty() {
            return;
        }
        let Some(snapshot) = self.control.compact() else {
            return;
        };
        let log = self.control.replica().log();
        let entries = log.slice(log.first_index(), usize::MAX);
        if let Some(wal) = &mut self.wal
            && let Err(err) = wal.compact(&snapshot, &entries)
        {
            log::error!("cannot write the snapshot: {err}");
        }
    }

    fn apply_effects(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => self.send(to, body),
                Effect::Reply(call, answer) => {
                    if let Some(reply) = self.replies.remove(&call) {
                        let _ = reply.send(answer);
                    }
                }
                Effect::Event(event) => self.traffic.record(event),
                Effect::Publish => self.publish(),
            }
        }
    }

    fn send(&self, to: InstanceId, mut body: Body) {
        let Some(links) = self.links.get(&to) else {
            return;
        };
        if let Body::Ping(ping) = &mut body {
            let stamp = self.traffic.stamp();
            ping.stamp_millis = stamp.millis;
            ping.stamp_count = stamp.count;
            // Two instances that dialed each other have two links. Pings go over both, because
            // the peer closes a link on which it receives nothing.
            for link in links {
                link.send(body.clone());
            }
        } else if let Some(link) = links.last() {
            link.send(body);
        }
    }

    fn publish(&mut self) {
        let registry = self.control.registry();
        let tombstones = self.control.tombstones();
        if !self.control.replica().is_uninitialized() {
            self.mesh.set_founded();
        }
        let current = Published {
            version: registry.version,
            key_changes: registry.key_changes,
            tombstones: tombstones.len(),
            zones: registry.zone_names.len(),
        };
        if current != self.published {
            self.published = current;
            let view = View::new(
                registry.keys.iter(),
                |id| tombstones.contains(id),
                registry.config.clone(),
                registry.version,
                registry.zone_names.clone(),
            );
            self.traffic.view.store(Arc::new(view));
        }
        let root = self.control.root_verified_until();
        let zone = self.control.zone_verified_until();
        self.traffic.set_verified_until(root, zone);
    }
}
