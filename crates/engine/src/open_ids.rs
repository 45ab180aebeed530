//! Ids of open requests. An id that arrives again while its request is open belongs to another request; accepting
//! it could deliver a server's answer to the wrong client.

use crate::classify::Rejection;
use http::StatusCode;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The ids of the requests that are open at one limiter; clones share the set.
#[derive(Clone, Debug, Default)]
pub struct OpenIds(Arc<Mutex<HashSet<Box<str>>>>);

impl OpenIds {
    fn lock(&self) -> MutexGuard<'_, HashSet<Box<str>>> {
        // Each change is a single insert or remove, so a poisoned lock holds a consistent set.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request's id until the returned guard is dropped.
    ///
    /// # Errors
    /// 409 if a request with this id is open.
    pub fn hold(&self, id: &str) -> Result<Held, Rejection> {
        let id: Box<str> = id.into();
        if !self.lock().insert(id.clone()) {
            return Err(Rejection { status: StatusCode::CONFLICT, why: "a request of this name is open\n" });
        }
        Ok(Held { ids: self.clone(), id })
    }
}

/// Guard of a registered id; dropping it releases the id.
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
