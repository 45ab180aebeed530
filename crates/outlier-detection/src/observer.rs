//! What one proxy sees of servers, and what of it the others should know.

use crate::{End, Millis, Notice, Weight, CALM, DOUBT, FADES, MOST, TELL};
use std::collections::BTreeMap;

/// Of a well server at most this share of attempts fails, of one that has to be left at least that share, and
/// so many times the share that fails at the other servers of the service: what fails everywhere is load, or
/// the way there.
const FAILS_WELL: f64 = 0.02;
const FAILS_ILL: f64 = 0.4;
const FAILS_TIMES: f64 = 2.5;
/// The others' share counts up to this, from attempts of the last so many ms, and as if so many more had been
/// served.
const OTHERS_MOST: f64 = 0.34;
const OTHERS_FADE: Millis = 5000.0;
const OTHERS_PRIOR: f64 = 4.0;
/// So many failures of others are accidents.
const OTHERS_ACCIDENTS: f64 = 1.5;
/// An answer is slow beyond so many medians of its class over all servers of the service, and so many ms.
const SLOW_TIMES: f64 = 3.5;
const SLOW_LEAST: Millis = 40.0;
/// A server that has always been slower than others is measured by itself, up to this.
const OWN_MOST: f64 = 2.0;
/// A slow server gives so much larger a share of slow answers than is usual for the class.
const SLOW_MORE: f64 = 0.6;
/// Steps by which the median, the usual share of slow answers and a server's own pace follow.
const MEDIAN_STEP: f64 = 0.05;
const SHARE_STEP: f64 = 0.02;
const PACE_STEP: f64 = 0.05;
/// What is told is told anew once it is so far off, and one server not more often than this, ms.
pub const MATERIAL: f64 = 2.0;
const AGAIN: Millis = 700.0;
/// Who knows so much good of a server that others complain of says so.
const SPEAKS_FOR: f64 = -1.5;
/// A server that was not met for this long, ms, is forgotten.
const FORGET: Millis = 60_000.0;
/// A server was met of late within this, ms.
const OF_LATE: Millis = 4000.0;

/// The usual of one class of requests at one service.
#[derive(Clone, Copy, Debug)]
struct Usual {
    /// Logarithm of the median answer time.
    median: f64,
    /// Share of answers that are slow.
    slow: f64,
}

/// Attempts and failures among them, fading.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    tries: f64,
    bad: f64,
    at: Millis,
}

impl Share {
    fn add(&mut self, now: Millis, bad: bool) {
        let keep = (-(now - self.at).max(0.0) / OTHERS_FADE).exp();
        let bad = f64::from(u8::from(bad));
        *self = Share { tries: self.tries * keep + 1.0, bad: self.bad * keep + bad, at: now };
    }

    /// What of this is not of `one`, as a share.
    fn without(&self, now: Millis, one: &Share) -> f64 {
        let keep = |s: &Share| (-(now - s.at).max(0.0) / OTHERS_FADE).exp();
        let bad = (self.bad * keep(self) - one.bad * keep(one) - OTHERS_ACCIDENTS).max(0.0);
        let tries = (self.tries * keep(self) - one.tries * keep(one)).max(0.0);
        bad / (tries + OTHERS_PRIOR)
    }
}

/// One server, as seen from here.
#[derive(Clone, Debug, Default)]
struct Own {
    service: String,
    share: Share,
    failing: Weight,
    slow: Weight,
    unreached: f64,
    /// What the weights are as of.
    at: Millis,
    met: Millis,
    /// Logarithm of how much slower than others it is when it is well.
    pace: f64,
    /// It is not well since then, as the judge says.
    ill_since: Option<Millis>,
    goods: u32,
    told: Option<Notice>,
}

impl Own {
    fn bring_to(&mut self, now: Millis) {
        let span = now - self.at;
        (self.failing, self.slow) = (self.failing.faded(span), self.slow.faded(span));
        self.unreached *= (-span.max(0.0) / FADES[1]).exp();
        self.at = now;
    }

    /// How much speaks against it, from here.
    fn against(&self) -> f64 {
        let unreached = if self.unreached > 0.9 { TELL } else { 0.0 };
        self.failing.most().max(self.slow.most()).max(unreached)
    }

    fn for_it(&self) -> f64 {
        self.failing.least().min(self.slow.least())
    }

    /// Whether what was told of it is too far off.
    fn moved(&self, now: Millis) -> bool {
        let Some(told) = &self.told else { return true };
        let span = now - told.at;
        self.failing.far_from(told.failing.faded(span))
            || self.slow.far_from(told.slow.faded(span))
            || self.unreached > told.unreached + 0.9
            || self.goods != told.goods
    }
}

/// One proxy's own evidence.
#[derive(Clone, Debug, Default)]
pub struct Eye {
    usual: BTreeMap<(String, String), Usual>,
    own: BTreeMap<String, Own>,
    /// By service.
    shares: BTreeMap<String, Share>,
}

/// What is seen of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Seen<'a> {
    /// Its service.
    pub service: &'a str,
    /// Its class.
    pub class: &'a str,
    /// Its server.
    pub server: &'a str,
    /// How it ended.
    pub end: End,
    /// How long it took.
    pub took: Millis,
    /// The server was warm.
    pub warm: bool,
}

impl Eye {
    /// Takes in the end of an attempt.
    pub fn saw(&mut self, now: Millis, seen: &Seen<'_>) {
        // One that is cold is slow for that, and may fall over for that; who is full has work.
        if !seen.warm || seen.end == End::Nothing {
            return;
        }
        if !self.own.contains_key(seen.server) {
            let own = Own { service: seen.service.to_owned(), at: now, ..Own::default() };
            self.own.insert(seen.server.to_owned(), own);
        }
        let Some(own) = self.own.get_mut(seen.server) else { return };
        own.bring_to(now);
        own.met = now;
        let ends_well = seen.end == End::Well;
        let of_all = self.shares.entry(seen.service.to_owned()).or_default();
        let others = of_all.without(now, &own.share).min(OTHERS_MOST);
        if ends_well || seen.end == End::Ill {
            own.share.add(now, !ends_well);
            of_all.add(now, !ends_well);
        }
        let usual = FAILS_WELL.max(others);
        let ill = FAILS_ILL.max(FAILS_TIMES * usual);
        match seen.end {
            End::Unreached => (own.unreached, own.goods) = (own.unreached + 1.0, 0),
            End::Ill => {
                own.failing.add((ill / usual).ln());
                own.goods = 0;
            }
            End::Well => {
                own.failing.add(((1.0 - ill) / (1.0 - usual)).ln());
                own.unreached = 0.0;
            }
            End::CalledOff | End::Nothing => {}
        }
        if !matches!(seen.end, End::Well | End::CalledOff) {
            return;
        }
        let took = seen.took.max(1.0).ln();
        let key = (seen.service.to_owned(), seen.class.to_owned());
        let usual = self.usual.entry(key).or_insert(Usual { median: took, slow: 0.08 });
        let pace = own.pace.clamp(0.0, OWN_MOST.ln());
        let line = (usual.median + pace).exp();
        let slow = seen.took > SLOW_TIMES * line && seen.took > line + SLOW_LEAST;
        if !slow && seen.end == End::CalledOff {
            return;
        }
        // What is usual is learnt from servers that nothing speaks against, as far as there are such: under
        // load all are slow, and that is usual then.
        let suspect = own.slow.most() >= CALM;
        let before = usual.slow.clamp(0.03, 0.3);
        usual.median += MEDIAN_STEP * (took - usual.median).signum();
        if !suspect {
            usual.slow += SHARE_STEP * (f64::from(u8::from(slow)) - usual.slow);
            own.pace += if slow { 0.0 } else { PACE_STEP * (took - usual.median - own.pace) };
        }
        let ill = before + SLOW_MORE;
        own.slow.add(if slow { (ill / before).ln() } else { ((1.0 - ill) / (1.0 - before)).ln() });
        if slow {
            own.goods = 0;
        } else if own.ill_since.is_some_and(|since| now - seen.took > since) {
            own.goods = (own.goods + 1).min(20);
        }
    }

    /// What the judge says now: these are not well, since then.
    pub fn judged(&mut self, ill: &BTreeMap<String, Millis>) {
        for (id, own) in &mut self.own {
            let since = ill.get(id).copied();
            if since.is_none() || own.ill_since.is_none() {
                own.goods = 0;
            }
            own.ill_since = since;
        }
    }

    /// What is to be told now, worst first. `contested`: somebody else complains of that server.
    pub fn tell(&mut self, now: Millis, contested: impl Fn(&str) -> bool) -> Vec<Notice> {
        self.own.retain(|_, own| now - own.met < FORGET);
        let mut met: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for own in self.own.values_mut() {
            own.bring_to(now);
        }
        for own in self.own.values().filter(|own| now - own.met < OF_LATE) {
            let of = met.entry(&own.service).or_default();
            of.0 += 1;
            of.1 += usize::from(own.against() >= TELL);
        }
        // Most of a service is no server's illness: it is load, or the way there.
        let loaded = |service: &str| met.get(service).is_some_and(|(all, bad)| *bad > 2 && 2 * bad > *all);
        let told = |own: &Own| own.told.as_ref().is_some_and(|t| now - t.at < 2.0 * FADES[1]);
        let mut want: Vec<(f64, String)> = Vec::new();
        let mut standing = 0;
        for (id, own) in &self.own {
            let said = told(own);
            standing += usize::from(said);
            let complains = own.against() >= TELL && !loaded(&own.service);
            let speaks_for =
                (contested(id) || own.ill_since.is_some()) && (own.for_it() <= SPEAKS_FOR || own.goods > 0);
            let takes_back = said && own.against() < TELL && own.ill_since.is_some();
            // What has become grave is told at once.
            let grave = |t: &Notice| own.against() >= DOUBT && t.failing.most().max(t.slow.most()) < DOUBT;
            let rested = own.told.as_ref().is_none_or(|t| now - t.at >= AGAIN || grave(t));
            if (complains || speaks_for || takes_back) && own.moved(now) && rested {
                want.push((own.against(), id.clone()));
            }
        }
        want.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut notices = Vec::new();
        for (_, id) in want {
            let Some(own) = self.own.get_mut(&id) else { continue };
            if !told(own) {
                if standing >= MOST {
                    continue;
                }
                standing += 1;
            }
            let notice = Notice {
                server: id,
                observer: String::new(),
                failing: own.failing,
                slow: own.slow,
                unreached: own.unreached,
                goods: own.goods,
                at: now,
            };
            own.told = Some(notice.clone());
            notices.push(notice);
        }
        notices
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn see(eye: &mut Eye, now: Millis, server: &str, end: End, took: Millis) {
        let (service, class) = ("s", "c");
        eye.saw(now, &Seen { service, class, server, end, took, warm: true });
    }

    fn well(eye: &mut Eye, until: Millis) {
        for n in 0..200 {
            see(eye, until - 20_000.0 + f64::from(n) * 100.0, &format!("i-{}", n % 8), End::Well, 100.0);
        }
    }

    #[test]
    fn one_failure_of_a_server_known_well_is_kept_and_two_are_told_at_once() {
        let mut eye = Eye::default();
        well(&mut eye, 20_000.0);
        see(&mut eye, 20_001.0, "i-1", End::Ill, 2.0);
        assert_eq!(eye.tell(20_001.0, |_| false), []);
        see(&mut eye, 20_300.0, "i-1", End::Ill, 2.0);
        let told = eye.tell(20_300.0, |_| false);
        assert_eq!(told.iter().map(|n| n.server.as_str()).collect::<Vec<_>>(), ["i-1"]);
        assert_eq!(eye.tell(20_350.0, |_| false), [], "it was told");
        assert_eq!(eye.tell(20_350.0, |id| id == "i-2").len(), 1, "who knows better of another says so");
    }

    #[test]
    fn load_cold_and_full_servers_are_no_evidence() {
        let mut eye = Eye::default();
        well(&mut eye, 20_000.0);
        for n in 0..400 {
            let (now, server) = (20_000.0 + f64::from(n) * 50.0, format!("i-{}", n % 8));
            // All take four times as long, from one moment to the next.
            see(&mut eye, now, &server, End::Well, 400.0);
            assert_eq!(eye.tell(now, |_| false), [], "at {n}");
            see(&mut eye, now, &server, End::Nothing, 1.0);
            let (service, class) = ("s", "c");
            eye.saw(now, &Seen { service, class, server: "new", end: End::Ill, took: 3000.0, warm: false });
        }
    }

    #[test]
    fn a_server_slower_than_it_was_and_than_others_is_told_and_one_that_always_was_is_not() {
        let mut eye = Eye::default();
        let mut first = None;
        for n in 0..600u32 {
            let (now, server) = (f64::from(n) * 50.0, n % 8);
            let took = [200.0, if n > 400 { 400.0 } else { 100.0 }, 100.0][server.min(2) as usize];
            see(&mut eye, now, &format!("i-{server}"), End::Well, took);
            for notice in eye.tell(now, |_| false) {
                assert_eq!(notice.server, "i-1");
                first = first.or(Some(n));
            }
        }
        assert!(first.is_some_and(|n| n < 400 + 4 * 8), "{first:?}");
    }
}
