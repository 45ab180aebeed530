//! What measured slopes come to at another size: the formulas of `docs/CAPACITY.md`. Plain arithmetic; each figure that
//! goes in is a measured one or part of the size asked for.

/// A size of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct World {
    /// Limiters.
    pub limiters: f64,
    /// Servers.
    pub servers: f64,
    /// Core machines.
    pub core: f64,
    /// Of them, those that vote.
    pub voters: f64,
    /// Servers speak up about this often, s.
    pub heartbeat_interval: f64,
    /// Changes of the configuration a day.
    pub changes_a_day: f64,
    /// Servers and limiters restarted or replaced a day.
    pub restarts_a_day: f64,
    /// The configuration, kB.
    pub edition_kb: f64,
}

/// Of something that happens so often a day, how often a second.
pub fn a_second(a_day: f64) -> f64 {
    a_day / 86_400.0
}

/// By how many times a figure is over its budget; none where it is within.
pub fn over(value: f64, budget: f64) -> Option<f64> {
    (value > budget).then(|| value / budget)
}

impl World {
    /// Changes of the configuration a second.
    pub fn changes(&self) -> f64 {
        a_second(self.changes_a_day)
    }

    /// Words of all servers a second.
    pub fn beats(&self) -> f64 {
        self.servers / self.heartbeat_interval
    }

    /// Words a second that come to one core machine from its own servers.
    pub fn beats_here(&self) -> f64 {
        self.beats() / self.core
    }

    /// Sessions that one core machine holds.
    pub fn sessions_here(&self) -> f64 {
        self.limiters / self.core
    }

    /// What whole editions bring to whom hears each `copies` times, kB a second.
    pub fn editions(&self, copies: f64) -> f64 {
        self.changes() * self.edition_kb * copies
    }

    /// What whole editions take out of one core machine for its sessions, kB a second.
    pub fn editions_out(&self) -> f64 {
        self.editions(self.sessions_here())
    }

    /// What a core machine hears in a full mesh in which each peer tells all that it has heard, not only what was said to
    /// itself: every word of a server and of a limiter once from each peer. kB a second.
    pub fn mesh_in(&self, peers: f64, server_kb: f64, word_kb: f64, words: f64) -> f64 {
        peers * (self.beats() * server_kb + self.limiters * words * word_kb)
    }

    /// The same, were each word told to each machine once, by the machine that it was said to.
    pub fn mesh_in_once(&self, server_kb: f64, word_kb: f64, words: f64) -> f64 {
        (self.beats() * server_kb + self.limiters * words * word_kb) * (1.0 - 1.0 / self.core)
    }

    /// What replaced servers bring to a follower, kB a second.
    pub fn replaced(&self, each_kb: f64, copies: f64) -> f64 {
        a_second(self.restarts_a_day) * each_kb * copies
    }

    /// Memory of what is known whole, MB: a base, rows of servers and of limiters, and copies of the configuration.
    pub fn memory(&self, base_mb: f64, server_kb: f64, limiter_kb: f64, copies: f64) -> f64 {
        base_mb + (self.servers * server_kb + self.limiters * limiter_kb + copies * self.edition_kb) / 1000.0
    }
}

/// How long one line takes to carry so much to so many, one after the other, s.
pub fn carried(kb: f64, to: f64, mbit_a_second: f64) -> f64 {
    kb * to * 8.0 / 1000.0 / mbit_a_second
}

/// The most rows of this size in a frame of so many bytes.
pub fn rows_in(frame: f64, row: f64) -> f64 {
    (frame / row).floor()
}
