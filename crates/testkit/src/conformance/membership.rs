//! What every source of the list must keep.

use super::until;
use oatbank_engine::ports::membership::{Member, MembershipSink, News};
use oatbank_limiter_core::interface::ServerState;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A list put together from what a source tells, as the engine does it.
#[derive(Clone, Default)]
pub struct Seen(Rc<RefCell<Option<BTreeMap<String, Member>>>>);

impl Seen {
    /// Where a source tells its news.
    pub fn told(&self) -> MembershipSink {
        let seen = self.0.clone();
        Rc::new(move |news| {
            let mut seen = seen.borrow_mut();
            match news {
                News::Complete(members) => {
                    *seen = Some(members.into_iter().map(|m| (m.id.clone(), m)).collect());
                }
                News::Changes(members) => {
                    let list = seen.as_mut().expect("changes were told before any list");
                    for m in members {
                        match m.state {
                            ServerState::Gone => _ = list.remove(&m.id),
                            _ => _ = list.insert(m.id.clone(), m),
                        }
                    }
                }
                News::Remembered(_) => panic!("a source tells what is, not what was"),
            }
        })
    }

    /// Waits until the source has told a list in which exactly these are ready, and none without an address.
    pub async fn ready(&self, ids: &[&str]) {
        let ready = |m: &&Member| m.state == ServerState::Ready;
        until(&format!("a list in which {ids:?} are ready"), || {
            let seen = self.0.borrow();
            let Some(list) = seen.as_ref() else { return false };
            list.values().filter(ready).map(|m| m.id.as_str()).eq(ids.iter().copied())
        })
        .await;
        let seen = self.0.borrow();
        let list = seen.as_ref().expect("a list");
        assert!(list.values().all(|m| m.address.is_some()), "a server without an address");
    }
}

/// A change of the origin, and who is ready once it is told.
pub type Step<'a> = (Box<dyn FnOnce()>, Vec<&'a str>);

/// Holds a source to its origin through a script: each step changes the origin and names who is ready then.
pub async fn suite(seen: &Seen, steps: Vec<Step<'_>>) {
    for (change, ready) in steps {
        change();
        seen.ready(&ready).await;
    }
}
