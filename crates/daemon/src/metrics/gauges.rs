use {
    super::Register,
    control::{
        group::Group,
        instance::{CONDITIONS, Instance, Method},
    },
    entry::Desk,
    model::job::State,
    prometheus::{Error, Gauge, GaugeVec, IntCounterVec, IntGauge, IntGaugeVec, Opts},
};

/// States of jobs with their names.
const STATES: [(State, &str); 9] = [
    (State::Queued, "queued"),
    (State::Placed, "placed"),
    (State::Starting, "starting"),
    (State::Running, "running"),
    (State::Stopping, "stopping"),
    (State::Done, "done"),
    (State::Failed, "failed"),
    (State::Cancelled, "cancelled"),
    (State::Unknown, "unknown"),
];

/// Values that are read when the metrics are.
pub(super) struct Gauges {
    number: IntGauge,
    lease: Gauge,
    ready: IntGauge,
    leading: IntGaugeVec,
    known: IntGaugeVec,
    term: IntGaugeVec,
    commit: IntGaugeVec,
    applied: IntGaugeVec,
    stopped: IntGaugeVec,
    jobs: IntGaugeVec,
    workers: IntGaugeVec,
    owed: IntGaugeVec,
    slots: IntGaugeVec,
    waiting: IntGauge,
    pending: IntGauge,
    upstreams: IntGaugeVec,
    received: IntCounterVec,
    made: IntCounterVec,
    age: GaugeVec,
}

impl Gauges {
    pub(super) fn new(register: &mut Register) -> Result<Gauges, Error> {
        let mut one = |name: &str, help: &str| register.add(IntGauge::new(name, help));
        let number = one(
            "trefoilvalve_configuration_number",
            "Number of the configuration that this instance has applied; 0 before the first.",
        )?;
        let ready = one(
            "trefoilvalve_ready",
            "1 if the balancer should send requests here, else 0.",
        )?;
        let waiting = one(
            "trefoilvalve_router_waiting_requests",
            "Requests in the queues of this instance.",
        )?;
        let pending = one(
            "trefoilvalve_router_pending_requests",
            "Requests of this instance that are neither answered nor refused.",
        )?;
        let lease = register.add(Gauge::new(
            "trefoilvalve_configuration_lease_seconds",
            "Time until the lease on the configuration ends; at 0, nothing is admitted.",
        ))?;
        let mut group = |name: &str, help: &str, labels: &[&str]| {
            register.add(IntGaugeVec::new(Opts::new(name, help), labels))
        };
        Ok(Gauges {
            number,
            lease,
            ready,
            waiting,
            pending,
            leading: group(
                "trefoilvalve_group_leading",
                "1 if this replica leads its group with a valid lease, else 0.",
                &["group"],
            )?,
            known: group(
                "trefoilvalve_group_leader_known",
                "1 if this replica knows a leader of its group, else 0.",
                &["group"],
            )?,
            term: group(
                "trefoilvalve_group_term",
                "Term of this replica; grows with each election.",
                &["group"],
            )?,
            commit: group(
                "trefoilvalve_group_commit_index",
                "Last log index known to be committed.",
                &["group"],
            )?,
            applied: group(
                "trefoilvalve_group_applied_index",
                "Last log index applied to the state.",
                &["group"],
            )?,
            stopped: group(
                "trefoilvalve_group_stopped",
                "1 if this replica stopped for a fault of its disk or state, else 0.",
                &["group"],
            )?,
            jobs: group(
                "trefoilvalve_jobs",
                "Jobs by state, from the leader of the group; ended jobs are kept for 7 days.",
                &["group", "state"],
            )?,
            workers: group(
                "trefoilvalve_workers",
                "Workers by state, from the leader of the group.",
                &["group", "state"],
            )?,
            owed: group(
                "trefoilvalve_guarantees_owed",
                "Guarantees that cannot be proved, from the leader of the group.",
                &["group"],
            )?,
            slots: group(
                "trefoilvalve_router_slots",
                "Slots of upstreams that this instance may use (share), and those in use (busy).",
                &["kind"],
            )?,
            upstreams: group(
                "trefoilvalve_upstreams",
                "Upstreams that this instance knows, by whether they get new work.",
                &["state"],
            )?,
            received: register.add(IntCounterVec::new(
                Opts::new(
                    "trefoilvalve_peer_calls_received_total",
                    "Calls received from other instances.",
                ),
                &["method"],
            ))?,
            made: register.add(IntCounterVec::new(
                Opts::new(
                    "trefoilvalve_peer_calls_total",
                    "Calls made to other instances; failed ones had no usable answer in time.",
                ),
                &["method", "outcome"],
            ))?,
            age: register.add(GaugeVec::new(
                Opts::new(
                    "trefoilvalve_group_leading_seconds",
                    "Time for which this replica has led its group; 0 if it does not lead.",
                ),
                &["group"],
            ))?,
        })
    }

    /// Reads all values.
    pub(super) fn refresh(&self, instance: &Instance, desk: &Desk, ready: bool) {
        self.number.set(whole(instance.number()));
        self.lease.set(instance.lease().as_secs_f64());
        self.ready.set(i64::from(ready));
        for group in instance.groups() {
            self.group(instance, group);
        }
        let (slots, waiting, pending, usable, known) = desk.with(|router, now| {
            let members = router.members();
            let (usable, known) = (members.usable(now).count(), members.all(now).count());
            (
                router.slots(),
                router.waiting(),
                router.pending(),
                usable,
                known,
            )
        });
        let kind = |kind: &str, value: u32| self.slots.with_label_values(&[kind]).set(value.into());
        kind("share", slots.0);
        kind("busy", slots.1);
        self.waiting.set(whole(waiting as u64));
        self.pending.set(whole(pending as u64));
        let state = |state: &str, count: usize| {
            let gauge = self.upstreams.with_label_values(&[state]);
            gauge.set(whole(count as u64));
        };
        state("in-service", usable);
        state("no-new-work", known.saturating_sub(usable));
        self.calls(instance);
    }

    fn group(&self, instance: &Instance, group: &Group) {
        let (name, view) = (group.name(), group.view());
        let set =
            |gauge: &IntGaugeVec, value: u64| gauge.with_label_values(&[name]).set(whole(value));
        set(&self.leading, view.leading_since.is_some().into());
        set(&self.known, view.leader.is_some().into());
        set(&self.term, view.term);
        set(&self.commit, view.commit_index);
        set(&self.applied, view.applied_index);
        set(&self.stopped, view.stop_reason.is_some().into());
        let now = instance.setup().clock.now();
        let age = view.leading_since.map_or(0.0, |since| {
            now.saturating_duration_since(since).as_secs_f64()
        });
        self.age.with_label_values(&[name]).set(age);
        let Some(gauges) = instance.gauges(group) else {
            // Only the leader's figures count, so sums over the instances are right.
            for (_, state) in STATES {
                drop(self.jobs.remove_label_values(&[name, state]));
            }
            for condition in CONDITIONS {
                drop(self.workers.remove_label_values(&[name, condition]));
            }
            drop(self.owed.remove_label_values(&[name]));
            return;
        };
        for (state, label) in STATES {
            let count = gauges.jobs.get(&state).copied().unwrap_or(0);
            let gauge = self.jobs.with_label_values(&[name, label]);
            gauge.set(whole(count as u64));
        }
        for condition in CONDITIONS {
            let count = gauges.workers.get(condition).copied().unwrap_or(0);
            let gauge = self.workers.with_label_values(&[name, condition]);
            gauge.set(whole(count as u64));
        }
        set(&self.owed, gauges.owed as u64);
    }

    fn calls(&self, instance: &Instance) {
        // The instance counts by itself; the difference is added, since counters only grow.
        let raise = |counter: prometheus::IntCounter, total: u64| {
            counter.inc_by(total.saturating_sub(counter.get()));
        };
        for method in Method::ALL {
            let (name, count) = (method.name(), instance.calls().count(method));
            raise(self.received.with_label_values(&[name]), count.received);
            if method != Method::Deliver {
                let made = |outcome| self.made.with_label_values(&[name, outcome]);
                raise(made("answered"), count.answered);
                raise(made("failed"), count.failed);
            }
        }
    }
}

fn whole(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
