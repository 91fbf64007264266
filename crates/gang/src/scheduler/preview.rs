use {
    super::Scheduler,
    crate::{Decision, Event, Preview, Reason},
    model::job::{Job, Spec, State},
    std::time::Instant,
};

/// Rounds of decisions that are looked at. Work of higher rank that waits is decided on first, one batch each round.
const MAX_ROUNDS: usize = 16;

impl Scheduler {
    /// Tells what would become of a job that was submitted now. Changes nothing.
    pub fn preview(&self, spec: &Spec, now: Instant) -> Preview {
        let mut copy = self.clone();
        let id = copy.jobs.keys().next_back().map_or(1, |last| last + 1);
        let wall_ms = copy.wall_clock.map_or(0, |(at, wall_ms)| {
            wall_ms + now.saturating_duration_since(at).as_millis() as u64
        });
        let job = Job {
            id,
            spec: spec.clone(),
            state: State::Queued,
            attempt: None,
            starts: 0,
            cancelled: false,
            borrowed: false,
            detail: String::new(),
            submitted_ms: wall_ms,
            changed_ms: wall_ms,
        };
        copy.observe(Event::JobAccepted(Box::new(job)), now);
        let mut stopped = Vec::new();
        for _ in 0..MAX_ROUNDS {
            let decisions = copy.decide(now);
            if decisions.is_empty() {
                break;
            }
            for decision in decisions {
                match decision {
                    Decision::Place {
                        job,
                        members,
                        borrowed,
                    } if job == id => return Preview::Starts { members, borrowed },
                    Decision::Fail { job, reason } if job == id => {
                        let reason = reason.to_string();
                        return Preview::Fails { reason };
                    }
                    Decision::Reclaim { job, reason } if reason.is_for(id) => stopped.push(job),
                    _ => {}
                }
            }
        }
        let reason = copy.explain(id).unwrap_or_default();
        Preview::Waits { reason, stopped }
    }
}

impl Reason {
    /// Whether work is stopped for this job.
    fn is_for(&self, id: u64) -> bool {
        match self {
            Reason::Claim { job }
            | Reason::Priority { job }
            | Reason::Reservation { job }
            | Reason::Compaction { job } => *job == id,
            _ => false,
        }
    }
}
