//! Property tests on generated inputs that are the same in every run.
//!
//! bolero seeds its own runs from the system, so a rare failure would come and go. Here its
//! generators are fed from numbered seeds instead. With `BULRUSHSLIP_EXPLORE` set, bolero searches
//! beyond them with its own engine.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, RefUnwindSafe, catch_unwind, resume_unwind};

use bolero::TypeGenerator;
use bolero::generator::bolero_generator::driver::Options;
use bolero::generator::bolero_generator::driver::bytes::Driver;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

/// Longest input of the generators, in bytes.
const MAX_INPUT_BYTES: usize = 4_096;

/// Checks a property on `cases` generated inputs; prints the seed and input that break it.
pub fn check<T: TypeGenerator + Debug + 'static>(
    cases: u64,
    property: impl Fn(&T) + RefUnwindSafe,
) {
    if std::env::var_os("BULRUSHSLIP_EXPLORE").is_some() {
        bolero::check!()
            .with_type::<T>()
            .for_each(|input| property(input));
        return;
    }
    for seed in 0..cases {
        let Some(input) = generate::<T>(seed) else {
            continue;
        };
        let outcome = catch_unwind(AssertUnwindSafe(|| property(&input)));
        if let Err(panic) = outcome {
            eprintln!("seed {seed} breaks the property: {input:?}");
            resume_unwind(panic);
        }
    }
}

fn generate<T: TypeGenerator>(seed: u64) -> Option<T> {
    let mut random = StdRng::seed_from_u64(seed);
    // Short inputs come as often as long ones.
    let longest = 1 << random.random_range(3..=MAX_INPUT_BYTES.ilog2());
    let mut bytes = vec![0; random.random_range(1..=longest)];
    random.fill_bytes(&mut bytes);
    T::generate(&mut Driver::new(bytes, &Options::default()))
}
