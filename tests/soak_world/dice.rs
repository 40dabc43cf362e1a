//! Seeded draws, so that a seed names one schedule of faults and requests.

/// A generator of draws (splitmix64).
#[derive(Debug, Clone)]
pub struct Dice(u64);

impl Dice {
    /// Creates the generator of a seed, and of one user of it.
    pub const fn new(seed: u64, user: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ user.wrapping_mul(0xd1b5_4a32_d192_ed03))
    }

    /// Draws a number below a bound.
    pub const fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Draws an index below a length.
    pub fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.below(length as u64)).expect("below a usize")
    }

    /// Draws whether something happens that does so in so many of 100 cases.
    pub const fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }
}
