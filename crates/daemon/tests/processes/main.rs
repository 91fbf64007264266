//! Failures of real processes: every test starts `trefoilvalved` several times on loopback.

mod cluster;
mod gangs;
mod kill;
mod operators;
mod recover;
mod replace;
mod report;
mod settings;
