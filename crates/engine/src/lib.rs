//! The engine of a limiter: runs the decision module of [`oatbank-limiter-core`] and does its I/O through [`ports`].
//!
//! | module | holds |
//! | --- | --- |
//! | [`body`] | bodies, held whole or passed on piece by piece |
//! | [`open_ids`] | names of requests that are open |
//! | [`ports`] | the seams: clock, counter, membership, the way to a server; with the guarantees of each |
//! | [`engine`] | the one owner of the decision module; knows ports only |
//! | [`classify`] | what the module is told of a request, from the platform's headers |
//! | [`config`] | a configuration without a platform |
//! | [`counters`] | the platform's text protocol, and one within the process |
//! | [`direct`] | a limiter whose server is a handler, deciding on the caller's thread |
//! | [`front`] | clients' connections: requests are read, handed in at a desk and answered |
//! | [`handle`] | the way to an engine from other threads |
//! | [`members`] | the platform's discovery agent, and a fixed list |
//! | [`upstreams`] | servers over HTTP/1.1, and a handler within the process |
//! | [`respond`] | the limiter's own answers as HTTP |
//! | [`supervise`] | tasks that must outlive a panic |

pub mod body;
pub mod classify;
pub mod config;
pub mod counters;
pub mod direct;
pub mod engine;
pub mod front;
pub mod handle;
pub mod members;
pub mod open_ids;
pub mod ports;
pub mod respond;
pub mod supervise;
pub mod upstreams;
