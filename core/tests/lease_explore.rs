//! Exhaustive state-space search over two routers and the revocation of a key. One router reads
//! from the store, the other one from its neighbour. Messages may be delayed or lost, and the store
//! may answer from a state that is one second old.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ebonyfall_core::{
    desired::{CallerLimits, DesiredState, DesiredTeam},
    doc::KeyHash,
    lease::Lease,
    time::Time,
};

const KEY: KeyHash = KeyHash([7; 32]);
/// Seconds after its revocation from which on a key must be refused.
const REVOCATION_BOUND_S: u64 = 5;
/// Maximum age of the state from which the store answers, in seconds.
const STORE_STALENESS_S: u64 = 1;
/// Last second at which the key may be revoked. Later revocations only shift the timeline.
const LAST_REVOCATION_S: u64 = 1;
/// Last second of the search; an answer that was sent just before the revocation has expired by
/// then.
const LAST_SECOND: u64 = LAST_REVOCATION_S + REVOCATION_BOUND_S + 2;

/// The model without a fault, or with an injected fault that the check must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// The lease starts when the answer arrives instead of when the read was sent.
    CountFromArrival,
    /// The router's clock stops while the VM is suspended.
    ClockStops,
    /// The age in a neighbour's answer is ignored.
    IgnoreAge,
    /// Only the set of keys is checked, not whether the lease on it is valid.
    IgnoreLease,
}

/// An answer in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Answer {
    valid: bool,
    /// Seconds since the neighbour's own state was confirmed.
    age: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Router {
    /// Whether the router considers the key valid.
    valid: bool,
    confirmed: Option<u64>,
    /// When the pending read was sent, by the router's clock, and the answer if there is one.
    pending_read: Option<(u64, Option<Answer>)>,
    /// Seconds by which the router's clock is behind.
    clock_lag: u64,
}

impl Router {
    const NEW: Self = Self {
        valid: false,
        confirmed: None,
        pending_read: None,
        clock_lag: 0,
    };

    fn deliver(&mut self, variant: Variant, now: u64) {
        let Some((sent_at, Some(answer))) = self.pending_read.take() else {
            return;
        };
        let from = match variant {
            Variant::CountFromArrival => now,
            _ => sent_at,
        };
        let age = if variant == Variant::IgnoreAge {
            0
        } else {
            answer.age
        };
        // A desired state older than the known one is ignored.
        self.valid = answer.valid && (self.valid || self.confirmed.is_none());
        self.confirmed = self.confirmed.max(from.checked_sub(age));
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    revoked: Option<u64>,
    routers: [Router; 2],
}

impl World {
    fn clock(&self, router: usize) -> u64 {
        self.now - self.routers[router].clock_lag
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut successors = Vec::new();
        let mut push = |change: &dyn Fn(&mut Self)| {
            let mut world = self.clone();
            change(&mut world);
            successors.push(world);
        };
        if self.now < LAST_SECOND {
            push(&|world| world.now += 1);
            if variant == Variant::ClockStops {
                for router in 0..2 {
                    push(&|world| {
                        world.now += 1;
                        world.routers[router].clock_lag += 1;
                    });
                }
            }
        }
        if self.revoked.is_none() && self.now <= LAST_REVOCATION_S {
            push(&|world| world.revoked = Some(world.now));
        }
        for router in 0..2 {
            let now = self.clock(router);
            match self.routers[router].pending_read {
                None => push(&|world| world.routers[router].pending_read = Some((now, None))),
                Some((_, Some(_))) => {
                    push(&|world| world.routers[router].deliver(variant, now));
                    push(&|world| world.routers[router].pending_read = None);
                }
                Some((sent_at, None)) => {
                    for answer in self.answers(router) {
                        push(&|world| {
                            world.routers[router].pending_read = Some((sent_at, Some(answer)));
                        });
                    }
                }
            }
        }
        successors
    }

    /// Answers that a router's read may get now.
    fn answers(&self, router: usize) -> Vec<Answer> {
        if router == 1 {
            let neighbour = self.routers[0];
            let answer = neighbour.confirmed.map(|confirmed| Answer {
                valid: neighbour.valid,
                age: self.clock(0) - confirmed,
            });
            return answer.into_iter().collect();
        }
        let valid_at = |time| self.revoked.is_none_or(|revoked| revoked > time);
        let times = self.now.saturating_sub(STORE_STALENESS_S)..=self.now;
        let answers: HashSet<_> = times.map(valid_at).collect();
        let answers = answers.into_iter();
        answers.map(|valid| Answer { valid, age: 0 }).collect()
    }

    fn check(&self, variant: Variant, states: &[DesiredState; 2]) -> Result<(), String> {
        let Some(revoked) = self.revoked else {
            return Ok(());
        };
        for (number, router) in self.routers.iter().enumerate() {
            let mut lease = Lease::new(Duration::from_secs(REVOCATION_BOUND_S));
            if let Some(confirmed) = router.confirmed {
                lease.confirm(time_at(confirmed));
            }
            let now = time_at(self.clock(number));
            if variant == Variant::IgnoreLease {
                lease.confirm(now);
            }
            let state = &states[usize::from(router.valid)];
            if lease.authorize(state, &KEY, now).is_ok() && self.now > revoked + REVOCATION_BOUND_S
            {
                return Err(format!("router {number} accepts the revoked key: {self:?}"));
            }
        }
        Ok(())
    }
}

fn time_at(second: u64) -> Time {
    Time::from_millis(second * 1_000)
}

/// Returns the desired states without and with the key.
fn desired_states() -> [DesiredState; 2] {
    let team = Arc::new(DesiredTeam {
        name: "desk".parse().expect("the literal is a valid name"),
        priority: None,
    });
    let limits = CallerLimits {
        max_header_bytes: 0,
        max_body_bytes: 0,
        header_timeout: None,
        idle_timeout: Duration::ZERO,
    };
    [HashMap::new(), HashMap::from([(KEY, team)])]
        .map(|keys| DesiredState::new(1, [], HashMap::new(), limits.clone(), Some(keys)))
}

/// Visits every reachable state; returns their number or the first violation.
fn explore(variant: Variant) -> Result<usize, String> {
    let states = desired_states();
    let start = World {
        now: 0,
        revoked: None,
        routers: [Router::NEW; 2],
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut stack = vec![start];
    while let Some(world) = stack.pop() {
        world.check(variant, &states)?;
        for next in world.successors(variant) {
            if seen.insert(next.clone()) {
                stack.push(next);
            }
        }
    }
    Ok(seen.len())
}

/// Guards against any order and delay of answers by which a router accepts a key later than the
/// revocation bound allows.
#[test]
fn no_router_accepts_a_revoked_key_after_the_bound() {
    let seen = explore(Variant::Correct).unwrap();
    println!("{seen} states");
    assert!(seen > 10_000, "{seen} states");
}

/// Guards against a check that does not detect the injected faults.
#[test]
fn every_injected_fault_is_found() {
    for variant in [
        Variant::CountFromArrival,
        Variant::ClockStops,
        Variant::IgnoreAge,
        Variant::IgnoreLease,
    ] {
        assert!(explore(variant).is_err(), "{variant:?}");
    }
}
