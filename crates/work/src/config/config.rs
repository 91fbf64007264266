use {
    super::{Account, Error, Queue, Service},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number; the highest one is in force.
    pub version: u64,
    /// The document as the operator sent it, returned when the configuration is read.
    pub source: Vec<u8>,
    /// Queues, in the order of the document.
    pub queues: Vec<Queue>,
    /// Pools of upstreams that the queues refer to.
    pub services: Vec<Service>,
    /// Client accounts that may submit to queues that are not public.
    pub accounts: Vec<Account>,
    /// Limits on requests to any queue.
    pub limits: Limits,
}

/// Limits on requests, the same for all queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request body in bytes; 256 KiB by default.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 256 * 1024,
        }
    }
}

/// The queue that takes the requests of a host and path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match<'a> {
    /// Queue with the longest matching prefix.
    pub queue: &'a Queue,
    /// The path after the queue's prefix.
    pub rest: &'a str,
}

impl Config {
    /// Checks that each queue has a defined service, a time limit and a host and prefix of its own, and that no two
    /// accounts share a key.
    pub fn check(&self) -> Result<(), Error> {
        let mut routes: IndexMap<(&str, &str), &str> = IndexMap::new();
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
            let route = (queue.host.as_str(), queue.prefix.as_str());
            if let Some(first) = routes.insert(route, &queue.name) {
                return Err(Error::DuplicateRoute {
                    first: first.to_owned(),
                    second: queue.name.clone(),
                });
            }
        }
        let mut owners: IndexMap<&str, &str> = IndexMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                match owners.insert(key, &account.name) {
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

    /// Returns the queue of this host whose prefix matches most of the path; none if no prefix matches.
    pub fn route<'a>(&'a self, host: &str, path: &'a str) -> Option<Match<'a>> {
        let candidates = self.queues.iter().filter(|queue| queue.host == host);
        candidates
            .filter_map(|queue| {
                let rest = path.strip_prefix(queue.prefix.as_str())?;
                Some(Match { queue, rest })
            })
            .max_by_key(|found| found.queue.prefix.len())
    }

    /// The account that an API key identifies; none if the key is unknown.
    pub fn account_by_key(&self, key: &str) -> Option<&Account> {
        self.accounts
            .iter()
            .find(|account| account.keys.iter().any(|own| own == key))
    }

    /// The account with this name; none if it is not configured.
    pub fn account(&self, name: &str) -> Option<&Account> {
        self.accounts.iter().find(|account| account.name == name)
    }

    /// The service with this name; none if it is not configured.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
