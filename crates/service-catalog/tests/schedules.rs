//! Seeded schedules in virtual time that check the ownership of servers under faults.
//!
//! Core machines follow each other; proxies follow one core machine and each other. Servers start, crash, release
//! their addresses to other servers, or send heartbeats under another server's id. Nodes are disconnected, updates
//! arrive late or twice, core machines lose their state, proxies restart, and two services swap their routes. The
//! checker knows the true owners and observes only what servers run and how confirmations (requests that run at most
//! once) are answered. `SCHEDULES=n` sets the number of schedules.

use oatbank_cluster_state::anti_entropy::{SourceAgreement, MAX_DIVERGENCE};
use oatbank_cluster_state::messages::{ServerRow, StateUpdate};
use oatbank_cluster_state::state::{server_state, StateTable};
use oatbank_config_model::{mesh, Configuration};
use oatbank_service_catalog::{Catalog, Ownership, PermittedUse, ServiceOwners};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

const HEARTBEAT_MS: f64 = 1500.0;
const TICK_MS: f64 = 50.0;
const END_MS: f64 = 20_000.0;
const CORES: usize = 3;
const NODES: usize = 7;
const OWNERS: [&str; 3] = ["north/hall", "south/hall", "south/choir"];
/// An edition reaches every connected node within this time of its acceptance.
const APPLY_MS: f64 = 2500.0;

/// A fault built into the system, which the checker must detect.
#[derive(Clone, Copy, PartialEq, Debug)]
enum InjectedFault {
    None,
    /// Servers are selected by their service's name without the mesh.
    BareName,
    /// Of two claims under one id, the one with the higher call count wins.
    HighestCallCount,
    /// Servers do not check which incarnation an attempt is meant for.
    NoIncarnationCheck,
}

struct Server {
    id: String,
    owner: usize,
    service_name: String,
    address: String,
    starts_at: f64,
    stops_at: f64,
    /// Whether the server drains and leaves before it stops.
    is_graceful: bool,
    call_count: u64,
    next_heartbeat: f64,
}

/// A server that sends heartbeats under another server's id.
struct Impostor {
    row: ServerRow,
    from: f64,
    to: f64,
    next_heartbeat: f64,
}

struct Node {
    table: StateTable,
    edition: u64,
    catalog: Catalog,
    catalog_basis: (u64, u64),
    agreement: SourceAgreement,
    /// The epoch and position up to which updates of each node are known.
    positions: [(u64, u64); NODES],
    source: usize,
    next_request: [f64; NODES],
    connected_since: f64,
    started_at: f64,
}

impl Node {
    fn new(epoch: u64, now: f64) -> Self {
        Node {
            table: StateTable::new(epoch, HEARTBEAT_MS, now),
            edition: 0,
            catalog: Catalog::default(),
            catalog_basis: (0, 0),
            agreement: SourceAgreement::new(now),
            positions: [(0, 0); NODES],
            source: epoch as usize % CORES,
            next_request: [now; NODES],
            connected_since: now,
            started_at: now,
        }
    }
}

#[derive(Default)]
struct Statistics {
    served: u64,
    rejected: u64,
    longest: f64,
    contested: u64,
    snapshots: u64,
}

struct Simulation {
    rng: Pcg64Mcg,
    fault: InjectedFault,
    now: f64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    impostors: Vec<Impostor>,
    owners_by_edition: [Arc<ServiceOwners>; 2],
    swap_at: f64,
    cuts: [(usize, f64, f64); 2],
    /// Updates in transit: arrival time, receiver, sender, and whether it is a late duplicate.
    updates: Vec<(f64, usize, usize, bool, StateUpdate)>,
    differing_since: BTreeMap<String, f64>,
    /// Whether a catalog was rebuilt in this tick.
    catalog_changed: bool,
    statistics: Statistics,
}

fn service_owners(edition: u64) -> Arc<ServiceOwners> {
    let services: Vec<String> = OWNERS.iter().map(|name| format!("[{name:?}]")).collect();
    let text = format!(
        r#"{{"version":"r{edition}","routes":{{"columns":["name","hostName","pathStart","mesh","service"],"rows":[["north","halls","/","north","hall"]]}},"services":{{"columns":["name"],"rows":[{}]}}}}"#,
        services.join(",")
    );
    Arc::new(ServiceOwners::new(edition, &Configuration::read(&text).expect("a configuration")))
}

/// The owner of a route's requests. The first two routes swap their owners in the second edition.
fn owner_of(route: usize, edition: u64) -> usize {
    if edition > 1 && route < 2 {
        1 - route
    } else {
        route
    }
}

impl Simulation {
    fn new(seed: u64, fault: InjectedFault) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..NODES).map(|at| Node::new(1 + at as u64, 0.0)).collect();
        let owners_by_edition = [service_owners(1), service_owners(2)];
        let mut simulation = Simulation {
            rng,
            fault,
            now: 0.0,
            nodes,
            servers: Vec::new(),
            impostors: Vec::new(),
            owners_by_edition,
            swap_at: 0.0,
            cuts: [(0, 0.0, 0.0); 2],
            updates: Vec::new(),
            differing_since: BTreeMap::new(),
            catalog_changed: false,
            statistics: Statistics::default(),
        };
        simulation.generate(seed % 100 == 7);
        simulation
    }

    fn draw(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn draw_between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (f64::from(self.rng.next_u32()) / f64::from(u32::MAX))
    }

    /// Generates the schedule of servers, impostors, the route swap and disconnections.
    fn generate(&mut self, many: bool) {
        let places = if many { 100 } else { 12 };
        for place in 0..places {
            let mut starts_at = self.draw_between(0.0, 1500.0);
            for incarnation in 0..3 {
                let owner = self.draw(3) as usize;
                // Some servers do not name their mesh.
                let service_name =
                    if self.draw(4) == 0 { mesh::parts(OWNERS[owner]).1 } else { OWNERS[owner] };
                let stops_at = if self.draw(3) == 0 {
                    self.draw_between(starts_at + 3000.0, END_MS)
                } else {
                    2.0 * END_MS
                };
                let is_graceful = self.draw(2) == 0;
                self.servers.push(Server {
                    id: format!("i-{place}-{incarnation}"),
                    owner,
                    service_name: service_name.to_owned(),
                    address: format!("10.0.0.{place}:80"),
                    starts_at,
                    stops_at,
                    is_graceful,
                    call_count: 0,
                    next_heartbeat: starts_at,
                });
                // The address may pass to a server of another service after `reuseAfterS`.
                starts_at = stops_at + self.draw_between(2000.0, 4000.0);
                if starts_at > END_MS {
                    break;
                }
            }
        }
        let impostors = if many { 100 } else { self.draw(4) };
        let impostors_start = self.draw_between(6000.0, 13_000.0);
        for _ in 0..impostors {
            let victim_place = self.draw(places) as usize;
            let own_place = (victim_place + 1 + self.draw(places - 1) as usize) % places as usize;
            let victim =
                |s: &&Server| s.id == format!("i-{victim_place}-0") && s.stops_at > impostors_start + 1.0;
            let Some(victim) = self.servers.iter().find(victim) else { continue };
            let (id, there, right) = (victim.id.clone(), victim.address.clone(), victim.service_name.clone());
            let own = self.servers.iter().find(|s| s.id == format!("i-{own_place}-0")).expect("a server");
            let (service_name, here) = (own.service_name.clone(), own.address.clone());
            let own_claim = (right.clone(), there.clone());
            let (service, address) = match self.draw(3) {
                0 => (service_name, here),
                1 => (service_name, there),
                _ => (right, here),
            };
            if (&service, &address) == (&own_claim.0, &own_claim.1) {
                // Identical to the server's own claim, which by design cannot be distinguished.
                continue;
            }
            let call_count = 1 + self.draw(2000);
            let row = ServerRow { id, service, address, call_count, ..ServerRow::default() };
            let to = (impostors_start + self.draw_between(100.0, 6000.0))
                .min(self.servers[0].stops_at.max(END_MS));
            self.impostors.push(Impostor { row, from: impostors_start, to, next_heartbeat: impostors_start });
        }
        self.swap_at = self.draw_between(4000.0, END_MS - APPLY_MS);
        for at in 0..2 {
            let from = self.draw_between(3000.0, END_MS);
            let (node, to) = (self.draw(NODES as u64) as usize, self.draw_between(from, from + 5000.0));
            self.cuts[at] = (node, from, to);
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cuts.iter().any(|(at, from, to)| *at == node && (*from..*to).contains(&self.now))
    }

    /// Whether a node has been connected for long enough that the bound on divergence applies to it.
    fn in_touch(&self, node: usize) -> bool {
        let cut = |(at, from, to): &(usize, f64, f64)| {
            (*at == node || *at < CORES) && (*from..*to + 4000.0).contains(&self.now)
        };
        !self.cuts.iter().any(cut) && self.now - self.nodes[node].started_at > 4000.0
    }

    fn send_heartbeats(&mut self) {
        for at in 0..self.servers.len() {
            let server = &self.servers[at];
            if !(server.starts_at..server.stops_at).contains(&self.now) || self.now < server.next_heartbeat {
                continue;
            }
            let is_graceful = server.is_graceful && server.stops_at < END_MS;
            let draining = is_graceful && server.stops_at - self.now < 3500.0;
            let state = if draining { server_state::DRAINING } else { server_state::READY };
            let (id, service, address) =
                (server.id.clone(), server.service_name.clone(), server.address.clone());
            let call_count = server.call_count + 1;
            let row = ServerRow { id, service, address, state, call_count, ..ServerRow::default() };
            self.deliver_heartbeat(&row, is_graceful && server.stops_at - self.now < HEARTBEAT_MS);
            let next = self.now + self.draw_between(0.9 * HEARTBEAT_MS, 1.1 * HEARTBEAT_MS);
            (self.servers[at].next_heartbeat, self.servers[at].call_count) = (next, call_count);
        }
        for at in 0..self.impostors.len() {
            let impostor = &mut self.impostors[at];
            if (impostor.from..impostor.to).contains(&self.now) && self.now >= impostor.next_heartbeat {
                impostor.next_heartbeat += HEARTBEAT_MS;
                impostor.row.call_count += 1;
                let row = impostor.row.clone();
                self.deliver_heartbeat(&row, false);
            }
        }
    }

    /// Sends a heartbeat to core machines, from a random one on, until one accepts it.
    fn deliver_heartbeat(&mut self, row: &ServerRow, mark_left: bool) {
        let first = self.draw(CORES as u64) as usize;
        for nth in 0..CORES {
            let core = (first + nth) % CORES;
            if self.is_cut(core) || self.draw(20) == 0 {
                continue;
            }
            let table = &mut self.nodes[core].table;
            table.merge_server(self.now, row);
            if mark_left {
                table.mark_server_left(self.now, &row.id);
            }
            return;
        }
    }

    /// Requests updates at each node from the nodes that it follows.
    fn request_updates(&mut self) {
        for at in 0..NODES {
            let others: Vec<usize> = if at < CORES {
                (0..CORES).filter(|other| *other != at).collect()
            } else {
                let other = CORES + self.draw((NODES - CORES) as u64) as usize;
                vec![self.nodes[at].source, other]
            };
            for other in others {
                if other == at || self.now < self.nodes[at].next_request[other] || self.is_cut(at) {
                    continue;
                }
                if self.is_cut(other) {
                    if other == self.nodes[at].source {
                        self.nodes[at].source = (other + 1) % CORES;
                    }
                    continue;
                }
                let (epoch, seen) = self.nodes[at].positions[other];
                let mut update = self.nodes[other].table.update_since(self.now, epoch, seen, at < CORES);
                update.edition = self.nodes[other].edition;
                let delay = if self.draw(50) == 0 {
                    self.draw_between(80.0, 600.0)
                } else {
                    self.draw_between(2.0, 80.0)
                };
                if self.draw(20) == 0 {
                    let late = self.now + self.draw_between(100.0, 4000.0);
                    self.updates.push((late, at, other, true, update.clone()));
                }
                self.updates.push((self.now + delay, at, other, false, update));
                // One call at a time to each node.
                self.nodes[at].next_request[other] = self.now + delay + 100.0;
            }
        }
    }

    fn apply_updates(&mut self) {
        let due = |n: &(f64, usize, usize, bool, StateUpdate)| n.0 <= self.now;
        let (due, rest) = std::mem::take(&mut self.updates).into_iter().partition(due);
        self.updates = rest;
        for (_, at, other, late, update) in due {
            // A late duplicate may be from an earlier incarnation, so its position and digest are ignored.
            let (now, node) = (self.now, &mut self.nodes[at]);
            node.table.merge_update(now, &update);
            if late {
                continue;
            }
            node.edition = node.edition.max(update.edition);
            node.positions[other] = (update.epoch, update.seen);
            let compares = at >= CORES && other == node.source && update.source_is_warm && update.digest != 0;
            if compares && node.edition == update.edition {
                let same = node.table.digest() == update.digest;
                if node.agreement.on_update(now, same) {
                    node.positions[other] = (0, 0);
                    self.statistics.snapshots += 1;
                }
            }
        }
    }

    fn rebuild_catalogs(&mut self) {
        for at in 0..NODES {
            let now = self.now;
            // Core machines get editions by consensus; here they have them at once.
            if at < CORES {
                self.nodes[at].edition = if now >= self.swap_at { 2 } else { 1 };
            }
            let cut = self.is_cut(at);
            let node = &mut self.nodes[at];
            if at < CORES {
                if cut {
                    node.connected_since = now;
                }
                let may_expire = now - node.connected_since > 6500.0 && node.table.is_warm(now);
                node.table.expire(now, may_expire.then_some(now));
            }
            let of = (node.edition, node.table.change_sequence());
            if node.edition > 0 && node.catalog_basis != of {
                let service_owners = self.owners_by_edition[node.edition as usize - 1].clone();
                node.catalog = Catalog::new(service_owners, node.table.server_rows());
                node.catalog_basis = of;
                self.catalog_changed = true;
                self.statistics.contested += node.catalog.contested().count() as u64;
            }
        }
        // At random times a node restarts without its state.
        if self.draw(300) == 0 {
            let at = self.draw(NODES as u64) as usize;
            let epoch = self.nodes[at].table.epoch() + NODES as u64;
            self.nodes[at] = Node::new(epoch, self.now);
            self.updates.retain(|update| update.1 != at);
        }
    }

    /// The id and address of each server that a node would send an owner's confirmations to.
    fn confirmation_targets(&self, node: &Node, owner: usize) -> Vec<(String, String)> {
        let rows = node.table.servers(self.now).map(|(row, _)| row);
        let ready = rows.filter(|row| row.state == server_state::READY && !row.timed_out);
        let fits = |row: &&ServerRow| match self.fault {
            InjectedFault::BareName => mesh::parts(&row.service).1 == mesh::parts(OWNERS[owner]).1,
            InjectedFault::HighestCallCount => {
                let claims = node.table.servers(self.now).map(|(other, _)| other).filter(|o| o.id == row.id);
                row.service == OWNERS[owner] && claims.map(|o| o.call_count).max() == Some(row.call_count)
            }
            _ => {
                OWNERS[owner].ends_with(&*row.service)
                    && node.catalog.permitted_use(row, owner) == PermittedUse::All
            }
        };
        ready.filter(fits).map(|row| (row.id.clone(), row.address.clone())).collect()
    }

    /// Sends confirmations through the proxies. Fails if one runs at a server of another owner or more than once, or is not
    /// answered exactly once.
    fn send_confirmations(&mut self) -> Result<(), String> {
        for at in CORES..NODES {
            if self.nodes[at].edition == 0 || self.draw(3) != 0 {
                continue;
            }
            let (route, edition) = (self.draw(3) as usize, self.nodes[at].edition);
            let owner = owner_of(route, edition);
            let targets = self.confirmation_targets(&self.nodes[at], owner);
            let (mut runs, mut answers) = (0, 0);
            let contested = self.nodes[at].catalog.counts(owner).nothing > 0;
            if targets.is_empty() || contested && self.nodes[at].agreement.has_diverged(self.now) {
                (answers, self.statistics.rejected) = (answers + 1, self.statistics.rejected + 1);
            }
            for _ in 0..2 {
                if answers > 0 {
                    break;
                }
                let (meant, address) = &targets[self.draw(targets.len() as u64) as usize];
                let is_at_address =
                    |s: &&Server| s.address == *address && (s.starts_at..s.stops_at).contains(&self.now);
                let Some(server) = self.servers.iter().find(is_at_address) else { continue };
                if server.id != *meant && self.fault != InjectedFault::NoIncarnationCheck {
                    continue;
                }
                (runs, answers) = (runs + 1, answers + 1);
                self.statistics.served += 1;
                // A connected proxy must use the newest edition.
                let newest = edition == 2 || self.now < self.swap_at + APPLY_MS || !self.in_touch(at);
                if server.owner != owner || !newest {
                    return Err(format!(
                        "{}: a confirmation of route {route} ran at {} of {}, meant for {meant}, edition {edition}",
                        self.now, server.id, OWNERS[server.owner]
                    ));
                }
            }
            if answers == 0 {
                // Both attempts were rejected: nothing ran, and the client is told so.
                (answers, self.statistics.rejected) = (1, self.statistics.rejected + 1);
            }
            if runs > 1 || answers != 1 {
                return Err(format!("{}: {runs} runs and {answers} answers", self.now));
            }
        }
        Ok(())
    }

    /// Tracks how long connected proxies with the same edition have assigned different owners to one id, where no certain
    /// owner counts as different too. Fails above [`MAX_DIVERGENCE`].
    fn compare_owners(&mut self) -> Result<(), String> {
        let mut service_names: BTreeMap<&str, (u64, Option<usize>, bool)> = BTreeMap::new();
        for node in (CORES..NODES).filter(|at| self.in_touch(*at)).map(|at| &self.nodes[at]) {
            for entry in node.catalog.entries() {
                let owner = match entry.ownership {
                    Ownership::Owned(owner) => Some(owner),
                    _ => None,
                };
                let first = service_names.entry(&entry.row.id).or_insert((node.edition, owner, false));
                first.2 |= first.0 == node.edition && first.1 != owner;
            }
        }
        let differ = service_names.iter().filter(|(_, first)| first.2).map(|(id, _)| (*id).to_owned());
        let since: BTreeMap<String, f64> = differ
            .map(|id| (id.clone(), self.differing_since.get(&id).copied().unwrap_or(self.now)))
            .collect();
        self.differing_since = since;
        for (id, since) in &self.differing_since {
            self.statistics.longest = self.statistics.longest.max(self.now - since);
            if self.now - since > MAX_DIVERGENCE {
                return Err(format!("{}: two nodes name different owners of {id} since {since}", self.now));
            }
        }
        Ok(())
    }

    fn run(mut self) -> Result<Statistics, String> {
        while self.now < END_MS {
            self.send_heartbeats();
            self.request_updates();
            self.apply_updates();
            self.rebuild_catalogs();
            if self.now > 3000.0 {
                self.send_confirmations()?;
            }
            // Compared in each tick in which a difference may begin or persist, otherwise every 500 ms.
            if std::mem::take(&mut self.catalog_changed)
                || !self.differing_since.is_empty()
                || self.now % 500.0 == 0.0
            {
                self.compare_owners()?;
            }
            self.now += TICK_MS;
        }
        Ok(self.statistics)
    }
}

fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(2000)
}

#[test]
fn confirmations_run_only_at_their_owners_servers_and_are_all_answered() {
    let threads: Vec<_> = (0..4)
        .map(|part| {
            std::thread::spawn(move || {
                let mut all = Statistics::default();
                for seed in (0..schedules()).filter(|seed| seed % 4 == part) {
                    let seen = Simulation::new(seed, InjectedFault::None)
                        .run()
                        .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
                    all.served += seen.served;
                    all.rejected += seen.rejected;
                    all.contested += seen.contested;
                    all.snapshots += seen.snapshots;
                    all.longest = all.longest.max(seen.longest);
                }
                all
            })
        })
        .collect();
    let mut all = Statistics::default();
    for thread in threads {
        let seen = thread.join().expect("no failed schedule");
        all.served += seen.served;
        all.rejected += seen.rejected;
        all.contested += seen.contested;
        all.snapshots += seen.snapshots;
        all.longest = all.longest.max(seen.longest);
    }
    println!(
        "{} schedules: {} confirmations served, {} refused, {} snapshots, owners differed for {} ms at most",
        schedules(),
        all.served,
        all.rejected,
        all.snapshots,
        all.longest
    );
    assert!(
        all.served > 10 * all.rejected && all.contested > 1000,
        "the schedules serve too few confirmations or have too few conflicts"
    );
}

#[test]
fn checker_detects_each_injected_fault() {
    for fault in [InjectedFault::BareName, InjectedFault::HighestCallCount, InjectedFault::NoIncarnationCheck]
    {
        let found = (0..200).find_map(|seed| Simulation::new(seed, fault).run().err().map(|e| (seed, e)));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{fault:?} is not detected"));
        println!("{fault:?}: seed {seed}, {violation}");
    }
}
