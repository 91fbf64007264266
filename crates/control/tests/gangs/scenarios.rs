use {
    super::{link::Weather, world::World},
    control::fault::{Fault, plant},
    model::job::{Job, State},
    std::{ops::Range, time::Duration},
};

/// Far above the sum of all leases and pauses of a scenario.
const LIMIT: Duration = Duration::from_secs(120);

const STAGES: [State; 5] = [
    State::Queued,
    State::Placed,
    State::Starting,
    State::Running,
    State::Stopping,
];

/// What happens when the job reaches a state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Blow {
    None,
    Cancel,
    KillWorker,
    /// The leader's replica does not step for this time in milliseconds.
    Stall(u64),
    /// The leader is lost and elected again after this time in milliseconds.
    Depose(u64),
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    seed: u64,
    repeatable: bool,
    stage: State,
    blow: Blow,
    weather: Weather,
}

const CALM: Weather = Weather {
    lost: 0,
    unanswered: 0,
    late: 0,
};
const ROUGH: Weather = Weather {
    lost: 8,
    unanswered: 8,
    late: 8,
};

async fn run(plan: Plan) -> (Job, Vec<String>) {
    let mut world = World::new(plan.seed, plan.weather).await;
    let job = world.submit(plan.repeatable).await;
    for _ in 0..3000 {
        let now = world.job(job).state;
        if now == plan.stage || now.is_end() {
            break;
        }
        // A gang stops only for a reason.
        if plan.stage == State::Stopping && now == State::Running {
            world.kill(job);
        }
        world.step().await;
    }
    match plan.blow {
        Blow::None => {}
        Blow::Cancel => world.cancel(job).await,
        Blow::KillWorker => world.kill(job),
        Blow::Stall(ms) => world.stall(Duration::from_millis(ms)).await,
        Blow::Depose(ms) => world.depose(Duration::from_millis(ms)).await,
    }
    world.finish(job, LIMIT).await
}

fn plans() -> Vec<Plan> {
    let mut plans = Vec::new();
    for stage in STAGES {
        for blow in [
            Blow::Cancel,
            Blow::KillWorker,
            Blow::Stall(700),
            Blow::Depose(200),
            Blow::Depose(4000),
        ] {
            for repeatable in [true, false] {
                for (seed, weather) in [(1, CALM), (2, ROUGH)] {
                    plans.push(Plan {
                        seed,
                        repeatable,
                        stage,
                        blow,
                        weather,
                    });
                }
            }
        }
    }
    plans
}

fn check(plan: Plan, job: &Job, faults: &[String]) {
    assert!(faults.is_empty(), "{plan:?}: {faults:#?}");
    let expected = match (plan.blow, job.state) {
        (Blow::Cancel, State::Cancelled) => true,
        // The job may end before the cancellation, or while it stops.
        (Blow::Cancel, state) => matches!(state, State::Done | State::Failed | State::Unknown),
        (_, State::Done) => true,
        (_, State::Unknown) => !plan.repeatable,
        _ => false,
    };
    assert!(
        expected,
        "{plan:?} ended as {:?}: {}",
        job.state, job.detail
    );
}

async fn all(plans: impl Iterator<Item = Plan>) {
    for plan in plans {
        let (job, faults) = run(plan).await;
        check(plan, &job, &faults);
    }
}

fn of(wanted: impl Fn(Blow) -> bool) -> impl Iterator<Item = Plan> {
    plans().into_iter().filter(move |plan| wanted(plan.blow))
}

/// Guards against a cancelled job that runs on, keeps its reservation or never ends, whatever its state and
/// whichever orders and answers are lost or late.
#[tokio::test(start_paused = true)]
async fn cancellation_at_each_step() {
    all(of(|blow| blow == Blow::Cancel)).await;
}

/// Guards against a gang left running in part, or a job stuck for good, when a worker dies at any step and
/// never returns.
#[tokio::test(start_paused = true)]
async fn a_worker_that_dies_at_each_step() {
    all(of(|blow| blow == Blow::KillWorker)).await;
}

/// Guards against orders of a leader without a lease, a second start of a job that must not run twice, and
/// a gang that nobody carries on, when leadership is lost at any step for less or more than a worker's lease.
#[tokio::test(start_paused = true)]
async fn lost_leadership_at_each_step() {
    all(of(|blow| matches!(blow, Blow::Depose(_) | Blow::Stall(_)))).await;
}

/// Guards against a refusal that leaves the rest of the gang reserved: with one of three workers refusing,
/// the job runs on the two others.
#[tokio::test(start_paused = true)]
async fn a_refusal_leads_to_other_workers() {
    for name in ["w1", "w2", "w3"] {
        let mut world = World::new(5, CALM).await;
        world.refuse(name);
        let job = world.submit(false).await;
        let (job, faults) = world.finish(job, LIMIT).await;
        assert!(faults.is_empty(), "{name}: {faults:#?}");
        assert_eq!(job.state, State::Done, "{name}: {}", job.detail);
        assert_eq!(world.starts(), 1);
    }
}

/// Guards against lost and late orders and answers that break a gang, over many seeds.
#[tokio::test(start_paused = true)]
async fn lost_and_late_answers() {
    let plan = |seed| Plan {
        seed,
        repeatable: seed % 2 == 0,
        stage: State::Queued,
        blow: Blow::None,
        weather: Weather {
            lost: 12,
            unanswered: 12,
            late: 12,
        },
    };
    all((100..130).map(plan)).await;
}

/// Guards against a cancelled reservation that stays on a worker whose answer was lost: another job could not
/// use its accelerators before the lease ends.
#[tokio::test(start_paused = true)]
async fn a_cancelled_reservation_is_given_back_soon() {
    let mut world = World::new(
        7,
        Weather {
            unanswered: 100,
            ..CALM
        },
    )
    .await;
    let job = world.submit(true).await;
    while world.job(job).state != State::Placed {
        world.step().await;
    }
    for _ in 0..3 {
        world.step().await;
    }
    world.cancel(job).await;
    for _ in 0..100 {
        world.step().await;
    }
    assert_eq!(world.reserved(), 0);
}

/// Guards against a job that stops for good because a worker answers every order to stop with a running
/// task: an order to stop extends no lease, so the lease ends.
#[tokio::test(start_paused = true)]
async fn a_worker_that_never_confirms_a_stop() {
    let mut world = World::new(8, CALM).await;
    let job = world.submit(true).await;
    while world.job(job).state != State::Running {
        world.step().await;
    }
    world.never_stop();
    world.cancel(job).await;
    let (job, faults) = world.finish(job, LIMIT).await;
    assert_eq!((job.state, faults), (State::Cancelled, Vec::new()));
}

/// Guards against a job that stays in its state for good because the task that carries out its gang ended,
/// at any step, while the leader goes on.
#[tokio::test(start_paused = true)]
async fn a_gang_whose_task_ended_is_carried_on() {
    for stage in [State::Placed, State::Starting, State::Running] {
        let mut world = World::new(9, CALM).await;
        let job = world.submit(true).await;
        while world.job(job).state != stage {
            world.step().await;
        }
        world.panic_once();
        let (job, faults) = world.finish(job, LIMIT).await;
        assert_eq!((job.state, faults), (State::Done, Vec::new()), "{stage:?}");
    }
}

/// Added to the seeds of the plans until a planted fault is found.
const SEARCH_SEEDS: Range<u64> = 0..8;

/// Guards against scenarios that would not notice.
#[tokio::test(start_paused = true)]
async fn planted_faults_are_found() {
    for fault in [
        Fault::StartWithoutAllReserved,
        Fault::OrdersWithoutLease,
        Fault::RequeueBeforeLeaseEnd,
    ] {
        let mut found = false;
        for plan in SEARCH_SEEDS.flat_map(|offset| {
            let seeded = move |plan: Plan| Plan {
                seed: plan.seed + offset,
                ..plan
            };
            plans().into_iter().map(seeded)
        }) {
            plant(Some(fault));
            let (_, faults) = run(plan).await;
            plant(None);
            if !faults.is_empty() {
                println!("{fault:?} found by {plan:?}: {}", faults[0]);
                found = true;
                break;
            }
        }
        assert!(found, "{fault:?} was not found");
    }
}
