//! The catalogue as this core machine has it: made anew where what it is made from has changed, and swapped
//! whole.

use dramatis::{tables, Cast, Catalogue};
use greenroom::follow::Knowledge;
use greenroom::log;
use playbill::Playbill;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// The catalogue, and the routes of its configuration.
#[derive(Clone, Default)]
pub struct Named {
    /// Who owns what.
    pub catalogue: Rc<Catalogue>,
    /// None before the first configuration.
    pub routes: Option<Rc<playbill::Table>>,
    /// The edition and the count of changes that it was made of.
    of: (u64, u64),
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
        let of = (edition, self.known.with(|book, _| book.changes()));
        let before = self.now.borrow().clone();
        if before.of == of {
            return;
        }
        let mut cast = before.catalogue.cast().clone();
        let mut routes = before.routes;
        if before.of.0 != edition {
            // What cannot be read by this version is told by who takes it.
            if let Ok(bill) = Playbill::read(&self.known.decided().config) {
                cast = Arc::new(Cast::new(edition, &bill));
                routes = Some(Rc::new(playbill::Table::new(&bill)));
            }
        }
        let catalogue = Rc::new(self.known.with(|book, _| Catalogue::new(cast, book.rows())));
        let (was, is) = (tables::summary(&before.catalogue), tables::summary(&catalogue));
        if was != is {
            log::info!("catalogue: contested servers: {}", if is.is_empty() { "none" } else { &is });
        }
        *self.now.borrow_mut() = Named { catalogue, routes, of };
    }
}
