//! Tests of the linearizability check that the consistency tests use.

#[path = "net/linearizability.rs"]
mod linearizability;

use linearizability::{Action, Operation, check};

fn write(start: u64, end: u64, expected: u64, new: u64) -> Operation {
    Operation {
        start,
        end,
        action: Action::Write { expected, new },
    }
}

fn found(start: u64, end: u64, value: u64) -> Operation {
    Operation {
        start,
        end,
        action: Action::Found { value },
    }
}

/// Guards against a check that rejects overlapping operations and unanswered writes.
#[test]
fn accepts_linearizable_histories() {
    let unanswered = write(5, u64::MAX, 1, 2);
    assert_eq!(
        check(&[
            write(0, 10, 0, 1),
            found(2, 4, 0),
            found(3, 9, 1),
            unanswered
        ]),
        Ok(())
    );
    assert_eq!(
        check(&[write(0, 10, 0, 1), unanswered, found(12, 13, 2)]),
        Ok(())
    );
}

/// Guards against a check that accepts stale reads, lost updates and values that nobody wrote.
#[test]
fn rejects_other_histories() {
    assert!(check(&[write(0, 10, 0, 1), found(11, 12, 0)]).is_err());
    assert!(check(&[write(0, 10, 0, 1), found(2, 3, 1), found(4, 5, 0)]).is_err());
    assert!(check(&[write(0, 10, 0, 1), write(0, 10, 0, 2)]).is_err());
    assert!(check(&[write(0, 10, 0, 1), write(20, 30, 1, 2), found(11, 12, 2)]).is_err());
    assert!(check(&[found(0, 1, 7)]).is_err());
}
