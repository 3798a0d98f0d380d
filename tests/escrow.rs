//! Escrow accounts under message loss, repetition and reordering.

use plantaincross::core::escrow::{Holding, Issuer};
use plantaincross::core::share::{Claimant, UnitClaimant, divide, targets};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HOLDERS: usize = 4;

/// Runs a seeded random schedule in which units are given, used and returned and
/// messages are lost, repeated and reordered. Fails if the holders together may use
/// more than `capacity`, or if one uses more than it may.
fn run_schedule(seed: u64, capacity: u64) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut issuer: Issuer<usize> = Issuer::new(capacity);
    let mut holders = [Holding::default(); HOLDERS];
    // Messages in transit: holder, units given, units returned.
    let mut network: Vec<(usize, u64, u64)> = Vec::new();
    for step in 0..400 {
        let holder = rng.random_range(0..HOLDERS);
        match rng.random_range(0..7) {
            0 => {
                issuer.give(holder, rng.random_range(0..capacity + 2));
            }
            1 => {
                holders[holder].give_back(rng.random_range(0..4));
            }
            2 => {
                holders[holder].acquire();
            }
            3 => holders[holder].release(),
            4 => network.push((holder, issuer.account(holder).given, 0)),
            5 => network.push((holder, 0, holders[holder].account().returned)),
            _ => deliver(&mut rng, &mut network, &mut issuer, &mut holders),
        }
        let held: u64 = holders.iter().map(|h| h.allowed()).sum();
        if held > capacity {
            return Err(format!(
                "seed {seed} step {step}: {held} of {capacity} held"
            ));
        }
        if holders.iter().any(|h| h.in_use() > h.allowed()) {
            return Err(format!("seed {seed} step {step}: more in use than allowed"));
        }
    }
    Ok(())
}

fn deliver(
    rng: &mut impl Rng,
    network: &mut Vec<(usize, u64, u64)>,
    issuer: &mut Issuer<usize>,
    holders: &mut [Holding; HOLDERS],
) {
    if network.is_empty() {
        return;
    }
    let index = rng.random_range(0..network.len());
    let (holder, given, returned) = network[index];
    // A quarter of the messages stay in transit and are delivered again.
    if !rng.random_ratio(1, 4) {
        network.swap_remove(index);
    }
    holders[holder].receive(given);
    issuer.settle(holder, returned);
}

#[test]
fn holders_never_exceed_the_capacity() {
    for seed in 0..2_000 {
        run_schedule(seed, 1 + seed % 9).unwrap();
    }
}

#[test]
fn lowered_capacity_gives_nothing_until_returned() {
    let mut issuer: Issuer<u8> = Issuer::new(10);
    assert_eq!(issuer.give(1, 10), 10);
    issuer.set_capacity(4);
    assert_eq!(issuer.excess(), 6);
    assert_eq!(issuer.give(2, 1), 0);
    issuer.settle(1, 7);
    assert_eq!(issuer.give(2, 5), 1);
}

// quickcheck passes its arguments by value.
#[allow(clippy::needless_pass_by_value)]
fn demands_are_met_by_weight(parts: Vec<(u8, u16)>, capacity: u16) -> bool {
    let claimants: Vec<Claimant> = parts
        .iter()
        .map(|&(weight, demand)| Claimant {
            weight: f64::from(weight) + 1.0,
            demand: f64::from(demand),
        })
        .collect();
    let capacity = f64::from(capacity);
    let given = divide(capacity, &claimants);
    let demand: f64 = claimants.iter().map(|c| c.demand).sum();
    let sum: f64 = given.iter().sum();
    let within_demand = given
        .iter()
        .zip(&claimants)
        .all(|(g, c)| *g <= c.demand + 1e-6);
    // A claimant whose demand is not met has at least as much per weight as any other.
    let fair = given.iter().zip(&claimants).all(|(g, c)| {
        let short = *g < c.demand - 1e-6;
        let level = g / c.weight;
        !short
            || given
                .iter()
                .zip(&claimants)
                .all(|(h, d)| h / d.weight <= level + 1e-6)
    });
    within_demand && fair && (sum - demand.min(capacity)).abs() < 1e-3
}

#[test]
fn division_is_weighted_max_min() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(500)
        .quickcheck(demands_are_met_by_weight as fn(Vec<(u8, u16)>, u16) -> bool);
}

#[test]
fn unit_targets_use_the_whole_capacity() {
    let claimant = |demand, takes_surplus| UnitClaimant {
        weight: 1,
        demand,
        takes_surplus,
    };
    assert_eq!(targets(10, &[claimant(0, true), claimant(0, true)]), [5, 5]);
    assert_eq!(
        targets(10, &[claimant(9, true), claimant(0, true)]),
        [10, 0]
    );
    assert_eq!(
        targets(10, &[claimant(20, true), claimant(20, true)]),
        [5, 5]
    );
    assert_eq!(
        targets(10, &[claimant(2, false), claimant(0, true)]),
        [2, 8]
    );
}
