//! Decision logic of an entry host, a reverse proxy that may send a request to any backend server.
//!
//! The crate does no I/O, reads no clock and starts no threads. Its inputs are rows of the store,
//! heartbeats of the other hosts, requests and the current time; its outputs are server picks and
//! messages to other hosts. [`view`] holds the contents of the store. [`servers`] and [`members`]
//! hold the backend servers and the other hosts. [`pick`], [`cold_start`], [`budget`], [`quota`],
//! [`placement`] (with [`domain_split`], [`key_order`] and [`key_moves`]), [`reader_rank`],
//! [`store_schedule`] and [`rollout`] (with [`rollout_counts`],
//! [`canary_analysis`] and [`rollout_steps`]) decide on top of them. [`Steer`] combines these parts
//! for one host.

#![deny(clippy::all, clippy::if_not_else, clippy::enum_glob_use)]

mod announcements;
pub mod budget;
pub mod canary_analysis;
pub mod cold_start;
pub mod demand;
pub mod digest;
pub mod domain_split;
pub mod era;
mod era_change;
mod freshness;
pub mod gossip;
pub mod hash;
pub mod heartbeat;
mod held_versions;
pub mod homes;
pub mod host_registry;
pub mod key;
pub mod key_moves;
pub mod key_order;
pub mod leaving;
mod limit_senders;
pub mod lookup;
pub mod members;
pub mod model;
mod observation;
pub mod pick;
pub mod placement;
pub mod poison;
mod poison_record;
pub mod policies;
pub mod quota;
mod reader_clocks;
pub mod reader_rank;
pub mod refusal_rate;
pub mod relay;
mod restore;
mod retained_rows;
pub mod retry_worth;
pub mod returning_callers;
pub mod rollout;
mod rollout_context;
mod rollout_control;
pub mod rollout_counts;
mod rollout_reports;
mod rollout_requests;
mod rollout_roles;
pub mod rollout_steps;
mod rollout_writes;
pub mod routes;
mod row;
pub mod server;
pub mod server_limit;
pub mod server_speed;
pub mod servers;
pub mod service_path;
pub mod settings;
pub mod silence;
pub mod sliding_window;
pub mod startup;
pub mod steer;
pub mod store_reads;
pub mod store_schedule;
mod stored_row;
mod table;
pub mod table_sync;
pub mod tally;
mod tombstones;
pub mod version;
pub mod view;
pub mod warm_keys;
mod watermark;
pub mod workspaces;

pub use pick::{Pick, PickRequest, Refusal};
pub use rollout_writes::RolloutWrite;
pub use settings::{Bounds, Host, Settings};
pub use steer::Steer;
