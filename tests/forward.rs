//! Claims in a fleet with more routers than log writers.

#[path = "testenv/claims.rs"]
mod claims_env;

use std::{sync::Arc, time::Duration};

use claims_env::{claim, empty_view};
use ebonyfall::{
    append::Peer,
    claims::Claims,
    link::{Identity, Link},
    platform::Platform,
    supervisor::{EndedTasks, Supervisor},
};
use ebonyfall_core::{
    claim::{MAX_WRITERS, Writer, choose_writer},
    name::ProcessName,
};
use ebonyfall_standin::{deploy::free_address, log::LogLimits, platform};
use ebonyfall_wire::auth::{Key, Keys};
use slog::{Discard, Logger, o};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Number of routers; more than `MAX_WRITERS`, so that some of them forward their claims.
const ROUTERS: usize = 30;
/// Number of orders for each router; every order is claimed by two routers.
const ORDERS_PER_ROUTER: u64 = 8;

/// Accepts connections of other routers and appends the claims that they forward.
async fn accept(listener: TcpListener, identity: Identity, claims: Claims) {
    while let Ok((stream, _)) = listener.accept().await {
        let (identity, claims) = (identity.clone(), claims.clone());
        tokio::spawn(async move {
            if let Ok(mut link) = Link::accept(&identity, stream).await {
                let _closed = claims.serve(&mut link).await;
            }
        });
    }
}

/// Guards against more than `MAX_WRITERS` routers that append to the log, and against forwarded
/// claims that are lost or won twice. One writer is down, so the routers that forward to it must
/// append their claims themselves.
#[tokio::test(flavor = "multi_thread")]
async fn claims_are_forwarded_to_few_writers() {
    let address = free_address();
    let log = platform::Platform::start(address, LogLimits::default());
    let client = Platform::new(format!("http://{address}"));
    let view = empty_view();
    let (_views, views) = watch::channel(Some(view));
    let mut fleet = Vec::new();
    for index in 0..ROUTERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let identity = Identity {
            name: ProcessName::new(format!("router-{index}")).unwrap(),
            incarnation: 1.into(),
            keys: Keys::new(Key::new([5; 16]), None),
        };
        fleet.push((identity, listener));
    }
    let peers: Arc<[Peer]> = fleet
        .iter()
        .map(|(identity, listener)| Peer {
            name: identity.name.clone(),
            address: listener.local_addr().unwrap(),
        })
        .collect();
    let names: Vec<_> = peers.iter().map(|peer| peer.name.clone()).collect();
    let writer_name = names
        .iter()
        .find_map(|name| match choose_writer(name, &names) {
            Writer::Peer(writer_name) => Some(writer_name),
            Writer::Own => None,
        });
    let stopped = writer_name.expect("more routers than writers");
    let (_peers, peers) = watch::channel(peers);
    let mut routers = Vec::new();
    for (identity, listener) in fleet {
        let log = Logger::root(Discard, o!());
        let supervisor =
            Supervisor::new(watch::channel(false).1, EndedTasks::default(), log.clone());
        let claims = Claims::start(
            identity.clone(),
            client.clone(),
            views.clone(),
            peers.clone(),
            &supervisor,
            log,
        );
        if identity.name == stopped {
            drop(listener);
        } else {
            tokio::spawn(accept(listener, identity.clone(), claims.clone()));
        }
        routers.push((identity, claims));
    }
    let available = async {
        for (_, claims) in &routers {
            while !claims.dump().await.available {
                sleep(Duration::from_millis(20)).await;
            }
        }
    };
    timeout(Duration::from_secs(10), available).await.unwrap();
    let mut tasks = JoinSet::new();
    for key in 0..ORDERS_PER_ROUTER * ROUTERS as u64 {
        // Each key is claimed by two routers.
        for offset in [0, 7] {
            let index = (usize::try_from(key).unwrap() + offset) % ROUTERS;
            let (identity, claims) = routers[index].clone();
            tasks.spawn(async move { (key, claim(claims, identity, u128::from(key)).await) });
        }
    }
    let mut won = vec![0; ROUTERS * usize::try_from(ORDERS_PER_ROUTER).unwrap()];
    while let Some(done) = tasks.join_next().await {
        let (key, claimed) = done.unwrap();
        won[usize::try_from(key).unwrap()] += u32::from(claimed);
    }
    assert!(won.iter().all(|won| *won == 1), "{won:?}");
    let mut writers = 0;
    let mut forwarded = 0;
    for (_, claims) in &routers {
        let dump = claims.dump().await;
        writers += usize::from(dump.forwarded == 0);
        forwarded += dump.forwarded;
    }
    println!(
        "{writers} writers, {forwarded} batches forwarded, {} appends",
        log.appends().await
    );
    assert_eq!(writers, MAX_WRITERS);
    assert!(forwarded > 0);
}
