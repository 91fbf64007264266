use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
};

/// Keys with a claim in progress on this instance.
///
/// A release names only account and key. A resend must therefore not claim the key again while a release of
/// the earlier claim may still be under way, or that release would free the key of a request that runs.
#[derive(Clone, Default)]
pub(crate) struct Keys(Arc<Mutex<HashSet<(String, String)>>>);

/// A key in use; free again when dropped.
pub(crate) struct Hold {
    keys: Keys,
    key: (String, String),
}

impl Keys {
    /// Takes the key, unless it is in use.
    pub(super) fn hold(&self, account: &str, key: &str) -> Option<Hold> {
        let key = (account.to_owned(), key.to_owned());
        let mut keys = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        keys.insert(key.clone()).then(|| Hold {
            keys: self.clone(),
            key,
        })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut keys = self.keys.0.lock().unwrap_or_else(PoisonError::into_inner);
        keys.remove(&self.key);
    }
}
