//! Answers of upstreams to holds.

use {
    plan::engine::{Effect, Event, Listing, Running},
    work::upstream::End,
};

/// The answer of the named upstream to its hold in `effects`, with its clock in milliseconds.
pub fn answer(
    effects: &[Effect],
    name: &str,
    running: Vec<Running>,
    ended: Vec<End>,
    clock_ms: u64,
) -> Event {
    let call = effects.iter().find_map(|effect| match effect {
        Effect::Hold { call, target, .. } if target.upstream == name.into() => Some(*call),
        _ => None,
    });
    let listing = Listing {
        born_ms: Some(1),
        clock_ms: Some(clock_ms),
        running,
        ended,
        has_more_ends: false,
    };
    Event::HoldAnswered {
        call: call.expect("a hold"),
        answer: Ok(listing),
    }
}
