//! What gateways in virtual time are told, as several tests play it.

use oatbank_limiter_core::interface::*;

/// A customer asks for one unit, with this spread and time left, ms.
pub fn asks(id: RequestId, customer: CustomerId, spread: f64, time_left: Millis) -> Event {
    Event::Request(Request { id, customer, units: 1.0, spread, time_left, ..Request::default() })
}

/// An attempt has ended after `took` ms; its answer is whole if it was served.
pub fn ended(id: RequestId, attempt: u8, server: ServerId, outcome: Outcome, took: Millis) -> Event {
    let (complete, settled, load) = (outcome == Outcome::Ok, 0.0, Vec::new());
    Event::Ended { id, attempt, server, outcome, complete, took, settled, load }
}
