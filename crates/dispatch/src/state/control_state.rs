use {
    replica::StateMachine,
    std::sync::{Mutex, MutexGuard, PoisonError},
    work::registry::{Command, Registry},
};

/// The replicated registry of this instance, protected by a lock.
#[derive(Debug, Default)]
pub struct ControlState {
    registry: Mutex<Registry>,
}

impl ControlState {
    /// The registry as of the last applied command, locked while the guard is held.
    pub fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateMachine for ControlState {
    fn apply(&self, command: &[u8], awaited: bool) -> Result<Vec<u8>, String> {
        let command: Command = postcard::from_bytes(command).map_err(|error| error.to_string())?;
        let answer = self.registry().apply(command);
        if !awaited {
            return Ok(Vec::new());
        }
        postcard::to_stdvec(&answer).map_err(|error| error.to_string())
    }

    fn save(&self) -> Result<Vec<u8>, String> {
        self.registry().save().map_err(|error| error.to_string())
    }

    fn restore(&self, bytes: &[u8]) -> Result<(), String> {
        *self.registry() = Registry::load(bytes).map_err(|error| error.to_string())?;
        Ok(())
    }
}
