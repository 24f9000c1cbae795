//! Callers of entry routers: each has a time budget, retries after a refusal and may disconnect.

use std::{net::SocketAddr, time::Duration};

use ebonyfall_standin::entrance::CallerConnection;
use futures_util::future::join_all;
use http::{StatusCode, header::RETRY_AFTER};
use rand::{Rng, rngs::StdRng};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Team key that is granted and revoked during a soak.
pub const GUEST_KEY: &str = "key-of-a-guest";
/// Events of a complete streamed answer.
pub const STREAM_EVENTS: u32 = 6;
/// Pause between two calls with the guest key.
const GUEST_PAUSE_MS: u64 = 100;
/// Pause between two requests of one caller.
const CALL_PAUSE_MS: u64 = 25;
/// Time budgets from which each request takes a random one.
const BUDGETS_MS: [u64; 4] = [300, 800, 2_000, 4_000];
/// Time after the end of its budget at which a caller closes the connection.
const DISCONNECT_GRACE: Duration = Duration::from_secs(8);
/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// Requests of a surge to one router.
const SURGE_CALLS: usize = 12;
/// Longest time that a surge waits for a router that starts, and the pause between two tries.
const SURGE_WAIT: Duration = Duration::from_secs(2);
const SURGE_POLL: Duration = Duration::from_millis(10);
/// Share of requests whose caller disconnects early, and the latest time of that in milliseconds.
const DISCONNECT_RATE_AND_MAX_MS: (f64, u64) = (0.08, 60);

/// Pause before a caller connects anew to a router that has closed its connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Like [`DISCONNECT_RATE_AND_MAX_MS`], for callers that keep their connections.
const KEPT_DISCONNECT_RATE_AND_MAX_MS: (f64, u64) = (0.08, 1_200);

/// How often a call may run and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream that another target may continue.
    ResumableStream,
    /// A stream that runs at most once.
    AtMostOnceStream,
}

impl CallKind {
    const ALL: [Self; 4] = [
        Self::Idempotent,
        Self::AtMostOnce,
        Self::ResumableStream,
        Self::AtMostOnceStream,
    ];

    const fn request(self) -> (&'static str, &'static str) {
        match self {
            Self::Idempotent => ("GET", "/status/7"),
            Self::AtMostOnce => ("POST", "/order/7"),
            Self::ResumableStream => ("POST", "/suggest/7"),
            Self::AtMostOnceStream => ("POST", "/draft/7"),
        }
    }

    /// Whether the call must run at most once.
    pub const fn is_at_most_once(self) -> bool {
        matches!(self, Self::AtMostOnce | Self::AtMostOnceStream)
    }

    /// The body of a complete answer.
    pub fn answer(self) -> String {
        let event = |number| format!("id: {number}\ndata: token {number}\n\n");
        match self {
            Self::Idempotent | Self::AtMostOnce => "done".to_owned(),
            Self::ResumableStream | Self::AtMostOnceStream => {
                (1..=STREAM_EVENTS).map(event).collect::<Vec<_>>().concat()
            }
        }
    }
}

/// One attempt of a request, as its caller observed it.
#[derive(Debug)]
pub struct Attempt {
    /// The attempt id that was sent to the router.
    pub id: String,
    /// How often the request may run.
    pub kind: CallKind,
    /// Index of the router that received the attempt.
    pub router: usize,
    /// When the caller sent the attempt.
    pub began: Instant,
    /// Time until the answer ended or the caller disconnected.
    pub took: Duration,
    /// Remaining time budget when the attempt was sent.
    pub budget: Duration,
    /// Whether the caller disconnected before the answer ended.
    pub disconnected: bool,
    /// The status; `None` without an answer.
    pub status: Option<StatusCode>,
    /// Whether the answer has a target's seal.
    pub sealed: bool,
    /// Delay before the next attempt, from `retry-after`.
    pub after: Option<Duration>,
    /// The body; `None` if it was incomplete.
    pub body: Option<String>,
}

impl Attempt {
    /// Whether the answer has status 200 and a complete body.
    pub fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK) && self.body.is_some()
    }

    /// Whether the status guarantees that the request has not run and never will.
    pub fn is_refused(&self) -> bool {
        matches!(
            self.status,
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        )
    }

    /// Whether the caller may send the request again.
    fn may_retry(&self) -> bool {
        match self.status {
            _ if self.disconnected || self.is_served() => false,
            Some(_) if self.is_refused() => true,
            Some(status) if status.is_client_error() => false,
            _ => self.kind == CallKind::Idempotent,
        }
    }
}

/// All attempts of one request, oldest first.
pub type Attempts = Vec<Attempt>;

/// Sends requests to random routers until `until`.
pub async fn call_until(
    caller: usize,
    listen: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) -> Vec<Attempts> {
    let mut requests = Vec::new();
    while Instant::now() < until {
        let id = format!("{caller}-{}", requests.len());
        requests.push(request(&id, &listen, &mut random).await);
        sleep(Duration::from_millis(CALL_PAUSE_MS)).await;
    }
    requests
}

async fn request(id: &str, listen: &[SocketAddr], random: &mut StdRng) -> Attempts {
    let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
    let budget = Duration::from_millis(BUDGETS_MS[random.random_range(0..BUDGETS_MS.len())]);
    let disconnect_after = random_disconnect(random, DISCONNECT_RATE_AND_MAX_MS);
    let start = Instant::now();
    let mut attempts: Attempts = Vec::new();
    loop {
        let router = random.random_range(0..listen.len());
        let call = Call {
            id: format!("{id}-{}", attempts.len()),
            content: id.to_owned(),
            kind,
            router,
            budget: budget.saturating_sub(start.elapsed()),
            disconnect_after,
            key: None,
        };
        let attempt = call.send(listen[router]).await;
        let remaining = budget.saturating_sub(start.elapsed());
        let pause = attempt.after.unwrap_or_default().min(remaining / 3);
        let retry =
            attempt.may_retry() && attempts.len() + 1 < MAX_ATTEMPTS && !remaining.is_zero();
        attempts.push(attempt);
        if !retry {
            return attempts;
        }
        sleep(pause).await;
    }
}

fn random_disconnect(random: &mut StdRng, (share, most): (f64, u64)) -> Option<Duration> {
    let disconnects = random.random_bool(share);
    disconnects.then(|| Duration::from_millis(random.random_range(1..=most)))
}

/// Sends requests to one router until `until`, one after the other on a connection that is kept until
/// the router closes it.
pub async fn kept_calls(
    router: usize,
    address: SocketAddr,
    mut random: StdRng,
    until: Instant,
) -> Vec<Attempts> {
    let mut requests = Vec::new();
    let mut connection = None;
    while Instant::now() < until {
        let id = format!("kept-{router}-{}", requests.len());
        let call = Call {
            content: id.clone(),
            id,
            kind: CallKind::ALL[random.random_range(0..CallKind::ALL.len())],
            router,
            budget: Duration::from_millis(BUDGETS_MS[random.random_range(0..BUDGETS_MS.len())]),
            disconnect_after: random_disconnect(&mut random, KEPT_DISCONNECT_RATE_AND_MAX_MS),
            key: None,
        };
        let attempt = call.send_on(&mut connection, address).await;
        requests.push(vec![attempt]);
        let is_open = connection
            .as_ref()
            .is_some_and(|connection: &CallerConnection| !connection.is_closed());
        if is_open {
            sleep(Duration::from_millis(CALL_PAUSE_MS)).await;
        } else {
            connection = None;
            sleep(RECONNECT_PAUSE).await;
        }
    }
    requests
}

/// Sends requests with the guest key to random routers until `until`.
pub async fn guest_calls(
    listen: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    while Instant::now() < until {
        let router = random.random_range(0..listen.len());
        let call = Call {
            key: Some(GUEST_KEY),
            ..Call::idempotent(format!("guest-{}", attempts.len()), router)
        };
        attempts.push(call.send(listen[router]).await);
        sleep(Duration::from_millis(GUEST_PAUSE_MS)).await;
    }
    attempts
}

/// Sends requests that may run more than once to a router, all at once when it accepts connections.
/// `id` is the first part of their attempt ids.
pub async fn surge(id: String, router: usize, address: SocketAddr) -> Vec<Attempt> {
    let limit = Instant::now() + SURGE_WAIT;
    while TcpStream::connect(address).await.is_err() && Instant::now() < limit {
        sleep(SURGE_POLL).await;
    }
    let calls = (0..SURGE_CALLS)
        .map(|number| Call::idempotent(format!("{id}-{router}-{number}"), router).send(address));
    join_all(calls).await
}

/// An attempt that has not been sent.
#[derive(Debug)]
pub struct Call {
    id: String,
    /// Request body, the same in all attempts.
    content: String,
    kind: CallKind,
    router: usize,
    budget: Duration,
    disconnect_after: Option<Duration>,
    key: Option<&'static str>,
}

impl Call {
    /// A request that may run more than once, for the router with this index.
    pub fn idempotent(id: String, router: usize) -> Self {
        Self {
            content: id.clone(),
            id,
            kind: CallKind::Idempotent,
            router,
            budget: Duration::from_millis(2_000),
            disconnect_after: None,
            key: None,
        }
    }

    /// Sends the attempt to the router's address on a new connection.
    pub async fn send(self, address: SocketAddr) -> Attempt {
        self.send_on(&mut None, address).await
    }

    /// Sends the attempt on a connection, which is opened if there is none. It is closed if the caller
    /// disconnects.
    async fn send_on(
        self,
        connection: &mut Option<CallerConnection>,
        address: SocketAddr,
    ) -> Attempt {
        let (method, path) = self.kind.request();
        let budget = self.budget.as_millis().max(1).to_string();
        let key = self.key.map(|key| format!("Bearer {key}"));
        let mut headers = vec![("ebonyfall-deadline-ms", budget.as_str())];
        if let Some(key) = &key {
            headers.push(("authorization", key));
        }
        let began = Instant::now();
        let reply = async {
            if connection.is_none() {
                *connection = CallerConnection::open(address).await;
            }
            let parts = (method, path, self.content.as_str());
            connection.as_mut()?.call(&self.id, parts, &headers).await
        };
        let wait = self
            .disconnect_after
            .unwrap_or(self.budget + DISCONNECT_GRACE);
        let reply = timeout(wait, reply).await;
        if reply.is_err() {
            *connection = None;
        }
        let disconnected = reply.is_err() && self.disconnect_after.is_some();
        let took = began.elapsed();
        let reply = reply.ok().flatten();
        let header = |name| reply.as_ref()?.headers.get(name)?.to_str().ok();
        let after = header(RETRY_AFTER.as_str()).and_then(|value| value.parse().ok());
        Attempt {
            sealed: header("ebonyfall-server-seal").is_some(),
            after: after.map(Duration::from_secs_f64),
            status: reply.as_ref().map(|reply| reply.status),
            body: reply.and_then(|reply| reply.body.ok()),
            id: self.id,
            kind: self.kind,
            router: self.router,
            began,
            took,
            budget: self.budget,
            disconnected,
        }
    }
}
