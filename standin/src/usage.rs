//! Simulated usage call of the platform, which keeps the reports and checks the rules for them.

use std::{collections::BTreeMap, time::Duration};

use ebonyfall::{
    callers::CallerGuard,
    web::{self, Shared},
};
use gotham::{
    handler::{HandlerFuture, HandlerResult},
    helpers::http::Body,
    prelude::FromState,
    state::State,
};
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use serde::Deserialize;
use serde_json::json;
use slog::{Discard, Logger, o};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::Instant,
};

use crate::keyed::LOOPBACK;

/// Largest body of a report, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

/// Report that was received.
#[derive(Debug, Clone)]
pub struct ReceivedReport {
    /// When it arrived.
    pub at: Instant,
    /// Name of the router that sent it.
    pub holder: String,
    /// Fencing token of the call.
    pub token: u64,
    /// Number of the window.
    pub window: u64,
    /// Number of requests of each team.
    pub counts: BTreeMap<String, u64>,
}

enum Command {
    Report(ReceivedReport, oneshot::Sender<()>),
    Reports(oneshot::Sender<Vec<ReceivedReport>>),
    Refuse(Option<StatusCode>),
}

/// Handle to the simulated platform.
#[derive(Debug, Clone)]
pub struct UsagePlatform {
    tx: mpsc::Sender<Command>,
    refusal: watch::Receiver<Option<StatusCode>>,
}

#[derive(Deserialize)]
struct WireReport {
    window_id: u64,
    counts: BTreeMap<String, u64>,
}

type HandlerTask = std::pin::Pin<Box<HandlerFuture>>;

impl UsagePlatform {
    /// Starts the platform on a free loopback port and returns its address.
    ///
    /// # Panics
    ///
    /// Panics when no port is free.
    pub async fn start() -> (Self, std::net::SocketAddr) {
        let (tx, rx) = mpsc::channel(1_024);
        let (refusal_tx, refusal) = watch::channel(None);
        tokio::spawn(run(rx, refusal_tx));
        let platform = Self { tx, refusal };
        let listener = web::bind(LOOPBACK).await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let shared = Shared::new(platform.clone());
        let handler = move || {
            let platform = shared.clone();
            Ok(move |state: State| Box::pin(handle(platform.into_inner(), state)) as HandlerTask)
        };
        let log = Logger::root(Discard, o!());
        tokio::spawn(async move {
            let (_stop, running) = watch::channel(false);
            let limits = web::ConnectionLimits::simulated;
            let guard = CallerGuard::default();
            web::serve(listener, handler, limits, guard, running, log).await;
        });
        (platform, address)
    }

    /// Answers all calls with this status and drops their reports; `None` ends that.
    pub async fn refuse(&self, status: Option<StatusCode>) {
        let _ended = self.tx.send(Command::Refuse(status)).await;
    }

    /// Returns the reports in the order in which they arrived, with exact repeats.
    ///
    /// # Panics
    ///
    /// Panics when the platform's task has ended.
    pub async fn reports(&self) -> Vec<ReceivedReport> {
        let (reply, reports) = oneshot::channel();
        let _ended = self.tx.send(Command::Reports(reply)).await;
        reports
            .await
            .expect("the task lives as long as its handles")
    }

    /// Returns each breach of the rules U1 to U4 of docs/design/usage-load-limits.md. Holders are
    /// told apart by their names, since all processes of a test have one address.
    pub async fn violations(&self, lease: Duration) -> Vec<String> {
        violations(&self.reports().await, lease)
    }
}

async fn run(mut rx: mpsc::Receiver<Command>, refusal: watch::Sender<Option<StatusCode>>) {
    let mut reports = Vec::new();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Report(report, reply) => {
                reports.push(report);
                let _gone = reply.send(());
            }
            Command::Reports(reply) => {
                let _gone = reply.send(reports.clone());
            }
            Command::Refuse(status) => {
                refusal.send_replace(status);
            }
        }
    }
}

async fn handle(platform: UsagePlatform, mut state: State) -> HandlerResult {
    let refusal = *platform.refusal.borrow();
    let status = match refusal {
        Some(status) => status,
        None => receive(&platform, &mut state).await,
    };
    let res: Response<Body> = web::json_response(status, &json!({}));
    Ok((state, res))
}

async fn receive(platform: &UsagePlatform, state: &mut State) -> StatusCode {
    let is_call =
        Method::borrow_from(state) == Method::POST && Uri::borrow_from(state).path() == "/usage";
    if !is_call {
        return StatusCode::NOT_FOUND;
    }
    let headers = HeaderMap::borrow_from(state);
    let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
    let holder = text("ebonyfall-duty-holder");
    let token = text("ebonyfall-fence-token").and_then(|token| token.parse().ok());
    let body = web::read_body(state, MAX_REPORT_BYTES).await;
    let body = body.unwrap_or_default();
    let report = serde_json::from_slice::<WireReport>(&body).ok();
    let (Some(holder), Some(token), Some(report)) = (holder, token, report) else {
        return StatusCode::BAD_REQUEST;
    };
    let report = ReceivedReport {
        at: Instant::now(),
        holder,
        token,
        window: report.window_id,
        counts: report.counts,
    };
    let (reply, kept) = oneshot::channel();
    let _ended = platform.tx.send(Command::Report(report, reply)).await;
    match kept.await {
        Ok(()) => StatusCode::OK,
        Err(_ended) => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Checks reports in the order in which they arrived.
pub fn violations(reports: &[ReceivedReport], lease: Duration) -> Vec<String> {
    let mut found = Vec::new();
    for (index, report) in reports.iter().enumerate() {
        let earlier = &reports[..index];
        let ReceivedReport {
            holder,
            token,
            window,
            ..
        } = report;
        let changed =
            |other: &&ReceivedReport| other.window == *window && other.counts != report.counts;
        if earlier.iter().any(|other| changed(&other)) {
            found.push(format!("U1: {holder} changed window {window}"));
        }
        if earlier
            .iter()
            .any(|other| other.token == *token && other.holder != *holder)
        {
            found.push(format!("U2: {holder} used token {token} of another holder"));
        }
        if earlier.iter().any(|other| other.token > *token) {
            found.push(format!("U3: {holder} used token {token} after a later one"));
        }
        let mut recent = earlier
            .iter()
            .filter(|other| report.at.duration_since(other.at) <= lease)
            .skip_while(|other| other.holder != *holder);
        if recent.any(|other| other.holder != *holder) {
            found.push(format!(
                "U4: {holder} acted before and after another holder"
            ));
        }
    }
    found
}
