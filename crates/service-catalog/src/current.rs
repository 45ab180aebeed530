//! The current catalog and the check for whether it is up to date.

use crate::catalog::{Catalog, ServiceOwners};
use oatbank_cluster_state::state::StateTable;
use std::rc::Rc;
use std::sync::Arc;

/// The versions of the inputs that a catalog was built from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Basis {
    edition: u64,
    /// Value of [`StateTable::change_sequence`].
    change_sequence: u64,
}

/// The current catalog. It is rebuilt and replaced as a whole when the configuration or the use of a server changes.
#[derive(Clone, Debug, Default)]
pub struct CurrentCatalog {
    /// The latest snapshot.
    pub catalog: Rc<Catalog>,
    basis: Basis,
}

impl CurrentCatalog {
    /// Rebuilds the catalog if the edition or the table has changed. Returns a summary of contested servers for a log
    /// line if that has changed, `none` if no server is contested any more. `owners` is called for a new edition; if it
    /// returns `None`, the previous owners are kept.
    pub fn renew(
        &mut self,
        edition: u64,
        table: &StateTable,
        owners: impl FnOnce() -> Option<ServiceOwners>,
    ) -> Option<String> {
        let basis = Basis { edition, change_sequence: table.change_sequence() };
        if self.basis == basis {
            return None;
        }
        let new_owners = if self.basis.edition == edition { None } else { owners() };
        let owners = new_owners.map_or_else(|| self.catalog.service_owners().clone(), Arc::new);
        let before = std::mem::replace(&mut self.catalog, Rc::new(Catalog::new(owners, table.server_rows())));
        self.basis = basis;
        let (contested_before, contested) = (before.contested_summary(), self.catalog.contested_summary());
        if contested_before == contested {
            return None;
        }
        Some(if contested.is_empty() { "none".to_owned() } else { contested })
    }
}
