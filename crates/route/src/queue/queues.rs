use {
    super::{Key, Waiting, queue::Queue},
    indexmap::IndexMap,
    model::request::Class,
    std::time::{Duration, Instant},
};

/// Bounds of the queues, and how classes share the slots.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most requests in the queue of one account, class and service.
    pub per_queue: usize,
    /// Most requests in all queues together.
    pub total: usize,
    /// Least fraction of the slot time that batch requests get while any of them wait.
    pub batch_share: f64,
    /// One slot in this many is reserved for short requests, rounded up.
    pub short_reserve: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            per_queue: 1024,
            total: 8192,
            batch_share: 0.05,
            short_reserve: 8,
        }
    }
}

/// The slots of an instance, and how many of them run batch requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slots {
    /// Slots that the instance may use.
    pub usable: u32,
    /// Batch requests in flight, also those on slots that the instance may no longer use.
    pub batch: u32,
}

/// Slot time used by one account.
#[derive(Clone, Debug)]
struct Usage {
    /// Slot time in seconds divided by the weight of the account.
    virtual_time: f64,
    weight: f64,
    waiting: usize,
}

/// The queues of one instance.
#[derive(Clone, Debug)]
pub struct Queues {
    limits: Limits,
    queues: IndexMap<Key, Queue>,
    usage: IndexMap<String, Usage>,
    total: usize,
    /// Slot time in seconds that batch requests may use before short ones; negative after they used more
    /// than their least share.
    batch_credit: f64,
}

impl Queues {
    /// Returns empty queues.
    pub fn new(limits: Limits) -> Queues {
        Queues {
            limits,
            queues: IndexMap::new(),
            usage: IndexMap::new(),
            total: 0,
            batch_credit: 0.0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Tells whether a further request with this key fits the bounds.
    pub fn has_room(&self, key: &Key) -> bool {
        self.total < self.limits.total
            && self
                .queues
                .get(key)
                .is_none_or(|queue| queue.waiting.len() < self.limits.per_queue)
    }

    /// Adds a request. Returns false if the queue is full.
    pub fn push(&mut self, key: &Key, weight: u32, waiting: Waiting) -> bool {
        if !self.has_room(key) {
            return false;
        }
        let least = self
            .usage
            .values()
            .filter(|usage| usage.waiting > 0)
            .map(|usage| usage.virtual_time)
            .fold(f64::INFINITY, f64::min);
        let usage = self.usage.entry(key.account.clone()).or_insert(Usage {
            virtual_time: 0.0,
            weight: 1.0,
            waiting: 0,
        });
        // An account that was idle gets no credit for that time: it starts level with the account that used
        // least.
        if usage.waiting == 0 && least.is_finite() {
            usage.virtual_time = usage.virtual_time.max(least);
        }
        usage.weight = f64::from(weight.max(1));
        usage.waiting += 1;
        self.total += 1;
        let queue = self.queues.entry(key.clone()).or_default();
        queue
            .waiting
            .insert((waiting.deadline, waiting.request), ());
        true
    }

    /// Removes a request. Returns false if it does not wait.
    pub fn remove(&mut self, key: &Key, waiting: Waiting) -> bool {
        let Some(queue) = self.queues.get_mut(key) else {
            return false;
        };
        let removed = queue
            .waiting
            .remove(&(waiting.deadline, waiting.request))
            .is_some();
        if queue.waiting.is_empty() {
            self.queues.swap_remove(key);
        }
        if removed {
            self.total -= 1;
            if let Some(usage) = self.usage.get_mut(&key.account) {
                usage.waiting -= 1;
            }
        }
        removed
    }

    /// Estimates how many waiting requests are served before one with this key and deadline: those of its own
    /// queue with an earlier deadline, scaled by the weights of all accounts with the same class and service,
    /// but never more than all requests of that class and service.
    pub fn ahead(&self, key: &Key, deadline: Instant) -> f64 {
        let own = self
            .queues
            .get(key)
            .map_or(0, |queue| queue.waiting.range(..(deadline, 0)).count());
        let weight = |account: &str| self.usage.get(account).map_or(1.0, |usage| usage.weight);
        let own_weight = weight(&key.account);
        let mut others = 0;
        let mut weights = own_weight;
        for (other, queue) in &self.queues {
            if other.class == key.class
                && other.service == key.service
                && other.account != key.account
            {
                others += queue.waiting.len();
                weights += weight(&other.account);
            }
        }
        (own as f64 * weights / own_weight).min((own + others) as f64)
    }

    /// Removes and returns the next request for which `assign` finds a slot, with what `assign` returned. The
    /// last argument of `assign` tells whether batch requests come first.
    ///
    /// Short requests come first, unless batch requests have had less than their least share and run on less
    /// than half of the slots; batch requests that do not come first leave the reserved slots free. Within a
    /// class the account with the least virtual time comes first.
    pub fn take<T>(
        &mut self,
        slots: Slots,
        mut assign: impl FnMut(&Key, Waiting, bool) -> Option<T>,
    ) -> Option<(Key, Waiting, T)> {
        let reserved = slots.usable.div_ceil(self.limits.short_reserve);
        let bound = slots.usable.saturating_sub(reserved).max(1);
        let batch_fits = slots.batch < bound;
        let batch_due = self.batch_credit > 0.0 && slots.batch * 2 < slots.usable.max(2);
        let classes: &[Class] = match (batch_fits || batch_due, batch_due) {
            (true, true) => &[Class::Batch, Class::Short],
            (true, false) => &[Class::Short, Class::Batch],
            (false, _) => &[Class::Short],
        };
        for class in classes {
            let mut queues: Vec<(f64, &Key, Waiting)> = self
                .queues
                .iter()
                .filter(|(key, _)| key.class == *class)
                .filter_map(|(key, queue)| {
                    let virtual_time = self
                        .usage
                        .get(&key.account)
                        .map_or(0.0, |usage| usage.virtual_time);
                    Some((virtual_time, key, queue.first()?))
                })
                .collect();
            queues.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.deadline.cmp(&b.2.deadline)));
            for (_, key, waiting) in queues {
                if let Some(assigned) = assign(key, waiting, batch_due) {
                    let key = key.clone();
                    self.remove(&key, waiting);
                    return Some((key, waiting, assigned));
                }
            }
        }
        None
    }

    /// Charges slot time to an account. The caller charges the expected time when a request starts, and the
    /// difference to the real time, which may be negative, when it ends.
    pub fn charge(&mut self, account: &str, class: Class, seconds: f64) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.virtual_time += seconds / usage.weight;
        }
        let waits = self.queues.keys().any(|key| key.class == Class::Batch);
        match class {
            Class::Batch => self.batch_credit -= seconds,
            Class::Short if waits => {
                let share = self.limits.batch_share;
                self.batch_credit += seconds * share / (1.0 - share);
            }
            Class::Short => {}
        }
        // Bounded to 30 s each way, so that neither class is starved after a long time in which only the
        // other one ran.
        self.batch_credit = self.batch_credit.clamp(-30.0, 30.0);
    }

    /// Removes and returns the requests whose deadline is at or before the `limit` of their queue.
    pub fn take_overdue(&mut self, mut limit: impl FnMut(&Key) -> Instant) -> Vec<(Key, Waiting)> {
        let mut late = Vec::new();
        for (key, queue) in &self.queues {
            let limit = limit(key);
            late.extend(queue.waiting.range(..=(limit, u64::MAX)).map(
                |((deadline, request), ())| {
                    (
                        key.clone(),
                        Waiting {
                            request: *request,
                            deadline: *deadline,
                        },
                    )
                },
            ));
        }
        for (key, waiting) in &late {
            self.remove(key, *waiting);
        }
        late
    }

    /// Number of waiting requests of a class and service.
    pub fn waiting(&self, class: Class, service: &str) -> usize {
        self.queues
            .iter()
            .filter(|(key, _)| key.class == class && key.service == service)
            .map(|(_, queue)| queue.waiting.len())
            .sum()
    }

    /// The number of requests in each queue.
    pub fn lengths(&self) -> Vec<(Key, usize)> {
        let queues = self.queues.iter();
        queues
            .map(|(key, queue)| (key.clone(), queue.waiting.len()))
            .collect()
    }

    /// Iterates over the accounts with waiting short requests for a service, with the number of these requests.
    pub fn short_lengths(&self, service: &str) -> impl Iterator<Item = (&str, usize)> {
        self.queues
            .iter()
            .filter(move |(key, _)| key.class == Class::Short && key.service == service)
            .map(|(key, queue)| (key.account.as_str(), queue.waiting.len()))
    }

    /// Time until the waiting requests of a class and service are served by `slots` slots with the given mean
    /// service time; at most 600 s.
    pub fn drain_time(&self, class: Class, service: &str, slots: f64, mean: Duration) -> Duration {
        let work = self.waiting(class, service) as f64 * mean.as_secs_f64();
        Duration::from_secs_f64((work / slots.max(0.5)).min(600.0))
    }
}
