use {
    super::{Instance, Query, Report, handler::CONFIG},
    crate::state::Command,
    indexmap::IndexSet,
    quorum::Change,
    std::{sync::Arc, time::Duration},
    tokio::time,
    wire::Update,
};

/// Interval of the questions for newer configuration; each renews the lease.
const FOLLOW_EVERY: Duration = Duration::from_millis(1000);

/// Pause before another instance is asked when the one asked does not lead.
const FOLLOW_RETRY: Duration = Duration::from_millis(100);

/// Interval of reports to the leaders of the region groups.
///
/// Each report costs a call, an answer and two acknowledgements whatever it holds, so this interval sets the
/// idle traffic of the region leader. Shares have leases of 3 s and survive five lost reports.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Interval of gossip with each other instance.
const GOSSIP_EVERY: Duration = Duration::from_millis(500);

/// Interval at which the members of the groups are compared with the settings.
const MEMBERS_EVERY: Duration = Duration::from_millis(500);

/// Interval at which the config leader removes outcomes that need not be kept. The controllers do the same
/// for the region groups, but the configuration group has none.
const EXPIRE_EVERY: Duration = Duration::from_secs(600);

/// Starts the loops of an instance; they end when it is stopped.
pub(super) fn spawn(instance: &Arc<Instance>) {
    tokio::spawn(follow(instance.clone()));
    tokio::spawn(join(instance.clone()));
    tokio::spawn(promote(instance.clone()));
    let groups: IndexSet<String> = instance.setup.homes.values().cloned().collect();
    for group in groups {
        tokio::spawn(report(instance.clone(), group));
    }
    tokio::spawn(gossip(instance.clone()));
    tokio::spawn(expire(instance.clone()));
}

/// Keeps the configuration and the lease on it current.
async fn follow(instance: Arc<Instance>) {
    let Some(members) = instance.setup.groups.get(CONFIG).cloned() else {
        return;
    };
    let mut index = 0;
    while !instance.is_stopped() {
        let target = instance.hint(CONFIG).unwrap_or_else(|| {
            index += 1;
            members[index % members.len()]
        });
        let sent = instance.setup.clock.now();
        let applied = instance.follower.number();
        let own = (instance.setup.id, instance.setup.incarnation);
        let update = if target == instance.setup.id {
            Ok(instance.lead_follower(own, applied).await)
        } else {
            instance.peers.follow(target, own.1, applied).await
        };
        match update {
            Ok(Update::Current { lease, config }) => {
                instance.remember(CONFIG, target);
                let config = config.and_then(|bytes| serde_json::from_slice(&bytes).ok());
                let fresh = config.is_some();
                instance.follower.update(config, sent, lease);
                // A changed number is reported at once, so that the note is soon known to be in force.
                if !(fresh && instance.follower.number() != applied) {
                    time::sleep(FOLLOW_EVERY).await;
                }
            }
            Ok(Update::NotLeader(leader)) => {
                match leader.filter(|id| *id != target) {
                    Some(leader) => instance.remember(CONFIG, leader),
                    None => drop(instance.hints().shift_remove(CONFIG)),
                }
                time::sleep(FOLLOW_RETRY).await;
            }
            Err(_) => {
                instance.hints().shift_remove(CONFIG);
                time::sleep(FOLLOW_RETRY).await;
            }
        }
    }
}

/// Asks to join each group of this instance whose member list does not have its disk.
async fn join(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        for group in instance.groups.values() {
            let member = group.member();
            if group.view().members.is_voter(member) {
                continue;
            }
            let query = Query::Join {
                id: member.id,
                incarnation: member.incarnation,
            };
            drop(instance.query::<()>(group.name(), &query).await);
        }
        time::sleep(MEMBERS_EVERY).await;
    }
}

/// As a leader, makes learners voters; the consensus core refuses until they have caught up.
async fn promote(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        for group in instance.groups.values() {
            let view = group.view();
            if view.leading_since.is_none() || view.members.is_joint() {
                continue;
            }
            if let Some(learner) = view.members.learners.first() {
                group.change(Change::Promote(*learner));
            }
        }
        time::sleep(MEMBERS_EVERY).await;
    }
}

/// Reports the workers heard of and the demand of the request path to one group's leader.
async fn report(instance: Arc<Instance>, group: String) {
    while !instance.is_stopped() {
        time::sleep(REPORT_EVERY).await;
        let report = Report {
            workers: instance.take_relay(&group),
            demand: instance.setup.exchange.demand(&group),
        };
        if report.workers.is_empty() && report.demand.is_empty() {
            continue;
        }
        let Ok(bytes) = postcard::to_stdvec(&report) else {
            continue;
        };
        match instance.report(&group, &bytes).await {
            Ok(grants) => instance.setup.exchange.granted(&grants),
            Err(error) => log::warn!("event=report_failed group={group} error=\"{error}\""),
        }
    }
}

/// As the config leader, removes outcomes of submissions that are past their time.
async fn expire(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        time::sleep(EXPIRE_EVERY).await;
        let Some(group) = instance.groups.get(CONFIG) else {
            return;
        };
        if group.view().leading_since.is_some() {
            let at_ms = instance.setup.clock.wall_ms();
            drop(group.propose(Command::Expire { at_ms }.encode()).await);
        }
    }
}

/// Sends membership messages to the other instances.
async fn gossip(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        time::sleep(GOSSIP_EVERY).await;
        for (to, message) in instance.setup.exchange.gossip() {
            let peers = instance.peers.clone();
            tokio::spawn(async move { drop(peers.gossip(to, message).await) });
        }
    }
}
