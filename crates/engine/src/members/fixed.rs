//! A list that is known at the start and does not change.

use crate::ports::membership::{Member, MembershipSink, News};

/// Tells the list, once.
pub fn tell(told: &MembershipSink, members: Vec<Member>) {
    told(News::Complete(members));
}
