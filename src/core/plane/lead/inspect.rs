//! Inspections of workers: when they are sent and what they ask for.

use std::time::Duration;

use super::io::{SentOrder, Work};
use super::{Lead, Now};
use crate::core::plane::state::State;
use crate::core::plane::types::WorkerKey;

/// Maximum time that a worker delays its reply to an inspection until a run ends. Each
/// inspection renews the lease, so an unreachable worker keeps its runs for the lease
/// less this time.
pub(super) const INSPECT_WAIT: Duration = Duration::from_millis(800);
/// Delay before a worker that did not reply is inspected again.
pub(super) const INSPECT_RETRY: Duration = Duration::from_millis(250);
/// Interval of the inspections of a worker with a task on trial. If it crashes, they tell how
/// long the task ran.
pub(super) const TRIAL_INSPECT_INTERVAL: Duration = Duration::from_millis(100);
/// Delay of an inspection that only acknowledges committed ends.
pub(super) const ACKNOWLEDGE_DELAY: Duration = Duration::from_millis(40);

impl Lead {
    // Inspects a worker at once if a reply is overdue. An order that got lost, or that the
    // worker carries out late, is noticed in this way long before it times out. A first call that
    // is overdue is repeated: until a worker has received one, it carries out late orders for its
    // earlier incarnations.
    pub(super) fn probe_if_overdue(&mut self, now: Now, state: &State, key: WorkerKey) {
        let caught_up_to = self.caught_up_to;
        let channel = self.channels.get_mut(key).expect("known worker");
        let mut needs_probe = false;
        for number in channel.take_overdue(caught_up_to) {
            let Some(sent) = self.sent_orders.get(&number) else {
                continue;
            };
            if let Some((task, run)) = sent.run.filter(|_| sent.is_start)
                && let Some(live) = channel.run_mut(task, run)
            {
                live.in_doubt = true;
                needs_probe = true;
            }
            needs_probe |= !channel.adopted && channel.inspection == Some(number);
        }
        if needs_probe && !state.worker(key).departed {
            self.probe(now, state, key);
        }
    }

    /// Inspects a worker without delay, beside any inspection that is outstanding.
    pub(super) fn probe(&mut self, now: Now, state: &State, key: WorkerKey) {
        self.inspect_after(now, state, key, Duration::ZERO);
    }

    /// Inspects a worker. It may delay its reply until a run ends, unless it is idle, has a task
    /// on trial or has left an order unanswered.
    pub(super) fn inspect(&mut self, now: Now, state: &State, key: WorkerKey) {
        let channel = &self.channels[key];
        let is_idle = channel.live().is_empty();
        let may_wait = !is_idle && !channel.is_on_trial();
        let wait = if channel.adopted && may_wait && channel.unanswered_since.is_none() {
            INSPECT_WAIT
        } else {
            Duration::ZERO
        };
        let number = self.inspect_after(now, state, key, wait);
        let channel = self.channels.get_mut(key).expect("known worker");
        channel.inspection = Some(number);
        // Unreachable workers are inspected again without waiting for the reply.
        channel.inspect_at = now.at + INSPECT_RETRY;
    }

    // Sends an inspection that the worker answers after `wait`, or earlier if a run ends.
    fn inspect_after(&mut self, now: Now, state: &State, key: WorkerKey, wait: Duration) -> u64 {
        let lease = self.bounds.max_lease;
        let caught_up_to = self.caught_up_to;
        let channel = self.channels.get_mut(key).expect("known worker");
        // An unresponsive worker may still receive orders. Its lease is not renewed, so
        // that its runs expire and can start elsewhere. Neither is that of a worker that shuts
        // down.
        let has_ended = channel.departing_since.is_some() || channel.live().is_empty();
        let until = if has_ended || channel.is_unresponsive(caught_up_to) {
            None
        } else {
            channel.lease_end(now.at, lease)
        };
        // An acknowledgement that the worker has replied to is not repeated: a later
        // incarnation under the same id numbers its ends from the start, and would drop
        // ends that were never read.
        let seen = if channel.committed_end > channel.acknowledged_end {
            channel.committed_end
        } else {
            0
        };
        let sent = SentOrder {
            worker: key,
            run: None,
            is_start: false,
            seen,
            sent_at: now.at,
            times_out_at: now.at,
        };
        self.order(now, state, key, sent, Work::Inspect { until, seen, wait })
    }

    /// Schedules the acknowledgement of a worker's committed ends.
    pub(super) fn acknowledge_ends(&mut self, now: Now, key: WorkerKey) {
        let Some(channel) = self.channels.get_mut(key) else {
            return;
        };
        if channel.has_uncommitted_ends() || channel.committed_end >= channel.proposed_end {
            return;
        }
        channel.committed_end = channel.proposed_end;
        let delay = if channel.live().is_empty() {
            ACKNOWLEDGE_DELAY
        } else {
            Duration::ZERO
        };
        channel.inspect_at = channel.inspect_at.min(now.at + delay);
    }
}
