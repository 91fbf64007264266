//! Fuzzing of the queues against a simple reference model, and tests of how accounts and classes share slots.

mod common;

use {
    common::{check, ms, rng},
    model::request::Class,
    rand::RngExt,
    route::queue::{Key, Limits, Queues, Slots, Waiting},
    std::{collections::BTreeSet, time::Instant},
};

fn key(account: usize, class: Class) -> Key {
    Key {
        account: format!("a{account}"),
        class,
        service: "fit".into(),
    }
}

const BOTH: [Class; 2] = [Class::Short, Class::Batch];

fn run(seed: u64) -> Result<(), String> {
    let mut rng = rng(seed);
    let start = Instant::now();
    let limits = Limits {
        per_queue: 20,
        total: 60,
        ..Limits::default()
    };
    let mut queues = Queues::new(limits.clone());
    let mut model: Vec<(Key, BTreeSet<(Instant, u64)>)> = (0..3)
        .flat_map(|account| BOTH.map(|class| (key(account, class), BTreeSet::new())))
        .collect();
    for request in 0..2000 {
        let total: usize = model.iter().map(|(_, queue)| queue.len()).sum();
        let pick = rng.random_range(0..model.len());
        let (key, queue) = &mut model[pick];
        match rng.random_range(0..10) {
            0..6 => {
                let deadline = start + ms(rng.random_range(0..10_000));
                let waiting = Waiting { request, deadline };
                let fits = queue.len() < limits.per_queue && total < limits.total;
                if queues.push(key, 1 + pick as u32 % 3, waiting) != fits {
                    return Err(format!(
                        "push of request {request} with {total} waiting did not keep the bounds"
                    ));
                }
                if fits {
                    queue.insert((deadline, request));
                }
            }
            6 => {
                if let Some((deadline, request)) = queue.first().copied() {
                    queue.remove(&(deadline, request));
                    if !queues.remove(key, Waiting { request, deadline }) {
                        return Err(format!("waiting request {request} was not found"));
                    }
                }
            }
            _ => {
                let slots = Slots {
                    usable: 16,
                    batch: rng.random_range(0..16),
                };
                let before = slots.batch;
                let taken = queues.take(slots, |_, _, _| Some(()));
                let Some((key, waiting, ())) = taken else {
                    let short = model
                        .iter()
                        .any(|(k, l)| k.class == Class::Short && !l.is_empty());
                    if short {
                        return Err("a short request waits while a slot is free".into());
                    }
                    continue;
                };
                if key.class == Class::Batch && before >= 14 {
                    return Err("a batch request got a slot that is reserved for short ones".into());
                }
                let queue = model.iter_mut().find(|(other, _)| *other == key);
                let first = queue.and_then(|(_, queue)| queue.pop_first());
                if first != Some((waiting.deadline, waiting.request)) {
                    return Err(format!(
                        "request {} was taken out of order",
                        waiting.request
                    ));
                }
                queues.charge(&key.account, key.class, rng.random_range(0.001..1.0));
            }
        }
        let total: usize = model.iter().map(|(_, queue)| queue.len()).sum();
        if queues.len() != total {
            return Err(format!(
                "the queues count {} requests, but {total} wait",
                queues.len()
            ));
        }
    }
    Ok(())
}

/// The queues must lose no request and keep their bounds, the order by deadline, and the slots that are
/// reserved for short requests.
#[test]
fn matches_a_reference_model() {
    check(200, run);
}

/// Accounts must get slot time by their weights, however many requests each of them queues.
#[test]
fn accounts_share_by_weight() {
    let start = Instant::now();
    let mut queues = Queues::new(Limits {
        per_queue: 100_000,
        total: 200_000,
        ..Limits::default()
    });
    let mut rng = rng(7);
    for request in 0..40_000 {
        let account = if request % 10 == 0 { 1 } else { 0 };
        let weight = if account == 0 { 1 } else { 3 };
        let waiting = Waiting {
            request,
            deadline: start + ms(request),
        };
        queues.push(&key(account, Class::Short), weight, waiting);
    }
    let mut used = [0.0, 0.0];
    while used[0] + used[1] < 2000.0 {
        let slots = Slots {
            usable: 16,
            ..Slots::default()
        };
        let (key, _, ()) = queues.take(slots, |_, _, _| Some(())).unwrap();
        let seconds = rng.random_range(0.01..2.0);
        queues.charge(&key.account, Class::Short, seconds);
        used[usize::from(key.account == "a1")] += seconds;
    }
    let share = used[1] / (used[0] + used[1]);
    assert!((share - 0.75).abs() < 0.02, "weight 3 of 4 got {share}");
}

/// Batch requests must get their least share while short requests keep arriving.
#[test]
fn batch_is_not_starved() {
    let start = Instant::now();
    let mut queues = Queues::new(Limits::default());
    let mut used = [0.0, 0.0];
    for request in 0..20_000u64 {
        for class in BOTH {
            let waiting = Waiting {
                request,
                deadline: start + ms(request),
            };
            queues.push(&key(0, class), 1, waiting);
        }
        let slots = Slots {
            usable: 16,
            ..Slots::default()
        };
        let (key, _, ()) = queues.take(slots, |_, _, _| Some(())).unwrap();
        let seconds = if key.class == Class::Batch { 1.0 } else { 0.05 };
        queues.charge(&key.account, key.class, seconds);
        used[usize::from(key.class == Class::Batch)] += seconds;
    }
    let share = used[1] / (used[0] + used[1]);
    assert!((0.04..0.08).contains(&share), "batch got {share}");
}
