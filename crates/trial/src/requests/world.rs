use {
    super::{
        Options, Policy, Scenario,
        measure::{Fate, Outcome},
        node::{FIXED_QUEUE, Kind, Node},
        upstream::{Upstream, Work},
        workload::{self, ACCOUNTS, Arrival, BEFORE, WARM},
    },
    model::{config::Config, place::Site, request::Ran, upstream::Announcement},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    route::{
        Action, Event, Head, Outcome as End, Router,
        member::Delta,
        share::{Grant, Granter, Report},
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
const REGION: f64 = 0.0005;
const CROSS: f64 = 0.008;
const CALLER: f64 = 0.003;

/// Time to commit a claim in the region group.
const CLAIM: f64 = 0.003;

/// Time between two ticks of a router.
const TICK: f64 = 0.01;

/// When an instance dies, its region has a new leader, and upstreams depart, in the scenario of failures.
const DEATH: f64 = WARM + 4.0;
const ELECTION: f64 = DEATH + 1.5;
const DEPARTURE: f64 = WARM + 12.0;

/// Upstreams that depart then.
const DEPARTING: usize = 3;

/// Part of the messages between instances that are lost in the scenario of failures.
const LOSS: f64 = 0.05;

enum Step {
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
    options: &'a Options,
    scenario: Scenario,
    policy: Policy,
    rng: StdRng,
    epoch: Instant,
    now: f64,
    agenda: BinaryHeap<Reverse<(u64, u64)>>,
    steps: Vec<Option<Step>>,
    arrivals: Vec<Arrival>,
    pub(super) nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    /// Attempts of the baselines per request, for the deadline.
    sent: Vec<Option<(Work, usize)>>,
    outcome: Outcome,
}

fn latency(a: &Site, b: &Site) -> f64 {
    if a == b {
        INSIDE
    } else if a.region == b.region {
        REGION
    } else {
        CROSS
    }
}

fn permits(account: usize, site: &Site) -> bool {
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

    fn plan(&mut self, at: f64, step: Step) {
        let index = self.steps.len() as u64;
        self.steps.push(Some(step));
        self.agenda
            .push(Reverse(((at.max(self.now) * 1e9) as u64, index)));
    }

    fn after(&mut self, delay: f64, step: Step) {
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

    fn instant(&self) -> Instant {
        self.epoch + Duration::from_secs_f64(self.now)
    }

    fn broken(&mut self, text: String) {
        self.outcome.broken += 1;
        let now = self.now;
        self.outcome
            .first_broken
            .get_or_insert_with(|| format!("{text} at {now:.3} s"));
    }

    fn lost(&mut self) -> bool {
        self.scenario == Scenario::Failures && self.rng.random_bool(LOSS)
    }

    fn take(&mut self, step: Step) {
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

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            let at = next.at;
            self.plan(at, Step::Arrive(index + 1));
        }
        let arrival = self.arrivals[index].clone();
        let node = arrival.node;
        if !self.nodes[node].alive {
            return;
        }
        let epoch = self.epoch;
        let now = self.instant();
        match &mut self.nodes[node].kind {
            Kind::Current { router, .. } => {
                let head = Head {
                    request: index as u64,
                    account: ACCOUNTS[arrival.account].0.to_owned(),
                    class: arrival.class,
                    service: "fit".to_owned(),
                    deadline: epoch + Duration::from_secs_f64(arrival.deadline),
                    idempotent: arrival.idempotent,
                    replayable: true,
                };
                let actions = router.offer(head, now);
                self.perform(node, actions);
            }
            Kind::RoundRobin { next } => {
                let mut up = *next;
                loop {
                    up = (up + 1) % self.upstreams.len();
                    if permits(arrival.account, &self.upstreams[up].site) {
                        break;
                    }
                }
                *next = up;
                self.plan(arrival.deadline, Step::Deadline(index));
                self.send(node, index, up);
            }
            Kind::Fixed { queue, .. } => {
                if queue.len() >= FIXED_QUEUE {
                    self.outcome.fates[index].not_run = Some(self.now);
                    return;
                }
                queue.push_back(index);
                self.plan(arrival.deadline, Step::Deadline(index));
                self.serve_queue(node);
            }
        }
    }

    fn send(&mut self, node: usize, request: usize, up: usize) {
        let work = self.nodes[node].start(node, request, up);
        self.sent[request] = Some((work, up));
        let delay = latency(&workload::site(node), &self.upstreams[up].site);
        self.after(delay, Step::Reach { up, work });
    }

    fn serve_queue(&mut self, node: usize) {
        loop {
            let Kind::Fixed {
                next,
                limit,
                busy,
                queue,
            } = &mut self.nodes[node].kind
            else {
                return;
            };
            let now = self.now;
            while queue
                .front()
                .is_some_and(|request| self.arrivals[*request].deadline <= now)
            {
                queue.pop_front();
            }
            let Some(request) = queue.front().copied() else {
                return;
            };
            let account = self.arrivals[request].account;
            let count = self.upstreams.len();
            let found = (1..=count)
                .map(|step| (*next + step) % count)
                .find(|up| busy[*up] < *limit && permits(account, &self.upstreams[*up].site));
            let Some(up) = found else {
                return;
            };
            *next = up;
            busy[up] += 1;
            queue.pop_front();
            self.send(node, request, up);
        }
    }

    fn reach(&mut self, up: usize, work: Work) {
        let gone = self.upstreams[up].departed;
        if gone.is_some_and(|at| self.now > at + 3.0 + CROSS) && self.policy == Policy::Current {
            self.broken(format!("u{up} got work 3 s after its departure"));
        }
        if self.upstreams[up].running.len() < usize::from(self.options.slots) {
            return self.begin_work(up, work);
        }
        self.upstreams[up].waiting.push_back(work);
        if self.policy == Policy::Current {
            self.broken(format!("u{up} got more requests than slots"));
        }
    }

    fn begin_work(&mut self, up: usize, work: Work) {
        self.upstreams[up].running.push(work);
        let fate = &mut self.outcome.fates[work.request];
        if fate.started.is_none() {
            let home = workload::site(work.node).region;
            fate.cross_region = home != self.upstreams[up].site.region;
            fate.started = Some(self.now);
        }
        fate.runs += 1;
        let twice = fate.runs > 1 && !fate.idempotent;
        let refused = fate.not_run.is_some();
        if twice || refused {
            self.broken(format!(
                "request {} ran twice or after \"not run\"",
                work.request
            ));
        }
        let service = self.arrivals[work.request].service;
        self.after(service, Step::Finish { up, work });
    }

    fn next_waiting(&mut self, up: usize) {
        if let Some(work) = self.upstreams[up].waiting.pop_front() {
            self.begin_work(up, work);
        }
    }

    fn finish(&mut self, up: usize, work: Work) {
        if !self.upstreams[up].remove(work) {
            return;
        }
        self.outcome.fates[work.request]
            .finished
            .get_or_insert(self.now);
        let delay = latency(&workload::site(work.node), &self.upstreams[up].site);
        self.after(delay, Step::Answer { work });
        self.next_waiting(up);
    }

    fn answer(&mut self, work: Work) {
        let node = &mut self.nodes[work.node];
        let Some((request, up)) = node.attempts.remove(&work.attempt) else {
            return;
        };
        if !node.alive {
            return;
        }
        let answered = self.now + CALLER;
        match &mut node.kind {
            Kind::Current { .. } => {
                let attempt = work.attempt;
                self.observe(work.node, Event::Answering { attempt });
                self.observe(
                    work.node,
                    Event::Finished {
                        attempt,
                        outcome: End::Answered,
                    },
                );
            }
            Kind::RoundRobin { .. } => {}
            Kind::Fixed { busy, .. } => {
                busy[up] -= 1;
                self.serve_queue(work.node);
            }
        }
        self.outcome.fates[request].answered.get_or_insert(answered);
    }

    /// The caller of a baseline hangs up.
    fn deadline(&mut self, request: usize) {
        let Some((work, up)) = self.sent[request] else {
            return;
        };
        if self.nodes[work.node]
            .attempts
            .remove(&work.attempt)
            .is_none()
        {
            return;
        }
        let delay = latency(&workload::site(work.node), &self.upstreams[up].site);
        self.after(delay, Step::Cancel { up, work });
        if let Kind::Fixed { busy, .. } = &mut self.nodes[work.node].kind {
            busy[up] -= 1;
            self.serve_queue(work.node);
        }
    }

    fn router(&mut self, node: usize) -> Option<&mut Router> {
        match &mut self.nodes[node].kind {
            Kind::Current { router, .. } => Some(router),
            _ => None,
        }
    }

    fn observe(&mut self, node: usize, event: Event) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.instant();
        if let Some(router) = self.router(node) {
            let actions = router.observe(event, now);
            self.perform(node, actions);
        }
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Claim { request } => self.after(CLAIM, Step::Claimed { node, request }),
                Action::Send {
                    request,
                    attempt,
                    upstream,
                    ..
                } => {
                    let up: usize = upstream[1..].parse().unwrap_or(0);
                    let request = request as usize;
                    self.nodes[node].attempts.insert(attempt, (request, up));
                    let work = Work {
                        node,
                        attempt,
                        request,
                    };
                    let delay = latency(&workload::site(node), &self.upstreams[up].site);
                    self.after(delay, Step::Reach { up, work });
                    self.observe(node, Event::Sent { attempt });
                }
                Action::Cancel { request, attempt } => {
                    if let Some((_, up)) = self.nodes[node].attempts.remove(&attempt) {
                        let work = Work {
                            node,
                            attempt,
                            request: request as usize,
                        };
                        let delay = latency(&workload::site(node), &self.upstreams[up].site);
                        self.after(delay, Step::Cancel { up, work });
                    }
                    self.observe(
                        node,
                        Event::Finished {
                            attempt,
                            outcome: End::Stopped,
                        },
                    );
                }
                Action::Refuse { request, refusal } => {
                    if refusal.ran == Ran::No {
                        let now = self.now;
                        let fate = &mut self.outcome.fates[request as usize];
                        fate.not_run = Some(now);
                        if fate.runs > 0 {
                            self.broken(format!("request {request} ran and was \"not run\""));
                        }
                    }
                }
            }
        }
    }

    fn gossip(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(0.5, Step::Gossip(node));
        let now = self.instant();
        let messages = self
            .router(node)
            .map(|router| router.gossip(now))
            .unwrap_or_default();
        for (to, delta) in messages {
            let to = to as usize - 1;
            self.count(|outcome| &mut outcome.gossip_bytes, &delta);
            if !self.lost() {
                let delay = latency(&workload::site(node), &workload::site(to));
                self.after(
                    delay,
                    Step::Deliver {
                        to,
                        delta: Box::new(delta),
                    },
                );
            }
        }
    }

    fn reports(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.after(0.5, Step::Reports(node));
        let now = self.instant();
        let Some(router) = self.router(node) else {
            return;
        };
        let reports: Vec<(String, Report)> = router
            .regions(now)
            .into_iter()
            .map(|region| (region.clone(), router.report(&region, now)))
            .collect();
        for (region, report) in reports {
            self.count(|outcome| &mut outcome.share_bytes, &report);
            if !self.lost() {
                let home = workload::site(node).region == region;
                let delay = if home { REGION } else { CROSS };
                self.after(
                    delay,
                    Step::Report {
                        region,
                        report: Box::new(report),
                    },
                );
            }
        }
    }

    fn report(&mut self, region: &str, report: &Report) {
        let now = self.instant();
        let leader = self.nodes.iter_mut().enumerate().find(|(index, node)| {
            node.alive
                && workload::site(*index).region == region
                && matches!(
                    &node.kind,
                    Kind::Current {
                        granter: Some(_),
                        ..
                    }
                )
        });
        let Some((_, node)) = leader else {
            return;
        };
        let Kind::Current {
            router,
            granter: Some(granter),
        } = &mut node.kind
        else {
            return;
        };
        granter.supply(router.supplies(region, now), now);
        let Some(grant) = granter.grant(report, now) else {
            return;
        };
        let to = grant.instance as usize - 1;
        self.count(|outcome| &mut outcome.share_bytes, &grant);
        if !self.lost() {
            let home = workload::site(to).region == region;
            let delay = if home { REGION } else { CROSS };
            self.after(
                delay,
                Step::Grant {
                    to,
                    grant: Box::new(grant),
                },
            );
        }
    }

    fn announce(&mut self, up: usize) {
        if self.upstreams[up].departed.is_some() {
            return;
        }
        self.after(1.0, Step::Announce(up));
        self.announcement(up, false);
    }

    fn announcement(&mut self, up: usize, departing: bool) {
        let upstream = &mut self.upstreams[up];
        upstream.sequence += 1;
        let announcement = Announcement {
            upstream: model::upstream::Upstream {
                name: format!("u{up}"),
                service: "fit".into(),
                site: upstream.site.clone(),
                address: format!("10.0.0.{up}:8080"),
                slots: self.options.slots,
                connections: 64,
            },
            sequence: upstream.sequence,
            departing,
            busy: Some(upstream.running.len() as u16),
        };
        let region = upstream.site.region.clone();
        let near: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].alive && workload::site(*node).region == region)
            .collect();
        let node = near[self.rng.random_range(0..near.len())];
        self.observe(node, Event::Announced(announcement));
    }

    /// Counts the bytes of a message once the measurement has begun.
    fn count(
        &mut self,
        counter: impl Fn(&mut Outcome) -> &mut u64,
        message: &impl serde::Serialize,
    ) {
        if self.now >= WARM {
            *counter(&mut self.outcome) += size(message);
        }
    }

    /// The region of the dead leader elects its next live instance.
    fn elect(&mut self) {
        let now = self.instant();
        let region = workload::site(0).region;
        let ids: Vec<u64> = (1..=self.nodes.len() as u64).collect();
        let next = (0..self.nodes.len())
            .find(|node| self.nodes[*node].alive && workload::site(*node).region == region);
        if let Some(Kind::Current { granter, .. }) = next.map(|node| &mut self.nodes[node].kind) {
            let max = Duration::from_secs(60);
            *granter = Some(Box::new(Granter::new(&region, 2, &ids, max, now)));
        }
    }

    fn depart(&mut self) {
        for up in 0..DEPARTING.min(self.upstreams.len()) {
            self.upstreams[up].departed = Some(self.now);
            if self.policy == Policy::Current {
                self.announcement(up, true);
            }
        }
    }
}

/// Bytes of a message as JSON, an upper bound of its size as capnp.
fn size(message: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}
