//! Exchanges with the log: appends, by this router or a writer among its peers, and reads.

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
    platform::{Platform, PlatformError, Record},
};

/// Records read at once.
const READ_BATCH: u32 = 1024;
/// Longest time spent on reads that follow each other.
const READ_TIME: Duration = Duration::from_secs(2);
/// Longest wait for a writer, which may wait for the log's rate limit and for the log itself.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A router that may append for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: ProcessName,
    /// Where it takes connections of other routers.
    pub address: SocketAddr,
}

/// The live routers, this one among them; empty while no view of them exists.
pub type Peers = watch::Receiver<Arc<[Peer]>>;

/// Entries on their way into the log.
#[derive(Debug)]
pub struct Write {
    /// The entries.
    pub entries: Vec<ClaimEntry>,
    /// The peer that appends them, otherwise this router does.
    pub writer: Option<(Identity, SocketAddr)>,
}

/// What one exchange with the log brought.
#[derive(Debug)]
pub struct Exchange {
    /// The result of the append, if there was one.
    pub append: Option<Result<Offset, PlatformError>>,
    /// The records that were read.
    pub records: Vec<Record>,
    /// The first record kept and its time, when records before it were lost.
    pub restart: Option<(Offset, u64)>,
    /// Whether the log was read to its end.
    pub read: Result<(), PlatformError>,
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    u64::try_from(clock::unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Appends, if there is something to append, and reads the log from `next` to its end.
pub async fn exchange(platform: &Platform, mut next: Offset, write: Option<Write>) -> Exchange {
    let append = match write {
        Some(write) => Some(append(platform, write).await),
        None => None,
    };
    let mut records = Vec::new();
    let mut restart = None;
    let start = Instant::now();
    let read = loop {
        match platform.read(CLAIMS_STREAM, next, READ_BATCH).await {
            Ok(batch) => {
                if let Some((_, time @ 0)) = &mut restart {
                    let first = batch.records.first();
                    *time = first.map_or_else(unix_ms, |record| record.time);
                }
                next = batch.records.last().map_or(next, |last| last.offset.next());
                records.extend(batch.records);
                // A stream that grows faster than it is read must not hold up the owners.
                if next >= batch.next || start.elapsed() > READ_TIME {
                    break Ok(());
                }
            }
            Err(PlatformError::Expired { first }) => {
                records.clear();
                restart = Some((first, 0));
                next = first;
            }
            Err(error) => break Err(error),
        }
    };
    Exchange {
        append,
        records,
        restart,
        read,
    }
}

async fn append(platform: &Platform, write: Write) -> Result<Offset, PlatformError> {
    let no_answer = |reason: &str| PlatformError::NoAnswer {
        reason: reason.to_owned(),
    };
    let entries = write.entries;
    if let Some((identity, address)) = write.writer
        // A writer that cannot be reached is replaced by this router: any router may append.
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
            Ok(Ok(ForwardReply::Unknown)) => Err(no_answer("the writer got no answer")),
            Ok(Err(error)) => Err(no_answer(&error.to_string())),
            Err(_) => Err(no_answer("the writer took too long")),
        };
    }
    let data = claims::encode(entries);
    let data = data.map_err(|_error| PlatformError::Refused {
        status: StatusCode::BAD_REQUEST,
    })?;
    platform.append(CLAIMS_STREAM, &data).await
}
