//! Handles client requests: looks up the route and the tenant, checks the quota, chooses a service and forwards the request
//! through the service's engine to a server. [`RequestHandler::refresh`] and [`RequestHandler::observe`] keep the state that
//! this needs up to date.

use crate::config_snapshot::{choose_service, class, ConfigSnapshot};
use crate::lease::{Lease, LeaseState};
use crate::outcome_recorder::OutcomeRecorder;
use crate::outlier_ejection::OutlierEjection;
use crate::quota_counter::QuotaCounter;
use crate::rejection::Rejection;
use crate::service_pool::ServicePools;
use crate::tenant_plans::TenantPlans;
use http::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONTENT_LENGTH};
use http::request::Parts;
use http::Response;
use oatbank_attempt_state::outcome_log::OutcomeLog;
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::cluster_view::ClusterView;
use oatbank_cluster_state::messages::{ObservationRow, Table};
use oatbank_cluster_state::state::Millis;
use oatbank_config_model::{Customer, Route, RouteKind, RouteTable};
use oatbank_engine::body::{Body, BodyPermit, Upload};
use oatbank_engine::engine::{Answer, Departures};
use oatbank_engine::front::request_progress::{RequestProgress, RequestStage};
use oatbank_engine::open_ids::OpenIds;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::upstreams::http1::Forward;
use oatbank_engine::upstreams::try_id;
use oatbank_limiter_core::interface::{ClassId, Request, Rules};
use oatbank_node_runtime::error_kind::ErrorKind;
use oatbank_node_runtime::log::{self, RateLimitedLog};
use oatbank_node_runtime::process::ReloadableSettings;
use oatbank_node_runtime::random::random_u64;
use oatbank_node_runtime::settings::Settings as NodeSettings;
use oatbank_operations::budget::{Budget, Limits};
use oatbank_service_catalog::{Catalog, CurrentCatalog, ServerCounts, ServiceOwners};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Header with the client's id of a request; a retry by the client carries the same id.
pub const TRY_ID: HeaderName = HeaderName::from_static("try-id");
const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
const CUSTOMER: HeaderName = HeaderName::from_static("customer");

/// `Retry-After` of rejections because this proxy is not ready or has no capacity, ms.
const RETRY_SOON: Millis = 300.0;
/// `Retry-After` of rejections because a service's servers are contested, ms: a conflict lasts for seconds.
const RETRY_CONTESTED: Millis = 1000.0;
/// File descriptors reserved for connections to other processes of the system.
const PEER_CONNECTIONS: usize = 400;
/// File descriptors reserved for files.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Start value of the engines' clock, ms: the decision module requires a time above 0.
const CLOCK_START: Millis = 1e9;

/// A request whose route and tenant are known.
pub struct RoutedRequest {
    snapshot: Rc<ConfigSnapshot>,
    /// Index of the route in the configuration.
    route: usize,
    /// Index of the tenant in the configuration.
    customer: Option<usize>,
    allowed_zones: u64,
    /// End of the request's time, which runs from its head.
    deadline: Millis,
}

impl RoutedRequest {
    fn route(&self) -> &Route {
        &self.snapshot.configuration().routes[self.route]
    }

    fn tenant(&self) -> Option<&Customer> {
        self.customer.and_then(|index| self.snapshot.configuration().customers.as_ref()?.get(index))
    }
}

/// A request as it is received from a client.
pub struct IncomingRequest {
    /// Request line and headers.
    pub head: Parts,
    /// The body; a stream if it has not arrived completely.
    pub body: Upload,
    /// Memory reserved for a long body.
    pub room: Option<BodyPermit>,
    /// Is told how far the request has come.
    pub progress: RequestProgress,
}

/// Handles the requests of clients.
pub struct RequestHandler {
    view: Rc<ClusterView>,
    settings: Rc<ReloadableSettings>,
    clock: Rc<dyn Clock>,
    snapshot: RefCell<Option<Rc<ConfigSnapshot>>>,
    /// When the current snapshot was applied, on the engines' clock, ms.
    applied_at: Cell<Millis>,
    catalog: RefCell<CurrentCatalog>,
    pools: ServicePools,
    plans: TenantPlans,
    lease_state: LeaseState,
    outliers: OutlierEjection,
    outcomes: OutcomeRecorder,
    /// Ids of at-most-once requests that have not been answered yet.
    open: OpenIds,
    random: Cell<u64>,
    log_limit: RateLimitedLog,
}

/// Divides this process's limits on sockets and memory by purpose.
pub fn budget(node: &NodeSettings) -> Budget {
    let limits = Limits {
        sockets: node.open_files.saturating_sub(RESERVED_DESCRIPTORS) as usize,
        memory_mb: node.memory_mb as f64,
    };
    Budget::divide(limits, PEER_CONNECTIONS, 1.0)
}

impl RequestHandler {
    /// Creates a handler that has no configuration yet and rejects all requests.
    pub fn new(
        view: Rc<ClusterView>,
        settings: Rc<ReloadableSettings>,
        counter: Rc<QuotaCounter>,
    ) -> Rc<Self> {
        let node = settings.settings();
        // Not the time of day: it may jump.
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::starting_at(CLOCK_START));
        let lease = Lease::new(&node.bounds);
        Rc::new(RequestHandler {
            pools: ServicePools::new(view.clone(), clock.clone(), lease, budget(&node)),
            plans: TenantPlans::new(view.clone(), counter),
            outcomes: OutcomeRecorder::new(view.clone()),
            view,
            settings,
            clock,
            snapshot: RefCell::default(),
            applied_at: Cell::new(CLOCK_START),
            catalog: RefCell::default(),
            lease_state: LeaseState::new(lease),
            outliers: OutlierEjection::default(),
            open: OpenIds::default(),
            random: Cell::new(random_u64()),
            log_limit: RateLimitedLog::default(),
        })
    }

    /// Now, on the engines' clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The log of outcomes that this proxy has observed of at-most-once requests.
    pub fn outcomes(&self) -> Rc<RefCell<OutcomeLog>> {
        self.outcomes.log().clone()
    }

    /// Number of at-most-once requests that are being executed by servers.
    pub fn at_most_once_in_flight(&self) -> usize {
        self.pools.all().iter().map(|(_, pool)| pool.engine.at_most_once_in_flight()).sum()
    }

    /// Number of requests that have not been answered yet.
    pub fn unanswered(&self) -> usize {
        self.pools.all().iter().map(|(_, pool)| pool.engine.unanswered()).sum()
    }

    /// Counts of clients that left before their answer, and of their attempts, over all services.
    pub fn departures(&self) -> Departures {
        let mut sum = Departures::default();
        self.pools.all().iter().for_each(|(_, pool)| sum += pool.engine.departures());
        sum
    }

    /// Whether clients may be served: a configuration is loaded, a server is known, and the lease is valid.
    pub fn is_ready(&self) -> bool {
        if self.snapshot.borrow().is_none() {
            return false;
        }
        let knows_servers = || self.view.with(|table, now| table.servers(now).next().is_some());
        self.lease_state.is_active(self.view.now(), self.view.confirmed_ago(), knows_servers)
    }

    /// Time since the current configuration was applied, ms.
    pub fn configuration_age(&self) -> Millis {
        self.now() - self.applied_at.get()
    }

    /// Number of reported admissions that exceeded a quota, over the tenants whose counters this proxy owns.
    pub fn quota_overrun(&self) -> u64 {
        self.plans.counter().overrun()
    }

    // ---- For oatbankctl -----------------------------------------------------------------------

    /// The `guard` table: per service, at-most-once requests in flight and decisions that were not carried out because they
    /// would have broken at-most-once execution. Its title gives the size of the outcome log.
    pub fn attempts_table(&self) -> Table {
        let row = |(name, pool): &(String, Rc<crate::service_pool::ServicePool>)| {
            vec![
                name.clone(),
                pool.engine.at_most_once_in_flight().to_string(),
                pool.engine.prevented_violations().to_string(),
            ]
        };
        let log = self.outcomes.log().borrow();
        let title =
            format!("{} attempts recorded, {} dropped because of the log's limits", log.len(), log.dropped());
        table(title, &["service", "out", "kept from"], self.pools.all().iter().map(row).collect())
    }

    /// The `quotas` table: counters of admissions and of reports to owners.
    pub fn quotas_table(&self) -> Table {
        self.plans.counter().table()
    }

    /// The `verdicts` table: servers that are not healthy.
    pub fn verdicts_table(&self) -> Table {
        self.outliers.verdicts_table(self.view.now())
    }

    /// Passes `show` the current service catalog and, once a configuration is loaded, its routes.
    pub fn show_catalog(&self, show: &mut dyn FnMut(&Catalog, Option<&RouteTable>)) {
        let (catalog, snapshot) = (self.catalog.borrow().catalog.clone(), self.snapshot.borrow().clone());
        show(&catalog, snapshot.as_ref().map(|snapshot| &snapshot.routes));
    }

    // ---- State --------------------------------------------------------------------------------

    /// Applies changes of the configuration, the servers and the limiters.
    pub fn refresh(&self) {
        let node = self.settings.settings();
        self.apply_new_edition(&node);
        let Some(snapshot) = self.snapshot.borrow().clone() else { return };
        if self.plans.is_outdated() {
            self.plans.update(&snapshot, &node.bounds);
        }
        self.renew_catalog(&snapshot);
        let catalog = self.catalog.borrow().catalog.clone();
        self.pools.update(&snapshot, &node, &catalog, &self.outliers, &self.outcomes);
    }

    fn apply_new_edition(&self, node: &NodeSettings) {
        let edition = self.view.edition();
        let current = self.snapshot.borrow().as_ref().map_or(0, |snapshot| snapshot.edition);
        let agreed = self.view.agreed_state();
        if edition <= current || agreed.config.is_empty() {
            return;
        }
        match ConfigSnapshot::new(edition, &agreed, node) {
            Ok(snapshot) => {
                log::info!("proxy: edition {}, r{}", edition, snapshot.routes.version());
                let snapshot = Rc::new(snapshot);
                self.plans.update(&snapshot, &node.bounds);
                self.applied_at.set(self.now());
                if let Some(before) = self.snapshot.replace(Some(snapshot.clone())) {
                    self.pools.on_evacuated_changed(&before, &snapshot);
                }
            }
            Err(error) => {
                log::error!("proxy: edition {} cannot be read, keeping the current one: {}", edition, error);
            }
        }
    }

    fn renew_catalog(&self, snapshot: &ConfigSnapshot) {
        let owners = || Some(ServiceOwners::new(snapshot.edition, snapshot.configuration()));
        let mut catalog = self.catalog.borrow_mut();
        if let Some(contested) = self.view.with(|table, _| catalog.renew(snapshot.edition, table, owners)) {
            log::debug!("catalog: contested servers: {}", contested);
        }
    }

    /// Evaluates the results of attempts since the last call and other limiters' observations of servers. Returns this
    /// limiter's new observations, to be sent to the others.
    pub fn observe(&self, incarnation: u64) -> Vec<ObservationRow> {
        let node = self.settings.settings();
        let snapshot = self.snapshot.borrow().clone().filter(|_| self.plans.is_outdated());
        if let Some(snapshot) = snapshot {
            self.plans.update(&snapshot, &node.bounds);
        }
        for (name, pool) in self.pools.all() {
            let ends = pool.engine.take_finished_attempts();
            if !ends.is_empty() {
                self.outliers.record_ends(self.view.now(), &name, &pool.class_names(), &ends);
            }
        }
        if !self.view.with(|table, now| self.outliers.is_due(now, table)) {
            return Vec::new();
        }
        let rows =
            self.view.with(|table, now| self.outliers.observations(now, table, &node.node_name, incarnation));
        if !rows.is_empty() {
            self.view.change(|table, now| {
                rows.iter().for_each(|row| _ = table.merge_observation(now, row));
            });
        }
        let time = self.view.cluster_time();
        if self.view.with(|table, now| self.outliers.evaluate(now, time, table, &node)) {
            self.refresh();
        }
        rows
    }

    // ---- Requests -----------------------------------------------------------------------------

    /// Whether the request's route requires at-most-once execution; `None` before the first edition.
    pub fn is_at_most_once(&self, head: &Parts) -> Option<bool> {
        self.snapshot.borrow().as_ref().map(|snapshot| snapshot.is_at_most_once(head))
    }

    /// Looks up the route and the tenant of a request.
    ///
    /// # Errors
    /// Fails if the proxy is not ready, no route matches, the key is unknown, or the homes of route and tenant have no zone
    /// in common.
    pub fn route(&self, head: &Parts) -> Result<RoutedRequest, Rejection> {
        let snapshot = self.snapshot.borrow().clone().filter(|_| self.is_ready());
        let Some(snapshot) = snapshot else {
            return Err(Rejection::with_retry_after(ErrorKind::NotReady, RETRY_SOON));
        };
        let Some(index) = snapshot.route(head) else { return Err(Rejection::new(ErrorKind::NotFound)) };
        let route = &snapshot.configuration().routes[index];
        let customer = authenticate(&snapshot, route, head)?;
        let Some(allowed_zones) = snapshot.allowed_zones(index, customer) else {
            return Err(Rejection::with_retry_after(ErrorKind::Overloaded, RETRY_SOON));
        };
        let deadline = self.now() + time_left(head, route);
        Ok(RoutedRequest { snapshot, route: index, customer, allowed_zones, deadline })
    }

    /// Answers a request. For an at-most-once request, an answer of the proxy's own says whether it may have run.
    pub async fn handle(&self, routed: RoutedRequest, request: IncomingRequest) -> Response<Body> {
        let is_at_most_once = routed.route().kind == RouteKind::Unsafe;
        let try_id = request.head.headers.get(&TRY_ID).filter(|_| is_at_most_once).cloned();
        let Some(try_id) = try_id.as_ref().and_then(|id| id.to_str().ok()) else {
            return self.forward(routed, request).await.unwrap_or_else(|rejection| rejection.response());
        };
        // Held until the answer, by which time the outcome is recorded: a retry meanwhile is rejected as a duplicate.
        let held = self.open.hold(try_id).ok().filter(|_| !self.outcomes.may_have_run(try_id));
        let result = match held {
            Some(_held) => self.forward(routed, request).await,
            None => Err(Rejection::new(ErrorKind::Duplicate)),
        };
        result.unwrap_or_else(|rejection| {
            let server = self.outcomes.may_have_run_at(try_id);
            rejection.response_at_most_once(try_id, server.as_deref())
        })
    }

    /// Checks the quota, chooses a service and returns a server's answer, or the reason for rejecting the request.
    async fn forward(
        &self,
        routed: RoutedRequest,
        request: IncomingRequest,
    ) -> Result<Response<Body>, Rejection> {
        let (route, tenant) = (routed.route(), routed.tenant());
        if let Some(tenant) = tenant {
            request.progress.enter(RequestStage::WaitingForQuota);
            let admitted = self.plans.admit(tenant).await;
            admitted.map_err(|wait| {
                Rejection::with_retry_after(ErrorKind::QuotaExceeded, wait.max(RETRY_SOON))
            })?;
        }
        let service = choose_service(route, self.next_random()).unwrap_or_default();
        let Some(pool) = self.pools.get(service) else {
            return Err(Rejection::with_retry_after(ErrorKind::Overloaded, RETRY_SOON));
        };
        let allowed_zones = self.zones_of_owned_servers(service, &routed)?;
        let rank = tenant.and_then(|tenant| tenant.rank).unwrap_or(route.rank);
        let rules = Rules { class: class(route, rank), max_attempts: route.max_attempts };
        let IncomingRequest { head, body, room, progress } = request;
        progress.enter(RequestStage::AtService);
        let decision = Request {
            class: ClassId(pool.class_of(&route.name)),
            units: 1.0,
            time_left: (routed.deadline - self.now()).max(0.0),
            spread: 1.0,
            uploading: body.is_stream(),
            rules: Some(Arc::new(rules)),
            allowed_zones,
            ..Request::default()
        };
        let headers = forwarded_headers(&head.headers, tenant.map(|tenant| tenant.name.as_str()));
        let forward = Forward { method: head.method, uri: head.uri, headers, body, permit: room };
        match pool.engine.submit_and_wait(decision, forward).await {
            Answer::Served(response) => Ok(response),
            Answer::Refused(wait) => {
                self.log_unserved("rejected");
                Err(Rejection::with_retry_after(ErrorKind::Overloaded, wait.max(1.0)))
            }
            Answer::Failed => {
                self.log_unserved("failed");
                Err(Rejection::new(ErrorKind::UpstreamFailed))
            }
            Answer::TimedOut => {
                self.log_unserved("deadline exceeded");
                Err(Rejection::new(ErrorKind::DeadlineExceeded))
            }
        }
    }

    /// The mask of zones whose servers may get a request, considering contested ownership. An answer of a server with a
    /// contested owner is proven by the server's id alone, so at-most-once requests avoid such servers. They are rejected if
    /// no other server exists, or if this proxy may not know all servers of the service.
    fn zones_of_owned_servers(&self, service: &str, routed: &RoutedRequest) -> Result<u64, Rejection> {
        let counts = self.server_counts(service);
        if !counts.is_contested() {
            return Ok(routed.allowed_zones);
        }
        let is_repeatable = routed.route().kind != RouteKind::Unsafe;
        let usable = if is_repeatable { counts.all + counts.reads } else { counts.all };
        let is_uncertain = !is_repeatable && counts.nothing > 0 && !self.view.agrees_with_source();
        if usable == 0 || is_uncertain {
            self.log_unserved("contested");
            return Err(Rejection::with_retry_after(ErrorKind::Overloaded, RETRY_CONTESTED));
        }
        Ok(routed.snapshot.with_contested(routed.allowed_zones, is_repeatable))
    }

    /// Number of a service's servers by permitted use; zeros if the service has no owner.
    fn server_counts(&self, service: &str) -> ServerCounts {
        let catalog = &self.catalog.borrow().catalog;
        let owner = catalog.service_owners().owner(service);
        owner.map(|owner| catalog.counts(owner)).unwrap_or_default()
    }

    /// Next pseudorandom number in [0, 1).
    fn next_random(&self) -> f64 {
        let next = self.random.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.random.set(next);
        (next >> 11) as f64 / (1u64 << 53) as f64
    }

    fn log_unserved(&self, why: &str) {
        if let Some(suppressed) = self.log_limit.allow() {
            log::debug!("proxy: {} ({} lines suppressed)", why, suppressed);
        }
    }
}

fn header_text<'a>(head: &'a Parts, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}

/// Index of the tenant whose key the request carries; `None` if there are no tenants, or the route accepts requests without
/// a known key. Fails with `UnknownKey` otherwise.
fn authenticate(snapshot: &ConfigSnapshot, route: &Route, head: &Parts) -> Result<Option<usize>, Rejection> {
    if !snapshot.routes.has_customers() {
        return Ok(None);
    }
    let key = header_text(head, &AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
    let customer = key.map(str::trim).and_then(|key| snapshot.routes.customer(key));
    if customer.is_none() && !route.keyless {
        return Err(Rejection::new(ErrorKind::UnknownKey));
    }
    Ok(customer)
}

/// Remaining time of a request, ms: the client's `Time-Left-Ms`, capped by the route's limit.
fn time_left(head: &Parts, route: &Route) -> Millis {
    let by_client = header_text(head, &TIME_LEFT).and_then(|value| value.trim().parse::<f64>().ok());
    let by_client = by_client.filter(|ms| ms.is_finite() && *ms > 0.0);
    by_client.unwrap_or(route.give_up_ms).min(route.give_up_ms)
}

/// The headers to forward: without the tenant's key, with the tenant's name.
fn forwarded_headers(headers: &HeaderMap, tenant: Option<&str>) -> HeaderMap {
    let mut forwarded = try_id::headers_on(headers);
    for name in [AUTHORIZATION, CUSTOMER, CONTENT_LENGTH] {
        forwarded.remove(name);
    }
    if let Some(value) = tenant.and_then(|tenant| HeaderValue::try_from(tenant).ok()) {
        forwarded.insert(CUSTOMER, value);
    }
    forwarded
}
