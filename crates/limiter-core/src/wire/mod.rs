//! The adapter protocol: frames, codes and settings text. Translation only; it decides nothing.

mod frame;
mod host;
mod settings;

pub use frame::WireError;
pub use host::Host;
pub use settings::parse_settings;
