use {
    super::World,
    crate::{Oracle, Report, Tally},
    work::{
        id,
        registry::{Change, State},
    },
};

/// The end of the day.
impl World {
    pub(super) fn note_ends(&mut self) {
        let seen = std::mem::replace(&mut self.noted_revision, self.book.revision());
        let Some(changes) = self.book.changes_since(seen) else {
            return;
        };
        for change in changes {
            if let Change::JobEnded(id, _) = change {
                self.ended.entry(*id).or_insert(self.now_ms);
            }
        }
    }

    /// Ends the day: checks what is shown, and adds up what was earned.
    pub fn finish(mut self) -> (Report, Oracle) {
        let jobs: Vec<id::Job> = self.arrivals.keys().copied().collect();
        self.oracle.finish(&self.book, jobs);
        let mut report = std::mem::take(&mut self.report);
        for (number, kind) in self.load.kinds.iter().enumerate() {
            let mut tally = Tally {
                queue: kind.queue,
                ..Tally::default()
            };
            for (id, arrival) in self
                .arrivals
                .iter()
                .filter(|(_, arrival)| arrival.kind == number)
            {
                let Some(job) = self.book.job(*id) else {
                    continue;
                };
                if job.state == State::Cancelled || arrival.truth.hopeless || arrival.truth.deadly {
                    continue;
                }
                let queue = self.book.queue(&job.queue);
                let (stretch, fixed) =
                    queue.map_or((1.0, 0), |queue| (queue.stretch, queue.objective_ms));
                let objective = stretch * arrival.truth.chain_ms(job) as f64 + fixed as f64;
                let size = arrival.truth.work_ms.iter().flatten().sum::<u64>() as f64
                    * job.form.steps[0].need.core_equivalents();
                let mean = kind.width * kind.work_ms * mean_cores(kind);
                let weight = (0.3 + 0.7 * size / mean).min(4.0);
                tally.owed += 1;
                tally.worth.1 += kind.worth.0 * weight;
                if let Some(first) = self.first_starts.get(id) {
                    tally.waits_ms.push((first - arrival.at_ms as f64) as u64);
                }
                let Some(end) = self.ended.get(id).filter(|_| job.state == State::Completed) else {
                    continue;
                };
                let took = end - arrival.at_ms as f64;
                if took <= objective {
                    tally.on_time += 1;
                    tally.worth.0 += kind.worth.0 * weight;
                } else if took <= 3.0 * objective {
                    tally.late += 1;
                    tally.worth.0 += kind.worth.1 * weight;
                }
            }
            report.tallies.push(tally);
        }
        (report, self.oracle)
    }
}

fn mean_cores(kind: &crate::Kind) -> f64 {
    let count = kind.accelerators.len() as f64;
    let accelerators = kind.accelerators.iter().sum::<i64>() as f64 / count;
    kind.room.core_equivalents() + accelerators * 8.0
}
