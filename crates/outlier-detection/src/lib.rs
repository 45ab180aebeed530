//! Which servers are unhealthy, by what all proxies have observed together. Pure: events go in with their time.
//!
//! An [`observer::Observer`] holds one proxy's own evidence: how attempts at a server ended, as the logarithm of how much
//! likelier that end is of an unhealthy server than of a healthy one. Such numbers of several proxies add up, so an
//! [`Evidence`] carries nothing else, and a [`detector::Detector`] adds those that it knows. All proxies run the same
//! detector, over rows that merge.

pub mod detector;
pub mod observer;

/// A point in time or a span on the caller's monotonic clock, ms.
pub type Millis = f64;

/// Evidence fades by these, ms. The quick one sees a server that was healthy until now, the long one a server
/// that is met rarely.
pub const DECAY: [Millis; 2] = [2000.0, 8000.0];
/// What is told at all: two failures next to each other. One is an accident, and to tell each costs more bytes between
/// regions than it earns.
pub const REPORT_THRESHOLD: f64 = 4.0;
/// From here on a server is suspect: three failures next to each other. A server that is healthy gets here by
/// less than one attempt in e^7, 1,100, by Wald's bound.
pub const SUSPECT_THRESHOLD: f64 = 7.0;
/// From here on it is ejected: less than one in 160,000.
pub const EJECT_THRESHOLD: f64 = 12.0;
/// One that returns and gets here is ejected again.
pub const RELAPSE_THRESHOLD: f64 = 5.0;
/// Below this there is nothing against it.
pub const CLEAR_THRESHOLD: f64 = 3.0;
/// An observation older than this, ms, says nothing: its evidence is a hundredth.
pub const EVIDENCE_LIFETIME: Millis = 40_000.0;
/// So many servers one proxy tells of at most, the worst first.
pub const MAX_REPORTED: usize = 16;

/// How an attempt ended, as far as it says something of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// Served.
    Success,
    /// Answered with an error, not at all in time, or with something broken.
    Failure,
    /// No connection: the server, or the way there.
    NotConnected,
    /// Called off: says something only if it took too long.
    Cancelled,
    /// Turned away as full, or never sent: busy is not ill.
    Ignored,
}

/// Evidence that adds up: natural logarithms of likelihood ratios, by [`DECAY`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Weight(pub [f64; 2]);

impl Weight {
    /// As it is after so long.
    pub fn decayed(self, span: Millis) -> Weight {
        let keep = |at: usize| self.0[at] * (-span.max(0.0) / DECAY[at]).exp();
        Weight([keep(0), keep(1)])
    }

    /// What speaks most for illness.
    pub fn strongest_against(self) -> f64 {
        self.0[0].max(self.0[1])
    }

    /// What speaks most against it.
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

/// What one proxy says of one server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// The server's id: a life of its own.
    pub server: String,
    /// Who says so.
    pub observer: String,
    /// Failing, as of `at`.
    pub failing: Weight,
    /// Slow, as of `at`.
    pub slow: Weight,
    /// Attempts that found no connection, fading by the long span.
    pub unreached: f64,
    /// Good answers in a row since the server stopped being well, by this proxy.
    pub goods: u32,
    /// When, on the reader's clock.
    pub at: Millis,
}
