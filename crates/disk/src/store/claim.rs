use {
    crate::{Error, folder::Shared},
    std::sync::Arc,
};

/// Prevents a second store of the same group.
pub struct Claim {
    shared: Arc<Shared>,
    group: String,
}

impl Claim {
    pub fn new(shared: &Arc<Shared>, group: &str) -> Result<Claim, Error> {
        if !shared.groups().insert(group.to_owned()) {
            return Err(Error::Locked {
                path: shared.path.join(group),
            });
        }
        Ok(Claim {
            shared: Arc::clone(shared),
            group: group.to_owned(),
        })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.shared.groups().remove(&self.group);
    }
}
