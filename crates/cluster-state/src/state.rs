//! What is known of servers and limiters: rows that merge, in whichever order and however often they come, and a count
//! by which followers ask for what they lack.
//!
//! Every process of the system holds one [`Book`]. Core machines write what servers and limiters say to them; all others
//! only merge. A row says how long ago its subject was heard, never when: no two machines need agree on the time.

use crate::messages::{MemberRow, News, NoticeRow, ServerRow};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// A span or a point on this process's steady clock, ms.
pub type Millis = f64;

/// States of a server, in the order in which it passes through them.
pub mod server_state {
    /// Takes requests.
    pub const READY: u32 = 0;
    /// Finishes what it has.
    pub const DRAINING: u32 = 1;
    /// Has said that it ends.
    pub const LEFT: u32 = 2;
}

/// States of a limiter.
pub mod member_state {
    /// Does not know enough yet.
    pub const STARTING: u32 = 0;
    /// Takes clients.
    pub const READY: u32 = 1;
    /// Is about to end.
    pub const LEAVING: u32 = 2;
}

/// How long what has ended is remembered, ms: late words of it must find it.
const REMEMBER: Millis = 120_000.0;
/// A limiter whose session has ended may still act for so long, ms: it counts among the limiters.
const STILL_ACTS: Millis = 12_000.0;
/// A teller knows all once it has listened for so many of the servers' spans.
const WARM_SPANS: f64 = 2.5;
/// A server is silent after so many of its spans and a second: three words lost, and the time for a fourth.
const SILENT_SPANS: f64 = 3.0;
const SILENT_MORE: Millis = 1000.0;
/// A session ends after so long without a word, ms.
pub const SESSION: Millis = 1700.0;

/// What a limiter has seen of a server says nothing any more after this, ms, and is remembered for so long after, so
/// that late words of it find something newer.
const NOTICE: Millis = 40_000.0;
/// The most of these that are held.
const MOST_NOTICES: usize = 4096;
/// Servers that beat under one id and name different services or addresses are told apart up to this number.
/// What is beyond changes nothing: the id's owner is contested with two.
const MOST_CLAIMS: usize = 8;

/// A row with what is known of it here.
#[derive(Clone, Debug)]
struct Held<R> {
    /// Shared with whoever made a snapshot of it; a change makes it anew.
    row: Arc<R>,
    /// Its part of the book's digest.
    part: u64,
    /// When its subject was last heard.
    heard: Millis,
    /// When the row was taken in as it is, for what counts down.
    at: Millis,
    /// The count at which it last changed in what it is used for, and at which anything was heard.
    changed: u64,
    touched: u64,
}

/// A row that merges.
trait Row: Clone {
    /// Of the same subject: takes in a newer row; whether that changes what the subject is used for. `None`: it is not
    /// newer. `past`: how long ago it was taken in as it is, for what counts down.
    fn take(&mut self, other: &Self, newer: bool, past: Millis) -> Option<bool>;
    fn heard_ago(&self) -> u32;
    fn ended(&self) -> bool;
    /// Its part of the book's digest: 0 once it has ended, since each process forgets that at another moment.
    fn part(&self) -> u64;
}

impl ServerRow {
    /// Says the same of who stands behind the id. Within one life neither changes, so two that differ are two
    /// servers.
    pub fn same_claim(&self, other: &ServerRow) -> bool {
        self.service == other.service && self.address == other.address
    }
}

impl News {
    /// It is so much older than it says, ms; what it lacks may have come since.
    pub fn age(&mut self, by: u32) {
        self.whole = false;
        self.servers.iter_mut().for_each(|row| {
            row.heard_ago = row.heard_ago.saturating_add(by);
            row.cold_ms = row.cold_ms.saturating_sub(by);
        });
        self.members.iter_mut().for_each(|row| row.heard_ago = row.heard_ago.saturating_add(by));
        self.notices.iter_mut().for_each(|row| row.ago = row.ago.saturating_add(by));
    }
}

impl Row for ServerRow {
    fn take(&mut self, other: &Self, _: bool, past: Millis) -> Option<bool> {
        let state = self.state.max(other.state);
        let rises = other.calls > self.calls;
        let silent =
            if rises { other.silent } else { self.silent || other.silent && other.calls == self.calls };
        if !rises && state == self.state && silent == self.silent {
            return None;
        }
        let before = self.clone();
        let left = (f64::from(before.cold_ms) - past).max(0.0).ceil() as u32;
        if rises {
            *self = other.clone();
        } else {
            self.cold_ms = left;
        }
        (self.state, self.silent) = (state, silent);
        // A cold spell that goes on as told is no news, one that begins is, also within another or after it.
        let colder = other.cold_ms > left + 300;
        let same = (self.state, self.silent, self.slots) == (before.state, before.silent, before.slots)
            && self.zone == before.zone;
        Some(!same || rises && colder)
    }

    fn heard_ago(&self) -> u32 {
        self.heard_ago
    }

    fn ended(&self) -> bool {
        self.state == server_state::LEFT || self.silent
    }

    fn part(&self) -> u64 {
        if self.ended() {
            return 0;
        }
        let state = self.state.to_string();
        xxh3_64(
            [&self.id, &self.service, &self.address, &self.zone, &state].map(|s| &**s).join("\0").as_bytes(),
        )
    }
}

impl Row for MemberRow {
    fn take(&mut self, other: &Self, newer: bool, _: Millis) -> Option<bool> {
        if other.life != self.life {
            // Another life of it: the one that was heard last is the present one.
            return newer.then(|| {
                *self = other.clone();
                true
            });
        }
        let rises = other.beat > self.beat;
        let lapsed =
            if rises { other.lapsed } else { self.lapsed || other.lapsed && other.beat == self.beat };
        let state = if rises { other.state } else { self.state };
        if !rises && lapsed == self.lapsed {
            return None;
        }
        let changes = (state, lapsed) != (self.state, self.lapsed);
        if rises {
            *self = other.clone();
        }
        self.lapsed = lapsed;
        Some(changes)
    }

    fn heard_ago(&self) -> u32 {
        self.heard_ago
    }

    fn ended(&self) -> bool {
        self.lapsed
    }

    fn part(&self) -> u64 {
        0
    }
}

impl Row for NoticeRow {
    fn take(&mut self, other: &Self, _: bool, _: Millis) -> Option<bool> {
        // Each has one writer, who counts its words.
        (other.seq > self.seq).then(|| {
            *self = other.clone();
            true
        })
    }

    fn heard_ago(&self) -> u32 {
        self.ago
    }

    fn ended(&self) -> bool {
        false
    }

    fn part(&self) -> u64 {
        0
    }
}

type Rows<R> = BTreeMap<String, Held<R>>;

/// Servers and limiters as known here.
#[derive(Debug)]
pub struct Book {
    epoch: u64,
    began: Millis,
    beat_every: Millis,
    count: u64,
    changes: u64,
    noticed: u64,
    acted: u64,
    /// By id; more than one row where servers that differ beat under it, in the order of service and address.
    servers: BTreeMap<String, Vec<Held<ServerRow>>>,
    /// Of all servers that have not ended.
    digest: u64,
    members: Rows<MemberRow>,
    /// By server, limiter and its life.
    notices: Rows<NoticeRow>,
}

/// What a server said, or why it is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It is new, and changes what the server is used for, as of this count.
    Changes(u64),
    /// It changes nothing.
    Same,
}

impl<R: Row> Held<R> {
    fn new(row: &R, now: Millis, next: u64) -> Self {
        let heard = now - f64::from(row.heard_ago());
        Held { row: Arc::new(row.clone()), part: row.part(), heard, at: now, changed: next, touched: next }
    }

    /// Takes in a row of the same subject; whether that changes what it is used for, `None` if it is not
    /// newer.
    fn take(&mut self, row: &R, now: Millis, next: u64) -> Option<bool> {
        let heard = now - f64::from(row.heard_ago());
        let past = now - self.at;
        let changes = R::take(Arc::make_mut(&mut self.row), row, heard > self.heard, past)?;
        self.heard = self.heard.max(heard);
        self.at = now;
        self.touched = next;
        if changes {
            self.changed = next;
            self.part = self.row.part();
        }
        Some(changes)
    }
}

/// Takes in the row of a subject that has one at a time.
fn take_row<R: Row>(rows: &mut Rows<R>, name: &str, row: &R, now: Millis, next: u64) -> Option<bool> {
    match rows.get_mut(name) {
        Some(held) => held.take(row, now, next),
        None => {
            rows.insert(name.to_owned(), Held::new(row, now, next));
            Some(true)
        }
    }
}

/// The digest of some rows, in any order.
fn digest<R>(rows: &[Held<R>]) -> u64 {
    rows.iter().fold(0, |sum, held| sum ^ held.part)
}

/// Takes in what is claimed under one id: servers that differ are kept apart, none in place of another,
/// whichever came first. An id that has left has left under each of its claims.
fn take_claim(claims: &mut Vec<Held<ServerRow>>, row: &ServerRow, now: Millis, next: u64) -> Option<bool> {
    let mut taken = match claims.iter_mut().find(|held| held.row.same_claim(row)) {
        Some(held) => held.take(row, now, next),
        None => {
            claims.push(Held::new(row, now, next));
            claims.sort_by(|a, b| (&a.row.service, &a.row.address).cmp(&(&b.row.service, &b.row.address)));
            Some(true)
        }
    };
    if claims.len() > 1 && claims.iter().any(|held| held.row.state == server_state::LEFT) {
        for held in claims.iter_mut().filter(|held| held.row.state != server_state::LEFT) {
            Arc::make_mut(&mut held.row).state = server_state::LEFT;
            (held.part, held.at, held.changed, held.touched) = (0, now, next, next);
            taken = Some(true);
        }
    }
    if claims.len() > MOST_CLAIMS {
        let at = claims.iter().position(|held| held.row.ended()).unwrap_or(MOST_CLAIMS);
        claims.remove(at);
    }
    taken
}

impl Book {
    /// An empty book of a process that begins now; `epoch` is drawn by chance and not 0.
    pub fn new(epoch: u64, beat_every: Millis, now: Millis) -> Self {
        let (servers, members, notices) = Default::default();
        let (epoch, began) = (epoch.max(1), now);
        Book {
            epoch,
            began,
            beat_every,
            count: 1,
            changes: 1,
            noticed: 0,
            acted: 0,
            servers,
            digest: 0,
            members,
            notices,
        }
    }

    /// This life.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// All up to this has been told or can be.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Rises with what changes what servers or limiters are used for.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// It has listened for long enough to know all there are.
    pub fn is_warm(&self, now: Millis) -> bool {
        now - self.began >= WARM_SPANS * self.beat_every
    }

    fn noted(&mut self, next: u64, taken: Option<bool>) -> Word {
        match taken {
            None => Word::Same,
            Some(changes) => {
                self.count = next;
                if changes {
                    self.changes = next;
                    return Word::Changes(next);
                }
                Word::Same
            }
        }
    }

    /// Takes in one row of a server.
    pub fn server(&mut self, now: Millis, row: &ServerRow) -> Word {
        let next = self.count + 1;
        if !self.servers.contains_key(&row.id) {
            self.servers.insert(row.id.clone(), Vec::with_capacity(1));
        }
        let Some(claims) = self.servers.get_mut(&row.id) else { return Word::Same };
        let before = digest(claims);
        let taken = take_claim(claims, row, now, next);
        self.digest ^= before ^ digest(claims);
        self.noted(next, taken)
    }

    /// A server has said that it ends.
    pub fn leaves(&mut self, now: Millis, id: &str) -> Word {
        // One of its claims says it for all of them.
        let row = match self.servers.get(id).and_then(|claims| claims.first()) {
            Some(held) => ServerRow { state: server_state::LEFT, ..(*held.row).clone() },
            // Never heard of here: late words of it must find that it has left.
            None => ServerRow { id: id.to_owned(), state: server_state::LEFT, ..ServerRow::default() },
        };
        self.server(now, &row)
    }

    /// Takes in one row of a limiter.
    pub fn member(&mut self, now: Millis, row: &MemberRow) -> Word {
        let next = self.count + 1;
        let edition = |members: &Rows<MemberRow>| members.get(&row.name).map_or(0, |held| held.row.edition);
        let before = edition(&self.members);
        let taken = take_row(&mut self.members, &row.name, row, now, next);
        if taken.is_some() && edition(&self.members) > before {
            self.acted = next;
        }
        self.noted(next, taken)
    }

    /// The count at which a limiter was last heard to act by a newer edition.
    pub fn acted(&self) -> u64 {
        self.acted
    }

    /// Limiters with a session that do not act by this edition, as far as is known here, by name.
    pub fn behind(&self, now: Millis, edition: u64) -> impl Iterator<Item = &str> + '_ {
        let live = self.members.values().filter(move |h| !h.row.lapsed && now - h.heard < SESSION);
        live.filter(move |h| h.row.edition < edition).map(|h| &*h.row.name)
    }

    /// Takes in what a limiter has seen of a server. One that is too old says nothing.
    pub fn notice(&mut self, now: Millis, row: &NoticeRow) -> Word {
        if f64::from(row.ago) >= NOTICE {
            return Word::Same;
        }
        self.notices.retain(|_, h| now - h.heard < 2.0 * NOTICE);
        let name = format!("{}/{}/{:x}", row.server, row.observer, row.life);
        if self.notices.len() >= MOST_NOTICES && !self.notices.contains_key(&name) {
            return Word::Same;
        }
        let next = self.count + 1;
        let taken = take_row(&mut self.notices, &name, row, now, next);
        if taken.is_none() {
            return Word::Same;
        }
        self.count = next;
        if row.is_strong() {
            // What is no verdict by itself goes on with the next call: to wake all for it costs more than it is worth.
            self.noticed = next;
        }
        Word::Changes(next)
    }

    /// Rises with what limiters have seen of servers: that alone changes no list.
    pub fn noticed(&self) -> u64 {
        self.noticed
    }

    /// What limiters have seen of servers, with how long ago, ms.
    pub fn notices(&self, now: Millis) -> impl Iterator<Item = (&NoticeRow, Millis)> + '_ {
        self.notices.values().map(move |h| (&*h.row, now - h.heard)).filter(|(_, ago)| *ago < NOTICE)
    }

    /// Takes in another's news; whether it changes what is used.
    pub fn merge(&mut self, now: Millis, news: &News) -> bool {
        let before = self.changes;
        for row in &news.servers {
            self.server(now, row);
        }
        for row in &news.members {
            self.member(now, row);
        }
        for row in &news.notices {
            self.notice(now, row);
        }
        if news.whole && news.warm {
            // What a teller that knows all has not, and what was not heard here of late either, is no more.
            let old = now - 4.0 * self.beat_every - SILENT_MORE;
            let claim =
                |r: &ServerRow| xxh3_64([&r.id, &r.service, &r.address].map(|s| &**s).join("\0").as_bytes());
            let told: std::collections::BTreeSet<u64> = news.servers.iter().map(claim).collect();
            let gone: Vec<ServerRow> = self
                .claims()
                .filter(|h| h.at < old && !h.row.silent && !told.contains(&claim(&h.row)))
                .map(|h| ServerRow { silent: true, ..(*h.row).clone() })
                .collect();
            gone.iter().for_each(|row| _ = self.server(now, row));
        }
        self.changes != before
    }

    /// After so long without a word a server is silent, ms.
    pub fn silence(&self) -> Millis {
        SILENT_SPANS * self.beat_every + SILENT_MORE
    }

    /// Looks for servers and sessions of which nothing was heard for too long, and forgets what ended long ago. Only a
    /// core machine that has itself been awake and warm may say so, and as of a moment at which it is known to have been
    /// in touch: what it would not have heard since is no silence. Whether anything changed.
    pub fn look(&mut self, now: Millis, judges_as_of: Option<Millis>) -> bool {
        let before = self.changes;
        if let Some(heard_until) = judges_as_of {
            let silent = heard_until - self.silence();
            let rows: Vec<ServerRow> = self
                .claims()
                .filter(|h| h.heard < silent && !h.row.ended())
                .map(|h| ServerRow { silent: true, ..(*h.row).clone() })
                .collect();
            rows.iter().for_each(|row| _ = self.server(now, row));
            let rows: Vec<MemberRow> = self
                .members
                .values()
                .filter(|h| h.heard < heard_until - SESSION && !h.row.lapsed)
                .map(|h| MemberRow { lapsed: true, ..(*h.row).clone() })
                .collect();
            rows.iter().for_each(|row| _ = self.member(now, row));
        }
        self.servers.retain(|_, claims| {
            claims.retain(|h| !h.row.ended() || now - h.at < REMEMBER);
            !claims.is_empty()
        });
        self.members.retain(|_, h| !h.row.lapsed || now - h.at < REMEMBER);
        self.changes != before
    }

    /// What a follower lacks that has taken in all up to `seen` of the life `epoch`; all there is where that is not this
    /// life. `each`: every word, not only what changes use.
    pub fn since(&self, now: Millis, epoch: u64, seen: u64, each: bool) -> News {
        let whole = epoch != self.epoch || seen > self.count;
        let from = if whole { 0 } else { seen };
        let ago = |at: Millis| (now - at).clamp(0.0, 1e9) as u32;
        let servers = self.claims().filter(|h| (if each { h.touched } else { h.changed }) > from);
        let servers = servers.map(|h| ServerRow {
            heard_ago: ago(h.heard),
            cold_ms: f64::from(h.row.cold_ms).max(0.0).sub_to_zero(now - h.at),
            ..(*h.row).clone()
        });
        let members = self.members.values().filter(|h| (if each { h.touched } else { h.changed }) > from);
        let members = members.map(|h| MemberRow { heard_ago: ago(h.heard), ..(*h.row).clone() });
        let notices = self.notices.values().filter(|h| h.changed > from && now - h.heard < NOTICE);
        let notices = notices.map(|h| NoticeRow { ago: ago(h.heard), ..(*h.row).clone() });
        News {
            epoch: self.epoch,
            seen: self.count,
            whole,
            warm: self.is_warm(now),
            digest: self.digest,
            servers: servers.collect(),
            members: members.collect(),
            notices: notices.collect(),
            ..News::default()
        }
    }

    /// Whether a follower lacks anything of what changes use; with `each`, any word; with `notices`, what limiters have seen
    /// of servers too.
    pub fn has_news(&self, epoch: u64, seen: u64, each: bool, notices: bool) -> bool {
        let changes = if notices { self.changes.max(self.noticed) } else { self.changes };
        epoch != self.epoch || seen > self.count || seen < if each { self.count } else { changes }
    }

    fn claims(&self) -> impl Iterator<Item = &Held<ServerRow>> + '_ {
        self.servers.values().flatten()
    }

    /// All rows of servers, in the order of id, service and address, for a snapshot to share.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<ServerRow>> + '_ {
        self.claims().map(|held| &held.row)
    }

    /// The same at each process that knows the same of the servers that have not ended, whatever it heard
    /// first.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Servers that may be sent something, each claim of an id by itself, with how long they are still cold,
    /// ms.
    pub fn servers(&self, now: Millis) -> impl Iterator<Item = (&ServerRow, Millis)> + '_ {
        self.claims().map(move |h| (&*h.row, (f64::from(h.row.cold_ms) - (now - h.at)).max(0.0)))
    }

    /// All servers that are remembered, with how long ago each was heard and how long it is still cold, ms.
    pub fn heard(&self, now: Millis) -> impl Iterator<Item = (&ServerRow, Millis, Millis)> + '_ {
        let cold = move |h: &Held<ServerRow>| (f64::from(h.row.cold_ms) - (now - h.at)).max(0.0);
        self.claims().map(move |h| (&*h.row, now - h.heard, cold(h)))
    }

    /// Limiters, with how long ago each was heard, ms.
    pub fn members(&self, now: Millis) -> impl Iterator<Item = (&MemberRow, Millis)> + '_ {
        self.members.values().map(move |h| (&*h.row, now - h.heard))
    }

    /// The count at which a server last changed in what it is used for; 0 if it is not known.
    pub fn changed_at(&self, id: &str) -> u64 {
        self.servers.get(id).into_iter().flatten().map(|h| h.changed).max().unwrap_or(0)
    }

    /// Limiters that may act: those with a session, and those whose session ended a short while ago.
    pub fn acting(&self, now: Millis) -> impl Iterator<Item = &MemberRow> + '_ {
        let acts = move |h: &&Held<MemberRow>| !h.row.lapsed || now - h.heard < STILL_ACTS;
        self.members.values().filter(acts).map(|h| &*h.row)
    }

    /// How many limiters may act.
    pub fn limiters(&self, now: Millis) -> u32 {
        self.acting(now).count() as u32
    }
}

trait SubToZero {
    fn sub_to_zero(self, by: f64) -> u32;
}

impl SubToZero for f64 {
    fn sub_to_zero(self, by: f64) -> u32 {
        (self - by).max(0.0) as u32
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_core::{RngCore, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    fn server(id: &str, calls: u64, state: u32) -> ServerRow {
        let address = format!("10.0.0.{}:80", id.len());
        ServerRow { id: id.into(), service: "s".into(), address, calls, state, ..ServerRow::default() }
    }

    fn book(epoch: u64) -> Book {
        Book::new(epoch, 1500.0, 0.0)
    }

    fn states(book: &Book) -> Vec<(String, u32, bool, u64)> {
        book.servers(0.0).map(|(r, _)| (r.id.clone(), r.state, r.silent, r.calls)).collect()
    }

    #[test]
    fn rows_merge_alike_in_any_order_and_however_often() {
        for seed in 0..300 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut rows = Vec::new();
            for _ in 0..12 {
                let row = server(
                    ["a", "bb"][rng.next_u32() as usize % 2],
                    1 + rng.next_u64() % 5,
                    rng.next_u32() % 3,
                );
                // One life's words of one number are one word; only the silence is added by others.
                let state = if row.calls < 4 { 0 } else { row.state };
                let service = ["s", "t"][rng.next_u32() as usize % 2].to_owned();
                let row = ServerRow { state, service, ..row };
                rows.push(ServerRow { silent: rng.next_u32() % 4 == 0, ..row });
            }
            let mut orders: [Vec<usize>; 2] = [(0..12).collect(), (0..12).chain(0..12).collect()];
            for order in &mut orders {
                for i in (1..order.len()).rev() {
                    order.swap(i, rng.next_u64() as usize % (i + 1));
                }
            }
            let books = orders.map(|order| {
                let mut book = book(1);
                order.iter().for_each(|i| _ = book.server(1.0, &rows[*i]));
                (states(&book), book.digest())
            });
            assert_eq!(books[0], books[1], "seed {seed}");
        }
    }

    #[test]
    fn what_was_seen_of_servers_merges_alike_in_any_order_and_old_words_change_nothing() {
        let seen = |book: &Book| -> Vec<(String, u64, u32)> {
            book.notices(0.0).map(|(r, _)| (format!("{}{}", r.server, r.observer), r.life, r.seq)).collect()
        };
        for seed in 0..200 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut pick = |of: u32| rng.next_u32() % of;
            let rows: Vec<NoticeRow> = (0..16)
                .map(|_| NoticeRow {
                    server: ["a", "bb"][pick(2) as usize].into(),
                    observer: ["x", "y"][pick(2) as usize].into(),
                    life: u64::from(pick(2)),
                    seq: 1 + pick(6),
                    ..NoticeRow::default()
                })
                .collect();
            let mut again: Vec<usize> = (0..16).chain(0..16).collect();
            for i in (1..again.len()).rev() {
                again.swap(i, pick(1 + i as u32) as usize);
            }
            let (mut once, mut mixed, mut passed) = (book(1), book(2), book(3));
            rows.iter().for_each(|row| _ = once.notice(1.0, row));
            again.iter().for_each(|i| _ = mixed.notice(1.0, &rows[*i]));
            passed.merge(1.0, &mixed.since(1.0, 0, 0, false));
            assert_eq!(seen(&once), seen(&mixed), "seed {seed}");
            assert_eq!(seen(&once), seen(&passed), "seed {seed}");
            let before = once.changes();
            rows.iter().for_each(|row| _ = once.notice(20_000.0, row));
            assert_eq!(once.changes(), before, "seed {seed}: repeated later, they are as old as they were");
        }
        let mut book = book(1);
        let row = NoticeRow { server: "a".into(), observer: "x".into(), seq: 1, ..NoticeRow::default() };
        book.notice(0.0, &row);
        assert!(book.notices(NOTICE + 1.0).next().is_none(), "it has faded");
        let late = NoticeRow { seq: 2, ago: NOTICE as u32, ..row };
        assert_eq!(book.notice(NOTICE + 2.0, &late), Word::Same);
    }

    #[test]
    fn a_late_word_never_brings_back_what_drains_or_has_left() {
        let mut book = book(1);
        book.server(0.0, &server("a", 1, server_state::READY));
        book.server(1.0, &server("a", 5, server_state::DRAINING));
        assert_eq!(book.server(2.0, &server("a", 4, server_state::READY)), Word::Same);
        assert_eq!(book.server(2.0, &server("a", 6, server_state::READY)), Word::Same, "it drains for good");
        book.leaves(3.0, "a");
        book.server(4.0, &server("a", 9, server_state::DRAINING));
        assert_eq!(states(&book)[0].1, server_state::LEFT);
        book.leaves(4.0, "never heard of");
        book.server(5.0, &server("never heard of", 3, server_state::READY));
        assert_eq!(states(&book)[1].1, server_state::LEFT);
    }

    #[test]
    fn two_servers_under_one_id_are_kept_apart_until_one_falls_silent() {
        let forged = |calls| ServerRow { service: "other".into(), ..server("a", calls, 0) };
        let mut book = book(1);
        book.server(0.0, &server("a", 3, 0));
        let honest = book.digest();
        assert!(matches!(book.server(1.0, &forged(900)), Word::Changes(_)));
        assert_eq!(states(&book).len(), 2, "a higher number takes nobody's place");
        assert_ne!(book.digest(), honest);
        book.server(4000.0, &server("a", 4, 0));
        assert!(book.look(5600.0, Some(5600.0)), "the forged one is silent");
        assert_eq!(book.digest(), honest);
        // It has left under each of its claims, also those that come late.
        book.leaves(5700.0, "a");
        book.server(5800.0, &ServerRow { address: "10.9.9.9:1".into(), ..forged(901) });
        assert!(states(&book).iter().all(|s| s.1 == server_state::LEFT) && book.digest() == 0);
    }

    #[test]
    fn silence_is_told_once_and_ends_with_a_word() {
        let mut book = book(1);
        book.server(0.0, &server("a", 1, 0));
        assert!(!book.look(5400.0, Some(5400.0)), "three words and a second");
        assert!(!book.look(5600.0, None), "who was not awake says nothing");
        assert!(book.look(5600.0, Some(5600.0)));
        assert!(!book.look(5700.0, Some(5700.0)));
        assert_eq!(states(&book), [("a".into(), 0, true, 1)]);
        assert!(matches!(book.server(6000.0, &server("a", 2, 0)), Word::Changes(_)));
        assert_eq!(states(&book), [("a".into(), 0, false, 2)]);
    }

    #[test]
    fn a_follower_asks_for_what_it_lacks_and_starts_anew_with_a_new_life() {
        let (mut teller, mut follower) = (book(7), book(8));
        teller.server(0.0, &server("a", 1, 0));
        let all = teller.since(10.0, 0, 0, false);
        assert!(all.whole);
        follower.merge(10.0, &all);
        assert!(!teller.has_news(all.epoch, all.seen, false, true));
        teller.server(20.0, &server("a", 2, 0));
        assert!(!teller.has_news(all.epoch, all.seen, false, true), "a word that changes nothing");
        assert!(teller.has_news(all.epoch, all.seen, true, true));
        // What a limiter saw of a server changes no list: who hears of it elsewhere is not woken.
        let before = teller.changes();
        let notice =
            NoticeRow { server: "a".into(), observer: "edge-1".into(), seq: 1, ..NoticeRow::default() };
        assert!(matches!(teller.notice(25.0, &notice), Word::Changes(_)) && teller.changes() == before);
        assert!(!teller.has_news(all.epoch, all.seen, false, false));
        teller.server(30.0, &server("a", 3, server_state::DRAINING));
        let news = teller.since(30.0, all.epoch, all.seen, false);
        assert!(!news.whole && news.servers.len() == 1);
        assert!(follower.merge(30.0, &news));
        assert_eq!(states(&follower)[0].1, server_state::DRAINING);
        assert!(book(9).has_news(all.epoch, all.seen, false, true), "another life");
    }

    #[test]
    fn a_whole_list_of_a_teller_that_knows_all_ends_what_it_lacks() {
        let (mut teller, mut follower) = (book(7), book(8));
        follower.server(0.0, &server("old", 1, 0));
        teller.server(0.0, &server("a", 1, 0));
        follower.merge(1000.0, &teller.since(1000.0, 0, 0, false));
        assert!(states(&follower).iter().all(|s| !s.2), "the teller began just now and knows little");
        follower.merge(9000.0, &teller.since(9000.0, 0, 0, false));
        assert_eq!(states(&follower), [("a".into(), 0, false, 1), ("old".into(), 0, true, 1)]);
    }

    #[test]
    fn a_limiter_is_a_member_while_its_session_stands_and_counts_a_while_longer() {
        let mut book = book(1);
        let row = MemberRow { name: "e1".into(), life: 5, beat: 1, state: 1, ..MemberRow::default() };
        assert!(matches!(book.member(0.0, &row), Word::Changes(_)));
        assert_eq!(book.member(400.0, &MemberRow { beat: 2, ..row.clone() }), Word::Same);
        assert!(!book.look(2000.0, Some(2000.0)));
        assert!(book.look(2200.0, Some(2200.0)), "no word for longer than a session");
        assert_eq!(book.limiters(2200.0), 1, "it may still act");
        assert_eq!(book.limiters(2200.0 + STILL_ACTS), 0);
        // A new life that was heard later takes the place of the old one, and the old one's late word does not.
        assert!(matches!(book.member(3000.0, &MemberRow { life: 6, ..row.clone() }), Word::Changes(_)));
        book.member(3100.0, &MemberRow { beat: 9, heard_ago: 2000, ..row });
        assert_eq!(book.members(3100.0).next().map(|(r, _)| r.life), Some(6));
    }
}
