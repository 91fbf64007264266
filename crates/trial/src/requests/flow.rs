use {
    super::{
        Policy,
        node::{FIXED_QUEUE, Kind},
        upstream::Work,
        workload::{self, ACCOUNTS},
        world::{CALLER, CLAIM, CROSS, Step, World, latency, permits},
    },
    model::request::Ran,
    route::{Action, Event, Head, Outcome as End},
    std::time::Duration,
};

/// The way of requests through instances and upstreams.
impl World<'_> {
    pub(super) fn arrive(&mut self, index: usize) {
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

    pub(super) fn send(&mut self, node: usize, request: usize, up: usize) {
        let work = self.nodes[node].start(node, request, up);
        self.sent[request] = Some((work, up));
        let delay = latency(&workload::site(node), &self.upstreams[up].site);
        self.after(delay, Step::Reach { up, work });
    }

    pub(super) fn serve_queue(&mut self, node: usize) {
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

    pub(super) fn reach(&mut self, up: usize, work: Work) {
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

    pub(super) fn begin_work(&mut self, up: usize, work: Work) {
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

    pub(super) fn next_waiting(&mut self, up: usize) {
        if let Some(work) = self.upstreams[up].waiting.pop_front() {
            self.begin_work(up, work);
        }
    }

    pub(super) fn finish(&mut self, up: usize, work: Work) {
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

    pub(super) fn answer(&mut self, work: Work) {
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
    pub(super) fn deadline(&mut self, request: usize) {
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

    pub(super) fn perform(&mut self, node: usize, actions: Vec<Action>) {
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
}
