//! Requests as earlier builds encode and decode them.

use {
    gate::call::Request,
    work::{
        id,
        upstream::{NumberedReport, OpenStart, StartReport},
    },
};

/// [`Request::Starts`] with [`report`], as build 9f8cdde encodes it.
const STARTS: &[u8] = &[
    11, 192, 132, 61, 1, 180, 36, 1, 2, 0, 7, 1, 3, 105, 45, 49, 180, 36, 1, 2, 1, 8, 1, 220, 11,
];

fn report() -> StartReport {
    let task = |index| id::Task {
        job: id::Job(0x1234),
        occurrence: 1,
        step: 2,
        index,
    };
    StartReport {
        covered_ms: 1_000_000,
        settled: vec![(task(0), 7)],
        open: vec![OpenStart {
            upstream: "i-1".into(),
            task: task(1),
            run: 8,
            left_ms: Some(1500),
        }],
    }
}

/// Guards against a report of an earlier build that is not understood, and one that an earlier build does not understand.
#[test]
fn the_unnumbered_report_is_encoded_as_before() {
    let decoded: Request = postcard::from_bytes(STARTS).unwrap();
    assert!(
        matches!(&decoded, Request::Starts(told) if *told == report()),
        "{decoded:?}"
    );
    let encoded = postcard::to_stdvec(&Request::Starts(report())).unwrap();
    assert_eq!(encoded, STARTS);
}

/// Guards against a numbered report that an earlier build takes for another request: it has a number that they do not know.
#[test]
fn the_numbered_report_is_a_new_request() {
    let numbered = NumberedReport {
        term: 3,
        number: 4,
        report: report(),
    };
    let encoded = postcard::to_stdvec(&Request::NumberedStarts(numbered.clone())).unwrap();
    assert_eq!(encoded[0], STARTS[0] + 1);
    let decoded: Request = postcard::from_bytes(&encoded).unwrap();
    assert!(
        matches!(&decoded, Request::NumberedStarts(told) if *told == numbered),
        "{decoded:?}"
    );
}
