//! A fixed list of servers.

use crate::ports::membership::{Member, MembershipSink, News};

/// Reports the complete list, once.
pub fn tell(sink: &MembershipSink, members: Vec<Member>) {
    sink(News::Complete(members));
}
