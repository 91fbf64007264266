use {
    super::{Instance, Method, Query, Report, handler::CONFIG},
    crate::{group::Group, peers, state::Command},
    futures::future,
    indexmap::IndexSet,
    quorum::Change,
    std::{sync::Arc, time::Duration},
    tokio::time,
    wire::{Update, Verdict},
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

/// Interval at which a group's leader removes records that need not be kept.
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
    for (name, members) in &instance.setup.groups {
        if let Some(group) = instance.groups.get(name)
            && instance.setup.bootstrap
            && members.first() == Some(&instance.setup.id)
            && !group.is_initialized()
        {
            tokio::spawn(found(instance.clone(), group.clone(), members.clone()));
        }
    }
}

/// Forms a group once a majority of its listed members, this one included, is known to hold nothing of it.
///
/// If the group exists and has a quorum, one of any majority holds it. An instance whose disk was replaced
/// therefore joins the group instead of forming a second one.
async fn found(instance: Arc<Instance>, group: Group, members: Vec<u64>) {
    let name = group.name().to_owned();
    let mut told = false;
    let query = serde_json::to_vec(&Query::Holds).unwrap_or_default();
    while !instance.is_stopped() && !group.is_initialized() {
        let others = members.iter().filter(|id| **id != instance.setup.id);
        let answers = others.map(|id| async {
            let answer = instance.peers.query(*id, &name, &query).await;
            let holds = match answer {
                Ok(Verdict::Answer(bytes)) => serde_json::from_slice::<bool>(&bytes).ok(),
                _ => None,
            };
            (*id, holds)
        });
        let answers = future::join_all(answers).await;
        if let Some((holder, _)) = answers.iter().find(|(_, holds)| *holds == Some(true)) {
            log::warn!(
                "event=bootstrap_refused group={name} holder={holder} reason=\"the group exists; joining it\""
            );
            return;
        }
        let empty = answers
            .iter()
            .filter(|(_, holds)| *holds == Some(false))
            .count()
            + 1;
        if empty > members.len() / 2 {
            return group.bootstrap();
        }
        if !told {
            told = true;
            log::warn!(
                "event=bootstrap_waits group={name} empty={empty} members={} reason=\"a majority of the \
                 members must answer that it holds nothing of the group\"",
                members.len()
            );
        }
        time::sleep(MEMBERS_EVERY).await;
    }
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
            // A replica that waits for its disk does not answer, and another instance may lead by now.
            let answer = instance.lead_follower(own, applied);
            time::timeout(instance.setup.call_timeout, answer)
                .await
                .map_err(|error| peers::Error::NoAnswer(error.to_string()))
        } else {
            let result = instance.peers.follow(target, own.1, applied).await;
            instance.calls.made(Method::Follow, result)
        };
        match update {
            Ok(Update::Current {
                lease,
                config,
                drained,
            }) => {
                instance.set_drained(drained);
                instance.remember(CONFIG, target);
                let Ok(config) = config
                    .map(|bytes| serde_json::from_slice(&bytes))
                    .transpose()
                else {
                    // Without the newer configuration the lease on the older one must end.
                    log::error!("event=config_malformed sender={target}");
                    time::sleep(FOLLOW_EVERY).await;
                    continue;
                };
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
            // One that has not caught up, for example because it is down, must not keep the others waiting.
            for learner in &view.members.learners {
                group.propose_change(Change::Promote(*learner));
            }
        }
        time::sleep(MEMBERS_EVERY).await;
    }
}

/// Reports the workers heard of and the demand of the request path to one group's leader.
async fn report(instance: Arc<Instance>, group: String) {
    while !instance.is_stopped() {
        time::sleep(REPORT_EVERY).await;
        report_once(&instance, &group).await;
    }
}

/// Reports once to the leaders of all groups that keep shares.
pub(super) async fn report_all(instance: &Instance) {
    let groups: IndexSet<&String> = instance.setup.homes.values().collect();
    future::join_all(groups.into_iter().map(|group| report_once(instance, group))).await;
}

async fn report_once(instance: &Instance, group: &str) {
    let report = Report {
        workers: instance.take_relay(group),
        demand: instance.setup.exchange.demand(group),
    };
    if report.workers.is_empty() && report.demand.is_empty() {
        return;
    }
    let Ok(bytes) = postcard::to_stdvec(&report) else {
        return;
    };
    match instance.report(group, &bytes).await {
        Ok(grants) => instance.setup.exchange.granted(&grants),
        Err(error) => log::warn!("event=report_failed group={group} error=\"{error}\""),
    }
}

/// As the leader of a group, removes its records that are past their time.
async fn expire(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        time::sleep(EXPIRE_EVERY).await;
        for group in instance.groups.values() {
            if group.view().leading_since.is_some() {
                let at_ms = instance.setup.clock.wall_ms();
                drop(group.propose(Command::Expire { at_ms }.encode()).await);
            }
        }
    }
}

/// Sends membership messages to the other instances.
async fn gossip(instance: Arc<Instance>) {
    while !instance.is_stopped() {
        time::sleep(GOSSIP_EVERY).await;
        for (to, message) in instance.setup.exchange.gossip() {
            let own = instance.clone();
            tokio::spawn(async move {
                let result = own.peers.gossip(to, message).await;
                drop(own.calls.made(Method::Gossip, result));
            });
        }
    }
}
