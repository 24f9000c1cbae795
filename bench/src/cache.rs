//! The prefix cache of a simulated target.

use std::collections::{HashMap, VecDeque};

/// Largest number of chats in a cache.
const MAX_CHATS: usize = 100;

/// Cached turns of a target's chats; evicts the least recently used chat.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Cached turns and time of last use, by chat.
    entries: HashMap<u64, (u32, u64)>,
    /// Chats and times of their uses, the earliest first; a chat's older uses stay until evicted.
    uses: VecDeque<(u64, u64)>,
}

impl Cache {
    /// Caches the next turn of a chat after `turns` earlier ones; returns how many of these were
    /// cached.
    ///
    /// `now` is a counter that must grow with each call.
    pub(crate) fn serve(&mut self, chat: u64, turns: u32, now: u64) -> u32 {
        let previous = self.entries.insert(chat, (turns + 1, now));
        self.uses.push_back((chat, now));
        while self.entries.len() > MAX_CHATS {
            let Some((oldest, used_at)) = self.uses.pop_front() else {
                break;
            };
            if self
                .entries
                .get(&oldest)
                .is_some_and(|entry| entry.1 == used_at)
            {
                self.entries.remove(&oldest);
            }
        }
        previous.map_or(0, |(cached, _)| cached.min(turns))
    }

    /// Returns the number of cached turns of `chat`, 0 for an unknown chat.
    pub(crate) fn turns(&self, chat: u64) -> u32 {
        self.entries.get(&chat).map_or(0, |entry| entry.0)
    }
}
