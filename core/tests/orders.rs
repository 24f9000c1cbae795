//! Load orders with lost replies, paused agents and two agents for one target.

use std::time::Duration;

use ebonyfall_core::{
    id::{Incarnation, Offset},
    name::{ModelName, VersionName},
    order::{Action, Event, ModelStatus, ModelVersion, Orders},
    time::Time,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of random schedules.
const SCHEDULES: u64 = 2_000;

fn goal(version: &str) -> ModelVersion {
    ModelVersion {
        model: ModelName::new("m").unwrap(),
        version: VersionName::new(version).unwrap(),
    }
}

/// Model of an engine, which checks or ignores fencing tokens, and of the target's intents on the
/// log.
struct World {
    runs: ModelVersion,
    token: u64,
    checks_tokens: bool,
    intents: Vec<(u64, Incarnation)>,
}

impl World {
    /// Executes an action; with `lost` its reply is lost, but the action takes effect.
    fn carry_out(&mut self, action: &Action, lost: bool) -> Option<Event> {
        let event = match action {
            Action::Read => Event::Read(ModelStatus {
                runs: Some(self.runs.clone()),
                loading: None,
                token: Offset::from(if self.checks_tokens { self.token } else { 0 }),
                incarnation: Incarnation::from(1),
            }),
            Action::Append(intent) => {
                let offset = self.intents.len() as u64 + 1;
                self.intents
                    .push((u64::from(intent.configuration), intent.agent));
                Event::Appended {
                    offset: Offset::from(offset),
                    newer: self.newer(intent),
                }
            }
            Action::Send { goal, token } => {
                let token = u64::from(*token);
                if self.checks_tokens && token < self.token {
                    Event::Fenced
                } else {
                    self.token = token;
                    self.runs = goal.clone();
                    Event::Accepted
                }
            }
            Action::Wait(_) | Action::Settled => return None,
        };
        Some(if lost { Event::Lost } else { event })
    }

    /// The newest intent on the log, if it is for a newer configuration than `own`.
    fn newer(&self, own: &ebonyfall_core::order::Intent) -> Option<Offset> {
        let newest = self
            .intents
            .iter()
            .map(|(configuration, _)| *configuration)
            .max()?;
        (newest > u64::from(own.configuration)).then(|| Offset::from(newest))
    }
}

/// Guards against an engine that ends up with an old version after lost replies. Engines may check
/// or ignore fencing tokens.
#[test]
fn the_newest_goal_wins_under_lost_replies() {
    for seed in 0..SCHEDULES {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World {
            runs: goal("v1"),
            token: 0,
            checks_tokens: rng.random(),
            intents: Vec::new(),
        };
        let mut orders = Orders::new(Incarnation::from(1), Offset::from(1), goal("v1"));
        let mut now = Time::ZERO;
        for step in 0..400_u64 {
            if step == 50 {
                orders.set_goal(Offset::from(2), goal("v2"));
            }
            if step == 70 {
                orders.set_goal(Offset::from(1), goal("v1"));
            }
            let action = orders.next_action(now);
            let lost = step < 300 && rng.random::<f64>() < 0.4;
            now = now + Duration::from_millis(rng.random_range(1..900));
            if let Some(event) = world.carry_out(&action, lost) {
                orders.on_event(event, now);
            }
        }
        assert_eq!(world.runs, goal("v2"), "seed {seed}");
        assert_eq!(
            orders.next_action(now + Duration::from_secs(60)),
            Action::Settled,
            "seed {seed}"
        );
    }
}

/// Guards against a paused agent that overrides the order of its replacement when it resumes.
#[test]
fn a_paused_agent_does_not_undo_a_newer_order() {
    for checks_tokens in [true, false] {
        let mut world = World {
            runs: goal("v1"),
            token: 0,
            checks_tokens,
            intents: Vec::new(),
        };
        let mut old = Orders::new(Incarnation::from(1), Offset::from(1), goal("v2"));
        let mut new = Orders::new(Incarnation::from(2), Offset::from(3), goal("v3"));
        let mut now = Time::ZERO;
        // The old agent reads and appends, and is paused before it sends.
        for _ in 0..2 {
            let action = old.next_action(now);
            let event = world.carry_out(&action, false).unwrap();
            old.on_event(event, now);
        }
        for _ in 0..6 {
            let action = new.next_action(now);
            if let Some(event) = world.carry_out(&action, false) {
                new.on_event(event, now);
            }
        }
        assert_eq!(world.runs, goal("v3"));
        // The old agent resumes after more than a lease and must restart with a read.
        now = now + Duration::from_secs(120);
        for _ in 0..10 {
            let action = old.next_action(now);
            assert!(
                !matches!(action, Action::Send { .. }),
                "checks_tokens {checks_tokens}: {action:?}"
            );
            if let Some(event) = world.carry_out(&action, false) {
                old.on_event(event, now);
            }
            now = now + Duration::from_secs(1);
        }
        assert_eq!(world.runs, goal("v3"));
    }
}
