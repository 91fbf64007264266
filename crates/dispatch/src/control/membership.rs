use {
    super::{Control, handover::Telling},
    gate::{Outcome, call::Request},
    quorum::Change,
    std::{sync::PoisonError, time::Duration},
    tokio::time,
};

/// Timeout of a greeting.
const GREETING_TIMEOUT: Duration = Duration::from_millis(800);

/// Keeps the replica open and this instance in the group: as leader it changes the members and tells them what the
/// next leader has to know, otherwise it sends greetings to the leader.
pub(super) async fn run(control: Control) {
    let mut last = None;
    let mut telling = Telling::default();
    loop {
        control.shared.replica.ensure_open();
        let now = control.shared.clock.now();
        let wall_ms = control.shared.clock.wall_ms();
        control
            .median_clock()
            .observe(control.shared.id, wall_ms, now);
        let change = match control.shared.replica.leading_term() {
            Some(_) => {
                telling.tell_if_due(&control);
                change_members(&control, last.as_ref())
            }
            None => {
                send_greeting(&control, wall_ms).await;
                None
            }
        };
        time::sleep(roster::next_check_delay(change.as_ref())).await;
        last = change;
    }
}

async fn send_greeting(control: &Control, wall_ms: u64) {
    let Some(member) = control.shared.replica.member() else {
        return;
    };
    let acknowledged = control.shared.acknowledged.lock();
    let acknowledged = std::mem::take(&mut *acknowledged.unwrap_or_else(PoisonError::into_inner));
    let request = Request::Greeting {
        member,
        wall_ms,
        heard: acknowledged.into_iter().collect(),
    };
    let leader = control
        .leader()
        .filter(|leader| *leader != control.shared.id);
    if leader.is_some() {
        control.shared.client.targets().set_leader(leader);
    }
    match control.shared.client.call(&request, GREETING_TIMEOUT).await {
        Outcome::Answered(_) => {}
        Outcome::NotRun(reason) | Outcome::Unknown(reason) => {
            log::debug!("event=greeting_failed error=\"{reason}\"");
        }
    }
}

/// Proposes the membership change that is due. `last` is the previously proposed one, which may have been refused; it
/// is not logged again.
fn change_members(control: &Control, last: Option<&Change>) -> Option<Change> {
    let member = control.shared.replica.member()?;
    let now = control.shared.clock.now();
    let members = control.shared.replica.view().members;
    let change = roster::next_change(
        member,
        &members,
        &control.contacts(),
        &control.shared.roster,
        now,
    )?;
    if last != Some(&change) {
        log_change(&change, members.voters.len());
    }
    control.shared.replica.propose_change(change);
    Some(change)
}

fn log_change(change: &Change, voters: usize) {
    log::info!("event=members_change change=\"{change:?}\" voters={voters}");
}
