//! The prefix cache of a simulated target.

use std::collections::{HashMap, VecDeque};

/// Chats that a cache holds.
const CACHE: usize = 100;

/// Turns of chats that a target holds; the chat that was served longest ago makes room.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    held: HashMap<u64, (u32, u64)>,
    order: VecDeque<(u64, u64)>,
}

impl Cache {
    /// Serves a turn of a chat with `turns` before it; returns those found.
    pub(crate) fn serve(&mut self, chat: u64, turns: u32, stamp: u64) -> u32 {
        let found = self.held.insert(chat, (turns + 1, stamp));
        self.order.push_back((chat, stamp));
        while self.held.len() > CACHE {
            let Some((old, at)) = self.order.pop_front() else {
                break;
            };
            if self.held.get(&old).is_some_and(|entry| entry.1 == at) {
                self.held.remove(&old);
            }
        }
        found.map_or(0, |(held, _)| held.min(turns))
    }

    /// Turns of `chat` that are held.
    pub(crate) fn turns(&self, chat: u64) -> u32 {
        self.held.get(&chat).map_or(0, |entry| entry.0)
    }
}
