//! The service catalog of this core machine, rebuilt when its inputs change.

use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_config_model::{Configuration, RouteTable};
use oatbank_node_runtime::log;
use oatbank_service_catalog::{CurrentCatalog, ServiceOwners};
use std::cell::RefCell;
use std::rc::Rc;

/// The catalog, with the routes of its configuration.
#[derive(Clone, Default)]
pub struct CatalogAndRoutes {
    /// The current catalog of services and their owners.
    pub current: CurrentCatalog,
    /// The routes; `None` before the first configuration.
    pub routes: Option<Rc<RouteTable>>,
}

/// Keeps the catalog up to date.
pub struct CatalogView {
    view: Rc<ClusterView>,
    latest: RefCell<CatalogAndRoutes>,
}

impl CatalogView {
    /// Creates an empty catalog on top of `view`.
    pub fn new(view: Rc<ClusterView>) -> Rc<Self> {
        Rc::new(CatalogView { view, latest: RefCell::default() })
    }

    /// Refreshes the catalog and returns it.
    pub fn latest(&self) -> CatalogAndRoutes {
        self.refresh();
        self.latest.borrow().clone()
    }

    /// Rebuilds the catalog if its inputs have changed, and logs changes of the contested servers.
    pub fn refresh(&self) {
        let edition = self.view.edition();
        let CatalogAndRoutes { current, routes } = &mut *self.latest.borrow_mut();
        // A configuration that this version cannot read is reported where it is adopted.
        let owners = || {
            let configuration = Configuration::read(&self.view.agreed_state().config).ok()?;
            *routes = Some(Rc::new(RouteTable::new(&configuration)));
            Some(ServiceOwners::new(edition, &configuration))
        };
        if let Some(contested) = self.view.with(|table, _| current.renew(edition, table, owners)) {
            log::info!("catalog: contested servers: {}", contested);
        }
    }
}
