//! From text to settings. Every step adds its faults to one list and goes on.

mod check;
mod draft;
mod faults;
mod located;
mod section;
mod text;

pub use text::settings;
