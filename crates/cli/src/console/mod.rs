//! Output of the commands.

mod console;
mod progress;

pub use {console::Console, progress::Progress};
