use {
    super::{Key, Waiting, lane::Lane},
    indexmap::IndexMap,
    model::request::Class,
    std::time::{Duration, Instant},
};

/// Bounds and shares of the queues.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Requests of one account, class and service.
    pub lane: usize,
    /// Requests in all queues.
    pub total: usize,
    /// Least fraction of the slot time that batch work gets while it waits.
    pub batch_share: f64,
    /// One slot in this many is kept from batch work.
    pub short_reserve: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            lane: 1024,
            total: 8192,
            batch_share: 0.05,
            short_reserve: 8,
        }
    }
}

/// The slots of an instance and the batch requests on them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seats {
    /// Slots that the instance may use.
    pub slots: u32,
    /// Batch requests in flight, with stragglers.
    pub batch: u32,
}

/// Slot time that an account used, in seconds divided by its weight.
#[derive(Debug)]
struct Tally {
    used: f64,
    weight: f64,
    waiting: usize,
}

/// The queues of one instance.
#[derive(Debug)]
pub struct Queues {
    limits: Limits,
    lanes: IndexMap<Key, Lane>,
    tallies: IndexMap<String, Tally>,
    total: usize,
    /// Slot time in seconds that batch is owed.
    batch_credit: f64,
}

impl Queues {
    /// Returns empty queues.
    pub fn new(limits: Limits) -> Queues {
        Queues {
            limits,
            lanes: IndexMap::new(),
            tallies: IndexMap::new(),
            total: 0,
            batch_credit: 0.0,
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.total
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Tells whether a further request with this key fits the bounds.
    pub fn has_room(&self, key: &Key) -> bool {
        self.total < self.limits.total
            && self
                .lanes
                .get(key)
                .is_none_or(|lane| lane.waiting.len() < self.limits.lane)
    }

    /// Adds a request. Returns false if the queue is full.
    pub fn push(&mut self, key: &Key, weight: u32, waiting: Waiting) -> bool {
        if !self.has_room(key) {
            return false;
        }
        let least = self
            .tallies
            .values()
            .filter(|tally| tally.waiting > 0)
            .map(|tally| tally.used)
            .fold(f64::INFINITY, f64::min);
        let tally = self.tallies.entry(key.account.clone()).or_insert(Tally {
            used: 0.0,
            weight: 1.0,
            waiting: 0,
        });
        // An account that was idle earns no claim on the time in which it did not wait.
        if tally.waiting == 0 && least.is_finite() {
            tally.used = tally.used.max(least);
        }
        tally.weight = f64::from(weight.max(1));
        tally.waiting += 1;
        self.total += 1;
        let lane = self.lanes.entry(key.clone()).or_default();
        lane.waiting.insert((waiting.deadline, waiting.request), ());
        true
    }

    /// Removes a request. Returns false if it does not wait.
    pub fn remove(&mut self, key: &Key, waiting: Waiting) -> bool {
        let Some(lane) = self.lanes.get_mut(key) else {
            return false;
        };
        let removed = lane
            .waiting
            .remove(&(waiting.deadline, waiting.request))
            .is_some();
        if lane.waiting.is_empty() {
            self.lanes.swap_remove(key);
        }
        if removed {
            self.total -= 1;
            if let Some(tally) = self.tallies.get_mut(&key.account) {
                tally.waiting -= 1;
            }
        }
        removed
    }

    /// Waiting requests of `class` for `service` that `key` must wait for, if accounts share by weight:
    /// those of its own account with an earlier deadline, scaled by the weights of the waiting accounts,
    /// but never more than all.
    pub fn ahead(&self, key: &Key, deadline: Instant) -> f64 {
        let own = self
            .lanes
            .get(key)
            .map_or(0, |lane| lane.waiting.range(..(deadline, 0)).count());
        let weight = |account: &str| self.tallies.get(account).map_or(1.0, |tally| tally.weight);
        let own_weight = weight(&key.account);
        let mut others = 0;
        let mut weights = own_weight;
        for (other, lane) in &self.lanes {
            if other.class == key.class
                && other.service == key.service
                && other.account != key.account
            {
                others += lane.waiting.len();
                weights += weight(&other.account);
            }
        }
        (own as f64 * weights / own_weight).min((own + others) as f64)
    }

    /// Takes the next request for which `bind` finds a place; its last argument tells whether batch is owed
    /// its least share.
    ///
    /// Short work comes first, except when batch is owed its least share. Within a class the account with
    /// the least used slot time comes first.
    pub fn take<T>(
        &mut self,
        seats: Seats,
        mut bind: impl FnMut(&Key, Waiting, bool) -> Option<T>,
    ) -> Option<(Key, Waiting, T)> {
        let kept = seats.slots.div_ceil(self.limits.short_reserve);
        let bound = seats.slots.saturating_sub(kept).max(1);
        let batch_may = seats.batch < bound;
        let owed = self.batch_credit > 0.0 && seats.batch * 2 < seats.slots.max(2);
        let classes: &[Class] = match (batch_may || owed, owed) {
            (true, true) => &[Class::Batch, Class::Short],
            (true, false) => &[Class::Short, Class::Batch],
            (false, _) => &[Class::Short],
        };
        for class in classes {
            let mut lanes: Vec<(f64, &Key, Waiting)> = self
                .lanes
                .iter()
                .filter(|(key, _)| key.class == *class)
                .filter_map(|(key, lane)| {
                    let used = self
                        .tallies
                        .get(&key.account)
                        .map_or(0.0, |tally| tally.used);
                    Some((used, key, lane.first()?))
                })
                .collect();
            lanes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.2.deadline.cmp(&b.2.deadline)));
            for (_, key, waiting) in lanes {
                if let Some(place) = bind(key, waiting, owed) {
                    let key = key.clone();
                    self.remove(&key, waiting);
                    return Some((key, waiting, place));
                }
            }
        }
        None
    }

    /// Charges slot time to an account: the expected time when a request starts, the difference when it
    /// ends.
    pub fn charge(&mut self, account: &str, class: Class, seconds: f64) {
        if let Some(tally) = self.tallies.get_mut(account) {
            tally.used += seconds / tally.weight;
        }
        let waits = self.lanes.keys().any(|key| key.class == Class::Batch);
        match class {
            Class::Batch => self.batch_credit -= seconds,
            Class::Short if waits => {
                let share = self.limits.batch_share;
                self.batch_credit += seconds * share / (1.0 - share);
            }
            Class::Short => {}
        }
        // Debts are bounded so that neither class is locked out after a long one-sided phase.
        self.batch_credit = self.batch_credit.clamp(-30.0, 30.0);
    }

    /// Removes and returns the requests whose deadline is at or before `limit`.
    pub fn overdue(&mut self, mut limit: impl FnMut(&Key) -> Instant) -> Vec<(Key, Waiting)> {
        let mut late = Vec::new();
        for (key, lane) in &self.lanes {
            let limit = limit(key);
            late.extend(lane.waiting.range(..=(limit, u64::MAX)).map(
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

    /// Waiting requests of a class and service.
    pub fn waiting(&self, class: Class, service: &str) -> usize {
        self.lanes
            .iter()
            .filter(|(key, _)| key.class == class && key.service == service)
            .map(|(_, lane)| lane.waiting.len())
            .sum()
    }

    /// The number of requests in each queue.
    pub fn lengths(&self) -> Vec<(Key, usize)> {
        let lanes = self.lanes.iter();
        lanes
            .map(|(key, lane)| (key.clone(), lane.waiting.len()))
            .collect()
    }

    /// The accounts with waiting short requests for a service, and their number.
    pub fn short_lengths(&self, service: &str) -> impl Iterator<Item = (&str, usize)> {
        self.lanes
            .iter()
            .filter(move |(key, _)| key.class == Class::Short && key.service == service)
            .map(|(key, lane)| (key.account.as_str(), lane.waiting.len()))
    }

    /// Iterates over the waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (&Key, Waiting)> {
        self.lanes.iter().flat_map(|(key, lane)| {
            lane.waiting.keys().map(move |(deadline, request)| {
                (
                    key,
                    Waiting {
                        request: *request,
                        deadline: *deadline,
                    },
                )
            })
        })
    }

    /// Forgets accounts that neither wait nor were charged much, at most once a while.
    pub fn forget_idle(&mut self, keep: impl Fn(&str) -> bool) {
        self.tallies
            .retain(|name, tally| tally.waiting > 0 || keep(name));
    }

    /// Time until the queue of a class drains with `slots` slots and the mean `service` time.
    pub fn drain_time(&self, class: Class, service: &str, slots: f64, mean: Duration) -> Duration {
        let work = self.waiting(class, service) as f64 * mean.as_secs_f64();
        Duration::from_secs_f64((work / slots.max(0.5)).min(600.0))
    }
}
