//! Callers that keep connections open, and send request after request, while a router stops.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use ebonyfall_standin::{
    entrance::{CallerConnection, EntryDeployment, Reply},
    registered::AnswerMode,
};
use http::StatusCode;
use serde_json::json;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    RESUMABLE, SAFE, STREAM, UNSAFE,
    env::{EntryEnv, TEAM_KEY},
    events, executed,
};

/// Paths of all kinds of routes.
const PATHS: [&str; 4] = [SAFE, UNSAFE, RESUMABLE, STREAM];
/// Callers that send request after request.
const CALLERS: usize = 24;
/// Longest pause of a caller after an answer, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;
/// Callers that send two requests on a connection: one before the first signal, and one around the time at
/// which a router closes idle connections, in milliseconds after that signal.
const IDLE_CALLERS: usize = 120;
const SECOND_REQUEST_MS: Range<u64> = 2_500..3_000;
/// Time from the start of the calls to the first signal, and between two signals.
const BEFORE_SIGNAL: Duration = Duration::from_millis(500);
const BETWEEN_SIGNALS: Duration = Duration::from_millis(200);
/// Time from the stop signal to a standstill of the router, and its length. All second requests come in it.
const BEFORE_STANDSTILL: Duration = Duration::from_millis(2_400);
const STANDSTILL: Duration = Duration::from_millis(800);
/// Time for which callers call a router that is not stopped.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Time from a stop signal until the router has to have ended.
const GRACE: Duration = Duration::from_secs(8);
/// Events of a streamed answer, which lasts 200 ms.
const EVENTS: u32 = 40;

/// Path without a route.
const NO_ROUTE: &str = "/none/7";
/// Settings of a router whose memory holds fewer connections than its descriptors, and how many.
const FEW_HEADS: &str = "memory-mb = 64\nmax-fds = 4000\n";
const MAX_HEADS: usize = (64 << 20) / 8 / (16 << 10);
/// Connections that the listeners for readiness and metrics may have.
const OTHER_HEADS: usize = 32;
/// Connections that come when no more fit.
const NEW_CONNECTIONS: usize = 8;

/// Time in which a router learns what was written to the store.
const LEARN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which a request runs, and time in which it begins.
const RUN_TIME: Duration = Duration::from_millis(2_000);
const CALL_START: Duration = Duration::from_millis(100);

static CALLS: AtomicU64 = AtomicU64::new(1);

/// A request and how it ended.
#[derive(Debug)]
struct Call {
    id: String,
    path: &'static str,
    /// Whether the connection had carried a request before.
    is_kept: bool,
    reply: Option<Reply>,
}

impl Call {
    async fn send(open: &mut CallerConnection, path: &'static str, is_kept: bool) -> Self {
        let id = format!("kept-{}", CALLS.fetch_add(1, Ordering::Relaxed));
        let method = if path == SAFE { "GET" } else { "POST" };
        let headers = [("ebonyfall-deadline-ms", "2000")];
        let reply = open.call(&id, (method, path, "body"), &headers).await;
        Self {
            id,
            path,
            is_kept,
            reply,
        }
    }

    fn is_whole(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| {
            let expected = match self.path {
                RESUMABLE | STREAM => events(EVENTS),
                _ => "done".to_owned(),
            };
            reply.status == StatusCode::OK && reply.body.as_ref().ok() == Some(&expected)
        })
    }

    fn is_refused(&self) -> bool {
        let status = self.reply.as_ref().map(|reply| reply.status);
        status == Some(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Sends request after request until `end` or until the router accepts no more connections.
async fn call_on(listen: SocketAddr, path: &'static str, end: Instant) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut connection = None;
    while Instant::now() < end {
        let is_kept = connection.is_some();
        let open = match connection.take() {
            Some(open) => Some(open),
            None => CallerConnection::open(listen).await,
        };
        let Some(mut open) = open else {
            return calls;
        };
        let call = Call::send(&mut open, path, is_kept).await;
        let stays_open = call.reply.as_ref().is_some_and(|reply| {
            let connection = reply.headers.get("connection");
            reply.body.is_ok() && connection.is_none_or(|value| value != "close")
        });
        connection = stays_open.then_some(open);
        calls.push(call);
        sleep(Duration::from_millis(rand::random_range(0..MAX_PAUSE_MS))).await;
    }
    calls
}

/// Sends a request on a new connection, which stays open for another one.
async fn call_first(listen: SocketAddr, path: &'static str) -> (CallerConnection, Call) {
    let mut open = CallerConnection::open(listen).await.expect("it listens");
    let call = Call::send(&mut open, path, false).await;
    (open, call)
}

/// Sends a request on an open connection at `at`.
async fn call_again(mut open: CallerConnection, path: &'static str, at: Instant) -> Vec<Call> {
    sleep_until(at).await;
    vec![Call::send(&mut open, path, true).await]
}

/// Checks the answers to callers that call while these signals arrive, with a pause after each.
async fn check_signals(signals: &'static [&'static str]) {
    let signals: Vec<_> = signals
        .iter()
        .map(|signal| (*signal, BETWEEN_SIGNALS))
        .collect();
    check_answers(&signals).await;
}

/// Checks the answers to callers that call while these signals arrive, each with the pause after it. Returns
/// how many requests came to a connection that the router had closed.
async fn check_answers(signals: &[(&str, Duration)]) -> usize {
    let mut env = EntryEnv::start(2).await;
    for target in &env.targets {
        target.set_mode(AnswerMode::ByPath { events: EVENTS });
    }
    let listen = env.routers[0].listen;
    // An answer that is given after the signal says that its connection closes.
    let first: JoinSet<_> = (0..IDLE_CALLERS)
        .map(|caller| call_first(listen, PATHS[caller % PATHS.len()]))
        .collect();
    let first = first.join_all().await;
    let stops = signals.iter().any(|(signal, _)| *signal != "HUP");
    let end = if stops {
        Instant::now() + BEFORE_SIGNAL + GRACE
    } else {
        Instant::now() + CALL_TIME
    };
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        callers.spawn(call_on(listen, PATHS[caller % PATHS.len()], end));
    }
    let signalled = Instant::now() + BEFORE_SIGNAL;
    let mut calls = Vec::new();
    for (open, call) in first {
        let after = Duration::from_millis(rand::random_range(SECOND_REQUEST_MS));
        callers.spawn(call_again(open, call.path, signalled + after));
        calls.push(call);
    }
    sleep_until(signalled).await;
    for (signal, pause) in signals {
        env.signal(0, signal);
        sleep(*pause).await;
    }
    calls.extend(callers.join_all().await.into_iter().flatten());
    if stops {
        assert!(env.ended(GRACE).await, "{signals:?}");
    }
    let executed = executed(&env);
    let runs = |id: &str| {
        let ids = executed.iter();
        let ids = ids.filter_map(|req| req.headers.get("ebonyfall-attempt-id"));
        ids.filter(|executed| *executed == id).count()
    };
    let [mut whole, mut refused, mut crossed] = [0; 3];
    for call in &calls {
        let case = format!("{signals:?}: {call:?}");
        if call.is_whole() {
            whole += 1;
            assert_eq!(runs(&call.id), 1, "{case}");
        } else if call.is_refused() {
            refused += 1;
            assert_eq!(runs(&call.id), 0, "{case}");
        } else {
            // A request that crosses the end of an idle connection has not been read.
            assert!(call.reply.is_none() && call.is_kept, "{case}");
            assert_eq!(runs(&call.id), 0, "{case}");
            crossed += 1;
        }
    }
    println!("{signals:?}: {whole} whole, {refused} refused, {crossed} crossed the end");
    assert!(whole > 0, "{signals:?}");
    crossed
}

/// Guards against requests on kept and new connections that are cut, lost or run although they were
/// refused, while stop and reload signals arrive in series.
#[tokio::test(flavor = "multi_thread")]
async fn signals_in_series_lose_no_request_on_kept_connections() {
    let series = [
        &["TERM"][..],
        &["TERM", "TERM"],
        &["TERM", "HUP"],
        &["HUP", "TERM"],
        &["HUP", "HUP", "HUP"],
        &["INT", "TERM"],
    ];
    let checks: JoinSet<_> = series.into_iter().map(check_signals).collect();
    checks.join_all().await;
}

/// Guards against a router that stands still around the end of its time to accept, and then closes kept
/// connections without reading the requests that have arrived meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_standstill_in_a_stop_loses_no_request() {
    let crossed = check_answers(&[
        ("TERM", BEFORE_STANDSTILL),
        ("STOP", STANDSTILL),
        ("CONT", Duration::ZERO),
    ])
    .await;
    assert_eq!(crossed, 0, "all requests arrived in the standstill");
}

/// Guards against a router that takes no new connection, is not ready, or evicts more than it needs to,
/// while idle connections hold all of the memory for heads.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_give_their_memory_to_new_ones() {
    let env = EntryEnv::start_fleet_with(1, 1, FEW_HEADS).await;
    let listen = env.routers[0].listen;
    let mut kept = Vec::new();
    for number in 0..MAX_HEADS + NEW_CONNECTIONS {
        let mut open = CallerConnection::open(listen).await.expect("it listens");
        let call = Call::send(&mut open, NO_ROUTE, false).await;
        let status = call.reply.map(|reply| reply.status);
        assert_eq!(status, Some(StatusCode::NOT_FOUND), "connection {number}");
        kept.push(open);
    }
    assert!(env.is_ready(0).await, "readiness checks find room");
    // Callers leave to the other listeners what these have at most, and what they hold now.
    for open in &mut kept[NEW_CONNECTIONS + 2 * OTHER_HEADS..] {
        let call = Call::send(open, NO_ROUTE, true).await;
        assert!(call.reply.is_some());
    }
}

/// Guards against a connection to an earlier run of a target that is kept for the next request to the run
/// which has replaced it at another address.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_an_earlier_run_is_not_used_again() {
    check_replaced(2).await;
}

/// Guards against the same where the target has only moved to another address.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_an_earlier_address_is_not_used_again() {
    check_replaced(1).await;
}

/// Replaces a target, which states 1 as its start, while it runs a request, and checks where the next one
/// runs.
async fn check_replaced(born: u64) {
    let env = EntryEnv::start(2).await;
    env.put_desired_state_with_timeout(2, &[TEAM_KEY], 3 * RUN_TIME)
        .await;
    env.unregister(1).await;
    env.targets[0].set_mode(AnswerMode::Delay(RUN_TIME));
    sleep(LEARN_TIME).await;
    let listen = env.routers[0].listen;
    let running = tokio::spawn(EntryDeployment::call(
        listen,
        "earlier",
        ("POST", UNSAFE, ""),
        &[("ebonyfall-deadline-ms", "6000")],
    ));
    sleep(CALL_START).await;
    let entry = json!({
        "service": "plain", "addr": env.target_addresses[1], "zone": "z0", "version": "v1",
        "slots": 8, "state": "ready", "seq": 2, "born": born,
    });
    env.store.put("keyed.servers", "t-0", Some(&entry)).await;
    let earlier = running.await.expect("no panic").expect("an answer");
    assert_eq!(earlier.status, StatusCode::OK);
    let later = EntryDeployment::call(listen, "later", ("POST", UNSAFE, ""), &[]).await;
    assert_eq!(later.map(|reply| reply.status), Some(StatusCode::OK));
    let at = |target: usize| env.targets[target].executed_requests().len();
    assert_eq!([at(0), at(1)], [1, 1]);
}
