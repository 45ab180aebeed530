//! The adapter protocol: frames, codes and settings text. It translates and contains no decision logic.

mod frame;
mod host;
mod settings;

pub use frame::WireError;
pub use host::Host;
pub use settings::parse_settings;
