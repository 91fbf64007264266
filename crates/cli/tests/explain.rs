//! The story of a job from the logs of several instances.

mod common;

use {
    cli::Exit,
    common::{Files, run},
    serde_json::Value,
};

const CONTROL: &str = "\
time=2026-05-04T12:18:25.100Z level=INFO source=dispatch event=job_submitted job=5c0e7a21d94b36f8 queue=q outcome=committed
time=2026-05-04T12:18:25.110Z level=INFO source=plan event=run_start task=5c0e7a21d94b36f8.0.0.1 run=1 upstream=i-7 try=1
time=2026-05-04T12:18:25.300Z level=INFO source=plan event=run_start task=aaaaaaaaaaaaaaaa.0.0.1 run=1 upstream=i-8 try=1
time=2026-05-04T12:18:26.000Z level=WARN source=plan event=upstream_lost upstream=i-7 error=\"no answer: nothing within 500 ms\"
time=2026-05-04T12:18:26.100Z level=WARN source=plan event=upstream_lost upstream=i-8 error=\"no answer\"
time=2026-05-04T12:18:26.200Z level=WARN source=replica event=leadership_left group=work reason=disk_full
time=2026-05-04T12:18:27.000Z level=INFO source=plan event=run_void task=5c0e7a21d94b36f8.0.0.1 run=1 upstream=i-7 reason=lapsed
";

const ENTRY: &str = "\
   1.2 edge-1 time=2026-05-04T12:18:25.099Z level=INFO source=front event=request kind=submit path=/p/5c0e7a21d94b36f8 status=200
not a line of a log
";

/// Guards against a story that leaves out another instance's lines or the fault of an upstream, or drowns in lines
/// about other jobs.
#[test]
fn tells_the_story_in_order_of_time() {
    let files = Files::new();
    let (control, entry) = (
        files.write("control.log", CONTROL),
        files.write("entry.log", ENTRY),
    );
    let ran = run(
        &[],
        &["explain", "5c0e7a21d94b36f8", &control, &entry, "--json"],
    );
    assert_eq!(ran.exit, Exit::Done, "{ran:?}");
    let rows: Vec<Value> = serde_json::from_str(&ran.out).unwrap();
    let events: Vec<&str> = rows
        .iter()
        .filter_map(|row| row["event"].as_str())
        .collect();
    assert_eq!(
        events,
        [
            "request",
            "job_submitted",
            "run_start",
            "upstream_lost",
            "leadership_left",
            "run_void"
        ]
    );
    assert_eq!(rows[3]["error"], "no answer: nothing within 500 ms");
    let ran = run(&[], &["explain", "5c0e7a21d94b36f8", &control]);
    assert!(ran.out.contains("run_void"), "{}", ran.out);
}

/// Guards against an empty answer that looks like a job without troubles.
#[test]
fn an_unknown_id_is_told() {
    let files = Files::new();
    let control = files.write("control.log", CONTROL);
    let ran = run(&[], &["explain", "0000000000000000", &control]);
    assert_eq!(ran.exit, Exit::Refused);
    assert!(ran.err.contains("no line is about"), "{}", ran.err);
}
