//! Outlier detection: finds unhealthy servers from the observations of all proxies. No I/O and no clock; each call passes
//! the time.
//!
//! An [`observer::Observer`] accumulates one proxy's evidence on each server as a log-likelihood ratio: how much more likely
//! the observed attempts are for an unhealthy server than for a healthy one. Log-likelihood ratios of several proxies add
//! up, so proxies exchange them as [`Evidence`], and a [`detector::Detector`] sums them. All proxies run the same detector
//! on replicated evidence.

pub mod detector;
pub mod observer;

/// A point in time or a duration in ms, on the caller's monotonic clock.
pub type Millis = f64;

/// Time constants in ms by which evidence decays. The short one detects a server that was healthy until now, the long one a
/// server with few attempts.
pub const DECAY: [Millis; 2] = [2000.0, 8000.0];
/// Evidence from which a server is reported: two consecutive failures. Reporting single failures, which occur by chance,
/// would cost more traffic between regions than it gains.
pub const REPORT_THRESHOLD: f64 = 4.0;
/// Evidence from which a server is suspect: three consecutive failures. By Wald's bound, fewer than one in e^7 = 1,100
/// attempts at a healthy server lead here.
pub const SUSPECT_THRESHOLD: f64 = 7.0;
/// Evidence from which a server is ejected. By Wald's bound, fewer than one in e^12 = 160,000 attempts at a healthy server
/// lead here.
pub const EJECT_THRESHOLD: f64 = 12.0;
/// Evidence from which a returning server is ejected again.
pub const RELAPSE_THRESHOLD: f64 = 5.0;
/// Evidence below which a server counts as healthy again.
pub const CLEAR_THRESHOLD: f64 = 3.0;
/// Age in ms from which evidence is ignored; by then it has decayed to less than a hundredth.
pub const EVIDENCE_LIFETIME: Millis = 40_000.0;
/// Maximum number of servers that one proxy reports, the worst first.
pub const MAX_REPORTED: usize = 16;

/// The result of an attempt as evidence on its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Served successfully.
    Success,
    /// Answered with an error or an invalid response, or timed out.
    Failure,
    /// No connection: the server or the network path failed.
    NotConnected,
    /// Cancelled; counts as evidence only if it was slow.
    Cancelled,
    /// Rejected because the server was full, or never sent; an overloaded server is not unhealthy.
    Ignored,
}

/// Additive evidence: natural logarithms of likelihood ratios, one for each time constant in [`DECAY`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weight(pub [f64; 2]);

impl Weight {
    /// The evidence after decaying for `span` ms.
    pub fn decayed(self, span: Millis) -> Weight {
        let keep = |at: usize| self.0[at] * (-span.max(0.0) / DECAY[at]).exp();
        Weight([keep(0), keep(1)])
    }

    /// The larger of the two values: the strongest evidence that the server is unhealthy.
    pub fn strongest_against(self) -> f64 {
        self.0[0].max(self.0[1])
    }

    /// The smaller of the two values: the strongest evidence that the server is healthy.
    pub fn strongest_in_favour(self) -> f64 {
        self.0[0].min(self.0[1])
    }

    fn add(&mut self, more: f64) {
        self.0 = self.0.map(|w| (w + more).clamp(-30.0, 30.0));
    }

    fn differs_from(self, other: Weight) -> bool {
        (0..2).any(|at| (self.0[at] - other.0[at]).abs() >= observer::REPORT_DELTA)
    }
}

/// One proxy's evidence on one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Id of the server; changes with each start of its process.
    pub server: String,
    /// Name of the proxy that reports.
    pub observer: String,
    /// Evidence of failures, as of `at`.
    pub failing: Weight,
    /// Evidence of slowness, as of `at`.
    pub slow: Weight,
    /// Attempts without a connection, decayed by the long time constant.
    pub unreached: f64,
    /// Consecutive good answers to this proxy since the server became unhealthy.
    pub consecutive_successes: u32,
    /// Time of the report on the reader's clock.
    pub at: Millis,
}
