//! Recording and reporting of service levels.
