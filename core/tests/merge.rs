//! Properties of merges: the result must not depend on their order or number.

use ebonyfall_core::{
    dissemination::{MoveDecision, RequestCounts, Value},
    doc::ZoneState,
    name::{ProcessName, ZoneName},
    peer::{Liveness, MemberRecord, Role},
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// A number below 4, so that equal ones occur often.
fn small_number(g: &mut Gen) -> u64 {
    u64::from(u8::arbitrary(g) % 4)
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct AnyRecord(MemberRecord);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let states = [Liveness::Alive, Liveness::Suspect, Liveness::Gone];
        let zones = ["a", "b"];
        Self(MemberRecord {
            name: ProcessName::new("p").unwrap(),
            role: if bool::arbitrary(g) {
                Role::Router
            } else {
                Role::Agent(None)
            },
            zone: ZoneName::new(g.choose(&zones).unwrap()).unwrap(),
            address: ([127, 0, 0, 1], 1 + u16::from(bool::arbitrary(g))).into(),
            incarnation: small_number(g).into(),
            wire_versions: (1, 1),
            leaving: bool::arbitrary(g),
            sequence: u32::try_from(small_number(g)).unwrap(),
            liveness: *g.choose(&states).unwrap(),
        })
    }
}

/// Three values of the same random kind.
#[derive(Debug, Clone)]
struct ThreeValues([Value; 3]);

impl Arbitrary for ThreeValues {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = u8::arbitrary(g) % 6;
        Self([(); 3].map(|()| {
            match kind {
                0 => Value::Verdict(
                    *g.choose(&[MoveDecision::Good, MoveDecision::Faulty])
                        .unwrap(),
                ),
                1 => Value::Quarantine {
                    since: small_number(g),
                    until: small_number(g),
                    cleared: small_number(g),
                },
                2 => Value::Zone {
                    version: small_number(g),
                    state: *g.choose(&[ZoneState::In, ZoneState::Out]).unwrap(),
                },
                3 => Value::Tip {
                    offset: small_number(g).into(),
                    digest: small_number(g),
                },
                4 => Value::Evidence {
                    counts: RequestCounts {
                        requests: small_number(g),
                        failures: small_number(g),
                        slow_first: small_number(g),
                        slow_between: small_number(g),
                    },
                    stamp: small_number(g),
                },
                _ => Value::Load {
                    stamp: small_number(g),
                    running: u32::try_from(small_number(g)).unwrap(),
                    capacity: 8,
                },
            }
        }))
    }
}

fn join<T: Clone>(a: &T, b: &T, merge: impl Fn(&mut T, &T) -> bool) -> (T, bool) {
    let mut joined = a.clone();
    let changed = merge(&mut joined, b);
    (joined, changed)
}

fn is_semilattice_join<T: Clone + PartialEq>(
    a: &T,
    b: &T,
    c: &T,
    merge: impl Fn(&mut T, &T) -> bool,
) -> bool {
    let merged = |a: &T, b: &T| join(a, b, &merge).0;
    let (joined, changed) = join(a, b, &merge);
    joined == merged(b, a)
        && merged(&joined, c) == merged(a, &merged(b, c))
        && merged(&joined, b) == joined
        && changed == (joined != *a)
}

quickcheck! {
    /// Guards against tables that depend on the order in which records arrive.
    fn records_merge_in_any_order(a: AnyRecord, b: AnyRecord, c: AnyRecord) -> bool {
        is_semilattice_join(&a.0, &b.0, &c.0, MemberRecord::merge)
    }

    /// Guards against items that depend on the order in which they arrive.
    fn items_merge_in_any_order(three: ThreeValues) -> bool {
        let [a, b, c] = &three.0;
        is_semilattice_join(a, b, c, Value::merge)
    }

    /// Guards against a record that withdraws the leaving flag of the same incarnation.
    fn leaving_is_not_withdrawn(a: AnyRecord, b: AnyRecord) -> bool {
        let joined = join(&a.0, &b.0, MemberRecord::merge).0;
        joined.incarnation > a.0.incarnation || joined.leaving || !a.0.leaving
    }
}
