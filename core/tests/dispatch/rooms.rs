//! Capacity of services at one router while the number of routers changes.

use std::time::Duration;

use ebonyfall_core::{
    budget::RetryBound,
    fleet::{FleetPart, FleetShare, ShareBasis},
    id::Incarnation,
    selector::TargetSelector,
    target::{Stage, TargetRecord},
};

use crate::fleet::{at, name};

const ROUTERS: u32 = 6;

/// A router that has run for long among five others, beside one target.
fn selector() -> TargetSelector {
    let bound = RetryBound {
        ratio: 0.2,
        slack: 58.0,
        window: Duration::from_secs(10),
    };
    let mut selector = TargetSelector::new(name("z0"), bound);
    let record = TargetRecord {
        name: name("t"),
        service: name("s"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: name("z0"),
        version: "v1".into(),
        slots: 60,
        stage: Stage::Ready,
        cold: Duration::ZERO,
        incarnation: Incarnation::from(1),
    };
    selector.put(record, at(0));
    selector.retain(&[name("t")].into(), at(0));
    let part = FleetPart {
        share: Some(FleetShare::settled(ROUTERS)),
        rank: Some(0),
        basis: ShareBasis::Membership,
    };
    selector.set_fleet(part, at(0));
    selector.set_live_routers(ROUTERS, 0, at(0));
    selector
}

/// Guards against a capacity that stays divided by routers which have ended, while callers wait.
#[test]
fn the_capacity_of_ended_routers_is_used_after_10_s() {
    let mut selector = selector();
    let limit = |selector: &mut TargetSelector, ms| {
        let rooms = selector.rooms(at(ms));
        (rooms[0].routers, rooms[0].limit(1_000.0, at(ms)))
    };
    selector.set_live_routers(1, 0, at(60_000));
    let (routers, silent) = limit(&mut selector, 61_000);
    assert_eq!(routers, Some(ROUTERS));
    assert!(silent <= 20, "{silent}");
    let (routers, ended) = limit(&mut selector, 70_000);
    assert_eq!(routers, Some(1));
    assert!(ended >= 60, "{ended}");
}
