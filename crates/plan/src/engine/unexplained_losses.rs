use {
    super::engine::RunKey,
    work::{collections::IndexMap, id, registry::Blame},
};

/// A run that was voided because its upstream could not be reached for as long as its lease lasted.
#[derive(Clone, Debug)]
struct Loss {
    upstream: id::Upstream,
    born_ms: u64,
    /// How far the run has caused the crash of the upstream, if it has crashed.
    blame: Blame,
}

/// Losses of runs with upstreams that have crashed or are cut off. Which of the two becomes known once the upstream, or
/// another one at its address, answers again.
#[derive(Clone, Debug, Default)]
pub(super) struct UnexplainedLosses {
    losses: IndexMap<RunKey, Loss>,
    /// Losses that turned out to be crashes and are not recorded yet, in order of their confirmation.
    crashes: Vec<(id::Task, Blame)>,
}

impl UnexplainedLosses {
    /// Adds the loss of a run with an incarnation of an upstream.
    pub fn add(&mut self, key: RunKey, upstream: id::Upstream, born_ms: u64, blame: Blame) {
        if blame != Blame::None {
            let loss = Loss {
                upstream,
                born_ms,
                blame,
            };
            self.losses.insert(key, loss);
        }
    }

    /// Takes note that an incarnation of an upstream has crashed.
    pub fn confirm_crash(&mut self, upstream: &id::Upstream, born_ms: u64) {
        let is_of = |loss: &Loss| loss.upstream == *upstream && loss.born_ms == born_ms;
        let crashed = self.losses.extract_if(.., |_, loss| is_of(loss));
        for ((task, run), loss) in crashed {
            log::warn!(
                "event=crash_confirmed task={task} run={run} upstream={upstream} blame={}",
                loss.blame
            );
            self.crashes.push((task, loss.blame));
        }
    }

    /// Discards the losses with an upstream that has not crashed.
    pub fn discard(&mut self, upstream: &id::Upstream) {
        self.losses.retain(|_, loss| loss.upstream != *upstream);
    }

    /// Discards the losses of jobs that have ended.
    pub fn discard_ended(&mut self, is_open: impl Fn(id::Job) -> bool) {
        self.losses.retain(|(task, _), _| is_open(task.job));
        self.crashes.retain(|(task, _)| is_open(task.job));
    }

    /// Removes the earliest crash under a task that is not recorded yet; [`Blame::None`] if there is none.
    pub fn take_crash(&mut self, task: &id::Task) -> Blame {
        let position = self.crashes.iter().position(|(other, _)| other == task);
        position.map_or(Blame::None, |position| self.crashes.remove(position).1)
    }
}
