use {
    super::helpers::{addresses, heartbeat, spawn, until},
    dispatch::Control,
    gate::{
        Outcome,
        call::{Reply, Request},
    },
    std::time::Duration,
    work::{
        config::Config,
        upstream::{NumberedReport, Speed, StartReport},
    },
};

/// Guards against two groups when three seeds start in any order, and against instances that are not seeds and never
/// become members.
#[tokio::test]
async fn seeds_form_one_group_and_the_others_join() {
    let addresses = addresses(5);
    let folders: Vec<_> = (0..5).map(|_| tempfile::tempdir().unwrap()).collect();
    let mut controls = Vec::new();
    for order in [3, 1, 4, 0, 2] {
        let folder = folders[order].path();
        controls.push(spawn(addresses[order], &addresses[..3], folder, true));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    until("five voters", async || {
        controls
            .iter()
            .all(|control| control.replica().view().members.voters.len() == 5)
    })
    .await;
    let config = Box::new(Config {
        version: 7,
        source: b"seven".to_vec(),
        ..Config::default()
    });
    let timeout = Duration::from_secs(5);
    for control in &controls {
        let outcome = control
            .call(Request::Configure(config.clone()), timeout)
            .await;
        assert_eq!(outcome, Outcome::Answered(Reply::Done));
        let outcome = control.call(Request::Configuration, timeout).await;
        assert_eq!(
            outcome,
            Outcome::Answered(Reply::Configuration(b"seven".to_vec()))
        );
    }
    let leading = controls
        .iter()
        .filter(|control| control.replica().leading_term().is_some());
    assert_eq!(leading.count(), 1);
}

fn is_draining(control: &Control) -> Option<bool> {
    let state = control.replica().state()?;
    let registry = state.registry();
    registry
        .upstream(&"i-1".into())
        .map(|upstream| upstream.draining)
}

/// Guards against a departure that an instance acknowledges but never reports to the leader, and against an old
/// heartbeat that reverts it.
#[tokio::test]
async fn every_instance_accepts_heartbeats() {
    let addresses = addresses(3);
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let start = |number: usize| spawn(addresses[number], &addresses, folders[number].path(), true);
    let controls: Vec<Control> = (0..3).map(start).collect();
    let timeout = Duration::from_secs(20);
    let done = Outcome::Answered(Reply::Done);
    for (number, control) in controls.iter().enumerate() {
        let sequence = number as u64 + 1;
        assert_eq!(
            control.call(heartbeat(sequence, false), timeout).await,
            done
        );
    }
    for control in &controls {
        until("a known upstream", async || {
            is_draining(control) == Some(false)
        })
        .await;
    }
    let follower = controls
        .iter()
        .find(|control| control.replica().leading_term().is_none());
    let follower = follower.unwrap();
    assert_eq!(follower.call(heartbeat(8, true), timeout).await, done);
    let leader = controls
        .iter()
        .find(|control| control.replica().leading_term().is_some());
    assert_eq!(is_draining(leader.unwrap()), Some(true));
    assert_eq!(follower.call(heartbeat(7, false), timeout).await, done);
    assert_eq!(is_draining(leader.unwrap()), Some(true));
}

/// Guards against a replaced disk that forms a new group: unless it is the first start, the instance must wait for the
/// others.
#[tokio::test]
async fn an_empty_disk_alone_never_forms_a_group() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), false);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(control.replica().view().members.voters.is_empty());
    let outcome = control
        .call(Request::Configuration, Duration::from_millis(300))
        .await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
}

/// Guards against a damaged disk that stops the instance: it must start again empty, with a new incarnation.
#[tokio::test]
async fn a_damaged_disk_is_cleared() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path()).unwrap();
    std::fs::write(folder.path().join("incarnation"), b"not an identity").unwrap();
    let control = spawn(address, &[address], folder.path(), false);
    until("an opened replica", async || {
        control.replica().member().is_some()
    })
    .await;
}

/// Guards against followers that refuse what the leader tells of its starts, with or without a number, and against a leader
/// that refuses what another one tells.
#[tokio::test]
async fn every_instance_accepts_starts() {
    let addresses = addresses(3);
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let start = |number: usize| spawn(addresses[number], &addresses, folders[number].path(), true);
    let controls: Vec<Control> = (0..3).map(start).collect();
    let timeout = Duration::from_secs(20);
    for control in &controls {
        for request in [
            Request::Starts(StartReport::default()),
            Request::NumberedStarts(NumberedReport::default()),
        ] {
            let outcome = control.call(request, timeout).await;
            assert_eq!(outcome, Outcome::Answered(Reply::Done));
        }
    }
}

/// Guards against followers that refuse what the leader tells of the speeds, and against a leader that takes it from another.
#[tokio::test]
async fn every_instance_accepts_speeds() {
    let addresses = addresses(3);
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let start = |number: usize| spawn(addresses[number], &addresses, folders[number].path(), true);
    let controls: Vec<Control> = (0..3).map(start).collect();
    let timeout = Duration::from_secs(20);
    let speed = Speed {
        upstream: "i-1".into(),
        born_ms: 1,
        level: -50,
        error: 12,
    };
    for control in &controls {
        let request = Request::Speeds(vec![speed.clone()]);
        let outcome = control.call(request, timeout).await;
        assert_eq!(outcome, Outcome::Answered(Reply::Done));
    }
}
