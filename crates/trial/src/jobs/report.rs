use std::fmt;

/// Measures in the order of the report, with the target of the median.
const MEASURES: [(&str, Option<f64>); 13] = [
    ("head-of-line blocking", Some(1.1)),
    ("short p99 wait with sweeps, s", None),
    ("short p99 wait without sweeps, s", None),
    ("completion, all jobs", Some(1.25)),
    ("completion, without the sweeps", None),
    ("completion, no sweeps submitted", None),
    ("sweep p99 wait, h", None),
    ("fragmentation, %", Some(2.0)),
    ("fragmentation within quota, %", None),
    ("claim to start p99, s", Some(6.3)),
    ("broken promises", Some(0.0)),
    ("accelerators in use, %", None),
    ("gangs stopped and run again", None),
];

/// Position of a measure in the report.
pub fn order(measure: &str) -> usize {
    MEASURES
        .iter()
        .position(|(name, _)| *name == measure)
        .unwrap_or(MEASURES.len())
}

/// One measure of one scheduler over all seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// What was measured.
    pub measure: &'static str,
    /// Which scheduler.
    pub scheduler: &'static str,
    /// One value per seed.
    pub values: Vec<f64>,
}

impl Row {
    pub(super) fn new(measure: &'static str, scheduler: &'static str, value: f64) -> Row {
        Row {
            measure,
            scheduler,
            values: vec![value],
        }
    }

    /// Minimum, median and maximum.
    pub fn spread(&self) -> (f64, f64, f64) {
        let mut values = self.values.clone();
        values.sort_by(f64::total_cmp);
        match values.len() {
            0 => (0.0, 0.0, 0.0),
            len => {
                let median = (values[(len - 1) / 2] + values[len / 2]) / 2.0;
                (values[0], median, values[len - 1])
            }
        }
    }

    /// Whether the median meets the target; none without a target.
    pub fn is_met(&self) -> Option<bool> {
        let target = MEASURES[..]
            .iter()
            .find(|(name, _)| *name == self.measure)?
            .1?;
        Some(self.spread().1 <= target)
    }
}

/// The job rows of the target table.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Number of seeds.
    pub seeds: usize,
    /// One row per measure and scheduler.
    pub rows: Vec<Row>,
    /// Broken rules of the gang scheduler, with their seeds.
    pub faults: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} seeds; the target holds for the median", self.seeds)?;
        writeln!(
            f,
            "{:34} {:12} {:>10} {:>10} {:>10} {:>8}",
            "measure", "scheduler", "minimum", "median", "maximum", "target"
        )?;
        for row in &self.rows {
            let (least, median, most) = row.spread();
            let target = MEASURES.iter().find(|(name, _)| *name == row.measure);
            let target = match target.and_then(|(_, target)| *target) {
                Some(target) => format!("{target}"),
                None => String::new(),
            };
            let verdict = match row.is_met() {
                Some(true) => "met",
                Some(false) => "missed",
                None => "",
            };
            writeln!(
                f,
                "{:34} {:12} {least:>10.2} {median:>10.2} {most:>10.2} {target:>8} {verdict}",
                row.measure, row.scheduler
            )?;
        }
        for fault in self.faults.iter().take(20) {
            writeln!(f, "broken: {fault}")?;
        }
        Ok(())
    }
}
