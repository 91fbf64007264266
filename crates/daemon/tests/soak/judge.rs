use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// Upstreams of a zone.
pub const ZONE: usize = 2;

/// Time after the acknowledged evacuation of a zone within which a start may still arrive there.
const EVACUATE: Duration = Duration::from_secs(5);

/// A start that an upstream has carried out.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Whether the upstream has room for it.
    pub fits: bool,
    /// Whether it was carried out long after it was sent.
    pub is_late: bool,
}

/// What upstreams and callers have seen, checked against the promises.
#[derive(Debug, Default)]
pub struct Judge {
    seen: Mutex<Seen>,
}

#[derive(Debug, Default)]
struct Seen {
    breaches: Vec<String>,
    /// Upstreams on which each task runs.
    running: BTreeMap<String, BTreeSet<usize>>,
    /// Starts of each task.
    starts: BTreeMap<String, usize>,
    /// Upstream and task of the runs that ended as done, and how often the task had been started then.
    done: BTreeMap<(usize, String), usize>,
    /// Tasks whose end as done was taken note of.
    noted: BTreeSet<String>,
    submitted: BTreeSet<String>,
    version: u64,
    /// The evacuated zone, and when that was acknowledged.
    evacuated: Option<(usize, Instant)>,
}

impl Judge {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn breach(&self, text: String) {
        self.seen().breaches.push(text);
    }

    pub fn breaches(&self) -> Vec<String> {
        self.seen().breaches.clone()
    }

    /// A caller is about to hand in a job.
    pub fn submitted(&self, job: &str) {
        self.seen().submitted.insert(job.to_owned());
    }

    /// An upstream begins a run.
    pub fn begun(&self, upstream: usize, task: &str, start: Start) {
        let mut seen = self.seen();
        let job = task.split('.').next().unwrap_or_default();
        if !seen.submitted.contains(job) {
            seen.breaches.push(format!("{task} was not asked for"));
        }
        if !start.fits {
            seen.breaches
                .push(format!("{task} overfills upstream {upstream}"));
        }
        if let Some((zone, at)) = seen.evacuated
            && upstream / ZONE == zone
            && !start.is_late
            && at.elapsed() > EVACUATE
        {
            seen.breaches
                .push(format!("{task} was started in the evacuated zone {zone}"));
        }
        *seen.starts.entry(task.to_owned()).or_default() += 1;
        if seen.noted.contains(task) {
            seen.breaches
                .push(format!("{task} was started after it was done"));
        }
        let hosts = seen.running.entry(task.to_owned()).or_default();
        hosts.insert(upstream);
        if hosts.len() > 1 {
            let text = format!("{task} runs on {hosts:?}");
            seen.breaches.push(text);
        }
    }

    /// A run is over on an upstream.
    pub fn over(&self, upstream: usize, task: &str) {
        if let Some(hosts) = self.seen().running.get_mut(task) {
            hosts.remove(&upstream);
        }
    }

    /// A run has ended as done on an upstream.
    pub fn done(&self, upstream: usize, task: &str) {
        let mut seen = self.seen();
        let starts = seen.starts.get(task).copied().unwrap_or(0);
        seen.done.insert((upstream, task.to_owned()), starts);
    }

    /// The end of a task as done on an upstream is taken note of, now if not before.
    pub fn noted(&self, upstream: usize, task: &str) {
        let mut seen = self.seen();
        let starts = seen.starts.get(task).copied();
        let starts_then = seen.done.get(&(upstream, task.to_owned())).copied();
        seen.noted.insert(task.to_owned());
        if starts > starts_then {
            seen.breaches.push(format!(
                "{task} was started between its end as done and the note of it"
            ));
        }
    }

    /// An operator's configuration was acknowledged.
    pub fn acknowledged(&self, version: u64) {
        let mut seen = self.seen();
        seen.version = seen.version.max(version);
    }

    /// The evacuation of a zone was acknowledged at a time, or its end is about to be ordered.
    pub fn evacuated(&self, evacuated: Option<(usize, Instant)>) {
        self.seen().evacuated = evacuated;
    }

    /// Newest acknowledged version.
    pub fn version(&self) -> u64 {
        self.seen().version
    }
}
