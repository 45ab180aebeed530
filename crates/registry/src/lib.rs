//! The registry. Pure: [`operator_command`] (what an operator's order makes of what is decided), [`directory`] (which
//! limiters a client is sent to), [`heartbeat`] (what a server says). Shells: [`quorum_client`] (agreeing with the
//! store), [`catalog_view`] (the catalogue), [`control_api`] (calls), [`node`] (what a registry follows and looks for),
//! [`voters`] (who votes, for the shell).

pub mod catalog_view;
pub mod control_api;
pub mod directory;
pub mod heartbeat;
pub mod node;
pub mod operator_command;
pub mod quorum_client;
pub mod voters;
