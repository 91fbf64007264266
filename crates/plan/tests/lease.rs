//! How long the runs of an upstream that is lost keep their tasks from starting elsewhere.

mod leader;
mod listing;

use {
    leader::{idle_registry, registry, submit, sweep_task},
    listing::answer,
    plan::engine::{Effect, Engine, Event, Failure, Running, Settings},
    std::time::{Duration, Instant},
    work::{
        id,
        registry::{Answer, Command, Registry, Update, Void},
        upstream::StartReport,
    },
};

const STEP_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 1500;
/// Longer than the leases that the leader gives.
const MAX_LEASE_MS: u64 = 10_000;

/// Upstreams `a` and `b`, which are idle for a while, then get a task and are cut off right after its start.
struct Scene {
    registry: Registry,
    engine: Engine,
    origin: Instant,
    /// Rate of the upstreams' clocks.
    rate: f64,
    now_ms: u64,
    events: Vec<Event>,
    /// Upstream of the task, and the time at which its lease ends.
    started: Option<(id::Upstream, u64)>,
    /// When the leader takes the run to be over.
    lapsed_ms: Option<u64>,
}

impl Scene {
    fn new(rate: f64) -> Scene {
        let origin = Instant::now();
        let settings = Settings {
            max_lease: Duration::from_millis(MAX_LEASE_MS),
            ..Settings::default()
        };
        Scene {
            registry: idle_registry(),
            engine: Engine::new(settings, origin),
            origin,
            rate,
            now_ms: 0,
            events: vec![],
            started: None,
            lapsed_ms: None,
        }
    }

    /// The upstreams' clock.
    fn clock_ms(&self) -> u64 {
        (self.now_ms as f64 * self.rate) as u64
    }

    /// When a lease until `until_ms` by the upstream's clock ends, if it is given now.
    fn lease_end_ms(&self, until_ms: u64) -> u64 {
        let until_ms = until_ms.min(self.clock_ms() + MAX_LEASE_MS);
        (until_ms as f64 / self.rate) as u64
    }

    fn run_for(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            if self.now_ms.is_multiple_of(HEARTBEAT_MS) {
                self.beat();
            }
            let now = self.origin + Duration::from_millis(self.now_ms);
            let events = std::mem::take(&mut self.events);
            let effects = self
                .engine
                .step(events, &self.registry, now, 1000 + self.now_ms);
            for effect in &effects {
                self.carry_out(effect);
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Followers acknowledge heartbeats without changes and report them to the leader without the clock.
    fn beat(&mut self) {
        let beating = ["a", "b"].map(id::Upstream::from);
        let is_cut = |upstream: &id::Upstream| {
            let started = self.started.as_ref();
            started.is_some_and(|(cut, _)| cut == upstream)
        };
        let heard = beating.into_iter().filter(|upstream| !is_cut(upstream));
        let heard = heard.map(|upstream| Event::HeartbeatReceived {
            upstream,
            born_ms: 1,
            clock_ms: None,
        });
        self.events.extend(heard.collect::<Vec<_>>());
    }

    fn carry_out(&mut self, effect: &Effect) {
        match effect {
            Effect::Propose { proposal, updates } => {
                if has_lapsed(std::slice::from_ref(effect)) {
                    self.lapsed_ms.get_or_insert(self.now_ms);
                }
                let command = Command::Progress {
                    at_ms: 1000 + self.now_ms,
                    steps: updates.clone(),
                };
                let Answer::Runs(runs) = self.registry.apply(command) else {
                    unreachable!("updates are answered with runs");
                };
                let proposal = *proposal;
                self.events
                    .push(Event::ProposalCommitted { proposal, runs });
            }
            Effect::Hold { call, target, .. } => {
                let started = self.started.as_ref();
                let is_cut = started.is_some_and(|(cut, _)| *cut == target.upstream);
                self.events.push(match is_cut {
                    true => Event::HoldAnswered {
                        call: *call,
                        answer: Err(Failure::NoAnswer("cut off".into())),
                    },
                    false => answer(
                        std::slice::from_ref(effect),
                        target.upstream.as_str(),
                        vec![],
                        vec![],
                        self.clock_ms(),
                    ),
                });
            }
            Effect::Start {
                call,
                target,
                order,
            } if self.started.is_none() => {
                let lease_end_ms = self.lease_end_ms(order.lease_until_ms);
                self.started = Some((target.upstream.clone(), lease_end_ms));
                self.events.push(Event::StartAnswered {
                    call: *call,
                    answer: Ok(Some(self.clock_ms())),
                });
            }
            _ => {}
        }
    }
}

/// Hold of upstream `a` among the effects: call, and end of the lease by the upstream's clock.
fn hold(effects: &[Effect]) -> Option<(u64, Option<u64>)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Hold {
            call,
            target,
            order,
        } if target.upstream == "a".into() => Some((*call, order.lease_until_ms)),
        _ => None,
    })
}

fn has_lapsed(effects: &[Effect]) -> bool {
    let is_lapsed = |update: &Update| matches!(update, Update::Void { task, reason: Void::Lapsed, .. } if *task == sweep_task());
    effects.iter().any(|effect| match effect {
        Effect::Propose { updates, .. } => updates.iter().any(is_lapsed),
        _ => false,
    })
}

/// Guards against tasks that wait 10 s for the lease of an upstream that was lost, because it accepts leases of that
/// length, and against a run that is taken to be over while the upstream's clock, 2 % slow, still allows it.
#[test]
fn runs_on_a_lost_upstream_are_over_with_a_lease_of_six_seconds() {
    /// When the upstream is cut off; the leases of an earlier leader are over soon after.
    const CUT_MS: u64 = 9000;
    let registry = registry();
    let start = Instant::now();
    let settings = Settings {
        max_lease: Duration::from_secs(10),
        ..Settings::default()
    };
    let mut engine = Engine::new(settings, start);
    // The start of the run was answered under an earlier leader.
    let report = StartReport {
        covered_ms: 1000,
        settled: vec![],
        open: vec![],
    };
    engine.inherit_starts(&report, start);
    let mut events = vec![Event::Tick];
    let mut last_grant_ms = 0;
    let mut lapsed_ms = None;
    for ms in (0..30_000).step_by(20) {
        let now = start + Duration::from_millis(ms);
        let effects = engine.step(events, &registry, now, 1000 + ms);
        events = vec![Event::Tick];
        if let Some((call, lease_until_ms)) = hold(&effects) {
            if let Some(until_ms) = lease_until_ms {
                assert!(
                    until_ms <= 1000 + ms + 6000,
                    "a lease until {until_ms} at {ms} ms"
                );
                last_grant_ms = ms;
            }
            let running = Running {
                task: sweep_task(),
                run: 1,
                checkpoint: String::new(),
                percent: (ms / 100) as u8 % 100,
            };
            events.push(match ms < CUT_MS {
                true => answer(&effects, "a", vec![running], vec![], 1000 + ms),
                false => Event::HoldAnswered {
                    call,
                    answer: Err(Failure::NoAnswer("cut off".into())),
                },
            });
        }
        if lapsed_ms.is_none() && has_lapsed(&effects) {
            lapsed_ms = Some(ms);
        }
    }
    let waited_ms = lapsed_ms.expect("the run was never given up") - last_grant_ms;
    assert!((6120..6500).contains(&waited_ms), "{waited_ms} ms");
}

/// Guards against a task that starts elsewhere while its first run is at work: the clock of its upstream, 2 % slow, was
/// read a minute before the start, and the leader counted it forward as if it were exact.
#[test]
fn a_lease_from_an_old_reading_of_a_slow_clock_is_outlasted() {
    let mut scene = Scene::new(0.98);
    scene.run_for(60_000);
    submit(&mut scene.registry, sweep_task().job, "sweep");
    scene.run_for(12_000);
    let (_, lease_end_ms) = scene.started.expect("the task is started");
    let lapsed_ms = scene.lapsed_ms.expect("the run is given up");
    assert!(
        lapsed_ms >= lease_end_ms,
        "given up at {lapsed_ms} ms, and its lease ends at {lease_end_ms} ms"
    );
}

/// Guards against starts with a lease that is nearly over: the least time that a clock can show falls behind an exact
/// clock by 2 % of the time since it was read.
#[test]
fn the_clock_of_an_idle_upstream_is_read_again() {
    let mut scene = Scene::new(1.0);
    scene.run_for(600_000);
    submit(&mut scene.registry, sweep_task().job, "sweep");
    scene.run_for(1000);
    let (_, lease_end_ms) = scene.started.expect("the task is started");
    let left_ms = lease_end_ms.saturating_sub(600_000);
    assert!(left_ms >= 4000, "a lease of {left_ms} ms");
}
