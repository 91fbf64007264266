//! The settings as values.

mod api;
mod data;
mod instance;
mod level;
mod listen;
mod logs;
mod member;
mod requests;
mod settings;
mod timing;

pub use {
    api::Api, data::Data, instance::Instance, level::Level, listen::Listen, logs::Logs,
    member::Member, requests::Requests, settings::Settings, timing::Timing,
};
