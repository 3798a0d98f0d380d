//! Handling of links to other instances and of their messages.

use std::sync::Arc;

use super::{Control, Origin};
use crate::cell::journal::Line;
use crate::cell::{Asked, Port, Remote, RemoteAnswer, calls};
use crate::core::control::Peer;
use crate::core::plane::codec;
use crate::core::plane::lead::{Answer, Call};
use crate::core::registry::InstanceId;
use crate::net::{Link, Notice};
use crate::wire::{Body, Leading};

impl<P: Port> Control<P> {
    pub(super) fn take_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Up(peer, link) => self.take_peer(peer, link),
            Notice::Down(id, number) => {
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
                    self.calls.sweep(&self.links);
                    self.renew_askers();
                }
            }
            Notice::Message(from, body) => self.take_message(from, body),
            Notice::Refused(error) => self.journal.write(&Line::PeerRefused { error }),
        }
    }

    pub(super) fn take_peer(&mut self, peer: Peer, link: Link) {
        let now = self.clock.now();
        if self.leads(now) {
            let term = self.replica.term();
            link.send(Body::Leading(Leading { term }));
        }
        self.journal.write(&Line::PeerUp {
            peer: peer.name.clone(),
            zone: peer.zone.clone(),
        });
        self.links.entry(peer.id).or_default().push(link);
        self.peers.insert(peer.id, peer);
        self.renew_askers();
    }

    pub(super) fn renew_askers(&mut self) {
        let askers = self.askers();
        if let Some((_, lead)) = &mut self.lead {
            lead.set_askers(&askers);
        }
    }

    pub(super) fn take_message(&mut self, from: InstanceId, body: Body) {
        match body {
            Body::Raft(raft) => {
                let now = self.clock.now();
                self.replica.step(now, raft);
            }
            Body::Ping(ping) => self.mesh.learn(&ping.peers),
            Body::Call(call) => match codec::decode::<Remote>(&call.body) {
                Ok(remote) => self.take_remote(from, call.id, remote),
                Err(err) => self.unreadable("call from a peer", &err),
            },
            Body::Return(back) => {
                if let Err(err) = self.calls.take(from, &back) {
                    self.unreadable("answer from a peer", &err);
                }
            }
            // Leader heartbeats are not needed here, since the leader's log entries identify
            // it. Zone messages are not used: this kind of cell has no zone leaders.
            _ => {}
        }
    }

    pub(super) fn unreadable(&self, what: &'static str, err: &postcard::Error) {
        let error = err.to_string();
        self.journal.write(&Line::Unreadable { what, error });
    }

    pub(super) fn take_remote(&mut self, from: InstanceId, id: u64, remote: Remote) {
        match remote {
            Remote::Query(query) => {
                self.next_call += 1;
                let call = Call(self.next_call);
                self.origins.insert(call, Origin::Peer(from, id));
                self.ask_lead(call, query);
            }
            Remote::Permission(question) => {
                let Some(link) = self.link(from).cloned() else {
                    return;
                };
                let port = Arc::clone(&self.port);
                tokio::spawn(async move {
                    let answer = RemoteAnswer::Permission(port.ask(question).await);
                    calls::answer(&link, id, &answer);
                });
            }
        }
    }

    pub(super) fn link(&self, to: InstanceId) -> Option<&Link> {
        self.links.get(&to)?.last()
    }

    pub(super) fn take_asked(&mut self, asked: Asked) {
        let now = self.clock.now();
        if self.replica.is_leader() {
            self.next_call += 1;
            let call = Call(self.next_call);
            self.origins.insert(call, Origin::Local(asked.reply));
            if self.leads(now) {
                self.ask_lead(call, asked.query);
            } else {
                self.answer(call, Answer::NotLeader);
            }
            return;
        }
        let leader = self.replica.leader().and_then(|id| self.instance_of(id));
        let Some((leader, link)) = leader.and_then(|id| Some((id, self.link(id)?.clone()))) else {
            // Sending fails if the caller no longer waits.
            let _ = asked.reply.send(Answer::NotLeader);
            return;
        };
        let answer = self.calls.send(leader, &link, &Remote::Query(asked.query));
        tokio::spawn(async move {
            let answer = match answer.await {
                Ok(RemoteAnswer::Query(answer)) => answer,
                _ => Answer::Unknown,
            };
            let _ = asked.reply.send(answer);
        });
    }
}
