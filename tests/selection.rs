//! Tests of the task that owns the target selector, through its handle.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall::{
    clock::BootClock,
    selection::{SelectionRequest, SelectorHandle, Update},
    supervisor::{EndedTasks, Supervisor},
};
use ebonyfall_core::{
    budget::RetryBound,
    doc::Idempotency,
    id::{Fingerprint, Incarnation},
    name::{RouteName, ServiceName, TargetName},
    outcome::Probe,
    selector::TargetSelector,
    target::{Stage, TargetRecord},
};
use slog::{Discard, Logger, o};
use tokio::{net::TcpListener, sync::watch, task::yield_now};

fn record(address: SocketAddr, incarnation: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new("t-1").expect("a name"),
        service: ServiceName::new("desk").expect("a name"),
        address,
        zone: "a".parse().expect("a name"),
        version: Arc::from("v1"),
        slots: 4,
        stage: Stage::Ready,
        cold: Duration::ZERO,
        incarnation: Incarnation::from(incarnation),
    }
}

fn request() -> SelectionRequest {
    SelectionRequest {
        service: ServiceName::new("desk").expect("a name"),
        contexts: Vec::new(),
        tried: Vec::new(),
        charge_retry: false,
        only: None,
        needs_slot: false,
        idempotency: Idempotency::Idempotent,
        content: Fingerprint::from(1),
        parts: Arc::from([]),
        team: None,
        route: RouteName::new("r").expect("a name"),
    }
}

fn start() -> SelectorHandle {
    let retry = RetryBound {
        ratio: 0.2,
        slack: 50.0,
        window: Duration::from_secs(10),
    };
    let selector = TargetSelector::new("a".parse().expect("a name"), retry);
    let log = Logger::root(Discard, o!());
    let supervisor = Supervisor::new(watch::channel(false).1, EndedTasks::default(), log.clone());
    SelectorHandle::start(selector, BootClock, &supervisor, log)
}

/// Guards against a slot that stays taken for ever when a request no longer needs the target that was
/// chosen for it: its caller has left, or the first target went on while a second one was chosen.
#[tokio::test]
async fn a_choice_that_is_not_received_takes_no_slot() {
    let selector = start();
    let address = "127.0.0.1:9".parse().expect("an address");
    selector
        .update(vec![Update::PutTarget(record(address, 1))])
        .await;
    let mut choice = Box::pin(selector.choose(request()));
    tokio::select! {
        biased;
        _chosen = &mut choice => panic!("the task has not run"),
        () = async {} => {}
    }
    // The task chooses on this thread; the request is not polled any more.
    for _ in 0..20 {
        yield_now().await;
    }
    drop(choice);
    let state = selector.inspect().await;
    assert_eq!(state.targets[0].open, 0);
}

/// Guards against a target that is taken for unreachable since a check of its former address was under
/// way.
#[tokio::test]
async fn checks_of_two_runs_of_a_target_are_apart() {
    let selector = start();
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let former = closed.local_addr().expect("an address");
    drop(closed);
    let open = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let present = open.local_addr().expect("an address");
    selector
        .update(vec![Update::PutTarget(record(present, 2))])
        .await;
    let (of_former, of_present) = tokio::join!(
        selector.check(record(former, 1)),
        selector.check(record(present, 2))
    );
    assert_eq!(of_former, Some(Probe::Refused));
    assert_eq!(of_present, Some(Probe::Accepted));
}
