//! Table of the leader's view of each worker, indexed by the worker's key.

use std::ops::Index;

use super::channel::Channel;
use crate::core::plane::types::WorkerKey;

/// Channels by worker key. Keys are dense, so that a look-up costs the same on a large fleet.
#[derive(Debug, Default)]
pub struct Channels {
    slots: Vec<Option<Channel>>,
    count: usize,
}

impl Channels {
    /// Returns the number of channels.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Returns whether there are no channels.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the channel of a worker, if there is one.
    pub fn get(&self, key: WorkerKey) -> Option<&Channel> {
        self.slots.get(key.0 as usize)?.as_ref()
    }

    /// Returns the channel of a worker for modification, if there is one.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Channel> {
        self.slots.get_mut(key.0 as usize)?.as_mut()
    }

    /// Returns whether there is a channel of this worker.
    pub fn contains(&self, key: WorkerKey) -> bool {
        self.get(key).is_some()
    }

    /// Adds the channel of a worker. Replaces an earlier one.
    pub fn insert(&mut self, key: WorkerKey, channel: Channel) {
        let index = key.0 as usize;
        if self.slots.len() <= index {
            self.slots.resize_with(index + 1, || None);
        }
        self.count += usize::from(self.slots[index].is_none());
        self.slots[index] = Some(channel);
    }

    /// Removes the channel of a worker.
    pub fn remove(&mut self, key: WorkerKey) {
        let slot = self.slots.get_mut(key.0 as usize);
        let removed = slot.and_then(Option::take);
        self.count -= usize::from(removed.is_some());
    }

    /// Iterates over the channels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Channel)> {
        (0..)
            .map(WorkerKey)
            .zip(&self.slots)
            .filter_map(|(key, channel)| Some((key, channel.as_ref()?)))
    }

    /// Iterates over the channels without their keys.
    pub fn values(&self) -> impl Iterator<Item = &Channel> {
        self.slots.iter().flatten()
    }

    /// Iterates over the keys.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> {
        self.iter().map(|(key, _)| key)
    }
}

impl Index<WorkerKey> for Channels {
    type Output = Channel;

    fn index(&self, key: WorkerKey) -> &Channel {
        self.get(key).expect("channel of a known worker")
    }
}
