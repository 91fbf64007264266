//! The engine of one term of the leader.

use {
    dispatch::leader::TermEngine,
    plan::engine::{Engine, Event, Settings},
    std::{cell::Cell, time::Instant},
};

/// Guards against a second engine in the same term after the lease was briefly in doubt. It reused the numbers of calls
/// still in flight, took their answers for its own, and ruled out starts that arrived later under the same fencing
/// token.
#[test]
fn a_term_has_one_engine() {
    let created = Cell::new(0);
    let new_engine = || {
        created.set(created.get() + 1);
        Engine::new(Settings::default(), Instant::now())
    };
    let mut term_engine = TermEngine::default();
    assert!(term_engine.for_term(None, new_engine).is_none());
    assert!(term_engine.for_term(Some(2), new_engine).is_some());
    assert!(term_engine.for_term(None, new_engine).is_none());
    term_engine.push(2, Event::Tick);
    term_engine.push(1, Event::Tick);
    term_engine.push(0, Event::Tick);
    let (term, _, events) = term_engine.for_term(Some(2), new_engine).unwrap();
    assert_eq!((term, events.len(), created.get()), (2, 2, 1));
    term_engine.push(2, Event::Tick);
    let (term, _, events) = term_engine.for_term(Some(3), new_engine).unwrap();
    assert_eq!((term, events.len(), created.get()), (3, 0, 2));
}

/// Guards against a leader that stops scheduling for good, while it goes on leading, after a panic in a step.
#[test]
fn a_failed_engine_ends_with_its_term() {
    let new_engine = || Engine::new(Settings::default(), Instant::now());
    let mut term_engine = TermEngine::default();
    assert!(term_engine.for_term(Some(2), new_engine).is_some());
    term_engine.fail();
    assert!(term_engine.has_failed(Some(2)) && !term_engine.has_failed(None));
    assert!(term_engine.for_term(Some(2), new_engine).is_none());
    assert!(term_engine.for_term(Some(3), new_engine).is_some());
}
