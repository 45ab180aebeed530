//! The operators' configuration: routes, services, limits and tenants. No I/O and no clock.
//!
//! A call's body is read whole into a [`Proposal`], which [`Proposal::onto`] puts on the configuration in place: that
//! gives the next [`Playbill`], or says why not ([`Refused`]). A [`Playbill`] is written with [`Playbill::text`] just as
//! it was put, fields that this crate does not know included. Requests are looked up in a [`Table`].
//!
//! | module | does |
//! | --- | --- |
//! | `json` | JSON text to values and back, each number kept in the digits it came in |
//! | `sheet` | lists as they travel, in `columns` and `rows`, and reading one row's fields |
//! | `bill` | the configuration, its checks, reading and writing it |
//! | [`mesh`] | names of services that say their mesh |
//! | `proposal` | what an operator asks for, and building it on the configuration in place |
//! | `table` | look-up of routes by host and path, and of tenants by key |
//! | `calls` | the calls of servers, operators and clients, as `docs/api/control.yaml` has them |

mod api_call;
mod columnar_rows;
mod configuration;
mod json;
pub mod mesh;
mod proposal;
mod route_table;
mod validation_error;

pub use api_call::{parse, Call, CALLS};
pub use configuration::{Customer, Kind, Limits, Playbill, Route, Service};
pub use proposal::{Change, Proposal, Replacement};
pub use route_table::Table;
pub use validation_error::{Invalid, Refused};
