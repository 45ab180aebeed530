//! Whether a follower and its teller know the same, and what to do where they do not. Time is handed in.
//!
//! News can be lost in ways that no count shows: a teller's book was wiped, or an end was inferred from a
//! list that lacked somebody. Both sides give the digest of what they know. Where they differ at one edition,
//! with all news taken in, and stay so for longer than news travels, the follower takes everything anew.

use crate::state::Millis;

/// News passes within this, ms: who differs for longer takes everything anew.
pub const SNAPSHOT_AFTER: Millis = 3000.0;
/// Two processes in touch name different owners for no longer than this, ms. Who has not been found to agree
/// for longer gives no confirmations for contested names.
pub const DIFFER_MOST: Millis = 5000.0;
/// A snapshot that did not help is followed by the next after twice the time, up to this, ms: the teller may
/// lack something that others know.
const LONGEST_PAUSE: Millis = 48_000.0;

/// How one follower stands with its teller.
#[derive(Clone, Copy, Debug)]
pub struct Agreement {
    agreed: Millis,
    differs: Option<Millis>,
    pause: Millis,
}

impl Agreement {
    /// A process that begins now differs from nobody yet.
    pub fn new(now: Millis) -> Self {
        Agreement { agreed: now, differs: None, pause: SNAPSHOT_AFTER }
    }

    /// All of the teller's news were taken in, and left the same here as there, or not. Whether to take
    /// everything anew.
    pub fn heard(&mut self, now: Millis, same: bool) -> bool {
        if same {
            *self = Agreement::new(now);
            return false;
        }
        let since = *self.differs.get_or_insert(now);
        let takes = now - since >= self.pause;
        if takes {
            (self.differs, self.pause) = (Some(now), (2.0 * self.pause).min(LONGEST_PAUSE));
        }
        takes
    }

    /// It was not found to agree for too long, whether it differs or hears nothing.
    pub fn is_past(&self, now: Millis) -> bool {
        now - self.agreed > DIFFER_MOST
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::ServerRow;
    use crate::state::Book;

    #[test]
    fn an_end_that_was_inferred_from_a_teller_that_lacked_a_server_is_taken_back() {
        let row = |calls| ServerRow { id: "a".into(), calls, ..ServerRow::default() };
        let other = ServerRow { id: "b".into(), calls: 1, ..ServerRow::default() };
        for repairs in [true, false] {
            let (mut teller, mut follower) = (Book::new(1, 1500.0, 0.0), Book::new(2, 1500.0, 0.0));
            teller.server(0.0, &other);
            follower.server(0.0, &row(7));
            // Warm, and yet it has not heard of this one: the follower takes it for gone.
            follower.merge(9000.0, &teller.since(9000.0, 0, 0, false));
            let (mut place, mut at) = ((1, teller.count()), Agreement::new(9000.0));
            let mut mended = None;
            for tick in 0..100u32 {
                let now = 9000.0 + f64::from(tick) * 300.0;
                if tick % 5 == 0 {
                    // The first word is the one that the follower knows: it says nothing new there.
                    teller.server(now, &row(u64::from(7 + tick / 5)));
                }
                let news = teller.since(now, place.0, place.1, false);
                place = (news.epoch, news.seen);
                follower.merge(now, &news);
                if at.heard(now, follower.digest() == news.digest) && repairs {
                    place = (0, 0);
                }
                if follower.digest() == news.digest {
                    mended = mended.or(Some(now - 9000.0));
                }
            }
            let bound = mended.is_some_and(|after| after <= DIFFER_MOST);
            assert_eq!(bound, repairs, "{mended:?}");
        }
    }

    #[test]
    fn who_differs_for_longer_than_news_travels_takes_everything_anew_and_then_more_rarely() {
        let mut at = Agreement::new(0.0);
        let mut taken = Vec::new();
        for tick in 1..400 {
            let now = f64::from(tick) * 100.0;
            if at.heard(now, false) {
                taken.push(now);
            }
            assert_eq!(at.is_past(now), now > DIFFER_MOST, "{now}");
        }
        assert_eq!(taken, [3100.0, 9100.0, 21_100.0]);
        assert!(!at.heard(50_000.0, true) && !at.is_past(54_000.0) && at.is_past(55_100.0));
    }
}
