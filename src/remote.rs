//! HTTP client of other processes' admin interfaces.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use crate::usage::inspect::UsageDump;

/// Time limit of a request with its whole answer.
const TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A request to an admin interface failed.
#[derive(Debug, Snafu)]
pub enum RemoteError {
    /// No complete answer arrived in time.
    #[snafu(display("no answer from {address}: {reason}; check the address and the process"))]
    NoAnswer {
        /// The process's admin address.
        address: SocketAddr,
        /// Cause, such as a connection error or `timeout`.
        reason: String,
    },
    /// The process answered with an error status.
    #[snafu(display("{address} refused with status {status}; check the token"))]
    Refused {
        /// The process's admin address.
        address: SocketAddr,
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The answer is not a valid dump, as between different versions of the software.
    #[snafu(display("the answer of {address} cannot be decoded: {source}; use one version"))]
    Decode {
        /// The process's admin address.
        address: SocketAddr,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// Sends a request to the admin interface at `address`. An error status is not an error here.
///
/// # Errors
///
/// Fails when no complete answer arrives in time.
pub async fn send(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: &str,
    body: impl Into<Bytes>,
) -> Result<(StatusCode, Bytes), RemoteError> {
    let no_answer = |reason: String| RemoteError::NoAnswer { address, reason };
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::new(body.into()))
        .map_err(|error| no_answer(error.to_string()))?;
    let exchange = async {
        let mut builder = Client::builder(TokioExecutor::new());
        let client = builder.retry_canceled_requests(false).build_http();
        let res = client
            .request(req)
            .await
            .map_err(|error| no_answer(error.to_string()))?;
        let status = res.status();
        let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| no_answer(error.to_string()))?;
        Ok((status, body.to_bytes()))
    };
    time::timeout(TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_elapsed| Err(no_answer("timeout".to_owned())))
}

/// Gets the admin dump of the process at `address`.
///
/// # Errors
///
/// Fails without a complete answer, or when the answer has an error status or is not a dump.
pub async fn dump(address: SocketAddr, token: &str) -> Result<crate::admin::Dump, RemoteError> {
    let (status, body) = send(Method::GET, address, "/dump", token, Bytes::new()).await?;
    ensure!(status.is_success(), RefusedSnafu { address, status });
    serde_json::from_slice(&body).context(DecodeSnafu { address })
}

#[derive(Deserialize)]
struct EntryDump {
    usage: Option<UsageDump>,
}

/// Gets the state of usage reports from the metrics address of an entry router; `None` if its
/// deployment has none.
///
/// # Errors
///
/// Fails without a complete answer, or when the answer has an error status or is not a dump.
pub async fn usage(address: SocketAddr) -> Result<Option<UsageDump>, RemoteError> {
    let (status, body) = send(Method::GET, address, "/dump", "", Bytes::new()).await?;
    ensure!(status.is_success(), RefusedSnafu { address, status });
    let dump: EntryDump = serde_json::from_slice(&body).context(DecodeSnafu { address })?;
    Ok(dump.usage)
}
