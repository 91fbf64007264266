use {
    super::{Options, Policy, upstream::Work, workload},
    model::config::Config,
    route::{Event, Router, Settings, member::Peer, share::Granter},
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
        time::Instant,
    },
};

/// Longest queue of the baseline with fixed limits.
pub(super) const FIXED_QUEUE: usize = 1024;

/// One instance.
pub(super) struct Node {
    pub(super) alive: bool,
    pub(super) kind: Kind,
    /// Attempts in progress: request and upstream.
    pub(super) attempts: HashMap<u64, (usize, usize)>,
    pub(super) next_attempt: u64,
}

pub(super) enum Kind {
    Current {
        router: Box<Router>,
        granter: Option<Box<Granter>>,
    },
    RoundRobin {
        next: usize,
    },
    Fixed {
        next: usize,
        limit: usize,
        busy: Vec<usize>,
        queue: VecDeque<usize>,
    },
}

impl Node {
    pub(super) fn new(
        options: &Options,
        policy: Policy,
        index: usize,
        config: &Arc<Config>,
        now: Instant,
    ) -> Node {
        let kind = match policy {
            Policy::Current => {
                let site = workload::site(index);
                let region = site.region.clone();
                let mut settings = Settings::new(index as u64 + 1, 1, site);
                (options.tune)(&mut settings);
                let max_deadline = settings.max_deadline;
                let mut router = Box::new(Router::new(settings));
                let peers = (0..options.instances)
                    .map(|index| Peer {
                        id: index as u64 + 1,
                        region: workload::site(index).region,
                    })
                    .collect();
                router.observe(Event::Peers(peers), now);
                router.observe(Event::Configured(Some(config.clone())), now);
                // The first instance of each region leads it.
                let leads = (0..index).all(|other| workload::site(other).region != region);
                let ids: Vec<u64> = (1..=options.instances as u64).collect();
                let granter =
                    leads.then(|| Box::new(Granter::new(&region, 1, &ids, max_deadline, now)));
                Kind::Current { router, granter }
            }
            Policy::RoundRobin => Kind::RoundRobin { next: index * 7 },
            Policy::FixedLimits => Kind::Fixed {
                next: index * 7,
                limit: (usize::from(options.slots) / options.instances).max(1),
                busy: vec![0; options.upstreams],
                queue: VecDeque::new(),
            },
        };
        Node {
            alive: true,
            kind,
            attempts: HashMap::new(),
            next_attempt: 0,
        }
    }

    /// Starts an attempt of a baseline.
    pub(super) fn start(&mut self, node: usize, request: usize, upstream: usize) -> Work {
        self.next_attempt += 1;
        let attempt = self.next_attempt;
        self.attempts.insert(attempt, (request, upstream));
        Work {
            node,
            attempt,
            request,
        }
    }
}
