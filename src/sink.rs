//! The caller's end of a relayed answer.

use std::{io, mem};

use bytes::Bytes;
use ebonyfall_wire::frame::Head;
use tokio::sync::{mpsc, oneshot};

use crate::relay::{Answer, RelayFailure};

/// Parts of an answer that are buffered for a slow caller before backpressure reaches the agent.
const MAX_BUFFERED_PARTS: usize = 8;

/// Channel on which the caller's connection gets the answer.
pub enum AnswerSink {
    /// No part has been sent yet.
    Pending(oneshot::Sender<Result<Answer, RelayFailure>>),
    /// The head was sent; further parts go through this channel.
    Streaming(mpsc::Sender<io::Result<Bytes>>),
    /// The caller disconnected, so that no part of the answer can be delivered any more.
    Closed,
}

impl AnswerSink {
    /// Waits until the caller has disconnected.
    pub async fn closed(&mut self) {
        match self {
            Self::Pending(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Closed => {}
        }
    }

    /// Sends `data`, preceded by the head if the answer has not started. Returns `false` when the
    /// caller has disconnected.
    pub async fn send(&mut self, head: Option<&Head>, data: Bytes) -> bool {
        if let Self::Pending(_) = self
            && let Some(head) = head
            && let Self::Pending(reply) = mem::replace(self, Self::Closed)
        {
            let (tx, body) = mpsc::channel(MAX_BUFFERED_PARTS);
            let head = head.clone();
            if reply.send(Ok(Answer { head, body })).is_err() {
                return false;
            }
            *self = Self::Streaming(tx);
        }
        match self {
            Self::Streaming(tx) if data.is_empty() => !tx.is_closed(),
            Self::Streaming(tx) => tx.send(Ok(data)).await.is_ok(),
            Self::Pending(_) | Self::Closed => false,
        }
    }
}
