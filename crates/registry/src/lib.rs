//! The registry: tracks servers and limiters, and answers the calls of servers, operators and clients to the core.
//!
//! | module | holds |
//! | --- | --- |
//! | [`node`] | one core machine's registry, without its sockets |
//! | [`quorum_client`] | the client of the configuration store |
//! | [`operator_command`] | application of commands to the agreed state, without I/O |
//! | [`control_server`], [`control_api`], [`api_answer`] | the external API: HTTP server, calls, answers |
//! | [`heartbeat`], [`directory`] | parsing of heartbeats, and selection of limiters for clients, without I/O |
//! | [`catalog_view`] | the service catalog, kept up to date |
//! | [`voters`] | the table of the store's voters |

pub mod api_answer;
pub mod catalog_view;
pub mod control_api;
pub mod control_server;
pub mod directory;
pub mod heartbeat;
pub mod node;
pub mod operator_command;
pub mod quorum_client;
pub mod voters;
