//! Model servers' memory of prompts: parts that are kept, fetched from another server, or read.

use std::{
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    ops::AddAssign,
};

use tokio::sync::{mpsc, oneshot};

/// Questions that may wait for the task.
const QUEUE_LEN: usize = 1_024;

/// Tokens of the shared parts of prompts, by where they came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reading {
    /// Found in the server's memory.
    pub kept: u64,
    /// Fetched from another server.
    pub fetched: u64,
    /// Read, and no server had read them before.
    pub first: u64,
    /// Read although some server had read them before.
    pub again: u64,
}

impl Reading {
    /// All tokens.
    pub fn total(self) -> u64 {
        self.kept + self.fetched + self.first + self.again
    }

    /// Tokens that the server had to read.
    pub fn read(self) -> u64 {
        self.first + self.again
    }
}

impl AddAssign for Reading {
    fn add_assign(&mut self, rhs: Self) {
        self.kept += rhs.kept;
        self.fetched += rhs.fetched;
        self.first += rhs.first;
        self.again += rhs.again;
    }
}

/// The parts of prompts that one server keeps. A part is named by the hash of all parts up to it.
#[derive(Debug, Default)]
struct Memory {
    used: u64,
    turn: u64,
    parts: HashMap<u64, Kept>,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u64,
    turn: u64,
}

impl Memory {
    /// Keeps a part; the least recently used ones yield.
    fn keep(&mut self, part: u64, tokens: u64, room: u64) {
        self.turn += 1;
        let turn = self.turn;
        if self.parts.insert(part, Kept { tokens, turn }).is_none() {
            self.used += tokens;
        }
        while self.used > room {
            let oldest = self.parts.iter().min_by_key(|(_, kept)| kept.turn);
            let Some((&oldest, &Kept { tokens, .. })) = oldest else {
                return;
            };
            self.parts.remove(&oldest);
            self.used -= tokens;
        }
    }
}

/// The memories of all servers.
#[derive(Debug)]
struct Fleet {
    room: u64,
    memories: HashMap<SocketAddr, Memory>,
    ever: HashSet<u64>,
    sum: Reading,
}

impl Fleet {
    fn read(&mut self, at: SocketAddr, prompt: &str, source: Option<SocketAddr>) -> Reading {
        let mut reading = Reading::default();
        let mut hash = DefaultHasher::new();
        // The last part belongs to the request alone.
        let parts = prompt.rsplit_once(',').map_or("", |(shared, _own)| shared);
        for part in parts.split(',').filter(|part| !part.is_empty()) {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            let tokens = tokens.parse().unwrap_or(0);
            id.hash(&mut hash);
            let name = hash.finish();
            let holds = |address: SocketAddr| {
                let memory = self.memories.get(&address);
                memory.is_some_and(|memory| memory.parts.contains_key(&name))
            };
            let count = if holds(at) {
                &mut reading.kept
            } else if source.is_some_and(holds) {
                &mut reading.fetched
            } else if self.ever.contains(&name) {
                &mut reading.again
            } else {
                &mut reading.first
            };
            *count += tokens;
            self.ever.insert(name);
            let memory = self.memories.entry(at).or_default();
            memory.keep(name, tokens, self.room);
        }
        self.sum += reading;
        reading
    }
}

#[derive(Debug)]
enum Ask {
    Read {
        at: SocketAddr,
        prompt: String,
        source: Option<SocketAddr>,
        reply: oneshot::Sender<Reading>,
    },
    Forget(SocketAddr),
    Sum(oneshot::Sender<Reading>),
}

/// Reaches the task that owns the memories of all servers.
#[derive(Debug, Clone)]
pub struct Memories(mpsc::Sender<Ask>);

impl Memories {
    /// Starts the task; each server has room for this many tokens.
    pub fn start(room: u64) -> Self {
        let (tx, mut rx) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(async move {
            let mut fleet = Fleet {
                room,
                memories: HashMap::new(),
                ever: HashSet::new(),
                sum: Reading::default(),
            };
            while let Some(ask) = rx.recv().await {
                // A connection that closed does not wait for its answer.
                let _gone = match ask {
                    Ask::Read {
                        at,
                        prompt,
                        source,
                        reply,
                    } => reply.send(fleet.read(at, &prompt, source)).is_err(),
                    Ask::Forget(at) => fleet.memories.remove(&at).is_some(),
                    Ask::Sum(reply) => reply.send(fleet.sum).is_err(),
                };
            }
        });
        Self(tx)
    }

    /// Takes a prompt at a server, which first fetches what `source` has of it.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn read(
        &self,
        at: SocketAddr,
        prompt: String,
        source: Option<SocketAddr>,
    ) -> Reading {
        let (reply, answer) = oneshot::channel();
        let ask = Ask::Read {
            at,
            prompt,
            source,
            reply,
        };
        self.0.send(ask).await.expect("the task runs");
        answer.await.expect("the task answers")
    }

    /// Drops what a server has kept, as its restart does.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn forget(&self, at: SocketAddr) {
        self.0.send(Ask::Forget(at)).await.expect("the task runs");
    }

    /// What all prompts have taken so far.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn sum(&self) -> Reading {
        let (reply, answer) = oneshot::channel();
        self.0.send(Ask::Sum(reply)).await.expect("the task runs");
        answer.await.expect("the task answers")
    }
}
