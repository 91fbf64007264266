use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Longest time for which a departed or silent upstream may get new work.
pub const GONE_LIMIT: Duration = Duration::from_secs(3);

/// How one try of a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status. `request` is the id that its body carries, `sound` tells whether the
    /// body has the length and the checksum that it states.
    Whole {
        status: u16,
        request: Option<u64>,
        sound: bool,
    },
    /// A refusal with `x-ran: no`.
    NotRun(u16),
    /// A refusal with another `x-ran`.
    Unknown(u16),
    /// The connection ended before the whole answer.
    Broken(String),
    /// No whole answer before the caller gave up.
    Late,
    /// No connection.
    Unreachable,
}

/// One request sent to one instance. All times count from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Try {
    pub request: u64,
    pub number: u32,
    pub keyed: bool,
    pub instance: usize,
    pub sent: Duration,
    pub ended: Duration,
    pub outcome: Outcome,
}

/// One request that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub request: u64,
    pub number: u32,
    pub upstream: usize,
    pub began: Duration,
    pub ended: Option<Duration>,
}

/// An upstream that must get nothing new from `limit` after `at` on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gone {
    pub upstream: usize,
    pub at: Duration,
    pub limit: Duration,
}

/// An instance that shuts down gracefully.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    pub instance: usize,
    pub told: Duration,
    pub ended: Duration,
}

/// Everything that was recorded in one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    pub slots: usize,
    pub tries: Vec<Try>,
    pub runs: Vec<Run>,
    pub gone: Vec<Gone>,
    pub drains: Vec<Drain>,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An upstream ran this many requests at once.
    Overrun { upstream: usize, running: usize },
    /// An upstream got a request this long after it had gone.
    SentToGone { upstream: usize, after: Duration },
    /// A keyed request ran more than once.
    RanTwice { request: u64 },
    /// A try that was answered "not run" ran.
    RanDespiteNo { request: u64, number: u32 },
    /// An answer belongs to another request.
    Foreign { request: u64, got: Option<u64> },
    /// An answer ended normally without being whole.
    Damaged { request: u64 },
    /// An answer came although nothing ran.
    Invented { request: u64 },
    /// A request was interrupted by a graceful shutdown.
    Interrupted { request: u64, outcome: Outcome },
}

/// Finds every broken promise in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = overruns(history);
    found.extend(gone(history));
    found.extend(runs(history));
    found.extend(answers(history));
    found.extend(interruptions(history));
    found
}

fn overruns(history: &History) -> Vec<Violation> {
    let mut edges: BTreeMap<usize, Vec<(Duration, i32)>> = BTreeMap::new();
    for run in &history.runs {
        let edges = edges.entry(run.upstream).or_default();
        edges.push((run.began, 1));
        edges.extend(run.ended.map(|ended| (ended, -1)));
    }
    let mut found = Vec::new();
    for (upstream, mut edges) in edges {
        // At equal times ends come first.
        edges.sort_unstable();
        let mut running = 0;
        let mut peak = 0;
        for (_, step) in edges {
            running += step;
            peak = peak.max(running);
        }
        if peak as usize > history.slots {
            found.push(Violation::Overrun {
                upstream,
                running: peak as usize,
            });
        }
    }
    found
}

fn gone(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for gone in &history.gone {
        for run in &history.runs {
            if run.upstream == gone.upstream && run.began > gone.at + gone.limit {
                found.push(Violation::SentToGone {
                    upstream: gone.upstream,
                    after: run.began - gone.at,
                });
            }
        }
    }
    found
}

fn runs(history: &History) -> Vec<Violation> {
    let keyed: BTreeSet<u64> = history
        .tries
        .iter()
        .filter(|t| t.keyed)
        .map(|t| t.request)
        .collect();
    let refused: BTreeSet<(u64, u32)> = history
        .tries
        .iter()
        .filter(|t| matches!(t.outcome, Outcome::NotRun(_)))
        .map(|t| (t.request, t.number))
        .collect();
    let mut seen = BTreeSet::new();
    let mut found = Vec::new();
    for run in &history.runs {
        if !seen.insert(run.request) && keyed.contains(&run.request) {
            found.push(Violation::RanTwice {
                request: run.request,
            });
        }
        if refused.contains(&(run.request, run.number)) {
            found.push(Violation::RanDespiteNo {
                request: run.request,
                number: run.number,
            });
        }
    }
    found
}

fn answers(history: &History) -> Vec<Violation> {
    let ran: BTreeSet<u64> = history.runs.iter().map(|run| run.request).collect();
    let mut found = Vec::new();
    for t in &history.tries {
        let Outcome::Whole {
            status: 200,
            request,
            sound,
        } = t.outcome
        else {
            continue;
        };
        if !sound {
            found.push(Violation::Damaged { request: t.request });
        } else if request != Some(t.request) {
            found.push(Violation::Foreign {
                request: t.request,
                got: request,
            });
        } else if !ran.contains(&t.request) {
            found.push(Violation::Invented { request: t.request });
        }
    }
    found
}

fn interruptions(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for drain in &history.drains {
        for t in &history.tries {
            let meets =
                t.instance == drain.instance && t.sent <= drain.ended && t.ended >= drain.told;
            let cut = matches!(
                t.outcome,
                Outcome::Broken(_) | Outcome::Late | Outcome::Unknown(_)
            );
            if meets && cut {
                found.push(Violation::Interrupted {
                    request: t.request,
                    outcome: t.outcome.clone(),
                });
            }
        }
    }
    found
}
