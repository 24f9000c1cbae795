//! Client for the platform's log and VM list.

use std::{net::IpAddr, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use ebonyfall_core::{
    id::Offset,
    name::{VmName, ZoneName},
    transfer::TransferLimits,
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use serde_with::{base64::Base64, serde_as};
use snafu::{ResultExt, Snafu};

use crate::rest::{Answer, Rest};

/// Time until the answer to a call begins, and longest time without progress of it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of an answer, in bytes; more than that of the longest record. Of a batch that is longer,
/// fewer records are read.
const MAX_ANSWER_BYTES: usize = 24 << 20;

/// Reason why a call to the platform failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// No answer or a server error, so that an append may have taken effect.
    #[snafu(display("no answer from the platform: {reason}; check its URL and state"))]
    NoAnswer {
        /// Error of the connection, or the HTTP status.
        reason: String,
    },
    /// The answer is longer than is read; an append may have taken effect.
    #[snafu(display("the platform's answer has more than {MAX_ANSWER_BYTES} bytes"))]
    TooLong,
    /// The platform rejected the call, which had no effect.
    #[snafu(display("the platform refused with status {status}"))]
    Refused {
        /// HTTP status of the answer.
        status: StatusCode,
    },
    /// The log no longer retains the requested records.
    #[snafu(display("records before offset {first} are no longer kept"))]
    Expired {
        /// First offset that the log retains.
        first: Offset,
    },
    /// The answer is not the JSON that was expected.
    #[snafu(display("the platform's answer cannot be decoded: {source}"))]
    Decode {
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// Record of a stream in the platform's log.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Time at which the log accepted the record, in milliseconds since the Unix epoch.
    pub time: u64,
    /// Content of the record, which the log does not interpret.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// Consecutive records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// First offset that the log retains.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub next: Offset,
    /// Records in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Entry of the platform's VM list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: VmName,
    /// Zone in which the VM runs.
    pub zone: ZoneName,
    /// IP address of the VM.
    pub address: IpAddr,
    /// Lifecycle state when the list was made.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Number of entries that cannot be decoded.
    pub left_out: usize,
}

#[derive(Serialize)]
struct Append {
    data: String,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct FirstOffset {
    first: Offset,
}

/// HTTP client for the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    rest: Rest,
}

impl Platform {
    /// Creates a client for the platform at the URL `base`.
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            rest: Rest::new(base, MAX_ANSWER_BYTES),
        }
    }

    /// Appends a record to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects the call or does not answer. After `NoAnswer` the
    /// record may be in the log.
    pub async fn append(&self, stream: &str, data: &[u8]) -> Result<Offset, PlatformError> {
        let body = Append {
            data: BASE64_STANDARD.encode(data),
        };
        let body = serde_json::to_vec(&body).context(DecodeSnafu)?;
        let path = format!("/v1/streams/{stream}/records");
        let answer: Appended = self.call(Method::POST, &path, body).await?;
        Ok(answer.offset)
    }

    /// Reads at most `limit` records of `stream` from offset `from` on; fewer if these are long.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects the call or does not answer, or if the records have
    /// expired.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: u32,
    ) -> Result<Batch, PlatformError> {
        let mut limit = limit;
        loop {
            let path = format!("/v1/streams/{stream}/records?from={from}&limit={limit}");
            match self.call(Method::GET, &path, Vec::new()).await {
                Err(PlatformError::TooLong) if limit > 1 => limit /= 2,
                answer => return answer,
            }
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform rejects the call or does not answer.
    pub async fn vms(&self) -> Result<VmList, PlatformError> {
        let entries: Vec<Value> = self.call(Method::GET, "/v1/vms", Vec::new()).await?;
        let count = entries.len();
        let vms = entries.into_iter().map(serde_json::from_value);
        let vms: Vec<Vm> = vms.filter_map(Result::ok).collect();
        let left_out = count - vms.len();
        Ok(VmList { vms, left_out })
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, PlatformError> {
        let no_answer = |reason: String| PlatformError::NoAnswer { reason };
        let limits = TransferLimits::new(Duration::ZERO, CALL_TIMEOUT);
        let answer = self.rest.call(method, path, body, limits).await;
        let Answer { status, body, .. } = answer.map_err(|error| {
            if error.is_too_long {
                PlatformError::TooLong
            } else {
                no_answer(error.reason)
            }
        })?;
        if status == StatusCode::GONE {
            let FirstOffset { first } = serde_json::from_slice(&body).context(DecodeSnafu)?;
            return ExpiredSnafu { first }.fail();
        }
        if status.is_server_error() {
            // The platform may have stored the record before the error occurred.
            return Err(no_answer(status.to_string()));
        }
        if !status.is_success() {
            return RefusedSnafu { status }.fail();
        }
        serde_json::from_slice(&body).context(DecodeSnafu)
    }
}
