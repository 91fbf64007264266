//! Prints the job rows of the target table: `cargo run --release -p trial --example jobs [FIRST LAST]`.

use trial::jobs::{Options, run};

fn main() {
    let mut options = Options::default();
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    if let [first, last] = arguments[..] {
        options.seeds = (first..=last).collect();
    }
    print!("{}", run(&options));
}
