//! Zones out of service and back, with a ramp on their return.

use std::{collections::BTreeMap, time::Duration};

use crate::{doc::ZoneState, name::ZoneName, time::Time};

/// Time in which the penalty of a zone that flaps falls by half.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(600);
/// Highest factor by which flapping lengthens the ramp.
const MAX_FACTOR: f64 = 8.0;

#[derive(Debug, Clone)]
struct Entry {
    state: ZoneState,
    /// When the zone returned; absent for a zone that has been in since it was first seen.
    returned: Option<Time>,
    ramp: Duration,
    penalty: f64,
    penalised: Time,
}

impl Entry {
    fn penalty(&self, now: Time) -> f64 {
        let halvings = now.since(self.penalised).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        self.penalty * (-halvings).exp2()
    }
}

/// Says what share of its work each zone takes.
#[derive(Debug, Clone, Default)]
pub struct Zones {
    entries: BTreeMap<ZoneName, Entry>,
}

impl Zones {
    /// Notes the state of a zone. A zone that returns takes its full share after `ramp`; each time
    /// it went out lately makes that longer.
    pub fn set(&mut self, zone: &ZoneName, state: ZoneState, ramp: Duration, now: Time) {
        let Some(entry) = self.entries.get_mut(zone) else {
            let entry = Entry {
                state,
                returned: None,
                ramp,
                penalty: f64::from(u8::from(state == ZoneState::Out)),
                penalised: now,
            };
            self.entries.insert(zone.clone(), entry);
            return;
        };
        match (entry.state, state) {
            (ZoneState::In, ZoneState::Out) => {
                entry.penalty = entry.penalty(now) + 1.0;
                entry.penalised = now;
            }
            (ZoneState::Out, ZoneState::In) => {
                entry.returned = Some(now);
                entry.ramp = ramp.mul_f64(entry.penalty(now).clamp(1.0, MAX_FACTOR));
            }
            _ => return,
        }
        entry.state = state;
    }

    /// Forgets the zones that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&ZoneName) -> bool) {
        self.entries.retain(|zone, _| keep(zone));
    }

    /// The share of its work that the zone takes, from 0 to 1. Unknown zones take all.
    pub fn share(&self, zone: &ZoneName, now: Time) -> f64 {
        let Some(entry) = self.entries.get(zone) else {
            return 1.0;
        };
        match (entry.state, entry.returned) {
            (ZoneState::Out, _) => 0.0,
            (ZoneState::In, None) => 1.0,
            (ZoneState::In, Some(returned)) => {
                let ramp = entry.ramp.as_secs_f64().max(1e-6);
                (now.since(returned).as_secs_f64() / ramp).min(1.0)
            }
        }
    }
}
