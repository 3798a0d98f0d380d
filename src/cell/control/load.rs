//! Load of the event loop of a leader: how late it handles inputs and what takes its time.

use std::time::Duration;

use crate::cell::journal::Line;
use crate::core::plane::lead::Tally;
use crate::core::time::Moment;

/// Interval of the timers whose delay is measured.
pub(super) const DELAY_TIMER_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of the log lines on the load.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Work of the event loop since the latest log line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    since: Moment,
    delay_max: Duration,
    busy: Duration,
    planning: Duration,
    rounds: u64,
    ticking: Duration,
    ticks: u64,
    inputs: u64,
    replies: u64,
    permissions: u64,
    queries: u64,
    steps_waiting: usize,
    steps_searched: usize,
    tasks_started: usize,
}

impl Load {
    /// Starts the measurement at `now`.
    pub(super) fn starting(now: Moment) -> Self {
        Self {
            since: now,
            ..Self::default()
        }
    }

    /// Records the delay of a timer, which takes the same way as a worker's reply.
    pub(super) fn record_delay(&mut self, delay: Duration) {
        self.delay_max = self.delay_max.max(delay);
    }

    /// Records the handling of an input.
    pub(super) fn record_input(&mut self) {
        self.inputs += 1;
    }

    /// Records the handling of a worker's reply.
    pub(super) fn record_reply(&mut self) {
        self.replies += 1;
    }

    /// Records the handling of an answer of the permission service.
    pub(super) fn record_permission(&mut self) {
        self.permissions += 1;
    }

    /// Records the handling of a query.
    pub(super) fn record_query(&mut self) {
        self.queries += 1;
    }

    /// Records an iteration of the loop that took `busy` without the wait for inputs.
    pub(super) fn record_iteration(&mut self, busy: Duration) {
        self.busy += busy;
    }

    /// Records a planning round.
    pub(super) fn record_round(&mut self, took: Duration, tally: Tally) {
        self.planning += took;
        self.rounds += 1;
        self.steps_waiting = self.steps_waiting.max(tally.waiting);
        self.steps_searched += tally.searched;
        self.tasks_started += tally.started;
    }

    /// Records a check of all workers for what is due.
    pub(super) fn record_tick(&mut self, took: Duration) {
        self.ticking += took;
        self.ticks += 1;
    }

    /// Returns the log line that is due, if one is, and starts the next interval.
    pub(super) fn take_line(&mut self, now: Moment) -> Option<Line> {
        let interval = now.since(self.since);
        if interval < LINE_INTERVAL {
            return None;
        }
        let done = std::mem::replace(self, Self::starting(now));
        let millis = |duration: Duration| duration.as_millis() as u64;
        Some(Line::LeaderLoad {
            interval_ms: millis(interval),
            delay_max_ms: millis(done.delay_max),
            busy_ms: millis(done.busy),
            planning_ms: millis(done.planning),
            rounds: done.rounds,
            ticking_ms: millis(done.ticking),
            ticks: done.ticks,
            inputs: done.inputs,
            replies: done.replies,
            permissions: done.permissions,
            queries: done.queries,
            steps_waiting_max: done.steps_waiting,
            steps_searched: done.steps_searched,
            tasks_started: done.tasks_started,
        })
    }
}
