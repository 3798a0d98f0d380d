//! Metrics of one instance, in the Prometheus text format.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::core::gate::TeamStat;
use crate::core::share::{Claimant, shortfalls};
use crate::core::time::Moment;
use crate::error::Kind;
use crate::ingress::Budget;
use crate::net::Counters;

/// Length of the window over which shortfalls from fair shares are measured.
const SHARE_WINDOW: Duration = Duration::from_secs(10);
/// Longest waiting time that the totals distinguish, one hour; longer ones count as this.
const WAIT_MAX_US: u64 = 3_600_000_000;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KindLabels {
    kind: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TeamLabels {
    team: String,
}

type Fraction = Gauge<f64, AtomicU64>;

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    waiting: Histogram,
    refusals: Family<KindLabels, Counter>,
    retries: Counter,
    completed: Family<TeamLabels, Gauge>,
    running: Family<TeamLabels, Gauge>,
    queued: Family<TeamLabels, Gauge>,
    units: Family<TeamLabels, Gauge>,
    slots_used: Gauge,
    slots_granted: Gauge,
    shortfall_max: Fraction,
    shortfall_mean: Fraction,
    messages_sent: Gauge,
    bytes_sent: Gauge,
    messages_received: Gauge,
    bytes_received: Gauge,
    share_tracker: Mutex<ShareTracker>,
    totals: Mutex<Totals>,
}

/// Statistics since the start of the instance, for reports of load tests.
#[derive(Clone, Debug)]
pub struct Totals {
    /// Waiting times of admitted requests, in microseconds.
    pub waiting: hdrhistogram::Histogram<u64>,
    /// Number of refusals and failures by kind.
    pub refused: BTreeMap<Kind, u64>,
}

impl Default for Totals {
    fn default() -> Self {
        Self {
            waiting: hdrhistogram::Histogram::new(2).expect("valid precision"),
            refused: BTreeMap::new(),
        }
    }
}

impl Totals {
    /// Adds the statistics of another instance.
    pub fn add(&mut self, other: &Self) {
        self.waiting.add(&other.waiting).expect("grows as needed");
        for (kind, count) in &other.refused {
            *self.refused.entry(*kind).or_default() += count;
        }
    }
}

impl Default for Metrics {
    fn default() -> Self {
        // Buckets from 1 ms to about 16 s.
        let waiting = Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let mut metrics = Self {
            registry: Mutex::default(),
            waiting,
            refusals: Family::default(),
            retries: Counter::default(),
            completed: Family::default(),
            running: Family::default(),
            queued: Family::default(),
            units: Family::default(),
            slots_used: Gauge::default(),
            slots_granted: Gauge::default(),
            shortfall_max: Fraction::default(),
            shortfall_mean: Fraction::default(),
            messages_sent: Gauge::default(),
            bytes_sent: Gauge::default(),
            messages_received: Gauge::default(),
            bytes_received: Gauge::default(),
            share_tracker: Mutex::default(),
            totals: Mutex::default(),
        };
        metrics.registry = Mutex::new(metrics.register());
        metrics
    }
}

impl Metrics {
    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("plantaincross");
        registry.register(
            "waiting_seconds",
            "Time from the arrival of a request to its slot",
            self.waiting.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused or failed, by kind",
            self.refusals.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "completed_requests",
            "Requests answered whole, by team",
            self.completed.clone(),
        );
        registry.register(
            "running_requests",
            "Requests running, by team",
            self.running.clone(),
        );
        registry.register(
            "queued_requests",
            "Requests waiting, by team",
            self.queued.clone(),
        );
        registry.register(
            "limit_units",
            "Units of the team's limit allotted here",
            self.units.clone(),
        );
        registry.register("slots_used", "Slots in use", self.slots_used.clone());
        registry.register(
            "slots_granted",
            "Slots allotted here",
            self.slots_granted.clone(),
        );
        registry.register(
            "share_shortfall_max",
            "Largest shortfall from its share of a team with demand",
            self.shortfall_max.clone(),
        );
        registry.register(
            "share_shortfall_mean",
            "Mean shortfall from their shares of teams with demand",
            self.shortfall_mean.clone(),
        );
        registry.register(
            "control_messages_sent",
            "Messages sent to peers",
            self.messages_sent.clone(),
        );
        registry.register(
            "control_bytes_sent",
            "Bytes sent to peers",
            self.bytes_sent.clone(),
        );
        registry.register(
            "control_messages_received",
            "Messages received from peers",
            self.messages_received.clone(),
        );
        registry.register(
            "control_bytes_received",
            "Bytes received from peers",
            self.bytes_received.clone(),
        );
        registry
    }

    /// Adds the metrics of the budget for callers' requests.
    pub fn register_ingress(&self, budget: &Budget) {
        budget.register(&mut self.registry.lock().expect("registry lock"));
    }

    /// Records the waiting time of a request that got a slot.
    pub fn record_wait(&self, time: Duration) {
        self.waiting.observe(time.as_secs_f64());
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let mut totals = self.totals.lock().expect("totals lock");
        // The histogram resizes itself and the value is bounded, so recording cannot fail.
        let _ = totals.waiting.record(micros.min(WAIT_MAX_US));
    }

    /// Returns the statistics since the start of the instance.
    pub fn totals(&self) -> Totals {
        self.totals.lock().expect("totals lock").clone()
    }

    /// Counts a refusal or failure.
    pub fn record_refusal(&self, kind: Kind) {
        let label = KindLabels {
            kind: kind.to_string(),
        };
        self.refusals.get_or_create(&label).inc();
        let mut totals = self.totals.lock().expect("totals lock");
        *totals.refused.entry(kind).or_default() += 1;
    }

    /// Counts a retry.
    pub fn record_retry(&self) {
        self.retries.inc();
    }

    /// Samples the usage of all teams, and updates the shortfall gauges at the end of a window.
    pub fn sample(&self, now: Moment, teams: &[TeamStat]) {
        let mut tracker = self.share_tracker.lock().expect("share tracker lock");
        if let Some((max, mean)) = tracker.sample(now, teams) {
            self.shortfall_max.set(max);
            self.shortfall_mean.set(mean);
        }
    }

    /// Updates the gauges from the given values and returns all metrics in the Prometheus text
    /// format. `slots` are the slots in use and those allotted.
    pub fn encode(&self, teams: &[TeamStat], slots: (u64, u64), links: &Counters) -> String {
        for team in teams {
            let label = TeamLabels {
                team: team.team.clone(),
            };
            set(&self.completed.get_or_create(&label), team.completed);
            set(&self.running.get_or_create(&label), team.running);
            set(&self.queued.get_or_create(&label), team.waiting);
            set(&self.units.get_or_create(&label), team.allowed);
        }
        set(&self.slots_used, slots.0);
        set(&self.slots_granted, slots.1);
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        set(&self.messages_sent, load(&links.sent));
        set(&self.bytes_sent, load(&links.sent_bytes));
        set(&self.messages_received, load(&links.received));
        set(&self.bytes_received, load(&links.received_bytes));
        let mut text = String::new();
        let registry = self.registry.lock().expect("registry lock");
        encode(&mut text, &registry).expect("text takes all metrics");
        text
    }
}

fn set(gauge: &Gauge, value: u64) {
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
}

/// Measures how far teams fell short of their fair shares of slot time in a window.
#[derive(Debug, Default)]
pub struct ShareTracker {
    since: Moment,
    slot_time_before: BTreeMap<String, Duration>,
    had_waiting: BTreeMap<String, bool>,
}

impl ShareTracker {
    /// Samples the usage of all teams. At the end of a window, returns the largest shortfall and
    /// the mean over the teams that used slots. A team with waiting requests at any sample counts
    /// as having unlimited demand.
    pub fn sample(&mut self, now: Moment, teams: &[TeamStat]) -> Option<(f64, f64)> {
        for team in teams {
            let had_waiting = self.had_waiting.entry(team.team.clone()).or_default();
            *had_waiting |= team.waiting > 0;
        }
        if now.since(self.since) < SHARE_WINDOW {
            return None;
        }
        let used: Vec<f64> = teams
            .iter()
            .map(|team| {
                let slot_time_before = self
                    .slot_time_before
                    .get(&team.team)
                    .copied()
                    .unwrap_or_default();
                team.slot_time
                    .saturating_sub(slot_time_before)
                    .as_secs_f64()
            })
            .collect();
        let capacity: f64 = used.iter().sum();
        let claimants: Vec<Claimant> = teams
            .iter()
            .zip(&used)
            .map(|(team, &used)| Claimant {
                weight: f64::from(team.share.max(1)),
                demand: if self.had_waiting.get(&team.team) == Some(&true) {
                    capacity
                } else {
                    used
                },
            })
            .collect();
        let team_shortfalls = shortfalls(capacity, &claimants, &used);
        let active = used.iter().filter(|used| **used > 0.0).count().max(1);
        let max = team_shortfalls.iter().copied().fold(0.0, f64::max);
        let mean = team_shortfalls.iter().sum::<f64>() / active as f64;
        self.since = now;
        self.had_waiting.clear();
        self.slot_time_before = teams
            .iter()
            .map(|team| (team.team.clone(), team.slot_time))
            .collect();
        Some((max, mean))
    }
}
