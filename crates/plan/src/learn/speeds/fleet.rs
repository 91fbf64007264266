use {
    super::record::Record,
    std::time::Instant,
    work::{collections::IndexMap, id, upstream::Upstream},
};

/// Variance up to which a measured speed counts for its fleet and its groups.
const MEASURED_VARIANCE: f64 = 0.1;

/// Number of measured upstreams from which a fleet is judged.
const MIN_FLEET: usize = 4;

/// Share of a fleet that must be measured before it is judged: those that are measured first may have run one odd job.
const MIN_FLEET_SHARE: f64 = 0.1;

/// Number of measured upstreams from which a group is judged.
const MIN_GROUP: usize = 3;

/// Share of the fleet's variance up to which the upstreams of a group count as alike.
const LIKE_SHARE: f64 = 0.25;

/// Least variance of the speed of an upstream that is known only by its group.
const MIN_GROUP_VARIANCE: f64 = 0.01;

/// Difference of the mean level of a group from the nominal level from which its upstreams are unlike the others.
const UNLIKE_GROUP: f64 = 0.3;

/// Number of measured upstreams from which a group alone makes a fleet uneven. Fewer may share one odd step.
const MIN_UNLIKE_GROUP: usize = 6;

/// Least such difference in standard errors of the mean; there are dozens of groups, one of which is off by chance.
const GROUP_DEVIATIONS: f64 = 5.0;

/// Distance from the median level up to which upstreams count for the nominal speed; kinds of a fleet differ by less
/// than twice.
const NOMINAL_RANGE: f64 = 0.8;

/// What upstreams may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Group<'a> {
    DataCentre(&'a str),
    Rack(&'a str),
    Label(&'a str),
}

/// Sums over the measured speeds of some upstreams.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    count: usize,
    levels: f64,
    squares: f64,
    errors: f64,
}

impl Sums {
    fn add(&mut self, level: f64, variance: f64) {
        self.count += 1;
        self.levels += level;
        self.squares += level * level;
        self.errors += variance;
    }

    fn mean(&self) -> f64 {
        self.levels / self.count as f64
    }

    /// Variance between the upstreams, with the part that is due to errors.
    fn variance(&self) -> f64 {
        let count = self.count as f64;
        ((self.squares - self.levels * self.mean()) / (count - 1.0)).max(0.0)
    }

    fn error(&self) -> f64 {
        self.errors / self.count as f64
    }

    /// Variance between the upstreams that errors of measurement do not explain, even at three times their standard deviation.
    fn certain_variance(&self) -> f64 {
        let chance = 3.0 * self.error() * (2.0 / (self.count as f64 - 1.0)).sqrt();
        (self.variance() - self.error() - chance).max(0.0)
    }
}

/// The measured speeds of all upstreams together.
#[derive(Debug)]
pub(super) struct Fleet<'a> {
    /// Level of the nominal speed: the mean of the measured upstreams without those far from their median.
    nominal: f64,
    /// Mean level of the measured upstreams.
    mean: f64,
    /// Number of measured upstreams.
    pub measured: usize,
    /// Standard deviation between the upstreams that errors of measurement do not explain.
    pub certain_spread: f64,
    variance: f64,
    groups: IndexMap<Group<'a>, Sums>,
}

impl<'a> Fleet<'a> {
    /// Summarizes the records; none if too few upstreams are measured.
    pub fn new(
        upstreams: &[&'a Upstream],
        records: &IndexMap<id::Upstream, Record>,
        now: Instant,
    ) -> Option<Fleet<'a>> {
        let mut levels = Vec::new();
        let mut all = Sums::default();
        let mut groups: IndexMap<Group<'a>, Sums> = IndexMap::default();
        for upstream in upstreams {
            let Some(record) = records.get(&upstream.id).filter(|own| own.is_of(upstream)) else {
                continue;
            };
            let variance = record.variance_at(now);
            if variance > MEASURED_VARIANCE {
                continue;
            }
            levels.push(record.level);
            all.add(record.level, variance);
            for group in groups_of(upstream) {
                groups.entry(group).or_default().add(record.level, variance);
            }
        }
        let share = (upstreams.len() as f64 * MIN_FLEET_SHARE) as usize;
        if all.count < MIN_FLEET.max(share) {
            return None;
        }
        Some(Fleet {
            nominal: nominal(&mut levels),
            mean: all.mean(),
            measured: all.count,
            certain_spread: all.certain_variance().sqrt(),
            variance: (all.variance() - all.error()).max(MIN_GROUP_VARIANCE),
            groups,
        })
    }

    /// Whether the upstreams of one group, such as a rack, are certainly faster or slower than the others.
    pub fn has_unlike_group(&self) -> bool {
        self.groups.values().any(|sums| {
            let difference = (sums.mean() - self.nominal).abs();
            let error = (sums.error() / sums.count as f64).sqrt();
            sums.count >= MIN_UNLIKE_GROUP
                && difference > UNLIKE_GROUP
                && difference > GROUP_DEVIATIONS * error
        })
    }

    /// Logarithm of the speed of an upstream and its variance, from its own record and the group that tells most.
    pub fn estimate(
        &self,
        upstream: &'a Upstream,
        record: Option<&Record>,
        now: Instant,
    ) -> (f64, f64) {
        let (prior, prior_variance) = self.prior(upstream);
        match record.filter(|own| own.is_of(upstream) && own.samples > 0) {
            Some(record) => {
                let own = 1.0 / record.variance_at(now);
                let other = 1.0 / prior_variance;
                let level = record.level * own + prior * other;
                let level = level / (own + other) - self.nominal;
                (level, 1.0 / (own + other))
            }
            None => (prior - self.nominal, prior_variance),
        }
    }

    fn prior(&self, upstream: &'a Upstream) -> (f64, f64) {
        let whole = (self.mean, self.variance);
        let groups = groups_of(upstream).filter_map(|group| {
            let sums = self.groups.get(&group)?;
            if sums.count < MIN_GROUP {
                return None;
            }
            let within = (sums.variance() - sums.error()).max(MIN_GROUP_VARIANCE);
            let variance = within + sums.error() / sums.count as f64;
            let is_like = within <= (self.variance * LIKE_SHARE).max(MIN_GROUP_VARIANCE);
            is_like.then(|| (sums.mean(), variance))
        });
        let best = groups.min_by(|(_, a), (_, b)| a.total_cmp(b));
        best.unwrap_or(whole)
    }
}

/// Level of the nominal speed. Upstreams far from the median have changed for a while, or are few.
fn nominal(levels: &mut [f64]) -> f64 {
    let middle = levels.len() / 2;
    let (_, median, _) = levels.select_nth_unstable_by(middle, f64::total_cmp);
    let median = *median;
    let near = levels
        .iter()
        .filter(|level| (*level - median).abs() < NOMINAL_RANGE);
    let (sum, count) = near.fold((0.0, 0.0), |(sum, count), level| (sum + level, count + 1.0));
    sum / f64::max(count, 1.0)
}

fn groups_of(upstream: &Upstream) -> impl Iterator<Item = Group<'_>> {
    let labels = upstream.labels.iter();
    let labels = labels.filter(|label| **label != upstream.rack);
    let own = [
        Group::DataCentre(upstream.data_centre.as_str()),
        Group::Rack(upstream.rack.as_str()),
    ];
    own.into_iter()
        .chain(labels.map(|label| Group::Label(label.as_str())))
}
