//! Unit demands that a zone leader reports, and the units that it gives to holders.

use std::time::Duration;

use plantaincross::core::allocator::Allocator;
use plantaincross::core::registry::InstanceId;
use plantaincross::core::time::Moment;
use plantaincross::wire::{Demand, Report};

const LOCAL: InstanceId = InstanceId(1);
const REMOTE: InstanceId = InstanceId(2);

/// Returns the allocator of zone a, which holds four units of one team's limit.
fn allocator_of_zone_a() -> Allocator {
    let run_limit = Duration::from_secs(30);
    let mut allocator = Allocator::new("a".into(), 1, true, Moment::ZERO, run_limit);
    allocator.set_units("big", 1, 4, 0);
    allocator
}

/// Opens the accounts of an entry instance and reports its waiting requests.
fn report(allocator: &mut Allocator, from: InstanceId, zone: &str, waiting: u64, leaving: bool) {
    let opening = Report {
        from_zone: zone.into(),
        opening: true,
        ..Report::default()
    };
    let epoch = allocator.report(Moment::ZERO, from, &opening).epoch;
    let demand = Demand {
        service: "orders".into(),
        team: "big".into(),
        waiting,
        running: 0,
    };
    let opening = Report {
        epoch,
        number: 1,
        demands: vec![demand],
        leaving,
        ..opening
    };
    allocator.report(Moment::ZERO, from, &opening);
}

fn demand(allocator: &Allocator) -> u64 {
    let demands = allocator.unit_demands();
    demands.iter().map(|d| d.demand).sum()
}

macro_rules! demands {
    ($($name:ident: $reports:expr => $expected:expr;)*) => {
        $(#[test]
        fn $name() {
            let mut allocator = allocator_of_zone_a();
            for (from, zone, waiting, leaving) in $reports {
                report(&mut allocator, from, zone, waiting, leaving);
            }
            assert_eq!(demand(&allocator), $expected);
        })*
    };
}

demands! {
    instances_of_the_zone_demand_its_units: [(LOCAL, "a", 6, false)] => 6;
    // The leader of the other zone gets the same demand reported. If both zones counted
    // it, this one would hold units that no entry instance could use.
    instances_of_other_zones_demand_no_units: [(LOCAL, "a", 6, false), (REMOTE, "b", 24, false)] => 6;
    leaving_instances_demand_nothing: [(LOCAL, "a", 6, true)] => 0;
}

#[test]
fn units_go_only_to_instances_of_the_zone() {
    let mut allocator = allocator_of_zone_a();
    report(&mut allocator, REMOTE, "b", 24, false);
    report(&mut allocator, LOCAL, "a", 6, false);
    let given: Vec<(InstanceId, u64)> = allocator
        .tick(Moment::ZERO)
        .into_iter()
        .flat_map(|(to, allotment)| allotment.units.into_iter().map(move |u| (to, u.given)))
        .collect();
    assert_eq!(given, [(LOCAL, 4)]);
}
