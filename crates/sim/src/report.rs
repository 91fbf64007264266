use {indexmap::IndexMap, std::fmt, work::upstream::Outcome};

/// Outcome of the jobs of one kind.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Queue.
    pub queue: &'static str,
    /// Jobs that could be done and were not cancelled.
    pub owed: usize,
    /// Jobs that ended within their objective.
    pub on_time: usize,
    /// Jobs that ended later and still had some worth.
    pub late: usize,
    /// Worth earned and owed.
    pub worth: (f64, f64),
    /// Times from arrival to first start in milliseconds.
    pub waits_ms: Vec<u64>,
}

/// Outcome of a day.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// By kind.
    pub tallies: Vec<Tally>,
    /// Core-seconds of work that was done in vain.
    pub waste: f64,
    /// The same by queue and by how the runs ended.
    pub wasted: IndexMap<(String, Outcome), f64>,
    /// Core-seconds of work that counted.
    pub useful: f64,
}

impl Report {
    /// Worth earned over worth owed, of all kinds.
    pub fn served(&self) -> f64 {
        let worths = self.tallies.iter().map(|tally| tally.worth);
        let (earned, owed) =
            worths.fold((0.0, 0.0), |sum, worth| (sum.0 + worth.0, sum.1 + worth.1));
        if owed > 0.0 { earned / owed } else { 1.0 }
    }

    /// Worth served less the price of wasted work, as the platform weighs both.
    pub fn net(&self) -> f64 {
        /// Price of wasting as much work as was done, in shares of the worth owed.
        const WASTE_PRICE: f64 = 0.9;
        self.served() - WASTE_PRICE * self.waste / (self.useful + self.waste).max(1.0)
    }

    /// Worth earned over worth owed of a queue.
    pub fn worth(&self, queue: &str) -> f64 {
        let tally = self.tallies.iter().find(|tally| tally.queue == queue);
        tally.map_or(1.0, |tally| tally.worth.0 / tally.worth.1.max(1e-9))
    }

    /// Share of a queue's jobs that ended within their objective.
    pub fn on_time(&self, queue: &str) -> f64 {
        let tally = self.tallies.iter().find(|tally| tally.queue == queue);
        tally.map_or(1.0, |tally| tally.on_time as f64 / tally.owed.max(1) as f64)
    }

    /// Wait of a queue's jobs for the first start that a share of them do not exceed, in milliseconds.
    pub fn wait_ms(&self, queue: &str, share: f64) -> u64 {
        let tally = self.tallies.iter().find(|tally| tally.queue == queue);
        let mut waits = tally
            .map(|tally| tally.waits_ms.clone())
            .unwrap_or_default();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        waits
            .get((last as f64 * share) as usize)
            .copied()
            .unwrap_or(0)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "queue    owed on-time late  worth wait-p50-ms wait-p99-ms"
        )?;
        for tally in &self.tallies {
            writeln!(
                f,
                "{:<8} {:>4} {:>7} {:>4} {:>6.3} {:>11} {:>11}",
                tally.queue,
                tally.owed,
                tally.on_time,
                tally.late,
                tally.worth.0 / tally.worth.1.max(1e-9),
                self.wait_ms(tally.queue, 0.5),
                self.wait_ms(tally.queue, 0.99),
            )?;
        }
        write!(
            f,
            "served {:.3}, waste {:.0} core-s of {:.0}",
            self.served(),
            self.waste,
            self.useful + self.waste
        )
    }
}
