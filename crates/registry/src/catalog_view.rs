//! The catalogue as this core machine has it: made anew where what it is made from has changed, and swapped
//! whole.

use oatbank_cluster_state::replication::Knowledge;
use oatbank_config_model::Playbill;
use oatbank_node_runtime::log;
use oatbank_service_catalog::{Cast, Current};
use std::cell::RefCell;
use std::rc::Rc;

/// The catalogue, and the routes of its configuration.
#[derive(Clone, Default)]
pub struct Named {
    /// Who owns what.
    pub names: Current,
    /// None before the first configuration.
    pub routes: Option<Rc<oatbank_config_model::Table>>,
}

/// Keeps it.
pub struct Names {
    known: Rc<Knowledge>,
    now: RefCell<Named>,
}

impl Names {
    /// Nothing is known yet.
    pub fn new(known: Rc<Knowledge>) -> Rc<Self> {
        Rc::new(Names { known, now: RefCell::default() })
    }

    /// The catalogue of this moment.
    pub fn now(&self) -> Named {
        self.look();
        self.now.borrow().clone()
    }

    /// Looks whether anything has changed, and says so where what is contested has.
    pub fn look(&self) {
        let edition = self.known.edition();
        let Named { names, routes } = &mut *self.now.borrow_mut();
        // What cannot be read by this version is told by who takes it.
        let cast = || {
            let bill = Playbill::read(&self.known.decided().config).ok()?;
            *routes = Some(Rc::new(oatbank_config_model::Table::new(&bill)));
            Some(Cast::new(edition, &bill))
        };
        if let Some(contested) = self.known.with(|book, _| names.renew(edition, book, cast)) {
            log::info!("catalogue: contested servers: {}", contested);
        }
    }
}
