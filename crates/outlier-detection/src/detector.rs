//! The verdict, from all that proxies have told. Each proxy judges for itself by the same rules; their rows
//! merge, so they come to the same within the way between them.

use crate::{Millis, Notice, Weight, CALM, DOUBT, RELAPSE, SHUN, STALE};
use std::collections::{BTreeMap, BTreeSet};

/// One observer's word counts so much at most: alone it makes a server doubtful and never shunned.
const ONE_SAYS: f64 = 8.0;
/// And so much in a server's favour.
const ONE_PRAISES: f64 = 6.0;
/// Who complains of more servers than this at once is believed the less for each.
const COMPLAINS: f64 = 4.0;
/// Who has no session is believed so much.
const NO_SESSION: f64 = 0.1;
/// What was said before a good answer to one that tries it counts so much of itself, for each of these.
const GOOD: f64 = 0.6;
/// A doubtful server is tried after this, ms, a shunned one after that, doubled each time up to eight times
/// it.
const TRY_DOUBTFUL: Millis = 300.0;
const TRY_SHUNNED: Millis = 1500.0;
const LONGER: u32 = 3;
/// A returning server is well after this, ms.
const RETURNS: Millis = 2000.0;
/// A server that was not shunned for this long, ms, waits as at first.
const FORGIVEN: Millis = 60_000.0;
/// At most one in so many of a service's servers is left, and one of three.
const ONE_IN: usize = 8;

/// So much it counts that one observer does not reach a server.
const UNREACHED: f64 = 4.0;

/// How a server stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Well.
    #[default]
    Well,
    /// It was ill, and is used again a little.
    Returning,
    /// Reads leave it.
    Doubtful,
    /// All leave it.
    Shunned,
}

#[derive(Clone, Copy, Debug, Default)]
struct Case {
    state: State,
    since: Millis,
    /// How often it was shunned of late, and when last.
    times: u32,
    shunned_at: Millis,
    score: f64,
    /// The bound lets it be left.
    borne: bool,
}

impl Case {
    fn wait(&self) -> Millis {
        match self.state {
            State::Shunned => TRY_SHUNNED * f64::from(1 << self.times.saturating_sub(1).min(LONGER)),
            _ => TRY_DOUBTFUL,
        }
    }

    fn turn(&mut self, now: Millis, state: State) {
        if state == State::Shunned && self.state != State::Shunned {
            self.times = if now - self.shunned_at > FORGIVEN { 1 } else { self.times + 1 };
            self.shunned_at = now;
        }
        (self.state, self.since) = (state, now);
    }
}

/// A change of state, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Turn {
    /// The server.
    pub server: String,
    /// Its state now.
    pub state: State,
    /// What speaks against it.
    pub score: f64,
}

/// The states of servers that are not simply well.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    cases: BTreeMap<String, Case>,
}

/// What speaks against each server that notices name.
fn scores(now: Millis, notices: &[Notice], session: &dyn Fn(&str) -> bool) -> BTreeMap<String, f64> {
    let fresh = || notices.iter().filter(|n| now - n.at < STALE);
    let strength = |n: &Notice| {
        let span = now - n.at;
        n.failing.faded(span).most().max(n.slow.faded(span).most())
    };
    let mut complaints: BTreeMap<&str, f64> = BTreeMap::new();
    for n in fresh().filter(|n| strength(n) >= 2.0 || n.unreached > 0.9) {
        *complaints.entry(&n.observer).or_default() += 1.0;
    }
    let belief = |observer: &str| {
        let many = complaints.get(observer).copied().unwrap_or(0.0);
        (COMPLAINS / many.max(1.0)).min(1.0) * if session(observer) { 1.0 } else { NO_SESSION }
    };
    let mut by_server: BTreeMap<&str, Vec<&Notice>> = BTreeMap::new();
    fresh().for_each(|n| by_server.entry(&n.server).or_default().push(n));
    let score = |told: Vec<&Notice>| {
        let goods = |n: &Notice| -> u32 { told.iter().filter(|o| o.at > n.at).map(|o| o.goods).sum() };
        let (mut failing, mut slow, mut unreached) = (Weight::default(), Weight::default(), 0.0);
        let mut deaf = BTreeSet::new();
        for n in &told {
            let (belief, span) = (belief(&n.observer), now - n.at);
            let overcome = GOOD.powi(goods(n).min(20) as i32);
            let part =
                |w: f64| belief * (if w > 0.0 { w * overcome } else { w }).clamp(-ONE_PRAISES, ONE_SAYS);
            for (sum, of) in [(&mut failing, n.failing), (&mut slow, n.slow)] {
                let of = of.faded(span);
                (0..2).for_each(|at| sum.0[at] += part(of.0[at]));
            }
            let lost = n.unreached * (-span.max(0.0) / crate::FADES[1]).exp() * overcome;
            if lost > 0.5 {
                deaf.insert(n.observer.as_str());
                unreached += belief * UNREACHED;
            }
        }
        // One that cannot reach a server may be cut off itself: two have to say so, and what others praise
        // speaks against it.
        let unreached = if deaf.len() > 1 { unreached + failing.least().min(0.0) } else { 0.0 };
        failing.most().max(slow.most()).max(unreached)
    };
    by_server.into_iter().map(|(id, told)| (id.to_owned(), score(told))).collect()
}

impl Judge {
    /// Judges anew. `services`: the ids of each one's servers that may be sent something. `session`: whether
    /// an observer's session stands. What has changed.
    pub fn look(
        &mut self,
        now: Millis,
        notices: &[Notice],
        services: &BTreeMap<String, Vec<String>>,
        session: &dyn Fn(&str) -> bool,
    ) -> Vec<Turn> {
        let scores = scores(now, notices, session);
        for (id, score) in &scores {
            if *score >= DOUBT {
                self.cases.entry(id.clone()).or_default();
            }
        }
        let mut turns = Vec::new();
        for (id, case) in &mut self.cases {
            case.score = scores.get(id).copied().unwrap_or(0.0);
            let (score, stood) = (case.score, now - case.since);
            let next = match case.state {
                State::Well if score >= SHUN => State::Shunned,
                State::Well if score >= DOUBT => State::Doubtful,
                State::Doubtful if score >= SHUN => State::Shunned,
                State::Doubtful if score < CALM => State::Well,
                State::Shunned if score < CALM && stood >= case.wait() => State::Returning,
                State::Returning if score >= RELAPSE => State::Shunned,
                State::Returning if stood >= RETURNS => State::Well,
                state => state,
            };
            if next != case.state {
                case.turn(now, next);
                turns.push(Turn { server: id.clone(), state: next, score });
            }
        }
        self.cases.retain(|_, case| case.state != State::Well || now - case.shunned_at < FORGIVEN);
        // No more are left than the rest bears, the worst first. Where most are ill, leaving some helps
        // nobody.
        self.cases.values_mut().for_each(|case| case.borne = false);
        for ids in services.values() {
            let ill = |id: &&String| self.cases.get(*id).is_some_and(|c| c.state >= State::Doubtful);
            let mut ill: Vec<String> = ids.iter().filter(ill).cloned().collect();
            if 2 * ill.len() > ids.len() {
                continue;
            }
            let badness = |id: &String| self.cases.get(id).map_or(0.0, |c| c.score);
            ill.sort_by(|a, b| badness(b).total_cmp(&badness(a)).then(a.cmp(b)));
            ill.truncate((ids.len() / ONE_IN).max(usize::from(ids.len() > 2)));
            for id in ill {
                if let Some(case) = self.cases.get_mut(&id) {
                    case.borne = true;
                }
            }
        }
        turns
    }

    /// How a server is to be used. Where the bound does not let it be left, as one that is well.
    pub fn state(&self, id: &str) -> State {
        let case = self.cases.get(id);
        let case = case.filter(|c| c.borne || c.state == State::Returning);
        case.map_or(State::Well, |c| c.state)
    }

    /// Whether it is time that somebody tries this server.
    pub fn is_due(&self, now: Millis, id: &str) -> bool {
        let ill = self.cases.get(id).filter(|c| c.borne && c.state >= State::Doubtful);
        ill.is_some_and(|c| now - c.since >= c.wait())
    }

    /// Those that are not well, and since when.
    pub fn ill(&self) -> BTreeMap<String, Millis> {
        let ill = self.cases.iter().filter(|(_, c)| c.state != State::Well);
        ill.map(|(id, c)| (id.clone(), c.since)).collect()
    }

    /// Nothing is known against anybody.
    pub fn is_calm(&self) -> bool {
        self.cases.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn says(observer: &str, server: &str, failing: f64, at: Millis) -> Notice {
        let failing = Weight([failing; 2]);
        Notice { server: server.into(), observer: observer.into(), failing, at, ..Notice::default() }
    }

    fn services(count: usize) -> BTreeMap<String, Vec<String>> {
        [("s".to_owned(), (0..count).map(|n| format!("i-{n}")).collect())].into()
    }

    fn left(judge: &Judge, count: usize) -> usize {
        (0..count).filter(|n| judge.state(&format!("i-{n}")) >= State::Doubtful).count()
    }

    #[test]
    fn two_make_shunned_what_one_alone_makes_doubtful_and_one_who_sees_it_well_holds_that_up() {
        let look = |notices: &[Notice]| {
            let mut judge = Judge::default();
            judge.look(100.0, notices, &services(6), &|_| true);
            judge.state("i-1")
        };
        let (a, b) = (says("a", "i-1", 30.0, 100.0), says("b", "i-1", 9.0, 100.0));
        assert_eq!(look(std::slice::from_ref(&a)), State::Doubtful);
        assert_eq!(look(&[a.clone(), b]), State::Shunned);
        assert_eq!(look(&[a, says("b", "i-1", -2.0, 100.0)]), State::Well, "ill for some callers only");
    }

    #[test]
    fn who_complains_of_the_world_or_has_no_session_condemns_nobody() {
        let world: Vec<Notice> = (0..12).map(|n| says("a", &format!("i-{n}"), 20.0, 0.0)).collect();
        let mut judge = Judge::default();
        judge.look(10.0, &world, &services(30), &|_| true);
        assert!(judge.is_calm());
        judge.look(10.0, &world[..1], &services(30), &|_| false);
        assert!(judge.is_calm());
        judge.look(10.0, &world[..1], &services(30), &|_| true);
        assert!(!judge.is_calm(), "the same of one server by who has a session");
    }

    #[test]
    fn no_more_are_left_than_an_eighth_and_none_where_most_are_ill() {
        for (ill, of, expected) in
            [(1, 9, 1), (3, 9, 1), (4, 9, 1), (5, 9, 0), (9, 9, 0), (1, 2, 0), (1, 3, 1)]
        {
            let told = |n: usize| ["a", "b", "c"].map(|who| says(who, &format!("i-{n}"), 8.0, 0.0));
            let notices: Vec<Notice> = (0..ill).flat_map(told).collect();
            let mut judge = Judge::default();
            judge.look(1.0, &notices, &services(of), &|_| true);
            assert_eq!(left(&judge, of), expected, "{ill} of {of}");
        }
    }

    #[test]
    fn who_cannot_reach_a_server_needs_a_second_that_cannot() {
        let deaf = |who: &str| Notice { unreached: 2.0, ..says(who, "i-1", 0.0, 0.0) };
        let look = |notices: &[Notice]| {
            let mut judge = Judge::default();
            judge.look(1.0, notices, &services(6), &|_| true);
            judge.state("i-1")
        };
        assert_eq!(look(&[deaf("a")]), State::Well);
        assert_eq!(look(&[deaf("a"), deaf("b")]), State::Doubtful);
        assert_eq!(look(&[deaf("a"), deaf("b"), says("c", "i-1", -4.0, 0.0)]), State::Well);
    }

    #[test]
    fn good_answers_bring_it_back_and_a_relapse_lengthens_the_wait() {
        let (mut judge, all) = (Judge::default(), services(6));
        let mut now = 0.0;
        let mut waits = Vec::new();
        for _ in 0..5 {
            let ill = [says("a", "i-1", 8.0, now), says("b", "i-1", 8.0, now)];
            judge.look(now, &ill, &all, &|_| true);
            assert_eq!(judge.state("i-1"), State::Shunned);
            let shunned = now;
            while !judge.is_due(now, "i-1") {
                now += 50.0;
                judge.look(now, &ill, &all, &|_| true);
            }
            waits.push(now - shunned);
            let goods = Notice { goods: 5, ..says("c", "i-1", -1.0, now) };
            judge.look(now, &[ill[0].clone(), ill[1].clone(), goods.clone()], &all, &|_| true);
            assert_eq!(judge.state("i-1"), State::Returning);
        }
        assert_eq!(waits, [1500.0, 3000.0, 6000.0, 12_000.0, 12_000.0]);
    }
}
