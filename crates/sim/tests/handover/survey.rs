//! Tools for runs by hand.

use {
    super::{breaches, days, failed, kind, kinds},
    sim::Breach,
    std::collections::BTreeMap,
};

fn name_of(breach: &Breach) -> String {
    let text = breach.to_string();
    text.split('(').next().unwrap_or_default().to_owned()
}

/// Prints how many days of the kinds of `SIM_SURVEY` (names with commas, or `all`) fail, by breach; does nothing without it.
#[test]
fn survey() {
    let Ok(names) = std::env::var("SIM_SURVEY") else {
        return;
    };
    for (name, _) in kinds() {
        if names != "all" && !names.split(',').any(|wanted| wanted == name) {
            continue;
        }
        let failed = failed(name, 0..days());
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for breach in failed.iter().flat_map(|(_, breaches)| breaches) {
            *counts.entry(name_of(breach)).or_default() += 1;
        }
        let seeds: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
        println!(
            "{name}: {} of {} {counts:?} {seeds:?}",
            failed.len(),
            days()
        );
    }
}

/// Prints what happens, for the trace of a seed.
struct Printer;

impl log::Log for Printer {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        println!("{}", record.args());
    }

    fn flush(&self) {}
}

/// Traces the day of `SIM_TRACE`, of the kind of `SIM_DAY`; does nothing without it.
#[test]
fn trace() {
    let seed = std::env::var("SIM_TRACE").ok();
    let Some(seed) = seed.and_then(|text| text.parse().ok()) else {
        return;
    };
    let name = std::env::var("SIM_DAY").unwrap();
    if log::set_logger(&Printer).is_ok() {
        log::set_max_level(log::LevelFilter::Debug);
    }
    println!("{:?}", breaches(kind(&name), seed));
}
