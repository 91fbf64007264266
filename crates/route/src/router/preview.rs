use {
    super::{Action, Event, Head, Refusal, Router},
    crate::queue::Key,
    model::place::Site,
    std::time::{Duration, Instant},
};

/// What would become of a request if it arrived now.
#[derive(Clone, Debug, PartialEq)]
pub enum Preview {
    /// It would be sent at once.
    Sent {
        /// Name of the upstream.
        upstream: String,
        /// Its site.
        site: Site,
        /// Whether the upstream is in another region.
        cross_region: bool,
    },
    /// It would wait for a slot.
    Queued {
        /// Requests of its queue that are served before it.
        ahead: u64,
        /// Slots that its class may use.
        slots: f64,
        /// Expected wait.
        wait: Duration,
    },
    /// It would be refused without a send.
    Refused(Refusal),
}

impl Router {
    /// Tells what would become of a request that arrived now. Changes nothing. A request that is not idempotent is
    /// taken as claimed.
    pub fn preview(&self, head: Head, now: Instant) -> Preview {
        let mut copy = self.clone();
        let request = head.request;
        let key = Key {
            account: head.account.clone(),
            class: head.class,
            service: head.service.clone(),
        };
        copy.refresh(now);
        let account = self
            .config
            .as_ref()
            .and_then(|config| config.accounts.get(&key.account));
        let forecast = account.map(|account| copy.forecast(&key, head.deadline, account));
        let mut actions = copy.offer(head, now);
        if actions.contains(&Action::Claim { request }) {
            actions = copy.observe(Event::Claimed { request }, now);
        }
        for action in actions {
            match action {
                Action::Send {
                    request: sent,
                    upstream,
                    site,
                    cross_region,
                    ..
                } if sent == request => {
                    return Preview::Sent {
                        upstream,
                        site,
                        cross_region,
                    };
                }
                Action::Refuse {
                    request: refused,
                    refusal,
                } if refused == request => return Preview::Refused(refusal),
                _ => {}
            }
        }
        Preview::Queued {
            ahead: forecast.map_or(0, |forecast| forecast.ahead as u64),
            slots: forecast.map_or(0.0, |forecast| forecast.slots),
            wait: forecast.map_or(Duration::ZERO, |forecast| forecast.wait()),
        }
    }
}
