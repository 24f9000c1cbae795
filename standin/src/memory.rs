//! Simulated prompt caches of model servers, which count how many prompt tokens are cached,
//! fetched from another server, or computed.

use std::{
    collections::{HashMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    ops::AddAssign,
};

use tokio::sync::{mpsc, oneshot};

/// Capacity of the queue to the task that owns the caches.
const MAX_QUEUED_COMMANDS: usize = 1_024;

/// Number of tokens in the shared parts of prompts, by origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PromptTokens {
    /// Tokens found in the server's own cache.
    pub cached: u64,
    /// Tokens fetched from another server's cache.
    pub fetched: u64,
    /// Tokens computed for the first time by any server.
    pub computed_first: u64,
    /// Tokens computed although some server had processed them before.
    pub recomputed: u64,
}

impl PromptTokens {
    /// Returns the number of tokens of all origins.
    pub fn total(self) -> u64 {
        self.cached + self.fetched + self.computed_first + self.recomputed
    }

    /// Returns the number of tokens that the server had to compute.
    pub fn computed(self) -> u64 {
        self.computed_first + self.recomputed
    }
}

impl AddAssign for PromptTokens {
    fn add_assign(&mut self, rhs: Self) {
        self.cached += rhs.cached;
        self.fetched += rhs.fetched;
        self.computed_first += rhs.computed_first;
        self.recomputed += rhs.recomputed;
    }
}

/// LRU cache of one server. The key of a prompt part is the hash of all parts up to and including
/// it.
#[derive(Debug, Default)]
struct PromptCache {
    used_tokens: u64,
    uses: u64,
    parts: HashMap<u64, CachedPart>,
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u64,
    last_use: u64,
}

impl PromptCache {
    /// Inserts a part or marks it as used, and evicts the least recently used parts above the
    /// capacity.
    fn insert(&mut self, part: u64, tokens: u64, capacity_tokens: u64) {
        self.uses += 1;
        let last_use = self.uses;
        if self
            .parts
            .insert(part, CachedPart { tokens, last_use })
            .is_none()
        {
            self.used_tokens += tokens;
        }
        while self.used_tokens > capacity_tokens {
            let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.last_use);
            let Some((&oldest, &CachedPart { tokens, .. })) = oldest else {
                return;
            };
            self.parts.remove(&oldest);
            self.used_tokens -= tokens;
        }
    }
}

/// Caches of all servers, by the address of the server.
#[derive(Debug)]
struct ServerCaches {
    capacity_tokens: u64,
    caches: HashMap<SocketAddr, PromptCache>,
    known_parts: HashSet<u64>,
    total_tokens: PromptTokens,
}

impl ServerCaches {
    fn prefill(
        &mut self,
        server: SocketAddr,
        prompt: &str,
        source: Option<SocketAddr>,
    ) -> PromptTokens {
        let mut counts = PromptTokens::default();
        let mut hash = DefaultHasher::new();
        // No other request shares the last part.
        let parts = prompt.rsplit_once(',').map_or("", |(shared, _own)| shared);
        for part in parts.split(',').filter(|part| !part.is_empty()) {
            let (id, tokens) = part.split_once(':').unwrap_or((part, "0"));
            let tokens = tokens.parse().unwrap_or(0);
            id.hash(&mut hash);
            let prefix = hash.finish();
            let holds = |address: SocketAddr| {
                let cache = self.caches.get(&address);
                cache.is_some_and(|cache| cache.parts.contains_key(&prefix))
            };
            let count = if holds(server) {
                &mut counts.cached
            } else if source.is_some_and(holds) {
                &mut counts.fetched
            } else if self.known_parts.contains(&prefix) {
                &mut counts.recomputed
            } else {
                &mut counts.computed_first
            };
            *count += tokens;
            self.known_parts.insert(prefix);
            let cache = self.caches.entry(server).or_default();
            cache.insert(prefix, tokens, self.capacity_tokens);
        }
        self.total_tokens += counts;
        counts
    }
}

#[derive(Debug)]
enum Command {
    Prefill {
        server: SocketAddr,
        prompt: String,
        source: Option<SocketAddr>,
        reply: oneshot::Sender<PromptTokens>,
    },
    Clear(SocketAddr),
    TotalTokens(oneshot::Sender<PromptTokens>),
}

/// Handle to the task that owns the caches of all servers.
#[derive(Debug, Clone)]
pub struct PromptCaches(mpsc::Sender<Command>);

impl PromptCaches {
    /// Starts the task; the cache of each server holds up to `capacity_tokens`.
    pub fn start(capacity_tokens: u64) -> Self {
        let (tx, mut rx) = mpsc::channel(MAX_QUEUED_COMMANDS);
        tokio::spawn(async move {
            let mut servers = ServerCaches {
                capacity_tokens,
                caches: HashMap::new(),
                known_parts: HashSet::new(),
                total_tokens: PromptTokens::default(),
            };
            while let Some(command) = rx.recv().await {
                // Sending a reply fails when the caller's connection has closed meanwhile.
                let _gone = match command {
                    Command::Prefill {
                        server,
                        prompt,
                        source,
                        reply,
                    } => reply
                        .send(servers.prefill(server, &prompt, source))
                        .is_err(),
                    Command::Clear(server) => servers.caches.remove(&server).is_some(),
                    Command::TotalTokens(reply) => reply.send(servers.total_tokens).is_err(),
                };
            }
        });
        Self(tx)
    }

    /// Processes a prompt on a server, which fetches the parts that it lacks from `source` if that
    /// server has them. Returns the tokens of the shared parts by origin.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn prefill(
        &self,
        server: SocketAddr,
        prompt: String,
        source: Option<SocketAddr>,
    ) -> PromptTokens {
        let (reply, answer) = oneshot::channel();
        let command = Command::Prefill {
            server,
            prompt,
            source,
            reply,
        };
        self.0.send(command).await.expect("the task runs");
        answer.await.expect("the task answers")
    }

    /// Empties the cache of a server, as a restart does.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn clear(&self, server: SocketAddr) {
        self.0
            .send(Command::Clear(server))
            .await
            .expect("the task runs");
    }

    /// Returns the token counts of all prompts on all servers since the start.
    ///
    /// # Panics
    ///
    /// Panics when the runtime is shutting down.
    pub async fn total_tokens(&self) -> PromptTokens {
        let (reply, answer) = oneshot::channel();
        self.0
            .send(Command::TotalTokens(reply))
            .await
            .expect("the task runs");
        answer.await.expect("the task answers")
    }
}
