use {
    super::Levels,
    entry::Desk,
    indexmap::IndexMap,
    model::clock::Clock,
    route::{
        Event,
        member::Delta,
        share::{Grant, Granter, Report},
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// The request path's part in the messages between instances, as JSON.
pub struct Exchange {
    desk: Arc<Desk>,
    clock: Arc<dyn Clock>,
    /// Group that keeps the shares of each region.
    homes: IndexMap<String, String>,
    instances: Vec<u64>,
    max_deadline: Duration,
    levels: Arc<Levels>,
    /// By region, while this instance leads the region's group.
    granters: Mutex<IndexMap<String, Granter>>,
}

impl Exchange {
    /// Returns the exchange of one instance. `instances` are all that may hold shares.
    pub fn new(
        desk: Arc<Desk>,
        homes: IndexMap<String, String>,
        instances: Vec<u64>,
        max_deadline: Duration,
        levels: Arc<Levels>,
    ) -> Exchange {
        Exchange {
            clock: desk.clock().clone(),
            desk,
            homes,
            instances,
            max_deadline,
            levels,
            granters: Mutex::default(),
        }
    }

    fn decide(&self, report: &Report, term: u64, leading_since: Instant) -> Option<Grant> {
        let now = self.clock.now();
        let region = &report.region;
        let supplies = self.desk.with(|router, now| router.supplies(region, now));
        let mut granters = self.granters.lock().unwrap_or_else(PoisonError::into_inner);
        let known = granters
            .get(region)
            .is_some_and(|granter| granter.term() == term);
        if !known {
            let granter = Granter::new(
                region,
                term,
                &self.instances,
                self.max_deadline,
                leading_since,
            );
            granters.insert(region.clone(), granter);
        }
        let granter = granters.get_mut(region)?;
        granter.supply(supplies, now);
        granter.grant(report, now)
    }
}

impl control::instance::Exchange for Exchange {
    fn gossip(&self) -> Vec<(u64, Vec<u8>)> {
        let deltas = self.desk.with(|router, now| router.gossip(now));
        let encode = |(to, delta): (u64, Delta)| Some((to, serde_json::to_vec(&delta).ok()?));
        deltas.into_iter().filter_map(encode).collect()
    }

    fn merge(&self, message: &[u8]) {
        match serde_json::from_slice(message) {
            Ok(delta) => self.desk.observe(Event::Gossip(delta)),
            Err(error) => log::warn!("event=gossip_malformed error=\"{error}\""),
        }
    }

    fn counts(&self) -> Vec<u8> {
        serde_json::to_vec(&self.levels.snapshot()).unwrap_or_default()
    }

    fn demand(&self, group: &str) -> Vec<u8> {
        let reports: Vec<Report> = self.desk.with(|router, now| {
            let regions = router.regions(now).into_iter();
            let own = regions.filter(|region| self.homes.get(region).is_some_and(|h| h == group));
            own.map(|region| router.report(&region, now)).collect()
        });
        if reports.is_empty() {
            return Vec::new();
        }
        serde_json::to_vec(&reports).unwrap_or_default()
    }

    fn grant(&self, group: &str, demand: &[u8], term: u64, leading_since: Instant) -> Vec<u8> {
        if demand.is_empty() {
            return Vec::new();
        }
        let reports: Vec<Report> = match serde_json::from_slice(demand) {
            Ok(reports) => reports,
            Err(error) => {
                log::warn!("event=demand_malformed group={group} error=\"{error}\"");
                return Vec::new();
            }
        };
        let own = reports.iter().filter(|report| {
            self.homes
                .get(&report.region)
                .is_some_and(|home| home == group)
        });
        let grants: Vec<Grant> = own
            .filter_map(|report| self.decide(report, term, leading_since))
            .collect();
        serde_json::to_vec(&grants).unwrap_or_default()
    }

    fn granted(&self, grants: &[u8]) {
        if grants.is_empty() {
            return;
        }
        match serde_json::from_slice::<Vec<Grant>>(grants) {
            Ok(grants) => {
                for grant in grants {
                    self.desk.observe(Event::Granted(grant));
                }
            }
            Err(error) => log::warn!("event=grants_malformed error=\"{error}\""),
        }
    }
}
