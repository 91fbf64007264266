//! Checks and differences of files.

mod common;

use {
    cli::{Exit, document::Document},
    common::{Files, NOTE, run_raw},
    model::note::Note,
    proptest::{prelude::*, test_runner::RngSeed},
    serde_json::Value,
};

fn check(content: &str, against: &[&str]) -> common::Ran {
    let files = Files::new();
    let file = files.write("note.jsonc", content);
    let mut arguments = vec!["note".to_owned(), "check".to_owned(), file];
    for (index, content) in against.iter().enumerate() {
        arguments.push("--against".into());
        arguments.push(files.write(&format!("base-{index}.jsonc"), content));
    }
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    run_raw(None, &arguments)
}

/// Guards against faults on the wrong line or without a remedy.
#[test]
fn points_at_the_line() {
    assert_eq!(check(NOTE, &[]).exit, Exit::Done);
    for (from, to, expected) in [
        (
            "\"tasks\": 2",
            "\"tasks\": 0",
            ":9: error: `reed.guarantees.night.shape` needs",
        ),
        (
            "\"target\": 0.99",
            "\"target\": 1.5",
            ":14: error: `reed.objectives[0].target` must",
        ),
        (
            "vestland/bergen-a",
            "coast",
            ":10: error: `reed.guarantees.night.place` is `coast`",
        ),
        (
            "[\"vestland\"]",
            "[]",
            ":5: error: client account `reed` has no permitted place",
        ),
        ("\"Add reed\"", "\" \"", ":3: error: `summary` is empty"),
        ("\"accelerators\": 4", "\"accelerators\": -4", ":9: error: "),
        (
            "\"places\"",
            "\"place\"",
            ":6: error: unknown field `place`",
        ),
        (
            "\"vestland\"",
            "\"Vestland\"",
            ":6: error: `Vestland` is not a place name",
        ),
        (
            "\"summary\": \"Add reed\",",
            "\"summary\" \"Add reed\",",
            ":3: error: ",
        ),
        (
            "\"objectives\"",
            "\"guarantees\"",
            ":13: error: `guarantees` is given twice, first on line 7",
        ),
        (
            "\"short\"",
            "\"quick\"",
            ":14: error: `reed.objectives[0].class` is `quick`",
        ),
    ] {
        let ran = check(&NOTE.replacen(from, to, 1), &[]);
        assert!(ran.err.contains(expected), "{expected}\n{ran:?}");
        let exit = if expected.contains("warning") {
            Exit::Done
        } else {
            Exit::Refused
        };
        assert_eq!(ran.exit, exit, "{to}");
    }
}

/// Guards against a check that passes what the instances refuse, and against one that refuses what
/// only a configuration can decide.
#[test]
fn checks_against_earlier_notes() {
    let second = r#"{ "summary": "Widen",
        "change": { "reed": { "weight": 2,
            "guarantees": { "day": { "shape": { "tasks": 1, "accelerators": 1 }, "place": "vestland" } } } },
        "withdraw": { "guarantees": { "reed": ["night"] }, "places": { "reed": ["trondelag"] } } }"#;
    assert_eq!(check(second, &[]).exit, Exit::Done);
    let ran = check(second, &[NOTE]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(
        ran.err
            .contains(":4: error: client account `reed` has no permitted place `trondelag`")
    );
    let fixed = second.replace(", \"places\": { \"reed\": [\"trondelag\"] }", "");
    let ran = check(&fixed, &[NOTE]);
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    assert!(ran.out.contains("makes configuration 2 out of 1"));
    let ran = check(NOTE, &[NOTE]);
    assert!(
        ran.err
            .contains(":5: error: client account `reed` exists already"),
        "{ran:?}"
    );
    let config = r#"{ "number": 8, "accounts": {} }"#;
    assert!(
        check(NOTE, &[config])
            .out
            .contains("makes configuration 9 out of 8")
    );
    assert_eq!(check(NOTE, &[NOTE, config]).exit, Exit::Usage);
}

/// Guards against memory, time or stack spent on files that no operator writes.
#[test]
fn bounds_files() {
    let deep = format!("{{\"summary\": {}{}}}", "[".repeat(40), "]".repeat(40));
    let deeper = "[".repeat(200_000);
    let many = format!("[{}]", "0,".repeat(60_000));
    let long = format!("{{\"summary\": \"{}\"}}", "x".repeat(1024 * 1024));
    for (content, reason) in [
        (&*deep, "deeper than 32"),
        (&deeper, "depth"),
        (&many, "more than 50000 values"),
        (&long, "more than 1048576 bytes"),
        ("", "is empty"),
        ("// nothing", "is empty"),
    ] {
        let ran = check(content, &[]);
        assert_eq!(ran.exit, Exit::Refused, "{reason}");
        assert!(
            ran.err.contains(reason),
            "{reason}: {}",
            &ran.err[..ran.err.len().min(300)]
        );
    }
    let files = Files::new();
    let file = files.write("note.jsonc", b"{\n\"summary\": \"\xff\"}");
    let ran = run_raw(None, &["note", "check", &file]);
    assert!(ran.err.contains(":2: error: is not UTF-8"), "{}", ran.err);
    assert_eq!(
        run_raw(None, &["note", "check", "missing.jsonc"]).exit,
        Exit::Refused
    );
}

/// Guards against differences that are lost, or shown where only comments or defaults differ.
#[test]
fn shows_differences_in_meaning() {
    let files = Files::new();
    let old = files.write("old.jsonc", NOTE);
    let diff = |content: &str| {
        let new = files.write("new.jsonc", content);
        run_raw(None, &["note", "diff", &old, &new])
    };
    let same = NOTE
        .replace("// The first account.", "")
        .replace("\"places\"", "\"weight\": 1, \"places\"");
    assert_eq!(diff(&same).out, "no differences\n");
    let ran = diff(
        &NOTE
            .replace(
                "[\"vestland\"]",
                "[\"vestland\", \"trondelag\"], \"quota\": 8",
            )
            .replace("0.99", "0.9"),
    );
    for line in [
        "+ add.reed.places: \"trondelag\"",
        "+ add.reed.quota: 8",
        "~ add.reed.objectives: ",
    ] {
        assert!(ran.out.contains(line), "{line}\n{}", ran.out);
    }
    // The first place sets the home region, so the order of places matters.
    let two = files.write(
        "two.jsonc",
        NOTE.replace("[\"vestland\"]", "[\"vestland\", \"trondelag\"]"),
    );
    let turned = files.write(
        "turned.jsonc",
        NOTE.replace("[\"vestland\"]", "[\"trondelag\", \"vestland\"]"),
    );
    let ran = run_raw(None, &["note", "diff", &two, &turned, "--json"]);
    let found: Value = serde_json::from_str(&ran.out).unwrap();
    assert_eq!(found[0]["path"], "add.reed.places");
    assert_eq!(
        diff("{ \"number\": 1, \"accounts\": {} }").exit,
        Exit::Refused
    );
}

fn mutated() -> impl Strategy<Value = String> {
    let edit = (
        0..NOTE.len(),
        0usize..12,
        "[\\[\\]{}\",:0-9a-z/*\\\\\\-. \n\u{1b}é]{0,8}",
    );
    proptest::collection::vec(edit, 1..6).prop_map(|edits| {
        let mut text = NOTE.to_owned();
        for (at, cut, insert) in edits {
            let mut start = at.min(text.len());
            while !text.is_char_boundary(start) {
                start -= 1;
            }
            let mut end = (start + cut).min(text.len());
            while !text.is_char_boundary(end) {
                end += 1;
            }
            text.replace_range(start..end, &insert);
        }
        text
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against a panic on a malformed note, a line outside the file, a note that the check
    /// passes but the instances refuse by its own values, and control characters in messages.
    #[test]
    fn survives_malformed_notes(text in mutated()) {
        let lines = text.lines().count() + 1;
        let ran = check(&text, &["{ \"number\": 0, \"accounts\": {} }"]);
        prop_assert!(!ran.err.contains('\x1b'));
        for fault in ran.err.lines().filter(|line| line.contains(": error: ")) {
            if let Some(line) = fault.split(':').nth(1).and_then(|part| part.parse::<usize>().ok()) {
                prop_assert!(line <= lines, "{fault}");
            }
        }
        let applies = Document::parse("note", text)
            .and_then(|document| document.read::<Note>())
            .is_ok_and(|note| model::config::Config::default().apply(&note).is_ok());
        prop_assert_eq!(ran.exit == Exit::Done, applies);
    }

    /// Guards against a panic on any text.
    #[test]
    fn survives_any_text(text in any::<String>()) {
        let _ = check(&text, &[&text]);
    }
}
