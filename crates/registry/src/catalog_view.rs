//! The service catalog of this core machine: made again when what it is made from has changed.

use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_config_model::{Configuration, RouteTable};
use oatbank_node_runtime::log;
use oatbank_service_catalog::{CurrentCatalog, ServiceOwners};
use std::cell::RefCell;
use std::rc::Rc;

/// The catalog, and the routes of its configuration.
#[derive(Clone, Default)]
pub struct CatalogAndRoutes {
    /// Who owns what.
    pub current: CurrentCatalog,
    /// `None` before the first configuration.
    pub routes: Option<Rc<RouteTable>>,
}

/// Keeps the catalog up to date.
pub struct CatalogView {
    view: Rc<ClusterView>,
    latest: RefCell<CatalogAndRoutes>,
}

impl CatalogView {
    /// Nothing is known yet.
    pub fn new(view: Rc<ClusterView>) -> Rc<Self> {
        Rc::new(CatalogView { view, latest: RefCell::default() })
    }

    /// The catalog of this moment.
    pub fn latest(&self) -> CatalogAndRoutes {
        self.refresh();
        self.latest.borrow().clone()
    }

    /// Makes the catalog again if anything has changed, and logs changes of what is contested.
    pub fn refresh(&self) {
        let edition = self.view.edition();
        let CatalogAndRoutes { current, routes } = &mut *self.latest.borrow_mut();
        // A configuration that this version cannot read is reported by whoever takes it.
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
