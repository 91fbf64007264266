use {
    super::Control,
    gate::{Outcome, call::Request},
    quorum::Change,
    std::{sync::PoisonError, time::Duration},
    tokio::time,
};

/// Interval of greetings to the leader, and of looks at the member list. A lost disk must be replaced within a few
/// seconds, each of its steps taking one interval.
const INTERVAL: Duration = Duration::from_millis(400);

/// Wait for an answer to a greeting.
const PATIENCE: Duration = Duration::from_millis(800);

/// Keeps the replica open and this instance among the members.
pub(super) async fn run(control: Control) {
    loop {
        control.shared.replica.ensure_open();
        let now = control.shared.clock.now();
        let wall_ms = control.shared.clock.wall_ms();
        control.agreed().observe(control.shared.id, wall_ms, now);
        match control.shared.replica.leading_term() {
            Some(_) => change_members(&control),
            None => greet(&control, wall_ms).await,
        }
        time::sleep(INTERVAL).await;
    }
}

async fn greet(control: &Control, wall_ms: u64) {
    let Some(member) = control.shared.replica.member() else {
        return;
    };
    let heard = control.shared.heard.lock();
    let heard = std::mem::take(&mut *heard.unwrap_or_else(PoisonError::into_inner));
    let request = Request::Greeting {
        member,
        wall_ms,
        heard: heard.into_iter().collect(),
    };
    let leader = control
        .leader()
        .filter(|leader| *leader != control.shared.id);
    if leader.is_some() {
        control.shared.gate.targets().set_leader(leader);
    }
    match control.shared.gate.call(&request, PATIENCE).await {
        Outcome::Answered(_) => {}
        Outcome::NotRun(reason) | Outcome::Unknown(reason) => {
            log::debug!("event=greeting_failed error=\"{reason}\"");
        }
    }
}

fn change_members(control: &Control) {
    let Some(me) = control.shared.replica.member() else {
        return;
    };
    let now = control.shared.clock.now();
    let members = control.shared.replica.view().members;
    let change = roster::decide(
        me,
        &members,
        &control.contacts(),
        &control.shared.roster,
        now,
    );
    if let Some(change) = change {
        log_change(&change, members.voters.len());
        control.shared.replica.change(change);
    }
}

fn log_change(change: &Change, voters: usize) {
    log::info!("event=members_change change=\"{change:?}\" voters={voters}");
}
