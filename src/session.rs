//! One attempt at the agent: its connection, which may be replaced, and a short replay of its
//! answer.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use ebonyfall_core::id::AttemptId;
use ebonyfall_wire::frame::{Head, ToAgent, ToRouter};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use crate::{gate::Handover, link::Link};

/// How long an attempt waits for a new connection before its work is cancelled.
const RESUME_GRACE: Duration = Duration::from_secs(2);
/// Bytes of an answer kept for a new connection; a few times what a stream has under way.
const MAX_REPLAY: usize = 8 << 10;

/// What came from the router while its request runs.
#[derive(Debug)]
pub enum Signal {
    /// Nobody waits for the answer any more.
    Cancel,
    /// The router has sent its next message, so that it has received the whole answer.
    Next(Box<ToAgent>),
    /// The connection broke; a new one may come.
    Lost,
    /// A new connection has come.
    Handover(Box<Handover>),
}

/// The router's side of an attempt.
#[derive(Debug)]
pub struct Session {
    attempt: AttemptId,
    link: Option<Link>,
    handover: mpsc::Receiver<Handover>,
    parked_until: Instant,
    head: Option<Head>,
    /// The last bytes of the answer so far.
    replay: VecDeque<u8>,
    offset: u64,
}

impl Session {
    /// Starts on the connection that the request came on.
    pub fn new(attempt: AttemptId, link: Link, handover: mpsc::Receiver<Handover>) -> Self {
        Self {
            attempt,
            link: Some(link),
            handover,
            parked_until: Instant::now(),
            head: None,
            replay: VecDeque::new(),
            offset: 0,
        }
    }

    /// Whether there is a connection.
    pub fn is_attached(&self) -> bool {
        self.link.is_some()
    }

    /// Bytes of the answer so far.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Waits for a signal; dropping the future loses none.
    pub async fn signal(&mut self) -> Signal {
        let Some(link) = &mut self.link else {
            return tokio::select! {
                handover = self.handover.recv() => match handover {
                    Some(handover) => Signal::Handover(Box::new(handover)),
                    None => Signal::Cancel,
                },
                () = sleep_until(self.parked_until) => Signal::Cancel,
            };
        };
        tokio::select! {
            received = link.receive::<ToAgent>() => match received {
                Ok(ToAgent::Cancel { .. }) => Signal::Cancel,
                Ok(message) => Signal::Next(Box::new(message)),
                Err(_) => Signal::Lost,
            },
            Some(handover) = self.handover.recv() => Signal::Handover(Box::new(handover)),
        }
    }

    /// Acts on a signal; false when the attempt is over.
    pub async fn on_signal(&mut self, signal: Signal) -> bool {
        match signal {
            // A router sends nothing but a cancellation while its request runs.
            Signal::Cancel | Signal::Next(_) => false,
            Signal::Lost => {
                self.park();
                true
            }
            Signal::Handover(handover) => self.attach(*handover).await,
        }
    }

    /// Puts status and headers before the next message; a router has no use for them alone.
    pub async fn put_head(&mut self, head: Head) {
        self.head = Some(head.clone());
        let attempt = self.attempt;
        let message = ToRouter::Head { attempt, head };
        if let Some(link) = &mut self.link
            && link.feed(&message).await.is_err()
        {
            self.park();
        }
    }

    /// Sends the next bytes of the answer and keeps them for a while.
    pub async fn send_part(&mut self, data: Bytes) {
        let (attempt, offset) = (self.attempt, self.offset);
        self.offset += data.len() as u64;
        // A shared slice would keep the whole buffer alive that it was read into.
        let kept = &data[data.len().saturating_sub(MAX_REPLAY)..];
        let excess = (self.replay.len() + kept.len()).saturating_sub(MAX_REPLAY);
        self.replay.drain(..excess);
        self.replay.extend(kept);
        let part = ToRouter::Part {
            attempt,
            offset,
            data,
        };
        self.send(&part).await;
    }

    /// Sends the last message and stays ready to send it again on a new connection, until the
    /// router's next message or a while without one tells that it has arrived. Returns the
    /// connection, with that message, for the next request.
    ///
    /// A message that was written to a connection just before it broke may not have arrived.
    pub async fn settle(mut self, last: ToRouter) -> Option<(Link, Option<ToAgent>)> {
        self.send(&last).await;
        loop {
            let Ok(signal) = timeout(RESUME_GRACE, self.signal()).await else {
                return self.link.map(|link| (link, None));
            };
            match signal {
                Signal::Next(message) => return self.link.map(|link| (link, Some(*message))),
                Signal::Cancel => return None,
                Signal::Lost => self.park(),
                Signal::Handover(handover) => {
                    if !self.attach(*handover).await {
                        return None;
                    }
                    self.send(&last).await;
                }
            }
        }
    }

    async fn send(&mut self, message: &ToRouter) {
        if let Some(link) = &mut self.link
            && link.send(message).await.is_err()
        {
            self.park();
        }
    }

    fn park(&mut self) {
        self.link = None;
        self.parked_until = Instant::now() + RESUME_GRACE;
    }

    /// Goes on with a new connection; false when the answer's missing bytes are no longer kept.
    async fn attach(&mut self, handover: Handover) -> bool {
        let Handover { link, offset } = handover;
        self.link = Some(link);
        let kept = self.replay.len() as u64;
        let first = self.offset - kept;
        if offset < first || offset > self.offset {
            return false;
        }
        let attempt = self.attempt;
        if let Some(head) = self.head.clone() {
            self.send(&ToRouter::Head { attempt, head }).await;
        }
        let skip = usize::try_from(offset - first).unwrap_or(usize::MAX);
        let data: Vec<u8> = self.replay.iter().skip(skip).copied().collect();
        if !data.is_empty() {
            let part = ToRouter::Part {
                attempt,
                offset,
                data: data.into(),
            };
            self.send(&part).await;
        }
        true
    }
}
