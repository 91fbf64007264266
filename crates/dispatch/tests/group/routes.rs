use {
    super::helpers::{addresses, spawn},
    gate::{
        Outcome,
        call::{Action, Caller, JobState, Reply, Request},
    },
    std::time::Duration,
    work::{
        config::{Config, Queue, Service},
        id,
        job::{Definition, Step},
    },
};

fn queue(name: &str, host: &str, service: &str) -> Queue {
    Queue {
        name: name.into(),
        host: host.into(),
        prefix: "/x/".into(),
        service: service.into(),
        timeout_ms: 1000,
        public: true,
        ..Queue::default()
    }
}

fn configure(version: u64, queues: Vec<Queue>) -> Request {
    let service = |queue: &Queue| Service {
        name: queue.service.clone(),
        ..Service::default()
    };
    Request::Configure(Box::new(Config {
        version,
        services: queues.iter().map(service).collect(),
        queues,
        ..Config::default()
    }))
}

fn config(version: u64, name: &str) -> Request {
    configure(version, vec![queue(name, "host", "pool")])
}

fn call(host: &str, path: &str, action: Action) -> Request {
    let caller = Caller {
        host: host.into(),
        path: path.into(),
        key: None,
    };
    Request::Job { caller, action }
}

fn job_call(action: Action) -> Request {
    call("host", "/x/00000000000000d1", action)
}

fn submit() -> Action {
    Action::Submit(Box::new(Definition {
        steps: vec![Step {
            count: 1,
            ..Step::default()
        }],
        ..Definition::default()
    }))
}

/// Guards against accepted jobs that are unknown, and cannot be cancelled or submitted again, once their route has
/// another name.
#[tokio::test]
async fn jobs_are_found_under_their_host_and_prefix_after_a_change_of_the_name() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), true);
    let timeout = Duration::from_secs(20);
    let calls = [
        (config(1, "old"), Reply::Done),
        (job_call(submit()), Reply::Accepted),
        (config(2, "new"), Reply::Done),
        (job_call(Action::Show), Reply::Job(JobState::Queued)),
        (job_call(submit()), Reply::Accepted),
        (job_call(Action::Cancel), Reply::Cancelled),
    ];
    for (request, reply) in calls {
        assert_eq!(
            control.call(request, timeout).await,
            Outcome::Answered(reply)
        );
    }
}

/// Guards against jobs that run on the service of another route because a later version gives their route's name to that
/// route too.
#[tokio::test]
async fn jobs_stay_with_their_route_when_another_one_has_its_name() {
    let address = addresses(1)[0];
    let folder = tempfile::tempdir().unwrap();
    let control = spawn(address, &[address], folder.path(), true);
    let timeout = Duration::from_secs(20);
    let both = vec![
        queue("r", "host", "pool"),
        queue("r", "other", "other pool"),
    ];
    let calls = [
        (config(1, "r"), Reply::Done),
        (configure(2, both), Reply::Done),
        (job_call(submit()), Reply::Accepted),
        (call("host", "/x/", Action::Show), Reply::Waiting(1)),
        (call("other", "/x/", Action::Show), Reply::Waiting(0)),
    ];
    for (request, reply) in calls {
        assert_eq!(
            control.call(request, timeout).await,
            Outcome::Answered(reply)
        );
    }
    let state = control.replica().state().unwrap();
    let registry = state.registry();
    let job = registry.job(id::Job(0xd1)).unwrap();
    let service = registry
        .queue(&job.queue)
        .map(|queue| queue.service.as_str());
    assert_eq!(service, Some("pool"));
}
