//! The desk of the system's dialect: what a request is checked against, whose quota it draws on, and which service's engine
//! takes it. One engine a service: each has its own servers, concurrency limit, means and further tries.

use crate::config_snapshot::{class, everywhere, plan, proven, share, tenant_number, Allowed, Scene};
use crate::lease::{Acting, Lease};
use crate::limiter_settings::{self, LONGEST_WAIT};
use crate::outlier_ejection::Steering;
use crate::quota_counter::Counter;
use crate::slow_start::{self, APART, BLIND};
use crate::subsetting::{cast, Ground};
use http::header::{
    HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER,
};
use http::request::Parts;
use http::{Method, Response, StatusCode};
use oatbank_attempt_state::outcome_log::{Bounds, Fate, Outcomes};
use oatbank_cluster_state::admin_query::table;
use oatbank_cluster_state::messages::{NoticeRow, ServerRow, Table};
use oatbank_cluster_state::replication::Knowledge;
use oatbank_cluster_state::state::{member_state, server_state, Millis};
use oatbank_engine::body::{Body, Room, Upload};
use oatbank_engine::classify::{self, Rejection};
use oatbank_engine::engine::{Answer, Engine, Names, Note, Setup};
use oatbank_engine::front::{Desk, Judged};
use oatbank_engine::open_ids::OpenIds;
use oatbank_engine::ports::clock::{Clock, SystemClock};
use oatbank_engine::ports::membership::{Member, News};
use oatbank_engine::upstreams::house::{self, House as Words};
use oatbank_engine::upstreams::http1::{Connections, Forward, Http1};
use oatbank_limiter_core::interface::{ClassId, PlanId, Request, Rules, ServerState, Settings, Standing};
use oatbank_node_runtime::error_kind::Kind;
use oatbank_node_runtime::log::{self, Few};
use oatbank_node_runtime::process::Told;
use oatbank_node_runtime::random::chance;
use oatbank_node_runtime::settings::Settings as Node;
use oatbank_operations::budget::{Budget, Limits};
use oatbank_service_catalog::{Cast, Catalogue, Current, Tally, Use};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

/// Names a try of a client.
pub const TRY_ID: HeaderName = HeaderName::from_static("try-id");
const TIME_LEFT: HeaderName = HeaderName::from_static("time-left-ms");
const CUSTOMER: HeaderName = HeaderName::from_static("customer");

/// A server closes a connection that stood idle this long, ms, where it says nothing else.
const SERVER_IDLE: Millis = 8000.0;
/// A connection to a server that is not up within this, ms, has failed: regions are 70 ms apart and back.
const CONNECT: Millis = 400.0;
/// Where a limiter may not act yet, clients come back after this, ms.
const SOON: Millis = 300.0;
/// Where a service's servers are contested, clients come back after this, ms: a collision lasts for seconds.
const CONTESTED: Millis = 1000.0;
/// A cold spell that is told anew and ends within this of the one before, ms, is the same one.
const SAME_SPELL: Millis = 700.0;
/// A server stops at the time that it was handed; its answer to that is listened for so much longer, ms: the
/// way there and back between regions, several times.
const LATE: Millis = 400.0;
/// Descriptors kept for links to other processes.
const LINKS: usize = 400;
/// How many services share what this process may hold.
const SERVICES: usize = 4;

type ServiceEngine = Engine<Http1<Words>>;

struct Service {
    engine: Rc<ServiceEngine>,
    /// Routes by name, in the order of the module's classes.
    classes: RefCell<Vec<String>>,
    /// When cold servers' spells began, on the engine's clock, by id.
    spells: RefCell<HashMap<String, Millis>>,
    /// When servers were last in the list that are no longer.
    left_out: RefCell<HashMap<String, Millis>>,
    members: RefCell<Vec<Member>>,
    settings: RefCell<Settings>,
}

/// How cold servers of a service are dealt with.
struct Cold<'a> {
    /// Longest spell, ms.
    span: Millis,
    parts: slow_start::Parts,
    /// Where all limiters stand that may act.
    sharing: &'a Ground<'a>,
}

/// A request that may go on.
pub struct Ticket {
    scene: Rc<Scene>,
    route: usize,
    customer: Option<usize>,
    within: u64,
    time_left: Millis,
}

/// The desk.
pub struct House {
    known: Rc<Knowledge>,
    told: Rc<Told>,
    counter: Rc<Counter>,
    clock: Rc<dyn Clock>,
    /// When this life began, on that clock.
    born: Millis,
    lease: Lease,
    budget: Budget,
    scene: RefCell<Option<Rc<Scene>>>,
    /// When zones that were to be empty were taken back, as far as it was seen here.
    taken_back: RefCell<slow_start::TakenBack>,
    /// Whose each server is, as of this count of what changes their use.
    names: RefCell<Current>,
    services: RefCell<BTreeMap<String, Rc<Service>>>,
    /// Places of tenants' plans, by name. Each limiter has its own: what stands for a tenant between limiters is
    /// [`tenant_number`].
    tenants: RefCell<HashMap<String, usize>>,
    /// The limiters that plans were last told for, and the part of the quotas.
    planned_for: Cell<(f64, f64)>,
    acting: Acting,
    steering: Steering,
    few: Few,
    rolls: Cell<u64>,
    outcomes: Rc<RefCell<Outcomes>>,
    /// Tries that run once and have no answer yet.
    open: OpenIds,
}

/// An answer to a try that runs once says in words what is certain of it.
fn say_so(response: &mut Response<Body>, kind: Kind, try_id: &str, server: Option<&str>) {
    let what = match (kind.is_promise(), server) {
        (true, _) => "has not run and never will".to_owned(),
        (false, Some(server)) => format!("may have run; server {server}"),
        (false, None) => "may have run".to_owned(),
    };
    let text = format!("{}: {what}; try {try_id}\n", kind.word());
    *response.body_mut() = Body::from(bytes::Bytes::from(text));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
}

fn refuse(kind: Kind, wait: Millis) -> Response<Body> {
    let mut response = Response::new(Body::from(kind.word()));
    *response.status_mut() = StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    if wait > 0.0 && kind.is_promise() {
        let text = format!("{:.3}", wait.min(LONGEST_WAIT).ceil() / 1000.0);
        if let Ok(value) = HeaderValue::try_from(text) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// What this process may hold, by purpose.
pub fn budget(node: &Node) -> Budget {
    let limits =
        Limits { sockets: node.files.saturating_sub(200) as usize, memory_mb: node.memory_mb as f64 };
    Budget::divide(limits, LINKS, 1.0)
}

impl House {
    /// Knows no edition yet.
    pub fn new(known: Rc<Knowledge>, told: Rc<Told>, counter: Rc<Counter>) -> Rc<Self> {
        let node = told.settings();
        // No time of day: it may jump. The module wants a time above 0.
        let clock: Rc<dyn Clock> = Rc::new(SystemClock::starting_at(1e9));
        Rc::new(House {
            known,
            told,
            counter,
            born: clock.now(),
            clock,
            lease: Lease::new(&node.bounds),
            budget: budget(&node),
            scene: RefCell::default(),
            taken_back: RefCell::default(),
            names: RefCell::default(),
            services: RefCell::default(),
            tenants: RefCell::default(),
            planned_for: Cell::new((0.0, 0.0)),
            acting: Acting::new(Lease::new(&node.bounds)),
            steering: Steering::default(),
            few: Few::default(),
            rolls: Cell::new(chance()),
            outcomes: Rc::new(RefCell::new(Outcomes::new(Bounds::default()))),
            open: OpenIds::default(),
        })
    }

    /// What became of tries that run once, as far as it was seen here.
    pub fn outcomes(&self) -> Rc<RefCell<Outcomes>> {
        self.outcomes.clone()
    }

    /// How many tries that run once are out at a server.
    pub fn out_once(&self) -> usize {
        self.services.borrow().values().map(|s| s.engine.out_once()).sum()
    }

    /// For the shell: what of the tries that run once is kept, and how often a decision was not carried out
    /// for them.
    pub fn guard(&self) -> Table {
        let services: Vec<_> = self.services.borrow().iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        let row = |(name, s): &(String, Rc<Service>)| {
            vec![name.clone(), s.engine.out_once().to_string(), s.engine.kept_from().to_string()]
        };
        let outcomes = self.outcomes.borrow();
        let title =
            format!("{} tries kept, {} left out for want of room", outcomes.len(), outcomes.left_out());
        table(title, &["service", "out", "kept from"], services.iter().map(row).collect())
    }

    /// For the shell: servers of which something is known against them, and what is made of it here.
    pub fn verdicts(&self) -> Table {
        self.steering.verdicts(self.known.now())
    }

    /// For the shell: the catalogue as requests go by it, and the routes in force.
    pub fn show_names(&self, show: &mut dyn FnMut(&Catalogue, Option<&oatbank_config_model::Table>)) {
        let (catalogue, scene) = (self.names.borrow().catalogue.clone(), self.scene.borrow().clone());
        show(&catalogue, scene.as_ref().map(|scene| &scene.table));
    }

    /// Takes down what becomes of the tries of a service that run once.
    fn witness(&self, engine: &ServiceEngine) {
        let (outcomes, known) = (self.outcomes.clone(), self.known.clone());
        let none: Arc<str> = Arc::from("");
        engine.witness_by(
            LATE,
            Rc::new(move |forward: &Forward, server, note| {
                let Some(try_id) = forward.headers.get(&TRY_ID).and_then(|v| v.to_str().ok()) else { return };
                match note {
                    Note::Fate(fate, why) => {
                        let server = server.unwrap_or(&none);
                        outcomes.borrow_mut().note(known.now(), try_id, fate, why, server);
                    }
                    Note::Kept(breach) => log::error!("proxy: {} (try {})", breach.text(), try_id),
                }
            }),
        );
    }

    /// A try has been sent to a server under this name, and nothing proves that it did not run.
    fn may_have_run(&self, try_id: &str) -> bool {
        let now = self.known.now();
        self.outcomes.borrow_mut().get(now, try_id).is_some_and(|known| known.fate != Fate::NotRun)
    }

    /// The server that a try may have run at.
    fn ran_at(&self, try_id: &str) -> Option<Arc<str>> {
        let now = self.known.now();
        let mut outcomes = self.outcomes.borrow_mut();
        let known = outcomes.get(now, try_id).filter(|known| known.fate != Fate::NotRun)?;
        Some(known.server.clone()).filter(|server| !server.is_empty())
    }

    /// Now, on the engines' clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A roll in 0 to 1.
    fn roll(&self) -> f64 {
        let next = self.rolls.get().wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        self.rolls.set(next);
        (next >> 11) as f64 / (1u64 << 53) as f64
    }

    // ---- What is known ------------------------------------------------------------------------

    /// Whether clients may be served. Once it has begun, a limiter goes on by what it knows as long as its lease stands.
    pub fn is_ready(&self) -> bool {
        if self.scene.borrow().is_none() {
            return false;
        }
        self.acting.acts(self.known.now(), self.known.fresh_ago(), || self.knows_servers())
    }

    fn knows_servers(&self) -> bool {
        self.known.with(|book, now| book.servers(now).next().is_some())
    }

    /// Requests that still owe an answer.
    pub fn owed(&self) -> usize {
        self.services.borrow().values().map(|s| s.engine.owed()).sum()
    }

    /// Fails all that is still owed.
    pub fn fail_all(&self) {
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        services.iter().for_each(|s| s.engine.fail_all());
    }

    /// Takes in what has changed.
    pub fn refresh(&self) {
        let node = self.told.settings();
        let edition = self.known.edition();
        let before = self.scene.borrow().as_ref().map_or(0, |s| s.edition);
        if edition > before {
            let decided = self.known.decided();
            if !decided.config.is_empty() {
                match Scene::new(edition, &decided, &node) {
                    Ok(scene) => {
                        log::info!("proxy: edition {}, r{}", edition, scene.table.version());
                        let scene = Rc::new(scene);
                        self.set_plans(&scene);
                        let old = self.scene.replace(Some(scene.clone()));
                        if let Some(old) = old {
                            let now = self.clock.now();
                            self.taken_back.borrow_mut().note(now, &old.empty, &scene.empty);
                        }
                    }
                    Err(e) => {
                        log::error!("proxy: edition {} cannot be read, the old one holds: {}", edition, e)
                    }
                }
            }
        }
        let scene = self.scene.borrow().clone();
        if let Some(scene) = scene {
            if self.planned_for.get() != self.shared() {
                self.set_plans(&scene);
            }
            self.set_catalogue(&scene);
            self.set_services(&scene, &node);
        }
    }

    /// Looks at how attempts have ended since, and at what others say of servers; what is to be told by the limiter of this
    /// life.
    pub fn watch(&self, life: u64) -> Vec<NoticeRow> {
        let node = self.told.settings();
        // Time alone changes who counts together.
        let scene = self.scene.borrow().clone().filter(|_| self.planned_for.get() != self.shared());
        if let Some(scene) = scene {
            self.set_plans(&scene);
        }
        let services: Vec<_> = self.services.borrow().iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        for (name, service) in services {
            let ends = service.engine.ends_of_attempts();
            if !ends.is_empty() {
                self.steering.saw(self.known.now(), &name, &service.classes.borrow(), &ends);
            }
        }
        if !self.known.with(|book, now| self.steering.is_time(now, book)) {
            return Vec::new();
        }
        let rows = self.known.with(|book, now| self.steering.tell(now, book, &node.node, life));
        if !rows.is_empty() {
            self.known.change(|book, now| rows.iter().for_each(|row| _ = book.notice(now, row)));
        }
        let time = self.known.time();
        if self.known.with(|book, now| self.steering.judge(now, time, book, &node)) {
            self.refresh();
        }
        rows
    }

    fn set_catalogue(&self, scene: &Scene) {
        let cast = || Some(Cast::new(scene.edition, scene.table.bill()));
        let mut names = self.names.borrow_mut();
        if let Some(contested) = self.known.with(|book, _| names.renew(scene.edition, book, cast)) {
            log::debug!("catalogue: contested servers: {}", contested);
        }
    }

    /// The servers of an owner, by what they may get.
    fn tally(&self, name: &str) -> Tally {
        let catalogue = &self.names.borrow().catalogue;
        catalogue.cast().owner(name).map(|owner| catalogue.tally(owner)).unwrap_or_default()
    }

    fn limiters(&self) -> f64 {
        f64::from(self.known.with(|book, now| book.limiters(now))).max(1.0)
    }

    /// Limiters that share what is given out of the quotas here, and which part of them that is.
    fn shared(&self) -> (f64, f64) {
        let reach = self.counter.reach();
        (if reach.alone { 1.0 } else { self.limiters() }, reach.part())
    }

    fn set_plans(&self, scene: &Scene) {
        let mut tenants = self.tenants.borrow_mut();
        let customers = scene.table.bill().customers.as_deref().unwrap_or_default();
        for customer in customers {
            let next = tenants.len();
            tenants.entry(customer.name.clone()).or_insert(next);
        }
        // Plans stand by tenant: one that is gone keeps its place.
        let bounds = &self.told.settings().bounds;
        let (window, over, slack) = (bounds.quota_window_s, bounds.quota_over, bounds.quota_slack);
        let (limiters, part) = self.shared();
        let allowed = Allowed { window, over, slack: slack * part, limiters };
        let mut plans = vec![plan(0.0, 0.0, allowed); tenants.len()];
        for customer in customers {
            if let Some(at) = tenants.get(&customer.name) {
                plans[*at] = plan(customer.rate * part, customer.burst * part, allowed);
            }
        }
        self.counter.settle(plans, limiters);
        self.planned_for.set((limiters, part));
    }

    fn set_services(&self, scene: &Scene, node: &Node) {
        let bill = scene.table.bill();
        for of in &bill.services {
            if !self.services.borrow().contains_key(&of.name) {
                let service = Rc::new(self.open(&of.name));
                self.services.borrow_mut().insert(of.name.clone(), service);
            }
        }
        let services: Vec<_> = self.services.borrow().iter().map(|(n, s)| (n.clone(), s.clone())).collect();
        let limiters: Vec<(String, String)> = self.known.with(|book, now| {
            let takes = book.members(now).filter(|(row, _)| !row.lapsed && row.state == member_state::READY);
            takes.map(|(row, _)| (row.name.clone(), row.zone.clone())).collect()
        });
        let ground = Ground { zones: &node.zones, name: &node.node, zone: &node.zone, limiters: &limiters };
        let acting: Vec<(String, String)> = self
            .known
            .with(|book, now| book.acting(now).map(|row| (row.name.clone(), row.zone.clone())).collect());
        let sharing = Ground { limiters: &acting, ..ground };
        for (name, service) in services {
            let of = bill.services.iter().find(|s| s.name == name);
            let (cold_s, cold_rate) = of.map_or((0.0, 0.0), |s| (s.cold_s, s.cold_rate));
            let mut settings = limiter_settings::settings(node, self.limiters(), cold_s, cold_rate);
            let parts = slow_start::Parts::new(&node.bounds, cold_rate, acting.len());
            let cold = Cold { span: cold_s * 1000.0, parts, sharing: &sharing };
            let mut classes = service.classes.borrow_mut();
            for route in &bill.routes {
                if route.shares.iter().any(|(s, _)| *s == name) && !classes.contains(&route.name) {
                    classes.push(route.name.clone());
                }
            }
            settings.classes = classes
                .iter()
                .map(|n| {
                    bill.routes.iter().find(|r| r.name == *n).map(|r| class(r, r.rank)).unwrap_or_default()
                })
                .collect();
            let zones = everywhere(node);
            let names = Names { classes: classes.clone(), zones, ..Names::default() };
            drop(classes);
            let (members, all) = self.members(&name, &service, scene, &ground, &cold);
            settings.sparse = members.len() < all;
            if !same(&service.settings.borrow(), &settings) {
                service.engine.revise(&names, &settings);
                *service.settings.borrow_mut() = settings;
            }
            if *service.members.borrow() != members {
                (service.engine.told())(News::Complete(members.clone()));
                *service.members.borrow_mut() = members;
            }
        }
    }

    fn open(&self, name: &str) -> Service {
        let connections = Connections {
            idle: SERVER_IDLE,
            connect_timeout: CONNECT,
            most: self.budget.servers / SERVICES,
            bodies_kib: self.budget.answers_kib / SERVICES,
        };
        let upstream = Http1::speaking(Words::default(), self.clock.clone(), connections);
        let setup = Setup { seed: chance(), ..Setup::default() };
        let engine = Engine::new(&setup, self.clock.clone(), upstream);
        engine.start();
        self.witness(&engine);
        let (known, lease) = (self.known.clone(), self.lease);
        engine.guard_by(Rc::new(move || (!lease.stands(known.fresh_ago())).then_some(SOON)));
        log::info!("proxy: service {}", name);
        Service {
            engine,
            classes: RefCell::default(),
            spells: RefCell::default(),
            left_out: RefCell::default(),
            members: RefCell::default(),
            settings: RefCell::default(),
        }
    }

    /// The servers of a service that may be sent something, as far as this limiter casts them, and how many there are.
    fn members(
        &self,
        name: &str,
        service: &Service,
        scene: &Scene,
        ground: &Ground<'_>,
        cold: &Cold<'_>,
    ) -> (Vec<Member>, usize) {
        let now = self.clock.now();
        let blind = now - self.born < BLIND;
        let mut left_out = service.left_out.borrow_mut();
        left_out.retain(|_, at| now - *at < APART);
        let lately = |id: &str| left_out.contains_key(id);
        let mut spells = service.spells.borrow_mut();
        let catalogue = self.names.borrow().catalogue.clone();
        let Some(owner) = catalogue.cast().owner(name) else {
            // The newest configuration has dropped it: what is in hand may end at the servers that it had.
            let stands = |m: &&Member| {
                let mut claims = catalogue.of_id(&m.id).iter();
                claims.any(|entry| entry.is_ready() && !scene.empty.contains(&entry.row.zone))
            };
            let left: Vec<Member> = service.members.borrow().iter().filter(stands).cloned().collect();
            let all = left.len();
            return (left, all);
        };
        let whose = |row: &ServerRow| match name.ends_with(row.service.as_str()) {
            true => catalogue.use_of(row, owner),
            false => Use::Nothing,
        };
        let (members, all): (Vec<Member>, usize) = self.known.with(|book, at| {
            let able = book.servers(at).filter(|(row, _)| {
                row.state == server_state::READY
                    && !row.silent
                    && !scene.empty.contains(&row.zone)
                    && whose(row) != Use::Nothing
            });
            // The servers of a zone that is taken back may have become cold unheard.
            let back = self.taken_back.borrow();
            let able = able.map(|(row, left)| (row, back.left(now, &row.zone, left, cold.span)));
            let able: Vec<_> = able.collect();
            let places: Vec<(&str, &str)> =
                able.iter().map(|(row, _)| (row.id.as_str(), row.zone.as_str())).collect();
            // Who is to try an ill server is drawn over all limiters, whoever casts it.
            let tries = |row: &ServerRow| self.steering.standing(at, name, &row.id) == Standing::Tried;
            let able = able.into_iter().zip(cast(ground, &places));
            let able = able.filter(|((row, left), cast)| match *left > 0.0 {
                true => !blind && !lately(&row.id) && cold.parts.takes(cold.sharing, &row.id, &row.zone),
                false => *cast || tries(row),
            });
            let able = able.map(|(able, _)| able);
            let member = |(row, left): (&ServerRow, Millis)| {
                let started = if left > 0.0 {
                    let began = now - (cold.span - left).max(0.0);
                    let told = spells.entry(row.id.clone()).or_insert(began);
                    if (*told - began).abs() > SAME_SPELL {
                        *told = began;
                    }
                    *told
                } else {
                    spells.get(&row.id).copied().unwrap_or(0.0)
                };
                Some(Member {
                    id: row.id.clone(),
                    address: Some(row.address.parse().ok()?),
                    zone: if whose(row) == Use::Reads { proven(&row.zone) } else { row.zone.clone() },
                    cell: 0,
                    weight: 1.0,
                    started,
                    state: ServerState::Ready,
                    standing: self.steering.standing(at, name, &row.id),
                })
            };
            (able.filter_map(member).collect(), places.len())
        });
        spells.retain(|id, _| members.iter().any(|m| m.id == *id));
        let before = service.members.borrow();
        let gone = before.iter().filter(|m| !members.iter().any(|now| now.id == m.id));
        left_out.extend(gone.map(|m| (m.id.clone(), now)));
        (members, all)
    }

    // ---- Requests -----------------------------------------------------------------------------

    /// Which route and tenant a request belongs to.
    fn ticket(&self, head: &Parts) -> Result<Ticket, (Kind, Millis)> {
        let scene = self.scene.borrow().clone();
        let Some(scene) = scene.filter(|_| self.is_ready()) else { return Err((Kind::Starting, SOON)) };
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let Some(at) = scene.route(head) else { return Err((Kind::Unknown, 0.0)) };
        let route = &scene.table.bill().routes[at];
        let mut customer = None;
        if scene.table.has_customers() {
            let key = text(&AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer ")).map(str::trim);
            customer = key.and_then(|key| scene.table.customer(key));
            if customer.is_none() && !route.keyless {
                return Err((Kind::NoKey, 0.0));
            }
        }
        let Some(within) = scene.within(at, customer) else { return Err((Kind::Busy, SOON)) };
        let left =
            text(&TIME_LEFT).and_then(|v| v.trim().parse::<f64>().ok()).filter(|v| v.is_finite() && *v > 0.0);
        let time_left = left.unwrap_or(route.give_up_ms).min(route.give_up_ms);
        Ok(Ticket { scene, route: at, customer, within, time_left })
    }

    /// Gives a request its one answer. Where it runs once, an answer of the proxy's own says what is certain
    /// of it.
    async fn take(&self, ticket: Ticket, head: Parts, body: Upload, room: Option<Room>) -> Response<Body> {
        let route = &ticket.scene.table.bill().routes[ticket.route];
        let once = route.kind == oatbank_config_model::Kind::Unsafe;
        let named = head.headers.get(&TRY_ID).filter(|_| once).cloned();
        // Held until it is answered; what became of it stands in the outcomes by then.
        let mut _held = None;
        if let Some(try_id) = named.as_ref().and_then(|id| id.to_str().ok()) {
            match self.open.hold(try_id).ok().filter(|_| !self.may_have_run(try_id)) {
                Some(held) => _held = Some(held),
                None => {
                    let mut response = refuse(Kind::Repeated, 0.0);
                    say_so(&mut response, Kind::Repeated, try_id, self.ran_at(try_id).as_deref());
                    return response;
                }
            }
        }
        match self.ask(ticket, head, body, room).await {
            Ok(response) => response,
            Err((kind, wait)) => {
                let mut response = refuse(kind, wait);
                if let Some(try_id) = named.as_ref().and_then(|id| id.to_str().ok()) {
                    let server = self.ran_at(try_id);
                    say_so(&mut response, kind, try_id, server.as_deref());
                }
                response
            }
        }
    }

    /// A server's answer, or what is said in its place, and when to come back.
    async fn ask(
        &self,
        ticket: Ticket,
        head: Parts,
        body: Upload,
        room: Option<Room>,
    ) -> Result<Response<Body>, (Kind, Millis)> {
        let bill = ticket.scene.table.bill();
        let route = &bill.routes[ticket.route];
        let tenant = ticket.customer.and_then(|at| bill.customers.as_ref()?.get(at));
        if let Some(tenant) = tenant {
            let place = self.tenants.borrow().get(&tenant.name).copied().unwrap_or(0);
            if tenant.rate > 0.0 {
                let number = tenant_number(&tenant.name);
                let admitted = self.counter.admit(number, PlanId(place), self.planned_for.get().0.max(1.0));
                if let Err(wait) = admitted {
                    return Err((Kind::Quota, wait.max(SOON)));
                }
            }
        }
        let owner = share(route, self.roll()).unwrap_or_default();
        let service = self.services.borrow().get(owner).cloned();
        let Some(service) = service else { return Err((Kind::Busy, SOON)) };
        let tally = self.tally(owner);
        let mut within = ticket.within;
        if tally.is_contested() {
            // Nothing but its life proves an answer of a server whose owner is contested: what may run once
            // goes to others, and where there are none, or it is not sure that these are known here, nowhere.
            let repeatable = route.kind != oatbank_config_model::Kind::Unsafe;
            let able = if repeatable { tally.all + tally.reads } else { tally.all };
            if able == 0 || !repeatable && tally.nothing > 0 && !self.known.agrees() {
                self.note("contested");
                return Err((Kind::Busy, CONTESTED));
            }
            within = ticket.scene.among(within, repeatable);
        }
        let headers = headers_on(&head.headers, tenant.map(|t| t.name.as_str()));
        let at = service.classes.borrow().iter().position(|n| *n == route.name).unwrap_or(0);
        let rank = tenant.and_then(|t| t.rank).unwrap_or(route.rank);
        let rules = Rules { class: class(route, rank), max_attempts: route.tries };
        let request = Request {
            class: ClassId(at),
            units: 1.0,
            time_left: ticket.time_left,
            spread: 1.0,
            uploading: body.is_stream(),
            rules: Some(Arc::new(rules)),
            within,
            ..Request::default()
        };
        let forward = Forward { method: head.method, uri: head.uri, headers, body, room };
        match service.engine.ask(request, forward).await {
            Answer::Served(response) => Ok(response),
            Answer::Refused(wait) => {
                self.note("refused");
                Err((Kind::Busy, wait.max(1.0)))
            }
            Answer::Failed => {
                self.note("failed");
                Err((Kind::Failed, 0.0))
            }
            Answer::TimedOut => {
                self.note("too late");
                Err((Kind::Late, 0.0))
            }
        }
    }

    fn note(&self, what: &str) {
        if let Some(left_out) = self.few.may() {
            log::debug!("proxy: {} ({} lines left out)", what, left_out);
        }
    }
}

/// Of one engine's settings all that is set here.
fn same(a: &Settings, b: &Settings) -> bool {
    let class = |s: &Settings| -> Vec<[f64; 4]> {
        s.classes
            .iter()
            .map(|c| {
                [
                    c.aim,
                    c.deadline,
                    c.worth,
                    f64::from(c.repeat == oatbank_limiter_core::interface::Repeat::Safe),
                ]
            })
            .collect()
    };
    a.gateways == b.gateways
        && a.sparse == b.sparse
        && a.zone == b.zone
        && a.zone_cost == b.zone_cost
        && a.warm_after == b.warm_after
        && a.cold_rate == b.cold_rate
        && class(a) == class(b)
}

/// What goes on of a client's headers: the key does not, and whose it was is told.
fn headers_on(headers: &HeaderMap, tenant: Option<&str>) -> HeaderMap {
    let mut on = house::headers_on(headers);
    for name in [AUTHORIZATION, CUSTOMER, CONTENT_LENGTH] {
        on.remove(name);
    }
    if let Some(value) = tenant.and_then(|t| HeaderValue::try_from(t).ok()) {
        on.insert(CUSTOMER, value);
    }
    on
}

/// The desk that the front hands requests in at.
pub struct HouseDesk(pub Rc<House>);

impl Desk for HouseDesk {
    type Ticket = Ticket;

    fn now(&self) -> Millis {
        self.0.clock.now()
    }

    fn names_requests_by(&self) -> HeaderName {
        TRY_ID
    }

    fn several_at_once(&self) -> bool {
        true
    }

    fn may_overtake(&self, head: &Parts) -> bool {
        let plain = matches!(head.method, Method::GET | Method::HEAD);
        // What is refused runs nowhere.
        plain && self.0.scene.borrow().as_ref().is_none_or(|scene| !scene.runs_once(head))
    }

    fn judge(&self, head: &Parts) -> Result<Judged<Ticket>, Rejection> {
        if classify::single(&head.headers, &TRY_ID)?.is_none_or(str::is_empty) {
            return Err(Rejection::bad("Try-Id is missing\n"));
        }
        Ok(match self.0.ticket(head) {
            Ok(ticket) => Judged::Taken(ticket),
            Err((kind, wait)) => Judged::Answer(refuse(kind, wait)),
        })
    }

    async fn serve(
        &self,
        ticket: Ticket,
        head: Parts,
        body: Upload,
        room: Option<Room>,
    ) -> Result<Response<Body>, Rejection> {
        Ok(self.0.take(ticket, head, body, room).await)
    }
}
