//! Task that calls the platform with usage reports, one at a time.
//!
//! Each call has a connection of its own, which is reset when the call ends: a report in the socket
//! buffer of a silent link must not arrive after the link is back, when another router may hold the
//! lease.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use ebonyfall_core::{
    name::ProcessName,
    usage::{
        duty::UsageReport,
        holder::{CALL_TIMEOUT, Permit},
        reporter::SendOutcome,
        window::WindowId,
    },
};
use ebonyfall_platform::usage;
use http::{
    Request, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HOST},
};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu, ensure};
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::timeout,
};

use crate::clock::{self, BootClock};

/// A call to the platform without a usable answer.
#[derive(Debug, Snafu)]
pub(super) enum SendError {
    /// Connecting to the platform failed.
    #[snafu(display("cannot connect to the platform: {source}; check its address and state"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection failed during the call.
    #[snafu(display("the call failed: {source}"))]
    Http {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The request could not be built.
    #[snafu(display("the report cannot be sent: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: http::Error,
    },
    /// The report could not be encoded.
    #[snafu(display("the report cannot be encoded: {source}"))]
    Encode {
        /// Error of the JSON encoder.
        source: serde_json::Error,
    },
    /// No answer arrived in time.
    #[snafu(display("no answer within {CALL_TIMEOUT:?}"))]
    Timeout,
    /// The lease ended before the report was sent.
    #[snafu(display("the lease ended before the report was sent"))]
    LeaseEnded,
}

/// Outcome of one call.
#[derive(Debug)]
pub(super) struct Sent {
    /// Window that was reported.
    pub(super) window: WindowId,
    /// What the platform answered.
    pub(super) outcome: SendOutcome,
}

/// Configuration and inputs of the task.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) name: ProcessName,
    pub(super) platform: SocketAddr,
    /// Permission to call, which is checked directly before a report is sent.
    pub(super) permit: watch::Receiver<Option<Permit>>,
    pub(super) log: Logger,
}

/// Connection that is reset when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Sender {
    /// Sends reports until the channel closes. Each report has exactly one outcome.
    pub(super) async fn run(
        self,
        mut reports: mpsc::Receiver<UsageReport>,
        tx: mpsc::Sender<Sent>,
    ) {
        while let Some(report) = reports.recv().await {
            let start = BootClock.now();
            let answer = timeout(CALL_TIMEOUT, self.call(&report)).await;
            let answer = answer.unwrap_or_else(|_elapsed| TimeoutSnafu.fail());
            let after_ms = clock::millis(BootClock.now().since(start));
            let outcome = match answer {
                Ok(status) => {
                    let outcome = usage::decode_outcome(status);
                    info!(self.log, "usage report answered"; "event" => "usage_report",
                        "window" => %report.window, "token" => %report.token,
                        "status" => status.as_u16(), "outcome" => outcome_label(outcome),
                        "after_ms" => after_ms);
                    outcome
                }
                Err(error) => {
                    warn!(self.log, "usage report without an answer; retrying under the lease";
                        "event" => "usage_report", "window" => %report.window,
                        "token" => %report.token, "outcome" => "failed", "error" => %error,
                        "after_ms" => after_ms);
                    SendOutcome::Failed
                }
            };
            let window = report.window;
            if tx.send(Sent { window, outcome }).await.is_err() {
                return;
            }
        }
    }

    async fn call(&self, report: &UsageReport) -> Result<StatusCode, SendError> {
        let body = usage::encode_report(report.window, &report.counts).context(EncodeSnafu)?;
        let req = Request::post(usage::PATH)
            .header(HOST, self.platform.to_string())
            .header(CONNECTION, "close")
            .header(CONTENT_TYPE, "application/json")
            .header(usage::HOLDER_HEADER, self.name.as_str())
            .header(usage::TOKEN_HEADER, u64::from(report.token))
            .body(Full::new(Bytes::from(body)))
            .context(RequestSnafu)?;
        let stream = TcpStream::connect(self.platform).await;
        let stream = stream.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.context(ConnectSnafu)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .context(HttpSnafu)?;
        let connection = Connection(tokio::spawn(async move {
            // The call itself reports errors of the connection.
            let _ended = connection.await;
        }));
        sender.ready().await.context(HttpSnafu)?;
        let permit = *self.permit.borrow();
        let allowed = permit
            .is_some_and(|permit| permit.token == report.token && permit.is_valid(BootClock.now()));
        ensure!(allowed, LeaseEndedSnafu);
        let res = sender.send_request(req).await.context(HttpSnafu)?;
        drop(connection);
        Ok(res.status())
    }
}

/// Name of an outcome in logs and metrics.
pub(super) fn outcome_label(outcome: SendOutcome) -> &'static str {
    match outcome {
        SendOutcome::Accepted => "accepted",
        SendOutcome::Rejected => "rejected",
        SendOutcome::Failed => "failed",
    }
}
