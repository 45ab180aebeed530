//! Builders of gateway events for tests in virtual time.

use oatbank_limiter_core::interface::*;

/// Returns a request of a customer for one unit; `time_left` in ms.
pub fn asks(id: RequestId, customer: CustomerId, spread: f64, time_left: Millis) -> Event {
    Event::Request(Request { id, customer, units: 1.0, spread, time_left, ..Request::default() })
}

/// Returns the end of an attempt after `took` ms; the request is complete if the attempt succeeded.
pub fn ended(id: RequestId, attempt: u8, server: ServerId, outcome: Outcome, took: Millis) -> Event {
    let (complete, settled, load) = (outcome == Outcome::Ok, 0.0, Vec::new());
    Event::Ended { id, attempt, server, outcome, complete, took, settled, load }
}
