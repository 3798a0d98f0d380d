//! Admission by the gate (order, fairness, deadlines, worth), retries, and the claim
//! table that keeps a request from running twice.

use std::collections::BTreeMap;
use std::time::Duration;

use plantaincross::core::claim::{Answer, Id, Record, State, Table, Verdict};
use plantaincross::core::gate::{
    Admission, Announcement, Assignment, Completion, Gate, Request, ServiceKey, SourceKey, TeamKey,
    Ticket, resource_of,
};
use plantaincross::core::registry::InstanceId;
use plantaincross::core::retry::{Budget, backoff};
use plantaincross::core::time::Moment;
use plantaincross::error::Kind;
use plantaincross::util::resource_id;
use plantaincross::wire::Balance;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: Moment = Moment::from_millis(1_000_000);
/// Queue depth that stands for a team sending one request every ten milliseconds.
const ONE_PER_10_MS: usize = usize::MAX;
const MS: Duration = Duration::from_millis(1);

struct Harness {
    gate: Gate,
    service: ServiceKey,
    teams: Vec<TeamKey>,
}

impl Harness {
    fn new(shares: &[u32], upstreams: u16, slots: u32) -> Self {
        let mut gate = Gate::new();
        let source = SourceKey(0);
        gate.set_team_source(source);
        gate.renew(source, Moment(u64::MAX));
        let service = gate.put_service("s", 100_000);
        let teams = (0..)
            .zip(shares)
            .map(|(index, &share)| {
                let name = format!("t{index}");
                let key = gate.put_team(&name, share);
                let balance = Balance {
                    resource: resource_id(&name).0,
                    given: 1_000_000,
                    returned: 0,
                };
                gate.receive_unit_balances(&[balance]);
                key
            })
            .collect();
        for index in 0..upstreams {
            let announcement = Announcement {
                name: format!("u{index}"),
                incarnation: 1,
                service: "s".to_owned(),
                zone: "z".to_owned(),
                address: ([127, 0, 0, 1], 1 + index).into(),
                slots,
                connections: 64,
            };
            let resource = resource_of(&announcement);
            gate.put_upstream(announcement, source, false);
            gate.receive_slots(resource, u64::from(slots));
        }
        Self {
            gate,
            service,
            teams,
        }
    }

    fn submit(&mut self, now: Moment, team: usize, worth: u64, deadline: Duration) -> Admission {
        let request = Request {
            team: self.teams[team],
            service: self.service,
            worth,
            deadline: now + deadline,
        };
        self.gate.submit(now, request)
    }

    /// Keeps `depth` requests of each team waiting for `steps` of 1 ms. A request takes
    /// `service_time`. Returns the numbers of completed requests by team.
    fn run_saturated(&mut self, depth: &[usize], service_time: Duration, steps: u32) -> Vec<u64> {
        let mut running: Vec<(Moment, Assignment, usize)> = Vec::new();
        let mut waiting: BTreeMap<Ticket, usize> = BTreeMap::new();
        let mut counts = vec![0usize; depth.len()];
        let mut completed = vec![0; depth.len()];
        for step in 0..steps {
            let now = START + MS * step;
            let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
            running = rest;
            for (_, assignment, team) in ended {
                self.gate.finish(now, assignment, Completion::Answered);
                completed[team] += 1;
            }
            for team in 0..depth.len() {
                let is_paced = depth[team] == ONE_PER_10_MS;
                let mut to_send = if is_paced {
                    usize::from(step % 10 == 0)
                } else {
                    usize::MAX
                };
                while to_send > 0 && counts[team] < depth[team] {
                    to_send -= 1;
                    match self.submit(now, team, 1, Duration::from_secs(3_600)) {
                        Admission::Start(a) => running.push((now + service_time, a, team)),
                        Admission::Wait { ticket, .. } => {
                            waiting.insert(ticket, team);
                            counts[team] += 1;
                        }
                        Admission::Refuse(_) => break,
                    }
                }
            }
            for (ticket, assignment) in self.gate.dispatch(now) {
                let team = waiting.remove(&ticket).expect("waits");
                counts[team] -= 1;
                running.push((now + service_time, assignment, team));
            }
        }
        completed
    }
}

fn is_close(got: u64, expected: f64) -> bool {
    (got as f64 - expected).abs() <= expected * 0.05
}

macro_rules! cases {
    ($(fn $name:ident() $body:block)*) => { $(#[test] fn $name() $body)* };
}

cases! {
    fn teams_get_their_shares_of_full_slots() {
        let mut harness = Harness::new(&[3, 1, 1], 4, 8);
        let completed = harness.run_saturated(&[50, 50, 50], MS * 20, 4_000);
        let total: u64 = completed.iter().sum();
        assert!(total as f64 > 32.0 * 4_000.0 / 20.0 * 0.95, "{total}");
        for (got, part) in completed.iter().zip([0.6, 0.2, 0.2]) {
            assert!(is_close(*got, total as f64 * part), "{completed:?}");
        }
    }

    fn two_saturating_teams_leave_a_small_team_its_demand() {
        let mut harness = Harness::new(&[1, 1, 1], 2, 8);
        // 16 slots of 20 ms serve 800 requests per second; the small team sends 100.
        let completed = harness.run_saturated(&[500, 500, ONE_PER_10_MS], MS * 20, 4_000);
        let total: u64 = completed.iter().sum();
        assert!(is_close(completed[2], 400.0), "{completed:?}");
        assert!(is_close(completed[0], (total - completed[2]) as f64 / 2.0), "{completed:?}");
    }

    fn idle_time_earns_a_team_no_credit() {
        let mut harness = Harness::new(&[1, 1], 2, 8);
        harness.run_saturated(&[50, 0], MS * 20, 2_000);
        let completed = harness.run_saturated(&[50, 50], MS * 20, 2_000);
        assert!(is_close(completed[0], completed.iter().sum::<u64>() as f64 / 2.0), "{completed:?}");
    }

    fn a_team_starts_requests_in_order_of_worth() {
        let mut harness = Harness::new(&[1], 1, 1);
        let Admission::Start(first) = harness.submit(START, 0, 1, MS * 60_000) else {
            panic!("starts");
        };
        let mut tickets = Vec::new();
        for worth in [2, 9, 5] {
            let Admission::Wait { ticket, .. } = harness.submit(START, 0, worth, MS * 60_000) else {
                panic!("waits");
            };
            tickets.push(ticket);
        }
        harness.gate.finish(START, first, Completion::Unsent);
        let mut order = Vec::new();
        while let Some((ticket, assignment)) = harness.gate.start_next(START, harness.service) {
            order.push(tickets.iter().position(|t| *t == ticket).expect("known"));
            harness.gate.finish(START, assignment, Completion::Unsent);
        }
        assert_eq!(order, [1, 2, 0]);
    }

    fn worth_under_twofold_overload_stays_near_the_upper_bound() {
        let mut harness = Harness::new(&[1], 1, 8);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let service_time = MS * 40;
        let mut running: Vec<(Moment, Moment, Assignment, u64)> = Vec::new();
        let mut waiting: BTreeMap<Ticket, (Moment, u64)> = BTreeMap::new();
        let mut offered = Vec::new();
        let mut gained = 0;
        // 8 slots of 40 ms serve 200 requests per second; 400 per second are sent.
        for step in 0..20_000u32 {
            let now = START + MS * step;
            let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|r| r.0 <= now);
            running = rest;
            for (end, deadline, assignment, worth) in ended {
                harness.gate.finish(now, assignment, Completion::Answered);
                gained += if end <= deadline { worth } else { 0 };
            }
            for ticket in harness.gate.expire(now) {
                waiting.remove(&ticket);
            }
            if rng.random_ratio(2, 5) {
                let worth = rng.random_range(1..100);
                let deadline = now + MS * rng.random_range(60..1_000);
                offered.push(worth);
                let request = Request { team: harness.teams[0], service: harness.service, worth, deadline };
                match harness.gate.submit(now, request) {
                    Admission::Start(a) => running.push((now + service_time, deadline, a, worth)),
                    Admission::Wait { ticket, .. } => { waiting.insert(ticket, (deadline, worth)); }
                    Admission::Refuse(_) => {}
                }
            }
            for (ticket, assignment) in harness.gate.dispatch(now) {
                let (deadline, worth) = waiting.remove(&ticket).expect("waits");
                running.push((now + service_time, deadline, assignment, worth));
            }
        }
        // Upper bound: the half of all requests with the highest worth.
        offered.sort_unstable_by(|a, b| b.cmp(a));
        let upper_bound: u64 = offered.iter().take(200 * 20).sum();
        assert!(gained * 100 >= upper_bound * 90, "{gained} of {upper_bound}");
    }

    fn request_that_cannot_meet_its_deadline_is_refused() {
        let mut harness = Harness::new(&[1], 1, 1);
        harness.run_saturated(&[3], MS * 100, 1_000);
        let now = START + MS * 1_000;
        let admission = harness.submit(now, 0, 0, MS * 150);
        assert!(matches!(admission, Admission::Refuse(r) if r.kind == Kind::DeadlineUnmeetable), "{admission:?}");
    }

    fn expired_allotment_starts_nothing() {
        let mut harness = Harness::new(&[1], 1, 4);
        let mut gate = Gate::new();
        std::mem::swap(&mut gate, &mut harness.gate);
        // The harness never lets its source expire, so a second one with a lease of 1 ms
        // allots the team's units.
        let source = SourceKey(1);
        gate.set_team_source(source);
        gate.renew(source, START + MS);
        harness.gate = gate;
        assert!(matches!(harness.submit(START, 0, 1, MS * 900), Admission::Start(_)));
        assert!(matches!(harness.submit(START + MS, 0, 1, MS * 900), Admission::Wait { .. }));
    }

    fn retries_stay_within_a_tenth_of_successes_when_most_exchanges_fail() {
        let mut budget = Budget::default();
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        let (mut retries, mut successes) = (0u32, 0u32);
        for _ in 0..10_000 {
            // Nine of ten first attempts fail, and so do their retries.
            if rng.random_ratio(1, 10) {
                budget.record_success();
                successes += 1;
            } else if budget.spend() {
                retries += 1;
            }
        }
        let saved = 10;
        assert!(retries <= saved + successes / 10, "{retries} retries, {successes} successes");
        assert!(retries > 0);
    }

    fn backoff_grows_to_its_cap_with_jitter() {
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        for attempt in 0..40 {
            let limit = (MS * 5).saturating_mul(1 << attempt.min(10)).min(MS * 250);
            let delays: Vec<Duration> = (0..50).map(|_| backoff(attempt, &mut rng)).collect();
            assert!(delays.iter().all(|delay| *delay <= limit), "{attempt}");
            assert!(delays.iter().any(|delay| *delay > limit / 2), "{attempt}");
        }
    }

    fn full_queue_displaces_requests_of_less_worth() {
        let mut harness = Harness::new(&[1], 1, 1);
        harness.gate.put_service("s", 2);
        for worth in [5, 6, 7] {
            harness.submit(START, 0, worth, MS * 60_000);
        }
        let low = harness.submit(START, 0, 1, MS * 60_000);
        assert!(matches!(low, Admission::Refuse(r) if r.kind == Kind::Overloaded));
        let high = harness.submit(START, 0, 9, MS * 60_000);
        assert!(matches!(high, Admission::Wait { displaced: Some(_), .. }), "{high:?}");
    }
}

const RETENTION: Duration = Duration::from_secs(60);
const OWNER: InstanceId = InstanceId(1);

fn answer(body: &str) -> Answer {
    Answer {
        status: 200,
        content_type: None,
        body: body.into(),
    }
}

cases! {
    fn claim_is_granted_once_and_then_repeats_the_answer() {
        let mut table = Table::default();
        let id = Id::of("t", "1");
        let claim = |table: &mut Table, body| table.claim(START, id, body, OWNER, None, RETENTION);
        assert_eq!(claim(&mut table, 7), Verdict::Granted);
        assert_eq!(claim(&mut table, 7), Verdict::Refused(Kind::InProgress));
        assert_eq!(claim(&mut table, 8), Verdict::Refused(Kind::IdReused));
        table.finish(id, OWNER, Some(answer("a")));
        assert_eq!(claim(&mut table, 7), Verdict::Repeat(answer("a")));
        table.release(id, OWNER);
        assert_eq!(claim(&mut table, 7), Verdict::Repeat(answer("a")));
    }

    fn incomplete_table_refuses_ids_that_may_have_run() {
        let mut table = Table::default();
        table.mark_incomplete(START);
        let mut claim = |now, request, generated_age| {
            table.claim(now, Id::of("t", request), 1, OWNER, generated_age, RETENTION)
        };
        let later = START + Duration::from_secs(10);
        assert_eq!(claim(later, "chosen", None), Verdict::Refused(Kind::ClaimUnknown));
        let old = Some(Duration::from_secs(11));
        assert_eq!(claim(later, "old", old), Verdict::Refused(Kind::ClaimUnknown));
        let young = Some(Duration::from_secs(9));
        assert_eq!(claim(later, "young", young), Verdict::Granted);
        assert_eq!(claim(START + RETENTION, "chosen", None), Verdict::Granted);
    }

    fn generated_id_older_than_the_retention_never_runs() {
        let mut table = Table::default();
        let verdict = table.claim(START, Id::of("t", "1"), 1, OWNER, Some(RETENTION), RETENTION);
        assert_eq!(verdict, Verdict::Refused(Kind::ClaimUnknown));
    }

    fn later_copy_replaces_an_earlier_one_only() {
        let mut table = Table::default();
        let id = Id::of("t", "1");
        let record = |state| Record { id, body: 1, owner: OWNER, age: Duration::ZERO, state };
        table.merge(START, vec![record(State::Answered(Some(answer("a"))))]);
        table.merge(START, vec![record(State::Running)]);
        let verdict = table.claim(START, id, 1, InstanceId(2), None, RETENTION);
        assert_eq!(verdict, Verdict::Repeat(answer("a")));
    }
}
