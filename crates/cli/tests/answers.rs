//! Answers that no instance of this version sends.

mod common;

use {
    cli::Exit,
    common::{Act, Stand, run_raw},
    proptest::{prelude::*, test_runner::RngSeed},
};

/// Calls a stand-in that sends `bytes` to every request.
fn call(bytes: Vec<u8>, arguments: &[&str], seconds: &str) -> common::Ran {
    let stand = Stand::start(vec![Act::Raw(bytes)]);
    let limits = ["--try-timeout", seconds, "--timeout", seconds];
    run_raw(Some(stand.address.clone()), &[arguments, &limits].concat())
}

fn response(status: u16, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

const COMMANDS: [&[&str]; 8] = [
    &["report"],
    &["job", "list"],
    &["job", "show", "x-1"],
    &["job", "why", "x-1"],
    &["worker", "list"],
    &["note", "status"],
    &["note", "history", "4"],
    &["job", "cancel", "x-1"],
];

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a panic or a success on bytes that are not an answer of the API.
    #[test]
    fn survives_any_bytes(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        command in 0..COMMANDS.len(),
    ) {
        let ran = call(bytes, COMMANDS[command], "0.05");
        prop_assert_ne!(ran.exit, Exit::Done);
        prop_assert!(!ran.err.contains('\x1b'));
    }

    /// Guards against a panic on JSON of another form, and against a change that is called done
    /// without the promised answer.
    #[test]
    fn survives_any_json(
        json in "(null|1|\\{\\}|\\[\\]|\"[a-z\\\\u001b]{0,9}\"|\\[\\{\"id\":1\\}\\]|\\{\"line\":[0-9e]{1,4}\\}|\\[{1,300})",
        status in 200u16..600,
        command in 0..COMMANDS.len(),
    ) {
        let ran = call(response(status, json.as_bytes()), COMMANDS[command], "0.05");
        let listing = json == "[]" && (200..300).contains(&status);
        prop_assert!(ran.exit != Exit::Done || listing, "{:?}", ran);
        if COMMANDS[command].contains(&"cancel") && (200..300).contains(&status) {
            prop_assert!(matches!(ran.exit, Exit::Unknown), "{:?}", ran);
        }
        prop_assert!(!ran.err.contains('\x1b'));
    }
}

/// Guards against memory spent on an answer without end.
#[test]
fn bounds_the_length_of_answers() {
    // The limit of a call also ends the tries, so that only one long answer is sent.
    let answer = response(200, &vec![b' '; 17 * 1024 * 1024]);
    let ran = call(answer, &["job", "list"], "5");
    assert_eq!(ran.exit, Exit::Unreachable);
    assert!(ran.err.contains("length limit exceeded"), "{}", ran.err);
}
