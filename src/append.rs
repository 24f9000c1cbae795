//! Appends to the `claims` stream, directly or through another router, followed by reads to its
//! end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use ebonyfall_core::{claim::ClaimEntry, id::Offset, name::ProcessName};
use ebonyfall_wire::claims::{self, CLAIMS_STREAM, ForwardReply, ForwardRequest};
use http::StatusCode;
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

use crate::{
    clock,
    link::{Identity, Link},
    platform::{LogRecord, Platform, PlatformError},
};

/// Largest number of records per read of the log.
const READ_BATCH_RECORDS: u32 = 1024;
/// Time after which an exchange stops reading, even if it has not reached the end of the log.
const MAX_READ_TIME: Duration = Duration::from_secs(2);
/// Size of the records after which an exchange stops reading, as after [`MAX_READ_TIME`].
const MAX_READ_BYTES: usize = 16 << 20;
/// Timeout of a forwarded append. The writer may in turn wait for the log and its rate limit.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Router that may append to the log on behalf of other routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the router's process.
    pub name: ProcessName,
    /// Address at which the router accepts connections of other routers.
    pub address: SocketAddr,
}

/// The live routers, including this one; empty until the membership is known.
pub type Peers = watch::Receiver<Arc<[Peer]>>;

/// Entries to append as one batch.
#[derive(Debug)]
pub struct AppendBatch {
    /// Entries of the batch. The position of a claim in it is the index in its `ClaimId`.
    pub entries: Vec<ClaimEntry>,
    /// This router's identity and the address of the peer to forward the batch to; `None` if this
    /// router appends it.
    pub writer: Option<(Identity, SocketAddr)>,
}

/// Result of one exchange with the log: an optional append, then reads.
#[derive(Debug)]
pub struct LogExchange {
    /// Offset of the appended batch, or why the append failed; `None` without an append.
    pub append: Option<Result<Offset, PlatformError>>,
    /// Records that were read, in ascending order of their offsets.
    pub records: Vec<LogRecord>,
    /// Offset and time (milliseconds since the Unix epoch) of the oldest remaining record, if
    /// records expired before they were read.
    pub reset: Option<(Offset, u64)>,
    /// Whether the reads succeeded, up to the end of the log or until the time or the memory for reads
    /// was used up.
    pub read: Result<(), PlatformError>,
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Appends the batch, if there is one, then reads the log from `next` to its end.
pub async fn exchange(
    platform: &Platform,
    mut next: Offset,
    write: Option<AppendBatch>,
) -> LogExchange {
    let append = match write {
        Some(write) => Some(append(platform, write).await),
        None => None,
    };
    let mut records = Vec::new();
    let mut bytes = 0;
    let mut reset = None;
    let start = Instant::now();
    let read = loop {
        match platform.read(CLAIMS_STREAM, next, READ_BATCH_RECORDS).await {
            Ok(batch) => {
                if let Some((_, time @ 0)) = &mut reset {
                    let first = batch.records.first();
                    *time = first.map_or_else(unix_ms, |record| record.time);
                }
                next = batch.records.last().map_or(next, |last| last.offset.next());
                bytes += batch
                    .records
                    .iter()
                    .map(|record| record.data.len())
                    .sum::<usize>();
                records.extend(batch.records);
                // Requests wait for this exchange, so it must end even if the stream grows faster
                // than it is read.
                let is_long = bytes > MAX_READ_BYTES || start.elapsed() > MAX_READ_TIME;
                if next >= batch.next || is_long {
                    break Ok(());
                }
            }
            Err(PlatformError::Expired { first }) => {
                records.clear();
                reset = Some((first, 0));
                next = first;
            }
            Err(error) => break Err(error),
        }
    };
    LogExchange {
        append,
        records,
        reset,
        read,
    }
}

async fn append(platform: &Platform, write: AppendBatch) -> Result<Offset, PlatformError> {
    let no_answer = |reason: &str| PlatformError::NoAnswer {
        reason: reason.to_owned(),
    };
    let entries = write.entries;
    if let Some((identity, address)) = write.writer
        // If the writer cannot be reached, this router appends the batch itself, which any router
        // may do.
        && let Ok(mut link) = Link::dial(&identity, address).await
    {
        let forward = ForwardRequest { entries };
        let exchange = async {
            link.send(&forward).await?;
            link.receive::<ForwardReply>().await
        };
        return match timeout(FORWARD_TIMEOUT, exchange).await {
            Ok(Ok(ForwardReply::Appended(offset))) => Ok(offset),
            Ok(Ok(ForwardReply::Refused)) => Err(PlatformError::Refused {
                status: StatusCode::TOO_MANY_REQUESTS,
            }),
            Ok(Ok(ForwardReply::Unknown)) => {
                Err(no_answer("the writer got no answer from the log"))
            }
            Ok(Err(error)) => Err(no_answer(&error.to_string())),
            Err(_) => Err(no_answer("the writer did not answer in time")),
        };
    }
    let data = claims::encode(entries);
    let data = data.map_err(|_error| PlatformError::Refused {
        status: StatusCode::BAD_REQUEST,
    })?;
    platform.append(CLAIMS_STREAM, &data).await
}
