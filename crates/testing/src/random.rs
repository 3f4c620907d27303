//! A seeded random number generator.

/// A SplitMix64 generator; a seed gives the same sequence on every machine.
#[derive(Debug, Clone)]
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns the next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a number from `low` to `high`, inclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }

    /// Returns true with a probability of `cases` in 1,000.
    pub fn per_mille(&mut self, cases: u64) -> bool {
        self.below(1_000) < cases
    }

    /// Returns an exponentially distributed number with mean `mean`.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let unit = ((self.next_u64() >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        -unit.ln() * mean
    }
}
