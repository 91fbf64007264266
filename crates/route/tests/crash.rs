//! Requests that crash the upstreams that they are sent to.

use {
    model::{
        place::Site,
        request::{Class, Ran},
        upstream::{Announcement, Upstream},
    },
    route::{
        Action, Event, Head, Outcome, Router, Settings,
        retry::Progress,
        share::{Grant, Share},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Upstreams to which a request may be sent before it is given up.
const MAX_CRASHES: usize = 3;

const UPSTREAMS: usize = 20;
const SLOTS: u16 = 2;

fn site() -> Site {
    Site {
        region: "north".into(),
        data_centre: "north-a".into(),
    }
}

/// A router that holds all slots of its upstreams.
fn router(now: Instant) -> Router {
    let mut router = Router::new(Settings::new(1, 1, site()));
    let config = r#"{"number":1,"accounts":{"acme":{"places":["north"]}}}"#;
    let config = Arc::new(serde_json::from_str(config).unwrap());
    router.observe(Event::Configured(Some(config)), now);
    let names = || (0..UPSTREAMS).map(|index| format!("u{index}"));
    // The first grant of a term raises no share.
    for sequence in 1..=2 {
        for name in names() {
            let announcement = Announcement {
                upstream: Upstream {
                    name,
                    service: "fit".into(),
                    site: site(),
                    address: "127.0.0.1:1".into(),
                    slots: SLOTS,
                    connections: 8,
                },
                sequence,
                departing: false,
                busy: Some(0),
            };
            router.observe(Event::Announced(announcement), now);
        }
        let report = router.report("north", now);
        let shares = names().map(|upstream| Share {
            upstream,
            slots: SLOTS,
        });
        let grant = Grant {
            region: "north".into(),
            instance: 1,
            boot: 1,
            term: 1,
            sequence,
            report: report.number,
            lease_ms: 3000,
            shares: shares.collect(),
        };
        router.observe(Event::Granted(grant), now);
    }
    router
}

/// Sends an idempotent request of which each attempt fails with this progress. Returns the number of attempts, and what
/// the refusal says, if it was refused.
fn attempts(progress: Progress) -> (usize, Option<Ran>) {
    let now = Instant::now() + Duration::from_secs(100);
    let mut router = router(now);
    let head = Head {
        request: 1,
        account: "acme".into(),
        class: Class::Short,
        service: "fit".into(),
        deadline: now + Duration::from_secs(10),
        idempotent: true,
        replayable: true,
    };
    let mut actions = router.offer(head, now);
    let mut sent = 0;
    loop {
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse { refusal, .. } => Some(refusal.ran),
            _ => None,
        });
        let attempt = actions.iter().find_map(|action| match action {
            Action::Send { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let Some(attempt) = attempt else {
            return (sent, refused);
        };
        sent += 1;
        if progress == Progress::Sent {
            router.observe(Event::Sent { attempt }, now);
        }
        let outcome = Outcome::Failed(progress);
        actions = router.observe(Event::Finished { attempt, outcome }, now);
    }
}

/// Guards against a request that crashes one upstream after another: it was sent to the next one as long as the retry
/// budget of all requests lasted.
#[test]
fn a_request_that_crashes_its_upstreams_is_given_up() {
    assert_eq!(attempts(Progress::Sent), (MAX_CRASHES, Some(Ran::Unknown)));
}

/// Guards against a limit that also counts upstreams which were never reached, although the request harmed none.
#[test]
fn upstreams_that_were_not_reached_do_not_count() {
    let (sent, refused) = attempts(Progress::Unsent);
    assert!(sent > MAX_CRASHES, "{sent} attempts");
    assert_eq!(refused, Some(Ran::No));
}
