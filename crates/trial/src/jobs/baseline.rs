use {
    super::{
        floor::{Floor, Part},
        load::{Kind, Work},
        outcome::{Outcome, Times},
        site::config,
    },
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Time from a decision to the start of a gang, as for the scheduler.
const START_MS: u64 = super::ours::COMMIT_MS + super::ours::START_MS;

/// A simple rule of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// In order of arrival, first fit; the first job that does not fit holds up all others.
    FirstCome,
    /// As before, but later jobs start if by the declared run times they do not delay the first.
    Backfill,
}

struct Running {
    end_ms: u64,
    declared_end_ms: u64,
    job: usize,
    parts: Vec<Part>,
}

/// Runs the jobs by a baseline.
pub fn run(works: &[Work], baseline: Baseline) -> Outcome {
    let config = config();
    let mut floor = Floor::new();
    let allowed: Vec<_> = works
        .iter()
        .map(|work| floor.allowed(&config, &work.spec))
        .collect();
    let mut outcome = Outcome {
        times: vec![Times::default(); works.len()],
        span_ms: works.last().map_or(0, |work| work.at_ms),
        ..Outcome::default()
    };
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut running: Vec<Running> = Vec::new();
    let mut queue: Vec<usize> = Vec::new();
    let mut next = 0;
    let mut now = 0;
    loop {
        let arrival = works.get(next).map(|work| work.at_ms);
        let end = ends.peek().map(|Reverse((end, _))| *end);
        let Some(then) = arrival.into_iter().chain(end).min() else {
            break;
        };
        if now < outcome.span_ms {
            let until = then.min(outcome.span_ms);
            let largest = queue
                .iter()
                .copied()
                .max_by_key(|job| works[*job].spec.shape.total_accelerators());
            if largest.is_some_and(|job| is_fragmented(&floor, &works[job], &allowed[job])) {
                outcome.fragmented_ms += until - now;
                outcome.fragmented_in_quota_ms += until - now;
            }
            let used = 384 - floor.total(&[true; 48]);
            outcome.used += f64::from(used) * (until - now) as f64;
        }
        now = then;
        while let Some(Reverse((_, job))) =
            ends.peek().copied().filter(|Reverse((end, _))| *end <= now)
        {
            ends.pop();
            outcome.times[job].end_ms = Some(now);
            if let Some(at) = running.iter().position(|running| running.job == job) {
                floor.free(&running.swap_remove(at).parts);
            }
        }
        while works.get(next).is_some_and(|work| work.at_ms <= now) {
            outcome.times[next].guaranteed = works[next].kind == Kind::Claim;
            queue.push(next);
            next += 1;
        }
        let mut start =
            |job: usize, parts: Vec<Part>, floor: &mut Floor, running: &mut Vec<Running>| {
                floor.hold(&parts);
                let work = &works[job];
                let begin = now + START_MS;
                outcome.times[job].start_ms = Some(begin);
                ends.push(Reverse((begin + work.run_ms, job)));
                running.push(Running {
                    end_ms: begin + work.run_ms,
                    declared_end_ms: begin + work.spec.declared_seconds.unwrap_or(0) * 1000,
                    job,
                    parts,
                });
            };
        let mut first = 0;
        while let Some(&job) = queue.get(first) {
            let Some(parts) = floor.fit(&works[job].spec.shape, &allowed[job]) else {
                break;
            };
            start(job, parts, &mut floor, &mut running);
            first += 1;
        }
        queue.drain(..first);
        if baseline == Baseline::Backfill && !queue.is_empty() {
            let head = queue[0];
            let (shadow_ms, mut shadow) =
                shadow(&floor, &running, &works[head], &allowed[head], now);
            let mut left = vec![head];
            for &job in &queue[1..] {
                let spec = &works[job].spec;
                let fit = floor.fit(&spec.shape, &allowed[job]).filter(|parts| {
                    let end = now + START_MS + spec.declared_seconds.unwrap_or(0) * 1000;
                    if end <= shadow_ms {
                        return true;
                    }
                    let mut trial = shadow.clone();
                    trial.hold(parts);
                    let fits = trial.fit(&works[head].spec.shape, &allowed[head]).is_some();
                    if fits {
                        shadow = trial;
                    }
                    fits
                });
                match fit {
                    Some(parts) => start(job, parts, &mut floor, &mut running),
                    None => left.push(job),
                }
            }
            queue = left;
        }
    }
    debug_assert!(running.iter().all(|running| running.end_ms <= now));
    outcome.used /= 384.0 * outcome.span_ms.max(1) as f64;
    outcome
}

/// When the first job fits by the declared run times, and what is free then.
fn shadow(
    floor: &Floor,
    running: &[Running],
    head: &Work,
    allowed: &[bool],
    now: u64,
) -> (u64, Floor) {
    let mut floor = floor.clone();
    let mut order: Vec<_> = running.iter().collect();
    order.sort_by_key(|running| (running.declared_end_ms.max(now), running.job));
    for running in order {
        floor.free(&running.parts);
        if floor.fit(&head.spec.shape, allowed).is_some() {
            return (running.declared_end_ms.max(now), floor);
        }
    }
    (u64::MAX, floor)
}

/// Tells whether a queued gang fits the free total but no place.
pub fn is_fragmented(floor: &Floor, work: &Work, allowed: &[bool]) -> bool {
    let shape = &work.spec.shape;
    floor.total(allowed) >= shape.total_accelerators() && floor.fit(shape, allowed).is_none()
}
