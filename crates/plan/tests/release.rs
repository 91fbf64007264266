//! Which ends an upstream may forget.

mod leader;
mod listing;

use {
    leader::{registry, sweep_task},
    listing::answer,
    plan::engine::{Effect, Engine, Event, Settings},
    std::time::{Duration, Instant},
    work::{
        registry::{Answer, Command},
        upstream::{End, Outcome, StartReport},
    },
};

/// Number of the last end that the hold of upstream `a` releases.
fn released(effects: &[Effect]) -> Option<u64> {
    effects.iter().find_map(|effect| match effect {
        Effect::Hold { target, order, .. } if target.upstream == "a".into() => Some(order.last_end),
        _ => None,
    })
}

/// Guards against a released number that reaches the next incarnation: an upstream crashed, restarted and ran a start
/// that was sent to its earlier incarnation. The next hold released the end of that run unseen, so the task ran twice.
#[test]
fn an_end_is_released_once_directly_after_it_was_reported() {
    let mut registry = registry();
    let start = Instant::now();
    let mut engine = Engine::new(Settings::default(), start);
    // The start of the run was answered under an earlier leader.
    let report = StartReport {
        covered_ms: 1000,
        settled: vec![],
        open: vec![],
    };
    engine.inherit_starts(&report, start);
    let mut ended = vec![End {
        number: 3,
        task: sweep_task(),
        run: 1,
        how: Outcome::Done,
        checkpoint: String::new(),
    }];
    let mut events = vec![Event::Tick];
    let mut numbers = Vec::new();
    // The urgent job runs on `a` after the end, so that holds go on.
    for ms in (0..2000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let effects = engine.step(events, &registry, now, 1000 + ms);
        events = vec![Event::Tick];
        if let Some(number) = released(&effects) {
            numbers.push(number);
            events.push(answer(
                &effects,
                "a",
                vec![],
                std::mem::take(&mut ended),
                1000,
            ));
        }
        for effect in effects {
            if let Effect::Propose { proposal, updates } = effect {
                let at_ms = 1000 + ms;
                let runs = match registry.apply(Command::Progress {
                    at_ms,
                    steps: updates,
                }) {
                    Answer::Runs(runs) => runs,
                    other => unreachable!("{other:?}"),
                };
                events.push(Event::ProposalCommitted { proposal, runs });
            }
        }
    }
    assert!(numbers.len() > 4, "{numbers:?}");
    assert_eq!(
        numbers[..2],
        [0, 3],
        "the first hold learns the ends, the second releases them"
    );
    assert!(
        numbers[2..].iter().all(|number| *number == 0),
        "{numbers:?}"
    );
}
