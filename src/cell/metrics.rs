//! Prometheus metrics of an instance of a cell with a single task plane.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::ingress::Budget;

/// Label that tells the outcomes of one operation apart.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub struct Outcome {
    /// Value of the label.
    pub outcome: String,
}

/// Metrics of one instance; clones share their values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
    /// Callers' requests by HTTP status.
    pub requests: Family<Outcome, Counter>,
    /// Time to answer a caller's request, in seconds.
    pub request_seconds: Histogram,
    /// Orders to workers by outcome.
    pub orders: Family<Outcome, Counter>,
    /// Time for workers to answer start and stop orders, in seconds.
    pub order_seconds: Histogram,
    /// Ended runs by the way in which they ended.
    pub run_ends: Family<Outcome, Counter>,
    /// Permission requests by outcome.
    pub permission_requests: Family<Outcome, Counter>,
    /// Time from proposing a log entry to applying it, in seconds.
    pub commit_seconds: Histogram,
    /// Time from accepting a job to placing one of its runs, in seconds.
    pub placement_wait_seconds: Histogram,
    /// Delay between the expiry of a timer and its handling on the leader, in seconds.
    pub leader_delay_seconds: Histogram,
    /// Time of a planning round, in seconds.
    pub planning_seconds: Histogram,
    /// 1 if this instance leads, else 0.
    pub is_leader: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Jobs that have not ended.
    pub open_jobs: Gauge,
    /// Estimated memory of all jobs, in bytes.
    pub job_bytes: Gauge,
    /// Jobs refused because accepted ones hold too much, by what is short.
    pub jobs_without_room: Family<Outcome, Counter>,
    /// Workers whose incarnation has not ended, which may be given work.
    pub workers: Gauge,
    /// Availability zones that are evacuated.
    pub evacuated_zones: Gauge,
    /// Ordered pairs of images that count as interfering; 0 if this instance does not lead.
    pub interfering_pairs: Gauge,
    /// Log lines dropped because the reader was too slow.
    pub lines_dropped: Gauge,
}

fn duration_histogram() -> Histogram {
    // Upper bounds from 1 ms to about 16 s.
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("plantaincross");
        let metrics = Self {
            registry: Arc::default(),
            requests: Family::default(),
            request_seconds: duration_histogram(),
            orders: Family::default(),
            order_seconds: duration_histogram(),
            run_ends: Family::default(),
            permission_requests: Family::default(),
            commit_seconds: duration_histogram(),
            placement_wait_seconds: duration_histogram(),
            leader_delay_seconds: duration_histogram(),
            planning_seconds: duration_histogram(),
            is_leader: Gauge::default(),
            config_version: Gauge::default(),
            open_jobs: Gauge::default(),
            job_bytes: Gauge::default(),
            jobs_without_room: Family::default(),
            workers: Gauge::default(),
            evacuated_zones: Gauge::default(),
            interfering_pairs: Gauge::default(),
            lines_dropped: Gauge::default(),
        };
        let m = &metrics;
        registry.register("requests", "Requests by status", m.requests.clone());
        registry.register(
            "request_seconds",
            "Time to answer",
            m.request_seconds.clone(),
        );
        registry.register("orders", "Orders to workers", m.orders.clone());
        registry.register("order_seconds", "Time of orders", m.order_seconds.clone());
        registry.register("ends", "Ends of runs", m.run_ends.clone());
        registry.register(
            "questions",
            "Permission questions",
            m.permission_requests.clone(),
        );
        registry.register("commit_seconds", "Time to commit", m.commit_seconds.clone());
        registry.register(
            "wait_seconds",
            "Wait of runs",
            m.placement_wait_seconds.clone(),
        );
        registry.register(
            "leader_delay_seconds",
            "Delay of the leader's event loop",
            m.leader_delay_seconds.clone(),
        );
        registry.register(
            "planning_seconds",
            "Time of a planning round",
            m.planning_seconds.clone(),
        );
        registry.register("leads", "Whether this leads", m.is_leader.clone());
        registry.register(
            "configuration",
            "Version in force",
            m.config_version.clone(),
        );
        registry.register("open_jobs", "Jobs not ended", m.open_jobs.clone());
        registry.register("job_bytes", "Memory of jobs", m.job_bytes.clone());
        registry.register(
            "jobs_without_room",
            "Jobs refused for lack of room",
            m.jobs_without_room.clone(),
        );
        registry.register("workers", "Workers known", m.workers.clone());
        registry.register(
            "evacuated_zones",
            "Evacuated zones",
            m.evacuated_zones.clone(),
        );
        registry.register(
            "interfering_pairs",
            "Pairs of images that interfere",
            m.interfering_pairs.clone(),
        );
        registry.register("lines_dropped", "Lines dropped", m.lines_dropped.clone());
        *metrics.registry.lock().expect("registry lock") = registry;
        metrics
    }
}

impl Metrics {
    /// Adds the metrics of the budget for clients' requests.
    pub fn register_ingress(&self, budget: &Budget) {
        budget.register(&mut self.registry.lock().expect("registry lock"));
    }

    /// Increments the counter for `outcome`.
    pub fn count(family: &Family<Outcome, Counter>, outcome: impl Into<String>) {
        let outcome = outcome.into();
        family.get_or_create(&Outcome { outcome }).inc();
    }

    /// Records a duration.
    pub fn observe(histogram: &Histogram, duration: Duration) {
        histogram.observe(duration.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock().expect("registry lock");
        encode(&mut text, &registry).expect("writing to a string");
        text
    }
}
