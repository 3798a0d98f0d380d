//! Permission to run steps on workers.
//!
//! The permission service answers one question at a time for each instance that
//! asks, and a question takes longer the more workers it names. Questions are
//! spread over all instances, each to the one that would have its answer first.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::io::Question;
use crate::core::plane::plan::Permission;
use crate::core::plane::types::{StepName, WorkerKey};
use crate::core::registry::InstanceId;
use crate::core::time::Moment;

/// A permit counts as over this long before it is, for the way to the worker.
const PERMIT_MARGIN: Duration = Duration::from_millis(150);
/// Time on top of twice the expected one after which an answer is given up.
const ANSWER_SLACK: Duration = Duration::from_millis(700);
/// An instance whose question failed is not asked again for this long.
const ASKER_PAUSE: Duration = Duration::from_millis(500);
/// Questions that take longer are slow. It is the fixed part of most goals.
pub const SLOW_MIN: Duration = Duration::from_millis(200);
/// Part of the instances that may have slow questions under way, so that the others
/// are free for quick ones.
const SLOW_SHARE: f64 = 0.6;
/// Most slow questions of one step at once. Eight name some 550 workers on the terms of the
/// first users, of which 190 may run the step: places for a gang of 130.
const PARTS_MAX: usize = 8;
/// Idle instances for each of them, so that two other steps find one.
const IDLE_PER_PART: usize = 3;
/// Longest time that a quick question may wait for its turn at the instance that
/// asks it.
const TURN_MAX: Duration = Duration::from_millis(100);
/// Workers that one question may name; a limit of the service.
pub const NAMED_MAX: usize = 100;
/// Fewest workers that a first question names.
const NAMED_MIN: usize = 8;
/// Part of the fixed cost of a question that naming workers may add.
const NAMING_SHARE: f64 = 0.4;
/// The same for gangs, which need room for all tasks at once among the workers that are
/// granted.
const NAMING_SHARE_GANG: f64 = 1.0;

/// A permit.
#[derive(Clone, Debug, PartialEq)]
pub struct Permit {
    /// Text that a start carries.
    pub text: String,
    /// When it is over.
    pub until: Moment,
}

/// What is known for one step.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Workers that may run the step, with the latest permit.
    pub good: BTreeMap<WorkerKey, Permit>,
    /// Workers that may not.
    pub bad: BTreeSet<WorkerKey>,
    /// Questions under way.
    pub asking: u32,
    /// When to ask again after a failure.
    pub retry_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    busy_until: Moment,
    /// Slow questions under way.
    slow: u32,
}

impl Asker {
    fn is_idle(&self, now: Moment) -> bool {
        self.slow == 0 && self.busy_until <= now
    }
}

#[derive(Clone, Debug)]
struct Open {
    step: StepName,
    asker: InstanceId,
    named: Vec<WorkerKey>,
    sent_at: Moment,
    expires: Moment,
    valid: Duration,
    is_slow: bool,
}

/// A finished question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finished {
    /// Step.
    pub step: StepName,
    /// Workers named.
    pub named: usize,
    /// Workers granted.
    pub granted: Option<usize>,
    /// Time taken.
    pub took: Duration,
}

/// All permits of a leader.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    steps: HashMap<StepName, Known>,
    askers: BTreeMap<InstanceId, Asker>,
    open: HashMap<u64, Open>,
}

/// Returns how many workers a first question names, so that naming them costs no more
/// than a part of the question itself.
pub fn named_count(terms: Permission, gang: bool) -> usize {
    if terms.each_ms <= 0.0 {
        return NAMED_MAX;
    }
    let share = if gang {
        NAMING_SHARE_GANG
    } else {
        NAMING_SHARE
    };
    let affordable = terms.decide_ms * share / terms.each_ms;
    (affordable as usize).clamp(NAMED_MIN, NAMED_MAX)
}

/// Returns the expected time of a question.
pub fn expected(terms: Permission, named: usize) -> Duration {
    let millis = terms.decide_ms + terms.each_ms * named as f64;
    Duration::from_micros((millis * 1_000.0) as u64)
}

impl Permits {
    /// Replaces the instances that can ask.
    pub fn set_askers(&mut self, askers: &[InstanceId]) {
        self.askers.retain(|id, _| askers.contains(id));
        for id in askers {
            self.askers.entry(*id).or_insert(Asker {
                busy_until: Moment::ZERO,
                slow: 0,
            });
        }
    }

    /// Returns what is known for a step.
    pub fn known(&self, step: StepName) -> Option<&Known> {
        self.steps.get(&step)
    }

    /// Returns a permit that is valid now.
    pub fn valid(&self, now: Moment, step: StepName, worker: WorkerKey) -> Option<&Permit> {
        let permit = self.steps.get(&step)?.good.get(&worker)?;
        (now < permit.until).then_some(permit)
    }

    /// Leaves a step alone for a while.
    pub fn defer(&mut self, step: StepName, until: Moment) {
        let known = self.steps.entry(step).or_default();
        known.retry_at = known.retry_at.max(until);
    }

    /// Returns whether a question for the step is under way or is not to be asked yet.
    pub fn is_waiting(&self, now: Moment, step: StepName) -> bool {
        let known = self.steps.get(&step);
        known.is_some_and(|known| known.asking > 0 || now < known.retry_at)
    }

    /// Returns the workers with a permit that is valid now.
    pub fn valid_workers(&self, now: Moment, step: StepName) -> Vec<WorkerKey> {
        let Some(known) = self.steps.get(&step) else {
            return Vec::new();
        };
        known
            .good
            .iter()
            .filter(|(_, permit)| now < permit.until)
            .map(|(&key, _)| key)
            .collect()
    }

    /// Drops a permit that a worker refused.
    pub fn revoke(&mut self, step: StepName, worker: WorkerKey) {
        if let Some(known) = self.steps.get_mut(&step)
            && let Some(permit) = known.good.get_mut(&worker)
        {
            permit.until = Moment::ZERO;
        }
    }

    /// Forgets steps that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(StepName) -> bool) {
        self.steps
            .retain(|step, known| known.asking > 0 || keep(*step));
    }

    /// Returns whether an instance could ask now.
    pub fn can_ask(&self, now: Moment, is_slow: bool) -> bool {
        self.choose(now, is_slow).is_some()
    }

    /// Returns how many instances could ask a slow question now.
    pub fn idle(&self, now: Moment) -> usize {
        self.slow_askers().filter(|(_, a)| a.is_idle(now)).count()
    }

    /// Returns how many slow questions of one step may be under way at once: a part of
    /// what the idle instances could ask, so that other steps find one too.
    pub fn parts(&self, now: Moment) -> usize {
        (self.idle(now) / IDLE_PER_PART).clamp(1, PARTS_MAX)
    }

    /// Returns the share of the workers named for a step that may run it.
    pub fn granted_share(&self, step: StepName) -> f64 {
        let known = self.steps.get(&step);
        let (good, bad) = known.map_or((0, 0), |k| (k.good.len(), k.bad.len()));
        (good + 1) as f64 / (good + bad + 2) as f64
    }

    /// Asks for workers, if an instance can ask. Yields who asks what.
    pub fn ask(
        &mut self,
        now: Moment,
        number: u64,
        step: StepName,
        terms: Permission,
        named: Vec<(WorkerKey, String)>,
    ) -> Option<(InstanceId, Question)> {
        if named.is_empty() {
            return None;
        }
        let cost = expected(terms, named.len().min(NAMED_MAX));
        let is_slow = cost >= SLOW_MIN;
        let asker = self.choose(now, is_slow)?;
        let at = self.askers.get_mut(&asker)?;
        at.busy_until = at.busy_until.max(now) + cost;
        at.slow += u32::from(is_slow);
        self.steps.entry(step).or_default().asking += 1;
        let timeout = at.busy_until.since(now) + cost + ANSWER_SLACK;
        let (keys, workers): (Vec<WorkerKey>, Vec<String>) =
            named.into_iter().take(NAMED_MAX).unzip();
        self.open.insert(
            number,
            Open {
                step,
                asker,
                named: keys,
                sent_at: now,
                expires: now + timeout,
                valid: Duration::from_millis(terms.valid_ms),
                is_slow,
            },
        );
        let question = Question {
            number,
            step,
            workers,
            timeout_ms: timeout.as_millis() as u64,
        };
        Some((asker, question))
    }

    // The instance that would ask first. Slow questions do not queue, and go to the
    // same part of the instances, so that quick ones seldom wait behind them.
    fn choose(&self, now: Moment, is_slow: bool) -> Option<InstanceId> {
        if is_slow {
            let idle = self.slow_askers().find(|(_, a)| a.is_idle(now));
            return idle.map(|(&id, _)| id);
        }
        let (&id, asker) = self
            .askers
            .iter()
            .min_by_key(|(_, a)| (a.busy_until.max(now), a.slow))?;
        (asker.busy_until <= now + TURN_MAX).then_some(id)
    }

    fn slow_askers(&self) -> impl Iterator<Item = (&InstanceId, &Asker)> {
        let most = (self.askers.len() as f64 * SLOW_SHARE).ceil() as usize;
        self.askers.iter().take(most)
    }

    /// Takes an answer. Without `granted` the question failed.
    pub fn take(
        &mut self,
        now: Moment,
        number: u64,
        granted: Option<Vec<(WorkerKey, String)>>,
    ) -> Option<Finished> {
        let open = self.open.remove(&number)?;
        let took = now.since(open.sent_at);
        if let Some(asker) = self.askers.get_mut(&open.asker)
            && open.is_slow
        {
            asker.slow = asker.slow.saturating_sub(1);
            asker.busy_until = asker.busy_until.min(now);
        }
        let known = self.steps.entry(open.step).or_default();
        known.asking = known.asking.saturating_sub(1);
        let finished = Finished {
            step: open.step,
            named: open.named.len(),
            granted: granted.as_ref().map(Vec::len),
            took,
        };
        let Some(granted) = granted else {
            known.retry_at = now + ASKER_PAUSE / 5;
            if let Some(asker) = self.askers.get_mut(&open.asker) {
                asker.busy_until = asker.busy_until.max(now + ASKER_PAUSE);
            }
            return Some(finished);
        };
        let life = open.valid.saturating_sub(PERMIT_MARGIN);
        for worker in &open.named {
            if !granted.iter().any(|(good, _)| good == worker) {
                known.bad.insert(*worker);
                known.good.remove(worker);
            }
        }
        for (worker, text) in granted {
            let until = now + life;
            known.good.insert(worker, Permit { text, until });
        }
        Some(finished)
    }

    /// Gives up questions that had no answer in time.
    pub fn expire(&mut self, now: Moment) -> Vec<Finished> {
        let late: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| now >= open.expires)
            .map(|(&number, _)| number)
            .collect();
        late.into_iter()
            .filter_map(|number| self.take(now, number, None))
            .collect()
    }
}
