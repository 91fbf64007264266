use {
    indexmap::IndexMap,
    plan::engine::{Hold, Listing, Refusal, Running, Start, Stop},
    work::{
        id,
        job::Resources,
        upstream::{End, Outcome},
    },
};

/// Number of ends that an upstream lists at a time.
const MAX_LISTED_ENDS: usize = 500;

/// How an upstream treats what it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Nature {
    /// As it should.
    Sound,
    /// Everything fails soon.
    Failing,
    /// Nothing moves.
    Hanging,
    /// Everything takes this many times as long.
    Slow(f64),
}

/// A run on a modelled upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Whole work in milliseconds, at this upstream's speed.
    pub work_ms: f64,
    /// Work done before the present stretch.
    pub done_ms: f64,
    /// When the present stretch of work began; none while members of the gang are missing or it stands still.
    pub since_ms: Option<f64>,
    /// When it arrived.
    pub begun_ms: f64,
    /// Fails when this much is done.
    pub fails_at: Option<f64>,
    /// Room that it takes.
    pub room: Resources,
    /// Whether it saves checkpoints.
    pub saves: bool,
    /// Work that an earlier run had saved.
    pub resumed_ms: f64,
    /// When a stop that was ordered takes effect.
    pub stops_at: Option<f64>,
}

impl Run {
    /// Work done at a time.
    pub fn done_at(&self, now_ms: f64) -> f64 {
        let stretch = self.since_ms.map_or(0.0, |since| (now_ms - since).max(0.0));
        (self.done_ms + stretch).min(self.work_ms)
    }

    /// Work that a new run could resume from.
    pub fn saved_at(&self, now_ms: f64, stopping: bool) -> f64 {
        if !self.saves {
            return 0.0;
        }
        let done = self.done_at(now_ms);
        let step = crate::truth::CHECKPOINT_MS as f64;
        let saved = if stopping {
            done
        } else {
            (done / step).floor() * step
        };
        saved.max(self.resumed_ms)
    }
}

/// A modelled upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its id.
    pub id: id::Upstream,
    /// Number of its incarnation.
    pub born_ms: u64,
    /// When that began.
    pub start_ms: f64,
    /// Rate of its clock.
    pub rate: f64,
    /// Highest fencing token seen.
    pub token: u64,
    /// What runs.
    pub runs: IndexMap<(id::Task, u32), Run>,
    /// Runs that may not be started any more, by task.
    pub barred: IndexMap<id::Task, u32>,
    /// Ends that may be asked for again.
    pub ends: Vec<End>,
    /// Number of the last end.
    pub last_end: u64,
    /// End of the lease by its own clock.
    pub lease_ms: u64,
    /// How it treats what it runs.
    pub nature: Nature,
    /// How many times as long it takes when it is sound.
    pub pace: f64,
    /// Longest lease.
    pub longest_ms: u64,
}

impl Upstream {
    /// An upstream that begins its first incarnation at time 0.
    pub fn new(id: id::Upstream, rate: f64, longest_ms: u64) -> Upstream {
        Upstream {
            id,
            born_ms: 1,
            start_ms: 0.0,
            rate,
            token: 0,
            runs: IndexMap::new(),
            barred: IndexMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lease_ms: 0,
            nature: Nature::Sound,
            pace: 1.0,
            longest_ms,
        }
    }

    /// Its clock.
    pub fn clock_ms(&self, now_ms: f64) -> u64 {
        ((now_ms - self.start_ms) * self.rate) as u64
    }

    /// Changes how it treats what it runs; what runs already keeps its share of progress at the new pace.
    pub fn set_nature(&mut self, nature: Nature, now_ms: f64) {
        let factor = |nature| match nature {
            Nature::Slow(factor) => factor,
            _ => 1.0,
        };
        let scale = factor(nature) / factor(self.nature);
        self.nature = nature;
        for run in self.runs.values_mut() {
            run.done_ms = run.done_at(now_ms) * scale;
            run.since_ms = run.since_ms.map(|_| now_ms);
            run.work_ms *= scale;
            run.fails_at = run.fails_at.map(|at| at * scale);
        }
    }

    /// Room that its runs take.
    pub fn room(&self) -> Resources {
        let rooms = self.runs.values().map(|run| run.room);
        rooms.fold(Resources::default(), |sum, room| sum + room)
    }

    fn admit(&mut self, token: u64) -> Result<(), Refusal> {
        if token < self.token {
            return Err(Refusal::Fenced);
        }
        self.token = token;
        Ok(())
    }

    fn extend(&mut self, until_ms: u64, now_ms: f64) {
        let longest = self.clock_ms(now_ms) + self.longest_ms;
        self.lease_ms = self.lease_ms.max(until_ms.min(longest));
    }

    /// Checks a start; the caller inserts the run. `Ok(false)` if it is there already.
    pub fn start(&mut self, order: &Start, token: u64, now_ms: f64) -> Result<bool, Refusal> {
        self.admit(token)?;
        if order.lease_until_ms <= self.clock_ms(now_ms) {
            return Err(Refusal::Late);
        }
        if self.runs.contains_key(&(order.task, order.run)) {
            self.extend(order.lease_until_ms, now_ms);
            return Ok(false);
        }
        self.extend(order.lease_until_ms, now_ms);
        if self
            .barred
            .get(&order.task)
            .is_some_and(|run| order.run <= *run)
        {
            return Err(Refusal::Old);
        }
        Ok(true)
    }

    /// Orders a run to stop.
    pub fn stop(
        &mut self,
        order: Stop,
        token: u64,
        now_ms: f64,
        takes_ms: f64,
    ) -> Result<(), Refusal> {
        self.admit(token)?;
        match self.runs.get_mut(&(order.task, order.run)) {
            Some(run) => {
                run.stops_at.get_or_insert(now_ms + takes_ms);
            }
            None => self.bar(order.task, order.run),
        }
        Ok(())
    }

    /// Takes a hold.
    pub fn hold(&mut self, order: &Hold, token: u64, now_ms: f64) -> Result<(), Refusal> {
        self.admit(token)?;
        if let Some(until_ms) = order.lease_until_ms {
            self.extend(until_ms, now_ms);
        }
        self.ends.retain(|end| end.number > order.last_end);
        Ok(())
    }

    /// What it lists.
    pub fn list(&self, now_ms: f64) -> Listing {
        let running = self.runs.iter().map(|((task, run), state)| Running {
            task: *task,
            run: *run,
            checkpoint: checkpoint(state.saved_at(now_ms, false)),
            percent: (state.done_at(now_ms) * 100.0 / state.work_ms.max(1.0)) as u8,
        });
        Listing {
            born_ms: Some(self.born_ms),
            clock_ms: Some(self.clock_ms(now_ms)),
            running: running.collect(),
            ended: self.ends.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ends.len() > MAX_LISTED_ENDS,
        }
    }

    fn bar(&mut self, task: id::Task, run: u32) {
        let barred = self.barred.entry(task).or_default();
        *barred = run.max(*barred);
    }

    /// Ends a run.
    pub fn end(&mut self, key: (id::Task, u32), how: Outcome, now_ms: f64) -> Option<(End, Run)> {
        let run = self.runs.shift_remove(&key)?;
        self.bar(key.0, key.1);
        self.last_end += 1;
        let end = End {
            number: self.last_end,
            task: key.0,
            run: key.1,
            how,
            checkpoint: checkpoint(run.saved_at(now_ms, how == Outcome::Stopped)),
        };
        self.ends.push(end.clone());
        Some((end, run))
    }

    /// Begins a new incarnation.
    pub fn reborn(&mut self, now_ms: f64) -> Vec<(id::Task, Run)> {
        let lost = self
            .runs
            .drain(..)
            .map(|((task, _), run)| (task, run))
            .collect();
        *self = Upstream {
            born_ms: self.born_ms + 1,
            start_ms: now_ms,
            pace: self.pace,
            ..Upstream::new(self.id.clone(), self.rate, self.longest_ms)
        };
        lost
    }
}

/// A checkpoint that stands for work done.
fn checkpoint(saved_ms: f64) -> String {
    match saved_ms as u64 {
        0 => String::new(),
        saved => format!("{saved:x}"),
    }
}

/// The work that a checkpoint stands for.
pub fn saved_ms(checkpoint: &str) -> f64 {
    u64::from_str_radix(checkpoint, 16).map_or(0.0, |saved| saved as f64)
}
