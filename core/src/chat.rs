//! Identity of a chat.

use xxhash_rust::xxh3::Xxh3;

use crate::{
    id::{ChatId, Fingerprint},
    name::{ModelName, TeamName},
};

/// What identifies the chat of a request.
#[derive(Debug, Clone, Copy)]
pub enum Identity<'a> {
    /// The caller named the chat.
    Named(&'a str),
    /// The messages up to and including the first user message, which every later request of the
    /// chat repeats.
    Opening(&'a [u8]),
}

/// Derives the identity of a chat; chats of different teams or models never share one by name.
pub fn chat_id(team: &TeamName, model: &ModelName, identity: Identity<'_>) -> ChatId {
    let mut hasher = Xxh3::new();
    let (kind, content) = match identity {
        Identity::Named(name) => (0_u8, name.as_bytes()),
        Identity::Opening(messages) => (1, messages),
    };
    for part in [
        team.as_str().as_bytes(),
        model.as_str().as_bytes(),
        &[kind],
        content,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest().into()
}

/// Derives the fingerprint of a request from its team and content.
pub fn fingerprint(team: &TeamName, content: &[u8]) -> Fingerprint {
    let mut hasher = Xxh3::with_seed(1);
    hasher.update(&(team.as_str().len() as u64).to_le_bytes());
    hasher.update(team.as_str().as_bytes());
    hasher.update(content);
    hasher.digest().into()
}
