use {
    super::{Answer, Book, Claims, Command, Jobs},
    indexmap::{IndexMap, IndexSet},
    model::worker::Worker,
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// The replicated state of one group, in parts that are locked separately.
#[derive(Debug, Default)]
pub struct State {
    book: Mutex<Book>,
    jobs: Mutex<Jobs>,
    claims: Mutex<Claims>,
    drains: Mutex<Drains>,
}

/// Limit of evacuated data centres; their names come from operators.
const MAX_DATA_CENTRES: usize = 256;

/// Workers, instances and data centres out of service by an operator's order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Drains {
    /// Names of workers.
    pub workers: IndexSet<String>,
    /// Names of instances.
    pub instances: IndexSet<String>,
    /// Names of evacuated data centres, each with the time of the order in milliseconds since the Unix epoch. Missing in
    /// snapshots of earlier builds.
    #[serde(default)]
    pub data_centres: IndexMap<String, u64>,
}

impl Drains {
    /// Whether a worker gets no new gangs, because it is drained or its data centre is evacuated.
    pub fn concerns(&self, worker: &Worker) -> bool {
        self.workers.contains(&worker.name)
            || self.data_centres.contains_key(&worker.site.data_centre)
    }
}

#[derive(Serialize, Deserialize)]
struct Image {
    book: Book,
    jobs: Jobs,
    claims: Claims,
    drains: Drains,
}

fn lock<T>(part: &Mutex<T>) -> MutexGuard<'_, T> {
    part.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    /// Notes and configuration.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.book)
    }

    /// Jobs.
    pub fn jobs(&self) -> MutexGuard<'_, Jobs> {
        lock(&self.jobs)
    }

    /// Claims of requests.
    pub fn claims(&self) -> MutexGuard<'_, Claims> {
        lock(&self.claims)
    }

    /// Workers and instances out of service.
    pub fn drains(&self) -> MutexGuard<'_, Drains> {
        lock(&self.drains)
    }

    /// Applies a committed command and returns the answer for its proposer.
    pub fn apply(&self, bytes: &[u8]) -> Answer {
        match Command::decode(bytes) {
            Ok(command) => self.execute(command),
            Err(error) => Answer::Malformed(error.to_string()),
        }
    }

    fn execute(&self, command: Command) -> Answer {
        match command {
            Command::Note { submission, at_ms } => {
                Answer::Note(self.book().submit(*submission, at_ms))
            }
            Command::Submit { spec, at_ms } => self.jobs().submit(*spec, at_ms),
            Command::Move {
                job,
                token,
                step,
                at_ms,
            } => self.jobs().advance(job, token, step, at_ms),
            Command::Cancel { job, at_ms } => self.jobs().cancel(job, at_ms),
            Command::Claim {
                account,
                key,
                digest,
                instance,
                incarnation,
                at_ms,
            } => self
                .claims()
                .claim((&account, &key), digest, (instance, incarnation), at_ms),
            Command::Settle {
                account,
                key,
                instance,
                incarnation,
                end,
                at_ms,
            } => self
                .claims()
                .settle((&account, &key), (instance, incarnation), end, at_ms),
            Command::DrainWorker { worker, drained } => {
                set(&mut self.drains().workers, worker, drained);
                Answer::Done
            }
            Command::DrainInstance { instance, drained } => {
                set(&mut self.drains().instances, instance, drained);
                Answer::Done
            }
            Command::EvacuateDataCentre {
                data_centre,
                evacuated,
                at_ms,
            } => self.evacuate(data_centre, evacuated, at_ms),
            Command::Expire { at_ms } => {
                self.book().expire(at_ms);
                self.jobs().expire(at_ms);
                self.claims().expire(at_ms);
                Answer::Done
            }
        }
    }

    fn evacuate(&self, data_centre: String, evacuated: bool, at_ms: u64) -> Answer {
        let mut drains = self.drains();
        if !evacuated {
            drains.data_centres.shift_remove(&data_centre);
            return Answer::Done;
        }
        let is_known = drains.data_centres.contains_key(&data_centre);
        if !is_known && drains.data_centres.len() >= MAX_DATA_CENTRES {
            return Answer::Full;
        }
        drains.data_centres.entry(data_centre).or_insert(at_ms);
        Answer::Done
    }

    /// Encodes the state for a snapshot.
    pub fn save(&self) -> Result<Vec<u8>, serde_json::Error> {
        let image = Image {
            book: self.book().clone(),
            jobs: self.jobs().clone(),
            claims: self.claims().clone(),
            drains: self.drains().clone(),
        };
        serde_json::to_vec(&image)
    }

    /// Replaces the state by that of a snapshot.
    pub fn restore(&self, bytes: &[u8]) -> Result<(), serde_json::Error> {
        let mut image: Image = serde_json::from_slice(bytes)?;
        image.jobs.index();
        *self.book() = image.book;
        *self.jobs() = image.jobs;
        *self.claims() = image.claims;
        *self.drains() = image.drains;
        Ok(())
    }
}

fn set(names: &mut IndexSet<String>, name: String, present: bool) {
    if present {
        names.insert(name);
    } else {
        names.shift_remove(&name);
    }
}
