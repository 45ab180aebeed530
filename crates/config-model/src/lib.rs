//! The operators' configuration: routes, services, limits and tenants. No I/O and no clock.
//!
//! The body of a call is read into a [`Proposal`], which [`Proposal::onto`] applies to the configuration in force: that gives
//! the next [`Configuration`], or a [`ProposalError`]. A [`Configuration`] is written with [`Configuration::text`] just as it was
//! sent, fields that this crate does not know included. Requests are looked up in a [`RouteTable`].
//!
//! | module | holds |
//! | --- | --- |
//! | `json` | JSON text to values and back, each number kept in the digits it came in |
//! | `columnar_rows` | lists as they travel, in `columns` and `rows`, and reading one row's fields |
//! | `model` | routes, services, limits and tenants |
//! | `reading` | reading these from rows |
//! | `configuration` | the configuration, its checks, reading and writing it |
//! | [`mesh`] | services of the same name in several meshes |
//! | `proposal` | what an operator asks for, and applying it to the configuration in force |
//! | `route_table` | look-up of routes by host and path, and of tenants by key |
//! | `api_call` | the calls of servers, operators and clients, as `docs/api/control.yaml` has them |

mod api_call;
mod columnar_rows;
mod configuration;
mod host;
mod json;
pub mod mesh;
mod model;
mod proposal;
mod reading;
mod route_table;
mod service_name;
mod validation_error;

pub use api_call::{parse_call, ApiCall, CALLS};
pub use configuration::Configuration;
pub use model::{Customer, Limits, Route, RouteKind, Service};
pub use proposal::{Change, Proposal, Replacement};
pub use route_table::RouteTable;
pub use validation_error::{ProposalError, ValidationError};
