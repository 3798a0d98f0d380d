//! Interference: which images slow each other down on one worker.
//!
//! The expected load is hundreds of tasks per second, of tens of images, several on each worker.
//! Single run times vary by half, so a pair of images counts as interfering only if its mean is
//! clearly above that of the image beside others. Evidence is kept per ordered pair, decays, and
//! is bounded in images and pairs. It is lost on a change of leader and learned again.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use derive_more::Display;

use crate::core::plane::state::State;
use crate::core::plane::types::{QueueKey, StepName};
use crate::core::time::Moment;

/// Maximum number of images with a key of their own. Further ones share a key without evidence
/// until a key can be reused.
const IMAGES_MAX: usize = 256;
/// Maximum number of ordered pairs with evidence, about 250 KB.
const PAIRS_MAX: usize = 4_096;
/// Maximum number of images in interfering pairs, which placement represents as bits.
const MARKED_IMAGES_MAX: usize = 64;

/// Time after which an observation counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// Time without an observation after which the evidence of a pair is removed, however many
/// observations there were: three half-lives. Pairs that are kept apart have no further ones.
const AGE_MAX: Duration = Duration::from_secs(90);
/// Minimum decayed number of observations of a pair that begins to count.
const OBSERVATIONS_MIN: f64 = 6.0;
/// Decayed number of observations below which a pair ceases to count.
const OBSERVATIONS_KEPT_MIN: f64 = 3.0;
/// Minimum excess of a pair that begins to count, as a logarithm: a sixth longer.
const EXCESS_MIN: f64 = 0.154;
/// Excess below which a pair ceases to count, as a logarithm.
const EXCESS_KEPT_MIN: f64 = 0.077;
/// Minimum excess of a pair that begins to count, in standard errors. There are thousands of
/// pairs, and each is tested many times.
const STANDARD_ERRORS_MIN: f64 = 4.0;
/// Minimum variance of the logarithm of a ratio. A few equal observations do not prove that there
/// is no variance.
const VARIANCE_MIN: f64 = 0.02;
/// Weight of the assumption that an image beside others runs at the expected speed.
const PRIOR_OBSERVATIONS: f64 = 2.0;
/// Maximum absolute logarithm of a ratio, a factor of three: some tasks take seven times as long
/// whatever runs beside them.
const LOG_RATIO_MAX: f64 = 1.1;

/// Interval at which pairs that count are checked for whether they still do, and minimum interval
/// between searches for keys that can be reused.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Key of an image, or of all tasks of a queue without an image, within one term.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Image(u16);

/// Images among those in interfering pairs, one bit each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Marks(u64);

impl Marks {
    /// Adds images.
    pub const fn insert(&mut self, other: Self) {
        self.0 |= other.0;
    }

    /// Returns whether an image is in both sets.
    pub const fn intersects(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }
}

/// Decayed sums of the logarithms of ratios.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    weight: f64,
    sum: f64,
    squares: f64,
    at: Moment,
}

impl Evidence {
    const fn none(now: Moment) -> Self {
        Self {
            weight: 0.0,
            sum: 0.0,
            squares: 0.0,
            at: now,
        }
    }

    fn at(self, now: Moment) -> Self {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        Self {
            weight: self.weight * factor,
            sum: self.sum * factor,
            squares: self.squares * factor,
            at: now.max(self.at),
        }
    }

    fn add(&mut self, log_ratio: f64, now: Moment) {
        let decayed = self.at(now);
        *self = Self {
            weight: decayed.weight + 1.0,
            sum: decayed.sum + log_ratio,
            squares: decayed.squares + log_ratio * log_ratio,
            at: decayed.at,
        };
    }

    fn without(self, part: Self) -> Self {
        Self {
            weight: (self.weight - part.weight).max(0.0),
            sum: self.sum - part.sum,
            squares: (self.squares - part.squares).max(0.0),
            at: self.at,
        }
    }

    // Returns the mean, given `prior` additional observations of no slow-down.
    fn mean(self, prior: f64) -> f64 {
        let weight = self.weight + prior;
        if weight > 0.0 { self.sum / weight } else { 0.0 }
    }

    // Returns the variance of the mean.
    fn variance_of_mean(self, prior: f64) -> f64 {
        let weight = (self.weight + prior).max(1.0);
        let variance = self.squares / weight - self.mean(prior).powi(2);
        variance.max(VARIANCE_MIN) / weight
    }
}

/// How much longer an image takes beside another one than beside others.
#[derive(Clone, Copy, Debug)]
struct Excess {
    log: f64,
    standard_error: f64,
    observations: f64,
    age: Duration,
}

impl Excess {
    fn begins(self) -> bool {
        self.observations >= OBSERVATIONS_MIN
            && self.log >= EXCESS_MIN
            && self.log >= STANDARD_ERRORS_MIN * self.standard_error
    }

    fn lasts(self) -> bool {
        self.observations >= OBSERVATIONS_KEPT_MIN
            && self.log >= EXCESS_KEPT_MIN
            && self.age <= AGE_MAX
    }
}

/// Beginning or end of the time for which a pair counts as interfering.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Image that is slowed down.
    pub image: String,
    /// Image that slows it down.
    pub beside: String,
    /// Whether the pair counts from now on.
    pub interferes: bool,
    /// Run time beside the other image as a multiple of that beside others.
    pub ratio: f64,
    /// Number of observations; earlier ones count less.
    pub observations: f64,
}

/// What the leader has learned about interference between images.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    images: HashMap<Box<str>, Image>,
    queues: HashMap<QueueKey, Image>,
    /// Names by key, for the log.
    names: Vec<String>,
    /// All observations of each image.
    totals: BTreeMap<Image, Evidence>,
    /// Observations of an image beside another one.
    pairs: BTreeMap<(Image, Image), Evidence>,
    /// Pairs that count as interfering.
    interfering: BTreeSet<(Image, Image)>,
    /// Images in these pairs, in order; the position is the bit in [`Marks`].
    marked: Vec<Image>,
    /// What to keep each of these images apart from. Rebuilt with each change and check, as
    /// placement needs it for each waiting step in each round.
    avoided: HashMap<Image, Vec<(Marks, f64)>>,
    changes: Vec<Change>,
    checked_at: Moment,
    /// Keys that can be reused.
    reusable: Vec<Image>,
    /// Whether an image got no key of its own since the latest search for reusable ones.
    lacks_keys: bool,
    reclaimed_at: Moment,
}

impl Interference {
    /// Returns the key of an image. Images beyond the maximum share one, without evidence.
    pub fn image(&mut self, name: &str) -> Image {
        if let Some(&known) = self.images.get(name) {
            return known;
        }
        let Some(key) = self.next_key(name) else {
            return SHARED;
        };
        self.images.insert(name.into(), key);
        key
    }

    fn queue_image(&mut self, queue: QueueKey, name: &str) -> Image {
        if let Some(&known) = self.queues.get(&queue) {
            return known;
        }
        let Some(key) = self.next_key(&format!("queue {name}")) else {
            return SHARED;
        };
        self.queues.insert(queue, key);
        key
    }

    fn next_key(&mut self, name: &str) -> Option<Image> {
        if self.names.is_empty() {
            self.names.push("other images".to_owned());
        }
        if self.names.len() > IMAGES_MAX {
            let Some(key) = self.reusable.pop() else {
                self.lacks_keys = true;
                return None;
            };
            name.clone_into(&mut self.names[usize::from(key.0)]);
            return Some(key);
        }
        let key = Image(self.names.len() as u16);
        self.names.push(name.to_owned());
        Some(key)
    }

    /// Returns the key of what the tasks of a step run, or `None` if the job is unknown.
    pub fn image_of(&mut self, state: &State, step: StepName) -> Option<Image> {
        let job = state.jobs.get(&step.job)?;
        Some(match state.image(step) {
            Some(name) => self.image(name),
            None => self.queue_image(job.queue, &state.queue(job.queue).name),
        })
    }

    /// Records that a task of `image` took `ratio` times as long as expected, with tasks of the
    /// images `beside` it on its worker for most of its run; with none, it ran alone. Ratios that
    /// are not positive numbers are ignored, and so is the key that images beyond the maximum share.
    pub fn record(&mut self, image: Image, beside: &[Image], ratio: f64, now: Moment) {
        if image == SHARED || !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let log_ratio = ratio.ln().clamp(-LOG_RATIO_MAX, LOG_RATIO_MAX);
        let none = Evidence::none(now);
        let total = self.totals.entry(image).or_insert(none);
        total.add(log_ratio, now);
        // The run time is attributed to the known causes only, if there are any.
        let is_known = |beside: &Image| self.interfering.contains(&(image, *beside));
        let has_known = beside.iter().any(is_known);
        let causes: Vec<Image> = beside
            .iter()
            .filter(|beside| **beside != SHARED && (!has_known || is_known(beside)))
            .copied()
            .collect();
        for cause in causes {
            let pair = (image, cause);
            self.remove_outdated(pair, now);
            if !self.pairs.contains_key(&pair) {
                self.make_room(now);
            }
            self.pairs.entry(pair).or_insert(none).add(log_ratio, now);
            if self.update(pair, now) {
                self.rebuild(now);
            }
        }
    }

    // Removes the evidence of a pair whose latest observation is too old. What remained of many
    // observations would outweigh a single new one.
    fn remove_outdated(&mut self, pair: (Image, Image), now: Moment) {
        let is_outdated = |evidence: &Evidence| now.since(evidence.at) > AGE_MAX;
        if !self.pairs.get(&pair).is_some_and(is_outdated) {
            return;
        }
        let (Some(evidence), Some(total)) =
            (self.pairs.remove(&pair), self.totals.get_mut(&pair.0))
        else {
            return;
        };
        // The time of the latest observation of the image stays.
        *total = total.without(evidence.at(total.at));
    }

    // Drops the oldest pairs if there are too many: an eighth at once, so that a flood of pairs
    // does not cost a search for each of them.
    fn make_room(&mut self, now: Moment) {
        if self.pairs.len() < PAIRS_MAX {
            return;
        }
        let mut ages: Vec<Moment> = self.pairs.values().map(|pair| pair.at).collect();
        let (_, &mut oldest, _) = ages.select_nth_unstable(PAIRS_MAX / 8);
        let mut excess = PAIRS_MAX / 8;
        self.pairs.retain(|_, pair| {
            let is_dropped = pair.at <= oldest && excess > 0;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
        self.check(now);
    }

    fn excess(&self, pair: (Image, Image), now: Moment) -> Option<Excess> {
        let evidence = self.pairs.get(&pair)?;
        let age = now.since(evidence.at);
        let beside = evidence.at(now);
        let others = self.totals.get(&pair.0)?.at(now).without(beside);
        let variance = beside.variance_of_mean(0.0) + others.variance_of_mean(PRIOR_OBSERVATIONS);
        Some(Excess {
            log: beside.mean(0.0) - others.mean(PRIOR_OBSERVATIONS),
            standard_error: variance.sqrt(),
            observations: beside.weight,
            age,
        })
    }

    // Returns whether the pair began or ceased to count.
    fn update(&mut self, pair: (Image, Image), now: Moment) -> bool {
        let excess = self.excess(pair, now);
        let is_known = self.interfering.contains(&pair);
        if is_known && !excess.is_some_and(Excess::lasts) {
            self.interfering.remove(&pair);
            self.remove_outdated(pair, now);
            self.note(pair, false, excess);
            return true;
        }
        let begins = !is_known && excess.is_some_and(Excess::begins) && self.can_mark(pair);
        if begins {
            self.interfering.insert(pair);
            self.note(pair, true, excess);
        }
        begins
    }

    fn note(&mut self, pair: (Image, Image), interferes: bool, excess: Option<Excess>) {
        let name = |image: Image| {
            let name = self.names.get(usize::from(image.0));
            name.cloned().unwrap_or_else(|| image.to_string())
        };
        let change = Change {
            image: name(pair.0),
            beside: name(pair.1),
            interferes,
            ratio: excess.map_or(1.0, |excess| excess.log.exp()),
            observations: excess.map_or(0.0, |excess| excess.observations),
        };
        self.changes.push(change);
    }

    fn can_mark(&self, (image, beside): (Image, Image)) -> bool {
        let is_new = |image: &Image| !self.marked.contains(image);
        let added = [image, beside].iter().filter(|i| is_new(i)).count();
        self.marked.len() + added <= MARKED_IMAGES_MAX
    }

    // Derives what placement needs from the interfering pairs, at one look-up for each of them.
    fn rebuild(&mut self, now: Moment) {
        let pairs = self.interfering.iter();
        self.marked = pairs.flat_map(|&(image, beside)| [image, beside]).collect();
        self.marked.sort_unstable();
        self.marked.dedup();
        let mut worst: BTreeMap<(Image, Image), f64> = BTreeMap::new();
        for &(image, beside) in &self.interfering {
            let penalty = self.penalty(image, beside, now);
            for pair in [(image, beside), (beside, image)] {
                let known = worst.entry(pair).or_default();
                *known = penalty.max(*known);
            }
        }
        self.avoided.clear();
        for ((image, other), penalty) in worst {
            if penalty > 0.0 {
                let marks = self.marks(other);
                self.avoided
                    .entry(image)
                    .or_default()
                    .push((marks, penalty));
            }
        }
    }

    /// Checks which pairs still count, if that is due.
    pub fn tick(&mut self, now: Moment) {
        if now.since(self.checked_at) < CHECK_INTERVAL {
            return;
        }
        self.checked_at = now;
        self.check(now);
    }

    fn check(&mut self, now: Moment) {
        if self.interfering.is_empty() {
            return;
        }
        for pair in self.interfering.clone() {
            self.update(pair, now);
        }
        self.rebuild(now);
    }

    /// Returns whether an image got no key of its own, and a search for reusable keys is due.
    pub fn needs_keys(&self, now: Moment) -> bool {
        self.lacks_keys && now.since(self.reclaimed_at) >= CHECK_INTERVAL
    }

    /// Makes the keys reusable that are not among those `used` by runs and have no evidence within
    /// the maximum age, and removes what is left of their evidence. Returns these keys, which
    /// later stand for other images.
    pub fn reclaim(&mut self, used: &HashSet<Image>, now: Moment) -> HashSet<Image> {
        self.lacks_keys = false;
        self.reclaimed_at = now;
        self.check(now);
        let is_recent = |evidence: &Evidence| now.since(evidence.at) <= AGE_MAX;
        let mut kept = used.clone();
        let totals = self.totals.iter().filter(|(_, total)| is_recent(total));
        kept.extend(totals.map(|(&image, _)| image));
        let pairs = self.pairs.iter().filter(|(_, pair)| is_recent(pair));
        kept.extend(pairs.flat_map(|(&(image, beside), _)| [image, beside]));
        let known = self.images.values().chain(self.queues.values());
        let unused: HashSet<Image> = known.filter(|i| !kept.contains(i)).copied().collect();
        self.images.retain(|_, image| !unused.contains(image));
        self.queues.retain(|_, image| !unused.contains(image));
        self.totals.retain(|image, _| !unused.contains(image));
        self.pairs
            .retain(|(image, beside), _| !unused.contains(image) && !unused.contains(beside));
        self.reusable.extend(&unused);
        unused
    }

    /// Returns the pairs that began or ceased to count since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns by how much longer a task of `image` takes beside one of `beside`, as a multiple
    /// of its run time beside others. 0 means that the pair does not count as interfering.
    pub fn penalty(&self, image: Image, beside: Image, now: Moment) -> f64 {
        let pair = (image, beside);
        if !self.interfering.contains(&pair) {
            return 0.0;
        }
        let excess = self.excess(pair, now).filter(|excess| excess.lasts());
        excess.map_or(0.0, |excess| excess.log.exp() - 1.0)
    }

    /// Returns the images that a task of `image` should be kept apart from, because one of the
    /// two slows the other down, with the larger of the two penalties as of the latest change or
    /// check.
    pub fn avoided(&self, image: Image) -> &[(Marks, f64)] {
        self.avoided.get(&image).map_or(&[], Vec::as_slice)
    }

    /// Returns the bit of an image, or none if the image is in no interfering pair.
    pub fn marks(&self, image: Image) -> Marks {
        let position = self.marked.binary_search(&image);
        Marks(position.map_or(0, |position| 1 << position))
    }

    /// Returns the number of ordered pairs that count as interfering.
    pub fn interfering(&self) -> usize {
        self.interfering.len()
    }

    /// Returns the number of ordered pairs with evidence.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Returns the number of images with a key of their own.
    pub fn images(&self) -> usize {
        self.images.len() + self.queues.len()
    }
}

/// Key of the images beyond the maximum.
const SHARED: Image = Image(0);
