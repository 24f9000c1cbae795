//! Home target and fallbacks of a chat.
//!
//! Weighted rendezvous hashing: the same view gives the same ranking on every router, and a target
//! that leaves moves only its own chats.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{id::ChatId, name::TargetName};

/// A target as placement sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The target's name.
    pub name: TargetName,
    /// Relative capacity; zero takes the target out of placement.
    pub weight: f64,
}

/// Ranks the targets that can serve one model or service.
#[derive(Debug, Clone, Default)]
pub struct Table {
    candidates: Vec<Candidate>,
}

impl Table {
    /// Makes a table over `candidates`.
    pub fn new(candidates: impl IntoIterator<Item = Candidate>) -> Self {
        Self {
            candidates: candidates.into_iter().filter(|c| c.weight > 0.0).collect(),
        }
    }

    /// The targets for `chat`, home first.
    pub fn rank(&self, chat: ChatId) -> Vec<&TargetName> {
        let mut scored: Vec<_> = self
            .candidates
            .iter()
            .map(|c| (score(chat, c), &c.name))
            .collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        scored.into_iter().map(|(_, name)| name).collect()
    }
}

/// The weighted rendezvous score: the largest of all candidates wins with probability
/// proportional to its weight.
fn score(chat: ChatId, candidate: &Candidate) -> f64 {
    let hash = xxh3_64_with_seed(candidate.name.as_str().as_bytes(), chat.into());
    // The top 53 bits give a uniform number in (0, 1).
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
    let uniform = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    candidate.weight / -uniform.ln()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table(names: &[&str]) -> Table {
        Table::new(names.iter().map(|name| Candidate {
            name: TargetName::new(name).unwrap(),
            weight: 1.0,
        }))
    }

    /// Guards against a leaving target that moves other targets' chats.
    #[test]
    fn only_chats_of_the_leaving_target_move() {
        let all = table(&["a", "b", "c", "d"]);
        let fewer = table(&["a", "b", "c"]);
        for chat in (0..1_000).map(ChatId::from) {
            let home = all.rank(chat)[0];
            if home.as_str() != "d" {
                assert_eq!(home, fewer.rank(chat)[0]);
            }
        }
    }
}
