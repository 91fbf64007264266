use {
    crate::api::{self, UpstreamView},
    entry::Desk,
    model::upstream::Announcement,
    route::Event,
    std::{net::SocketAddr, sync::Arc},
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
