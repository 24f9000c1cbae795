//! A target that registers itself and speaks to routers directly, with faults on the wire.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::{
    keyed::LOOPBACK,
    memory::{Memories, Reading},
};

/// Time between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(5);

/// Prompt tokens that a model server reads in a millisecond.
const TOKENS_PER_MS: u64 = 55;
/// Time until a fetch from another server starts.
const FETCH_SETUP: Duration = Duration::from_millis(5);
/// Prompt tokens that are fetched in a millisecond.
const FETCHED_PER_MS: u64 = 1_900;

/// Paths whose answers are streams.
const STREAMS: [&str; 2] = ["/suggest/", "/draft/"];

/// What the target does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// Runs them and answers.
    Answer,
    /// Runs them and answers after a while.
    Slow(Duration),
    /// Runs them and answers that it failed.
    Fail,
    /// Says that it is full.
    Decline,
    /// Says that it is another one.
    Other,
    /// Runs them and closes without an answer.
    Lose,
    /// Runs them and never answers.
    Silent,
    /// Runs them and sends the answer of another request.
    Foreign,
    /// Runs them and answers without its receipt.
    Unsealed,
    /// Runs them and breaks the answer off in the body.
    Cut,
    /// Runs them and answers by path: streams get this many events.
    Paths {
        /// Events of a stream.
        events: u32,
    },
    /// Streams this many events; breaks off after some of them, if so told.
    Events {
        /// Events of the whole stream.
        count: u32,
        /// Events after which it breaks off, with half an event more.
        cut: Option<u32>,
    },
}

/// A model server's memory of prompts.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Owns the memories of all servers.
    pub memories: Memories,
    /// The address that routers know the target by.
    pub address: SocketAddr,
}

impl Engine {
    /// Takes a request's prompt, and waits for as long as that takes.
    async fn prefill(&self, seen: &Seen) {
        let header = |name: &str| seen.headers.get(name);
        let Some(prompt) = header("ebonyfall-prefix-hash").cloned() else {
            return;
        };
        let source = header("kv-fetch").and_then(|address| address.parse().ok());
        let reading = self.memories.read(self.address, prompt, source).await;
        sleep(prefill_time(reading)).await;
    }
}

fn prefill_time(reading: Reading) -> Duration {
    let setup = if reading.fetched > 0 {
        FETCH_SETUP
    } else {
        Duration::ZERO
    };
    let millis = reading.read() / TOKENS_PER_MS + reading.fetched / FETCHED_PER_MS;
    setup + Duration::from_millis(millis)
}

/// A request as the target got it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seen {
    /// The request line.
    pub line: String,
    /// The headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
}

/// Steers the target.
#[derive(Debug)]
pub struct Registered {
    habit: watch::Sender<Habit>,
    engine: watch::Sender<Option<Engine>>,
    seen: watch::Receiver<Vec<Seen>>,
    open: watch::Receiver<usize>,
}

impl Registered {
    /// Serves on a free loopback port, which it returns.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (habit, habits) = watch::channel(Habit::Answer);
        let (engine, engines) = watch::channel(None);
        let (note, seen) = watch::channel(Vec::new());
        let (count, open) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (habits, engines) = (habits.clone(), engines.clone());
                let (note, count) = (note.clone(), count.clone());
                tokio::spawn(async move {
                    count.send_modify(|open| *open += 1);
                    serve(stream, habits, engines, note).await;
                    count.send_modify(|open| *open -= 1);
                });
            }
        });
        let registered = Self {
            habit,
            engine,
            seen,
            open,
        };
        (registered, address)
    }

    /// Changes what the target does from now on.
    pub fn set(&self, habit: Habit) {
        self.habit.send_replace(habit);
    }

    /// Makes the target a model server: it reads prompts before it answers.
    pub fn set_engine(&self, engine: Engine) {
        self.engine.send_replace(Some(engine));
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }

    /// The requests that it got and did not decline.
    pub fn ran(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    habits: watch::Receiver<Habit>,
    engines: watch::Receiver<Option<Engine>>,
    note: watch::Sender<Vec<Seen>>,
) {
    let mut buf = Vec::new();
    while let Some(seen) = receive(&mut stream, &mut buf).await {
        let habit = *habits.borrow();
        let id = seen.headers.get("ebonyfall-attempt-id").cloned();
        let id = id.unwrap_or_default();
        let from = seen.headers.get("last-event-id").cloned();
        let streams = STREAMS.iter().any(|path| seen.line.contains(path));
        if !matches!(habit, Habit::Decline | Habit::Other) {
            let engine = engines.borrow().clone();
            if let Some(engine) = engine {
                engine.prefill(&seen).await;
            }
            note.send_modify(|all| all.push(seen));
        }
        let habit = match habit {
            Habit::Paths { events } if streams => Habit::Events {
                count: events,
                cut: None,
            },
            Habit::Paths { .. } => Habit::Answer,
            habit => habit,
        };
        if !answer(&mut stream, habit, &id, from.as_deref()).await {
            return;
        }
    }
}

async fn receive(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Seen> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf[..end].to_vec()).ok()?;
    let mut lines = head.lines();
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let len = headers
        .get("content-length")
        .and_then(|len| len.parse().ok());
    let len: usize = len.unwrap_or_default();
    while buf.len() < end + len {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    let body = buf[end..end + len].to_vec();
    buf.drain(..end + len);
    Some(Seen {
        line,
        headers,
        body,
    })
}

/// Answers one request; false when the connection is closed.
async fn answer(stream: &mut TcpStream, habit: Habit, id: &str, from: Option<&str>) -> bool {
    let whole = |status: &str, id: &str, seal: &str, body: &str| {
        let len = body.len();
        format!(
            "HTTP/1.1 {status}\r\nEbonyfall-Attempt-Id: {id}\r\n{seal}Content-Length: {len}\r\n\r\n\
             {body}"
        )
    };
    let seal = "Ebonyfall-Server-Seal: s\r\n";
    let text = match habit {
        Habit::Answer | Habit::Paths { .. } => whole("200 OK", id, seal, "done"),
        Habit::Slow(pause) => {
            sleep(pause).await;
            whole("200 OK", id, seal, "done")
        }
        Habit::Fail => whole("500 Internal Server Error", id, seal, "failed"),
        Habit::Decline => whole(
            "503 Service Unavailable",
            id,
            "Ebonyfall-Not-Executed: 1\r\n",
            "",
        ),
        Habit::Other => whole("421 Misdirected Request", id, "", ""),
        Habit::Lose => return false,
        Habit::Silent => {
            // The caller sends nothing more, so that this ends when it closes the connection.
            let _closed = stream.read(&mut [0]).await;
            return false;
        }
        Habit::Foreign => whole("200 OK", "another", seal, "not yours"),
        Habit::Unsealed => whole("200 OK", id, "", "done"),
        Habit::Cut => {
            let mut text = whole("200 OK", id, seal, "done");
            text.truncate(text.len() - 2);
            let _gone = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Habit::Events { count, cut } => return events(stream, id, from, count, cut).await,
    };
    stream.write_all(text.as_bytes()).await.is_ok()
}

async fn events(
    stream: &mut TcpStream,
    id: &str,
    from: Option<&str>,
    count: u32,
    cut: Option<u32>,
) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let first = from.and_then(|id| id.parse::<u32>().ok()).unwrap_or(0) + 1;
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for number in first..=count {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        let broken = cut.is_some_and(|cut| number > cut);
        let part = if broken {
            &event[..event.len() / 2]
        } else {
            &event
        };
        let chunk = format!("{:x}\r\n{part}\r\n", part.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() || broken {
            return false;
        }
        sleep(EVENT_PAUSE).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
