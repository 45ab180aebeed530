//! Conformance suite for membership sources.

use super::until;
use oatbank_engine::ports::membership::{Member, MembershipSink, News};
use oatbank_limiter_core::interface::ServerState;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A member list built from the news of a source, in the same way as the engine does.
#[derive(Clone, Default)]
pub struct Seen(Rc<RefCell<Option<BTreeMap<String, Member>>>>);

impl Seen {
    /// Returns the sink for a source's news.
    pub fn told(&self) -> MembershipSink {
        let seen = self.0.clone();
        Rc::new(move |news| {
            let mut seen = seen.borrow_mut();
            match news {
                News::Complete(members) => {
                    *seen = Some(members.into_iter().map(|m| (m.id.clone(), m)).collect());
                }
                News::Changes(members) => {
                    let list = seen.as_mut().expect("changes were reported before a complete list");
                    for m in members {
                        match m.state {
                            ServerState::Gone => _ = list.remove(&m.id),
                            _ => _ = list.insert(m.id.clone(), m),
                        }
                    }
                }
                News::Remembered(_) => panic!("a source must not report a remembered list"),
            }
        })
    }

    /// Waits until exactly these members are ready. Panics if any listed member has no address.
    pub async fn ready(&self, ids: &[&str]) {
        let ready = |m: &&Member| m.state == ServerState::Ready;
        until(&format!("a list in which {ids:?} are ready"), || {
            let seen = self.0.borrow();
            let Some(list) = seen.as_ref() else { return false };
            list.values().filter(ready).map(|m| m.id.as_str()).eq(ids.iter().copied())
        })
        .await;
        let seen = self.0.borrow();
        let list = seen.as_ref().expect("no list was reported");
        assert!(list.values().all(|m| m.address.is_some()), "a server without an address");
    }
}

/// A change of the origin, and the ids that are ready once it is reported.
pub type Step<'a> = (Box<dyn FnOnce()>, Vec<&'a str>);

/// Checks that a source follows its origin: applies each step and waits for the members that it names.
pub async fn suite(seen: &Seen, steps: Vec<Step<'_>>) {
    for (change, ready) in steps {
        change();
        seen.ready(&ready).await;
    }
}
