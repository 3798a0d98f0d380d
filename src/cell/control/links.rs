//! Handling of links to other instances and of their messages.

use std::sync::Arc;

use super::{Control, Origin};
use crate::cell::journal::Line;
use crate::cell::{LocalQuery, Remote, RemoteAnswer, Transport, calls};
use crate::core::control::Peer;
use crate::core::plane::codec;
use crate::core::plane::lead::{Answer, Call};
use crate::core::registry::InstanceId;
use crate::net::{Link, LinkEvent};
use crate::wire::{Body, LeaderHeartbeat};

impl<P: Transport> Control<P> {
    pub(super) fn handle_link_event(&mut self, event: LinkEvent) {
        self.load.record_input();
        match event {
            LinkEvent::Up(peer, link) => self.handle_peer_up(peer, link),
            LinkEvent::Down(id, number) => {
                let Some(links) = self.links.get_mut(&id) else {
                    return;
                };
                links.retain(|link| link.number != number);
                if links.is_empty() {
                    self.links.remove(&id);
                    if let Some(peer) = self.peers.remove(&id) {
                        let peer = peer.name;
                        self.journal.write(&Line::PeerDown { peer });
                    }
                    self.calls.remove_abandoned(&self.links);
                    self.update_requesters();
                }
            }
            LinkEvent::Message(from, body) => self.handle_message(from, body),
            LinkEvent::Refused(error) => self.journal.write(&Line::PeerRefused { error }),
        }
    }

    pub(super) fn handle_peer_up(&mut self, peer: Peer, link: Link) {
        let now = self.clock.now();
        if self.is_leading(now) {
            let term = self.replica.term();
            link.send(Body::LeaderHeartbeat(LeaderHeartbeat { term }));
        }
        self.journal.write(&Line::PeerUp {
            peer: peer.name.clone(),
            zone: peer.zone.clone(),
        });
        self.links.entry(peer.id).or_default().push(link);
        self.peers.insert(peer.id, peer);
        self.update_requesters();
    }

    pub(super) fn update_requesters(&mut self) {
        let (requesters, room) = (self.requesters(), self.room());
        if let Some((_, lead)) = &mut self.lead {
            lead.set_requesters(&requesters);
            lead.set_room(room);
        }
    }

    pub(super) fn handle_message(&mut self, from: InstanceId, body: Body) {
        match body {
            Body::Raft(raft) => {
                let now = self.clock.now();
                self.replica.step(now, raft);
            }
            Body::Ping(ping) => self.mesh.add_peer_addresses(&ping.peers),
            Body::Call(call) => match codec::decode::<Remote>(&call.body) {
                Ok(remote) => self.handle_call(from, call.id, remote),
                Err(err) => self.log_unreadable("call from a peer", &err),
            },
            Body::Return(response) => {
                if let Err(err) = self.calls.complete(from, &response) {
                    self.log_unreadable("answer from a peer", &err);
                }
            }
            // Leader heartbeats are not needed here, since the leader's log entries identify
            // it. Zone messages are not used: this kind of cell has no zone leaders.
            _ => {}
        }
    }

    pub(super) fn log_unreadable(&self, what: &'static str, err: &postcard::Error) {
        let error = err.to_string();
        self.journal.write(&Line::Unreadable { what, error });
    }

    pub(super) fn handle_call(&mut self, from: InstanceId, id: u64, remote: Remote) {
        match remote {
            Remote::Query(query) => {
                self.next_call += 1;
                let call = Call(self.next_call);
                self.origins.insert(call, Origin::Peer(from, id));
                self.handle_query(call, query);
            }
            Remote::Permission(request) => {
                let Some(link) = self.link(from).cloned() else {
                    return;
                };
                let transport = Arc::clone(&self.transport);
                tokio::spawn(async move {
                    let answer =
                        RemoteAnswer::Permission(transport.request_permission(request).await);
                    calls::send_answer(&link, id, &answer);
                });
            }
        }
    }

    pub(super) fn link(&self, to: InstanceId) -> Option<&Link> {
        self.links.get(&to)?.last()
    }

    pub(super) fn handle_local_query(&mut self, local: LocalQuery) {
        self.load.record_input();
        let now = self.clock.now();
        if self.replica.is_leader() {
            self.next_call += 1;
            let call = Call(self.next_call);
            self.origins.insert(call, Origin::Local(local.reply));
            if self.is_leading(now) {
                self.handle_query(call, local.query);
            } else {
                self.send_answer(call, Answer::NotLeader);
            }
            return;
        }
        let leader = self.replica.leader().and_then(|id| self.instance_of(id));
        let Some((leader, link)) = leader.and_then(|id| Some((id, self.link(id)?.clone()))) else {
            // Sending fails if the caller no longer waits.
            let _ = local.reply.send(Answer::NotLeader);
            return;
        };
        let answer = self.calls.send(leader, &link, &Remote::Query(local.query));
        tokio::spawn(async move {
            let answer = match answer.await {
                Ok(RemoteAnswer::Query(answer)) => answer,
                _ => Answer::Unknown,
            };
            let _ = local.reply.send(answer);
        });
    }
}
