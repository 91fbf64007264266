//! Prints the request rows of the target table for this version and the baselines.
//!
//! Arguments: number of seeds (10), length of the crest in seconds (15).

use {
    std::time::Duration,
    trial::requests::{Options, run},
};

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .map(|text| text.parse::<u64>().unwrap_or(10));
    let mut options = Options::default();
    if let Some(seeds) = arguments.next() {
        options.seeds = 1..seeds + 1;
    }
    if let Some(seconds) = arguments.next() {
        options.crest_time = Duration::from_secs(seconds);
    }
    print!("{}", run(options));
}
