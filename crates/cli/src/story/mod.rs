//! The story of one job or request in the logs of several instances.

mod line;
mod story;

pub(crate) use {line::Line, story::Story};
