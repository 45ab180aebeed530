//! Drives the reconciler against a randomized model of the service and its connection. For any order, loss and repetition of
//! events its list converges to the tree, and it announces no member that was not read.
//!
//! `OATBANK_SEEDS=N` runs N schedules instead of the default 2,000.

use oatbank_engine::ports::membership::{Member, News};
use oatbank_limiter_core::interface::ServerState;
use oatbank_membership::payload;
use oatbank_membership::reconcile::{Event, ReadRequest, Reconciler, Settings, Step};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Nodes by name: the transaction that created the node, and its content.
type Tree = BTreeMap<String, (i64, String)>;

const SETTLE: f64 = 10_000.0;

struct Model {
    rng: Pcg64Mcg,
    now: f64,
    /// The tree after each transaction; the index is the transaction.
    history: Vec<Tree>,
    /// The last transaction known to the server that the client is connected to.
    server_view: usize,
    connected: bool,
    requests: VecDeque<ReadRequest>,
    answers: VecDeque<Event>,
    folder_watch: bool,
    data_watches: BTreeSet<String>,
    reconciler: Reconciler,
    due: Option<f64>,
    /// The list as an engine builds it from the announced changes.
    applied: Option<BTreeMap<String, Member>>,
    /// Content of each node at its last delivered read.
    read: BTreeMap<String, String>,
}

impl Model {
    fn new(seed: u64) -> Self {
        Model {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 1000.0,
            history: vec![Tree::new()],
            server_view: 0,
            connected: false,
            requests: VecDeque::new(),
            answers: VecDeque::new(),
            folder_watch: false,
            data_watches: BTreeSet::new(),
            reconciler: Reconciler::new(Settings { settle: SETTLE }),
            due: None,
            applied: None,
            read: BTreeMap::new(),
        }
    }

    fn random_below(&mut self, n: usize) -> usize {
        (self.rng.next_u64() % n as u64) as usize
    }

    fn tree(&self) -> &Tree {
        self.history.last().expect("a tree")
    }

    /// Commits one random transaction of a member.
    fn mutate(&mut self) {
        let (which, act, port) = (self.random_below(6), self.random_below(5), 9000 + self.random_below(4));
        let status = ["ALIVE", "ALIVE", "STOPPING"][self.random_below(3)];
        let id = self.random_below(5);
        let bytes = match self.random_below(12) {
            0 => "{nonsense".to_owned(),
            _ => format!(
                r#"{{"id":"e{id}","address":"127.0.0.1","port":{port},"payload":{{"status":"{status}","started_ms":5}}}}"#
            ),
        };
        let mut tree = self.tree().clone();
        let (name, zxid) = (format!("n{which}"), self.history.len() as i64);
        match (act, tree.contains_key(&name)) {
            (0 | 1, true) => _ = tree.remove(&name),
            (2, true) => {
                tree.remove(&name);
                tree.insert(name, (zxid, bytes));
            }
            (_, true) => _ = tree.entry(name).and_modify(|node| node.1 = bytes),
            (_, false) => _ = tree.insert(name, (zxid, bytes)),
        }
        self.history.push(tree);
    }

    /// Applies the next transaction at the connected server and fires its watches.
    fn apply_next_transaction(&mut self) {
        if self.server_view + 1 >= self.history.len() {
            return;
        }
        let (old, new) = (&self.history[self.server_view], &self.history[self.server_view + 1]);
        if self.folder_watch && !old.keys().eq(new.keys()) {
            self.folder_watch = false;
            self.answers.push_back(Event::Fired(ReadRequest::Children));
        }
        let changed: Vec<String> =
            self.data_watches.iter().filter(|n| old.get(*n) != new.get(*n)).cloned().collect();
        for name in changed {
            self.data_watches.remove(&name);
            self.answers.push_back(Event::Fired(ReadRequest::Data(name)));
        }
        self.server_view += 1;
    }

    /// Answers the oldest request, or fails it.
    fn serve(&mut self) {
        let Some(request) = self.requests.pop_front() else { return };
        if self.random_below(15) == 0 {
            return self.answers.push_back(Event::Failed(request));
        }
        let (zxid, tree) = (self.server_view as i64, &self.history[self.server_view]);
        self.answers.push_back(match request {
            ReadRequest::Children => {
                self.folder_watch = true;
                Event::Children { zxid, names: tree.keys().cloned().collect() }
            }
            ReadRequest::Data(name) => match tree.get(&name) {
                Some((created, text)) => {
                    self.data_watches.insert(name.clone());
                    let (created, bytes) = (*created, text.clone().into_bytes());
                    Event::Data { name, zxid, created, bytes }
                }
                None => Event::NoNode { name, zxid },
            },
        });
    }

    fn deliver(&mut self) {
        let Some(event) = self.answers.pop_front() else { return };
        if let Event::Data { name, bytes, .. } = &event {
            self.read.insert(name.clone(), String::from_utf8_lossy(bytes).into_owned());
        }
        self.handle(event.clone());
        if self.random_below(20) == 0 && matches!(event, Event::Fired(_)) {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let Step { reads, news, due } = self.reconciler.handle(self.now, event);
        self.requests.extend(reads);
        self.due = due;
        if let Some(news) = news {
            self.apply(news);
        }
    }

    /// Applies changes as an engine does, and checks each ready member against the delivered reads.
    fn apply(&mut self, news: News) {
        let members = match news {
            News::Complete(members) => {
                self.applied = Some(BTreeMap::new());
                members
            }
            News::Changes(members) => members,
            News::Remembered(_) => panic!("the reconciler never sends a remembered list"),
        };
        let applied = self.applied.as_mut().expect("a complete list before any changes");
        for member in members {
            if member.state == ServerState::Gone {
                applied.remove(&member.id);
                continue;
            }
            if member.state == ServerState::Ready {
                let was_read = self.read.iter().any(|(name, text)| {
                    payload::read(name, text.as_bytes()).is_ok_and(|(m, _)| {
                        (m.id, m.address, m.state) == (member.id.clone(), member.address, member.state)
                    })
                });
                assert!(
                    was_read,
                    "{} was announced as ready, but the last read of no node shows it",
                    member.id
                );
            }
            applied.insert(member.id.clone(), member);
        }
        assert_eq!(
            applied,
            self.reconciler.list(),
            "the announced changes differ from the reconciler's list"
        );
    }

    fn connect(&mut self) {
        // Connects to another server of the ensemble, which may lag.
        let lag = self.random_below(4);
        self.server_view = (self.history.len() - 1).saturating_sub(lag);
        (self.connected, self.folder_watch) = (true, false);
        self.data_watches.clear();
        self.handle(Event::Connected);
    }

    fn disconnect(&mut self) {
        self.connected = false;
        (self.requests, self.answers) = Default::default();
        self.handle(Event::Lost);
    }

    fn advance_time(&mut self, ms: f64) {
        self.now += ms;
        if self.due.is_some_and(|at| self.now >= at) {
            self.handle(Event::Due);
        }
    }

    fn random_step(&mut self) {
        match self.random_below(20) {
            0..=2 => self.mutate(),
            3..=6 => self.apply_next_transaction(),
            7..=11 if self.connected => self.serve(),
            12..=16 if self.connected => self.deliver(),
            17 if self.connected && self.random_below(4) == 0 => self.disconnect(),
            18 if !self.connected => self.connect(),
            _ => {
                let ms = self.random_below(30) as f64;
                self.advance_time(ms);
            }
        }
    }

    /// Delivers all pending events without further changes.
    fn quiesce(&mut self) {
        if !self.connected {
            self.connect();
        }
        for _ in 0..10_000 {
            while self.server_view + 1 < self.history.len() {
                self.apply_next_transaction();
            }
            self.serve();
            self.deliver();
            self.advance_time(5.0);
            if self.requests.is_empty() && self.answers.is_empty() && self.due.is_none() {
                return;
            }
        }
        panic!("the model does not quiesce");
    }

    /// The list that the tree implies: of nodes with the same id or address the newest counts.
    fn expected(&self) -> BTreeMap<String, ServerState> {
        let read: Vec<(i64, &String, Member)> = self
            .tree()
            .iter()
            .filter_map(|(name, (created, text))| {
                Some((*created, name, payload::read(name, text.as_bytes()).ok()?.0))
            })
            .collect();
        let is_newest = |a: &(i64, &String, Member)| {
            read.iter().all(|b| {
                let shares = b.2.id == a.2.id || b.2.address == a.2.address;
                !shares || (b.0, b.1) <= (a.0, a.1)
            })
        };
        read.iter().filter(|a| is_newest(a)).map(|(_, _, m)| (m.id.clone(), m.state)).collect()
    }
}

#[test]
fn the_list_converges_to_the_tree_after_random_losses() {
    let seeds = std::env::var("OATBANK_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(2000u64);
    for seed in 0..seeds {
        let mut model = Model::new(seed);
        let steps = 50 + model.random_below(400);
        (0..steps).for_each(|_| model.random_step());
        model.quiesce();
        let list: BTreeMap<String, ServerState> =
            model.reconciler.list().iter().map(|(id, m)| (id.clone(), m.state)).collect();
        assert_eq!(list, model.expected(), "seed {seed}");
        assert!(model.applied.is_some(), "seed {seed}: no list was ever announced");
    }
}

fn node(port: u16) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1","port":{port}}}"#).into_bytes()
}

/// Answers all reads from a folder with these members at transaction `zxid`, and returns the announced changes.
fn answer(
    reconciler: &mut Reconciler,
    now: f64,
    zxid: i64,
    members: &[(&str, u16)],
    step: Step,
) -> Vec<News> {
    let mut news: Vec<News> = step.news.into_iter().collect();
    let mut reads: VecDeque<ReadRequest> = step.reads.into();
    while let Some(request) = reads.pop_front() {
        let event = match request {
            ReadRequest::Children => {
                Event::Children { zxid, names: members.iter().map(|(name, _)| (*name).to_owned()).collect() }
            }
            ReadRequest::Data(name) => match members.iter().find(|(n, _)| *n == name) {
                Some((_, port)) => Event::Data { name, zxid, created: 1, bytes: node(*port) },
                None => Event::NoNode { name, zxid },
            },
        };
        let step = reconciler.handle(now, event);
        news.extend(step.news);
        reads.extend(step.reads);
    }
    news
}

fn names(reconciler: &Reconciler) -> Vec<&str> {
    reconciler.list().keys().map(String::as_str).collect()
}

fn connected(members: &[(&str, u16)]) -> Reconciler {
    let mut reconciler = Reconciler::new(Settings { settle: SETTLE });
    let step = reconciler.handle(0.0, Event::Connected);
    let news = answer(&mut reconciler, 0.0, 10, members, step);
    assert!(matches!(&news[..], [News::Complete(all)] if all.len() == members.len()), "{news:?}");
    reconciler
}

#[test]
fn a_deleted_node_is_announced_gone_in_the_step_that_reads_it() {
    let mut reconciler = connected(&[("a", 1), ("b", 2)]);
    let step = reconciler.handle(50.0, Event::Fired(ReadRequest::Children));
    let news = answer(&mut reconciler, 50.0, 11, &[("b", 2)], step);
    assert!(matches!(&news[..], [News::Changes(c)] if c.len() == 1 && c[0].state == ServerState::Gone));
    // A read of the node alone shows the removal, before the folder is read.
    let step = reconciler.handle(60.0, Event::Fired(ReadRequest::Data("b".into())));
    assert_eq!(step.reads, [ReadRequest::Data("b".into())]);
    let step = reconciler.handle(60.0, Event::NoNode { name: "b".into(), zxid: 12 });
    assert!(matches!(step.news, Some(News::Changes(c)) if c[0].state == ServerState::Gone));
}

#[test]
fn the_list_holds_during_an_outage_and_members_may_register_again_one_by_one() {
    let mut reconciler = connected(&[("a", 1), ("b", 2)]);
    reconciler.handle(100.0, Event::Lost);
    let step = reconciler.handle(1e6, Event::Due);
    assert!(step.news.is_none() && names(&reconciler) == ["a", "b"], "the last list holds");
    assert_eq!(reconciler.current_at(), Some(0.0), "its age is known");
    // The service returns with an empty tree: all sessions have expired, and members register again.
    let step = reconciler.handle(1e6, Event::Connected);
    assert!(answer(&mut reconciler, 1e6, 20, &[], step).is_empty() && names(&reconciler) == ["a", "b"]);
    let step = reconciler.handle(1e6 + 500.0, Event::Fired(ReadRequest::Children));
    answer(&mut reconciler, 1e6 + 500.0, 21, &[("b", 2)], step);
    assert_eq!(names(&reconciler), ["a", "b"]);
    // A member that registered again and is removed again is gone at once.
    let step = reconciler.handle(1e6 + 900.0, Event::Fired(ReadRequest::Children));
    answer(&mut reconciler, 1e6 + 900.0, 22, &[], step);
    // A member that has not registered again by the end of the settling time is gone.
    let step = reconciler.handle(1e6 + SETTLE, Event::Due);
    answer(&mut reconciler, 1e6 + SETTLE, 22, &[], step);
    assert!(names(&reconciler).is_empty());
}

#[test]
fn members_removed_during_a_short_outage_are_gone_at_the_first_read() {
    let mut reconciler = connected(&[("a", 1), ("b", 2)]);
    reconciler.handle(100.0, Event::Lost);
    let step = reconciler.handle(600.0, Event::Connected);
    answer(&mut reconciler, 600.0, 12, &[("b", 2)], step);
    assert_eq!(names(&reconciler), ["b"]);
}

#[test]
fn outdated_reads_are_rejected_and_a_restored_history_is_accepted_after_the_settling_time() {
    let mut reconciler = connected(&[("a", 1), ("b", 2)]);
    reconciler.handle(100.0, Event::Lost);
    let step = reconciler.handle(200.0, Event::Connected);
    assert!(answer(&mut reconciler, 200.0, 5, &[("a", 1)], step).is_empty());
    assert_eq!(names(&reconciler), ["a", "b"], "the read is older than an earlier one");
    let mut now = 200.0;
    while now < 200.0 + 2.0 * SETTLE {
        now += 60.0;
        let step = reconciler.handle(now, Event::Due);
        answer(&mut reconciler, now, 5, &[("a", 1)], step);
        let accepted = names(&reconciler) == ["a"];
        assert_eq!(accepted, now - 200.0 >= SETTLE, "at {now}");
        if accepted {
            return;
        }
    }
    panic!("the restored history was never accepted");
}

#[test]
fn a_flapping_node_keeps_its_start_time_and_a_new_node_counts_as_just_started() {
    let mut reconciler = connected(&[("a", 1)]);
    for round in 0..100 {
        let now = 1000.0 + f64::from(round) * 600.0;
        let step = reconciler.handle(now, Event::Fired(ReadRequest::Children));
        answer(&mut reconciler, now, 20 + i64::from(round) * 2, &[], step);
        assert!(names(&reconciler).is_empty(), "a removal takes effect at once");
        let step = reconciler.handle(now + 300.0, Event::Fired(ReadRequest::Children));
        answer(&mut reconciler, now + 300.0, 21 + i64::from(round) * 2, &[("a", 1)], step);
        assert_eq!(reconciler.list()["a"].started, 0.0, "a flapping node does not count as just started");
    }
    let step = reconciler.handle(100_000.0, Event::Fired(ReadRequest::Children));
    answer(&mut reconciler, 100_000.0, 1000, &[("a", 1), ("n", 9)], step);
    assert_eq!(reconciler.list()["n"].started, 100_000.0, "a new server may be cold");
}

#[test]
fn many_new_members_are_read_with_bounded_concurrency() {
    let mut reconciler = Reconciler::new(Settings { settle: SETTLE });
    reconciler.handle(0.0, Event::Connected);
    let names: Vec<String> = (0..2000).map(|n| format!("m{n:04}")).collect();
    let step = reconciler.handle(1.0, Event::Children { zxid: 1, names });
    let mut reads: VecDeque<ReadRequest> = step.reads.into();
    let (mut max_pending, mut lists) = (reads.len(), 0);
    while let Some(ReadRequest::Data(name)) = reads.pop_front() {
        let port = 1 + name[1..].parse::<u16>().expect("a number");
        let step = reconciler.handle(2.0, Event::Data { name, zxid: 1, created: 1, bytes: node(port) });
        reads.extend(step.reads);
        max_pending = max_pending.max(reads.len());
        lists += usize::from(step.news.is_some());
    }
    assert_eq!((max_pending, lists, reconciler.list().len()), (64, 1, 2000));
}

#[test]
fn the_newest_node_owns_an_id_and_address_and_the_older_one_regains_them() {
    let mut reconciler = connected(&[("a", 1)]);
    let step = reconciler.handle(10.0, Event::Fired(ReadRequest::Children));
    assert_eq!(step.reads, [ReadRequest::Children]);
    reconciler.handle(10.0, Event::Children { zxid: 11, names: vec!["a".into(), "b".into()] });
    // Node b takes over the address of node a under another id.
    let step =
        reconciler.handle(10.0, Event::Data { name: "b".into(), zxid: 11, created: 11, bytes: node(1) });
    let Some(News::Changes(changes)) = step.news else { panic!("no changes were announced") };
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(names(&reconciler), ["b"]);
    assert_eq!(reconciler.left_out().len(), 1);
    let step = reconciler.handle(20.0, Event::Fired(ReadRequest::Children));
    answer(&mut reconciler, 20.0, 12, &[("a", 1)], step);
    assert_eq!(names(&reconciler), ["a"]);
}
