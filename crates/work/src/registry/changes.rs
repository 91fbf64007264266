use {super::State, crate::id, std::collections::VecDeque};

/// Limit of changes that are kept. A reader that has missed more reads the whole registry.
const MAX_CHANGES: usize = 32_768;

/// What a command has changed of the runs, upstreams and jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream was registered, updated or removed.
    Upstream(id::Upstream),
    /// A run was assigned, moved or removed, on the given upstream.
    Run {
        /// The task of the run.
        task: id::Task,
        /// Number of the run.
        run: u32,
        /// Upstream on which it is or was.
        upstream: id::Upstream,
    },
    /// A job ended.
    JobEnded(id::Job, State),
}

/// The latest changes, each with the revision of the registry that made it.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes {
    latest: VecDeque<(u64, Change)>,
    /// Revision of the latest change that is not kept any more.
    dropped_revision: u64,
}

impl Changes {
    /// Adds a change made by a revision.
    pub fn record(&mut self, revision: u64, change: Change) {
        if self.latest.len() >= MAX_CHANGES
            && let Some((dropped, _)) = self.latest.pop_front()
        {
            self.dropped_revision = dropped;
        }
        self.latest.push_back((revision, change));
    }

    /// The changes made after a revision, oldest first; none if some of them are not kept any more.
    pub fn since(&self, revision: u64) -> Option<impl Iterator<Item = &Change>> {
        if revision < self.dropped_revision {
            return None;
        }
        let first = self.latest.partition_point(|(made, _)| *made <= revision);
        Some(self.latest.range(first..).map(|(_, change)| change))
    }
}

/// The changes are no part of the replicated state, so they do not tell registries apart.
impl PartialEq for Changes {
    fn eq(&self, _: &Changes) -> bool {
        true
    }
}
