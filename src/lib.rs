//! A cluster scheduler for teams that share one fleet of upstreams and workers.

pub mod cell;
pub mod change;
pub mod client;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod core;
mod driver;
pub mod error;
pub mod event;
pub mod http;
pub mod ingress;
pub mod logs;
pub mod merge;
pub mod metrics;
pub mod net;
pub mod node;
pub mod settings;
pub mod standin;
pub mod store;
pub mod traffic;
pub mod util;
pub mod wire;
