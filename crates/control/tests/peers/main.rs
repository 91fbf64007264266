//! A running instance and its port for other instances.

mod helpers;
mod hostile;
mod instance;
