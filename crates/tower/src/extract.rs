//! Classification of requests: class, plan, account, units and deadline.

use http::request::Parts;
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::engine::Setup;
use oatbank_limiter_core::interface::Request;

/// Extract reads class, plan, account, units and deadline from a request's head.
///
/// An implementation has to reject a request that it cannot classify (400), so that no account is charged, and has
/// to give an account the same number at every limiter. Closures with this signature implement the trait.
pub trait Extract: Clone + Send + Sync + 'static {
    /// Returns the request as the limiter sees it; the engine sets the id.
    ///
    /// # Errors
    /// Returns the rejection that answers a request that cannot be classified.
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

/// Reads the platform's headers and requires the class in the path as well, as the daemon does.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformPath;

impl Extract for PlatformPath {
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection> {
        classify::by_path(head, &setup.names, &setup.settings)
    }
}

/// Reads the platform's headers and ignores the path, for applications with paths of their own.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformHeaders;

impl Extract for PlatformHeaders {
    fn extract(&self, head: &Parts, setup: &Setup) -> Result<Request, Rejection> {
        classify::by_header(head, &setup.names, &setup.settings)
    }
}
