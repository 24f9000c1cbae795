//! Share of work for each zone, with a gradual ramp when a zone returns to service.

use std::{collections::BTreeMap, time::Duration};

use crate::{doc::ZoneState, name::ZoneName, time::Time};

/// Half-life of the penalty for a zone that changes its state repeatedly.
const PENALTY_HALF_LIFE: Duration = Duration::from_secs(600);
/// Maximum factor by which the penalty extends the ramp.
const MAX_RAMP_FACTOR: f64 = 8.0;

#[derive(Debug, Clone)]
struct ZoneEntry {
    state: ZoneState,
    /// When the zone last returned to service; `None` if it never left since first seen.
    returned: Option<Time>,
    ramp: Duration,
    penalty: f64,
    penalty_updated: Time,
}

impl ZoneEntry {
    fn penalty(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.penalty_updated).as_secs_f64() / PENALTY_HALF_LIFE.as_secs_f64();
        self.penalty * (-half_lives).exp2()
    }
}

/// States of the zones, which determine their shares of work.
#[derive(Debug, Clone, Default)]
pub struct Zones {
    entries: BTreeMap<ZoneName, ZoneEntry>,
}

impl Zones {
    /// Sets the state of a zone. A zone that returns to service reaches its full share after
    /// `ramp`, or later if it was taken out of service repeatedly in recent time.
    pub fn set(&mut self, zone: &ZoneName, state: ZoneState, ramp: Duration, now: Time) {
        let Some(entry) = self.entries.get_mut(zone) else {
            let entry = ZoneEntry {
                state,
                returned: None,
                ramp,
                penalty: f64::from(u8::from(state == ZoneState::Out)),
                penalty_updated: now,
            };
            self.entries.insert(zone.clone(), entry);
            return;
        };
        match (entry.state, state) {
            (ZoneState::In, ZoneState::Out) => {
                entry.penalty = entry.penalty(now) + 1.0;
                entry.penalty_updated = now;
            }
            (ZoneState::Out, ZoneState::In) => {
                entry.returned = Some(now);
                entry.ramp = ramp.mul_f64(entry.penalty(now).clamp(1.0, MAX_RAMP_FACTOR));
            }
            _ => return,
        }
        entry.state = state;
    }

    /// Removes the zones for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&ZoneName) -> bool) {
        self.entries.retain(|zone, _| keep(zone));
    }

    /// The share of its normal work that the zone gets, from 0 to 1. Unknown zones get all of it.
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
