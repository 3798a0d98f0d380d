//! Links to other instances: pings, calls and freshness.

use std::collections::BTreeMap;

use super::query::Target;
use super::{
    Answer, CALL_TIMEOUT, Control, Effect, GOSSIP_INTERVAL, OWN_PAUSE_MIN, Origin,
    PEER_SILENCE_MAX, PING_INTERVAL, Peer, PeerState, Pending, Query, WITHDRAWAL_INTERVAL, claims,
    root,
};
use crate::core::registry::{Command, InstanceId};
use crate::core::time::Moment;
use crate::error::{Error, Kind};
use crate::event::Event;
use crate::wire::{Body, Call, Ping, Raft, Return};

impl Control {
    pub(super) fn peer_up(&mut self, now: Moment, peer: Peer) {
        self.effects.push(Effect::Event(Event::PeerUp {
            peer: peer.name.clone(),
        }));
        let state = PeerState {
            last_heard: now,
            ping_received: 0,
            ping_received_at: now,
            peer,
        };
        self.peers.insert(state.peer.id, state);
        self.next_gossip_at = now;
        self.next_ping_at = now;
    }

    pub(super) fn peer_down(&mut self, now: Moment, id: InstanceId) {
        if let Some(state) = self.peers.remove(&id) {
            self.effects.push(Effect::Event(Event::PeerDown {
                peer: state.peer.name,
            }));
        }
        // Calls to this peer will not be answered.
        self.fail_calls(now, |pending| pending.to == id);
    }

    // During a pause of this process no messages were handled, so the silence of the
    // peers does not mean that they are gone.
    pub(super) fn reset_silence_after_pause(&mut self, now: Moment) {
        if now.since(self.last_tick_at) > OWN_PAUSE_MIN {
            for state in self.peers.values_mut() {
                state.last_heard = now;
            }
        }
        self.last_tick_at = now;
    }

    pub(super) fn expire_peers(&mut self, now: Moment) {
        let silent: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, state)| now.since(state.last_heard) >= PEER_SILENCE_MAX)
            .map(|(&id, _)| id)
            .collect();
        for id in silent {
            self.peer_down(now, id);
        }
    }

    pub(super) fn expire_calls(&mut self, now: Moment) {
        self.fail_calls(now, |pending| now >= pending.until);
    }

    fn fail_calls(&mut self, now: Moment, is_lost: impl Fn(&Pending) -> bool) {
        let (lost, kept): (BTreeMap<u64, Pending>, BTreeMap<u64, Pending>) =
            std::mem::take(&mut self.calls)
                .into_iter()
                .partition(|(_, pending)| is_lost(pending));
        self.calls = kept;
        for pending in lost.into_values() {
            let message = "the responsible instance was disconnected or did not answer in time";
            let err = Error::new(Kind::NoQuorum, message);
            self.answer(now, pending.origin, Answer::Failed(err));
        }
    }

    pub(super) fn ping(&mut self, now: Moment) {
        if self.replica.holds_lease(now) {
            self.fresh
                .record(now, self.replica.commit(), self.registry.applied);
        }
        if now < self.next_ping_at {
            return;
        }
        self.next_ping_at = now + PING_INTERVAL;
        let fresh_age = self.fresh.age(now).map(|age| age.as_micros() as u64);
        let gossips = now >= self.next_gossip_at;
        if gossips {
            self.next_gossip_at = now + GOSSIP_INTERVAL;
        }
        let peers: Vec<String> = self
            .peers
            .values()
            .filter(|_| gossips)
            .map(|state| state.peer.address.clone())
            .collect();
        let pings: Vec<(InstanceId, Ping)> = self
            .peers
            .values()
            .map(|state| {
                let ping = Ping {
                    sent_at: now.0,
                    echo: state.ping_received,
                    echo_delay: now.since(state.ping_received_at).as_micros() as u64,
                    peers: peers.clone(),
                    leaving: self.leaving,
                    fresh_age,
                    fresh_index: self.registry.applied,
                    // Set by the driver, which owns the event clock.
                    stamp_millis: 0,
                    stamp_count: 0,
                };
                (state.peer.id, ping)
            })
            .collect();
        for (id, ping) in pings {
            self.send(id, Body::Ping(ping));
        }
        self.effects.push(Effect::Publish);
    }

    pub(super) fn handle_message(&mut self, now: Moment, from: InstanceId, body: Body) {
        let Some(state) = self.peers.get_mut(&from) else {
            return;
        };
        state.last_heard = now;
        if state.peer.zone == self.identity.zone {
            self.participant.record_message(now, from);
        }
        match body {
            Body::Raft(raft) => self.replica.step(now, raft),
            Body::Ping(ping) => self.handle_ping(now, from, &ping),
            Body::Call(call) => self.handle_call(now, from, &call),
            Body::Return(ret) => self.handle_return(now, &ret),
            Body::LeaseRequest(request) => self.handle_lease_request(now, from, &request),
            Body::LeaseReply(reply) => self.participant.handle_lease_reply(
                reply.term,
                Moment(reply.sent_at),
                reply.granted && reply.zone == self.identity.zone,
            ),
            Body::PromiseRequest(request) => self.handle_promise_request(now, from, &request),
            Body::PromiseReply(reply) => {
                self.participant.handle_promise_reply(
                    from,
                    reply.term,
                    Moment(reply.sent_at),
                    reply.granted,
                );
            }
            Body::Report(report) => self.handle_report(now, from, &report),
            Body::Allotment(allotment) => self.handle_allotment(now, from, &allotment),
            Body::WithdrawnKeys(withdrawn) => self.handle_withdrawn(withdrawn.keys),
            // Sent only in cells with a single task plane, which do not use this control
            // state.
            Body::LeaderHeartbeat(_) => {}
        }
    }

    pub(super) fn handle_ping(&mut self, now: Moment, from: InstanceId, ping: &Ping) {
        let Some(state) = self.peers.get_mut(&from) else {
            return;
        };
        state.ping_received = ping.sent_at;
        state.ping_received_at = now;
        // The peer sent this ping at least `echo_delay` after the echoed ping was sent, and
        // its state was `age` old by then. The result is on this instance's clock and
        // never later than the actual moment.
        if let (Some(age), true) = (ping.fresh_age, ping.echo > 0) {
            let stated_at = ping.echo.saturating_add(ping.echo_delay);
            let as_of = Moment(stated_at.saturating_sub(age));
            self.fresh
                .record(as_of, ping.fresh_index, self.registry.applied);
        }
    }

    pub(super) fn handle_withdrawn(&mut self, keys: Vec<String>) {
        let new: Vec<String> = keys
            .into_iter()
            .filter(|key| self.tombstones.insert(key.clone()))
            .collect();
        if new.is_empty() {
            return;
        }
        for key in &new {
            let event = Event::KeyWithdrawn { key: key.clone() };
            self.effects.push(Effect::Event(event));
        }
        let body = Body::WithdrawnKeys(crate::wire::WithdrawnKeys { keys: new });
        for id in self.peer_ids() {
            self.send(id, body.clone());
        }
        self.effects.push(Effect::Publish);
    }

    // Proposes each known revocation of a key until it is in the registry.
    pub(super) fn repeat_withdrawals(&mut self, now: Moment) {
        if now < self.next_withdrawal_at {
            return;
        }
        self.next_withdrawal_at = now + WITHDRAWAL_INTERVAL;
        let open: Vec<String> = self
            .tombstones
            .iter()
            .filter(|id| {
                self.registry
                    .keys
                    .get(*id)
                    .is_some_and(|key| !key.withdrawn)
            })
            .cloned()
            .collect();
        for id in open {
            let query = Query::Propose(Command::WithdrawKey { id });
            self.route(now, root::NO_REPLY, &Target::Root, query);
        }
    }

    pub(super) fn peer_ids(&self) -> Vec<InstanceId> {
        self.peers.keys().copied().collect()
    }

    pub(super) fn send(&mut self, to: InstanceId, body: Body) {
        self.effects.push(Effect::Send(to, body));
    }

    pub(super) fn send_raft(&mut self, now: Moment, raft: Raft) {
        // Receiver 0: an observer that knows no leader asks all peers.
        if raft.to == 0 {
            for id in self.peer_ids() {
                self.send(id, Body::Raft(raft.clone()));
            }
            return;
        }
        if raft.to == self.identity.replica {
            self.replica.step(now, raft);
            return;
        }
        if let Some(id) = self.instance_of(raft.to) {
            self.send(id, Body::Raft(raft));
        }
    }

    pub(super) fn instance_of(&self, replica: u64) -> Option<InstanceId> {
        if replica == self.identity.replica {
            return Some(self.identity.id);
        }
        self.peers
            .values()
            .find(|state| state.peer.replica == replica)
            .map(|state| state.peer.id)
    }

    pub(super) fn handle_call(&mut self, now: Moment, from: InstanceId, call: &Call) {
        let origin = Origin::Peer(from, call.id);
        match postcard::from_bytes::<Query>(&call.body) {
            Ok(query) => self.handle(now, origin, query),
            Err(err) => {
                let err = Error::new(Kind::BadRequest, err.to_string());
                self.answer(now, origin, Answer::Failed(err));
            }
        }
    }

    pub(super) fn handle_return(&mut self, now: Moment, ret: &Return) {
        let Some(pending) = self.calls.remove(&ret.id) else {
            return;
        };
        let answer = postcard::from_bytes(&ret.body)
            .unwrap_or_else(|err| Answer::Failed(Error::new(Kind::Internal, err.to_string())));
        self.answer(now, pending.origin, answer);
    }

    pub(super) fn answer(&mut self, now: Moment, origin: Origin, answer: Answer) {
        match origin {
            Origin::Local(call) if claims::is_internal(call) => {
                self.handle_internal_answer(now, call, &answer);
            }
            Origin::Local(call) => self.effects.push(Effect::Reply(call, answer)),
            Origin::Peer(id, call) => {
                let body = postcard::to_allocvec(&answer).expect("answer encodes");
                let ret = Return {
                    id: call,
                    body: body.into(),
                };
                self.send(id, Body::Return(ret));
            }
        }
    }

    pub(super) fn forward(&mut self, now: Moment, to: InstanceId, origin: Origin, query: &Query) {
        self.next_call += 1;
        let id = self.next_call;
        let until = now + CALL_TIMEOUT;
        self.calls.insert(id, Pending { to, origin, until });
        let body = postcard::to_allocvec(query).expect("query encodes");
        let call = Call {
            id,
            body: body.into(),
        };
        self.send(to, Body::Call(call));
    }
}
