//! Prints the request rows of the target table for this version and the baselines.
//!
//! Arguments: number of seeds (10), length of the crest in seconds (15).

use {
    std::time::Duration,
    trial::requests::{Options, run, traffic},
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
    println!("\nmessages between instances without demand, bytes/s sent per instance (JSON)");
    println!("  upstreams instances     gossip  reports and grants");
    for (upstreams, instances) in [(24, 7), (48, 4), (48, 7), (48, 8), (96, 8), (192, 8)] {
        let (gossip, shares) = traffic(upstreams, instances);
        println!("  {upstreams:>9} {instances:>9} {gossip:>10.0} {shares:>19.0}");
    }
}
