use {
    futures::future::BoxFuture,
    model::worker::{Answer, Order},
    std::fmt,
};

/// Why orders have no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// Nothing was sent.
    NotSent(String),
    /// The worker may have received the orders.
    NoAnswer(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent(reason) => write!(f, "cannot reach the worker: {reason}"),
            Error::NoAnswer(reason) => write!(f, "the worker did not answer: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Sends orders to workers.
pub trait Link: Send + Sync {
    /// Sends orders to the worker at `address` and returns its answer.
    fn order(&self, address: &str, orders: Vec<Order>)
    -> BoxFuture<'static, Result<Answer, Error>>;
}
