//! Tests of faults that operators of similar systems have reported; docs/platform.md lists them all.

use std::time::Duration;

use ebonyfall_standin::registered::AnswerMode;
use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    RESUMABLE, UNSAFE,
    env::{EntryEnv, TEAM_KEY},
    events, executed,
};

/// Callers that connect again and again during the shutdown.
const CALLERS: usize = 24;
/// Time for which they do so; longer than the shutdown.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends one request on a new connection. `None` when the connection is not established, else the
/// bytes of the answer.
async fn call_raw(address: std::net::SocketAddr, id: &str) -> Option<Vec<u8>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = stream.ok()?.ok()?;
    let req = format!(
        "POST {UNSAFE} HTTP/1.1\r\nHost: spine.example\r\nEbonyfall-Attempt-Id: {id}\r\n\
         Ebonyfall-Deadline-Ms: 2000\r\nAuthorization: Bearer {TEAM_KEY}\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    let mut answer = Vec::new();
    if stream.write_all(req.as_bytes()).await.is_ok() {
        let _reset = stream.read_to_end(&mut answer).await.is_err();
    }
    Some(answer)
}

/// Guards against a planned stop under load that cuts off requests which have just been accepted:
/// every connection that is established gets a complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_cuts_no_accepted_request() {
    let mut env = EntryEnv::start(2).await;
    for target in &env.targets {
        target.set_mode(AnswerMode::Delay(Duration::from_millis(40)));
    }
    let listen = env.routers[0].listen;
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            tokio::spawn(async move {
                let (mut answered, mut cut) = (0, 0);
                for request in 0.. {
                    if start.elapsed() > LOAD_TIME {
                        break;
                    }
                    match call_raw(listen, &format!("load-{caller}-{request}")).await {
                        Some(answer) if answer.starts_with(b"HTTP/1.1 ") => answered += 1,
                        Some(_) => cut += 1,
                        None => sleep(Duration::from_millis(20)).await,
                    }
                }
                (answered, cut)
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    env.terminate();
    let (mut answered, mut cut) = (0, 0);
    for caller in callers {
        let (of_caller, cut_of_caller) = caller.await.expect("the caller does not panic");
        answered += of_caller;
        cut += cut_of_caller;
    }
    assert_eq!(cut, 0, "of {answered} requests");
    assert!(answered > CALLERS, "the load lasts into the shutdown");
    assert!(env.ended(Duration::from_secs(5)).await);
}

/// Guards against running work that is given up or started again elsewhere because the target was
/// slow to renew its entry in the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_lapsed_entry_does_not_end_or_repeat_running_work() {
    let env = EntryEnv::start(2).await;
    for target in &env.targets {
        // Events arrive 5 ms apart.
        target.set_mode(AnswerMode::Stream {
            count: 300,
            cut_after: None,
        });
    }
    let lapse = async {
        sleep(Duration::from_millis(200)).await;
        for target in 0..2 {
            let key = format!("t-{target}");
            env.store.put("keyed.servers", &key, None).await;
        }
    };
    let (reply, ()) = tokio::join!(env.call("POST", RESUMABLE, "", &[]), lapse);
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(reply.body.expect("the stream is complete"), events(300));
    assert_eq!(executed(&env).len(), 1, "no second target ran it");
}

/// Guards against routers that end, or stop following the list of targets, because another writer
/// left an odd entry there.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_of_another_writer_stops_nothing() {
    let env = EntryEnv::start(2).await;
    let entry = |addr: &str, warmup: &str, later: &str| {
        format!(
            "{{\"service\":\"plain\",\"addr\":\"{addr}\",\"zone\":\"z0\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"warmup_left_ms\":{warmup},\"seq\":1,\"born\":1,\"later\":{later}}}"
        )
    };
    let deep = "[".repeat(50_000) + &"]".repeat(50_000);
    for (name, odd) in [
        ("deep", entry("127.0.0.1:9", "0", &deep)),
        ("unclosed", "[".repeat(100_000)),
        ("huge", entry("127.0.0.1:9", "1e308", "1")),
        ("long", entry("127.0.0.1:9", "1e18", "1")),
        ("port", entry("127.0.0.1:70000", "0", "1")),
    ] {
        let odd = Some(odd.into_bytes());
        env.store.put_bytes("keyed.servers", name, odd).await;
    }
    env.register(0, "draining").await;
    sleep(Duration::from_secs(2)).await;
    for _ in 0..8 {
        let reply = env.call("POST", UNSAFE, "", &[]).await;
        assert_eq!(reply.status, StatusCode::OK);
    }
    assert_eq!(env.targets[1].executed_requests().len(), 8);
    assert_eq!(env.log(0).matches("\"event\":\"start\"").count(), 1);
}
