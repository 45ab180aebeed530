//! The shell's commands: a list of words, each with what answers it. Every program that answers
//! [`call::QUERY`] holds one list; a part of a program adds its own commands to it.
//!
//! [`call::QUERY`]: crate::messages::call::QUERY

use crate::messages::{call, OutcomeAsk, OutcomeTold, Query, Row, Table};
use crate::replication::Knowledge;
use crate::state::{member_state, server_state, Millis};
use bytes::Bytes;
use oatbank_attempt_state::outcome_log::{merge, Fate, Outcomes, Said};
use oatbank_node_runtime::rpc::Link;
use prost::Message;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// A proxy is waited for so long. The shell waits longer.
const WITHIN: Duration = Duration::from_millis(900);
/// Longest question, in words and bytes of each.
const WORDS: usize = 16;
const WORD: usize = 256;

/// What a command gives back.
pub type Answering = Pin<Box<dyn Future<Output = Table>>>;
/// What answers a command: the words after its own, and whether no other process may be asked.
pub type Answers = Rc<dyn Fn(Vec<String>, bool) -> Answering>;

struct Command {
    word: &'static str,
    usage: &'static str,
    most: usize,
    answers: Answers,
}

/// The commands of one program.
#[derive(Default)]
pub struct Commands(Vec<Command>);

/// A table that says only what is wrong.
pub fn refused(error: String) -> Table {
    Table { error, ..Table::default() }
}

/// A table of texts.
pub fn table(title: impl Into<String>, columns: &[&str], rows: Vec<Vec<String>>) -> Table {
    let rows = rows.into_iter().map(|cells| Row { cells }).collect();
    let columns = columns.iter().map(|c| (*c).to_owned()).collect();
    Table { title: title.into(), columns, rows, error: String::new() }
}

impl Commands {
    /// What every program knows: servers, limiters, who is in touch, and its version.
    pub fn of(known: &Rc<Knowledge>, program: &'static str, name: &str) -> Self {
        let mut commands = Commands::default();
        let of = known.clone();
        commands.add("servers", "servers [SERVICE]", 1, move |words| servers(&of, words.first()));
        let of = known.clone();
        commands.add("limiters", "limiters", 0, move |_| limiters(&of));
        let (of, own) = (known.clone(), name.to_owned());
        commands.add("core", "core", 0, move |_| core(&of, &own));
        let own = name.to_owned();
        commands.add("version", "version", 0, move |_| {
            let row = vec![own.clone(), program.to_owned(), env!("CARGO_PKG_VERSION").to_owned()];
            table("version", &["name", "program", "version"], vec![row])
        });
        commands
    }

    /// Adds a command that is answered at once; `most` words may follow it.
    pub fn add(
        &mut self,
        word: &'static str,
        usage: &'static str,
        most: usize,
        answers: impl Fn(Vec<String>) -> Table + 'static,
    ) {
        let answers: Answers = Rc::new(move |words, _| Box::pin(std::future::ready(answers(words))));
        self.add_later(word, usage, most, answers);
    }

    /// Adds a command that may have to ask others.
    pub fn add_later(&mut self, word: &'static str, usage: &'static str, most: usize, answers: Answers) {
        self.0.push(Command { word, usage, most, answers });
    }

    /// Answers a question.
    pub async fn answer(&self, query: Query) -> Table {
        let allowed = || self.0.iter().map(|c| c.usage).collect::<Vec<_>>().join(", ");
        let mut words = query.words;
        if words.len() > WORDS || words.iter().any(|w| w.len() > WORD) {
            return refused(format!("the question is too long; allowed: {WORDS} words of {WORD} bytes"));
        }
        if words.is_empty() {
            return refused(format!("no command; allowed: {}", allowed()));
        }
        let word = words.remove(0);
        let Some(command) = self.0.iter().find(|c| c.word == word) else {
            return refused(format!("{word:?} is no command; allowed: {}", allowed()));
        };
        if let Some(beyond) = words.get(command.most) {
            return refused(format!("{beyond:?} is too much; allowed: {}", command.usage));
        }
        (command.answers)(words, query.near).await
    }

    /// Answers an encoded [`Query`] with an encoded [`Table`].
    pub async fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        match Query::decode(body) {
            Ok(query) => self.answer(query).await.encode_to_vec(),
            Err(_) => refused("the question cannot be read by this version".into()).encode_to_vec(),
        }
    }
}

fn ago(ms: Millis) -> String {
    format!("{:.1} s", ms.max(0.0) / 1000.0)
}

fn servers(known: &Knowledge, service: Option<&String>) -> Table {
    let state = |row: &crate::messages::ServerRow| match row.state {
        _ if row.silent => "silent",
        server_state::READY => "ready",
        server_state::DRAINING => "draining",
        _ => "left",
    };
    let rows = known.with(|book, now| {
        let of = book.heard(now).filter(|(row, _, _)| service.is_none_or(|s| row.service == *s));
        of.map(|(row, heard, cold)| {
            let cold = if cold > 0.0 { ago(cold) } else { "no".to_owned() };
            let texts = [&row.id, &row.service, &row.address, &row.zone].map(Clone::clone);
            texts.into_iter().chain([state(row).to_owned(), ago(heard), cold]).collect()
        })
        .collect::<Vec<Vec<String>>>()
    });
    if let (Some(service), true) = (service, rows.is_empty()) {
        let mut names: Vec<String> =
            known.with(|book, now| book.heard(now).map(|(row, _, _)| row.service.clone()).collect());
        names.sort();
        names.dedup();
        return refused(format!("{service:?} is no service with servers; there are: {}", names.join(", ")));
    }
    let columns = ["id", "service", "address", "zone", "state", "last word", "cold for"];
    table(format!("{} servers", rows.len()), &columns, rows)
}

fn limiters(known: &Knowledge) -> Table {
    let state = |row: &crate::messages::MemberRow| match row.state {
        _ if row.lapsed => "session ended",
        member_state::STARTING => "starting",
        member_state::READY => "ready",
        _ => "leaving",
    };
    let rows = known.with(|book, now| {
        let row = |(row, heard): (&crate::messages::MemberRow, Millis)| {
            let edition = row.edition.to_string();
            vec![row.name.clone(), row.zone.clone(), state(row).to_owned(), edition, ago(heard)]
        };
        book.members(now).map(row).collect::<Vec<_>>()
    });
    table(format!("{} limiters", rows.len()), &["name", "zone", "state", "edition", "last word"], rows)
}

fn core(known: &Knowledge, own: &str) -> Table {
    let fresh = known.fresh_ago().map_or("never".to_owned(), ago);
    let touch = if known.in_touch() { "in touch" } else { "not in touch" };
    let mut rows = vec![vec![own.to_owned(), touch.to_owned(), known.edition().to_string(), fresh]];
    for (name, seen) in known.followers().into_iter().filter(|(_, seen)| seen.each) {
        let asked = known.now() - seen.at;
        let touch = if asked <= crate::replication::IN_TOUCH { "follows" } else { "silent" };
        rows.push(vec![name, touch.to_owned(), seen.edition.to_string(), ago(asked)]);
    }
    table("the core as known here", &["name", "state", "edition", "as of"], rows)
}

/// What became of tries: what is known here, and the way to all who may know more.
pub struct Desk {
    known: Rc<Knowledge>,
    /// This process's name.
    name: String,
    /// What this process knows itself; a core machine knows nothing.
    own: Option<Rc<RefCell<Outcomes>>>,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
}

impl Desk {
    /// At this process, of this name.
    pub fn new(known: Rc<Knowledge>, name: String, own: Option<Rc<RefCell<Outcomes>>>) -> Rc<Self> {
        Rc::new(Desk { known, name, own, links: RefCell::default() })
    }

    /// What is known here of a try.
    fn told(&self, try_id: &str) -> OutcomeTold {
        let now = self.known.now();
        let proxy = self.name.clone();
        let mut own = self.own.as_ref().map(|own| own.borrow_mut());
        match own.as_mut().and_then(|own| own.get(now, try_id)) {
            Some(known) => OutcomeTold {
                proxy,
                fate: known.fate.number(),
                why: known.why.to_owned(),
                server: known.server.to_string(),
                age: (now - known.at).clamp(0.0, 1e9) as u32,
            },
            None => OutcomeTold { proxy, ..OutcomeTold::default() },
        }
    }

    /// Answers an encoded [`OutcomeAsk`].
    pub fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        OutcomeAsk::decode(body).map(|ask| self.told(&ask.try_id).encode_to_vec()).unwrap_or_default()
    }

    /// Asks all limiters that may know, at once, and merges what they say.
    async fn outcome(&self, try_id: String, near: bool) -> Table {
        let mut said = Vec::new();
        let (mut asked, mut silent) = (0, Vec::new());
        if self.own.is_some() {
            asked += 1;
            said.push(self.told(&try_id));
        }
        let mut calls = JoinSet::new();
        if !near {
            let others: Vec<(String, SocketAddr)> = self.known.with(|book, now| {
                // One whose session has ended may still run what it took.
                let others = book.members(now).filter(|(row, _)| row.name != self.name);
                others.filter_map(|(row, _)| Some((row.name.clone(), row.inner.parse().ok()?))).collect()
            });
            self.links.borrow_mut().retain(|at, _| others.iter().any(|(_, other)| other == at));
            for (name, at) in others {
                asked += 1;
                let link = self.links.borrow_mut().entry(at).or_insert_with(|| Link::new(at)).clone();
                let body = OutcomeAsk { try_id: try_id.clone() }.encode_to_vec();
                calls.spawn_local(async move { (name, link.call(call::OUTCOME, body, WITHIN).await) });
            }
        }
        while let Some(done) = calls.join_next().await {
            let Ok((name, answer)) = done else { continue };
            match answer.ok().filter(|b| !b.is_empty()).and_then(|b| OutcomeTold::decode(b).ok()) {
                Some(told) => said.push(told),
                None => silent.push(name),
            }
        }
        silent.sort();
        outcome(&try_id, said, asked, &silent)
    }
}

fn outcome(try_id: &str, said: Vec<OutcomeTold>, asked: usize, silent: &[String]) -> Table {
    let words = said.into_iter().filter_map(|told| {
        let fate = Fate::of(told.fate)?;
        let OutcomeTold { proxy, why, server, age, .. } = told;
        Some(Said { proxy, fate, why, server, age: f64::from(age) })
    });
    let merged = merge(words);
    let mut title = format!("{try_id}: ");
    title += match merged.fate {
        Some(fate) => fate.text(),
        None if silent.is_empty() => "not known: never taken, or longer ago than outcomes are kept",
        None => "unknown: not all that may know it answer",
    };
    if merged.alarm {
        title += "; ALARM: it ran at more than one proxy";
    }
    title += &format!(" ({} of {asked} answer)", asked - silent.len());
    let row = |s: &Said| {
        vec![s.proxy.clone(), s.fate.text().to_owned(), s.why.clone(), s.server.clone(), ago(s.age)]
    };
    let mut rows: Vec<Vec<String>> = merged.said.iter().map(row).collect();
    rows.extend(silent.iter().map(|name| {
        vec![
            name.clone(),
            Fate::Unknown.text().to_owned(),
            "does not answer".to_owned(),
            String::new(),
            String::new(),
        ]
    }));
    table(title, &["proxy", "outcome", "why", "server", "known for"], rows)
}

/// The command `outcome`.
pub fn add_outcome(commands: &mut Commands, desk: &Rc<Desk>) {
    let desk = desk.clone();
    let answers: Answers = Rc::new(move |words, near| {
        let desk = desk.clone();
        Box::pin(async move {
            match words.into_iter().next() {
                Some(try_id) => desk.outcome(try_id, near).await,
                None => refused("no try is named; allowed: outcome TRY-ID".into()),
            }
        })
    });
    commands.add_later("outcome", "outcome TRY-ID", 1, answers);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::{MemberRow, ServerRow};
    use crate::replication::Steady;
    use oatbank_attempt_state::outcome_log::Bounds;
    use oatbank_node_runtime::rpc;
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    fn run_here(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, test);
    }

    fn knowledge() -> Rc<Knowledge> {
        Knowledge::new(Steady::start(), 500.0)
    }

    async fn ask(commands: &Commands, words: &[&str]) -> Table {
        let words = words.iter().map(|w| (*w).to_owned()).collect();
        commands.answer(Query { words, near: false }).await
    }

    /// A proxy that knows of one try.
    async fn proxy(name: &str, fate: Fate) -> MemberRow {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let inner = listener.local_addr().unwrap().to_string();
        let mut own = Outcomes::new(Bounds::default());
        own.note(1.0, "t-1", fate, "answered", &"i-9".into());
        let desk = Desk::new(knowledge(), name.to_owned(), Some(Rc::new(RefCell::new(own))));
        let handler = Rc::new(move |_: u8, body: Bytes| -> rpc::Answering {
            let desk = desk.clone();
            Box::pin(async move { desk.answer_bytes(body) })
        });
        tokio::task::spawn_local(rpc::serve(listener, handler));
        MemberRow { name: name.to_owned(), inner, beat: 1, ..MemberRow::default() }
    }

    #[test]
    fn all_limiters_are_asked_and_the_heaviest_word_counts() {
        run_here(async {
            let known = knowledge();
            let mut commands = Commands::of(&known, "oatbank-registry", "core-1");
            add_outcome(&mut commands, &Desk::new(known.clone(), "core-1".into(), None));
            let rows = [proxy("e1", Fate::NotRun).await, proxy("e2", Fate::Done).await];
            for row in &rows {
                known.change(|book, now| book.member(now, row));
            }
            let told = ask(&commands, &["outcome", "t-1"]).await;
            assert_eq!(told.title, "t-1: done (2 of 2 answer)");
            assert_eq!(told.rows[0].cells[..4], ["e2", "done", "answered", "i-9"]);
            let told = ask(&commands, &["outcome", "t-2"]).await;
            assert!(told.title.starts_with("t-2: not known") && told.rows.is_empty(), "{}", told.title);
            let more = proxy("e3", Fate::Done).await;
            known.change(|book, now| book.member(now, &more));
            assert!(ask(&commands, &["outcome", "t-1"]).await.title.contains("ALARM"));
            // One that cannot be asked is named: what it knows is not taken for nothing.
            let gone = MemberRow { inner: "127.0.0.1:9".into(), name: "e4".into(), ..rows[0].clone() };
            known.change(|book, now| book.member(now, &gone));
            let told = ask(&commands, &["outcome", "t-2"]).await;
            assert!(told.title.starts_with("t-2: unknown") && told.title.ends_with("(3 of 4 answer)"));
        });
    }

    #[test]
    fn what_is_asked_wrongly_is_named_with_what_is_allowed() {
        run_here(async {
            let known = knowledge();
            let mut commands = Commands::of(&known, "oatbank-registry", "core-1");
            add_outcome(&mut commands, &Desk::new(known.clone(), "core-1".into(), None));
            let row =
                ServerRow { id: "i-1".into(), service: "halls".into(), calls: 1, ..ServerRow::default() };
            known.server(&row);
            for (words, named, allowed) in [
                (vec!["outcom"], "\"outcom\"", "outcome TRY-ID"),
                (vec!["outcome"], "no try", "outcome TRY-ID"),
                (vec!["limiters", "x"], "\"x\"", "limiters"),
                (vec!["servers", "hall"], "\"hall\"", "halls"),
                (vec![], "no command", "servers [SERVICE]"),
            ] {
                let error = ask(&commands, &words).await.error;
                assert!(error.contains(named) && error.contains(allowed), "{words:?}: {error}");
            }
            let told = ask(&commands, &["servers", "halls"]).await;
            assert_eq!((told.rows.len(), told.columns.len()), (1, told.rows[0].cells.len()));
            assert_eq!(told.rows[0].cells[4], "ready");
        });
    }
}
