//! The rows of `docs/CAPACITY.md` that are worked out: measured slopes put into the formulas at the next size.

use super::formulas::{carried, over, World};
use super::load::{configuration, Size};

/// What configuration the next size has.
pub const CONFIGURATION: Size = Size { routes: 110_000, tenants: 360_000, services: 3300 };

/// Requests a second at the peak, each with an add at worst.
pub const REQUESTS: f64 = 1_600_000.0;
/// A limiter's budgets for control: kB a second, ms of a core a second, MB.
pub const LIMITER: (f64, f64, f64) = (8.0, 25.0, 128.0);
/// What a core machine is guessed to have: a line of 1 Gbit/s (kB a second), one core for a program of one thread
/// (ms a second), and 4,000 MB.
pub const CORE: (f64, f64, f64) = (125_000.0, 1000.0, 4000.0);

/// Slopes as they were measured; the page says in which run.
mod slope {
    /// Bytes of an edition that come to a proxy for each byte of it: its session, and the two that it follows.
    pub const COPIES: f64 = 3.0;
    /// kB of a replaced server, each copy.
    pub const REPLACED: f64 = 0.194;
    /// kB of a limiter's word on how a server fares, to each limiter.
    pub const NOTICE: f64 = 0.056;
    /// kB of a server's word: said to a registry, answered, and passed on by one peer.
    pub const BEAT_IN: f64 = 0.0851;
    pub const BEAT_OUT: f64 = 0.0363;
    pub const BEAT_PASSED: f64 = 0.0637;
    /// kB a second of a session: said, and passed on by one peer.
    pub const SESSION_IN: f64 = 0.204;
    pub const SESSION_PASSED: f64 = 0.091;
    /// ms of a registry's core for a word said to it, and for one passed on by one peer.
    pub const BEAT_MS: f64 = 0.020;
    pub const PASSED_MS: f64 = 0.0024;
    /// MB of a registry: base, server, session, route, tenant.
    pub const REGISTRY_MB: [f64; 5] = [5.2, 0.000703, 0.0698, 0.00426, 0.00243];
    /// MB of a proxy: base, server, limiter, route, tenant, service.
    pub const PROXY_MB: [f64; 6] = [6.0, 0.001207, 0.000423, 0.0017, 0.00208, 0.0123];
    /// ms a second of a proxy: for each service and server, and for each tenant.
    pub const PROXY_SERVICE_SERVER_MS: f64 = 0.000162;
    pub const PROXY_TENANT_MS: f64 = 0.00137;
    /// ms until an order is acknowledged, by route and tenant.
    pub const ORDER_MS: [f64; 2] = [0.0457, 0.0223];
    /// us of one decision alone, by route and tenant: laying out an edition, and one change on top of it.
    pub const TABLE_US: [f64; 2] = [4.31, 3.90];
    pub const CHANGE_US: [f64; 2] = [6.81, 4.26];
    /// us at the next size: news for a follower, a service's slice, who keeps a number, where a client is to go.
    pub const SINCE_US: f64 = 5041.0;
    pub const CAST_US: f64 = 10_448.0;
    pub const KEEPER_US: f64 = 181.0;
    /// Calls of a session a second, and looks of a proxy at all its services.
    pub const CALLS: f64 = 2.0;
    pub const LOOKS: f64 = 2.0;
    /// MB on a store's disk, by route.
    pub const DISK_MB: f64 = 0.000580;
    /// ms of the registries for each proxy that comes back.
    pub const BACK_MS: f64 = 1.13;
}

/// The next size.
pub fn next() -> World {
    World {
        limiters: 16_000.0,
        servers: 80_000.0,
        core: 31.0,
        voters: 9.0,
        heartbeat_interval: 1.5,
        changes_a_day: 92_000.0,
        restarts_a_day: 27_000.0,
        edition_kb: configuration(CONFIGURATION, 1).len() as f64 / 1000.0,
    }
}

/// A row: whose, of what, the figure, and the budget where there is one.
pub struct Row(pub &'static str, pub &'static str, pub f64, pub Option<f64>);

/// All rows at this size.
pub fn rows(world: &World) -> Vec<Row> {
    use slope::*;
    let (routes, tenants) = (CONFIGURATION.routes as f64, CONFIGURATION.tenants as f64);
    let services = CONFIGURATION.services as f64;
    let agreed_state = |us: [f64; 2]| world.changes() * (routes * us[0] + tenants * us[1]) / 1000.0;
    let [base, server, session, route, tenant] = REGISTRY_MB;
    let registry =
        base + world.servers * server + world.sessions_here() * session + routes * route + tenants * tenant;
    let [base, server, limiter, route, tenant, service] = PROXY_MB;
    let view = base + world.servers * server + world.limiters * limiter;
    let tables = routes * route + tenants * tenant + services * service;
    let mesh = |peers: f64| world.mesh_in(peers, BEAT_PASSED, SESSION_PASSED, 1.0);
    let thinking = |peers: f64, machines: f64| world.beats() * (BEAT_MS / machines + peers * PASSED_MS);
    let (voters, others) = (world.voters - 1.0, world.core - 1.0);
    vec![
        Row("edition", "kB", world.edition_kb, Some(8388.608)),
        Row(
            "edition",
            "s to be acknowledged",
            (routes * ORDER_MS[0] + tenants * ORDER_MS[1]) / 1000.0,
            Some(0.94),
        ),
        Row("proxy", "editions in, kB/s", world.editions(COPIES), Some(LIMITER.0)),
        Row("proxy", "editions out, kB/s", world.editions(COPIES - 1.0), Some(LIMITER.0)),
        Row("proxy", "replaced servers in, kB/s", world.replaced(REPLACED, COPIES), Some(LIMITER.0)),
        Row(
            "proxy",
            "notices in, one limiter in a hundred saying one a second (guessed), kB/s",
            world.limiters / 100.0 * NOTICE,
            Some(LIMITER.0),
        ),
        Row("proxy", "memory, servers and limiters, MB", view, Some(LIMITER.2)),
        Row("proxy", "memory with routes, tenants, services, MB", view + tables, Some(LIMITER.2)),
        Row(
            "proxy",
            "lists of services, ms/s",
            services * world.servers * PROXY_SERVICE_SERVER_MS,
            Some(LIMITER.1),
        ),
        Row("proxy", "slices of services, ms/s", LOOKS * services * CAST_US / 1000.0, Some(LIMITER.1)),
        Row(
            "proxy",
            "keepers of adds, ms/s",
            REQUESTS / world.limiters * KEEPER_US / 1000.0,
            Some(LIMITER.1),
        ),
        Row("proxy", "plans of tenants, ms/s", tenants * PROXY_TENANT_MS, Some(LIMITER.1)),
        Row("proxy", "reading editions, ms/s", agreed_state(TABLE_US), Some(LIMITER.1)),
        Row("registry", "changes on top of the newest, ms/s", agreed_state(CHANGE_US), Some(CORE.1)),
        Row("registry", "words of its servers a second", world.beats_here(), None),
        Row("registry", "words in, kB/s", world.beats_here() * BEAT_IN, Some(CORE.0)),
        Row("registry", "words answered, kB/s", world.beats_here() * BEAT_OUT, Some(CORE.0)),
        Row("registry", "mesh of nine in, kB/s", mesh(voters), Some(CORE.0)),
        Row("registry", "mesh of all in, kB/s", mesh(others), Some(CORE.0)),
        Row(
            "registry",
            "mesh that tells each word once in, kB/s",
            world.mesh_in_once(BEAT_PASSED, SESSION_PASSED, 1.0),
            Some(CORE.0),
        ),
        Row("registry", "words and mesh of nine, ms/s", thinking(voters, world.voters), Some(CORE.1)),
        Row("registry", "words and mesh of all, ms/s", thinking(others, world.core), Some(CORE.1)),
        Row("registry", "words told once, ms/s", thinking(1.0, world.core), Some(CORE.1)),
        Row("registry", "sessions", world.sessions_here(), None),
        Row(
            "registry",
            "answers to sessions, ms/s",
            world.sessions_here() * CALLS * SINCE_US / 1000.0,
            Some(CORE.1),
        ),
        Row("registry", "sessions in, kB/s", world.sessions_here() * SESSION_IN, Some(CORE.0)),
        Row("registry", "editions out to sessions, kB/s", world.editions_out(), Some(CORE.0)),
        Row("registry", "editions among nine, kB/s", world.editions(voters), Some(CORE.0)),
        Row("registry", "memory, MB", registry, Some(CORE.2)),
        Row("store", "records in, kB/s", world.editions(1.0), Some(CORE.0)),
        Row("store", "disk, MB, as if all were routes", world.edition_kb / 79.0 * 1000.0 * DISK_MB, None),
        Row(
            "bad day",
            "500 back: whole news of servers, MB out",
            500.0 * world.servers * BEAT_PASSED / 1000.0,
            None,
        ),
        Row(
            "bad day",
            "500 back: s of each core machine's line for news and edition",
            carried(world.servers * BEAT_PASSED + world.edition_kb, 500.0 / world.core, 1000.0),
            Some(7.0),
        ),
        Row("bad day", "500 back: ms of registries, small configuration", 500.0 * BACK_MS, None),
        Row(
            "bad day",
            "core restarted: s of each line for all its sessions' news and edition",
            carried(world.servers * BEAT_PASSED + world.edition_kb, world.sessions_here(), 1000.0),
            Some(7.0),
        ),
    ]
}

/// All rows as text.
pub fn show(world: &World) -> String {
    let line = |Row(role, what, value, budget): &Row| {
        let said = match budget.map(|budget| (budget, over(*value, budget))) {
            None => String::new(),
            Some((budget, None)) => format!(", of {budget}"),
            Some((budget, Some(times))) => format!(", of {budget}: OVER, {times:.1} times"),
        };
        format!("{role}: {what}: {value:.2}{said}\n")
    };
    rows(world).iter().map(line).collect()
}
