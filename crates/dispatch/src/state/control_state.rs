use {
    replica::StateMachine,
    std::sync::{Mutex, MutexGuard, PoisonError},
    work::registry::{Command, Registry},
};

/// The replicated book of this instance, protected by a lock.
#[derive(Debug, Default)]
pub struct ControlState {
    book: Mutex<Registry>,
}

impl ControlState {
    /// The book as of the last applied command, locked while the guard is held.
    pub fn book(&self) -> MutexGuard<'_, Registry> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StateMachine for ControlState {
    fn apply(&self, command: &[u8], awaited: bool) -> Result<Vec<u8>, String> {
        let command: Command = postcard::from_bytes(command).map_err(|error| error.to_string())?;
        let answer = self.book().apply(command);
        if !awaited {
            return Ok(Vec::new());
        }
        postcard::to_stdvec(&answer).map_err(|error| error.to_string())
    }

    fn save(&self) -> Result<Vec<u8>, String> {
        self.book().save().map_err(|error| error.to_string())
    }

    fn restore(&self, bytes: &[u8]) -> Result<(), String> {
        *self.book() = Registry::load(bytes).map_err(|error| error.to_string())?;
        Ok(())
    }
}
