//! The collisions that there are, and what holds in each.

/// Two claims on one name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Conflict {
    /// One service name in two meshes, and a server that does not say which it means.
    Mesh,
    /// Two addresses that beat under one id.
    Id,
    /// One id at one address that beats for two services.
    Service,
    /// One address that servers of different owners claim.
    Address,
    /// One address that two lives of one owner claim.
    Reuse,
    /// One host with paths of several services.
    Host,
    /// A name that one configuration drops and a later one takes again.
    Taken,
    /// Two parts of the system that each learned another owner.
    Parted,
}

/// What holds in one kind of collision.
#[derive(Clone, Copy, Debug)]
pub struct ConflictRule {
    /// The kind.
    pub conflict: Conflict,
    /// Its word, in logs and tables.
    pub code: &'static str,
    /// The name's owner is contested: it gets no confirmations.
    pub contested: bool,
    /// Requests that may be repeated still go there: the answer is proven by the life that each try names.
    pub reads: bool,
    /// What ends it.
    pub until: &'static str,
    /// Why it is so.
    pub reason: &'static str,
}

/// Each kind with its rule.
pub const CONFLICT_RULES: &[ConflictRule] = &[
    ConflictRule {
        conflict: Conflict::Mesh,
        code: "mesh",
        contested: true,
        reads: false,
        until: "the server's beats name its mesh, or the configuration has the name once",
        reason: "the life meant is right, its service may still be the other one: nothing proves an answer",
    },
    ConflictRule {
        conflict: Conflict::Id,
        code: "id",
        contested: true,
        reads: false,
        until: "all but one of the claims have fallen silent, or the id has left",
        reason:
            "both take the id for theirs, so the life meant proves nothing; a number orders one's own words",
    },
    ConflictRule {
        conflict: Conflict::Service,
        code: "service",
        contested: true,
        reads: false,
        until: "one of the claims has fallen silent, or the id has left",
        reason: "a server keeps its service for its life, so one of the two words is not its own",
    },
    ConflictRule {
        conflict: Conflict::Address,
        code: "address",
        contested: true,
        reads: true,
        until: "the earlier life has left or fallen silent",
        reason: "who is there turns away what is meant for the other life; confirmations have other servers",
    },
    ConflictRule {
        conflict: Conflict::Reuse,
        code: "reuse",
        contested: false,
        reads: true,
        until: "the earlier life has left or fallen silent",
        reason: "the owner is the same whichever life answers, and only the life that a try names runs it",
    },
    ConflictRule {
        conflict: Conflict::Host,
        code: "host",
        contested: false,
        reads: true,
        until: "never: it is meant so",
        reason: "the longest path decides; two routes of different meshes for one path are not taken",
    },
    ConflictRule {
        conflict: Conflict::Taken,
        code: "taken again",
        contested: false,
        reads: true,
        until: "at once",
        reason: "the newest configuration alone says which services there are; others get nothing",
    },
    ConflictRule {
        conflict: Conflict::Parted,
        code: "parted",
        contested: false,
        reads: true,
        until: "both parts have heard each other: within the stated bound",
        reason: "claims stand beside each other when rows merge, so both parts see one of the above",
    },
];

impl Conflict {
    /// What holds in it.
    pub fn rule(self) -> &'static ConflictRule {
        // Every kind stands in the table: a test holds it to that.
        CONFLICT_RULES.iter().find(|rule| rule.conflict == self).unwrap_or(&CONFLICT_RULES[0])
    }
}
