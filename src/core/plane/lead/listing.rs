//! Which waiting steps a planning round lists, and whose steps it searches workers for.
//!
//! The load that it handles: client accounts with more waiting steps than a round can rank, or
//! with steps whose searches find nothing. The time of a round is bounded whatever waits, and
//! each account gets a turn whatever the others have waiting.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::core::plane::job::Job;
use crate::core::plane::state::State;
use crate::core::plane::types::{AccountKey, JobId};
use crate::core::share::{Claimant, divide};
use crate::core::time::Moment;

/// Number of steps and dependencies that a round lists. More are divided among the accounts, and
/// listed in turn.
const LISTED_MAX: usize = 30_000;
/// Time without a search after which the steps of an account are searched although the round has
/// reached its limit, or the leader is behind.
const TURN_INTERVAL: Duration = Duration::from_millis(500);

/// Account of a job; absent on an open queue without a key.
type Account = Option<AccountKey>;
/// Occurrence and index of a step of a job.
pub(super) type Position = (usize, usize);

/// A job of which a round lists steps.
pub(super) struct Listed {
    pub(super) job: JobId,
    /// First step to list.
    pub(super) from: Position,
    /// Number of steps and dependencies to list.
    pub(super) count: usize,
}

/// Next job, and step of it, to list of each account that has more waiting than a round lists.
#[derive(Clone, Debug, Default)]
pub(super) struct Listing {
    next: BTreeMap<Account, (JobId, Position)>,
}

impl Listing {
    /// Selects the steps that a round lists. `wall_ms` is the time of day in milliseconds since
    /// the Unix epoch.
    pub(super) fn select(
        &mut self,
        wall_ms: u64,
        state: &State,
        waiting: &BTreeSet<JobId>,
    ) -> Vec<Listed> {
        let listed = waiting.iter().map(|&job| Listed {
            job,
            from: (0, 0),
            count: listed_count(wall_ms, &state.jobs[&job]),
        });
        let listed: Vec<Listed> = listed.collect();
        if listed.iter().map(|listed| listed.count).sum::<usize>() <= LISTED_MAX {
            self.next.clear();
            return listed;
        }
        let mut by_account: BTreeMap<Account, Vec<Listed>> = BTreeMap::new();
        for listed in listed {
            let account = state.jobs[&listed.job].account;
            by_account.entry(account).or_default().push(listed);
        }
        let claimants = by_account.values().map(|jobs| Claimant {
            weight: 1.0,
            demand: jobs.iter().map(|listed| listed.count).sum::<usize>() as f64,
        });
        let claimants: Vec<Claimant> = claimants.collect();
        let shares = divide(LISTED_MAX as f64, &claimants);
        let mut selected = Vec::new();
        for ((account, jobs), (claimant, share)) in
            by_account.into_iter().zip(claimants.iter().zip(shares))
        {
            if share < claimant.demand {
                selected.extend(self.take(account, jobs, (share as usize).max(1)));
            } else {
                self.next.remove(&account);
                selected.extend(jobs);
            }
        }
        selected
    }

    // Takes up to `count` steps and dependencies of an account's jobs, from where the round before
    // ended.
    fn take(&mut self, account: Account, mut jobs: Vec<Listed>, mut count: usize) -> Vec<Listed> {
        let next = self.next.get(&account).copied();
        let (job, from) = next.unwrap_or((JobId(0), (0, 0)));
        let first = jobs.partition_point(|listed| listed.job < job);
        jobs.rotate_left(first);
        if let Some(first) = jobs.first_mut().filter(|first| first.job == job) {
            first.from = from;
        }
        let mut taken = Vec::new();
        for mut listed in jobs {
            if count == 0 {
                // The position in a job that is listed in part is set when it is listed.
                self.next.insert(account, (listed.job, (0, 0)));
                break;
            }
            listed.count = listed.count.min(count);
            count -= listed.count;
            taken.push(listed);
        }
        taken
    }

    /// Records that a job was listed in part, up to this step.
    pub(super) fn stop_at(&mut self, account: Account, job: JobId, at: Position) {
        self.next.insert(account, (job, at));
    }
}

/// Returns the cost of listing one step: it and its dependencies are examined.
pub(super) const fn listing_cost(dependencies: usize) -> usize {
    1 + dependencies
}

// Returns the number of steps and dependencies of the occurrences that are due.
fn listed_count(wall_ms: u64, job: &Job) -> usize {
    let steps = job.submission.steps.iter();
    let count: usize = steps.map(|step| listing_cost(step.after.len())).sum();
    let occurrences = job.occurrences.len();
    let is_due = |at: u32| job.submission.due_ms(at).is_none_or(|due| due <= wall_ms);
    // Due times rise with the number of the occurrence.
    let (mut due, mut end) = (0, occurrences);
    while due < end {
        let middle = due.midpoint(end);
        if is_due(middle as u32) {
            due = middle + 1;
        } else {
            end = middle;
        }
    }
    count * due
}

/// Times of the latest search for steps of each account.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    searched_at: HashMap<Account, Moment>,
}

impl Turns {
    /// Returns whether the account has had no search for long.
    pub(super) fn is_due(&self, now: Moment, account: Account) -> bool {
        let searched_at = self.searched_at.get(&account);
        searched_at.is_none_or(|&at| now.since(at) >= TURN_INTERVAL)
    }

    /// Records a search.
    pub(super) fn record(&mut self, now: Moment, account: Account) {
        self.searched_at.insert(account, now);
    }
}

/// Number of workers that a round may examine, and how many of them for each account.
#[derive(Clone, Debug)]
pub(super) struct Budget {
    /// Number examined before the first search.
    listed: u32,
    limit: u32,
    /// Whether several accounts have steps waiting.
    is_shared: bool,
    used: HashMap<Account, u32>,
}

impl Budget {
    /// Creates the budget of a round that ends once `limit` workers and steps are examined,
    /// `listed` of them before the first search.
    pub(super) fn new(listed: u32, limit: u32, is_shared: bool) -> Self {
        Self {
            listed,
            limit,
            is_shared,
            used: HashMap::new(),
        }
    }

    /// Returns whether a step of the account may be searched after `examined` workers and steps.
    /// While others wait, an account may use half of the budget. One whose turn `is_due` may
    /// exceed the limit, up to twice what searches may use.
    pub(super) fn allows(&self, account: Account, examined: u32, is_due: bool) -> bool {
        let searches = self.limit.saturating_sub(self.listed);
        if examined > self.limit {
            return is_due && examined <= self.limit.saturating_add(searches);
        }
        let used = self.used.get(&account).copied().unwrap_or(0);
        !self.is_shared || used <= searches / 2
    }

    /// Adds what a search has examined.
    pub(super) fn spend(&mut self, account: Account, examined: u32) {
        *self.used.entry(account).or_default() += examined;
    }
}
