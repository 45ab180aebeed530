//! Rules of the soak: compares the requests recorded by servers with the answers that clients received.

use super::clients::{Exchange, Kind, Outcome};
use crate::checker::is_promise;
use crate::server::ReceivedRequest;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A read that a server still executes this long after its client disconnected is a GONE violation.
pub const GONE_AFTER: Duration = Duration::from_millis(500);
/// An unanswered request that reached no server counts as LOST only if its connection ended later than this after sending.
pub const LOST_AFTER: Duration = Duration::from_millis(200);
/// Time after an outage during which the proxy is still exempt from the rules.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Time during which a proxy was killed or stopped. GONE and LOST do not apply to it then.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Index of the proxy.
    pub proxy: usize,
    /// Start of the outage.
    pub from: Instant,
    /// End of the outage.
    pub until: Instant,
}

/// Largest number of a tenant's requests that may run within a sliding window.
#[derive(Clone, Debug)]
pub struct Quota {
    /// Name of the tenant.
    pub tenant: String,
    /// Length of the window.
    pub window: Duration,
    /// Requests allowed per window, including the tolerance.
    pub allowed: usize,
}

/// Observations of one soak, as input to the rules.
#[derive(Debug, Default)]
pub struct Evidence {
    /// Requests that clients sent, with their outcomes.
    pub exchanges: Vec<Exchange>,
    /// Requests that reached servers, each with the id of its server.
    pub received: Vec<(String, ReceivedRequest)>,
    /// Outages of proxies caused by the schedule.
    pub outages: Vec<Outage>,
    /// Quotas to check.
    pub quotas: Vec<Quota>,
    /// End of the observation; a request still executing then counts as executing until this time.
    pub ended: Option<Instant>,
}

impl Evidence {
    /// Returns whether no outage of the proxy, extended by [`RECOVERY_TIME`], overlaps the interval.
    fn has_no_outage(&self, proxy: usize, from: Instant, until: Instant) -> bool {
        let hits = |outage: &Outage| outage.from <= until && outage.until + RECOVERY_TIME >= from;
        !self.outages.iter().any(|outage| outage.proxy == proxy && hits(outage))
    }

    /// Returns one line for each violation.
    pub fn violations(&self) -> Vec<String> {
        let mut arrivals: HashMap<&str, Vec<&(String, ReceivedRequest)>> = HashMap::new();
        for arrival in &self.received {
            arrivals.entry(arrival.1.try_id.as_str()).or_default().push(arrival);
        }
        let known: HashSet<&str> = self.exchanges.iter().map(|exchange| exchange.id.as_str()).collect();
        let unsent = arrivals.keys().filter(|id| !known.contains(**id));
        let mut violations: Vec<String> =
            unsent.map(|id| format!("UNASKED: {id} reached a server, and no client sent it")).collect();
        for exchange in &self.exchanges {
            let of = arrivals.get(exchange.id.as_str()).map_or(&[][..], Vec::as_slice);
            let broken = [
                self.gone(exchange, of),
                self.lost(exchange, of),
                twice(exchange, of),
                refused(exchange, of),
                mixed(exchange, of),
            ];
            violations.extend(broken.into_iter().flatten());
        }
        let sent: HashMap<&str, Instant> =
            self.exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange.sent)).collect();
        violations.extend(self.quotas.iter().filter_map(|quota| self.overrun(quota, &sent)));
        violations
    }

    /// Returns a QUOTA violation if the tenant's fullest window holds more requests than allowed.
    fn overrun(&self, quota: &Quota, sent: &HashMap<&str, Instant>) -> Option<String> {
        let (ran, at) = self.fullest_window(quota, sent)?;
        (ran > quota.allowed).then(|| {
            let first = self.exchanges.iter().map(|exchange| exchange.sent).min().unwrap_or(at);
            format!(
                "QUOTA: {}: {ran} requests ran in {:?} until {:.1?}, {} are allowed",
                quota.tenant,
                quota.window,
                at.saturating_duration_since(first),
                quota.allowed
            )
        })
    }

    /// Returns the number of requests in a tenant's fullest window and the end of that window, or `None` if none ran.
    /// A request counts if it was both sent and executed within the window.
    pub fn fullest_window(&self, quota: &Quota, sent: &HashMap<&str, Instant>) -> Option<(usize, Instant)> {
        // Grouped by id, so that a request tried at two servers counts once.
        let mut runs: HashMap<&str, Instant> = HashMap::new();
        let of_tenant =
            |request: &&ReceivedRequest| request.ran && request.customer.as_deref() == Some(&quota.tenant);
        for request in self.received.iter().map(|(_, request)| request).filter(of_tenant) {
            let first = runs.entry(request.try_id.as_str()).or_insert(request.at);
            *first = (*first).min(request.at);
        }
        let mut runs: Vec<(Instant, Instant)> =
            runs.into_iter().map(|(id, at)| (at, sent.get(id).copied().unwrap_or(at))).collect();
        runs.sort_unstable();
        let mut fullest = None;
        let mut first = 0;
        for (last, (end, _)) in runs.iter().enumerate() {
            while *end - runs[first].0 > quota.window {
                first += 1;
            }
            let within = |(_, sent): &&(Instant, Instant)| *end - *sent <= quota.window;
            let count = runs[first..=last].iter().filter(within).count();
            if fullest.is_none_or(|(most, _)| count > most) {
                fullest = Some((count, *end));
            }
        }
        fullest
    }

    fn gone(&self, exchange: &Exchange, arrivals: &[&(String, ReceivedRequest)]) -> Option<String> {
        let late = exchange.ended + GONE_AFTER;
        let counts = exchange.outcome == Outcome::Left
            && exchange.kind == Kind::Read
            && self.has_no_outage(exchange.proxy, exchange.sent, late);
        let works_on = |arrival: &&&(String, ReceivedRequest)| {
            let until = arrival.1.ended.or(self.ended);
            arrival.1.ran && until.is_some_and(|until| until > late)
        };
        let (server, _) = arrivals.iter().find(works_on).filter(|_| counts)?;
        Some(format!(
            "GONE: {} at proxy {}: {server} was at work {GONE_AFTER:?} after its client had left",
            exchange.id, exchange.proxy
        ))
    }

    fn lost(&self, exchange: &Exchange, arrivals: &[&(String, ReceivedRequest)]) -> Option<String> {
        let took = exchange.ended - exchange.sent;
        let is_lost = match exchange.outcome {
            Outcome::Unanswered => !arrivals.is_empty() || took > LOST_AFTER,
            Outcome::BehindLastAnswer => !arrivals.is_empty(),
            _ => false,
        };
        (is_lost && self.has_no_outage(exchange.proxy, exchange.sent, exchange.ended)).then(|| {
            format!(
                "LOST: {} ({:?}, {:?}) at proxy {}: {} arrivals, no answer after {took:?}",
                exchange.id,
                exchange.kind,
                exchange.outcome,
                exchange.proxy,
                arrivals.len()
            )
        })
    }
}

fn twice(exchange: &Exchange, arrivals: &[&(String, ReceivedRequest)]) -> Option<String> {
    let runs = arrivals.iter().filter(|arrival| arrival.1.ran).count();
    (exchange.kind != Kind::Read && runs > 1).then(|| format!("TWICE: {} ran {runs} times", exchange.id))
}

fn refused(exchange: &Exchange, arrivals: &[&(String, ReceivedRequest)]) -> Option<String> {
    let Outcome::Answered(status, _) = exchange.outcome else { return None };
    let ran = arrivals.iter().any(|arrival| arrival.1.ran);
    let is_broken = exchange.kind != Kind::Read && is_promise(status) && ran;
    is_broken.then(|| format!("REFUSED: {} was told {status}, and ran", exchange.id))
}

fn mixed(exchange: &Exchange, arrivals: &[&(String, ReceivedRequest)]) -> Option<String> {
    let Outcome::Answered(status, by) = &exchange.outcome else { return None };
    let ran_there = |by: &String| arrivals.iter().any(|(server, arrival)| server == by && arrival.ran);
    let is_wrong = (200..300).contains(status) && !by.as_ref().is_some_and(ran_there);
    is_wrong.then(|| format!("MIXED: {} was told {status}, by {by:?}", exchange.id))
}
