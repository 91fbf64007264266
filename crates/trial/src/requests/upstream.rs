use {model::place::Site, std::collections::VecDeque};

/// One request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Work {
    pub(super) node: usize,
    pub(super) attempt: u64,
    pub(super) request: usize,
}

/// A stand-in upstream: runs as many requests as it has slots and queues the others.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) site: Site,
    pub(super) running: Vec<Work>,
    pub(super) waiting: VecDeque<Work>,
    pub(super) sequence: u64,
    pub(super) departed: Option<f64>,
}

impl Upstream {
    pub(super) fn new(site: Site) -> Upstream {
        Upstream {
            site,
            running: Vec::new(),
            waiting: VecDeque::new(),
            sequence: 1,
            departed: None,
        }
    }

    /// Removes a request, running or not. Returns whether it was running.
    pub(super) fn remove(&mut self, work: Work) -> bool {
        self.waiting.retain(|other| *other != work);
        let before = self.running.len();
        self.running.retain(|other| *other != work);
        self.running.len() < before
    }
}
