use {
    super::{Measured, Options, Policy, workload},
    std::fmt,
};

/// One measure over all seeds.
#[derive(Clone, Debug)]
pub struct Row {
    /// The policy.
    pub policy: Policy,
    /// The measure.
    pub name: &'static str,
    /// The target as text, if the table has one.
    pub target: String,
    /// Whether the median meets the target; none without a target.
    pub met: Option<bool>,
    /// One value per seed.
    pub values: Vec<f64>,
}

impl Row {
    /// Least, median and greatest value.
    pub fn spread(&self) -> (f64, f64, f64) {
        let mut values = self.values.clone();
        values.sort_by(f64::total_cmp);
        let median = match values.len() {
            0 => 0.0,
            count if count % 2 == 1 => values[count / 2],
            count => (values[count / 2 - 1] + values[count / 2]) / 2.0,
        };
        (
            values.first().copied().unwrap_or(0.0),
            median,
            values.last().copied().unwrap_or(0.0),
        )
    }
}

/// The measures of all policies.
#[derive(Clone, Debug)]
pub struct Report {
    /// Rows in order of policy.
    pub rows: Vec<Row>,
    /// First broken promise of each policy, if any.
    pub broken: Vec<(Policy, String)>,
    options: Options,
}

type Bound = (&'static str, Option<(bool, f64)>);

impl Report {
    pub(super) fn new(options: &Options) -> Report {
        Report {
            rows: Vec::new(),
            broken: Vec::new(),
            options: options.clone(),
        }
    }

    pub(super) fn add(&mut self, policy: Policy, measured: &Measured) {
        let p99 = workload::short_p99().as_secs_f64();
        let (alone, backlog) = (measured.alone.wait(0.99), measured.backlog.wait(0.99));
        let runs = [
            &measured.crest,
            &measured.alone,
            &measured.backlog,
            &measured.failures,
        ];
        let broken: u64 = runs.iter().map(|run| run.broken).sum();
        if let Some(text) = runs.iter().find_map(|run| run.first_broken.clone())
            && !self.broken.iter().any(|(other, _)| *other == policy)
        {
            self.broken.push((policy, text));
        }
        let seconds = measured.crest.end - workload::WARM;
        let instances = self.options.instances as f64;
        let values: [(Bound, f64); 14] = [
            (
                (
                    "crest: useful slot time at 3 x capacity",
                    Some((true, 0.95)),
                ),
                measured.crest.crest_use(),
            ),
            (
                ("recovery after the crest [s]", Some((false, 2.0 * p99))),
                measured.crest.recovery(&self.options),
            ),
            (
                (
                    "head-of-line: p99 short wait with / without batch",
                    Some((false, 1.1)),
                ),
                backlog / alone,
            ),
            (("broken promises", Some((false, 0.0))), broken as f64),
            (("p99 short wait without batch [ms]", None), alone * 1e3),
            (("p99 short wait with batch [ms]", None), backlog * 1e3),
            (
                ("head-of-line, requests inside a region", Some((false, 1.1))),
                measured.backlog.local_wait(0.99) / measured.alone.local_wait(0.99),
            ),
            (
                ("p99.9 short wait without batch [ms]", None),
                measured.alone.wait(0.999) * 1e3,
            ),
            (
                ("p99.9 short wait with batch [ms]", None),
                measured.backlog.wait(0.999) * 1e3,
            ),
            (
                ("short refused without batch", None),
                measured.alone.refused(),
            ),
            (
                ("short refused with batch", None),
                measured.backlog.refused(),
            ),
            (
                ("slot time of batch beside short work", None),
                measured.backlog.batch_use(),
            ),
            (
                ("gossip per instance [bytes/s]", None),
                measured.crest.gossip_bytes as f64 / seconds / instances,
            ),
            (
                ("reports and grants per instance [bytes/s]", None),
                measured.crest.share_bytes as f64 / seconds / instances,
            ),
        ];
        for ((name, bound), value) in values {
            let found = self
                .rows
                .iter()
                .position(|row| row.policy == policy && row.name == name);
            let index = found.unwrap_or_else(|| {
                let target = bound.map_or(String::new(), |(least, bound)| {
                    format!("{} {bound:.2}", if least { ">=" } else { "<=" })
                });
                self.rows.push(Row {
                    policy,
                    name,
                    target,
                    met: None,
                    values: Vec::new(),
                });
                self.rows.len() - 1
            });
            let row = &mut self.rows[index];
            row.values.push(value);
            let (_, median, greatest) = row.spread();
            row.met = bound.map(|(least, bound)| match (least, name) {
                // No run at all may break a promise.
                (_, "broken promises") => greatest <= bound,
                (true, _) => median >= bound,
                (false, _) => median <= bound,
            });
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let options = &self.options;
        writeln!(
            f,
            "{} instances, {} upstreams x {} slots, seeds {}..{}, crest {} x capacity for {:?}",
            options.instances,
            options.upstreams,
            options.slots,
            options.seeds.start,
            options.seeds.end - 1,
            options.crest,
            options.crest_time,
        )?;
        let mut policy = None;
        for row in &self.rows {
            if policy != Some(row.policy) {
                policy = Some(row.policy);
                writeln!(f, "\n{}", row.policy)?;
                writeln!(
                    f,
                    "  {:<52} {:>10} {:>10} {:>10}  target",
                    "measure", "min", "median", "max"
                )?;
            }
            let (least, median, greatest) = row.spread();
            let verdict = match row.met {
                None => String::new(),
                Some(true) => format!("{} met", row.target),
                Some(false) => format!("{} MISSED", row.target),
            };
            writeln!(
                f,
                "  {:<52} {least:>10.3} {median:>10.3} {greatest:>10.3}  {verdict}",
                row.name
            )?;
        }
        for (policy, text) in &self.broken {
            writeln!(f, "\nfirst broken promise of {policy}: {text}")?;
        }
        Ok(())
    }
}
