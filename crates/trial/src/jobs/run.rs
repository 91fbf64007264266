use {
    super::{
        baseline::{self, Baseline},
        bound,
        load::{Kind, Work, draw},
        options::Options,
        ours,
        outcome::{Outcome, quantile},
        report::{Report, Row},
    },
    std::thread,
};

/// Seeds that are run at the same time.
const THREADS: usize = 4;

/// The measures of one seed and one scheduler.
#[derive(Clone, Debug, Default)]
struct Measures(Vec<(&'static str, f64)>);

/// Runs every seed with the gang scheduler and both baselines and collects the job rows of the target
/// table.
pub fn run(options: &Options) -> Report {
    let mut results = Vec::new();
    for seeds in options.seeds.chunks(THREADS) {
        let chunk: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = seeds
                .iter()
                .map(|seed| scope.spawn(move || run_seed(*seed, options)))
                .collect();
            threads
                .into_iter()
                .filter_map(|thread| thread.join().ok())
                .collect()
        });
        results.extend(chunk);
    }
    let mut rows: Vec<Row> = Vec::new();
    for (measures, _) in &results {
        for (scheduler, measures) in measures {
            for (name, value) in &measures.0 {
                let same = |row: &&mut Row| row.measure == *name && row.scheduler == *scheduler;
                match rows.iter_mut().find(same) {
                    Some(row) => row.values.push(*value),
                    None => rows.push(Row::new(name, scheduler, *value)),
                }
            }
        }
    }
    rows.sort_by_key(|row| super::report::order(row.measure));
    Report {
        seeds: results.len(),
        rows,
        faults: results.into_iter().flat_map(|(_, faults)| faults).collect(),
    }
}

type Seed = (Vec<(&'static str, Measures)>, Vec<String>);

fn run_seed(seed: u64, options: &Options) -> Seed {
    let with = draw(seed, options, true);
    let without = draw(seed, options, false);
    let mut measures = Vec::new();
    let ours = (ours::run(&with, options), ours::run(&without, options));
    let mut faults = Vec::new();
    for outcome in [&ours.0, &ours.1] {
        faults.extend(
            outcome
                .broken
                .iter()
                .map(|fault| format!("seed {seed}: {fault}")),
        );
    }
    measures.push(("gang", measure(&with, &ours.0, &without, &ours.1, options)));
    for (name, rule) in [
        ("first-come", Baseline::FirstCome),
        ("backfill", Baseline::Backfill),
    ] {
        let outcome = (baseline::run(&with, rule), baseline::run(&without, rule));
        measures.push((
            name,
            measure(&with, &outcome.0, &without, &outcome.1, options),
        ));
    }
    (measures, faults)
}

fn measure(
    with: &[Work],
    outcome: &Outcome,
    without: &[Work],
    alone: &Outcome,
    options: &Options,
) -> Measures {
    let p99 =
        |outcome: &Outcome, works: &[Work]| quantile(&mut outcome.waits(works, Kind::Short), 0.99);
    let (blocked, free) = (p99(outcome, with), p99(alone, without));
    let all = |_: &Work| true;
    let prompt = |work: &Work| work.kind != Kind::Sweep;
    let ratio = |choose: &dyn Fn(&Work) -> bool| {
        outcome.completion(with, choose) / bound::mean_completion(with, choose)
    };
    let alone_ratio = alone.completion(without, all) / bound::mean_completion(without, all);
    let mut claims = outcome.claims(with);
    let limit = 1.3 + options.checkpoint.as_secs_f64();
    let late = claims.iter().filter(|wait| **wait > limit).count();
    let unstarted = outcome
        .times
        .iter()
        .filter(|times| times.end_ms.is_none())
        .count();
    Measures(vec![
        ("head-of-line blocking", blocked / free.max(0.001)),
        ("short p99 wait with sweeps, s", blocked),
        ("short p99 wait without sweeps, s", free),
        ("completion, all jobs", ratio(&all)),
        ("completion, without the sweeps", ratio(&prompt)),
        ("completion, no sweeps submitted", alone_ratio),
        (
            "sweep p99 wait, h",
            quantile(&mut outcome.waits(with, Kind::Sweep), 0.99) / 3600.0,
        ),
        (
            "fragmentation, %",
            100.0 * outcome.fragmented_ms as f64 / outcome.span_ms.max(1) as f64,
        ),
        (
            "fragmentation within quota, %",
            100.0 * outcome.fragmented_in_quota_ms as f64 / outcome.span_ms.max(1) as f64,
        ),
        ("claim to start p99, s", quantile(&mut claims, 0.99)),
        (
            "broken promises",
            (late + unstarted + outcome.broken.len()) as f64,
        ),
        ("accelerators in use, %", 100.0 * outcome.used),
        ("gangs stopped and run again", outcome.reclaims as f64),
    ])
}
