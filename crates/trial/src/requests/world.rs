use {
    super::{
        Options, Policy, Scenario,
        measure::{Fate, Outcome},
        node::{Kind, Node},
        upstream::{Upstream, Work},
        workload::{self, ACCOUNTS, Arrival, BEFORE, WARM},
    },
    model::{config::Config, place::Site},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    route::{
        Event, Router,
        member::Delta,
        share::{Grant, Report},
    },
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One-way times in seconds: inside a data centre, between data centres of a region, between regions, and
/// to the callers.
const INSIDE: f64 = 0.0001;
pub(super) const REGION: f64 = 0.0005;
pub(super) const CROSS: f64 = 0.008;
pub(super) const CALLER: f64 = 0.003;

/// Time to commit a claim in the region group.
pub(super) const CLAIM: f64 = 0.003;

/// Time between two ticks of a router.
const TICK: f64 = 0.01;

/// When an instance dies, its region has a new leader, and upstreams depart, in the scenario of failures.
const DEATH: f64 = WARM + 4.0;
const ELECTION: f64 = DEATH + 1.5;
const DEPARTURE: f64 = WARM + 12.0;

/// Upstreams that depart then.
pub(super) const DEPARTING: usize = 3;

/// Part of the messages between instances that are lost in the scenario of failures.
const LOSS: f64 = 0.05;

pub(super) enum Step {
    Arrive(usize),
    Reach { up: usize, work: Work },
    Finish { up: usize, work: Work },
    Answer { work: Work },
    Cancel { up: usize, work: Work },
    Deadline(usize),
    Claimed { node: usize, request: u64 },
    Tick(usize),
    Gossip(usize),
    Deliver { to: usize, delta: Box<Delta> },
    Reports(usize),
    Report { region: String, report: Box<Report> },
    Grant { to: usize, grant: Box<Grant> },
    Announce(usize),
    Death,
    Election,
    Departure,
}

/// One run of a scenario.
pub(super) struct World<'a> {
    pub(super) options: &'a Options,
    pub(super) scenario: Scenario,
    pub(super) policy: Policy,
    pub(super) rng: StdRng,
    pub(super) epoch: Instant,
    pub(super) now: f64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    steps: Vec<Option<Step>>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) nodes: Vec<Node>,
    pub(super) upstreams: Vec<Upstream>,
    /// Attempts of the baselines per request, for the deadline.
    pub(super) sent: Vec<Option<(Work, usize)>>,
    pub(super) outcome: Outcome,
}

pub(super) fn latency(a: &Site, b: &Site) -> f64 {
    if a == b {
        INSIDE
    } else if a.region == b.region {
        REGION
    } else {
        CROSS
    }
}

pub(super) fn permits(account: usize, site: &Site) -> bool {
    ACCOUNTS[account].3.contains(&site.region.as_str())
}

fn config() -> Config {
    let accounts: serde_json::Map<String, serde_json::Value> = ACCOUNTS
        .iter()
        .map(|(name, _, weight, places)| {
            let account = serde_json::json!({ "places": places, "weight": weight });
            ((*name).to_owned(), account)
        })
        .collect();
    serde_json::from_value(serde_json::json!({ "number": 1, "accounts": accounts }))
        .unwrap_or_default()
}

impl<'a> World<'a> {
    /// Runs a scenario and returns what it shows.
    pub(super) fn run(
        options: &'a Options,
        scenario: Scenario,
        policy: Policy,
        seed: u64,
    ) -> Outcome {
        let epoch = Instant::now();
        let config = Arc::new(config());
        let arrivals = workload::arrivals(options, scenario, seed);
        let nodes = (0..options.instances)
            .map(|index| Node::new(options, policy, index, &config, epoch))
            .collect();
        let upstreams = (0..options.upstreams)
            .map(|index| Upstream::new(workload::site(index)))
            .collect();
        let fates = arrivals
            .iter()
            .map(|arrival| Fate {
                arrived: arrival.at,
                class: arrival.class,
                deadline: arrival.deadline,
                idempotent: arrival.idempotent,
                ..Fate::default()
            })
            .collect();
        let start = WARM + BEFORE;
        let end = workload::end(options, scenario);
        let mut world = World {
            options,
            scenario,
            policy,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            epoch,
            now: 0.0,
            agenda: BinaryHeap::new(),
            steps: Vec::new(),
            sent: vec![None; arrivals.len()],
            arrivals,
            nodes,
            upstreams,
            outcome: Outcome {
                fates,
                capacity: options.upstreams as f64 * f64::from(options.slots),
                crest: (start, start + options.crest_time.as_secs_f64()),
                end,
                ..Outcome::default()
            },
        };
        world.begin();
        world.drive(end);
        world.outcome
    }

    fn begin(&mut self) {
        if !self.arrivals.is_empty() {
            self.plan(self.arrivals[0].at, Step::Arrive(0));
        }
        if self.policy == Policy::Current {
            for node in 0..self.nodes.len() {
                let phase = node as f64 * 0.013;
                self.plan(phase, Step::Tick(node));
                self.plan(0.2 + phase, Step::Gossip(node));
                self.plan(0.3 + phase, Step::Reports(node));
            }
            for up in 0..self.upstreams.len() {
                self.plan(up as f64 / self.upstreams.len() as f64, Step::Announce(up));
            }
        }
        if self.scenario == Scenario::Failures {
            self.plan(DEATH, Step::Death);
            self.plan(ELECTION, Step::Election);
            self.plan(DEPARTURE, Step::Departure);
        }
    }

    pub(super) fn plan(&mut self, at: f64, step: Step) {
        let index = self.steps.len() as u64;
        self.steps.push(Some(step));
        self.agenda
            .push(Reverse(((at.max(self.now) * 1e9) as u64, index)));
    }

    pub(super) fn after(&mut self, delay: f64, step: Step) {
        self.plan(self.now + delay, step);
    }

    fn drive(&mut self, end: f64) {
        while let Some(Reverse((at, index))) = self.agenda.pop() {
            self.now = at as f64 / 1e9;
            if self.now > end {
                return;
            }
            if let Some(step) = self.steps[index as usize].take() {
                self.take(step);
            }
        }
    }

    pub(super) fn instant(&self) -> Instant {
        self.epoch + Duration::from_secs_f64(self.now)
    }

    pub(super) fn broken(&mut self, text: String) {
        self.outcome.broken += 1;
        let now = self.now;
        self.outcome
            .first_broken
            .get_or_insert_with(|| format!("{text} at {now:.3} s"));
    }

    pub(super) fn lost(&mut self) -> bool {
        self.scenario == Scenario::Failures && self.rng.random_bool(LOSS)
    }

    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(index) => self.arrive(index),
            Step::Reach { up, work } => self.reach(up, work),
            Step::Finish { up, work } => self.finish(up, work),
            Step::Answer { work } => self.answer(work),
            Step::Cancel { up, work } => {
                if self.upstreams[up].remove(work) {
                    self.next_waiting(up);
                }
            }
            Step::Deadline(request) => self.deadline(request),
            Step::Claimed { node, request } => self.observe(node, Event::Claimed { request }),
            Step::Tick(node) => {
                if self.nodes[node].alive {
                    self.observe(node, Event::Tick);
                    self.after(TICK, Step::Tick(node));
                }
            }
            Step::Gossip(node) => self.gossip(node),
            Step::Deliver { to, delta } => self.observe(to, Event::Gossip(*delta)),
            Step::Reports(node) => self.reports(node),
            Step::Report { region, report } => self.report(&region, &report),
            Step::Grant { to, grant } => self.observe(to, Event::Granted(*grant)),
            Step::Announce(up) => self.announce(up),
            Step::Death => self.nodes[0].alive = false,
            Step::Election => self.elect(),
            Step::Departure => self.depart(),
        }
    }

    pub(super) fn router(&mut self, node: usize) -> Option<&mut Router> {
        match &mut self.nodes[node].kind {
            Kind::Current { router, .. } => Some(router),
            _ => None,
        }
    }

    pub(super) fn observe(&mut self, node: usize, event: Event) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.instant();
        if let Some(router) = self.router(node) {
            let actions = router.observe(event, now);
            self.perform(node, actions);
        }
    }
}
