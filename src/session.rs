//! The agent's side of one attempt: its connection to the router, which may be replaced, and a
//! buffer of the last bytes of the answer for the replay on a new connection.

use std::collections::VecDeque;

use bytes::Bytes;
use ebonyfall_core::{id::AttemptId, request::RESUME_TIMEOUT};
use ebonyfall_wire::frame::{Head, ToAgent, ToRouter};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout},
};

use crate::{admission::Handover, link::Link};

/// Bytes of the answer kept for replay on a new connection; a few times what a stream has in
/// flight.
const MAX_REPLAY_BYTES: usize = 8 << 10;

/// An event on the connection to the router while the request runs.
#[derive(Debug)]
pub enum Signal {
    /// The router cancelled the attempt.
    Cancel,
    /// The router did not reconnect in time.
    ResumeTimeout,
    /// The router sent its next message, which implies that it has received the complete answer.
    NextMessage(Box<ToAgent>),
    /// The connection broke; the router may reconnect.
    ConnectionLost,
    /// The router has reconnected.
    Handover(Box<Handover>),
}

/// Connection state of one attempt, with the replay buffer of its answer.
#[derive(Debug)]
pub struct Session {
    attempt: AttemptId,
    link: Option<Link>,
    handover: mpsc::Receiver<Handover>,
    /// When the wait for a new connection ends; `None` once it has ended.
    resume_deadline: Option<Instant>,
    head: Option<Head>,
    /// Last bytes of the answer so far, at most `MAX_REPLAY_BYTES`.
    replay: VecDeque<u8>,
    offset: u64,
}

impl Session {
    /// Creates the state with the connection on which the request arrived. New connections for the
    /// attempt arrive through `handover`.
    pub fn new(attempt: AttemptId, link: Link, handover: mpsc::Receiver<Handover>) -> Self {
        Self {
            attempt,
            link: Some(link),
            handover,
            resume_deadline: None,
            head: None,
            replay: VecDeque::new(),
            offset: 0,
        }
    }

    /// Whether the answer has to wait until the router has reconnected.
    pub fn awaits_router(&self) -> bool {
        self.link.is_none() && self.resume_deadline.is_some()
    }

    /// Number of answer bytes sent so far, including those lost with a broken connection.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Waits for the next signal. Cancel safe: a dropped future loses no signal.
    pub async fn next_signal(&mut self) -> Signal {
        let Some(link) = &mut self.link else {
            let deadline = self.resume_deadline;
            return tokio::select! {
                handover = self.handover.recv() => match handover {
                    Some(handover) => Signal::Handover(Box::new(handover)),
                    None => Signal::Cancel,
                },
                () = sleep_until_some(deadline), if deadline.is_some() => Signal::ResumeTimeout,
            };
        };
        tokio::select! {
            received = link.receive::<ToAgent>() => match received {
                Ok(ToAgent::Cancel { .. }) => Signal::Cancel,
                Ok(message) => Signal::NextMessage(Box::new(message)),
                Err(_) => Signal::ConnectionLost,
            },
            Some(handover) = self.handover.recv() => Signal::Handover(Box::new(handover)),
        }
    }

    /// Handles a signal; `false` when the attempt has to end.
    pub async fn on_signal(&mut self, signal: Signal) -> bool {
        match signal {
            // While a request runs the only valid message is a cancellation, so any other ends the
            // attempt too.
            Signal::Cancel | Signal::NextMessage(_) => false,
            Signal::ResumeTimeout => {
                self.resume_deadline = None;
                false
            }
            Signal::ConnectionLost => {
                self.disconnect();
                true
            }
            Signal::Handover(handover) => self.reconnect(*handover).await,
        }
    }

    /// Buffers the head of the answer, which is sent along with the next message: a head alone is
    /// of no use to the router.
    pub async fn queue_head(&mut self, head: Head) {
        self.head = Some(head.clone());
        let attempt = self.attempt;
        let message = ToRouter::Head { attempt, head };
        if let Some(link) = &mut self.link
            && link.feed(&message).await.is_err()
        {
            self.disconnect();
        }
    }

    /// Sends the next bytes of the answer and adds them to the replay buffer.
    pub async fn send_part(&mut self, data: Bytes) {
        let (attempt, offset) = (self.attempt, self.offset);
        self.offset += data.len() as u64;
        // Copied, since a shared slice would keep the entire read buffer in memory.
        let kept = &data[data.len().saturating_sub(MAX_REPLAY_BYTES)..];
        let excess = (self.replay.len() + kept.len()).saturating_sub(MAX_REPLAY_BYTES);
        self.replay.drain(..excess);
        self.replay.extend(kept);
        let part = ToRouter::Part {
            attempt,
            offset,
            data,
        };
        self.send(&part).await;
    }

    /// Sends the last message of the attempt. A message that was written just before the connection
    /// broke may be lost, so it is sent again on each new connection until it counts as delivered:
    /// when the router sends its next message, or after `RESUME_TIMEOUT` without a signal.
    ///
    /// Returns the connection for the next request, with the router's message if there is one, or
    /// `None` when there is no usable connection.
    pub async fn finish(mut self, last: ToRouter) -> Option<(Link, Option<ToAgent>)> {
        self.send(&last).await;
        loop {
            let Ok(signal) = timeout(RESUME_TIMEOUT, self.next_signal()).await else {
                return self.link.map(|link| (link, None));
            };
            match signal {
                Signal::NextMessage(message) => {
                    return self.link.map(|link| (link, Some(*message)));
                }
                Signal::Cancel | Signal::ResumeTimeout => return None,
                Signal::ConnectionLost => self.disconnect(),
                Signal::Handover(handover) => {
                    if !self.reconnect(*handover).await {
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
            self.disconnect();
        }
    }

    fn disconnect(&mut self) {
        self.link = None;
        self.resume_deadline = Some(Instant::now() + RESUME_TIMEOUT);
    }

    /// Continues on a new connection and replays the bytes that the router is missing; `false` when
    /// they are no longer in the replay buffer.
    async fn reconnect(&mut self, handover: Handover) -> bool {
        let Handover { link, offset } = handover;
        let kept = self.replay.len() as u64;
        let first = self.offset - kept;
        if offset < first || offset > self.offset {
            self.link = None;
            self.resume_deadline = None;
            return false;
        }
        self.link = Some(link);
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

async fn sleep_until_some(deadline: Option<Instant>) {
    sleep_until(deadline.unwrap_or_else(Instant::now)).await;
}
