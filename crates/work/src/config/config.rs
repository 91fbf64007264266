use {
    super::{Account, Error, Queue, Service},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; the highest is in force.
    pub version: u64,
    /// The document as the operator sent it, for reading it back.
    pub source: Vec<u8>,
    /// Queues in the order of the document.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Bounds for calls.
    pub limits: Limits,
}

/// Bounds for calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body of a call in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 256 * 1024,
        }
    }
}

/// The queue that a host and path lead to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// What follows its prefix.
    pub rest: &'a str,
}

impl Config {
    /// Checks what the parts say of each other.
    pub fn check(&self) -> Result<(), Error> {
        let mut places: IndexMap<(&str, &str), &str> = IndexMap::new();
        for queue in &self.queues {
            if !self
                .services
                .iter()
                .any(|service| service.name == queue.service)
            {
                return Err(Error::UnknownService {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                });
            }
            if queue.timeout_ms == 0 {
                return Err(Error::ZeroTimeout(queue.name.clone()));
            }
            let place = (queue.host.as_str(), queue.prefix.as_str());
            if let Some(first) = places.insert(place, &queue.name) {
                return Err(Error::DuplicateRoute {
                    first: first.to_owned(),
                    second: queue.name.clone(),
                });
            }
        }
        let mut holders: IndexMap<&str, &str> = IndexMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                match holders.insert(key, &account.name) {
                    Some(first) if first != account.name => {
                        return Err(Error::SharedKey {
                            first: first.to_owned(),
                            second: account.name.clone(),
                        });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Finds the queue with the longest prefix of the path.
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<Match<'a>> {
        let fitting = self.queues.iter().filter(|queue| queue.host == host);
        fitting
            .filter_map(|queue| {
                let rest = path.strip_prefix(queue.prefix.as_str())?;
                Some(Match { queue, rest })
            })
            .max_by_key(|found| found.queue.prefix.len())
    }

    /// The account that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.accounts
            .iter()
            .find(|account| account.keys.iter().any(|held| held == key))
    }

    /// An account by name.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
