//! Measures the time that the router takes per request, from its offer to its end, on one thread.

use {
    model::{
        config::Config,
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

const UPSTREAMS: usize = 48;
const REQUESTS: u64 = 200_000;

fn main() {
    let site = Site {
        region: "north".into(),
        data_centre: "a".into(),
    };
    let mut router = Router::new(Settings::new(1, 1, site.clone()));
    let config = r#"{"number":1,"accounts":{"acme":{"places":["north"]}}}"#;
    let config: Config = serde_json::from_str(config).unwrap_or_default();
    let mut now = Instant::now();
    router.observe(Event::Configured(Some(Arc::new(config))), now);
    let mut sequence = 0;
    let start = Instant::now();
    for request in 0..REQUESTS {
        now += Duration::from_micros(50);
        // The first grant of a term raises no share, so a second one follows at once.
        if request.is_multiple_of(10_000) || request == 1 {
            sequence += 1;
            for index in 0..UPSTREAMS {
                let upstream = Upstream {
                    name: format!("u{index}"),
                    service: "fit".into(),
                    site: site.clone(),
                    address: "127.0.0.1:1".into(),
                    slots: 8,
                    connections: 64,
                };
                let announcement = Announcement {
                    upstream,
                    sequence,
                    departing: false,
                    busy: None,
                };
                router.observe(Event::Announced(announcement), now);
            }
            let report = router.report("north", now);
            let shares = (0..UPSTREAMS).map(|index| Share {
                upstream: format!("u{index}"),
                slots: 8,
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
        let head = Head {
            request,
            account: "acme".into(),
            class: Class::Short,
            service: "fit".into(),
            deadline: now + Duration::from_secs(2),
            idempotent: true,
            replayable: true,
        };
        for action in router.offer(head, now) {
            if let Action::Send { attempt, .. } = action {
                router.observe(Event::Sent { attempt }, now);
                router.observe(Event::Answering { attempt }, now);
                let outcome = Outcome::Answered;
                router.observe(Event::Finished { attempt, outcome }, now);
                router.observe(Event::Abandoned { request }, now);
            }
        }
    }
    let each = start.elapsed() / REQUESTS as u32;
    println!("{UPSTREAMS} upstreams: {each:?} per request, one account, no queue");
}
