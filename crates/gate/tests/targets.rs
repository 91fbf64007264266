//! Choice of the control instance to call.

use gate::client::Targets;

/// Guards against further calls to a leader that does not answer.
#[test]
fn a_leader_that_fails_is_forgotten() {
    let mut targets = Targets::default();
    assert_eq!(targets.pick(&[]), None);
    targets.set_seeds(vec![1, 2]);
    targets.set_leader(Some(7));
    assert_eq!(targets.pick(&[]), Some(7));
    targets.fail(1);
    assert_eq!(targets.pick(&[]), Some(7));
    targets.fail(7);
    assert!(matches!(targets.pick(&[]), Some(1 | 2)));
}

/// Guards against waiting for an unresponsive leader while another instance could be called.
#[test]
fn an_unresponsive_leader_is_skipped() {
    let mut targets = Targets::default();
    targets.set_seeds(vec![1, 2]);
    targets.set_leader(Some(1));
    assert_eq!(targets.pick(&[1]), Some(2));
    assert_eq!(targets.pick(&[1, 2]), None);
    assert_eq!(targets.leader(), Some(1));
}

/// Guards against calling the same dead seed again and again.
#[test]
fn all_known_instances_are_called_in_turn() {
    let mut targets = Targets::default();
    targets.set_seeds(vec![1, 2, 3]);
    targets.set_members(vec![3, 4]);
    let mut called: Vec<u64> = (0..4).filter_map(|_| targets.pick(&[])).collect();
    called.sort_unstable();
    assert_eq!(called, [1, 2, 3, 4]);
}
