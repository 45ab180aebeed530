//! Seeded schedules in virtual time: core machines that follow each other, proxies that follow one of them
//! and each other, servers that come, crash, leave their addresses to others or beat under another's id;
//! cuts, late and doubled news, a core machine whose book is wiped, a proxy that starts, two services that
//! swap their routes. The checker knows the true owners and sees only what servers run and what confirmations
//! are answered. `SCHEDULES=n` plays more of them.

use oatbank_cluster_state::anti_entropy::{SourceAgreement, MAX_DIVERGENCE};
use oatbank_cluster_state::messages::{ServerRow, StateUpdate};
use oatbank_cluster_state::state::{server_state, StateTable};
use oatbank_config_model::{mesh, Configuration};
use oatbank_service_catalog::{Catalog, Ownership, PermittedUse, ServiceOwners};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;

const BEAT: f64 = 1500.0;
const TICK: f64 = 50.0;
const END: f64 = 20_000.0;
const CORES: usize = 3;
const NODES: usize = 7;
const OWNERS: [&str; 3] = ["north/hall", "south/hall", "south/choir"];
/// An edition is everywhere within this of its taking.
const APPLY: f64 = 2500.0;

/// What a broken catalogue would do; the checker has to find each.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Broken {
    Not,
    /// Servers by their service's bare name.
    BareName,
    /// Of two claims under one id, the one of the higher number.
    HighestNumber,
    /// Servers are not told whom a try is meant for.
    NoLife,
}

struct Server {
    id: String,
    owner: usize,
    says: String,
    address: String,
    born: f64,
    dies: f64,
    /// It says that it drains, and leaves, before it dies.
    planned: bool,
    call_count: u64,
    next: f64,
}

/// Beats under another's id.
struct Forger {
    row: ServerRow,
    from: f64,
    to: f64,
    next: f64,
}

struct Node {
    table: StateTable,
    edition: u64,
    catalog: Catalog,
    of: (u64, u64),
    agreement: SourceAgreement,
    /// With whom it stands where, by node.
    places: [(u64, u64); NODES],
    teller: usize,
    asks: [f64; NODES],
    awake: f64,
    began: f64,
}

impl Node {
    fn new(epoch: u64, now: f64) -> Self {
        Node {
            table: StateTable::new(epoch, BEAT, now),
            edition: 0,
            catalog: Catalog::default(),
            of: (0, 0),
            agreement: SourceAgreement::new(now),
            places: [(0, 0); NODES],
            teller: epoch as usize % CORES,
            asks: [now; NODES],
            awake: now,
            began: now,
        }
    }
}

#[derive(Default)]
struct FollowerProgress {
    served: u64,
    rejected: u64,
    longest: f64,
    contested: u64,
    snapshots: u64,
}

struct Play {
    rng: Pcg64Mcg,
    broken: Broken,
    now: f64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    forgers: Vec<Forger>,
    casts: [Arc<ServiceOwners>; 2],
    swap: f64,
    cut: [(usize, f64, f64); 2],
    /// To whom, of whom, when, whether it is a late copy.
    update: Vec<(f64, usize, usize, bool, StateUpdate)>,
    differ: BTreeMap<String, f64>,
    /// A catalogue was made anew in this tick.
    changed: bool,
    seen: FollowerProgress,
}

fn service_owners(edition: u64) -> Arc<ServiceOwners> {
    let services: Vec<String> = OWNERS.iter().map(|name| format!("[{name:?}]")).collect();
    let text = format!(
        r#"{{"version":"r{edition}","routes":{{"columns":["name","hostName","pathStart"],"rows":[]}},"services":{{"columns":["name"],"rows":[{}]}}}}"#,
        services.join(",")
    );
    Arc::new(ServiceOwners::new(edition, &Configuration::read(&text).expect("a configuration")))
}

/// The owner of a route's requests: two routes swap theirs in the second edition.
fn owner_of(route: usize, edition: u64) -> usize {
    if edition > 1 && route < 2 {
        1 - route
    } else {
        route
    }
}

impl Play {
    fn new(seed: u64, broken: Broken) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let nodes = (0..NODES).map(|at| Node::new(1 + at as u64, 0.0)).collect();
        let casts = [service_owners(1), service_owners(2)];
        let mut play = Play {
            rng,
            broken,
            now: 0.0,
            nodes,
            servers: Vec::new(),
            forgers: Vec::new(),
            casts,
            swap: 0.0,
            cut: [(0, 0.0, 0.0); 2],
            update: Vec::new(),
            differ: BTreeMap::new(),
            changed: false,
            seen: FollowerProgress::default(),
        };
        play.write(seed % 100 == 7);
        play
    }

    fn draw(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn span(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (f64::from(self.rng.next_u32()) / f64::from(u32::MAX))
    }

    /// Writes the schedule.
    fn write(&mut self, many: bool) {
        let places = if many { 100 } else { 12 };
        for place in 0..places {
            let mut born = self.span(0.0, 1500.0);
            for incarnation in 0..3 {
                let owner = self.draw(3) as usize;
                // Some do not say their mesh.
                let says = if self.draw(4) == 0 { mesh::parts(OWNERS[owner]).1 } else { OWNERS[owner] };
                let dies = if self.draw(3) == 0 { self.span(born + 3000.0, END) } else { 2.0 * END };
                let planned = self.draw(2) == 0;
                self.servers.push(Server {
                    id: format!("i-{place}-{incarnation}"),
                    owner,
                    says: says.to_owned(),
                    address: format!("10.0.0.{place}:80"),
                    born,
                    dies,
                    planned,
                    call_count: 0,
                    next: born,
                });
                // Its address may go to a server of another service after `reuseAfterS`.
                born = dies + self.span(2000.0, 4000.0);
                if born > END {
                    break;
                }
            }
        }
        let forgers = if many { 100 } else { self.draw(4) };
        let all = self.span(6000.0, 13_000.0);
        for _ in 0..forgers {
            let whose = self.draw(places) as usize;
            let who = (whose + 1 + self.draw(places - 1) as usize) % places as usize;
            let victim = |s: &&Server| s.id == format!("i-{whose}-0") && s.dies > all + 1.0;
            let Some(victim) = self.servers.iter().find(victim) else { continue };
            let (id, there, right) = (victim.id.clone(), victim.address.clone(), victim.says.clone());
            let own = self.servers.iter().find(|s| s.id == format!("i-{who}-0")).expect("a server");
            let (says, here) = (own.says.clone(), own.address.clone());
            let own_claim = (right.clone(), there.clone());
            let (service, address) = match self.draw(3) {
                0 => (says, here),
                1 => (says, there),
                _ => (right, here),
            };
            if (&service, &address) == (&own_claim.0, &own_claim.1) {
                // The server's own claim, word for word: not told apart, as the design's page says.
                continue;
            }
            let call_count = 1 + self.draw(2000);
            let row = ServerRow { id, service, address, call_count, ..ServerRow::default() };
            let to = (all + self.span(100.0, 6000.0)).min(self.servers[0].dies.max(END));
            self.forgers.push(Forger { row, from: all, to, next: all });
        }
        self.swap = self.span(4000.0, END - APPLY);
        for at in 0..2 {
            let from = self.span(3000.0, END);
            let (node, to) = (self.draw(NODES as u64) as usize, self.span(from, from + 5000.0));
            self.cut[at] = (node, from, to);
        }
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cut.iter().any(|(at, from, to)| *at == node && (*from..*to).contains(&self.now))
    }

    /// In touch for long enough that the bound holds.
    fn in_touch(&self, node: usize) -> bool {
        let cut = |(at, from, to): &(usize, f64, f64)| {
            (*at == node || *at < CORES) && (*from..*to + 4000.0).contains(&self.now)
        };
        !self.cut.iter().any(cut) && self.now - self.nodes[node].began > 4000.0
    }

    fn beats(&mut self) {
        for at in 0..self.servers.len() {
            let server = &self.servers[at];
            if !(server.born..server.dies).contains(&self.now) || self.now < server.next {
                continue;
            }
            let planned = server.planned && server.dies < END;
            let draining = planned && server.dies - self.now < 3500.0;
            let state = if draining { server_state::DRAINING } else { server_state::READY };
            let (id, service, address) = (server.id.clone(), server.says.clone(), server.address.clone());
            let call_count = server.call_count + 1;
            let row = ServerRow { id, service, address, state, call_count, ..ServerRow::default() };
            self.tell(&row, planned && server.dies - self.now < BEAT);
            let next = self.now + self.span(0.9 * BEAT, 1.1 * BEAT);
            (self.servers[at].next, self.servers[at].call_count) = (next, call_count);
        }
        for at in 0..self.forgers.len() {
            let forger = &mut self.forgers[at];
            if (forger.from..forger.to).contains(&self.now) && self.now >= forger.next {
                forger.next += BEAT;
                forger.row.call_count += 1;
                let row = forger.row.clone();
                self.tell(&row, false);
            }
        }
    }

    /// A server calls core machines until one takes it.
    fn tell(&mut self, row: &ServerRow, mark_left: bool) {
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

    /// Each node asks those whom it follows.
    fn ask(&mut self) {
        for at in 0..NODES {
            let others: Vec<usize> = if at < CORES {
                (0..CORES).filter(|other| *other != at).collect()
            } else {
                let other = CORES + self.draw((NODES - CORES) as u64) as usize;
                vec![self.nodes[at].teller, other]
            };
            for other in others {
                if other == at || self.now < self.nodes[at].asks[other] || self.is_cut(at) {
                    continue;
                }
                if self.is_cut(other) {
                    if other == self.nodes[at].teller {
                        self.nodes[at].teller = (other + 1) % CORES;
                    }
                    continue;
                }
                let (epoch, seen) = self.nodes[at].places[other];
                let mut update = self.nodes[other].table.update_since(self.now, epoch, seen, at < CORES);
                update.edition = self.nodes[other].edition;
                let delay = if self.draw(50) == 0 { self.span(80.0, 600.0) } else { self.span(2.0, 80.0) };
                if self.draw(20) == 0 {
                    let late = self.now + self.span(100.0, 4000.0);
                    self.update.push((late, at, other, true, update.clone()));
                }
                self.update.push((self.now + delay, at, other, false, update));
                // One call at a time.
                self.nodes[at].asks[other] = self.now + delay + 100.0;
            }
        }
    }

    fn hear(&mut self) {
        let due = |n: &(f64, usize, usize, bool, StateUpdate)| n.0 <= self.now;
        let (due, rest) = std::mem::take(&mut self.update).into_iter().partition(due);
        self.update = rest;
        for (_, at, other, late, update) in due {
            // A late copy is of another life: what it says of places and digests is void.
            let (now, node) = (self.now, &mut self.nodes[at]);
            node.table.merge_update(now, &update);
            if late {
                continue;
            }
            node.edition = node.edition.max(update.edition);
            node.places[other] = (update.epoch, update.seen);
            let compares = at >= CORES && other == node.teller && update.source_is_warm && update.digest != 0;
            if compares && node.edition == update.edition {
                let same = node.table.digest() == update.digest;
                if node.agreement.on_update(now, same) {
                    node.places[other] = (0, 0);
                    self.seen.snapshots += 1;
                }
            }
        }
    }

    fn turn(&mut self) {
        for at in 0..NODES {
            let now = self.now;
            // The core agrees on editions by ballots; here it has them at once.
            if at < CORES {
                self.nodes[at].edition = if now >= self.swap { 2 } else { 1 };
            }
            let cut = self.is_cut(at);
            let node = &mut self.nodes[at];
            if at < CORES {
                if cut {
                    node.awake = now;
                }
                let judges = now - node.awake > 6500.0 && node.table.is_warm(now);
                node.table.expire(now, judges.then_some(now));
            }
            let of = (node.edition, node.table.change_sequence());
            if node.edition > 0 && node.of != of {
                let service_owners = self.casts[node.edition as usize - 1].clone();
                node.catalog = Catalog::new(service_owners, node.table.server_rows());
                node.of = of;
                self.changed = true;
                self.seen.contested += node.catalog.contested().count() as u64;
            }
        }
        // A proxy starts, and a core machine's book is wiped, each at one moment of some schedules.
        if self.draw(300) == 0 {
            let at = self.draw(NODES as u64) as usize;
            let epoch = self.nodes[at].table.epoch() + NODES as u64;
            self.nodes[at] = Node::new(epoch, self.now);
            self.update.retain(|update| update.1 != at);
        }
    }

    /// The servers that a node would send an owner's confirmations to.
    fn sure(&self, node: &Node, owner: usize) -> Vec<(String, String)> {
        let rows = node.table.servers(self.now).map(|(row, _)| row);
        let ready = rows.filter(|row| row.state == server_state::READY && !row.timed_out);
        let fits = |row: &&ServerRow| match self.broken {
            Broken::BareName => mesh::parts(&row.service).1 == mesh::parts(OWNERS[owner]).1,
            Broken::HighestNumber => {
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

    /// Confirmations at each proxy, and what the checker says to what servers run of them.
    fn confirm(&mut self) -> Result<(), String> {
        for at in CORES..NODES {
            if self.nodes[at].edition == 0 || self.draw(3) != 0 {
                continue;
            }
            let (route, edition) = (self.draw(3) as usize, self.nodes[at].edition);
            let owner = owner_of(route, edition);
            let able = self.sure(&self.nodes[at], owner);
            let (mut runs, mut answers) = (0, 0);
            let contested = self.nodes[at].catalog.counts(owner).nothing > 0;
            if able.is_empty() || contested && self.nodes[at].agreement.has_diverged(self.now) {
                (answers, self.seen.rejected) = (answers + 1, self.seen.rejected + 1);
            }
            for _ in 0..2 {
                if answers > 0 {
                    break;
                }
                let (meant, address) = &able[self.draw(able.len() as u64) as usize];
                let there = |s: &&Server| s.address == *address && (s.born..s.dies).contains(&self.now);
                let Some(server) = self.servers.iter().find(there) else { continue };
                if server.id != *meant && self.broken != Broken::NoLife {
                    continue;
                }
                (runs, answers) = (runs + 1, answers + 1);
                self.seen.served += 1;
                // Who is in touch goes by the newest edition.
                let newest = edition == 2 || self.now < self.swap + APPLY || !self.in_touch(at);
                if server.owner != owner || !newest {
                    return Err(format!(
                        "{}: a confirmation of route {route} ran at {} of {}, meant for {meant}, edition {edition}",
                        self.now, server.id, OWNERS[server.owner]
                    ));
                }
            }
            if answers == 0 {
                // Both tries were turned away: nothing has run, and the client is told so.
                (answers, self.seen.rejected) = (1, self.seen.rejected + 1);
            }
            if runs > 1 || answers != 1 {
                return Err(format!("{}: {runs} runs and {answers} answers", self.now));
            }
        }
        Ok(())
    }

    /// How long two proxies in touch have said different things of one id's owner: an owner against another
    /// one, or against none for sure.
    fn compare(&mut self) -> Result<(), String> {
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
        let since: BTreeMap<String, f64> =
            differ.map(|id| (id.clone(), self.differ.get(&id).copied().unwrap_or(self.now))).collect();
        self.differ = since;
        for (id, since) in &self.differ {
            self.seen.longest = self.seen.longest.max(self.now - since);
            if self.now - since > MAX_DIVERGENCE {
                return Err(format!("{}: two nodes name different owners of {id} since {since}", self.now));
            }
        }
        Ok(())
    }

    fn play(mut self) -> Result<FollowerProgress, String> {
        while self.now < END {
            self.beats();
            self.ask();
            self.hear();
            self.turn();
            if self.now > 3000.0 {
                self.confirm()?;
            }
            // Who differs is looked at in each tick, and else once in a while.
            if std::mem::take(&mut self.changed) || !self.differ.is_empty() || self.now % 500.0 == 0.0 {
                self.compare()?;
            }
            self.now += TICK;
        }
        Ok(self.seen)
    }
}

fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(2000)
}

#[test]
fn no_confirmation_runs_at_anothers_server_and_none_stays_unanswered() {
    let threads: Vec<_> = (0..4)
        .map(|part| {
            std::thread::spawn(move || {
                let mut all = FollowerProgress::default();
                for seed in (0..schedules()).filter(|seed| seed % 4 == part) {
                    let seen =
                        Play::new(seed, Broken::Not).play().unwrap_or_else(|e| panic!("seed {seed}: {e}"));
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
    let mut all = FollowerProgress::default();
    for thread in threads {
        let seen = thread.join().expect("no broken schedule");
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
    assert!(all.served > 10 * all.rejected && all.contested > 1000, "the schedules say something");
}

#[test]
fn the_checker_finds_what_is_broken() {
    for broken in [Broken::BareName, Broken::HighestNumber, Broken::NoLife] {
        let found = (0..200).find_map(|seed| Play::new(seed, broken).play().err().map(|e| (seed, e)));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{broken:?} is not found"));
        println!("{broken:?}: seed {seed}, {violation}");
    }
}
