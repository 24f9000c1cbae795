//! Task that owns the connection to one collector of counts.

use std::{net::SocketAddr, time::Duration};

use ebonyfall_core::{name::ProcessName, usage::time::ClockReading};
use ebonyfall_wire::usage::{CountsAnswer, CountsMessage, RouterRequest};
use slog::{Logger, info};
use tokio::{sync::mpsc, time::timeout};

use super::counting::Command;
use crate::{
    clock::BootClock,
    link::{Identity, Link, LinkError},
};

/// Time limit for connecting and for the answer together.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Result of one exchange with a collector.
#[derive(Debug)]
pub(super) struct Exchanged {
    /// Name of the collector.
    pub(super) collector: ProcessName,
    /// Revision of the own table up to which the message had all changes.
    pub(super) revision: u64,
    /// The answer, with the collector's time. `None` if there was none in time.
    pub(super) answer: Option<(CountsAnswer, ClockReading)>,
}

/// Message to a collector, with the revision of the own table that it reaches.
pub(super) type Outgoing = (CountsMessage, u64);

/// Connection to one collector, which is made anew when it breaks.
#[derive(Debug)]
pub(super) struct Collector {
    pub(super) identity: Identity,
    pub(super) name: ProcessName,
    pub(super) address: SocketAddr,
    pub(super) results: mpsc::WeakSender<Command>,
    pub(super) log: Logger,
}

impl Collector {
    /// Sends messages until their sender is dropped.
    pub(super) async fn run(self, mut messages: mpsc::Receiver<Outgoing>) {
        let mut link = None;
        let mut is_lost = false;
        while let Some((message, revision)) = messages.recv().await {
            let exchange = self.exchange(&mut link, message);
            let result = timeout(EXCHANGE_TIMEOUT, exchange).await;
            let error = match &result {
                Ok(Ok(_answer)) => None,
                Ok(Err(error)) => Some(error.to_string()),
                Err(_late) => Some(format!("no answer within {EXCHANGE_TIMEOUT:?}")),
            };
            if error.is_some() {
                link = None;
            }
            if error.is_some() != is_lost {
                is_lost = error.is_some();
                info!(self.log, "exchange of usage counts with a collector changed";
                    "event" => "usage_collector", "collector" => %self.name,
                    "answers" => !is_lost, "error" => error);
            }
            let exchanged = Exchanged {
                collector: self.name.clone(),
                revision,
                answer: result.ok().and_then(Result::ok),
            };
            let Some(results) = self.results.upgrade() else {
                return;
            };
            let _ended = results.send(Command::Exchanged(Box::new(exchanged))).await;
        }
    }

    async fn exchange(
        &self,
        link: &mut Option<Link>,
        message: CountsMessage,
    ) -> Result<(CountsAnswer, ClockReading), LinkError> {
        let open = match link.take().filter(Link::is_idle) {
            Some(open) => open,
            None => Link::dial(&self.identity, self.address).await?,
        };
        let open = link.insert(open);
        let sent_at = BootClock.now();
        open.send(&RouterRequest::Counts(message)).await?;
        let answer: CountsAnswer = open.receive().await?;
        let reading = ClockReading {
            unix: answer.unix,
            sent_at,
            received_at: BootClock.now(),
        };
        Ok((answer, reading))
    }
}
