use {
    super::{
        helpers::{addresses, heartbeat, spawn},
        stored::state_on_disk,
    },
    dispatch::Control,
    gate::{
        Outcome,
        call::{Reply, Request},
    },
    std::time::Duration,
    work::registry::Order,
};

async fn is_evacuated(control: &Control, timeout: Duration) -> bool {
    let outcome = control.call(Request::DataCentres, timeout).await;
    let Outcome::Answered(Reply::DataCentres { data_centres, .. }) = outcome else {
        return false;
    };
    data_centres[0].name == "dc" && data_centres[0].evacuated_for_ms.is_some()
}

/// Guards against an evacuation that only some instances take or know, that is refused when it comes again, that is
/// acknowledged before most disks hold it, or that is lost with the leader.
#[tokio::test]
async fn evacuations_are_taken_by_all_instances_and_durable() {
    let addresses = addresses(3);
    let folders: Vec<_> = (0..3).map(|_| tempfile::tempdir().unwrap()).collect();
    let start = |number: usize| spawn(addresses[number], &addresses, folders[number].path(), true);
    let controls: Vec<Control> = (0..3).map(start).collect();
    let timeout = Duration::from_secs(20);
    let done = Outcome::Answered(Reply::Done);
    assert_eq!(controls[0].call(heartbeat(1, false), timeout).await, done);
    for control in &controls {
        let order = control.order_evacuation("dc", Order::Evacuate, timeout);
        assert_eq!(order.await, done);
        let disks = folders.iter().map(|folder| state_on_disk(folder.path()));
        assert!(
            disks
                .filter(|state| state.registry().is_evacuated("dc"))
                .count()
                >= 2
        );
        assert!(is_evacuated(control, timeout).await);
    }
    let leads = |control: &&Control| control.replica().leading_term().is_some();
    let leader = controls.iter().find(leads).unwrap();
    let follower = controls.iter().find(|control| !leads(control)).unwrap();
    leader.shutdown().await;
    assert!(is_evacuated(follower, timeout).await);
}

/// Guards against orders that keep each other from being carried out when many come at once, and against one that may be a
/// late copy and is carried out at once, or never.
#[tokio::test]
async fn evacuations_at_once_are_done_and_possible_copies_wait() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), true);
    let timeout = Duration::from_secs(20);
    let done = Outcome::Answered(Reply::Done);
    let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let orders = names.map(|name| control.order_evacuation(name, Order::Evacuate, timeout));
    let outcomes = futures::future::join_all(orders).await;
    assert!(
        outcomes.iter().all(|outcome| *outcome == done),
        "{outcomes:?}"
    );
    let order = |order, timeout| control.order_evacuation("a", order, timeout);
    assert_eq!(order(Order::Readmit, timeout).await, done);
    let early = order(Order::Evacuate, Duration::from_millis(400)).await;
    assert!(matches!(early, Outcome::NotRun(_)), "{early:?}");
    assert_eq!(order(Order::Evacuate, timeout).await, done);
}
