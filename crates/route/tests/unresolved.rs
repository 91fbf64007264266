//! Slots of requests that were given up while their upstream may still run them.

use {
    model::{
        place::Site,
        request::Class,
        upstream::{Announcement, Upstream},
    },
    route::{
        Action, Event, Head, Outcome, Router, Settings,
        share::{Grant, Share},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SLOTS: u16 = 2;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A router with one upstream of which it holds all slots.
struct World {
    router: Router,
    now: Instant,
    sequence: u64,
}

impl World {
    fn new() -> World {
        let site = Site {
            region: "north".into(),
            data_centre: "north-a".into(),
        };
        let mut world = World {
            router: Router::new(Settings::new(1, 1, site)),
            now: Instant::now() + Duration::from_secs(100),
            sequence: 0,
        };
        let config = r#"{"number":1,"accounts":{"acme":{"places":["north"]}}}"#;
        let config = Arc::new(serde_json::from_str(config).unwrap());
        world.observe(Event::Configured(Some(config)));
        // The first grant of a term raises no share.
        for _ in 0..2 {
            world.announce(Some(0));
        }
        world
    }

    fn observe(&mut self, event: Event) -> Vec<Action> {
        self.router.observe(event, self.now)
    }

    /// Announces the upstream with the given busy slots, and renews the share of it.
    fn announce(&mut self, busy: Option<u16>) {
        self.sequence += 1;
        let upstream = Upstream {
            name: "u0".into(),
            service: "fit".into(),
            site: Site {
                region: "north".into(),
                data_centre: "north-a".into(),
            },
            address: "127.0.0.1:1".into(),
            slots: SLOTS,
            connections: 8,
        };
        self.observe(Event::Announced(Announcement {
            upstream,
            sequence: self.sequence,
            departing: false,
            busy,
        }));
        let report = self.router.report("north", self.now);
        self.observe(Event::Granted(Grant {
            region: "north".into(),
            instance: 1,
            boot: 1,
            term: 1,
            sequence: self.sequence,
            report: report.number,
            lease_ms: 3000,
            shares: vec![Share {
                upstream: "u0".into(),
                slots: SLOTS,
            }],
        }));
    }

    /// Lets time pass while the upstream announces the given busy slots every 500 ms.
    fn pass(&mut self, time: Duration, busy: Option<u16>) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            if (end - self.now).as_millis() % 500 == 150 {
                self.announce(busy);
            }
            self.observe(Event::Tick);
        }
    }

    /// Sends a request with one second to its deadline; returns its attempt.
    fn send(&mut self, request: u64) -> u64 {
        let head = Head {
            request,
            account: "acme".into(),
            class: Class::Short,
            service: "fit".into(),
            deadline: self.now + ms(1000),
            idempotent: true,
            replayable: false,
        };
        let actions = self.router.offer(head, self.now);
        let attempt = actions.iter().find_map(|action| match action {
            Action::Send { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = attempt.expect("the request was not sent");
        self.observe(Event::Sent { attempt });
        attempt
    }

    fn finish(&mut self, attempt: u64, outcome: Outcome) {
        self.observe(Event::Finished { attempt, outcome });
    }

    fn busy(&self) -> u32 {
        self.router.slots().1
    }
}

/// Guards against a slot that is used again while an upstream that ignores deadlines still runs its request.
#[test]
fn an_unresolved_attempt_keeps_its_slot_while_the_upstream_counts_it() {
    let mut world = World::new();
    let attempt = world.send(1);
    world.pass(ms(2000), Some(1));
    world.finish(attempt, Outcome::Unresolved);
    world.pass(ms(5000), Some(1));
    assert_eq!(world.busy(), 1, "the upstream still runs the request");
    world.pass(ms(2000), Some(0));
    assert_eq!(world.busy(), 0, "the upstream has counted no request since");
    assert!(world.router.next_tick(world.now).is_none());
}

/// Guards against a slot that is lost because nothing ever resolves its attempt.
#[test]
fn an_unresolved_attempt_is_released_after_a_limit() {
    let mut world = World::new();
    let attempt = world.send(1);
    world.finish(attempt, Outcome::Unresolved);
    world.pass(ms(11_000), Some(SLOTS));
    assert_eq!(world.busy(), 0);
}

/// Guards against a count from before the request arrived, or an upstream without counts, deciding about the slot.
#[test]
fn only_later_counts_release_an_unresolved_attempt() {
    let mut world = World::new();
    let attempt = world.send(1);
    world.announce(Some(0));
    world.finish(attempt, Outcome::Unresolved);
    world.pass(ms(800), Some(0));
    assert_eq!(world.busy(), 1, "the count may be from before the arrival");
    world.pass(ms(2000), None);
    assert_eq!(world.busy(), 0, "the upstream counts nothing");
}

/// Guards against a slot of an ended request that stays in use because another request of this instance runs.
#[test]
fn counts_below_the_attempts_in_flight_release_one() {
    let mut world = World::new();
    let (left, running) = (world.send(1), world.send(2));
    world.finish(left, Outcome::Unresolved);
    world.pass(ms(3000), Some(2));
    assert_eq!(world.busy(), 2);
    world.pass(ms(2000), Some(1));
    assert_eq!(world.busy(), 1);
    world.finish(running, Outcome::Answered);
    assert_eq!(world.busy(), 0);
}
