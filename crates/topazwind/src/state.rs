//! What a gateway remembers: plain records, without a rule or a value of their own. Who sets and reads
//! them, and why, is in `logic/`.

use crate::interface::*;
use crate::window::Window;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// What this gateway has told the counter under one kind, and what it last read.
#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub(crate) pending: f64,
    pub(crate) in_flight: Option<f64>,
    /// Added without an answer: taken as arrived as far as the next total has risen.
    pub(crate) doubt: f64,
    pub(crate) total: f64,
    pub(crate) epoch: i64,
    pub(crate) read_at: Millis,
    /// The last epoch's name and total, while its closing read is out.
    pub(crate) closing: Option<(CountName, f64)>,
}

/// What is known of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: Plan,
    /// Where its plan stands in the settings.
    pub(crate) of: PlanId,
    pub(crate) spread: f64,
    pub(crate) touched: Millis,
    pub(crate) counts: Window,
    pub(crate) tallies: [Tally; 2],
    pub(crate) last_sync: Millis,
    pub(crate) factor: Option<(Millis, f64)>,
    /// This gateway's part of it, as of the last read.
    pub(crate) share: Option<f64>,

    /// Units missing from the store, as of `drained_at`.
    pub(crate) used: f64,
    pub(crate) drained_at: Millis,
    /// The first read is answered, or the counter has failed it.
    pub(crate) known: bool,
    /// This gateway's own part of the ceiling's store.
    pub(crate) lease: f64,
    pub(crate) open: f64,
    /// Each gateway sees too little of it to batch; its rate last read, units a second, and when.
    pub(crate) thin: bool,
    pub(crate) view: Option<(Millis, f64)>,
}

/// What is known of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) out: f64,
    pub(crate) mean: Millis,
    pub(crate) heard: Millis,
    /// When it was last sent an attempt.
    pub(crate) sent_at: Millis,
    pub(crate) crowd: f64,
    pub(crate) crowd_at: Millis,
    pub(crate) fails: u32,
    /// Answers and failures among them, fading, as of `tried_at`.
    pub(crate) tried: (f64, f64),
    pub(crate) tried_at: Millis,
    pub(crate) unreachable: bool,
    pub(crate) ejections: u32,
    pub(crate) ejected_until: Millis,
    pub(crate) paused_until: Millis,
    /// Attempts that a cold server may be sent now.
    pub(crate) tokens: f64,
    pub(crate) tokens_at: Millis,
}

/// One attempt of an open request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Millis,
    pub(crate) live: bool,
    /// It is not proven that it never ran.
    pub(crate) may_have_run: bool,
    /// Its body has gone out, and it counts as out.
    pub(crate) whole: bool,
}

/// A request that is owed an answer.
#[derive(Default)]
pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) class: Class,
    /// Attempts it may have; 0: no limit.
    pub(crate) tries: u32,
    pub(crate) arrived: Millis,
    pub(crate) aim_at: Millis,
    pub(crate) ends_at: Millis,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) streaming: bool,
    /// Its body cannot be sent again.
    pub(crate) spent: bool,
    pub(crate) beyond: bool,
    /// It waits for its customer's count; it has passed the quota.
    pub(crate) asked: bool,
    pub(crate) passed: bool,
}

/// What is known of the fleet and this gateway's own traffic as a whole.
#[derive(Default)]
pub(crate) struct Flow {
    pub(crate) started: bool,
    /// The part that this process uses of what is a gateway's own.
    pub(crate) part: f64,
    /// Mean answer time of the fleet, and its ratio to the aims.
    pub(crate) mean: Millis,
    pub(crate) slowness: f64,
    /// How long what is known of a server's answer time is kept.
    pub(crate) keep: Millis,
    /// Variance of the fleet's answer times.
    pub(crate) spread: f64,
    /// This gateway keeps to a part of the fleet.
    pub(crate) subset: bool,
    /// Servers on the list that take requests.
    pub(crate) ready: usize,
    /// Nothing is sent before this.
    pub(crate) rest_until: Millis,
    /// Mean reported crowding.
    pub(crate) crowd: f64,
    pub(crate) out: f64,
    pub(crate) limit: f64,
    pub(crate) retries: f64,   // further attempts saved up
    pub(crate) send_rate: f64, // first sends a millisecond, decaying
    pub(crate) sent_at: Millis,
    /// Pause after failed calls to the counter.
    pub(crate) count_pause: Millis,
    pub(crate) count_after: Millis,
    /// When a call was last answered; the counter has been silent since.
    pub(crate) count_ok_at: Millis,
    pub(crate) silent: bool,
    /// After a silence others have not all told yet; they have by then.
    pub(crate) settles_at: Millis,
    /// How many times rarer than usual calls are made, and when that last rose.
    pub(crate) pace: f64,
    pub(crate) paced_at: Millis,
}

/// What quota admission says of a request.
#[derive(PartialEq)]
pub(crate) enum Verdict {
    Within,
    Beyond,
    Wait,
    Refuse,
}

/// A server that a request may go to.
pub(crate) struct Able {
    pub(crate) id: ServerId,
    pub(crate) warmth: f64,
    pub(crate) roll: f64,
}

/// One gateway's decision module.
pub struct Gateway {
    pub(crate) set: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// Customers with something to tell the counter.
    pub(crate) untold: BTreeSet<CustomerId>,
    /// Where the search for customers to forget has come to.
    pub(crate) looked: CustomerId,
    pub(crate) calls: BTreeMap<CountName, (CustomerId, usize)>,
    pub(crate) open: BTreeMap<RequestId, Open>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) class_mean: Vec<Millis>,
    /// The servers in this gateway's own order.
    pub(crate) ranked: Vec<ServerId>,
    pub(crate) salt: u64,
    pub(crate) flow: Flow,
    pub(crate) acts: Vec<Action>,
}

impl Gateway {
    /// The record of one that has met nothing yet.
    pub(crate) fn blank(set: Settings, class_mean: Vec<Millis>, flow: Flow, seed: u64) -> Self {
        let (servers, customers, calls, open, untold, looked) = Default::default();
        let (mut rng, held, acts) = (Pcg64Mcg::seed_from_u64(seed), Vec::new(), Vec::new());
        let (ranked, salt) = (Vec::new(), rng.next_u64());
        Gateway {
            set,
            rng,
            servers,
            customers,
            untold,
            looked,
            calls,
            open,
            held,
            class_mean,
            ranked,
            salt,
            flow,
            acts,
        }
    }

    /// A random number from 0 up to 1.
    pub(crate) fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
