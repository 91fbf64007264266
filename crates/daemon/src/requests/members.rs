use {
    crate::api::{self, RequestHead, RequestPlaceView, UpstreamView},
    entry::Desk,
    model::upstream::Announcement,
    route::{Event, Head, Preview},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest accepted name of an upstream or service in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Largest accepted sequence number of an announcement, so that the numbers after it are in range.
const MAX_SEQUENCE: u64 = u64::MAX / 2;

/// The upstreams as the router knows them.
pub struct Members {
    desk: Arc<Desk>,
}

impl Members {
    /// Returns the membership of a router.
    pub fn new(desk: Arc<Desk>) -> Members {
        Members { desk }
    }
}

impl api::Members for Members {
    fn hear(&self, announcement: Announcement) -> Result<(), String> {
        let upstream = &announcement.upstream;
        for (key, name) in [("name", &upstream.name), ("service", &upstream.service)] {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(format!(
                    "`upstream.{key}` must have 1 to {MAX_NAME_BYTES} bytes"
                ));
            }
        }
        let address = upstream.address.parse::<SocketAddr>();
        if address.map_or(true, |address| address.port() == 0) {
            return Err(format!(
                "`upstream.address` is `{}`; give an IP address and a port from 1 to 65535",
                upstream.address
            ));
        }
        if upstream.slots == 0 || upstream.connections < upstream.slots {
            return Err("`upstream.slots` must be at least 1 and at most `connections`".into());
        }
        if announcement.sequence > MAX_SEQUENCE {
            return Err(format!("`sequence` must be at most {MAX_SEQUENCE}"));
        }
        self.desk.observe(Event::Announced(announcement));
        Ok(())
    }

    fn depart(&self, name: &str) -> bool {
        let known = self.desk.with(|router, now| {
            let mut all = router.members().all(now);
            all.any(|(announcement, _)| announcement.upstream.name == name)
        });
        if known {
            log::info!("event=upstream_departs upstream={name}");
            self.desk.observe(Event::Departed(name.to_owned()));
        }
        known
    }

    fn place(&self, head: &RequestHead) -> RequestPlaceView {
        let preview = self.desk.with(|router, now| {
            let head = Head {
                request: u64::MAX,
                account: head.account.clone(),
                class: head.class,
                service: head.service.clone(),
                deadline: now + Duration::from_millis(head.deadline_ms),
                idempotent: head.idempotent,
                replayable: false,
            };
            router.preview(head, now)
        });
        let view = RequestPlaceView {
            instance: String::new(),
            outcome: String::new(),
            upstream: None,
            site: None,
            cross_region: false,
            ahead: 0,
            wait_ms: None,
            reason: None,
        };
        match preview {
            Preview::Sent {
                upstream,
                site,
                cross_region,
            } => RequestPlaceView {
                outcome: "sent".to_owned(),
                upstream: Some(upstream),
                site: Some(site),
                cross_region,
                ..view
            },
            Preview::Queued { ahead, slots, wait } => RequestPlaceView {
                outcome: "queued".to_owned(),
                ahead,
                wait_ms: Some(wait.as_millis() as u64),
                reason: Some(format!(
                    "{slots:.1} slots serve its class and account, and {ahead} requests are served before it"
                )),
                ..view
            },
            Preview::Refused(refusal) => RequestPlaceView {
                outcome: "refused".to_owned(),
                wait_ms: refusal.retry_after.map(|after| after.as_millis() as u64),
                reason: Some(refusal.reason.to_string()),
                ..view
            },
        }
    }

    fn list(&self) -> Vec<UpstreamView> {
        self.desk.with(|router, now| {
            let all = router.members().all(now);
            all.map(|(announcement, age)| UpstreamView {
                upstream: announcement.upstream.clone(),
                silent_ms: age.as_millis() as u64,
                departing: announcement.departing
                    || !router.members().is_usable(&announcement.upstream.name, now),
            })
            .collect()
        })
    }
}
