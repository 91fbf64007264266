//! Messages between two instances without sockets, on a manual clock.

use {
    control::instance::Exchange as _,
    daemon::requests::{Exchange, Levels, Slot},
    entry::Desk,
    indexmap::IndexMap,
    model::{
        clock::{Clock, Manual},
        place::Site,
        upstream::{Announcement, Upstream},
    },
    route::{Event, Router, Settings, member::Peer},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const MAX_DEADLINE: Duration = Duration::from_secs(1);

const STEP: Duration = Duration::from_millis(500);

const UPSTREAMS: u64 = 20;

/// One instance's part in the messages.
struct Side {
    desk: Arc<Desk>,
    exchange: Exchange,
}

impl Side {
    fn new(id: u64, clock: &Arc<Manual>) -> Side {
        let clock: Arc<dyn Clock> = clock.clone();
        let router = Router::new(Settings::new(id, 7, site()));
        let slot = Slot::default();
        let desk = Desk::new(router, clock.clone(), Arc::new(slot.clone()));
        let levels = Arc::new(Levels::new("a1", slot, clock));
        let region = site().region;
        let peers = [1, 2].map(|id| Peer {
            id,
            region: region.clone(),
        });
        desk.observe(Event::Peers(peers.to_vec()));
        let homes = IndexMap::from([(region, "north".to_owned())]);
        let exchange = Exchange::new(desk.clone(), homes, vec![1, 2], MAX_DEADLINE, levels);
        Side { desk, exchange }
    }

    fn slots(&self) -> u32 {
        self.desk.with(|router, _| router.slots().0)
    }
}

fn site() -> Site {
    Site {
        region: "north".into(),
        data_centre: "north-a".into(),
    }
}

fn announcement(number: u64, sequence: u64, busy: Option<u16>) -> Announcement {
    Announcement {
        upstream: Upstream {
            name: format!("upstream-{number}"),
            service: "fit".into(),
            site: site(),
            address: format!("127.0.0.1:{}", 9000 + number),
            slots: 8,
            connections: 64,
        },
        sequence,
        departing: false,
        busy,
    }
}

fn announce(side: &Side, round: u64) {
    for number in 0..UPSTREAMS {
        let busy = (number % 2 == 0).then_some(0);
        side.desk
            .observe(Event::Announced(announcement(number, round, busy)));
    }
}

/// One report of the holder; returns the bytes of the answer, which may be lost on its way.
fn report(leader: &Side, holder: &Side, term: u64, since: Instant, lost: bool) -> usize {
    let demand = holder.exchange.demand("north");
    let grants = leader.exchange.grant("north", &demand, term, since);
    if !lost {
        holder.exchange.granted(&grants);
    }
    grants.len()
}

/// Guards against shares that are lost, or go on after their leadership, because a grant that names an
/// earlier one is not completed or is completed from the wrong one.
#[test]
fn a_grant_that_repeats_its_shares_is_short_and_renews_all_of_them() {
    let clock = Arc::new(Manual::new());
    let (leader, holder) = (Side::new(1, &clock), Side::new(2, &clock));
    let since = clock.now();
    let mut sizes = Vec::new();
    for round in 1..=40 {
        clock.advance(STEP);
        announce(&leader, round);
        announce(&holder, round);
        sizes.push(report(&leader, &holder, 1, since, false));
    }
    let all = holder.slots();
    assert!(all > 0, "no share was granted: {sizes:?}");
    let (longest, last) = (sizes.iter().max(), sizes.last());
    assert!(
        last.zip(longest)
            .is_some_and(|(last, longest)| last * 3 < *longest),
        "an unchanged grant is not short: {sizes:?}"
    );
    for round in 41..=60 {
        clock.advance(STEP);
        announce(&leader, round);
        announce(&holder, round);
        report(&leader, &holder, 1, since, round % 3 == 0);
        assert_eq!(holder.slots(), all, "a lost grant changed the shares");
    }
    // The next leader knows nothing of the grants of the last one.
    let since = clock.now();
    let sizes: Vec<usize> = (61..=80)
        .map(|round| {
            clock.advance(STEP);
            announce(&leader, round);
            announce(&holder, round);
            report(&leader, &holder, 2, since, false)
        })
        .collect();
    assert_eq!(
        holder.slots(),
        all,
        "shares changed with the leader: {sizes:?}"
    );
}

/// Guards against shares that stay charged to an instance after its graceful shutdown: a grant was on its way to it when
/// its listener had closed.
#[test]
fn the_last_report_hands_all_shares_back() {
    let clock = Arc::new(Manual::new());
    let (leader, leaving) = (Side::new(1, &clock), Side::new(2, &clock));
    let since = clock.now();
    let mut round = 0;
    let mut step = |is_leaving: bool| {
        clock.advance(STEP);
        round += 1;
        announce(&leader, round);
        announce(&leaving, round);
        if !is_leaving {
            report(&leader, &leaving, 1, since, false);
        }
        report(&leader, &leader, 1, since, false);
    };
    (0..40).for_each(|_| step(false));
    let shared = leader.slots();
    assert!(leaving.slots() > 0, "nothing was shared");
    report(&leader, &leaving, 1, since, true);
    leaving.desk.observe(Event::Drain);
    leaving.desk.observe(Event::Closed);
    report(&leader, &leaving, 1, since, true);
    (0..4).for_each(|_| step(true));
    assert_eq!(leader.slots(), UPSTREAMS as u32 * 8, "{shared} before");
}

/// Guards against membership messages that lose an upstream or its optional fields in the compact encoding.
#[test]
fn an_upstream_reaches_the_other_instance_as_it_was_announced() {
    let clock = Arc::new(Manual::new());
    let (one, two) = (Side::new(1, &clock), Side::new(2, &clock));
    for round in 1..=6 {
        clock.advance(STEP);
        announce(&one, round);
        for (sender, receiver) in [(&one, &two), (&two, &one)] {
            for (_, message) in sender.exchange.gossip() {
                receiver.exchange.merge(&message);
            }
        }
    }
    let known = |side: &Side| {
        side.desk.with(|router, now| {
            let all = router.members().all(now);
            let mut all: Vec<Announcement> = all.map(|(one, _)| one.clone()).collect();
            all.sort_by(|a, b| a.upstream.name.cmp(&b.upstream.name));
            all
        })
    };
    assert_eq!(known(&one).len() as u64, UPSTREAMS);
    assert_eq!(known(&one), known(&two));
}
