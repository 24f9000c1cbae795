//! Planned stops of a router while its targets pause.

use std::time::Duration;

use ebonyfall_standin::pausing::{Conduct, PauseAt};
use tokio::{join, time::sleep};

use crate::env::{Env, RESUMABLE, SAFE, is_whole};

/// Time from the requests to the first signal, and between two signals.
const BEFORE_SIGNAL: Duration = Duration::from_millis(500);
const BETWEEN_SIGNALS: Duration = Duration::from_millis(100);

async fn stop_beside_pauses(others: &[Conduct], retry_slack: f64, signals: &[&str]) {
    let mut env = Env::start(others, retry_slack).await;
    let pause = Duration::from_millis(1_700);
    let places = [PauseAt::Head, PauseAt::Body, PauseAt::Within];
    let mut calls = Vec::new();
    for path in [RESUMABLE, SAFE] {
        for place in places {
            env.first.set_conduct(Conduct::Serve(place, pause));
            calls.extend((0..8).map(|_| (path, tokio::spawn(env.call(path)))));
            // The conduct is chosen when a request arrives.
            sleep(Duration::from_millis(50)).await;
        }
    }
    sleep(BEFORE_SIGNAL).await;
    for signal in signals {
        env.deployment.signal(0, signal);
        sleep(BETWEEN_SIGNALS).await;
    }
    for (path, call) in calls {
        let (id, reply) = call.await.expect("no panic");
        if env.was_first(&id) {
            let case = format!("{signals:?} {others:?} {path} {id}");
            assert!(is_whole(path, reply.as_ref()), "{case}: {reply:?}");
        }
    }
}

/// Guards against answers that are cut beside a planned stop because their sound target pauses and no
/// retry can be made.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_beside_a_pause_cuts_no_answer() {
    let sound = [Conduct::Serve(PauseAt::Head, Duration::ZERO)];
    let declines = [Conduct::Decline];
    for signals in [
        &["TERM"][..],
        &["TERM", "TERM"],
        &["TERM", "HUP"],
        &["HUP", "TERM", "HUP", "TERM"],
        &["INT", "TERM"],
    ] {
        join!(
            stop_beside_pauses(&[], 58.0, signals),
            stop_beside_pauses(&sound, 0.0, signals),
            stop_beside_pauses(&declines, 1_000.0, signals),
        );
    }
}
