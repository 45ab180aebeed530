//! Three zones of three engines behind a rig whose limiters are in zone a, and statistics of their requests.

use super::Rig;
use crate::Fleet;
use std::time::Duration;

/// Number of engines per zone. The engines of zone a come first.
pub const EACH: usize = 3;
/// Zone names, in the order of the engines.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Returns the rules of a fleet whose limiters are in zone a. Requests of class "order" must not run twice.
pub fn rules(engines: &Fleet) -> String {
    let mut text = String::from("zone = \"a\"\nzones = [\"a\", \"b\", \"c\"]\n");
    for (n, address) in engines.addresses.iter().enumerate() {
        let zone = ZONES[n / EACH];
        text += &format!("[[servers]]\nid = \"{zone}{n}\"\naddress = \"{address}\"\nzone = \"{zone}\"\n");
    }
    text + "[[classes]]\nname = \"order\"\naim_ms = 500\ndeadline_ms = 1000\nrepeat = \"unsafe\"\n[[plans]]\nname = \"team\"\n\
            rate = 1000000\nburst = 1000000\n[cold]\nwarm_after_ms = 1000\nshare = 0.5\n"
}

/// Counters: requests received by the engines of each zone, responses with status 200, and all responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Came {
    pub zones: [usize; 3],
    pub served: u64,
    pub answers: u64,
}

impl Came {
    pub fn so_far(engines: &Fleet, rig: &Rig) -> Came {
        let met = engines.met();
        let zone = |n: usize| met[n * EACH..(n + 1) * EACH].iter().map(|m| m.requests).sum();
        let answers = rig.answers.lock().expect("lock poisoned");
        Came {
            zones: [0, 1, 2].map(zone),
            served: answers.get(&200).copied().unwrap_or(0),
            answers: answers.values().sum(),
        }
    }

    /// Returns the difference from an earlier reading.
    pub fn since(&self, before: &Came) -> Came {
        Came {
            zones: [0, 1, 2].map(|n| self.zones[n] - before.zones[n]),
            served: self.served - before.served,
            answers: self.answers - before.answers,
        }
    }

    /// Returns the fraction of attempts that went to a zone.
    pub fn part(&self, zone: usize) -> f64 {
        self.zones[zone] as f64 / (self.zones.iter().sum::<usize>() as f64).max(1.0)
    }

    /// Returns the fraction of responses with status 200.
    pub fn goodput(&self) -> f64 {
        self.served as f64 / (self.answers as f64).max(1.0)
    }
}

/// Sleeps for `span` and returns the counts of that time.
pub fn look(engines: &Fleet, rig: &Rig, span: Duration) -> Came {
    let before = Came::so_far(engines, rig);
    std::thread::sleep(span);
    Came::so_far(engines, rig).since(&before)
}

/// Returns the share that the decider reports for a zone, or `None` if the call fails or its response does not list the
/// zone. The decider reports 1 for a zone that the revision in force does not name.
pub fn share(rig: &Rig, decider: usize, zone: &str) -> Option<f64> {
    let (status, text) = rig.call(decider, "GET", "zones", "");
    let rows: serde_json::Value = serde_json::from_str(&text).ok().filter(|_| status == 200)?;
    let row = rows.as_array()?.iter().find(|row| row["zone"] == zone)?;
    row["share"].as_f64()
}
