//! Merge rules: what processes know must not depend on the order or number of merges.

use ebonyfall_core::{
    dissemination::{Counts, Value, Verdict},
    doc::ZoneState,
    name::{ProcessName, ZoneName},
    peer::{Liveness, MemberRecord, Role},
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// Few different numbers, so that equal ones occur.
fn small(g: &mut Gen) -> u64 {
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
            incarnation: small(g).into(),
            wire: (1, 1),
            leaving: bool::arbitrary(g),
            sequence: u32::try_from(small(g)).unwrap(),
            liveness: *g.choose(&states).unwrap(),
        })
    }
}

/// Three values of one kind.
#[derive(Debug, Clone)]
struct Three([Value; 3]);

impl Arbitrary for Three {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = u8::arbitrary(g) % 6;
        Self([(); 3].map(|()| match kind {
            0 => Value::Verdict(*g.choose(&[Verdict::Good, Verdict::Faulty]).unwrap()),
            1 => Value::Quarantine {
                since: small(g),
                until: small(g),
                cleared: small(g),
            },
            2 => Value::Zone {
                version: small(g),
                state: *g.choose(&[ZoneState::In, ZoneState::Out]).unwrap(),
            },
            3 => Value::Tip {
                offset: small(g).into(),
                digest: small(g),
            },
            4 => Value::Evidence {
                counts: Counts {
                    requests: small(g),
                    failures: small(g),
                    slow_first: small(g),
                    slow_between: small(g),
                },
                stamp: small(g),
            },
            _ => Value::Load {
                stamp: small(g),
                running: u32::try_from(small(g)).unwrap(),
                capacity: 8,
            },
        }))
    }
}

fn join<T: Clone>(a: &T, b: &T, merge: impl Fn(&mut T, &T) -> bool) -> (T, bool) {
    let mut joined = a.clone();
    let changed = merge(&mut joined, b);
    (joined, changed)
}

fn lawful<T: Clone + PartialEq>(a: &T, b: &T, c: &T, merge: impl Fn(&mut T, &T) -> bool) -> bool {
    let or = |a: &T, b: &T| join(a, b, &merge).0;
    let (joined, changed) = join(a, b, &merge);
    joined == or(b, a)
        && or(&joined, c) == or(a, &or(b, c))
        && or(&joined, b) == joined
        && changed == (joined != *a)
}

quickcheck! {
    /// Guards against views that depend on the order in which records arrive.
    fn records_merge_in_any_order(a: AnyRecord, b: AnyRecord, c: AnyRecord) -> bool {
        lawful(&a.0, &b.0, &c.0, MemberRecord::merge)
    }

    /// Guards against items that depend on the order in which they arrive.
    fn items_merge_in_any_order(three: Three) -> bool {
        let [a, b, c] = &three.0;
        lawful(a, b, c, Value::merge)
    }

    /// Guards against leaving or a verdict that a later record withdraws.
    fn leaving_and_verdicts_stay(a: AnyRecord, b: AnyRecord) -> bool {
        let joined = join(&a.0, &b.0, MemberRecord::merge).0;
        joined.incarnation > a.0.incarnation || joined.leaving || !a.0.leaving
    }
}
