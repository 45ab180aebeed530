//! The registry: which servers and limiters there are, and the calls of servers, operators and clients to the core.
//!
//! | module | holds |
//! | --- | --- |
//! | [`node`] | one core machine's registry, without its sockets |
//! | [`quorum_client`] | the way to the configuration store |
//! | [`operator_command`] | what a command makes of the agreed state; pure |
//! | [`control_server`], [`control_api`], [`api_answer`] | calls from outside: HTTP, what each call does, answers |
//! | [`heartbeat`], [`directory`] | reading a heartbeat; which limiters a client is told of; pure |
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
