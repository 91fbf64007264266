//! An upstream of a [`Cluster`](crate::cluster::Cluster).

use {
    crate::cluster::{LONG, LONG_WORK_MS, WORK_MS},
    indexmap::IndexMap,
    plan::engine::{Listing, Running},
    work::{
        id,
        upstream::{End, Outcome},
    },
};

/// Number of ends that an upstream lists at a time.
pub const MAX_LISTED_ENDS: usize = 500;

/// An upstream.
pub struct Node {
    pub id: id::Upstream,
    pub address: String,
    pub born_ms: u64,
    pub is_up: bool,
    /// Whether it is cut off: it runs on and no call reaches it.
    pub is_cut: bool,
    pub crash_at_ms: Option<u64>,
    pub back_at_ms: u64,
    pub accelerators: i64,
    pub running: IndexMap<(id::Task, u32), u64>,
    pub ended: Vec<End>,
    pub last_end: u64,
}

impl Node {
    /// Its clock, which starts with the incarnation.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.born_ms)
    }

    pub fn end(&mut self, task: id::Task, run: u32, how: Outcome) {
        self.last_end += 1;
        self.ended.push(End {
            number: self.last_end,
            task,
            run,
            how,
            checkpoint: String::new(),
        });
    }

    pub fn list(&self, now_ms: u64) -> Listing {
        let running = self.running.iter().map(|((task, run), begun_ms)| Running {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            percent: ((now_ms - begun_ms) * 100 / work_ms(task.job)) as u8,
        });
        Listing {
            born_ms: Some(self.born_ms),
            clock_ms: Some(self.clock_ms(now_ms)),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() > MAX_LISTED_ENDS,
        }
    }
}

/// Work of a task of the job.
pub fn work_ms(job: id::Job) -> u64 {
    match job {
        LONG => LONG_WORK_MS,
        _ => WORK_MS,
    }
}
