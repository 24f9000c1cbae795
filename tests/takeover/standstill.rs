//! Routers whose process stands still while their targets answer.

use std::time::Duration;

use ebonyfall_standin::pausing::{Conduct, PauseAt};
use tokio::time::sleep;

use crate::env::{Env, RESUMABLE, SAFE, is_whole};

/// Time in which the router hears from the store.
const CONFIRM_TIME: Duration = Duration::from_millis(1_500);

/// Guards against a standstill of the process that is taken for silence of its targets: their answers
/// arrive meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_own_standstill_ends_no_answer() {
    let mut env = Env::start(&[], 58.0).await;
    for path in [RESUMABLE, SAFE] {
        for place in [PauseAt::Head, PauseAt::Body, PauseAt::Within] {
            let pause = Duration::from_millis(400);
            env.first.set_conduct(Conduct::Serve(place, pause));
            // After a standstill new requests are refused until the store has confirmed the keys.
            sleep(CONFIRM_TIME).await;
            let calls: Vec<_> = (0..6).map(|_| tokio::spawn(env.call(path))).collect();
            sleep(Duration::from_millis(200)).await;
            env.deployment.signal(0, "STOP");
            sleep(Duration::from_millis(1_500)).await;
            env.deployment.signal(0, "CONT");
            for call in calls {
                let (id, reply) = call.await.expect("no panic");
                let case = format!("{path} {place:?} {id}");
                assert!(is_whole(path, reply.as_ref()), "{case}: {reply:?}");
            }
        }
    }
}
