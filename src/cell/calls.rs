//! Questions to peers that wait for their answer.

use std::collections::HashMap;

use tokio::sync::oneshot;

use super::{Links, Remote, RemoteAnswer};
use crate::core::plane::codec;
use crate::core::registry::InstanceId;
use crate::net::Link;
use crate::wire::{Body, Call, Return};

/// Open questions of one instance.
#[derive(Debug, Default)]
pub struct Calls {
    next: u64,
    open: HashMap<u64, (InstanceId, oneshot::Sender<RemoteAnswer>)>,
}

impl Calls {
    /// Sends a question over a link.
    pub fn send(
        &mut self,
        peer: InstanceId,
        link: &Link,
        remote: &Remote,
    ) -> oneshot::Receiver<RemoteAnswer> {
        let (reply, answer) = oneshot::channel();
        self.next += 1;
        self.open.insert(self.next, (peer, reply));
        link.send(Body::Call(Call {
            id: self.next,
            body: codec::encode(remote),
        }));
        answer
    }

    /// Takes an answer. One that came too late or twice belongs to nothing.
    pub fn take(&mut self, from: InstanceId, back: &Return) -> Result<(), postcard::Error> {
        let is_from = |(peer, _): &(InstanceId, _)| *peer == from;
        if !self.open.get(&back.id).is_some_and(is_from) {
            return Ok(());
        }
        let answer: RemoteAnswer = codec::decode(&back.body)?;
        if let Some((_, reply)) = self.open.remove(&back.id) {
            // The caller may have given up waiting.
            let _ = reply.send(answer);
        }
        Ok(())
    }

    /// Gives up questions to a peer whose links are down, and those that nobody
    /// waits for.
    pub fn sweep(&mut self, links: &Links) {
        self.open
            .retain(|_, (peer, reply)| links.contains_key(peer) && !reply.is_closed());
    }
}

/// Sends an answer.
pub fn answer(link: &Link, id: u64, answer: &RemoteAnswer) {
    link.send(Body::Return(Return {
        id,
        body: codec::encode(answer),
    }));
}
