//! Calls to peers that wait for an answer.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::{Links, Remote, RemoteAnswer};
use crate::core::plane::codec;
use crate::core::registry::InstanceId;
use crate::net::{Link, Queued};
use crate::wire::{Body, Call, Return};

/// Pending calls of one instance to its peers.
#[derive(Debug, Default)]
pub struct Calls {
    /// Id of the latest call.
    latest_id: u64,
    /// Pending calls by id, each with the peer that may answer it.
    pending: HashMap<u64, (InstanceId, oneshot::Sender<RemoteAnswer>)>,
}

impl Calls {
    /// Sends a call to `peer` over `link` and returns the receiver of its answer. The
    /// receiver fails if the call is dropped, as when the peer's links go down.
    pub fn send(
        &mut self,
        peer: InstanceId,
        link: &Link,
        remote: &Remote,
    ) -> oneshot::Receiver<RemoteAnswer> {
        let (call, answer) = self.prepare(peer, remote);
        link.send(Body::Call(call));
        answer
    }

    /// Like [`Self::send`], for a query of an entry instance, which also learns whether it is
    /// still queued. Returns `None` if the link has too many bytes of queries queued; nothing is
    /// sent then.
    pub fn send_query(
        &mut self,
        peer: InstanceId,
        link: &Link,
        remote: &Remote,
    ) -> Option<(oneshot::Receiver<RemoteAnswer>, Queued)> {
        let (call, answer) = self.prepare(peer, remote);
        let (id, bytes) = (call.id, call.body.len());
        let Some(queued) = link.send_query(Body::Call(call), bytes) else {
            self.pending.remove(&id);
            return None;
        };
        Some((answer, queued))
    }

    fn prepare(
        &mut self,
        peer: InstanceId,
        remote: &Remote,
    ) -> (Call, oneshot::Receiver<RemoteAnswer>) {
        let (reply, answer) = oneshot::channel();
        self.latest_id += 1;
        self.pending.insert(self.latest_id, (peer, reply));
        let call = Call {
            id: self.latest_id,
            body: codec::encode(remote),
        };
        (call, answer)
    }

    /// Passes an answer on to the caller that waits for it. An answer that is late,
    /// duplicate or not from the peer that was called is ignored.
    ///
    /// # Errors
    ///
    /// Fails if the answer cannot be decoded; the call stays pending.
    pub fn complete(&mut self, from: InstanceId, response: &Return) -> Result<(), postcard::Error> {
        let is_from = |(peer, _): &(InstanceId, _)| *peer == from;
        if !self.pending.get(&response.id).is_some_and(is_from) {
            return Ok(());
        }
        let answer: RemoteAnswer = codec::decode(&response.body)?;
        if let Some((_, reply)) = self.pending.remove(&response.id) {
            // Sending fails if the caller no longer waits.
            let _ = reply.send(answer);
        }
        Ok(())
    }

    /// Drops calls to peers without a link and calls whose caller no longer waits.
    pub fn remove_abandoned(&mut self, links: &Links) {
        self.pending
            .retain(|_, (peer, reply)| links.contains_key(peer) && !reply.is_closed());
    }
}

/// Answers a peer's call `id` over `link`.
pub fn send_answer(link: &Link, id: u64, answer: &RemoteAnswer) {
    link.send(Body::Return(Return {
        id,
        body: codec::encode(answer),
    }));
}
