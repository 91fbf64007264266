use {
    super::{
        Policy,
        measure::Outcome,
        node::Kind,
        workload::{self, WARM},
        world::{CROSS, DEPARTING, REGION, Step, World, latency},
    },
    model::upstream::Announcement,
    rand::RngExt,
    route::{
        Event,
        share::{Granter, Report},
    },
    std::time::Duration,
};

/// Messages between instances, announcements, and failures.
impl World<'_> {
    pub(super) fn gossip(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(0.5, Step::Gossip(node));
        let now = self.instant();
        let messages = self
            .router(node)
            .map(|router| router.gossip(now))
            .unwrap_or_default();
        for (to, delta) in messages {
            let to = to as usize - 1;
            self.count(|outcome| &mut outcome.gossip_bytes, &delta);
            if !self.lost() {
                let delay = latency(&workload::site(node), &workload::site(to));
                self.after(
                    delay,
                    Step::Deliver {
                        to,
                        delta: Box::new(delta),
                    },
                );
            }
        }
    }

    pub(super) fn reports(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(0.5, Step::Reports(node));
        let now = self.instant();
        let Some(router) = self.router(node) else {
            return;
        };
        let reports: Vec<(String, Report)> = router
            .regions(now)
            .into_iter()
            .map(|region| (region.clone(), router.report(&region, now)))
            .collect();
        for (region, report) in reports {
            self.count(|outcome| &mut outcome.share_bytes, &report);
            if !self.lost() {
                let home = workload::site(node).region == region;
                let delay = if home { REGION } else { CROSS };
                self.after(
                    delay,
                    Step::Report {
                        region,
                        report: Box::new(report),
                    },
                );
            }
        }
    }

    pub(super) fn report(&mut self, region: &str, report: &Report) {
        let now = self.instant();
        let leader = self.nodes.iter_mut().enumerate().find(|(index, node)| {
            node.alive
                && workload::site(*index).region == region
                && matches!(
                    &node.kind,
                    Kind::Current {
                        granter: Some(_),
                        ..
                    }
                )
        });
        let Some((_, node)) = leader else {
            return;
        };
        let Kind::Current {
            router,
            granter: Some(granter),
        } = &mut node.kind
        else {
            return;
        };
        granter.set_capacities(router.capacities(region, now), now);
        let Some(grant) = granter.grant(report, now) else {
            return;
        };
        let to = grant.instance as usize - 1;
        self.count(|outcome| &mut outcome.share_bytes, &grant);
        if !self.lost() {
            let home = workload::site(to).region == region;
            let delay = if home { REGION } else { CROSS };
            self.after(
                delay,
                Step::Grant {
                    to,
                    grant: Box::new(grant),
                },
            );
        }
    }

    pub(super) fn announce(&mut self, up: usize) {
        if self.upstreams[up].departed.is_some() {
            return;
        }
        self.after(1.0, Step::Announce(up));
        self.announcement(up, false);
    }

    pub(super) fn announcement(&mut self, up: usize, departing: bool) {
        let upstream = &mut self.upstreams[up];
        upstream.sequence += 1;
        let announcement = Announcement {
            upstream: model::upstream::Upstream {
                name: format!("u{up}"),
                service: "fit".into(),
                site: upstream.site.clone(),
                address: format!("10.0.0.{up}:8080"),
                slots: self.options.slots,
                connections: 64,
            },
            sequence: upstream.sequence,
            departing,
            busy: Some(upstream.running.len() as u16),
        };
        let region = upstream.site.region.clone();
        let near: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].alive && workload::site(*node).region == region)
            .collect();
        let node = near[self.rng.random_range(0..near.len())];
        self.observe(node, Event::Announced(announcement));
    }

    /// Counts the bytes of a message once the measurement has begun.
    pub(super) fn count(
        &mut self,
        counter: impl Fn(&mut Outcome) -> &mut u64,
        message: &impl serde::Serialize,
    ) {
        if self.now >= WARM {
            *counter(&mut self.outcome) += size(message);
        }
    }

    /// The region of the dead leader elects its next live instance.
    pub(super) fn elect(&mut self) {
        let now = self.instant();
        let region = workload::site(0).region;
        let ids: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        let next = (0..self.nodes.len())
            .find(|node| self.nodes[*node].alive && workload::site(*node).region == region);
        if let Some(Kind::Current { granter, .. }) = next.map(|node| &mut self.nodes[node].kind) {
            let max = Duration::from_secs(60);
            *granter = Some(Box::new(Granter::new(&region, 2, &ids, max, now)));
        }
    }

    pub(super) fn depart(&mut self) {
        for up in 0..DEPARTING.min(self.upstreams.len()) {
            self.upstreams[up].departed = Some(self.now);
            if self.policy == Policy::Current {
                self.announcement(up, true);
            }
        }
    }
}

/// Bytes of a message as JSON, an upper bound of its size as capnp.
fn size(message: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
