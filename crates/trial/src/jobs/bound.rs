use {
    super::load::Work,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Accelerators of the deployment.
const TOTAL: u64 = 384;

/// A lower bound on the mean time from arrival to end, in seconds, that knows all true run times.
///
/// It is the larger of two bounds: the mean run time, and the mean time in a relaxed problem in which
/// the whole deployment is one pool that always serves the job with the least remaining work, without
/// regard to shape, place and the most accelerators that a job can use.
pub fn mean_completion(works: &[Work], choose: impl Fn(&Work) -> bool) -> f64 {
    let works: Vec<_> = works.iter().filter(|work| choose(work)).collect();
    let count = works.len().max(1) as f64;
    let runs = works.iter().map(|work| work.run_ms as f64).sum::<f64>() / count;
    // Work is counted in accelerator milliseconds.
    let mut queue: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut now = 0;
    let mut sum = 0;
    let mut arrivals = works.iter().peekable();
    loop {
        let next = arrivals.peek().map(|work| work.at_ms);
        match queue.pop() {
            Some(Reverse((left, at))) => {
                let end = now + left.div_ceil(TOTAL);
                match next {
                    Some(next) if next < end => {
                        let left = left.saturating_sub((next - now) * TOTAL);
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
    runs.max(sum as f64 / count) / 1000.0
}
