//! Weighted max-min fair division of a capacity.

/// One claimant of a divided capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claimant {
    /// Relative weight, above zero.
    pub weight: f64,
    /// Amount that the claimant can use.
    pub demand: f64,
}

/// Divides `capacity` by weighted max-min fairness: no claimant gets more than its
/// demand, and the remainder is divided among the others by weight.
///
/// Source: water filling over claimants ordered by demand for each unit of weight
/// (Bertsekas and Gallager, Data Networks, section 6.5).
pub fn divide(capacity: f64, claimants: &[Claimant]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claimants.len()).collect();
    order.sort_by(|&a, &b| {
        let fill = |i: usize| claimants[i].demand / claimants[i].weight;
        fill(a).total_cmp(&fill(b)).then(a.cmp(&b))
    });
    let mut weight_left: f64 = claimants.iter().map(|c| c.weight).sum();
    let mut left = capacity;
    let mut given = vec![0.0; claimants.len()];
    for i in order {
        let claimant = claimants[i];
        let fair = left * claimant.weight / weight_left;
        given[i] = claimant.demand.min(fair).max(0.0);
        left -= given[i];
        weight_left -= claimant.weight;
    }
    given
}

/// Returns for each claimant how far `got` is below the result of [`divide`], as a
/// fraction from 0 to 1. Claimants without demand have no shortfall.
pub fn shortfalls(capacity: f64, claimants: &[Claimant], got: &[f64]) -> Vec<f64> {
    divide(capacity, claimants)
        .into_iter()
        .zip(got)
        .map(|(due, &got)| {
            if due <= 0.0 {
                return 0.0;
            }
            ((due - got) / due).max(0.0)
        })
        .collect()
}

/// One claimant of a capacity in whole units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnitClaimant {
    /// Relative weight; 0 counts as 1.
    pub weight: u64,
    /// Units that the claimant could use now.
    pub demand: u64,
    /// Whether the claimant also gets a part of the units that nobody demands.
    pub takes_surplus: bool,
}

/// Divides `capacity` in whole units: the demands by weighted max-min fairness, then
/// the surplus evenly among the claimants that take part in it.
pub fn targets(capacity: u64, claimants: &[UnitClaimant]) -> Vec<u64> {
    let demands: Vec<Claimant> = claimants
        .iter()
        .map(|claimant| Claimant {
            weight: claimant.weight.max(1) as f64,
            demand: claimant.demand as f64,
        })
        .collect();
    let mut units = round_down(capacity, &divide(capacity as f64, &demands));
    let surplus_claimants = claimants
        .iter()
        .filter(|claimant| claimant.takes_surplus)
        .count() as u64;
    let surplus = capacity.saturating_sub(units.iter().sum());
    if surplus_claimants == 0 {
        return units;
    }
    let (each, mut odd) = (surplus / surplus_claimants, surplus % surplus_claimants);
    for (unit, claimant) in units.iter_mut().zip(claimants) {
        if claimant.takes_surplus {
            *unit += each + u64::from(odd > 0);
            odd = odd.saturating_sub(1);
        }
    }
    units
}

/// Rounds shares to whole units by the largest remainder method. The sum does not
/// exceed the capacity, and no share is rounded beyond its next whole unit.
pub fn round_down(capacity: u64, shares: &[f64]) -> Vec<u64> {
    const EPSILON: f64 = 1e-6;
    let mut units: Vec<u64> = shares
        .iter()
        .map(|s| (s + EPSILON).floor() as u64)
        .collect();
    let total: f64 = shares.iter().sum();
    let whole = ((total + EPSILON).floor() as u64).min(capacity);
    let mut left = whole.saturating_sub(units.iter().sum());
    let mut order: Vec<usize> = (0..shares.len()).collect();
    order.sort_by(|&a, &b| {
        let rest = |i: usize| shares[i] - units[i] as f64;
        rest(b).total_cmp(&rest(a)).then(a.cmp(&b))
    });
    for i in order {
        if left == 0 {
            break;
        }
        units[i] += 1;
        left -= 1;
    }
    units
}
