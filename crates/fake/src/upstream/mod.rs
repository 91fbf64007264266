//! A stand-in HTTP upstream on loopback that can be told to misbehave.

mod behaviour;
mod exchange;
mod run;
mod upstream;

pub use {behaviour::Behaviour, run::Run, upstream::Upstream};
