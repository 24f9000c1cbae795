//! Clients of the platform's log and VM list.

use std::{net::IpAddr, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use ebonyfall_core::{
    id::Offset,
    name::{VmName, ZoneName},
};
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{base64::Base64, serde_as};
use snafu::{ResultExt, Snafu};

use crate::rest::Rest;

/// Longest wait for the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform gave no usable answer.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// There was no answer, so that an append may have taken effect.
    #[snafu(display("no answer from the platform: {reason}; check its URL and state"))]
    NoAnswer {
        /// What happened instead.
        reason: String,
    },
    /// The platform refused; nothing took effect.
    #[snafu(display("the platform refused with status {status}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The records asked for are no longer kept.
    #[snafu(display("records before offset {first} are no longer kept"))]
    Expired {
        /// The first offset that is kept.
        first: Offset,
    },
    /// The answer cannot be decoded.
    #[snafu(display("the platform's answer cannot be decoded: {source}"))]
    Decode {
        /// The codec's error.
        source: serde_json::Error,
    },
}

/// A record of a stream.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's position.
    pub offset: Offset,
    /// When the log took the record, in milliseconds since the Unix epoch.
    pub time: u64,
    /// The content.
    #[serde_as(as = "Base64")]
    pub data: Vec<u8>,
}

/// A run of records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// First offset that the log keeps.
    pub first: Offset,
    /// Offset that the next append will get.
    pub next: Offset,
    /// The records, in the order of their offsets.
    pub records: Vec<Record>,
}

/// Whether a VM is in service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// A VM on the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: VmName,
    /// The VM's zone.
    pub zone: ZoneName,
    /// The VM's address.
    pub address: IpAddr,
    /// Whether it is in service.
    pub state: VmState,
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

/// Speaks HTTP with the platform.
#[derive(Debug, Clone)]
pub struct Platform {
    rest: Rest,
}

impl Platform {
    /// Makes a client of the platform at `base`.
    pub fn new(base: impl Into<String>) -> Self {
        Self {
            rest: Rest::new(base),
        }
    }

    /// Appends a record to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses or does not answer; after `NoAnswer` the record may be in
    /// the log.
    pub async fn append(&self, stream: &str, data: &[u8]) -> Result<Offset, PlatformError> {
        let body = Append {
            data: BASE64_STANDARD.encode(data),
        };
        let body = serde_json::to_vec(&body).context(DecodeSnafu)?;
        let path = format!("/v1/streams/{stream}/records");
        let answer: Appended = self.call(Method::POST, &path, body).await?;
        Ok(answer.offset)
    }

    /// Reads at most `limit` records of `stream` from offset `from` on.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses or does not answer, or the records have expired.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: u32,
    ) -> Result<Batch, PlatformError> {
        let path = format!("/v1/streams/{stream}/records?from={from}&limit={limit}");
        self.call(Method::GET, &path, Vec::new()).await
    }

    /// The VM list.
    ///
    /// # Errors
    ///
    /// Fails when the platform refuses or does not answer.
    pub async fn vms(&self) -> Result<Vec<Vm>, PlatformError> {
        self.call(Method::GET, "/v1/vms", Vec::new()).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, PlatformError> {
        let no_answer = |reason: String| PlatformError::NoAnswer { reason };
        let answer = self.rest.call(method, path, body, CALL_TIMEOUT).await;
        let (status, body) = answer.map_err(|error| no_answer(error.reason))?;
        if status == StatusCode::GONE {
            let FirstOffset { first } = serde_json::from_slice(&body).context(DecodeSnafu)?;
            return ExpiredSnafu { first }.fail();
        }
        if status.is_server_error() {
            // A failing service may have taken the record before it failed.
            return Err(no_answer(status.to_string()));
        }
        if !status.is_success() {
            return RefusedSnafu { status }.fail();
        }
        serde_json::from_slice(&body).context(DecodeSnafu)
    }
}
