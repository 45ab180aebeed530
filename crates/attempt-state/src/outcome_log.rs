//! What became of tries that may run once: kept where they were handled, for a while, and merged when
//! somebody asks.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A point or span on the keeper's own clock, ms.
pub type Millis = f64;

/// What became of a try, by rising weight: where several know of one, the heaviest word counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fate {
    /// It has not run and never will.
    NotRun,
    /// Nobody can tell any more whether it ran.
    Unknown,
    /// A server has it.
    Running,
    /// It ran; its answer was no success.
    Failed,
    /// It ran, and a success was read whole.
    Done,
}

/// Each fate with its number between processes and its words.
const TABLE: [(Fate, u32, &str); 5] = [
    (Fate::NotRun, 1, "did not run"),
    (Fate::Unknown, 2, "unknown"),
    (Fate::Running, 3, "running"),
    (Fate::Failed, 4, "ran and failed"),
    (Fate::Done, 5, "done"),
];

impl Fate {
    /// Its words.
    pub fn text(self) -> &'static str {
        TABLE.iter().find(|row| row.0 == self).map_or("unknown", |row| row.2)
    }

    /// Its number between processes.
    pub fn number(self) -> u32 {
        TABLE.iter().find(|row| row.0 == self).map_or(0, |row| row.1)
    }

    /// The fate of a number; none for one that this version does not know.
    pub fn of(number: u32) -> Option<Fate> {
        TABLE.iter().find(|row| row.1 == number).map(|row| row.0)
    }

    /// It ran for certain.
    pub fn ran(self) -> bool {
        self >= Fate::Failed
    }

    /// Whether a keeper's own later word takes this one's place. That it ran is never taken back; neither is
    /// that nobody can tell, unless by an answer that came late.
    fn gives_way_to(self, later: Fate) -> bool {
        match self {
            Fate::Done | Fate::Failed => false,
            Fate::Unknown => later.ran(),
            Fate::Running => later != Fate::Running,
            Fate::NotRun => true,
        }
    }
}

/// What one keeper knows of a try.
#[derive(Clone, Debug, PartialEq)]
pub struct Known {
    /// What became of it.
    pub fate: Fate,
    /// Why, in few words.
    pub why: &'static str,
    /// The server's life; empty where it went to none.
    pub server: Arc<str>,
    /// Since when this is known.
    pub at: Millis,
}

/// How much is kept.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Tries.
    pub most: usize,
    /// For how long, ms, from a try's last word.
    pub keep: Millis,
    /// A try or server with a longer name, bytes, is not kept.
    pub longest: usize,
}

impl Default for Bounds {
    /// 4,096 tries of a minute; with names of 128 bytes at most that is 1.6 MB if all are the longest.
    fn default() -> Self {
        Bounds { most: 4096, keep: 60_000.0, longest: 128 }
    }
}

struct Kept {
    known: Known,
    /// Counts the words: an older place in the row of ages is passed over.
    word: u64,
}

/// The fates of tries, by id.
pub struct Outcomes {
    bounds: Bounds,
    kept: HashMap<Arc<str>, Kept>,
    /// Words by age.
    ages: VecDeque<(Millis, u64, Arc<str>)>,
    words: u64,
    left_out: u64,
}

impl Outcomes {
    /// Nothing is known yet.
    pub fn new(bounds: Bounds) -> Self {
        Outcomes { bounds, kept: HashMap::new(), ages: VecDeque::new(), words: 0, left_out: 0 }
    }

    /// How many tries are kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Words that were not kept, or not for their whole time, for want of room.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }

    /// Takes in what became of a try.
    pub fn note(&mut self, now: Millis, id: &str, fate: Fate, why: &'static str, server: &Arc<str>) {
        self.expire(now);
        if id.is_empty() || id.len().max(server.len()) > self.bounds.longest {
            self.left_out += 1;
            return;
        }
        let known = Known { fate, why, server: server.clone(), at: now };
        let word = self.words + 1;
        let name: Arc<str> = match self.kept.get_key_value(id) {
            Some((_, kept)) if !kept.known.fate.gives_way_to(fate) => return,
            Some((name, _)) => name.clone(),
            // A flood of what was refused must not push out what may have run.
            None if fate == Fate::NotRun && 2 * self.kept.len() >= self.bounds.most => {
                self.left_out += 1;
                return;
            }
            None => id.into(),
        };
        self.words = word;
        self.kept.insert(name.clone(), Kept { known, word });
        self.ages.push_back((now, word, name));
        while self.kept.len() > self.bounds.most {
            if self.drop_oldest() {
                self.left_out += 1;
            }
        }
        // Each try has a few words at most; the row of their ages is bounded all the same.
        while self.ages.len() > 4 * self.bounds.most {
            self.drop_oldest();
        }
    }

    /// What is known of a try.
    pub fn get(&mut self, now: Millis, id: &str) -> Option<&Known> {
        self.expire(now);
        self.kept.get(id).map(|kept| &kept.known)
    }

    fn expire(&mut self, now: Millis) {
        while self.ages.front().is_some_and(|(at, _, _)| now - at > self.bounds.keep) {
            self.drop_oldest();
        }
    }

    /// Drops the oldest word; whether a try went with it.
    fn drop_oldest(&mut self) -> bool {
        let Some((_, word, id)) = self.ages.pop_front() else { return false };
        let is_last = self.kept.get(&id).is_some_and(|kept| kept.word == word);
        if is_last {
            self.kept.remove(&id);
        }
        is_last
    }
}

/// What a proxy says of a try.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    /// The proxy.
    pub proxy: String,
    /// What became of it there.
    pub fate: Fate,
    /// Why.
    pub why: String,
    /// The server's life.
    pub server: String,
    /// How long ago that was known, ms.
    pub age: Millis,
}

/// What all proxies that were asked say together.
#[derive(Clone, Debug, PartialEq)]
pub struct Merged {
    /// The heaviest word; none: nobody knows the try.
    pub fate: Option<Fate>,
    /// It ran at more than one: what must never be.
    pub alarm: bool,
    /// Each word, the heaviest first, one for each proxy.
    pub said: Vec<Said>,
}

/// Merges what proxies say: in whichever order and however often it comes, the result is the same.
pub fn merge(said: impl IntoIterator<Item = Said>) -> Merged {
    let mut by: Vec<Said> = Vec::new();
    for one in said {
        match by.iter_mut().find(|s| s.proxy == one.proxy) {
            Some(s) if rank(&one) > rank(s) => *s = one,
            Some(_) => {}
            None => by.push(one),
        }
    }
    by.sort_by(|a, b| rank(b).cmp(&rank(a)).then_with(|| a.proxy.cmp(&b.proxy)));
    let alarm = by.iter().filter(|s| s.fate.ran()).count() > 1;
    Merged { fate: by.first().map(|s| s.fate), alarm, said: by }
}

/// The heavier word of one proxy, and of alike ones the younger.
fn rank(said: &Said) -> (Fate, std::cmp::Reverse<u64>, &str, &str) {
    (said.fate, std::cmp::Reverse(said.age.max(0.0) as u64), &said.server, &said.why)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_core::{RngCore, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    const FATES: [Fate; 5] = [Fate::NotRun, Fate::Unknown, Fate::Running, Fate::Failed, Fate::Done];

    fn server() -> Arc<str> {
        "i-1".into()
    }

    #[test]
    fn a_late_answer_settles_what_was_unknown_and_nothing_takes_it_back() {
        let mut kept = Outcomes::new(Bounds::default());
        let mut fate = |fate| {
            kept.note(1.0, "a", fate, "", &server());
            kept.get(1.0, "a").map(|k| k.fate)
        };
        for (said, known) in [
            (Fate::NotRun, Fate::NotRun),
            (Fate::Running, Fate::Running),
            (Fate::Unknown, Fate::Unknown),
            (Fate::NotRun, Fate::Unknown),
            (Fate::Running, Fate::Unknown),
            (Fate::Done, Fate::Done),
            (Fate::Failed, Fate::Done),
        ] {
            assert_eq!(fate(said), Some(known), "{said:?}");
        }
    }

    #[test]
    fn what_is_kept_is_bounded_in_time_and_number_and_refusals_push_nothing_out() {
        let bounds = Bounds { most: 100, keep: 1000.0, longest: 8 };
        let mut kept = Outcomes::new(bounds);
        kept.note(0.0, "first", Fate::Running, "", &server());
        kept.note(900.0, "first", Fate::Done, "", &server());
        assert!(kept.get(1500.0, "first").is_some(), "its time runs from its last word");
        assert!(kept.get(1901.0, "first").is_none());
        (0..90).for_each(|n| kept.note(2000.0, &format!("r{n}"), Fate::Running, "", &server()));
        (0..5000).for_each(|n| kept.note(2001.0, &format!("n{n}"), Fate::NotRun, "", &server()));
        assert!(kept.len() == 90 && kept.left_out() == 5000);
        (0..5000).for_each(|n| kept.note(2002.0, &format!("d{n}"), Fate::Done, "", &server()));
        assert!(kept.len() == 100 && kept.ages.len() <= 400);
        assert!(kept.get(2002.0, "d4999").is_some() && kept.get(2002.0, "d4899").is_none());
        kept.note(2002.0, "far too long", Fate::Done, "", &server());
        assert!(kept.get(2002.0, "far too long").is_none());
        assert!(kept.get(3003.0, "d4999").is_none() && kept.is_empty() && kept.ages.is_empty());
    }

    #[test]
    fn words_of_proxies_merge_alike_in_any_order_and_two_that_ran_it_are_an_alarm() {
        for seed in 0..500 {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut said: Vec<Said> = (0..6)
                .map(|_| Said {
                    proxy: format!("edge-{}", rng.next_u32() % 4),
                    fate: FATES[rng.next_u32() as usize % 5],
                    why: String::new(),
                    server: format!("i-{}", rng.next_u32() % 2),
                    age: f64::from(rng.next_u32() % 3),
                })
                .collect();
            let merged = merge(said.clone());
            // By another way: the heaviest of all, and how many proxies have one that ran.
            let heaviest = said.iter().map(|s| s.fate.number()).max();
            let proxies: std::collections::BTreeSet<&str> =
                said.iter().filter(|s| s.fate.number() >= 4).map(|s| s.proxy.as_str()).collect();
            assert_eq!(merged.fate.map(Fate::number), heaviest, "seed {seed}");
            assert_eq!(merged.alarm, proxies.len() > 1, "seed {seed}");
            for i in (1..said.len()).rev() {
                said.swap(i, rng.next_u64() as usize % (i + 1));
            }
            let twice = said.iter().chain(&said).cloned();
            assert_eq!(merge(twice), merged, "seed {seed}");
        }
        assert!(FATES.iter().all(|f| Fate::of(f.number()) == Some(*f)) && Fate::of(0).is_none());
    }
}
