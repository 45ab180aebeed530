//! Names of requests that are open. One that comes again meanwhile is another's, and a server's answer could reach
//! the wrong one.

use crate::classify::Rejection;
use http::StatusCode;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The names that are open at one limiter; clones share them.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Box<str>>>>);

impl OpenIds {
    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        // Each change is one step, so a panic beside it leaves nothing half done.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Holds a request's name while it is open, whichever way it ends.
    ///
    /// # Errors
    /// 409 where a request of this name is open.
    pub fn hold(&self, id: &str) -> Result<Held, Rejection> {
        let id: Box<str> = id.into();
        if !self.lock().insert(id.clone()) {
            return Err(Rejection { status: StatusCode::CONFLICT, why: "a request of this name is open\n" });
        }
        Ok(Held { ids: self.clone(), id })
    }
}

/// A name that is held; free again when this is dropped.
#[derive(Debug)]
pub struct Held {
    ids: OpenIds,
    id: Box<str>,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.ids.lock().remove(&self.id);
    }
}
