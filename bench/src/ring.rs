//! Placement baselines: a consistent-hash ring, and rendezvous hashing over all targets.

/// Virtual nodes per target on the ring.
pub const VIRTUAL_NODES: u64 = 64;

/// A consistent-hash ring with virtual nodes.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    points: Vec<(u64, u32)>,
}

/// Hashes `x` with one step of splitmix64.
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl Ring {
    /// Creates a ring of `targets` with equal weights.
    pub fn new(targets: impl IntoIterator<Item = u32>) -> Self {
        let mut points: Vec<_> = targets
            .into_iter()
            .flat_map(|target| {
                (0..VIRTUAL_NODES).map(move |point| (mix(u64::from(target) << 32 | point), target))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// Returns the target of every virtual node in ring order, from the chat's hash on.
    ///
    /// A target is repeated for each of its virtual nodes.
    pub fn walk(&self, chat: u64) -> impl Iterator<Item = u32> {
        let hash = mix(chat);
        let start = self.points.partition_point(|point| point.0 < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.1)
    }

    /// Returns the allocated memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.points.capacity() * size_of::<(u64, u32)>()
    }
}

/// Returns the index of the target with the highest rendezvous score for `chat`.
///
/// Scores every target, while the slot table finds a chat's targets by its slot. `None` if
/// `targets`, the hashed keys of the targets, is empty.
pub fn rendezvous(targets: &[u64], chat: u64) -> Option<usize> {
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit an f64 exactly")]
    let score = |key: u64| {
        let uniform = ((mix(key ^ chat) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -1.0 / uniform.ln()
    };
    let scored = targets.iter().map(|key| score(*key)).enumerate();
    scored
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}
