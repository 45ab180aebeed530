//! The catalog of the moment.

use crate::catalog::{Catalog, ServiceOwners};
use oatbank_cluster_state::state::StateTable;
use std::rc::Rc;
use std::sync::Arc;

/// What a catalog was made of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Basis {
    edition: u64,
    /// [`StateTable::change_sequence`].
    change_sequence: u64,
}

/// The catalog of the moment: made again when the configuration or the use of a server has changed, and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct CurrentCatalog {
    /// The catalog.
    pub catalog: Rc<Catalog>,
    basis: Basis,
}

impl CurrentCatalog {
    /// Makes the catalog again if anything has changed. Returns what is contested now, for a log line, if that has changed.
    /// `owners` is asked for the owners of a new edition; if it has none, those before stay.
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
