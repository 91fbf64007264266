use {
    super::Levels,
    entry::Desk,
    indexmap::IndexMap,
    model::{
        clock::Clock,
        upstream::{Announcement, Upstream},
    },
    route::{
        Event,
        member::{Delta, Echo, Record, Renewal},
        share::{Grant, Granter, Report},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A membership message in the compact encoding of `postcard`.
#[derive(Serialize, Deserialize)]
struct Packed {
    from: u64,
    number: u64,
    echo: Option<Echo>,
    records: Vec<PackedRecord>,
    renewals: Vec<Renewal>,
    digest: u64,
    pull: bool,
}

/// A record without fields that are left out when absent, which `postcard` cannot read back.
#[derive(Serialize, Deserialize)]
struct PackedRecord {
    upstream: Upstream,
    sequence: u64,
    departing: bool,
    busy: Option<u16>,
    age_ms: u64,
}

impl From<Record> for PackedRecord {
    fn from(record: Record) -> PackedRecord {
        let announcement = record.announcement;
        PackedRecord {
            upstream: announcement.upstream,
            sequence: announcement.sequence,
            departing: announcement.departing,
            busy: announcement.busy,
            age_ms: record.age_ms,
        }
    }
}

impl From<PackedRecord> for Record {
    fn from(packed: PackedRecord) -> Record {
        Record {
            announcement: Announcement {
                upstream: packed.upstream,
                sequence: packed.sequence,
                departing: packed.departing,
                busy: packed.busy,
            },
            age_ms: packed.age_ms,
        }
    }
}

fn pack(delta: Delta) -> postcard::Result<Vec<u8>> {
    postcard::to_stdvec(&Packed {
        from: delta.from,
        number: delta.number,
        echo: delta.echo,
        records: delta.records.into_iter().map(PackedRecord::from).collect(),
        renewals: delta.renewals,
        digest: delta.digest,
        pull: delta.pull,
    })
}

fn unpack(message: &[u8]) -> postcard::Result<Delta> {
    let packed: Packed = postcard::from_bytes(message)?;
    Ok(Delta {
        from: packed.from,
        number: packed.number,
        echo: packed.echo,
        records: packed.records.into_iter().map(Record::from).collect(),
        renewals: packed.renewals,
        digest: packed.digest,
        pull: packed.pull,
    })
}

/// A grant on its way. Shares seldom change while demand is steady, so a grant whose holder is known to have
/// applied the same shares names that earlier grant instead of listing them.
#[derive(Serialize, Deserialize)]
struct PackedGrant {
    /// Without shares if there is a basis.
    grant: Grant,
    /// Sequence of the earlier grant of the same term to the same process that lists the shares.
    basis: Option<u64>,
}

/// Tells whether two grants are of the same leadership and for the same process.
fn akin(one: &Grant, other: &Grant) -> bool {
    (one.instance, one.boot, one.term) == (other.instance, other.boot, other.term)
}

/// The request path's part in the messages between instances, in compact encodings.
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
    /// Last grant sent, by region and instance.
    issued: Mutex<IndexMap<(String, u64), Grant>>,
    /// Last grant received, by region.
    received: Mutex<IndexMap<String, Grant>>,
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
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
            issued: Mutex::default(),
            received: Mutex::default(),
        }
    }

    fn decide(&self, report: &Report, term: u64, leading_since: Instant) -> Option<Grant> {
        let now = self.clock.now();
        let region = &report.region;
        let capacities = self.desk.with(|router, now| router.capacities(region, now));
        let mut granters = lock(&self.granters);
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
        granter.set_capacities(capacities, now);
        granter.grant(report, now)
    }

    /// Leaves out the shares if the report confirms that its sender applied a grant with the same ones.
    fn shorten(&self, report: &Report, grant: Grant) -> PackedGrant {
        let key = (grant.region.clone(), grant.instance);
        let last = lock(&self.issued).insert(key, grant.clone());
        let confirmed = last.is_some_and(|last| {
            akin(&last, &grant)
                && (report.term, report.applied) == (last.term, last.sequence)
                && last.shares == grant.shares
        });
        if confirmed {
            let shares = Vec::new();
            return PackedGrant {
                grant: Grant { shares, ..grant },
                basis: Some(report.applied),
            };
        }
        PackedGrant { grant, basis: None }
    }

    /// Completes a grant; `None` if the one that it builds on is not the last one received. The next report
    /// then names another one as applied, and the answer lists the shares.
    fn complete(&self, packed: PackedGrant) -> Option<Grant> {
        let mut grant = packed.grant;
        let mut received = lock(&self.received);
        if let Some(basis) = packed.basis {
            let last = received
                .get(&grant.region)
                .filter(|last| akin(last, &grant) && last.sequence == basis)?;
            grant.shares = last.shares.clone();
        }
        received.insert(grant.region.clone(), grant.clone());
        Some(grant)
    }
}

impl control::instance::Exchange for Exchange {
    fn gossip(&self) -> Vec<(u64, Vec<u8>)> {
        let deltas = self.desk.with(|router, now| router.gossip(now));
        let encode = |(to, delta): (u64, Delta)| Some((to, pack(delta).ok()?));
        deltas.into_iter().filter_map(encode).collect()
    }

    fn merge(&self, message: &[u8]) {
        match unpack(message) {
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
        postcard::to_stdvec(&reports).unwrap_or_default()
    }

    fn grant(&self, group: &str, demand: &[u8], term: u64, leading_since: Instant) -> Vec<u8> {
        if demand.is_empty() {
            return Vec::new();
        }
        let reports: Vec<Report> = match postcard::from_bytes(demand) {
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
        let decided = own.filter_map(|report| {
            let grant = self.decide(report, term, leading_since)?;
            Some(self.shorten(report, grant))
        });
        let grants: Vec<PackedGrant> = decided.collect();
        postcard::to_stdvec(&grants).unwrap_or_default()
    }

    fn granted(&self, grants: &[u8]) {
        if grants.is_empty() {
            return;
        }
        match postcard::from_bytes::<Vec<PackedGrant>>(grants) {
            Ok(grants) => {
                for grant in grants
                    .into_iter()
                    .filter_map(|packed| self.complete(packed))
                {
                    self.desk.observe(Event::Granted(grant));
                }
            }
            Err(error) => log::warn!("event=grants_malformed error=\"{error}\""),
        }
    }
}
