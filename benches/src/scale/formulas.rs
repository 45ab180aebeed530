//! The formulas of `docs/CAPACITY.md`, which extrapolate measured slopes to another system size. Each input is either a
//! measured figure or part of the requested size.

/// Size of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct World {
    /// Number of limiters.
    pub limiters: f64,
    /// Number of servers.
    pub servers: f64,
    /// Number of core machines.
    pub core: f64,
    /// Number of core machines that vote.
    pub voters: f64,
    /// Approximate interval between the heartbeats of a server, in seconds.
    pub heartbeat_interval: f64,
    /// Configuration changes per day.
    pub changes_a_day: f64,
    /// Restarts and replacements of servers and limiters per day.
    pub restarts_a_day: f64,
    /// Size of the configuration, in kB.
    pub edition_kb: f64,
}

/// Converts a rate per day to a rate per second.
pub fn a_second(a_day: f64) -> f64 {
    a_day / 86_400.0
}

/// Returns the ratio of a figure to its budget, or `None` if it is within the budget.
pub fn over(value: f64, budget: f64) -> Option<f64> {
    (value > budget).then(|| value / budget)
}

impl World {
    /// Configuration changes per second.
    pub fn changes(&self) -> f64 {
        a_second(self.changes_a_day)
    }

    /// Heartbeats of all servers per second.
    pub fn beats(&self) -> f64 {
        self.servers / self.heartbeat_interval
    }

    /// Heartbeats per second that one core machine receives directly from servers.
    pub fn beats_here(&self) -> f64 {
        self.beats() / self.core
    }

    /// Number of sessions per core machine.
    pub fn sessions_here(&self) -> f64 {
        self.limiters / self.core
    }

    /// Traffic of full editions to a receiver that gets each one `copies` times, in kB per second.
    pub fn editions(&self, copies: f64) -> f64 {
        self.changes() * self.edition_kb * copies
    }

    /// Outgoing traffic of full editions from one core machine to its sessions, in kB per second.
    pub fn editions_out(&self) -> f64 {
        self.editions(self.sessions_here())
    }

    /// Incoming traffic of a core machine in a full mesh, in kB per second. Each peer forwards everything it has received,
    /// not only from its own clients, so each message of a server or limiter arrives once from every peer.
    pub fn mesh_in(&self, peers: f64, server_kb: f64, word_kb: f64, words: f64) -> f64 {
        peers * (self.beats() * server_kb + self.limiters * words * word_kb)
    }

    /// Incoming mesh traffic, in kB per second, if only the machine that first received a message forwarded it.
    pub fn mesh_in_once(&self, server_kb: f64, word_kb: f64, words: f64) -> f64 {
        (self.beats() * server_kb + self.limiters * words * word_kb) * (1.0 - 1.0 / self.core)
    }

    /// Traffic to a follower caused by replaced servers, in kB per second.
    pub fn replaced(&self, each_kb: f64, copies: f64) -> f64 {
        a_second(self.restarts_a_day) * each_kb * copies
    }

    /// Memory for the full state, in MB: a base, the rows of servers and limiters, and copies of the configuration.
    pub fn memory(&self, base_mb: f64, server_kb: f64, limiter_kb: f64, copies: f64) -> f64 {
        base_mb + (self.servers * server_kb + self.limiters * limiter_kb + copies * self.edition_kb) / 1000.0
    }
}

/// Time to send `kb` to each of `to` receivers in turn over one link, in seconds.
pub fn carried(kb: f64, to: f64, mbit_a_second: f64) -> f64 {
    kb * to * 8.0 / 1000.0 / mbit_a_second
}

/// Returns how many rows of `row` bytes fit into a frame of `frame` bytes.
pub fn rows_in(frame: f64, row: f64) -> f64 {
    (frame / row).floor()
}
