//! Failures of real processes: every test starts `trefoilvalved` several times on loopback.

mod cluster;
mod crest;
mod gangs;
mod handback;
mod history;
mod kill;
mod load;
mod operators;
mod planted;
mod recover;
mod replace;
mod report;
mod settings;
mod withdraw;
