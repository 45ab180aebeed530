//! The operators' configuration: routes, services, limits and tenants. No I/O and no clock.
//!
//! The body of a call is parsed into a [`Proposal`]. [`Proposal::onto`] applies it to the current configuration and returns the
//! next [`Configuration`] or a [`ProposalError`]. [`Configuration::text`] serializes a configuration with all values as they were
//! sent, unknown fields included. A [`RouteTable`] looks up the routes of requests.
//!
//! | module | holds |
//! | --- | --- |
//! | `json` | parsing and writing JSON with the original digits of every number |
//! | `columnar_rows` | lists in their JSON form of `columns` and `rows`, and access to the fields of a row |
//! | `model` | routes, services, limits and tenants |
//! | `reading` | reading the types of `model` from rows |
//! | `configuration` | the configuration: parsing, validation and serialization |
//! | [`mesh`] | full service names, with equal names in several meshes |
//! | `proposal` | an operator's change, and applying it to the current configuration |
//! | `route_table` | look-up of routes by host and path, and of tenants by key |
//! | `api_call` | the calls of servers, operators and clients, as defined in `docs/api/control.yaml` |

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
