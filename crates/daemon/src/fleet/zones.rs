//! Zone failover in a fleet: limiters report their counts to the decider, which proposes the zone shares computed by
//! `oatbank_zones` as changes of the rules.

use super::api::Reply;
use super::{edit, Fleet};
use hyper::{Method, StatusCode};
use oatbank_fleet::decider::Proposal;
use oatbank_fleet::document::Id;
use oatbank_fleet::message::Message;
use oatbank_fleet::{Millis, Peer};
use oatbank_zones::evidence::Report;
use oatbank_zones::failover::Order;
use oatbank_zones::zones::{OrderError, Zones};
use oatbank_zones::ReducedZone;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Interval between reports, ms.
const REPORT_INTERVAL_MS: f64 = 250.0;
/// Timeout of a proposed share, ms: after this newer reports are available.
const PROPOSAL_TIMEOUT_MS: Millis = 1500;
/// Maximum size of a report, in bytes, so that it fits into one message.
const MAX_REPORT_BYTES: usize = 1200;

/// Zone state of a limiter.
#[derive(Default)]
pub(super) struct ZoneState {
    /// Zone evaluation, while this limiter is the decider.
    zones: RefCell<Option<Zones>>,
    /// Revision in force and the zones that it reduces.
    left: RefCell<(Id, Vec<ReducedZone>)>,
    /// Whether a change is being decided.
    busy: Cell<bool>,
}

impl Fleet {
    /// Reports this limiter's counts, and evaluates the zones while it is the decider. Never returns.
    pub(super) async fn run_zones(self: Rc<Self>) {
        loop {
            self.clock.until(self.clock.now() + REPORT_INTERVAL_MS).await;
            let report =
                Report { life: self.life, own: self.applied.borrow().own_zone(), rows: self.engine.zones() };
            let leads = self.node.borrow().as_decider().is_some_and(|d| !d.recovering());
            if leads {
                self.evaluate_zones(&report);
                continue;
            }
            *self.zone_state.zones.borrow_mut() = None;
            let (decider, _) = self.node.borrow().decider();
            if let Some(decider) = decider.filter(|peer| *peer != self.settings.me) {
                self.send(decider, &Message::Attachment(encode_report(report)));
            }
        }
    }

    /// Handles a zone report of another limiter.
    pub(super) fn receive_zone_report(&self, from: Peer, bytes: &[u8]) {
        let Ok(report) = postcard::from_bytes::<Report>(bytes) else { return };
        if let Some(zones) = self.zone_state.zones.borrow_mut().as_mut() {
            zones.report(self.now(), from.0, &report);
        }
    }

    fn evaluate_zones(self: &Rc<Self>, report: &Report) {
        let now = self.now();
        let Some(held) = self.node.borrow().held().cloned() else { return };
        if self.zone_state.left.borrow().0 != held.id() {
            let left = self.applied.borrow_mut().left(&held);
            *self.zone_state.left.borrow_mut() = (held.id(), left);
        }
        let wanted = {
            let mut state = self.zone_state.zones.borrow_mut();
            let zones = state.get_or_insert_with(|| {
                let cold = self.applied.borrow_mut().cold(&held);
                Zones::new(self.settings.peers.len(), cold, self.life)
            });
            zones.report(now, self.settings.me.0, report);
            zones.set_decision(now, &self.zone_state.left.borrow().1);
            zones.tick(now)
        };
        let Some(wanted) = wanted.filter(|_| !self.zone_state.busy.get()) else { return };
        let text = match edit::left(&held.text, &wanted) {
            Ok(text) => text,
            Err(why) => return tracing::warn!("zones: {why}"),
        };
        self.zone_state.busy.set(true);
        let fleet = self.clone();
        tokio::task::spawn_local(async move {
            let expect = Some(held.id().number);
            let (author, timeout) = ("zones".to_owned(), PROPOSAL_TIMEOUT_MS);
            let ask = Proposal { expect, author, text: text.into(), timeout, ..Proposal::default() };
            let answer = fleet.propose(ask).await;
            let list: Vec<String> = wanted.iter().map(|l| format!("{} {:.2}", l.zone, l.share)).collect();
            tracing::info!(
                "zones: uses [{}]: {}",
                list.join(", "),
                fleet.outcome_reply(&answer).1.trim_end()
            );
            fleet.zone_state.busy.set(false);
        });
    }

    /// Answers a call below `/v1/fleet/zones`.
    pub(super) fn zone_call(&self, method: &Method, query: &str, call: &[&str]) -> Option<Reply> {
        if !self.settings.zones {
            let why = "fleet.zones is off; true in the file turns it on";
            return Some((StatusCode::NOT_FOUND, json!({"error": why}).to_string() + "\n"));
        }
        let now = self.now();
        let mut state = self.zone_state.zones.borrow_mut();
        let Some(zones) = state.as_mut() else { return Some(self.not_decider_reply()) };
        let post = method == Method::POST;
        let order = match call {
            [] | ["status"] if !post => {
                let names = |n: u16| self.name(Peer(n)).to_owned();
                let mut shown = json!(zones.status(now));
                for zone in shown.as_array_mut().into_iter().flatten() {
                    let rows = zone["limiters"].as_array().cloned().unwrap_or_default();
                    let named = rows.iter().map(|row| {
                        let n = row[0].as_u64().unwrap_or_default() as u16;
                        json!({"limiter": names(n), "tries": row[1], "failed": row[2]})
                    });
                    zone["limiters"] = named.collect();
                }
                return Some((StatusCode::OK, format!("{shown:#}\n")));
            }
            [_, "leave"] if post => match parse_over_ms(query) {
                Ok(over) => Some(Order::Leave(over)),
                Err(why) => return Some((StatusCode::BAD_REQUEST, json!({"error": why}).to_string() + "\n")),
            },
            [_, "return"] if post => Some(Order::Return),
            [_, "hold"] if post => Some(Order::Hold),
            [_, "end"] if post => None,
            _ => return None,
        };
        let zone = call[0];
        Some(match zones.order(now, zone, order) {
            Ok(()) => {
                let say = match order {
                    Some(_) => {
                        format!("{zone}: ordered; the fleet decides each step, see `oatbank zone status`")
                    }
                    None => format!("{zone}: the order has ended; automatic failover is active again"),
                };
                (StatusCode::OK, json!({"result": "ordered", "say": say}).to_string() + "\n")
            }
            Err(OrderError::UnknownZone(known)) => {
                let say = format!("unknown zone {zone:?}; known are {}", known.join(", "));
                (StatusCode::NOT_FOUND, json!({"result": "no zone", "say": say}).to_string() + "\n")
            }
            Err(OrderError::LastFullZone) => {
                let say = format!("{zone} is the last zone in full use; return another one first");
                (StatusCode::CONFLICT, json!({"result": "last zone", "say": say}).to_string() + "\n")
            }
        })
    }
}

/// Parses `over_ms=30000`. An empty query means 0, at once.
fn parse_over_ms(query: &str) -> Result<Millis, String> {
    match query.split_once('=') {
        None if query.is_empty() => Ok(0),
        Some(("over_ms", ms)) => {
            ms.parse().map_err(|_| format!("over_ms: {ms:?} is not allowed; expected a whole number of ms"))
        }
        _ => Err(format!("{query:?} is not allowed; expected a query such as over_ms=30000")),
    }
}

/// Encodes a report. Drops the zones with the fewest failures until it fits into one message.
fn encode_report(mut report: Report) -> Vec<u8> {
    let bad = |row: &oatbank_zones::evidence::Row| {
        let c = row.counts;
        std::cmp::Reverse(c.failed + c.silent + c.refused + c.broken)
    };
    report.rows.sort_by_key(bad);
    loop {
        // Encoding plain data without maps or floats cannot fail.
        let bytes = postcard::to_stdvec(&report).unwrap_or_default();
        if bytes.len() <= MAX_REPORT_BYTES || report.rows.pop().is_none() {
            return bytes;
        }
    }
}

#[cfg(test)]
mod tests;
