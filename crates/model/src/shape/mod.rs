//! The size and adjacency of a gang.

mod adjacency;
mod shape;

pub use {adjacency::Adjacency, shape::Shape};
