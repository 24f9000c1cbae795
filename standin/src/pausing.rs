//! Target that is sound but pauses within its answers, and records for how long it worked on each
//! request.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{
    keyed::LOOPBACK,
    received::{ReceivedRequest, read_request},
};

/// Events of each streamed answer.
const EVENTS: u32 = 4;
/// Time between two events of a streamed answer without a pause.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted before the system drops the packets of further ones.
const BACKLOG: u32 = 16;
/// Time after which a connection that is not established shows that the queue is full.
const FULL_TIMEOUT: Duration = Duration::from_millis(100);
/// Body of an answer that is not a stream.
const BODY: &str = "done and told";

/// Where an answer pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PauseAt {
    /// Before its head.
    Head,
    /// After its head, before its first event or the first byte of its body.
    Body,
    /// After the second event, or within the body.
    Within,
}

/// What the target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Conduct {
    /// Executes it and answers with a pause.
    Serve(PauseAt, Duration),
    /// Refuses it with status 503 and states that it did not run.
    Decline,
    /// Executes it and answers with status 500.
    Fail,
    /// Executes it and closes the connection.
    Close,
    /// Executes it and never answers.
    Silent,
}

/// Work of a target on one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Work {
    /// Attempt id of the request.
    pub id: String,
    /// When the target had read the request.
    pub begun: Instant,
    /// When it had answered or its caller had closed the connection; `None` while it works.
    pub ended: Option<Instant>,
    /// Whether the answer was sent to its end.
    pub is_complete: bool,
}

impl Work {
    /// Whether the target has answered, or its caller has left.
    pub fn has_ended(&self) -> bool {
        self.ended.is_some()
    }
}

/// Handle of a running target, which ends with the runtime.
#[derive(Debug)]
pub struct PausingTarget {
    conduct: watch::Sender<Conduct>,
    work: watch::Sender<Vec<Work>>,
    is_dark: watch::Sender<bool>,
    address: SocketAddr,
}

impl PausingTarget {
    /// Starts a target on a free loopback port and returns its address.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub fn start(conduct: Conduct) -> (Self, SocketAddr) {
        Self::start_at(LOOPBACK, conduct)
    }

    /// Like [`Self::start`], on a given address; port 0 stands for a free port.
    ///
    /// # Panics
    ///
    /// Panics when the address cannot be bound.
    pub fn start_at(address: SocketAddr, conduct: Conduct) -> (Self, SocketAddr) {
        let listener = listen(address).expect("the address is free");
        let address = listener.local_addr().expect("the socket has an address");
        let conduct = watch::channel(conduct).0;
        let work = watch::channel(Vec::new()).0;
        let target = Self {
            conduct: conduct.clone(),
            work: work.clone(),
            is_dark: watch::channel(false).0,
            address,
        };
        let mut is_dark = target.is_dark.subscribe();
        tokio::spawn(async move {
            while is_dark.wait_for(|is_dark| !is_dark).await.is_ok() {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        tokio::spawn(serve(stream, conduct.subscribe(), work.clone()));
                    }
                    Ok(()) = is_dark.changed() => {}
                }
            }
        });
        (target, address)
    }

    /// Sets what the target does with requests that arrive from now on.
    pub fn set_conduct(&self, conduct: Conduct) {
        self.conduct.send_replace(conduct);
    }

    /// Makes the target unreachable for new connections: their packets are dropped. Open ones stay.
    ///
    /// # Panics
    ///
    /// Panics when the target goes on to accept connections.
    pub async fn darken(&self) -> Vec<TcpStream> {
        self.is_dark.send_replace(true);
        let mut waiting = Vec::new();
        while let Ok(connected) = timeout(FULL_TIMEOUT, TcpStream::connect(self.address)).await {
            waiting.push(connected.expect("the target listens"));
            assert!(waiting.len() < 64, "the target accepts connections");
        }
        waiting
    }

    /// Returns the work on all requests that were executed, in the order of their arrival.
    pub fn work(&self) -> Vec<Work> {
        self.work.borrow().clone()
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(
    mut stream: TcpStream,
    conduct: watch::Receiver<Conduct>,
    work: watch::Sender<Vec<Work>>,
) {
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf).await {
        let conduct = *conduct.borrow();
        let id = attempt_id(&req).to_owned();
        if id.is_empty() {
            let refusal =
                "HTTP/1.1 400 Bad\r\nEbonyfall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            let _gone = stream.write_all(refusal.as_bytes()).await;
            continue;
        }
        if conduct == Conduct::Decline {
            let refusal = format!(
                "HTTP/1.1 503 Busy\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            let _gone = stream.write_all(refusal.as_bytes()).await;
            continue;
        }
        let mut index = 0;
        work.send_modify(|all| {
            index = all.len();
            all.push(Work {
                id: id.clone(),
                begun: Instant::now(),
                ended: None,
                is_complete: false,
            });
        });
        let is_complete = answer(&mut stream, conduct, &req, &id).await.is_some();
        work.send_modify(|all| {
            all[index].ended = Some(Instant::now());
            all[index].is_complete = is_complete;
        });
        if !is_complete {
            return;
        }
    }
}

/// Attempt id as entry routers state it, or else as agents do.
fn attempt_id(req: &ReceivedRequest) -> &str {
    match header(req, "ebonyfall-attempt-id") {
        "" => header(req, "x-attempt-id"),
        id => id,
    }
}

fn header<'a>(req: &'a ReceivedRequest, name: &str) -> &'a str {
    req.headers.get(name).map_or("", String::as_str)
}

/// Answers one request; `None` when the connection is to be closed, or the caller has closed it.
async fn answer(
    stream: &mut TcpStream,
    conduct: Conduct,
    req: &ReceivedRequest,
    id: &str,
) -> Option<()> {
    let (pause_at, time) = match conduct {
        Conduct::Serve(pause_at, time) => (pause_at, time),
        Conduct::Fail => {
            let failed = format!(
                "HTTP/1.1 500 Failed\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return stream.write_all(failed.as_bytes()).await.ok();
        }
        Conduct::Silent => {
            closed(stream).await;
            return None;
        }
        Conduct::Decline | Conduct::Close => return None,
    };
    let pauses = |at| if at == pause_at { time } else { Duration::ZERO };
    let is_stream = ["/suggest/", "/draft/"]
        .iter()
        .any(|path| req.line.contains(path));
    pause(stream, pauses(PauseAt::Head)).await?;
    let kind = if is_stream {
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {}", BODY.len())
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n{kind}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    pause(stream, pauses(PauseAt::Body)).await?;
    if !is_stream {
        let (first, rest) = BODY.split_at(BODY.len() / 2);
        stream.write_all(first.as_bytes()).await.ok()?;
        pause(stream, pauses(PauseAt::Within)).await?;
        return stream.write_all(rest.as_bytes()).await.ok();
    }
    let after: u32 = header(req, "last-event-id").parse().unwrap_or(0);
    for number in after + 1..=EVENTS {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await.ok()?;
        let pause_time = if number == EVENTS / 2 {
            pauses(PauseAt::Within)
        } else {
            Duration::ZERO
        };
        pause(stream, pause_time.max(EVENT_INTERVAL)).await?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()
}

/// Events that a complete stream has, as callers get them.
pub fn complete_stream() -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (1..=EVENTS).map(event).collect::<Vec<_>>().concat()
}

/// Body of a complete answer that is not a stream.
pub fn complete_body() -> &'static str {
    BODY
}

/// Waits for `time`; `None` when the caller closes the connection meanwhile.
pub(crate) async fn pause(stream: &TcpStream, time: Duration) -> Option<()> {
    tokio::select! {
        () = sleep(time) => Some(()),
        () = closed(stream) => None,
    }
}

/// Waits until the caller closes the connection; it sends nothing while it waits for an answer.
async fn closed(stream: &TcpStream) {
    let _closed = stream.peek(&mut [0]).await;
}
