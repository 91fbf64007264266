//! On which service jobs may run, over random sequences of configurations.

use {
    indexmap::{IndexMap, IndexSet},
    proptest::{prelude::*, test_runner::RngSeed},
    work::{
        config::{Config, Queue, Service},
        id,
        job::{Definition, Step},
        registry::{Command, Registry},
    },
};

const HOSTS: [&str; 3] = ["h1", "h2", "h"];
/// Some shadow others. The last one makes the same text as the first when each is written behind a host.
const PREFIXES: [&str; 4] = ["/a/", "/a/b/", "/c/", "1/a/"];
const NAMES: [&str; 3] = ["x", "y", "h1/a/"];
const SERVICES: [&str; 3] = ["s1", "s2", "s3"];

/// Positions in the tables above.
#[derive(Clone, Debug)]
struct Route {
    host: usize,
    prefix: usize,
    name: usize,
    service: usize,
}

#[derive(Clone, Debug)]
enum Event {
    /// Puts the routes in force; of several with one host and prefix, the first.
    Configure(Vec<Route>),
    /// Submits a job to a path below a host and prefix. A `late` submission is applied after the next configuration, as when
    /// both are proposed at the same time.
    Submit {
        host: usize,
        prefix: usize,
        late: bool,
    },
    /// Stores the registry and reads it.
    Restart,
}

fn route() -> impl Strategy<Value = Route> {
    let route = (
        0..HOSTS.len(),
        0..PREFIXES.len(),
        0..NAMES.len(),
        0..SERVICES.len(),
    );
    route.prop_map(|(host, prefix, name, service)| Route {
        host,
        prefix,
        name,
        service,
    })
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => proptest::collection::vec(route(), 0..5).prop_map(Event::Configure),
        5 => (0..HOSTS.len(), 0..PREFIXES.len(), any::<bool>())
            .prop_map(|(host, prefix, late)| Event::Submit { host, prefix, late }),
        1 => Just(Event::Restart),
    ]
}

fn config(version: u64, routes: &[Route]) -> Config {
    let mut queues: Vec<Queue> = Vec::new();
    for route in routes {
        let queue = Queue {
            name: NAMES[route.name].into(),
            host: HOSTS[route.host].into(),
            prefix: PREFIXES[route.prefix].into(),
            service: SERVICES[route.service].into(),
            timeout_ms: 1,
            ..Queue::default()
        };
        if !queues
            .iter()
            .any(|other| other.shares_endpoint_with(&queue))
        {
            queues.push(queue);
        }
    }
    let service = |name: &&str| Service {
        name: (*name).into(),
        ..Service::default()
    };
    Config {
        version,
        queues,
        services: SERVICES.iter().map(service).collect(),
        ..Config::default()
    }
}

fn submission(at_ms: u64, job: id::Job, queue: &Queue) -> Command {
    let step = Step {
        count: 1,
        ..Step::default()
    };
    Command::Submit {
        at_ms,
        job,
        account: None,
        queue: queue.endpoint(),
        form: Box::new(Definition {
            steps: vec![step],
            ..Definition::default()
        }),
    }
}

/// What the callers know: where each job was submitted, and the last service of each host and prefix.
#[derive(Default)]
struct Model {
    services: IndexMap<(String, String), String>,
    configured: IndexSet<(String, String)>,
    jobs: IndexMap<id::Job, (String, String)>,
    /// Jobs whose submission was applied after the next configuration.
    late: IndexSet<id::Job>,
}

impl Model {
    fn configure(&mut self, config: &Config) {
        self.configured.clear();
        for queue in &config.queues {
            let endpoint = (queue.host.clone(), queue.prefix.clone());
            self.services
                .insert(endpoint.clone(), queue.service.clone());
            self.configured.insert(endpoint);
        }
    }

    /// Jobs run on the service of the host and prefix at which they were submitted, and each queue counts its own. A job that
    /// arrived when its queue was gone has no queue.
    fn check(&self, registry: &Registry) -> Result<(), TestCaseError> {
        for (id, endpoint) in &self.jobs {
            let job = registry.job(*id).unwrap();
            let Some(queue) = registry.queue(&job.queue) else {
                let is_late = self.late.contains(id) && !self.configured.contains(endpoint);
                prop_assert!(is_late, "job {id} has no queue");
                continue;
            };
            prop_assert_eq!(
                Some(&queue.service),
                self.services.get(endpoint),
                "job {}",
                id
            );
        }
        for (host, prefix) in &self.configured {
            let found = registry
                .config()
                .and_then(|config| config.route(host, prefix));
            let endpoint = found.unwrap().queue.endpoint();
            let owner = (host.clone(), prefix.clone());
            let jobs = self.jobs.values().filter(|job| **job == owner).count();
            prop_assert_eq!(registry.unstarted_jobs(&endpoint), jobs);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1024, failure_persistence: None, rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    /// Guards against jobs that run on the service of another route, or are counted there: with routes of one name, renamed,
    /// moved to another service, shadowed by a longer prefix, removed and added again, of which host and prefix make one text,
    /// or replaced while a submission is on its way.
    #[test]
    fn jobs_run_on_the_service_of_their_route(events in proptest::collection::vec(event(), 1..40)) {
        let mut registry = Registry::default();
        let mut model = Model::default();
        let mut late_commands = Vec::new();
        for (number, event) in events.into_iter().enumerate() {
            let number = number as u64 + 1;
            match event {
                Event::Configure(routes) => {
                    let config = config(number, &routes);
                    prop_assert_eq!(config.check(), Ok(()));
                    model.configure(&config);
                    registry.apply(Command::Configure { at_ms: number, config: Box::new(config) });
                    for (job, endpoint, command) in late_commands.drain(..) {
                        model.jobs.insert(job, endpoint);
                        model.late.insert(job);
                        registry.apply(command);
                    }
                }
                Event::Submit { host, prefix, late } => {
                    let job = id::Job(number);
                    let path = format!("{}{job}", PREFIXES[prefix]);
                    let found = registry.config().and_then(|config| config.route(HOSTS[host], &path));
                    let Some(queue) = found.map(|found| found.queue.clone()) else {
                        continue;
                    };
                    let endpoint = (queue.host.clone(), queue.prefix.clone());
                    let command = submission(number, job, &queue);
                    if late {
                        late_commands.push((job, endpoint, command));
                    } else {
                        model.jobs.insert(job, endpoint);
                        registry.apply(command);
                    }
                }
                Event::Restart => registry = Registry::load(&registry.save().unwrap()).unwrap(),
            }
            model.check(&registry)?;
        }
    }
}
