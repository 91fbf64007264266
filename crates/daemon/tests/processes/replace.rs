use {
    super::{cluster::Cluster, operators::Operators},
    std::time::Duration,
    tokio::time,
};

/// Guards against a replaced disk that votes or counts before it holds what its predecessor had acknowledged:
/// a second instance is lost right after the repair.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut cluster = Cluster::spawn(4, 3).await;
    cluster.first_note().await;
    let operators = Operators::spawn(&cluster, 4);
    for (replaced, lost) in [(2, 1), (0, 2)] {
        time::sleep(Duration::from_secs(1)).await;
        cluster.kill(replaced);
        cluster.wipe(replaced);
        // The empty disk gets no `--bootstrap`, so it can only join.
        cluster.start(replaced, false);
        let witness = (0..3)
            .find(|index| ![replaced, lost].contains(index))
            .unwrap();
        repaired(&cluster, witness, replaced).await;
        cluster.kill(lost);
        time::sleep(Duration::from_secs(3)).await;
        cluster.start(lost, false);
        cluster.voters(witness, 3).await;
    }
    let acknowledged = operators.check(&cluster, 3).await;
    assert!(acknowledged > 0, "no note was acknowledged");
}

/// Waits until the replaced instance itself knows that it is a voter of each group.
async fn repaired(cluster: &Cluster, witness: usize, replaced: usize) {
    cluster.voters(witness, 3).await;
    cluster.voters(replaced, 3).await;
}
