//! Small stand-ins for what the platform provides: workers and upstreams. They are used by tests, by the
//! demo and by `trefoilvalve stand-in`; they are not part of the product.

pub mod client;
pub mod deployment;
pub mod platform;
pub mod upstream;
pub mod worker;
