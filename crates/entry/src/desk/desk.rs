use {
    super::Ticket,
    crate::deps::Configuration,
    model::{clock::Clock, config::Config},
    route::{Action, Event, Head, Outcome, Router},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::mpsc::{UnboundedSender, unbounded_channel},
};

/// Time between two looks at the configuration lease while nothing is pending.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Actions leave the router under its lock, so that each request sees them in order.
struct Inner {
    router: Router,
    inboxes: HashMap<u64, UnboundedSender<Action>>,
    /// When each attempt that has not begun was decided on.
    decided: HashMap<u64, Instant>,
}

/// One instance's router, shared by its connections and its messages to other instances.
pub struct Desk {
    inner: Mutex<Inner>,
    clock: Arc<dyn Clock>,
    configuration: Arc<dyn Configuration>,
    next: AtomicU64,
    boot: u64,
}

impl Desk {
    /// Shares a router.
    pub fn new(
        router: Router,
        clock: Arc<dyn Clock>,
        configuration: Arc<dyn Configuration>,
    ) -> Arc<Desk> {
        let boot = clock.wall_ms();
        let inner = Mutex::new(Inner {
            router,
            inboxes: HashMap::new(),
            decided: HashMap::new(),
        });
        Arc::new(Desk {
            inner,
            clock,
            configuration,
            next: AtomicU64::new(1),
            boot,
        })
    }

    /// Passes an event to the router and its actions to the requests.
    pub fn observe(&self, event: Event) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let actions = inner.router.observe(event, now);
        inner.deliver(actions, now);
    }

    /// Runs `call` with the router, for messages to other instances and for reports. Events go through
    /// [`Desk::observe`].
    pub fn with<T>(&self, call: impl FnOnce(&mut Router, Instant) -> T) -> T {
        let now = self.clock.now();
        call(&mut self.lock().router, now)
    }

    /// The clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.clock
    }

    /// The configuration in force now.
    pub fn configuration(&self) -> Option<Arc<Config>> {
        self.configuration.current()
    }

    /// Lets time pass for the router. Returns when the next call is due.
    pub(crate) fn tick(&self) -> Duration {
        let config = self.configuration.current();
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.configure(config, now);
        let actions = inner.router.observe(Event::Tick, now);
        inner.deliver(actions, now);
        inner
            .router
            .next_tick(now)
            .map_or(IDLE_TICK, |at| at.duration_since(now))
    }

    /// Offers a request; its actions arrive at the returned ticket.
    pub(crate) fn offer(
        self: &Arc<Self>,
        config: Option<Arc<Config>>,
        head: impl FnOnce(u64) -> Head,
    ) -> Ticket {
        let request = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, inbox) = unbounded_channel();
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.inboxes.insert(request, sender);
        inner.configure(config, now);
        let actions = inner.router.offer(head(request), now);
        inner.deliver(actions, now);
        Ticket::new(self.clone(), request, inbox)
    }

    pub(super) fn boot(&self) -> u64 {
        self.boot
    }

    /// When an attempt that begins now was decided on.
    pub(super) fn take_decision(&self, attempt: u64) -> Instant {
        let decided = self.lock().decided.remove(&attempt);
        decided.unwrap_or_else(|| self.clock.now())
    }

    pub(super) fn close(&self, request: u64) {
        self.lock().inboxes.remove(&request);
        self.observe(Event::Abandoned { request });
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn configure(&mut self, config: Option<Arc<Config>>, now: Instant) {
        let same = match (self.router.config(), &config) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (None, None) => true,
            _ => false,
        };
        if !same {
            let actions = self.router.observe(Event::Configured(config), now);
            self.deliver(actions, now);
        }
    }

    fn deliver(&mut self, mut actions: Vec<Action>, now: Instant) {
        while !actions.is_empty() {
            let mut further = Vec::new();
            for action in actions {
                let (request, attempt) = match &action {
                    Action::Send {
                        request, attempt, ..
                    } => (*request, Some(*attempt)),
                    Action::Claim { request }
                    | Action::Cancel { request, .. }
                    | Action::Refuse { request, .. } => (*request, None),
                };
                let sent = self
                    .inboxes
                    .get(&request)
                    .is_some_and(|inbox| inbox.send(action).is_ok());
                if let (true, Some(attempt)) = (sent, attempt) {
                    self.decided.insert(attempt, now);
                }
                if let (false, Some(attempt)) = (sent, attempt) {
                    let event = Event::Finished {
                        attempt,
                        outcome: Outcome::Stopped,
                    };
                    further.extend(self.router.observe(event, now));
                }
            }
            actions = further;
        }
    }
}
