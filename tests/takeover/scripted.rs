//! Targets that follow a script, beside one that pauses: what becomes of a request while two have it.

use std::{
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use ebonyfall_standin::{
    entrance::{EntryDeployment, Reply},
    hostile::{HostileTarget, Step},
    pausing::{Conduct, PauseAt, Work, complete_stream},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    time::{Instant, sleep, timeout},
};

use crate::env::{Env, RESUMABLE, is_whole};

/// Time in which a router learns what was written to the store.
const LEARN_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a request that has not reached the scripted target has reached the other one.
const ARRIVAL_TIME: Duration = Duration::from_millis(100);
/// Time for which two targets must not both work on a request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
const CALM: Conduct = Conduct::Serve(PauseAt::Head, Duration::ZERO);

/// One step of an answer.
#[derive(Debug, Clone)]
enum Act {
    /// Sends these bytes as one chunk of the body.
    Send(String),
    Pause(Duration),
    /// Ends the body.
    End,
    /// Closes the connection.
    Close,
}

fn event(number: u32) -> Act {
    Act::Send(format!("id: {number}\ndata: token {number}\n\n"))
}

/// Listener of the scripted target with a short queue, so that it can be filled.
fn listen() -> (TcpListener, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("sockets are available");
    let address = "127.0.0.1:0".parse().expect("the literal is an address");
    socket.bind(address).expect("a port is free");
    let listener = socket.listen(1).expect("the socket listens");
    let address = listener.local_addr().expect("the socket has an address");
    (listener, address)
}

/// Connections that wait until the target accepts them; further ones get no answer.
async fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) = timeout(Duration::from_millis(50), TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    waiting
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    loop {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&buf).to_lowercase();
        if let Some(end) = text.find("\r\n\r\n") {
            let header = |name: &str| {
                let line = text.lines().find(|line| line.starts_with(name))?;
                Some(line.split_once(':')?.1.trim().to_owned())
            };
            let len = header("content-length:").map_or(0, |len| len.parse().expect("a number"));
            if text.len() >= end + 4 + len {
                return header("ebonyfall-attempt-id:");
            }
        }
    }
}

async fn answer(stream: &mut TcpStream, id: &str, acts: &[Act]) -> Option<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut has_head = false;
    for act in acts {
        let bytes = match act {
            Act::Pause(time) => {
                let mut byte = [0];
                tokio::select! {
                    () = sleep(*time) => continue,
                    _closed = stream.peek(&mut byte) => return None,
                }
            }
            Act::Close => return None,
            Act::End => "0\r\n\r\n".to_owned(),
            Act::Send(text) => format!("{:x}\r\n{text}\r\n", text.len()),
        };
        if !has_head {
            stream.write_all(head.as_bytes()).await.ok()?;
            has_head = true;
        }
        stream.write_all(bytes.as_bytes()).await.ok()?;
    }
    Some(())
}

/// What became of a request that the scripted target got first.
struct Played {
    id: String,
    reply: Option<Reply>,
    /// Work of the scripted target.
    first: Work,
    /// Work of the others, and how many of them worked.
    others: Vec<Work>,
    targets: usize,
}

/// Sends requests until one has reached a target that follows `acts` first, and then sets what the others
/// do. With `is_full`, that target accepts no further connections while it works.
async fn play(others: &[Conduct], acts: &[Act], is_full: bool) -> Played {
    let mut starts = others.to_vec();
    starts.fill(CALM);
    let env = Env::start(&starts[1..], 1_000.0).await;
    let (listener, address) = listen();
    env.deployment.register_address("scripted", address).await;
    sleep(LEARN_TIME).await;
    let (arrived_tx, mut arrived) = mpsc::unbounded_channel();
    let (work_tx, mut work) = mpsc::unbounded_channel();
    let acts = acts.to_vec();
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let id = read_request(&mut stream).await.expect("a request");
        let begun = Instant::now();
        let waiting = if is_full {
            fill_queue(address).await
        } else {
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(async move {
                        let _held = stream.readable().await;
                        sleep(Duration::from_secs(10)).await;
                        drop(stream);
                    });
                }
            });
            Vec::new()
        };
        let _alive = arrived_tx.send(id.clone());
        let is_complete = answer(&mut stream, &id, &acts).await.is_some();
        let ended = Some(Instant::now());
        let _alive = work_tx.send(Work {
            id,
            begun,
            ended,
            is_complete,
        });
        drop(stream);
        sleep(Duration::from_secs(10)).await;
        drop(waiting);
    });
    for number in 0..200 {
        let id = format!("scripted-{number}");
        let listen = env.deployment.routers[0].listen;
        let call = tokio::spawn({
            let id = id.clone();
            async move {
                let parts = ("POST", RESUMABLE, id.as_str());
                let headers = [("ebonyfall-deadline-ms", "6000")];
                EntryDeployment::call(listen, &id, parts, &headers).await
            }
        });
        if timeout(ARRIVAL_TIME, arrived.recv()).await.is_err() {
            continue;
        }
        env.first.set_conduct(others[0]);
        for (target, conduct) in env.others.iter().zip(&others[1..]) {
            target.set_conduct(*conduct);
        }
        let reply = call.await.expect("no panic");
        let first = timeout(Duration::from_secs(10), work.recv()).await;
        let first = first.expect("the script ends").expect("the target ran");
        target.abort();
        return Played {
            others: env.work(&id),
            targets: env.working(&id),
            id,
            reply,
            first,
        };
    }
    panic!("no request reached the scripted target");
}

fn overlap(one: &Work, other: &Work) -> Duration {
    let end = |work: &Work| work.ended.unwrap_or_else(Instant::now);
    let begun = one.begun.max(other.begun);
    end(one).min(end(other)).saturating_duration_since(begun)
}

/// Guards against an answer of a sound target that is ended because one check of it failed: its queue of
/// new connections is full while it works, and the second target does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_accepts_no_connections_is_kept_while_no_other_one_answers() {
    let acts = [
        event(1),
        event(2),
        Act::Pause(Duration::from_millis(1_900)),
        event(3),
        event(4),
        Act::End,
    ];
    let played = play(&[Conduct::Silent], &acts, true).await;
    let Played { id, reply, .. } = &played;
    assert!(
        is_whole(RESUMABLE, reply.as_ref()),
        "{id}: {reply:?}, others {:?}",
        played.others
    );
}

/// Guards against two targets that both work on a request for long because a check of the first one has
/// failed, although its connection is open.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_accepts_no_connections_does_not_work_beside_another_one() {
    let acts = [Act::Pause(Duration::from_secs(8)), Act::Close];
    let slow = Conduct::Serve(PauseAt::Head, Duration::from_millis(1_000));
    let played = play(&[slow], &acts, true).await;
    assert!(!played.others.is_empty(), "another target got the request");
    for other in &played.others {
        let overlap = overlap(&played.first, other);
        assert!(overlap < MAX_OVERLAP, "{}: {overlap:?}", played.id);
    }
}

/// Guards against a second target that keeps a request after the first one has broken a limit, and against
/// more targets than the route allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_target_is_ended_when_the_first_one_breaks_a_limit() {
    let comments = ":comment\n\n".repeat(8 << 10);
    let acts = [
        event(1),
        Act::Pause(Duration::from_millis(1_300)),
        Act::Send(comments),
        Act::Pause(Duration::from_secs(8)),
        Act::Close,
    ];
    let played = play(&[Conduct::Silent, Conduct::Silent], &acts, false).await;
    // The route allows two targets in all. The second one may get the request again.
    assert_eq!(played.targets, 1, "{}: {:?}", played.id, played.others);
    let work: Vec<_> = std::iter::once(&played.first)
        .chain(&played.others)
        .collect();
    for (number, one) in work.iter().enumerate() {
        for other in &work[number + 1..] {
            let overlap = overlap(one, other);
            assert!(overlap < MAX_OVERLAP, "{}: {overlap:?}", played.id);
        }
    }
}

/// Guards against a request that is lost when its target breaks off after another one, which is sound, was
/// not given the time to answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_goes_on_elsewhere_when_its_silent_target_breaks_off() {
    let acts = [
        event(1),
        event(2),
        Act::Pause(Duration::from_millis(1_700)),
        Act::Close,
    ];
    let slow = Conduct::Serve(PauseAt::Head, Duration::from_millis(500));
    let played = play(&[slow], &acts, false).await;
    let Played { id, reply, .. } = &played;
    assert!(
        is_whole(RESUMABLE, reply.as_ref()),
        "{id}: {reply:?}, others {:?}",
        played.others
    );
}

/// Guards against a request that stays with a process that stands still, whose machine accepts connections,
/// because a sound target takes a while to begin.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_leaves_a_process_that_stands_still() {
    let acts = [Act::Pause(Duration::from_secs(8)), Act::Close];
    let slow = Conduct::Serve(PauseAt::Head, Duration::from_millis(500));
    let played = play(&[slow], &acts, false).await;
    let Played { id, reply, .. } = &played;
    assert!(
        is_whole(RESUMABLE, reply.as_ref()),
        "{id}: {reply:?}, others {:?}",
        played.others
    );
}

/// Guards against comments of a target that are missing from a complete answer: they arrived while a second
/// target had the request.
#[tokio::test(flavor = "multi_thread")]
async fn comments_before_the_end_of_a_stream_are_passed_on() {
    let comment = ": all told\n\n";
    let events = (1..=4).map(event);
    let acts: Vec<_> = events
        .chain([
            Act::Pause(Duration::from_millis(1_300)),
            Act::Send(comment.to_owned()),
            Act::Pause(Duration::from_millis(50)),
            Act::End,
        ])
        .collect();
    let played = play(&[Conduct::Silent], &acts, false).await;
    let body = played.reply.and_then(|reply| reply.body.ok());
    assert_eq!(body, Some(complete_stream() + comment));
}

/// Guards against an answer of a sound target that is ended because the router itself cannot open a
/// connection for its checks: its file descriptors are used up.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_free_descriptors_ends_no_answer() {
    let env = Env::start(&[], 58.0).await;
    env.first.set_conduct(Conduct::Serve(
        PauseAt::Within,
        Duration::from_millis(1_900),
    ));
    let calls: Vec<_> = (0..4).map(|_| tokio::spawn(env.call(RESUMABLE))).collect();
    sleep(Duration::from_millis(500)).await;
    let pid = env.deployment.process_id(0).expect("the router runs");
    let limited = Command::new("prlimit")
        .args(["--pid", &pid.to_string(), "--nofile=3:"])
        .status();
    assert!(limited.is_ok_and(|status| status.success()));
    for call in calls {
        let (id, reply) = call.await.expect("no panic");
        assert!(is_whole(RESUMABLE, reply.as_ref()), "{id}: {reply:?}");
    }
}

/// Guards against an error answer of a target that is dropped while its body is late, before it is known that
/// another target takes the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_error_answer_is_kept_until_another_target_has_the_request() {
    let env = Env::start(&[], 58.0).await;
    let (listener, address) = listen();
    env.deployment.register_address("scripted", address).await;
    let (arrived_tx, mut arrived) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let id = read_request(&mut stream).await.expect("a request");
        let _alive = arrived_tx.send(());
        let head = format!(
            "HTTP/1.1 500 Failed\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
             Content-Length: 6\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("it reads");
        sleep(Duration::from_millis(1_400)).await;
        let _closed = stream.write_all(b"reason").await;
        sleep(Duration::from_secs(10)).await;
    });
    sleep(LEARN_TIME).await;
    for _ in 0..200 {
        let call = tokio::spawn(env.call(RESUMABLE));
        if timeout(ARRIVAL_TIME, arrived.recv()).await.is_err() {
            continue;
        }
        env.first.set_conduct(Conduct::Decline);
        let (id, reply) = call.await.expect("no panic");
        let reply = reply.expect("an answer");
        assert_eq!(reply.body.ok().as_deref(), Some("reason"), "{id}");
        return;
    }
    panic!("no request reached the scripted target");
}

/// Guards against checks that flood a target with connections: many of its requests are silent.
#[tokio::test(flavor = "multi_thread")]
async fn checks_of_one_target_share_connections() {
    const REQUESTS: usize = 30;
    let env = Env::start(&[], 58.0).await;
    env.first.set_conduct(Conduct::Decline);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
            });
        }
    });
    env.deployment.register_slots("scripted", address, 64).await;
    sleep(LEARN_TIME).await;
    let mut calls = Vec::new();
    for _ in 0..REQUESTS {
        calls.push(tokio::spawn(env.call(RESUMABLE)));
        sleep(Duration::from_millis(15)).await;
    }
    sleep(Duration::from_secs(5)).await;
    let count = connections.load(Ordering::Relaxed);
    for call in calls {
        call.abort();
    }
    // One for each request, and one check a second.
    assert!(count <= REQUESTS + 8, "{count} connections");
}

/// Guards against a stream that looks complete without its last events, because the target that took it over
/// closed its connection after the head of an answer without a length.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_end_with_the_head_of_a_second_target() {
    let env = Env::start(&[], 58.0).await;
    let endless = Duration::from_secs(8);
    env.first
        .set_conduct(Conduct::Serve(PauseAt::Within, endless));
    let (hostile, address) = HostileTarget::start().await;
    let head = "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
                Content-Type: text/event-stream\r\n\r\n";
    hostile.set_script([Step::Execute, Step::Send(head.to_owned()), Step::Close]);
    env.deployment.register_address("hostile", address).await;
    sleep(LEARN_TIME).await;
    let replies = env.call_at_once(RESUMABLE, 8).await;
    let taken = replies.iter().filter(|(id, _)| env.was_first(id));
    let taken: Vec<_> = taken.collect();
    assert!(!taken.is_empty(), "requests reached the first target");
    for (id, reply) in taken {
        let body = reply.as_ref().and_then(|reply| reply.body.as_ref().ok());
        let is_short = body.is_some_and(|body| *body != complete_stream());
        assert!(!is_short, "{id}: {reply:?}");
    }
}
