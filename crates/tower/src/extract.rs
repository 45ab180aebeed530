//! What a request is to the rules.

use http::request::Parts;
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::engine::Setup;
use oatbank_limiter_core::interface::Request;

/// Reads class, plan, account, units and deadline from a request's head.
///
/// An implementation answers for two things: a request that it cannot classify is rejected (400), so that it
/// touches no account; and the same account has the same number at every limiter. Closures of this form
/// implement it.
pub trait Extract: Clone + Send + Sync + 'static {
    /// What the module is told; the id is set by the engine.
    ///
    /// # Errors
    /// The answer to a request that cannot be classified.
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection>;
}

impl<F> Extract for F
where
    F: Fn(&Parts, &Setup) -> Result<Request, Rejection> + Clone + Send + Sync + 'static,
{
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection> {
        self(head, setup)
    }
}

/// The platform's headers, with the class in the path as well: what the daemon goes by.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformPath;

impl Extract for PlatformPath {
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection> {
        classify::by_path(head, &setup.names, &setup.settings)
    }
}

/// The platform's headers, whatever the path: for applications with paths of their own.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformHeaders;

impl Extract for PlatformHeaders {
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection> {
        classify::by_header(head, &setup.names, &setup.settings)
    }
}
