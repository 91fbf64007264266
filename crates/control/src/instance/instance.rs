use {
    super::{Calls, Error, Setup, handler::Server, loops},
    crate::{
        follow::{Follower, Ledger},
        group::{self, Group},
        jobs::{self, Controller, Findings},
        peers::Peers,
        worker::Registry,
    },
    indexmap::IndexMap,
    model::{config::Config, worker::Announcement},
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Announcements of different workers that wait for the next report.
const MAX_RELAYED: usize = 4096;

/// Time for the last reports of an instance that shuts down, so that leaders that do not answer delay its end little.
const FINAL_REPORT_LIMIT: Duration = Duration::from_secs(2);

/// A running instance.
pub struct Instance {
    pub(super) setup: Setup,
    pub(super) peers: Peers,
    pub(super) groups: IndexMap<String, Group>,
    pub(super) controllers: IndexMap<String, Controller>,
    pub(super) registries: IndexMap<String, Arc<Registry>>,
    pub(super) follower: Arc<Follower>,
    pub(super) calls: Calls,
    ledger: Mutex<Ledger>,
    hints: Mutex<IndexMap<String, u64>>,
    /// Announcements to be reported, by group and worker.
    relay: Mutex<IndexMap<(String, String), Announcement>>,
    stopped: AtomicBool,
    drained: AtomicBool,
    /// Last time given to a claim or settlement of this process.
    stamp: AtomicU64,
    _folder: Option<disk::Folder>,
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Instance {
    /// Opens the disk, starts the replicas and controllers, and joins the other instances.
    ///
    /// Must be called on a tokio runtime.
    pub fn spawn(setup: Setup) -> Result<Arc<Instance>, Error> {
        let own = setup
            .instances
            .get(&setup.id)
            .ok_or_else(|| Error::NotRun(format!("instance {} is not listed", setup.id)))?;
        let others = setup.instances.iter().filter(|(id, _)| **id != setup.id);
        let addresses: Vec<_> = others.map(|(id, place)| (*id, place.peers)).collect();
        let peers = Peers::bind(setup.id, own.peers, addresses, setup.call_timeout)?;
        let folder = setup.folder.as_ref().map(disk::Folder::open).transpose()?;
        let mut groups = IndexMap::new();
        for (name, members) in &setup.groups {
            let Some(folder) = folder.as_ref().filter(|_| members.contains(&setup.id)) else {
                continue;
            };
            let group = group::Setup {
                name: name.clone(),
                id: setup.id,
                settings: setup.quorum.clone(),
                clock: setup.clock.clone(),
                peers: peers.clone(),
            };
            groups.insert(name.clone(), Group::spawn(folder, group)?);
        }
        let follower = Arc::new(Follower::default());
        let mut controllers = IndexMap::new();
        let mut registries = IndexMap::new();
        for (name, group) in &groups {
            let homes = setup.homes.iter().filter(|(_, home)| *home == name);
            let regions: Vec<String> = homes.map(|(region, _)| region.clone()).collect();
            if regions.is_empty() {
                continue;
            }
            let registry = Arc::new(Registry::default());
            registries.insert(name.clone(), registry.clone());
            let context = jobs::Context {
                group: group.clone(),
                follower: follower.clone(),
                registry,
                link: setup.link.clone(),
                clock: setup.clock.clone(),
                settings: jobs::Settings {
                    regions,
                    ..setup.jobs.clone()
                },
                findings: Findings::new(setup.observer.clone()),
            };
            controllers.insert(name.clone(), Controller::spawn(context));
        }
        let instance = Arc::new(Instance {
            setup,
            peers,
            groups,
            controllers,
            registries,
            follower,
            calls: Calls::default(),
            ledger: Mutex::default(),
            hints: Mutex::default(),
            relay: Mutex::default(),
            stopped: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            stamp: AtomicU64::new(0),
            _folder: folder,
        });
        instance
            .peers
            .set_handler(Arc::new(Server(instance.clone())));
        super::loops::spawn(&instance);
        Ok(instance)
    }

    /// What the instance was started with.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    /// The configuration if it is known to be current; without it nothing may be admitted.
    pub fn current(&self) -> Option<Arc<Config>> {
        self.follower.current(self.setup.clock.now())
    }

    /// Number of the applied configuration.
    pub fn number(&self) -> u64 {
        self.follower.number()
    }

    /// Time until the lease on the configuration ends.
    pub fn lease(&self) -> Duration {
        self.follower.lease(self.setup.clock.now())
    }

    /// The replicas of this instance.
    pub fn groups(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// Group that keeps the jobs and claims of a region.
    pub fn home(&self, region: &str) -> Option<&str> {
        self.setup.homes.get(region).map(String::as_str)
    }

    /// Takes the announcement of a worker and passes it on to the leader of its region's group.
    pub fn hear_worker(&self, announcement: Announcement) -> Result<(), Error> {
        let region = &announcement.worker.site.region;
        let group = self
            .home(region)
            .ok_or_else(|| Error::NotRun(format!("the settings name no home for region {region}")))?
            .to_owned();
        let key = (group, announcement.worker.name.clone());
        let mut relay = lock(&self.relay);
        if relay.len() >= MAX_RELAYED && !relay.contains_key(&key) {
            return Err(Error::NotRun("too many workers announce themselves".into()));
        }
        relay.insert(key, announcement);
        Ok(())
    }

    pub(super) fn take_relay(&self, group: &str) -> Vec<Announcement> {
        let mut relay = lock(&self.relay);
        let taken = relay.extract_if(.., |(home, _), _| home == group);
        taken.map(|(_, announcement)| announcement).collect()
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    pub(super) fn hints(&self) -> MutexGuard<'_, IndexMap<String, u64>> {
        lock(&self.hints)
    }

    /// Whether an operator drains this instance: it serves what arrives, but asks the balancer for nothing.
    pub fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Relaxed)
    }

    pub(super) fn set_drained(&self, drained: bool) {
        let before = self.drained.swap(drained, Ordering::Relaxed);
        if before != drained {
            log::info!("event=drain_changed drained={drained}");
        }
    }

    /// A wall time that this process has not given to another claim or settlement, and later than all
    /// that it has: two requests with one key may arrive in the same millisecond.
    pub(super) fn stamp(&self, at_ms: u64) -> u64 {
        let next = |last: u64| Some(at_ms.max(last.saturating_add(1)));
        let last = self
            .stamp
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        let last = last.unwrap_or_else(|last| last);
        at_ms.max(last.saturating_add(1))
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Reports for the last time, hands over leadership and ends all loops and replicas.
    pub async fn shutdown(&self) {
        // The next report of the loop may be due only after the end of the process.
        let reports = loops::report_all(self);
        if tokio::time::timeout(FINAL_REPORT_LIMIT, reports)
            .await
            .is_err()
        {
            log::warn!(
                "event=final_report_unanswered limit_ms={}",
                FINAL_REPORT_LIMIT.as_millis()
            );
        }
        for group in self.groups.values() {
            group.transfer_leadership();
        }
        tokio::time::sleep(self.setup.quorum.heartbeat_interval * 2).await;
        self.stop();
    }

    /// Ends all loops and replicas at once.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for controller in self.controllers.values() {
            controller.stop();
        }
        for group in self.groups.values() {
            group.stop();
        }
    }
}
