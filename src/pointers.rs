//! The agent's task that owns pointers to chats whose context has moved away.

use ebonyfall_core::{
    chat::{POINTER_TTL, Pointers},
    id::ChatId,
    name::TargetName,
};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;

/// Messages that may wait for the task.
const QUEUE_LEN: usize = 1024;
/// Pointers that an agent keeps. With 26 million chats on 3,200 targets, 8,000 chats have their
/// home at one target.
const CAPACITY: usize = 1 << 14;

#[derive(Debug)]
enum Ask {
    Find {
        chat: ChatId,
        reply: oneshot::Sender<Option<TargetName>>,
    },
    Settle {
        chat: ChatId,
        second: TargetName,
        reply: oneshot::Sender<Option<TargetName>>,
    },
    Set {
        chat: ChatId,
        target: TargetName,
    },
    Clear {
        chat: ChatId,
    },
}

/// Finds chats that have moved.
#[derive(Debug, Clone)]
pub struct PointerTask(mpsc::Sender<Ask>);

impl PointerTask {
    /// Starts the task; it ends when the last handle is dropped.
    pub fn start(clock: Clock) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(run(clock, rx));
        Self(tx)
    }

    /// The target that holds the context of `chat`.
    pub async fn find(&self, chat: ChatId) -> Option<TargetName> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Ask::Find { chat, reply }).await.ok()?;
        answer.await.ok()?
    }

    /// Settles where `chat` goes while its home is above the load bound: to the target of its
    /// pointer, else to `second`, which becomes its pointer. Routers whose views differ name
    /// different second choices, and the first one holds for all of them.
    pub async fn settle(&self, chat: ChatId, second: TargetName) -> Option<TargetName> {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Settle {
            chat,
            second,
            reply,
        };
        self.0.send(ask).await.ok()?;
        answer.await.ok()?
    }

    /// Notes that `target` holds the context of `chat`.
    pub async fn set(&self, chat: ChatId, target: TargetName) {
        let _ended = self.0.send(Ask::Set { chat, target }).await;
    }

    /// Drops the pointer of `chat`, whose context is here again.
    pub async fn clear(&self, chat: ChatId) {
        let _ended = self.0.send(Ask::Clear { chat }).await;
    }
}

async fn run(clock: Clock, mut rx: mpsc::Receiver<Ask>) {
    let mut pointers = Pointers::new(CAPACITY, POINTER_TTL);
    while let Some(ask) = rx.recv().await {
        let now = clock.now();
        match ask {
            Ask::Find { chat, reply } => {
                let _gone = reply.send(pointers.get(chat, now).cloned());
            }
            Ask::Settle {
                chat,
                second,
                reply,
            } => {
                if pointers.get(chat, now).is_none() {
                    pointers.set(chat, &second, now);
                }
                let _gone = reply.send(pointers.get(chat, now).cloned());
            }
            Ask::Set { chat, target } => {
                pointers.set(chat, &target, now);
            }
            Ask::Clear { chat } => pointers.clear(chat),
        }
    }
}
