use {
    super::{Options, workload},
    model::request::Class,
};

/// What became of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Fate {
    pub(super) arrived: f64,
    pub(super) class: Class,
    pub(super) started: Option<f64>,
    pub(super) finished: Option<f64>,
    /// When the caller had the whole answer.
    pub(super) answered: Option<f64>,
    pub(super) deadline: f64,
    pub(super) not_run: Option<f64>,
    pub(super) runs: u32,
    pub(super) idempotent: bool,
    /// Whether it started in another region than that of its instance.
    pub(super) cross_region: bool,
}

/// Everything that one run of a scenario shows.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) fates: Vec<Fate>,
    pub(super) capacity: f64,
    pub(super) crest: (f64, f64),
    pub(super) end: f64,
    /// Broken promises, with the first as text.
    pub(super) broken: u64,
    pub(super) first_broken: Option<String>,
    /// Bytes of gossip and of reports and grants, as JSON.
    pub(super) gossip_bytes: u64,
    pub(super) share_bytes: u64,
}

/// The runs of one seed.
pub(super) struct Measured {
    pub(super) crest: Outcome,
    pub(super) alone: Outcome,
    pub(super) backlog: Outcome,
    pub(super) failures: Outcome,
}

/// Width of the buckets in which waits are compared with their earlier level, in seconds.
const BUCKET: f64 = 0.1;

/// Difference of waits that is not counted, in seconds.
const RESOLUTION: f64 = 0.001;

pub(super) fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction) as usize;
    values
        .get(index.min(values.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0.0)
}

impl Outcome {
    fn useful(&self) -> impl Iterator<Item = &Fate> {
        self.fates
            .iter()
            .filter(|fate| fate.answered.is_some_and(|at| at <= fate.deadline))
    }

    /// Slot time of useful answers in the crest, divided by all slot time in the crest.
    pub(super) fn crest_use(&self) -> f64 {
        let (from, to) = self.crest;
        let used: f64 = self
            .useful()
            .filter_map(|fate| Some(fate.finished?.min(to) - fate.started?.max(from)))
            .filter(|time| *time > 0.0)
            .sum();
        used / (self.capacity * (to - from))
    }

    /// Waits of short work from arrival to the start at an upstream; for work that never started, until
    /// its deadline. Refusals at once do not count as waits.
    fn waits(&self, from: f64, to: f64) -> Vec<f64> {
        self.fates
            .iter()
            .filter(|fate| fate.class == Class::Short && (from..to).contains(&fate.arrived))
            .filter_map(|fate| match (fate.started, fate.not_run) {
                (Some(started), _) => Some(started - fate.arrived),
                (None, Some(_)) => None,
                (None, None) => Some(fate.deadline - fate.arrived),
            })
            .collect()
    }

    /// The same for requests that stay in the region of their instance: the time to another region hides
    /// shorter waits.
    pub(super) fn local_wait(&self, fraction: f64) -> f64 {
        let mut local = self.clone_without_fates();
        local.fates = self
            .fates
            .iter()
            .filter(|fate| !fate.cross_region)
            .cloned()
            .collect();
        local.wait(fraction)
    }

    fn clone_without_fates(&self) -> Outcome {
        Outcome {
            end: self.end,
            ..Outcome::default()
        }
    }

    pub(super) fn wait(&self, fraction: f64) -> f64 {
        quantile(&mut self.waits(workload::WARM, self.end - 2.0), fraction)
    }

    /// Part of the short requests that were refused.
    pub(super) fn refused(&self) -> f64 {
        let (mut all, mut refused) = (0.0, 0.0);
        for fate in &self.fates {
            if fate.class == Class::Short
                && (workload::WARM..self.end - 2.0).contains(&fate.arrived)
            {
                all += 1.0;
                refused += f64::from(u8::from(fate.not_run.is_some()));
            }
        }
        refused / f64::max(all, 1.0)
    }

    /// Slot time of batch that was useful, divided by all slot time.
    pub(super) fn batch_use(&self) -> f64 {
        let used: f64 = self
            .fates
            .iter()
            .filter(|fate| fate.class == Class::Batch)
            .filter_map(|fate| {
                let finished = fate.finished.unwrap_or(self.end).min(self.end);
                Some(finished - fate.started?.max(workload::WARM))
            })
            .filter(|time| *time > 0.0)
            .sum();
        used / (self.capacity * (self.end - workload::WARM))
    }

    /// Seconds after the crest until the p99 wait of arrivals is back at its earlier level for half a
    /// second.
    pub(super) fn recovery(&self, options: &Options) -> f64 {
        let (start, end) = (workload::WARM + workload::BEFORE, self.crest.1);
        let earlier = quantile(&mut self.waits(workload::WARM, start), 0.99);
        let buckets = (workload::AFTER / BUCKET) as usize;
        let mut good = 0;
        for bucket in 0..buckets {
            let from = end + bucket as f64 * BUCKET;
            let mut waits = self.waits(from, from + BUCKET);
            // A bucket has few samples, so its p99 is near its maximum; the p95 is compared.
            let level = quantile(&mut waits, 0.95);
            good = if level <= earlier + RESOLUTION {
                good + 1
            } else {
                0
            };
            if good == 5 {
                return (bucket + 1 - good) as f64 * BUCKET;
            }
        }
        let _ = options;
        workload::AFTER
    }
}
