//! Simulated operators, readers and servers. They see only answers and record them in the history.

use crate::history::{Content, Event, OperatorCommand, What};
use crate::ms;
use crate::process::Process;
use crate::world::{Calls, World, ZONES};
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::sleep;

/// Frame kind of a control API call.
pub const OUTSIDE: u8 = 200;
/// Interval between heartbeats of a server, ms.
const HEARTBEAT_INTERVAL_MS: f64 = 1500.0;
/// Time that a server waits for the answer to a heartbeat, ms.
const HEARTBEAT_TIMEOUT_MS: f64 = 1000.0;
/// Time that a draining server keeps serving after the acknowledgement, ms.
const DRAIN_TIME_MS: f64 = 3000.0;
/// Time after which a draining server leaves without an acknowledgement, ms.
const LEAVE_TIMEOUT_MS: f64 = 8000.0;
/// Time that an operator waits for an answer, ms.
const COMMAND_TIMEOUT_MS: f64 = 1900.0;
/// Number of attempts before an operator gives a command up.
const MAX_COMMAND_ATTEMPTS: usize = 14;

/// Manner describes the load that an operator produces.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// Mean pause between two rounds of commands, ms.
    pub every: f64,
    /// Number of concurrent commands on one base, under equal or different version numbers.
    pub rivals: usize,
    /// Number of concurrent senders of each command.
    pub copies: usize,
    /// Probability that a round resends an acknowledged command.
    pub repeats: f64,
    /// Whether rounds may evacuate zones and end the evacuation.
    pub zones: bool,
}

/// Office holds the knowledge that all operators share.
#[derive(Default)]
pub struct Office {
    /// Newest version that was acknowledged or read.
    newest: Cell<u64>,
    tag: Cell<u64>,
    /// Acknowledged commands with their indexes in the history.
    acked: RefCell<Vec<(usize, OperatorCommand)>>,
}

const COLUMNS: &str =
    r#"["name","hostName","pathStart","routeKind","giveUpMs","targetMs","rank","tries","service"]"#;

/// Returns the request line and the body of a command.
fn text(order: &OperatorCommand) -> (String, String) {
    let (number, tag) = (order.number, order.tag);
    let base = if order.built_on == 0 { "0".to_owned() } else { format!("\"r{}\"", order.built_on) };
    let row = format!(r#"["tag-{tag}","h","/p{tag}/","safe",1000,400,2,2,"s"]"#);
    let routes = format!(r#"{{"columns":{COLUMNS},"rows":[{row}]}}"#);
    match &order.what {
        What::Replace => (
            "POST /settings/replace".into(),
            format!(
                r#"{{"version":"r{number}","builtOn":{base},"routes":{routes},"services":{{"columns":["name","healthPath"],"rows":[["s","/health"]]}},"limits":{{}}}}"#
            ),
        ),
        What::Change => (
            "POST /settings/change".into(),
            format!(r#"{{"version":"r{number}","builtOn":{base},"putItems":{{"routes":{routes}}}}}"#),
        ),
        What::Empty(zone, begin) => {
            (format!("POST /empty/{zone}/{}", if *begin { "begin" } else { "end" }), String::new())
        }
    }
}

fn ip(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 9, last)
}

/// Sends a command to random core machines until one gives a definite answer (200, 400 or 412), which it returns.
///
/// Returns `None` after `attempts` attempts, or when the schedule is over.
async fn order(
    world: &World,
    calls: &Calls,
    order: &OperatorCommand,
    at: usize,
    attempts: usize,
) -> Option<u16> {
    let (head, body) = text(order);
    let plain = order.number == 0;
    let mut pause = 60.0;
    for _ in 0..attempts {
        let to = *world.random.borrow_mut().of(&world.controls());
        world.history.record(Event::Asked(at, to));
        let answer = calls.call(to, plain, &head, &body, COMMAND_TIMEOUT_MS).await.map(|(status, _)| status);
        world.history.record(Event::OperatorAnswer(at, to, answer));
        if let Some(status @ (200 | 400 | 412)) = answer {
            return Some(status);
        }
        if world.over.get() {
            return None;
        }
        sleep(ms(pause)).await;
        pause = (pause * 2.0_f64).min(800.0);
    }
    None
}

impl Office {
    fn make(&self, world: &World, number: u64, built_on: u64, what: What) -> (usize, OperatorCommand) {
        self.tag.set(self.tag.get() + 1);
        let made = OperatorCommand { number, built_on, tag: self.tag.get(), what };
        let at = world.history.command_count();
        world.history.record(Event::Ordered(made.clone()));
        (at, made)
    }

    /// Sends a command and, if it is acknowledged, adds it to the shared knowledge.
    async fn send(
        &self,
        world: &World,
        calls: &Calls,
        at: usize,
        made: &OperatorCommand,
        attempts: usize,
    ) -> Option<u16> {
        let status = order(world, calls, made, at, attempts).await;
        if status == Some(200) && made.number > 0 {
            self.newest.set(self.newest.get().max(made.number));
            self.acked.borrow_mut().push((at, made.clone()));
        }
        status
    }

    /// Reads the configuration at one machine; returns the status, or `None` if no answer came in time.
    async fn read(&self, world: &World, calls: &Calls, to: Ipv4Addr) -> Option<u16> {
        let began = world.history.now();
        let (status, text) = calls.call(to, false, "GET /settings/read", "", COMMAND_TIMEOUT_MS).await?;
        let content = if status == 200 { Content::read(&text) } else { Content::default() };
        self.newest.set(self.newest.get().max(content.number));
        world.history.record(Event::Read(began, to, status, content));
        Some(status)
    }

    /// Starts an operator that runs rounds of commands until the schedule is over.
    pub fn operator(self: &Rc<Self>, world: &Rc<World>, nth: u8, manner: Manner) {
        let (office, world) = (self.clone(), world.clone());
        Process::start(&world.network.clone(), ip(nth), |_| async move {
            let calls = Rc::new(Calls::default());
            while !world.over.get() {
                office.round(&world, &calls, manner).await;
                let every = world.random.borrow_mut().within(0.3 * manner.every..1.7 * manner.every);
                sleep(ms(every)).await;
            }
        });
    }

    async fn round(self: &Rc<Self>, world: &Rc<World>, calls: &Rc<Calls>, manner: Manner) {
        let draw = |below: f64| world.random.borrow_mut().chance(below);
        if manner.zones && draw(0.35) {
            let zone = (*world.random.borrow_mut().of(&ZONES)).to_owned();
            for begin in [true, false] {
                let (at, made) = self.make(world, 0, 0, What::Empty(zone.clone(), begin));
                self.send(world, calls, at, &made, MAX_COMMAND_ATTEMPTS).await;
                let pause = world.random.borrow_mut().within(0.0..9000.0);
                sleep(ms(pause)).await;
            }
            return;
        }
        let again = self.acked.borrow().len();
        if draw(manner.repeats) && again > 0 {
            let back = world.random.borrow_mut().below(again.min(4));
            let (at, made) = self.acked.borrow()[again - 1 - back].clone();
            self.send(world, calls, at, &made, 3).await;
            return;
        }
        let base = self.newest.get();
        let step = |world: &World| 1 + world.random.borrow_mut().below(3) as u64;
        let number = base + step(world);
        let mut sent = Vec::new();
        for _ in 0..manner.rivals.max(1) {
            let number = if draw(0.6) { number } else { base + step(world) };
            let what = if base == 0 || draw(0.5) { What::Replace } else { What::Change };
            let (at, made) = self.make(world, number, base, what);
            for _ in 0..manner.copies.max(1) {
                let (office, world, calls, made) = (self.clone(), world.clone(), calls.clone(), made.clone());
                sent.push(tokio::task::spawn_local(async move {
                    office.send(&world, &calls, at, &made, MAX_COMMAND_ATTEMPTS).await
                }));
            }
        }
        let mut taken = false;
        for sent in sent {
            taken |= matches!(sent.await, Ok(Some(200)));
        }
        if !taken {
            let to = *world.random.borrow_mut().of(&world.controls());
            self.read(world, calls, to).await;
        }
    }

    /// Starts a reader that reads and looks up at random core machines until the schedule is over.
    pub fn reader(self: &Rc<Self>, world: &Rc<World>, nth: u8, every: f64) {
        let (office, world) = (self.clone(), world.clone());
        Process::start(&world.network.clone(), ip(nth), |_| async move {
            let calls = Calls::default();
            while !world.over.get() {
                let to = *world.random.borrow_mut().of(&world.controls());
                office.read(&world, &calls, to).await;
                sleep(ms(every)).await;
                let to = *world.random.borrow_mut().of(&world.controls());
                if let Some((status, text)) = calls.call(to, false, "GET /lookup?name=h", "", 1000.0).await {
                    let fronts = text.split('"').filter(|part| part.ends_with(":8686")).map(str::to_owned);
                    world.history.record(Event::Sent(to, status, fronts.collect()));
                }
            }
        });
    }

    /// Records the recovery checks after the last fault: every running core machine takes a command and reads it back
    /// within `takes_within` ms, and all of them vote within `votes_within` ms after that.
    pub async fn recovers(self: &Rc<Self>, world: &Rc<World>, nth: u8, takes_within: f64, votes_within: f64) {
        let (office, of, done) = (self.clone(), world.clone(), Rc::new(Cell::new(false)));
        let ends = done.clone();
        let process = Process::start(&world.network.clone(), ip(nth), |_| async move {
            let calls = Calls::default();
            let machines: Vec<Ipv4Addr> =
                of.core.borrow().iter().filter(|m| m.runs()).map(|m| m.ip).collect();
            let until = of.history.now() + takes_within;
            for to in machines {
                let takes = office.takes(&of, &calls, to, until, false).await;
                of.history.record(Event::Recovered(
                    format!("{to} acknowledges a command and reads it back"),
                    takes,
                ));
            }
            let until = of.history.now() + votes_within;
            let mut vote = false;
            while !vote && of.history.now() < until {
                vote = of.voters(|at| calls.to(at)).await.is_some();
                sleep(ms(300.0)).await;
            }
            of.history.record(Event::Recovered("all core machines vote".into(), vote));
            // Leaves time for the last acknowledged version to be applied by all followers.
            sleep(ms(6000.0)).await;
            ends.set(true);
        });
        while !done.get() {
            sleep(ms(100.0)).await;
        }
        process.kill();
    }

    /// Records whether a machine gives a definite answer to a command within `within` ms while others are down.
    pub async fn goes_on(self: &Rc<Self>, world: &Rc<World>, to: Ipv4Addr, within: f64) {
        let (office, of, done) = (self.clone(), world.clone(), Rc::new(Cell::new(false)));
        let ends = done.clone();
        let process = Process::start(&world.network.clone(), ip(8), |_| async move {
            let until = of.history.now() + within;
            let takes = office.takes(&of, &Calls::default(), to, until, true).await;
            of.history
                .record(Event::Recovered(format!("{to} answers a command while others are down"), takes));
            ends.set(true);
        });
        while !done.get() {
            sleep(ms(50.0)).await;
        }
        process.kill();
    }

    /// Sends commands to one machine until it acknowledges one and reads it back, or, if `any`, until it gives a
    /// definite answer. Returns `false` if that has not happened by `until`.
    async fn takes(&self, world: &World, calls: &Calls, to: Ipv4Addr, until: f64, any: bool) -> bool {
        let mut made: Option<(usize, OperatorCommand)> = None;
        while world.history.now() < until {
            let (at, order) = match &made {
                Some(made) => made.clone(),
                None => {
                    if self.read(world, calls, to).await.is_none_or(|status| status >= 500) {
                        sleep(ms(150.0)).await;
                        continue;
                    }
                    let base = self.newest.get();
                    self.make(world, base + 1, base, What::Replace)
                }
            };
            let (head, body) = text(&order);
            world.history.record(Event::Asked(at, to));
            let status =
                calls.call(to, false, &head, &body, COMMAND_TIMEOUT_MS).await.map(|(status, _)| status);
            world.history.record(Event::OperatorAnswer(at, to, status));
            if any && matches!(status, Some(200 | 400 | 412)) {
                return true;
            }
            match status {
                Some(200) => {
                    self.newest.set(self.newest.get().max(order.number));
                    if self.read(world, calls, to).await == Some(200) {
                        return true;
                    }
                }
                // An earlier command with an unknown outcome took effect first: builds a new one on a fresh read.
                Some(400 | 412) => made = None,
                _ => made = Some((at, order)),
            }
            sleep(ms(150.0)).await;
        }
        false
    }
}

/// Way in which a server ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    /// Runs to the end of the schedule.
    Never,
    /// Drains, then leaves.
    InOrder,
    /// Ends without an announcement.
    Crash,
}

/// Starts a server that sends heartbeats and ends in the given way after `after` ms.
pub fn server(world: &Rc<World>, nth: u8, ends: Ends, after: f64) {
    let world = world.clone();
    let at = Ipv4Addr::new(10, 0, 8, nth);
    Process::start(&world.network.clone(), at, |_| async move {
        let (calls, id) = (Calls::default(), format!("i-{nth}"));
        world.history.record(Event::Begins(id.clone()));
        let zone = ZONES[usize::from(nth) % ZONES.len()];
        let began = world.history.now();
        let mut count = 0u64;
        let mut state = 0u32;
        let mut to = *world.random.borrow_mut().of(&world.controls());
        // Times at which it started to leave and at which this was acknowledged, ms.
        let (mut leaves, mut acked): (Option<f64>, Option<f64>) = (None, None);
        loop {
            let now = world.history.now();
            if ends != Ends::Never && now - began > after && leaves.is_none() {
                if ends == Ends::Crash {
                    break;
                }
                leaves = Some(now);
                world.history.record(Event::Leaves(id.clone()));
                state = 1;
            }
            let over = |since: Option<f64>, long: f64| since.is_some_and(|since| now - since > long);
            if over(acked, DRAIN_TIME_MS) || acked.is_none() && over(leaves, LEAVE_TIMEOUT_MS) {
                state = 2;
            }
            count += 1;
            let word = if state == 0 { "ready" } else { "draining" };
            let (head, body) = if state == 2 {
                (format!("POST /servers/{id}/leave"), String::new())
            } else {
                let body = format!(
                    r#"{{"service":"s","address":"{at}:8080","zone":"{zone}","version":"v1","slots":3,"serverState":"{word}","coldLeftMs":0,"callCount":{count}}}"#
                );
                (format!("POST /servers/{id}/beat"), body)
            };
            let answer = calls.call(to, false, &head, &body, HEARTBEAT_TIMEOUT_MS).await;
            let heard = answer.is_some_and(|(status, _)| status == 200);
            if heard {
                world.history.record(Event::ReadAnswer(id.clone(), state));
                if state == 1 {
                    acked.get_or_insert(world.history.now());
                }
            } else {
                let controls = world.controls();
                let place = controls.iter().position(|ip| *ip == to).unwrap_or(0);
                to = controls[(place + 1) % controls.len()];
            }
            if state == 2 && (heard || over(leaves, 2.0 * LEAVE_TIMEOUT_MS)) {
                break;
            }
            // Draining does not change the interval; a heartbeat without an answer is retried at the next machine at once.
            let wait =
                if heard { HEARTBEAT_INTERVAL_MS * world.random.borrow_mut().within(0.9..1.1) } else { 20.0 };
            sleep(ms(wait)).await;
        }
        world.history.record(Event::Ended(id));
    });
}
