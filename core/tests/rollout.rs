//! Rollouts of model versions: share, evidence and verdicts.

use std::time::Duration;

use ebonyfall_core::{
    doc::{MoveIntent, Priority, VersionMove},
    id::ChatId,
    name::{ModelName, MoveName, VersionName},
    rollout::{
        Comparison, Evaluator, Evidence, Phase, RolloutState, Verdict, phase, share,
        uses_new_version,
    },
    sequential::Check,
    tally::{History, Lane, Sample},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const LANE: Lane = Lane {
    priority: Priority::Desk,
    streamed: true,
};

fn step(intent: MoveIntent) -> VersionMove {
    let version = |name| VersionName::new(name).unwrap();
    VersionMove {
        model: ModelName::new("m").unwrap(),
        from: version("v1"),
        to: version("v2"),
        due: 1_000,
        start_share: 0.02,
        intent,
    }
}

/// Simulates 120 s of traffic to both versions. The new version has the failure rate `failures` and
/// the latency factor `slowdown`; a `surge` slows both versions. Returns the verdict and evidence.
fn serve(seed: u64, failures: f64, slowdown: f64, surge: bool) -> (Option<Verdict>, Evidence) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut old, mut new, mut evaluator) = (
        History::default(),
        Comparison::default(),
        Evaluator::default(),
    );
    let mut verdict = None;
    for second in 0..120 {
        let load = if surge && (40..60).contains(&second) {
            3.0
        } else {
            1.0
        };
        for request in 0..50 {
            let is_new = request % 5 == 0;
            let (rate, slow) = if is_new {
                (failures, slowdown)
            } else {
                (0.002, 1.0)
            };
            let spread = rng.random_range(0.5..1.5);
            let sample = Sample {
                failed: rng.random::<f64>() < rate,
                first_token: Duration::from_secs_f64(0.2 * spread * load * slow),
                between_tokens: Duration::from_secs_f64(0.03 * spread * load * slow),
            };
            if is_new {
                new.push(second, LANE, sample);
            } else {
                old.push(second, LANE, &sample);
            }
        }
        new.compare_pending(&old, second);
        verdict = evaluator.update([new.evidence()]);
    }
    (verdict, new.evidence().clone())
}

/// Guards against a good version that is rolled back, also during a surge that slows both versions.
#[test]
fn a_good_version_gets_no_verdict() {
    for seed in 0..50 {
        assert_eq!(
            serve(seed, 0.002, 1.0, seed % 2 == 0).0,
            None,
            "seed {seed}"
        );
    }
}

/// Guards against a faulty version that is not detected.
#[test]
fn a_faulty_version_gets_a_verdict() {
    for seed in 0..50 {
        let failing = serve(seed, 0.2, 1.0, false).0.unwrap();
        assert_eq!(failing.check, Check::Failures, "seed {seed}");
        let slow = serve(seed, 0.002, 1.6, false).0.unwrap();
        assert_ne!(slow.check, Check::Failures, "seed {seed}");
    }
}

/// Guards against a verdict that is withdrawn when better evidence follows.
#[test]
fn a_verdict_is_never_withdrawn() {
    let (_, bad) = serve(1, 0.3, 1.0, false);
    let mut evaluator = Evaluator::default();
    let verdict = evaluator.update([&bad]);
    assert!(verdict.is_some());
    let (_, good) = serve(2, 0.0, 1.0, false);
    assert_eq!(evaluator.update([&good]), verdict);
    assert!(!evaluator.is_cleared());
}

/// Guards against a share that rises without evidence or past a hold, misses the due time, or stays
/// above zero after a verdict.
#[test]
fn the_share_follows_evidence_intent_and_verdict() {
    let go = step(MoveIntent::Go);
    let open = RolloutState {
        capacity: 1.0,
        ..RolloutState::default()
    };
    assert!((share(&go, &open, 900) - 0.02).abs() < 1e-9);
    let cleared = RolloutState {
        cleared: Some(100),
        ..open
    };
    let shares: Vec<_> = (100..1_000).map(|now| share(&go, &cleared, now)).collect();
    assert!(shares.is_sorted());
    assert_eq!(phase(&go, &cleared, 950), Phase::Done);
    let small = RolloutState {
        capacity: 0.3,
        ..cleared
    };
    assert_eq!(phase(&go, &small, 1_001), Phase::Late);
    let held = RolloutState {
        intent_since: 300,
        ..cleared
    };
    let at_hold = share(&step(MoveIntent::Hold), &held, 300);
    assert!((share(&step(MoveIntent::Hold), &held, 999) - at_hold).abs() < 1e-9);
    let faulty = RolloutState {
        faulty: true,
        ..cleared
    };
    assert!(share(&go, &faulty, 999).abs() < 1e-9);
    assert_eq!(phase(&go, &faulty, 999), Phase::RolledBack);
}

/// Guards against chats that switch back and forth between versions while the share rises.
#[test]
fn a_chat_changes_its_version_once() {
    let name = MoveName::new("labels-v2").unwrap();
    for chat in (0..500).map(ChatId::from) {
        let uses_new: Vec<_> = (0..=100)
            .map(|p| uses_new_version(&name, chat, f64::from(p) / 100.0))
            .collect();
        assert!(uses_new.is_sorted());
        assert!(uses_new[100]);
    }
}
