//! Simulated target that entry routers connect to without an agent, with faults in its HTTP
//! answers.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    keyed::LOOPBACK,
    memory::{PromptCaches, PromptTokens},
    pausing::{PauseAt, Work, pause},
    received::{ReceivedRequest, read_request},
};

/// Time between two events of a streamed answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(5);

/// Prompt tokens that a model server computes in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 55;
/// Fixed cost of fetching cached prompt parts from another server.
const FETCH_SETUP_TIME: Duration = Duration::from_millis(5);
/// Prompt tokens that are transferred from another server in a millisecond.
const FETCH_TOKENS_PER_MS: u64 = 1_900;

/// Time for which a target that has crashed is down.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Path segments of requests that [`AnswerMode::ByPath`] answers with an event stream.
const STREAM_PATHS: [&str; 2] = ["/suggest/", "/draft/"];

/// How the target processes and answers requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerMode {
    /// Executes requests and answers with status 200.
    Answer,
    /// Executes requests and answers with status 200 after this delay.
    Delay(Duration),
    /// Executes requests and answers with status 500.
    Fail,
    /// Answers with status 503 and `ebonyfall-not-executed`, as a server without free capacity.
    Decline,
    /// Like [`Self::Decline`], with `retry-after`: it wants nothing from this router for so long.
    Pause(Duration),
    /// Executes requests and answers with status 200 and `server-leaving`.
    Leave,
    /// Answers with status 421 and `ebonyfall-not-executed`, as a server other than the one that the
    /// router expects.
    WrongTarget,
    /// Executes requests and closes the connection without an answer.
    CloseUnanswered,
    /// Executes requests and leaves the connection open without an answer.
    NeverAnswer,
    /// Executes requests and answers with the attempt id of another request.
    WrongAttemptId,
    /// Executes requests and answers without the header `ebonyfall-server-seal`.
    NoServerSeal,
    /// Executes requests and closes the connection within the body of the answer.
    Truncate,
    /// Executes requests and answers by path: with an event stream on the paths for streams, and
    /// with status 200 otherwise.
    ByPath {
        /// Events in each streamed answer.
        events: u32,
    },
    /// Executes requests and answers with an event stream.
    Stream {
        /// Number of the last event of the complete stream; the first is 1, or the one after
        /// `last-event-id`.
        count: u32,
        /// Number of the last complete event: half of the next one is sent before the connection
        /// closes. `None` sends the complete stream.
        cut_after: Option<u32>,
    },
}

/// Pause within the answers of a target that is sound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPause {
    /// Where the answer pauses.
    pub at: PauseAt,
    /// How long it pauses.
    pub time: Duration,
}

/// Prompt cache of a target that acts as a model server.
#[derive(Debug, Clone)]
pub struct ModelServer {
    /// Handle to the caches of all servers.
    pub prompt_caches: PromptCaches,
    /// Address under which routers reach the target; it identifies the target's cache.
    pub address: SocketAddr,
}

impl ModelServer {
    /// Processes the request's prompt and waits for the simulated prefill time.
    async fn prefill(&self, req: &ReceivedRequest) {
        let header = |name: &str| req.headers.get(name);
        let Some(prompt) = header("ebonyfall-prefix-hash").cloned() else {
            return;
        };
        let source = header("kv-fetch").and_then(|address| address.parse().ok());
        let tokens = self
            .prompt_caches
            .prefill(self.address, prompt, source)
            .await;
        sleep(prefill_time(tokens)).await;
    }
}

fn prefill_time(tokens: PromptTokens) -> Duration {
    let setup = if tokens.fetched > 0 {
        FETCH_SETUP_TIME
    } else {
        Duration::ZERO
    };
    let millis = tokens.computed() / PREFILL_TOKENS_PER_MS + tokens.fetched / FETCH_TOKENS_PER_MS;
    setup + Duration::from_millis(millis)
}

/// Arrival of a request at a target, which may have refused it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// When the target had read the request.
    pub at: Instant,
    /// The request's attempt id.
    pub attempt_id: String,
    /// The request's path.
    pub path: String,
    /// Whether the target answered as another one than the router expects.
    pub is_misdirected: bool,
}

/// Handle that controls a simulated target and reports what it received.
#[derive(Debug)]
pub struct RegisteredTarget {
    mode: watch::Sender<AnswerMode>,
    model_server: watch::Sender<Option<ModelServer>>,
    deadly_part: watch::Sender<Option<String>>,
    answer_pause: watch::Sender<Option<AnswerPause>>,
    work: watch::Sender<Vec<Work>>,
    received: watch::Receiver<Vec<ReceivedRequest>>,
    arrivals: watch::Receiver<Vec<Arrival>>,
    open: watch::Receiver<usize>,
    /// Start time that the target states, in milliseconds since the Unix epoch.
    start_time: watch::Sender<u64>,
    cold_until: watch::Sender<Instant>,
    crash: mpsc::Sender<()>,
}

/// What the connections of a target share.
#[derive(Debug, Clone)]
struct Behaviour {
    mode: watch::Receiver<AnswerMode>,
    model_server: watch::Receiver<Option<ModelServer>>,
    deadly_part: watch::Receiver<Option<String>>,
    answer_pause: watch::Receiver<Option<AnswerPause>>,
    work: watch::Sender<Vec<Work>>,
    received: watch::Sender<Vec<ReceivedRequest>>,
    arrivals: watch::Sender<Vec<Arrival>>,
    crash: mpsc::Sender<()>,
}

impl RegisteredTarget {
    /// Starts a target on a free loopback port and returns its address.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (mode, mode_rx) = watch::channel(AnswerMode::Answer);
        let (model_server, model_server_rx) = watch::channel(None);
        let (deadly_part, deadly_part_rx) = watch::channel(None);
        let (answer_pause, answer_pause_rx) = watch::channel(None);
        let work = watch::channel(Vec::new()).0;
        let (received_tx, received) = watch::channel(Vec::new());
        let (arrivals_tx, arrivals) = watch::channel(Vec::new());
        let (open_tx, open) = watch::channel(0);
        let (crash, crashes) = mpsc::channel(1);
        let crash_handle = crash.clone();
        let behaviour = Behaviour {
            mode: mode_rx,
            model_server: model_server_rx,
            deadly_part: deadly_part_rx,
            answer_pause: answer_pause_rx,
            work: work.clone(),
            received: received_tx,
            arrivals: arrivals_tx,
            crash,
        };
        tokio::spawn(run(listener, behaviour, crashes, open_tx));
        let registered = Self {
            mode,
            model_server,
            deadly_part,
            answer_pause,
            work,
            received,
            arrivals,
            open,
            start_time: watch::channel(1).0,
            cold_until: watch::channel(Instant::now()).0,
            crash: crash_handle,
        };
        (registered, address)
    }

    /// Sets how the target answers requests that arrive from now on.
    pub fn set_mode(&self, mode: AnswerMode) {
        self.mode.send_replace(mode);
    }

    /// Makes answers of [`AnswerMode::ByPath`] pause, for requests that arrive from now on.
    pub fn set_pause(&self, pause: Option<AnswerPause>) {
        self.answer_pause.send_replace(pause);
    }

    /// Returns the work on all requests that the target executed, oldest first.
    pub fn work(&self) -> Vec<Work> {
        self.work.borrow().clone()
    }

    /// Makes the target a model server, which spends the prefill time of a prompt before it
    /// answers.
    pub fn set_model_server(&self, model_server: ModelServer) {
        self.model_server.send_replace(Some(model_server));
    }

    /// Makes the target crash when it begins to answer a request whose prompt has the part with this
    /// identifier. It is back after 300 ms.
    pub fn set_deadly_part(&self, id: &str) {
        self.deadly_part.send_replace(Some(id.to_owned()));
    }

    /// Makes the target crash. It is back after 300 ms.
    pub async fn crash(&self) {
        let _ended = self.crash.send(()).await;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        *self.open.borrow()
    }

    /// Returns the number of requests that reached the target, executed or not.
    pub fn arrived_requests(&self) -> usize {
        self.arrivals.borrow().len()
    }

    /// Returns the arrivals of all requests, executed or not, oldest first.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.borrow().clone()
    }

    pub(crate) fn start_time(&self) -> u64 {
        *self.start_time.borrow()
    }

    pub(crate) fn set_start_time(&self, unix_ms: u64) {
        self.start_time.send_replace(unix_ms);
    }

    /// Remaining time for which the target is cold.
    pub(crate) fn cold_time(&self) -> Duration {
        self.cold_until
            .borrow()
            .saturating_duration_since(Instant::now())
    }

    pub(crate) fn set_cold_until(&self, end: Instant) {
        self.cold_until.send_replace(end);
    }

    /// Returns all requests that the target executed, in order of execution.
    pub fn executed_requests(&self) -> Vec<ReceivedRequest> {
        self.received.borrow().clone()
    }
}

/// Accepts connections until the target's handle is dropped. A crash closes the listener and all
/// connections for [`DOWN_TIME`].
async fn run(
    mut listener: TcpListener,
    behaviour: Behaviour,
    mut crashes: mpsc::Receiver<()>,
    open: watch::Sender<usize>,
) {
    let address = listener.local_addr().expect("the socket has an address");
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                let (behaviour, open) = (behaviour.clone(), open.clone());
                connections.spawn(async move {
                    open.send_modify(|open| *open += 1);
                    serve(stream, behaviour).await;
                    open.send_modify(|open| *open -= 1);
                });
            }
            Some(()) = crashes.recv() => {
                drop(listener);
                connections.shutdown().await;
                open.send_replace(0);
                sleep(DOWN_TIME).await;
                listener = TcpListener::bind(address).await.expect("the port is free again");
                while crashes.try_recv().is_ok() {}
            }
        }
    }
}

/// Whether the prompt of the request has the part with this identifier.
fn has_part(req: &ReceivedRequest, id: &str) -> bool {
    let prompt = req.headers.get("ebonyfall-prefix-hash");
    let mut parts = prompt.into_iter().flat_map(|prompt| prompt.split(','));
    parts.any(|part| part.split(':').next() == Some(id))
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour) {
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf).await {
        let mode = *behaviour.mode.borrow();
        let id = req.headers.get("ebonyfall-attempt-id").cloned();
        let id = id.unwrap_or_default();
        let last_event_id = req.headers.get("last-event-id").cloned();
        let is_stream = STREAM_PATHS.iter().any(|path| req.line.contains(path));
        let arrival = Arrival {
            at: Instant::now(),
            attempt_id: id.clone(),
            path: req.line.split(' ').nth(1).unwrap_or_default().to_owned(),
            is_misdirected: mode == AnswerMode::WrongTarget,
        };
        behaviour.arrivals.send_modify(|all| all.push(arrival));
        let is_refusal = matches!(
            mode,
            AnswerMode::Decline | AnswerMode::Pause(_) | AnswerMode::WrongTarget
        );
        let work = (!is_refusal).then(|| OpenWork::start(&behaviour.work, &id));
        if !is_refusal {
            let model_server = behaviour.model_server.borrow().clone();
            if let Some(model_server) = model_server {
                model_server.prefill(&req).await;
            }
            let deadly_part = behaviour.deadly_part.borrow().clone();
            let is_deadly = deadly_part.is_some_and(|id| has_part(&req, &id));
            behaviour.received.send_modify(|all| all.push(req));
            if is_deadly {
                let _already_down = behaviour.crash.send(()).await;
                // The crash aborts this task.
                std::future::pending::<()>().await;
            }
        }
        let answer_pause = match mode {
            AnswerMode::ByPath { .. } => *behaviour.answer_pause.borrow(),
            _ => None,
        };
        let mode = match mode {
            AnswerMode::ByPath { events } if is_stream => AnswerMode::Stream {
                count: events,
                cut_after: None,
            },
            AnswerMode::ByPath { .. } => AnswerMode::Answer,
            mode => mode,
        };
        let pauses = Pauses(answer_pause);
        if !answer(&mut stream, mode, &id, last_event_id.as_deref(), pauses).await {
            return;
        }
        if let Some(work) = work {
            work.complete();
        }
    }
}

/// Work on a request that has not ended. It ends on drop, also when a crash drops the connection.
struct OpenWork {
    all: watch::Sender<Vec<Work>>,
    index: usize,
}

impl OpenWork {
    fn start(all: &watch::Sender<Vec<Work>>, id: &str) -> Self {
        let mut index = 0;
        all.send_modify(|all| {
            index = all.len();
            all.push(Work {
                id: id.to_owned(),
                begun: Instant::now(),
                ended: None,
                is_complete: false,
            });
        });
        let all = all.clone();
        Self { all, index }
    }

    fn complete(self) {
        self.all
            .send_modify(|all| all[self.index].is_complete = true);
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.all
            .send_modify(|all| all[self.index].ended = Some(Instant::now()));
    }
}

/// Pauses of one answer.
#[derive(Clone, Copy)]
struct Pauses(Option<AnswerPause>);

impl Pauses {
    /// Waits where the answer pauses; false when the caller closes the connection meanwhile.
    async fn wait(self, stream: &TcpStream, at: PauseAt) -> bool {
        match self.0 {
            Some(answer_pause) if answer_pause.at == at => {
                pause(stream, answer_pause.time).await.is_some()
            }
            _ => true,
        }
    }
}

/// Answers one request; returns false when the connection is to be closed.
async fn answer(
    stream: &mut TcpStream,
    mode: AnswerMode,
    id: &str,
    last_event_id: Option<&str>,
    pauses: Pauses,
) -> bool {
    let response = |status: &str, id: &str, seal: &str, body: &str| {
        let len = body.len();
        format!(
            "HTTP/1.1 {status}\r\nEbonyfall-Attempt-Id: {id}\r\n{seal}Content-Length: {len}\r\n\r\n\
             {body}"
        )
    };
    let seal = "Ebonyfall-Server-Seal: s\r\n";
    if !pauses.wait(stream, PauseAt::Head).await {
        return false;
    }
    let res = match mode {
        AnswerMode::Answer | AnswerMode::ByPath { .. } => {
            let res = response("200 OK", id, seal, "done");
            let (head, body) = res.split_at(res.len() - "done".len());
            let (first, rest) = body.split_at(body.len() / 2);
            let pauses_after = [(head, PauseAt::Body), (first, PauseAt::Within)];
            for (part, at) in pauses_after {
                if stream.write_all(part.as_bytes()).await.is_err()
                    || !pauses.wait(stream, at).await
                {
                    return false;
                }
            }
            rest.to_owned()
        }
        AnswerMode::Delay(pause) => {
            sleep(pause).await;
            response("200 OK", id, seal, "done")
        }
        AnswerMode::Fail => response("500 Internal Server Error", id, seal, "failed"),
        AnswerMode::Decline => response(
            "503 Service Unavailable",
            id,
            "Ebonyfall-Not-Executed: 1\r\n",
            "",
        ),
        AnswerMode::Pause(pause) => {
            let pause = pause.as_secs_f64();
            let headers = format!("Ebonyfall-Not-Executed: 1\r\nRetry-After: {pause}\r\n");
            response("503 Service Unavailable", id, &headers, "")
        }
        AnswerMode::Leave => {
            let headers = format!("{seal}Server-Leaving: 1\r\n");
            response("200 OK", id, &headers, "done")
        }
        AnswerMode::WrongTarget => response(
            "421 Misdirected Request",
            id,
            "Ebonyfall-Not-Executed: 1\r\n",
            "",
        ),
        AnswerMode::CloseUnanswered => return false,
        AnswerMode::NeverAnswer => {
            // The caller sends nothing more, so the read returns when the caller disconnects.
            let _closed = stream.read(&mut [0]).await;
            return false;
        }
        AnswerMode::WrongAttemptId => response("200 OK", "another", seal, "not yours"),
        AnswerMode::NoServerSeal => response("200 OK", id, "", "done"),
        AnswerMode::Truncate => {
            let mut res = response("200 OK", id, seal, "done");
            res.truncate(res.len() - 2);
            let _gone = stream.write_all(res.as_bytes()).await;
            return false;
        }
        AnswerMode::Stream { count, cut_after } => {
            return stream_events(stream, id, last_event_id, (count, cut_after), pauses).await;
        }
    };
    stream.write_all(res.as_bytes()).await.is_ok()
}

async fn stream_events(
    stream: &mut TcpStream,
    id: &str,
    last_event_id: Option<&str>,
    (count, cut_after): (u32, Option<u32>),
    pauses: Pauses,
) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nEbonyfall-Attempt-Id: {id}\r\nEbonyfall-Server-Seal: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let first = last_event_id
        .and_then(|id| id.parse::<u32>().ok())
        .unwrap_or(0)
        + 1;
    if stream.write_all(head.as_bytes()).await.is_err() || !pauses.wait(stream, PauseAt::Body).await
    {
        return false;
    }
    for number in first..=count {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        let is_cut = cut_after.is_some_and(|cut_after| number > cut_after);
        let part = if is_cut {
            &event[..event.len() / 2]
        } else {
            &event
        };
        let chunk = format!("{:x}\r\n{part}\r\n", part.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() || is_cut {
            return false;
        }
        if number == count / 2 && !pauses.wait(stream, PauseAt::Within).await {
            return false;
        }
        sleep(EVENT_INTERVAL).await;
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
