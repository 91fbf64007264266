use {
    super::{Grant, Report, Row, report::RETIRED},
    indexmap::IndexMap,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Reports whose sending time is kept; the lease of a grant that answers an older one has ended.
const MAX_REPORTS: usize = 64;

/// The shares that one process holds in one region.
#[derive(Clone, Debug)]
pub struct Holder {
    region: String,
    instance: u64,
    boot: u64,
    started: Instant,
    last_report: u64,
    /// Number and sending time of each of the last reports, and the term of the last grant applied before it.
    reports: VecDeque<(u64, Instant, u64)>,
    /// Term and sequence number of the last applied grant.
    applied: (u64, u64),
    lease_end: Option<Instant>,
    shares: IndexMap<String, u16>,
    /// Whether no grant is applied any more.
    retired: bool,
}

impl Holder {
    /// Returns a holder without shares.
    pub fn new(region: &str, instance: u64, boot: u64, now: Instant) -> Holder {
        Holder {
            region: region.to_owned(),
            instance,
            boot,
            started: now,
            last_report: 0,
            reports: VecDeque::new(),
            applied: (0, 0),
            lease_end: None,
            shares: IndexMap::new(),
            retired: false,
        }
    }

    /// Slots of `upstream` that the process may use now; none after the end of the lease.
    pub fn limit(&self, upstream: &str, now: Instant) -> u16 {
        if self.lease_end.is_some_and(|until| now < until) {
            self.shares.get(upstream).copied().unwrap_or(0)
        } else {
            0
        }
    }

    /// When the lease of the shares ends unless it is renewed; none before the first grant.
    pub fn lease_end(&self) -> Option<Instant> {
        self.lease_end
    }

    /// Returns the next report, to be sent at once. `demand` lists for each upstream the requests in flight and
    /// the wanted slots in hundredths.
    pub fn report(
        &mut self,
        demand: impl IntoIterator<Item = (String, u16, u32)>,
        now: Instant,
    ) -> Report {
        self.last_report += 1;
        self.reports
            .push_back((self.last_report, now, self.applied.0));
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        let rows = demand
            .into_iter()
            .map(|(upstream, busy, want)| {
                let held = self.limit(&upstream, now).max(busy);
                Row {
                    upstream,
                    held,
                    want,
                }
            })
            .collect();
        Report {
            region: self.region.clone(),
            instance: self.instance,
            boot: self.boot,
            number: self.last_report,
            age_ms: now.duration_since(self.started).as_millis() as u64,
            term: self.applied.0,
            applied: match self.retired {
                true => RETIRED,
                false => self.applied.1,
            },
            rows,
        }
    }

    /// Applies a grant. Returns false if it is for another process, is not newer than the last one, answers a
    /// report whose sending time is no longer known, or if its lease has ended.
    ///
    /// A new leader renews the shares in a report. If the previous leader reduced them after the report was
    /// sent, the renewal would restore them. So a grant that answers a report of an earlier term raises no
    /// share.
    pub fn apply(&mut self, grant: &Grant, now: Instant) -> bool {
        if self.retired
            || grant.instance != self.instance
            || grant.boot != self.boot
            || grant.region != self.region
            || (grant.term, grant.sequence) <= self.applied
        {
            return false;
        }
        let report = self
            .reports
            .iter()
            .find(|(number, _, _)| *number == grant.report);
        let Some((_, sent, term)) = report.copied() else {
            return false;
        };
        let lease_end = sent + Duration::from_millis(grant.lease_ms);
        if now >= lease_end {
            return false;
        }
        let shares = grant
            .shares
            .iter()
            .map(|share| {
                let limit = if term == grant.term {
                    share.slots
                } else {
                    self.limit(&share.upstream, now)
                };
                (share.upstream.clone(), share.slots.min(limit))
            })
            .collect();
        self.shares = shares;
        self.applied = (grant.term, grant.sequence);
        self.lease_end = Some(lease_end);
        true
    }

    /// Gives up all shares; the next report tells the granter.
    pub fn release(&mut self) {
        self.shares.clear();
        self.lease_end = None;
    }

    /// Gives up all shares for good. Grants that are still on their way are not applied; the next report tells the
    /// granter, which then charges none of them.
    pub fn retire(&mut self) {
        self.release();
        self.retired = true;
    }

    /// Iterates over the shares of the last applied grant: upstream and slots. They may have ended.
    pub fn shares(&self) -> impl Iterator<Item = (&str, u16)> {
        self.shares
            .iter()
            .map(|(name, slots)| (name.as_str(), *slots))
    }
}
