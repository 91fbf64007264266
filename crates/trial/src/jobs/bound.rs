use {
    super::{
        load::Work,
        site::{config, workers},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// A lower bound on the mean time from arrival to end, in seconds, that knows all true run times.
///
/// For each region it is the larger of two bounds: the sum of the run times, and the sum of the times
/// in a relaxed problem in which the region is one pool that always serves the job with the least
/// remaining work, without regard to shape, data centre and the most accelerators that a job can use.
pub fn mean_completion(works: &[Work], choose: impl Fn(&Work) -> bool) -> f64 {
    let config = config();
    let region = |work: &Work| match &work.spec.place {
        Some(place) => place.region().to_owned(),
        None => config
            .homes
            .get(&work.spec.account)
            .cloned()
            .unwrap_or_default(),
    };
    let mut regions: BTreeMap<String, Vec<&Work>> = BTreeMap::new();
    let mut count = 0;
    for work in works.iter().filter(|work| choose(work)) {
        regions.entry(region(work)).or_default().push(work);
        count += 1;
    }
    let pool = |region: &str| {
        let here = workers()
            .into_iter()
            .filter(|worker| worker.site.region == region);
        here.map(|worker| u64::from(worker.accelerators))
            .sum::<u64>()
            .max(1)
    };
    let sum: u64 = regions
        .iter()
        .map(|(region, works)| {
            let runs: u64 = works.iter().map(|work| work.run_ms).sum();
            runs.max(pooled(works, pool(region)))
        })
        .sum();
    sum as f64 / f64::from(count.max(1)) / 1000.0
}

/// Sum of the times from arrival to end in one pool of `total` accelerators, in milliseconds.
fn pooled(works: &[&Work], total: u64) -> u64 {
    // Work is counted in accelerator milliseconds.
    let mut queue: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut now = 0;
    let mut sum = 0;
    let mut arrivals = works.iter().peekable();
    loop {
        let next = arrivals.peek().map(|work| work.at_ms);
        match queue.pop() {
            Some(Reverse((left, at))) => {
                let end = now + left.div_ceil(total);
                match next {
                    Some(next) if next < end => {
                        let left = left.saturating_sub((next - now) * total);
                        queue.push(Reverse((left, at)));
                        now = next;
                    }
                    _ => {
                        sum += end - at;
                        now = end;
                        continue;
                    }
                }
            }
            None => match next {
                Some(next) => now = next,
                None => break,
            },
        }
        while let Some(work) = arrivals.next_if(|work| work.at_ms <= now) {
            let size = work.run_ms * u64::from(work.spec.shape.total_accelerators());
            queue.push(Reverse((size, work.at_ms)));
        }
    }
    sum
}
