//! Baselines of placement that need a structure: a consistent-hash ring, and rendezvous hashing
//! over all targets.

/// Points of each target on the ring.
pub const POINTS: u64 = 64;

/// A consistent-hash ring with virtual nodes.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    points: Vec<(u64, u32)>,
}

/// Spreads the bits of `x` (the finaliser of splitmix64).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

impl Ring {
    /// A ring of `targets` with equal weights.
    pub fn new(targets: impl IntoIterator<Item = u32>) -> Self {
        let mut points: Vec<_> = targets
            .into_iter()
            .flat_map(|target| {
                (0..POINTS).map(move |point| (mix(u64::from(target) << 32 | point), target))
            })
            .collect();
        points.sort_unstable();
        Self { points }
    }

    /// The targets from the chat's point on, with repeats.
    pub fn walk(&self, chat: u64) -> impl Iterator<Item = u32> {
        let hash = mix(chat);
        let start = self.points.partition_point(|point| point.0 < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.1)
    }

    /// Memory held, in bytes.
    pub fn bytes(&self) -> usize {
        self.points.capacity() * size_of::<(u64, u32)>()
    }
}

/// The home of `chat` by scores of all targets, as placement worked before the slot table.
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
