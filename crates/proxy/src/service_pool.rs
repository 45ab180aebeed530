//! Per-service engines, each with the service's servers, concurrency limit, resource budget and retries.

use crate::config_snapshot::{class, contested_zone, zone_names, ConfigSnapshot};
use crate::lease::Lease;
use crate::limiter_settings;
use crate::outcome_recorder::OutcomeRecorder;
use crate::outlier_ejection::OutlierEjection;
use crate::slow_start::{RestoredZones, WarmupShares, BLIND_AFTER_START, MIN_REQUEST_INTERVAL};
use crate::subsetting::{select_servers, Placement};
use crate::tenant_plans::active_limiters;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::ServerRow;
use oatbank_cluster_state::state::{member_state, server_state, Millis, StateTable};
use oatbank_engine::engine::{Engine, Names, Setup};
use oatbank_engine::ports::clock::Clock;
use oatbank_engine::ports::membership::{Member, News};
use oatbank_engine::upstreams::http1::{Connections, Http1};
use oatbank_engine::upstreams::try_id::TryIdDialect;
use oatbank_limiter_core::interface::{Class, Repeat, ServerState, Settings, Standing};
use oatbank_node_runtime::log;
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::settings::Settings as NodeSettings;
use oatbank_operations::budget::Budget;
use oatbank_service_catalog::{Catalog, PermittedUse};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Idle time after which a server is assumed to close a connection unless it announces another, ms.
const SERVER_IDLE: Millis = 8000.0;
/// Connect timeout, ms. The round trip between regions takes 70 ms.
const CONNECT_TIMEOUT: Millis = 400.0;
/// `Retry-After` of rejections because the lease has expired, ms.
const RETRY_AFTER_LEASE: Millis = 300.0;
/// Reports of a warm-up whose computed starts differ by at most this mean the same warm-up, ms.
const SAME_WARMUP: Millis = 700.0;
/// Number of services among which the process's connection and memory budget is divided.
const SERVICES_PER_BUDGET: usize = 4;

/// The engine of a service.
pub type ServiceEngine = Engine<Http1<TryIdDialect>>;

/// The engine of one service, with the members and settings last passed to it.
pub struct ServicePool {
    /// The engine.
    pub engine: Rc<ServiceEngine>,
    /// Route names in the order of the decision module's classes. Classes are only ever added.
    classes: RefCell<Vec<String>>,
    /// Start of each server's warm-up by server id, on the engine's clock, ms.
    warmups: RefCell<HashMap<String, Millis>>,
    /// Time of removal by id of servers that recently ceased to be members, ms.
    removed: RefCell<HashMap<String, Millis>>,
    members: RefCell<Vec<Member>>,
    settings: RefCell<Settings>,
}

impl ServicePool {
    /// Index of the route's class in the decision module; 0 if the route is unknown.
    pub fn class_of(&self, route: &str) -> usize {
        self.classes.borrow().iter().position(|name| name == route).unwrap_or(0)
    }

    /// Route names in class order.
    pub fn class_names(&self) -> Vec<String> {
        self.classes.borrow().clone()
    }

    fn add_classes(&self, service: &str, snapshot: &ConfigSnapshot) {
        let mut classes = self.classes.borrow_mut();
        for route in &snapshot.configuration().routes {
            let uses_service = route.shares.iter().any(|(name, _)| *name == service);
            if uses_service && !classes.contains(&route.name) {
                classes.push(route.name.clone());
            }
        }
    }

    fn classes(&self, snapshot: &ConfigSnapshot) -> Vec<Class> {
        let routes = &snapshot.configuration().routes;
        let class_of = |name: &String| {
            let route = routes.iter().find(|route| route.name == *name);
            route.map(|route| class(route, route.rank)).unwrap_or_default()
        };
        self.classes.borrow().iter().map(class_of).collect()
    }

    fn apply_settings(&self, settings: Settings, node: &NodeSettings) {
        if same_settings(&self.settings.borrow(), &settings) {
            return;
        }
        let names = Names { classes: self.class_names(), zones: zone_names(node), ..Names::default() };
        self.engine.apply_settings(&names, &settings);
        *self.settings.borrow_mut() = settings;
    }

    fn apply_members(&self, members: Vec<Member>) {
        if *self.members.borrow() != members {
            (self.engine.membership_sink())(News::Complete(members.clone()));
            *self.members.borrow_mut() = members;
        }
    }
}

/// The selected members of a service and the number of candidates.
struct Selection {
    members: Vec<Member>,
    candidates: usize,
}

/// Inputs to the selection of members that are common to all services.
struct SelectionContext<'a> {
    snapshot: &'a ConfigSnapshot,
    catalog: &'a Catalog,
    outliers: &'a OutlierEjection,
    /// Placement among the limiters that accept clients.
    ready: &'a Placement<'a>,
    /// Placement among the limiters that may be active.
    active: &'a Placement<'a>,
}

/// Rules for sending requests to warming servers of a service.
struct WarmupRules {
    /// The longest warm-up, ms.
    duration: Millis,
    shares: WarmupShares,
}

/// The engines of all services of a proxy.
pub struct ServicePools {
    view: Rc<ClusterView>,
    clock: Rc<dyn Clock>,
    /// When this process started, on `clock`, ms.
    started_at: Millis,
    lease: Lease,
    budget: Budget,
    pools: RefCell<BTreeMap<String, Rc<ServicePool>>>,
    restored_zones: RefCell<RestoredZones>,
}

impl ServicePools {
    /// Creates an empty set of services.
    pub fn new(view: Rc<ClusterView>, clock: Rc<dyn Clock>, lease: Lease, budget: Budget) -> Self {
        ServicePools {
            view,
            started_at: clock.now(),
            clock,
            lease,
            budget,
            pools: RefCell::default(),
            restored_zones: RefCell::default(),
        }
    }

    /// The pool of the named service, if it exists.
    pub fn get(&self, name: &str) -> Option<Rc<ServicePool>> {
        self.pools.borrow().get(name).cloned()
    }

    /// All pools with their services' names, in name order.
    pub fn all(&self) -> Vec<(String, Rc<ServicePool>)> {
        self.pools.borrow().iter().map(|(name, pool)| (name.clone(), pool.clone())).collect()
    }

    /// Notes which zones ceased to be evacuated between two snapshots.
    pub fn on_evacuated_changed(&self, before: &ConfigSnapshot, after: &ConfigSnapshot) {
        let now = self.clock.now();
        self.restored_zones.borrow_mut().on_change(now, &before.evacuated, &after.evacuated);
    }

    /// Updates members and settings of all services for this configuration and the servers and limiters currently known.
    /// Creates engines of new services.
    pub fn update(
        &self,
        snapshot: &ConfigSnapshot,
        node: &NodeSettings,
        catalog: &Catalog,
        outliers: &OutlierEjection,
        recorder: &OutcomeRecorder,
    ) {
        for service in &snapshot.configuration().services {
            if !self.pools.borrow().contains_key(&service.name) {
                let pool = Rc::new(self.create_pool(&service.name, recorder));
                self.pools.borrow_mut().insert(service.name.clone(), pool);
            }
        }
        let ready_limiters = self.view.with(ready_limiters);
        let active = self.view.with(|table, now| {
            let row = |row: &oatbank_cluster_state::messages::MemberRow| (row.name.clone(), row.zone.clone());
            table.active_limiters(now).map(row).collect::<Vec<_>>()
        });
        let ready_placement = Placement {
            zones: &node.zones,
            name: &node.node_name,
            zone: &node.zone,
            limiters: &ready_limiters,
        };
        let active_placement = Placement { limiters: &active, ..ready_placement };
        let context = SelectionContext {
            snapshot,
            catalog,
            outliers,
            ready: &ready_placement,
            active: &active_placement,
        };
        for (name, pool) in self.all() {
            self.update_pool(&name, &pool, node, &context);
        }
    }

    fn update_pool(
        &self,
        name: &str,
        pool: &ServicePool,
        node: &NodeSettings,
        context: &SelectionContext<'_>,
    ) {
        let services = &context.snapshot.configuration().services;
        let service = services.iter().find(|service| service.name == name);
        let (warmup_s, warmup_rate) =
            service.map_or((0.0, 0.0), |service| (service.warmup_s, service.warmup_rate));
        let shares = WarmupShares::new(&node.bounds, warmup_rate, context.active.limiters.len());
        let warmup = WarmupRules { duration: warmup_s * 1000.0, shares };
        pool.add_classes(name, context.snapshot);
        let selection = self.select_members(name, pool, context, &warmup);
        let limiters = active_limiters(&self.view);
        let settings = Settings {
            classes: pool.classes(context.snapshot),
            sparse: selection.members.len() < selection.candidates,
            ..limiter_settings::settings(node, limiters, warmup_s, warmup_rate)
        };
        pool.apply_settings(settings, node);
        pool.apply_members(selection.members);
    }

    fn create_pool(&self, name: &str, recorder: &OutcomeRecorder) -> ServicePool {
        let connections = Connections {
            idle: SERVER_IDLE,
            connect_timeout: CONNECT_TIMEOUT,
            most: self.budget.servers / SERVICES_PER_BUDGET,
            bodies_kib: self.budget.answers_kib / SERVICES_PER_BUDGET,
        };
        let upstream = Http1::with_dialect(TryIdDialect::default(), self.clock.clone(), connections);
        let setup = Setup { seed: random_u64(), ..Setup::default() };
        let engine = Engine::new(&setup, self.clock.clone(), upstream);
        engine.start();
        engine.cancel_on_disconnect();
        recorder.attach(&engine);
        let (view, lease) = (self.view.clone(), self.lease);
        engine
            .set_guard(Rc::new(move || (!lease.is_valid(view.confirmed_ago())).then_some(RETRY_AFTER_LEASE)));
        log::info!("proxy: service {}", name);
        ServicePool {
            engine,
            classes: RefCell::default(),
            warmups: RefCell::default(),
            removed: RefCell::default(),
            members: RefCell::default(),
            settings: RefCell::default(),
        }
    }

    /// Selects the servers of a service that this limiter sends requests to.
    fn select_members(
        &self,
        name: &str,
        pool: &ServicePool,
        context: &SelectionContext<'_>,
        warmup: &WarmupRules,
    ) -> Selection {
        let now = self.clock.now();
        let mut removed = pool.removed.borrow_mut();
        removed.retain(|_, at| now - *at < MIN_REQUEST_INTERVAL);
        let Some(owner) = context.catalog.service_owners().owner(name) else {
            return dropped_service(pool, context);
        };
        let permitted_use = |row: &ServerRow| {
            // Skips most servers of other services without a look-up. The catalog decides: the end of a name is not a name.
            if name.ends_with(row.service.as_str()) {
                context.catalog.permitted_use(row, owner)
            } else {
                PermittedUse::Denied
            }
        };
        let selection = self.view.with(|table, at| {
            let restored = self.restored_zones.borrow();
            let candidates: Vec<(&ServerRow, Millis)> = candidates(table, at, context.snapshot)
                .filter(|(row, _)| permitted_use(row) != PermittedUse::Denied)
                // Servers of a restored zone may have started to warm up without having reported it yet.
                .map(|(row, left)| (row, restored.warmup_left(now, &row.zone, left, warmup.duration)))
                .collect();
            let ids_and_zones: Vec<(&str, &str)> =
                candidates.iter().map(|(row, _)| (row.id.as_str(), row.zone.as_str())).collect();
            let in_subset = select_servers(context.ready, &ids_and_zones);
            let standing = |row: &ServerRow| context.outliers.standing(at, name, &row.id);
            let is_blind = now - self.started_at < BLIND_AFTER_START;
            let accepts_warming = |row: &ServerRow| {
                !is_blind
                    && !removed.contains_key(&row.id)
                    && warmup.shares.is_sender(context.active, &row.id, &row.zone)
            };
            let mut warmups = pool.warmups.borrow_mut();
            let mut members = Vec::new();
            for ((row, warmup_left), is_in_subset) in candidates.iter().zip(in_subset) {
                let is_selected = if *warmup_left > 0.0 {
                    accepts_warming(row)
                } else {
                    // The limiter that probes an unhealthy server is drawn from all, so the server may be outside its
                    // subset.
                    is_in_subset || standing(row) == Standing::Tried
                };
                if !is_selected {
                    continue;
                }
                let started = warmup_start(&mut warmups, row, *warmup_left, now, warmup.duration);
                let Ok(address) = row.address.parse() else { continue };
                members.push(Member {
                    zone: zone_of(row, permitted_use(row)),
                    started,
                    standing: standing(row),
                    ..ready_member(row, address)
                });
            }
            Selection { members, candidates: candidates.len() }
        });
        pool.retain_members(&selection.members, &mut removed, now);
        selection
    }
}

impl ServicePool {
    /// Drops the warm-up starts of servers that are no longer members and records when each was removed.
    fn retain_members(&self, members: &[Member], removed: &mut HashMap<String, Millis>, now: Millis) {
        let is_member = |id: &str| members.iter().any(|member| member.id == id);
        self.warmups.borrow_mut().retain(|id, _| is_member(id));
        let before = self.members.borrow();
        let departed = before.iter().filter(|member| !is_member(&member.id));
        removed.extend(departed.map(|member| (member.id.clone(), now)));
    }
}

/// A ready member with full weight for this server, in the server's own zone.
fn ready_member(row: &ServerRow, address: SocketAddr) -> Member {
    Member {
        id: row.id.clone(),
        address: Some(address),
        zone: row.zone.clone(),
        cell: 0,
        weight: 1.0,
        started: 0.0,
        state: ServerState::Ready,
        standing: Standing::default(),
    }
}

/// The decision module's zone of a server: a contested server is in its zone's contested counterpart, so that it gets only
/// repeatable requests.
fn zone_of(row: &ServerRow, permitted_use: PermittedUse) -> String {
    match permitted_use {
        PermittedUse::ReadsOnly => contested_zone(&row.zone),
        _ => row.zone.clone(),
    }
}

/// Names and zones of limiters that accept clients.
fn ready_limiters(table: &StateTable, now: Millis) -> Vec<(String, String)> {
    let is_ready = |(row, _): &(&oatbank_cluster_state::messages::MemberRow, Millis)| {
        !row.expired && row.state == member_state::READY
    };
    table.members(now).filter(is_ready).map(|(row, _)| (row.name.clone(), row.zone.clone())).collect()
}

/// Ready servers outside evacuated zones, each with its remaining warm-up time, ms.
fn candidates<'a>(
    table: &'a StateTable,
    now: Millis,
    snapshot: &'a ConfigSnapshot,
) -> impl Iterator<Item = (&'a ServerRow, Millis)> + 'a {
    table.servers(now).filter(|(row, _)| {
        row.state == server_state::READY && !row.timed_out && !snapshot.evacuated.contains(&row.zone)
    })
}

/// Selection for a service that the current configuration no longer contains: its remaining requests may finish at the
/// members that are still ready.
fn dropped_service(pool: &ServicePool, context: &SelectionContext<'_>) -> Selection {
    let is_usable = |member: &&Member| {
        let mut claims = context.catalog.of_id(&member.id).iter();
        claims.any(|entry| entry.is_ready() && !context.snapshot.evacuated.contains(&entry.row.zone))
    };
    let members: Vec<Member> = pool.members.borrow().iter().filter(is_usable).cloned().collect();
    Selection { candidates: members.len(), members }
}

/// Start of a server's warm-up, ms; 0 if none is known. A repeated report keeps the recorded start if the two differ by at
/// most [`SAME_WARMUP`].
fn warmup_start(
    warmups: &mut HashMap<String, Millis>,
    row: &ServerRow,
    warmup_left: Millis,
    now: Millis,
    duration: Millis,
) -> Millis {
    if warmup_left <= 0.0 {
        return warmups.get(&row.id).copied().unwrap_or(0.0);
    }
    let began = now - (duration - warmup_left).max(0.0);
    let known = warmups.entry(row.id.clone()).or_insert(began);
    if (*known - began).abs() > SAME_WARMUP {
        *known = began;
    }
    *known
}

/// Whether two settings agree in all fields that this module varies.
fn same_settings(a: &Settings, b: &Settings) -> bool {
    let class = |class: &Class| (class.target, class.deadline, class.worth, class.repeat == Repeat::Safe);
    a.gateways == b.gateways
        && a.sparse == b.sparse
        && a.zone == b.zone
        && a.zone_cost == b.zone_cost
        && a.warm_after == b.warm_after
        && a.max_cold_rate == b.max_cold_rate
        && a.classes.iter().map(class).eq(b.classes.iter().map(class))
}
