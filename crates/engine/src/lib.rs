//! The engine of a limiter: runs the decision module of [`oatbank-limiter-core`] and performs its I/O through [`ports`].
//!
//! | module | contents |
//! | --- | --- |
//! | [`body`] | buffered and streamed bodies |
//! | [`open_ids`] | ids of open requests |
//! | [`ports`] | interfaces to the clock, the counter, the membership source and the servers, with their guarantees |
//! | [`engine`] | owner of the decision module; depends on ports only |
//! | [`classify`] | classification of requests by the platform's headers |
//! | [`config`] | configuration without a platform |
//! | [`counters`] | counters: the platform's text protocol, and one in the process |
//! | [`direct`] | a limiter for a handler in the process, deciding on the caller's thread |
//! | [`front`] | client connections: reads requests, passes them to a handler and writes the answers |
//! | [`handle`] | access to an engine from other threads |
//! | [`members`] | membership sources: the platform's discovery agent, and a fixed list |
//! | [`upstreams`] | servers over HTTP/1.1, and a handler in the process |
//! | [`respond`] | the limiter's own HTTP answers |
//! | [`supervise`] | tasks that are restarted after a panic |

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
