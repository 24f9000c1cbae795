//! Pseudo-random order and times in which a target visits the slots of a placement table.
//!
//! Times are computed only with additions, multiplications, divisions and shifts, so that routers
//! on different processors and system libraries get bit-identical results.

const LN_2: f64 = std::f64::consts::LN_2;

/// 2^-24, the unit of the 24-bit jitter.
const JITTER_UNIT: f64 = 1.0 / 16_777_216.0;

/// Generates the visits of one target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VisitGenerator {
    key: u64,
    interval: f64,
}

impl VisitGenerator {
    /// Creates the generator of the target with hash `key`; a target with twice the `weight` visits
    /// slots twice as often.
    pub(crate) fn new(key: u64, weight: f64) -> Self {
        Self {
            key,
            interval: 1.0 / weight,
        }
    }

    /// Visits to the slots of a block of `2^bits` slots.
    pub(crate) fn block(&self, block: usize, bits: u32) -> Visits {
        let key = splitmix64(self.key ^ splitmix64(block as u64));
        Visits {
            key,
            bits,
            interval: self.interval,
            stratum_width: 1.0 / f64::from(1_u32 << bits),
            first_multiplier: splitmix64(key ^ 1) | 1,
            second_multiplier: splitmix64(key ^ 2) | 1,
        }
    }
}

/// Visits of one target to the slots of one block.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Visits {
    key: u64,
    bits: u32,
    /// Mean time between two visits to a slot.
    interval: f64,
    /// Width of a stratum of the unit interval: one over the number of slots.
    stratum_width: f64,
    first_multiplier: u64,
    second_multiplier: u64,
}

impl Visits {
    /// Iterates over slots and times in the order of the visits, up to time `horizon`.
    pub(crate) fn until(self, horizon: f32) -> impl Iterator<Item = (usize, f32)> {
        self.starting_at(0, horizon)
    }

    /// Like [`Self::until`], but skips the visits before index `start`.
    pub(crate) fn starting_at(
        self,
        start: u64,
        horizon: f32,
    ) -> impl Iterator<Item = (usize, f32)> {
        (start..1_u64 << self.bits)
            .map(move |index| (index, self.time(index)))
            .take_while(move |(_, time)| *time < horizon)
            .map(move |(index, time)| (self.slot(index), time))
    }

    /// Time of the visit to `slot`.
    pub(crate) fn time_at(&self, slot: usize) -> f32 {
        self.time(self.index_of(slot as u64))
    }

    /// Slot of the visit with this index: a permutation of the slots, keyed by the target.
    fn slot(&self, index: u64) -> usize {
        let (mask, shift) = self.mask_and_shift();
        let x = index
            .wrapping_mul(self.first_multiplier)
            .wrapping_add(self.key)
            & mask;
        let x = (x ^ (x >> shift)).wrapping_mul(self.second_multiplier) & mask;
        usize::try_from(x ^ (x >> shift)).unwrap_or(0)
    }

    /// Inverse of [`Self::slot`].
    fn index_of(&self, slot: u64) -> u64 {
        let (mask, shift) = self.mask_and_shift();
        let x =
            (slot ^ (slot >> shift)).wrapping_mul(modular_inverse(self.second_multiplier)) & mask;
        let x = (x ^ (x >> shift)).wrapping_sub(self.key);
        x.wrapping_mul(modular_inverse(self.first_multiplier)) & mask
    }

    /// Mask of the slot number, and half of its bits rounded up: `x ^ (x >> shift)` with such a
    /// shift is its own inverse.
    fn mask_and_shift(&self) -> (u64, u32) {
        ((1 << self.bits) - 1, self.bits.div_ceil(2))
    }

    /// Time of the visit with this index. The unit interval is split into as many equal strata as
    /// there are slots, and one visit falls into each; the logarithm turns these positions into
    /// exponentially distributed times with the weight as the rate.
    #[expect(
        clippy::cast_precision_loss,
        reason = "both numbers fit an f64 exactly"
    )]
    #[expect(clippy::cast_possible_truncation, reason = "ties are broken by name")]
    fn time(&self, index: u64) -> f32 {
        let jitter = index.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ self.key;
        let jitter =
            ((jitter.wrapping_mul(self.second_multiplier) >> 40) as f64 + 0.5) * JITTER_UNIT;
        (neg_ln_1m((index as f64 + jitter) * self.stratum_width) * self.interval) as f32
    }
}

/// `-ln(1 - x)` for `x` from 0 to below 1.
fn neg_ln_1m(x: f64) -> f64 {
    if x < 1.0 / 32.0 {
        let tail = 1.0 / 5.0 + x * (1.0 / 6.0 + x * (1.0 / 7.0 + x / 8.0));
        return x * (1.0 + x * (0.5 + x * (1.0 / 3.0 + x * (0.25 + x * tail))));
    }
    let rest = 1.0 - x;
    let mut halvings = 0.0;
    let mut m = rest;
    while m < std::f64::consts::FRAC_1_SQRT_2 {
        m *= 2.0;
        halvings += 1.0;
    }
    let s = (m - 1.0) / (m + 1.0);
    let q = s * s;
    let tail = 1.0 / 9.0 + q * (1.0 / 11.0 + q * (1.0 / 13.0 + q / 15.0));
    let series = 1.0 + q * (1.0 / 3.0 + q * (0.2 + q * (1.0 / 7.0 + q * tail)));
    halvings * LN_2 - 2.0 * s * series
}

/// `SplitMix64` hash.
fn splitmix64(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Inverse of an odd number modulo 2^64, by Newton's method.
fn modular_inverse(odd: u64) -> u64 {
    let mut x = odd;
    for _ in 0..6 {
        x = x.wrapping_mul(2_u64.wrapping_sub(odd.wrapping_mul(x)));
    }
    x
}

#[cfg(test)]
#[path = "../tests/unit/visit.rs"]
mod tests;
