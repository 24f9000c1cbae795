//! Callers of entry routers: each has a time budget, comes back after a refusal, and may leave.

use std::{net::SocketAddr, time::Duration};

use ebonyfall_standin::entrance::EntryDeployment;
use http::{StatusCode, header::RETRY_AFTER};
use rand::{Rng, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout};

/// A key that is given and taken away during a soak.
pub const GUEST_KEY: &str = "key-of-a-guest";
/// Events of a stream.
pub const EVENTS: u32 = 6;
/// Pause between two calls with that key, in milliseconds.
const GUEST_PAUSE: u64 = 100;
/// Pause between two requests of one caller, in milliseconds.
const CALL_PAUSE: u64 = 25;
/// Time budgets of requests, in milliseconds.
const BUDGETS: [u64; 4] = [300, 800, 2_000, 4_000];
/// Longest time that a caller waits beyond its budget before it closes the connection.
const OVERTIME: Duration = Duration::from_secs(8);
/// Tries of one request.
const TRIES: usize = 3;
/// Requests in a hundred whose caller leaves, and the longest time after which it does.
const LEAVING: (f64, u64) = (0.08, 60);

/// Kinds of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream that another target may go on with.
    Resumable,
    /// A stream that runs at most once.
    Stream,
}

impl Kind {
    const ALL: [Self; 4] = [Self::Safe, Self::Unsafe, Self::Resumable, Self::Stream];

    const fn request(self) -> (&'static str, &'static str) {
        match self {
            Self::Safe => ("GET", "/status/7"),
            Self::Unsafe => ("POST", "/order/7"),
            Self::Resumable => ("POST", "/suggest/7"),
            Self::Stream => ("POST", "/draft/7"),
        }
    }

    /// Whether it may run once only.
    pub const fn is_once(self) -> bool {
        matches!(self, Self::Unsafe | Self::Stream)
    }

    /// The body of a whole answer.
    pub fn answer(self) -> String {
        let event = |number| format!("id: {number}\ndata: token {number}\n\n");
        match self {
            Self::Safe | Self::Unsafe => "done".to_owned(),
            Self::Resumable | Self::Stream => (1..=EVENTS).map(event).collect::<Vec<_>>().concat(),
        }
    }
}

/// One try of a request, as its caller saw it.
#[derive(Debug)]
pub struct Seen {
    /// The id of the try.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// The router that it went to, by number.
    pub router: usize,
    /// When it began.
    pub began: Instant,
    /// How long it took.
    pub took: Duration,
    /// How long the caller would wait.
    pub budget: Duration,
    /// Whether the caller left before the end.
    pub left: bool,
    /// The status, if there was an answer.
    pub status: Option<StatusCode>,
    /// Whether a target stands by the answer.
    pub sealed: bool,
    /// When the caller may come back.
    pub after: Option<Duration>,
    /// The body, if it was whole.
    pub body: Option<String>,
}

impl Seen {
    /// Whether it was served in whole.
    pub fn is_served(&self) -> bool {
        self.status == Some(StatusCode::OK) && self.body.is_some()
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn is_refused(&self) -> bool {
        matches!(
            self.status,
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
        )
    }

    /// Whether a caller asks for the same once more.
    fn may_repeat(&self) -> bool {
        match self.status {
            _ if self.left || self.is_served() => false,
            Some(_) if self.is_refused() => true,
            Some(status) if status.is_client_error() => false,
            _ => self.kind == Kind::Safe,
        }
    }
}

/// A request with all its tries, the last one last.
pub type Tries = Vec<Seen>;

/// Calls until a moment; each request goes to any of the routers.
pub async fn call_on(
    caller: usize,
    listen: Vec<SocketAddr>,
    mut random: StdRng,
    until: Instant,
) -> Vec<Tries> {
    let mut requests = Vec::new();
    while Instant::now() < until {
        let id = format!("{caller}-{}", requests.len());
        requests.push(request(&id, &listen, &mut random).await);
        sleep(Duration::from_millis(CALL_PAUSE)).await;
    }
    requests
}

async fn request(id: &str, listen: &[SocketAddr], random: &mut StdRng) -> Tries {
    let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
    let budget = Duration::from_millis(BUDGETS[random.random_range(0..BUDGETS.len())]);
    let (share, most) = LEAVING;
    let leaves = random.random_bool(share);
    let leaves = leaves.then(|| Duration::from_millis(random.random_range(1..=most)));
    let start = Instant::now();
    let mut tries: Tries = Vec::new();
    loop {
        let router = random.random_range(0..listen.len());
        let call = Call {
            id: format!("{id}-{}", tries.len()),
            content: id.to_owned(),
            kind,
            router,
            budget: budget.saturating_sub(start.elapsed()),
            leaves,
            key: None,
        };
        let seen = call.send(listen[router]).await;
        let left = budget.saturating_sub(start.elapsed());
        let pause = seen.after.unwrap_or_default().min(left / 3);
        let again = seen.may_repeat() && tries.len() + 1 < TRIES && !left.is_zero();
        tries.push(seen);
        if !again {
            return tries;
        }
        sleep(pause).await;
    }
}

/// Calls with the guest's key until a moment.
pub async fn guest_calls(listen: Vec<SocketAddr>, mut random: StdRng, until: Instant) -> Vec<Seen> {
    let mut seen = Vec::new();
    while Instant::now() < until {
        let router = random.random_range(0..listen.len());
        let call = Call {
            key: Some(GUEST_KEY),
            ..Call::safe(format!("guest-{}", seen.len()), router)
        };
        seen.push(call.send(listen[router]).await);
        sleep(Duration::from_millis(GUEST_PAUSE)).await;
    }
    seen
}

/// One try.
#[derive(Debug)]
pub struct Call {
    id: String,
    /// What the request is about, the same in all its tries.
    content: String,
    kind: Kind,
    router: usize,
    budget: Duration,
    leaves: Option<Duration>,
    key: Option<&'static str>,
}

impl Call {
    /// A request that may run more than once, to a router by number.
    pub fn safe(id: String, router: usize) -> Self {
        Self {
            content: id.clone(),
            id,
            kind: Kind::Safe,
            router,
            budget: Duration::from_millis(2_000),
            leaves: None,
            key: None,
        }
    }

    /// Sends it to the router's address.
    pub async fn send(self, address: SocketAddr) -> Seen {
        let (method, path) = self.kind.request();
        let budget = self.budget.as_millis().max(1).to_string();
        let key = self.key.map(|key| format!("Bearer {key}"));
        let mut headers = vec![("ebonyfall-deadline-ms", budget.as_str())];
        if let Some(key) = &key {
            headers.push(("authorization", key));
        }
        let began = Instant::now();
        let reply =
            EntryDeployment::call(address, &self.id, (method, path, &self.content), &headers);
        let wait = self.leaves.unwrap_or(self.budget + OVERTIME);
        let reply = timeout(wait, reply).await;
        let left = reply.is_err() && self.leaves.is_some();
        let took = began.elapsed();
        let reply = reply.ok().flatten();
        let header = |name| reply.as_ref()?.headers.get(name)?.to_str().ok();
        let after = header(RETRY_AFTER.as_str()).and_then(|value| value.parse().ok());
        Seen {
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
            left,
        }
    }
}
