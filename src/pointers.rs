//! The agent's task that owns the pointers from chats to the targets that their contexts moved to.

use ebonyfall_core::{
    chat::{POINTER_TTL, Pointers},
    id::ChatId,
    name::TargetName,
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    clock::Clock,
    supervisor::{Supervisor, TaskName},
};

/// Capacity of the task's command channel.
const QUEUE_LEN: usize = 1024;
/// Pointers kept by an agent. With 26 million chats on 3,200 targets, 8,000 chats have their home
/// at one target.
const MAX_POINTERS: usize = 1 << 14;

#[derive(Debug)]
enum Command {
    Find {
        chat: ChatId,
        reply: oneshot::Sender<Option<TargetName>>,
    },
    FindOrSet {
        chat: ChatId,
        default: TargetName,
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

/// Handle of the task that owns the pointers.
#[derive(Debug, Clone)]
pub struct PointerHandle(mpsc::Sender<Command>);

impl PointerHandle {
    /// Starts the task, which ends when the last handle is dropped.
    pub fn start(clock: Clock, supervisor: &Supervisor) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        supervisor.spawn(TaskName::Pointers, run(clock, rx));
        Self(tx)
    }

    /// Returns the target that holds the context of `chat`; `None` if there is no pointer.
    pub async fn find(&self, chat: ChatId) -> Option<TargetName> {
        let (reply, answer) = oneshot::channel();
        self.0.send(Command::Find { chat, reply }).await.ok()?;
        answer.await.ok()?
    }

    /// Returns the target for `chat` while this target is above its load bound: that of the chat's
    /// pointer, otherwise `default`, which becomes the pointer. Routers with different membership
    /// views may name different defaults; the first one applies to all of them. `None` if the task
    /// has ended.
    pub async fn find_or_set(&self, chat: ChatId, default: TargetName) -> Option<TargetName> {
        let (reply, answer) = oneshot::channel();
        let command = Command::FindOrSet {
            chat,
            default,
            reply,
        };
        self.0.send(command).await.ok()?;
        answer.await.ok()?
    }

    /// Records that `target` holds the context of `chat`.
    pub async fn set(&self, chat: ChatId, target: TargetName) {
        let _ended = self.0.send(Command::Set { chat, target }).await;
    }

    /// Removes the pointer of `chat`, whose context is at this target again.
    pub async fn clear(&self, chat: ChatId) {
        let _ended = self.0.send(Command::Clear { chat }).await;
    }
}

async fn run(clock: Clock, mut rx: mpsc::Receiver<Command>) {
    let mut pointers = Pointers::new(MAX_POINTERS, POINTER_TTL);
    while let Some(command) = rx.recv().await {
        let now = clock.now();
        match command {
            Command::Find { chat, reply } => {
                let _caller_gone = reply.send(pointers.get(chat, now).cloned());
            }
            Command::FindOrSet {
                chat,
                default,
                reply,
            } => {
                if pointers.get(chat, now).is_none() {
                    pointers.set(chat, &default, now);
                }
                let _caller_gone = reply.send(pointers.get(chat, now).cloned());
            }
            Command::Set { chat, target } => {
                pointers.set(chat, &target, now);
            }
            Command::Clear { chat } => pointers.clear(chat),
        }
    }
}
