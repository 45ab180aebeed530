//! The kinds of conflicting claims, with the rule that applies to each.

/// A kind of conflict between two claims on one name, id, address or host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Conflict {
    /// Meshes are in use, a service name exists in two of them, and a server's heartbeat does not name the mesh.
    Mesh,
    /// Heartbeats under one id come from two addresses.
    Id,
    /// Heartbeats under one id, from one address, name two services.
    Service,
    /// Servers of different owners claim one address.
    Address,
    /// Two incarnations of one owner's servers claim one address.
    Reuse,
    /// The paths of one host belong to several services.
    Host,
    /// One configuration drops a service name and a later one defines it again.
    Taken,
    /// Two partitions of the system have learned different owners.
    Parted,
}

/// How the system treats one kind of conflict.
#[derive(Clone, Copy, Debug)]
pub struct ConflictRule {
    /// The kind of conflict.
    pub conflict: Conflict,
    /// The code of the kind in logs and tables.
    pub code: &'static str,
    /// Whether the owner counts as contested: the server then gets no confirmations (requests that run at most once).
    pub contested: bool,
    /// Whether requests that may be repeated are still sent: each attempt names the incarnation that is meant, which
    /// proves the origin of the answer.
    pub reads: bool,
    /// The event that ends the conflict, as shown to operators.
    pub until: &'static str,
    /// The reason for the rule, as shown to operators.
    pub reason: &'static str,
}

/// The rule of every kind, each kind once.
pub const CONFLICT_RULES: &[ConflictRule] = &[
    ConflictRule {
        conflict: Conflict::Mesh,
        code: "mesh",
        contested: true,
        reads: false,
        until: "the server's heartbeats name its mesh, or only one mesh has the name",
        reason: "even the right incarnation may belong to the other service: nothing proves an answer",
    },
    ConflictRule {
        conflict: Conflict::Id,
        code: "id",
        contested: true,
        reads: false,
        until: "all but one of the claims have timed out, or the id has left",
        reason:
            "both servers use the id, so it proves nothing; call counts order only one server's heartbeats",
    },
    ConflictRule {
        conflict: Conflict::Service,
        code: "service",
        contested: true,
        reads: false,
        until: "one of the claims has timed out, or the id has left",
        reason: "a server never changes its service, so one of the two heartbeats is not its own",
    },
    ConflictRule {
        conflict: Conflict::Address,
        code: "address",
        contested: true,
        reads: true,
        until: "the earlier incarnation has left or timed out",
        reason: "the server rejects requests for the other incarnation; confirmations go to other servers",
    },
    ConflictRule {
        conflict: Conflict::Reuse,
        code: "reuse",
        contested: false,
        reads: true,
        until: "the earlier incarnation has left or timed out",
        reason: "both incarnations have one owner, and only the one that an attempt names runs it",
    },
    ConflictRule {
        conflict: Conflict::Host,
        code: "host",
        contested: false,
        reads: true,
        until: "never: this is allowed",
        reason: "the longest path decides; routes into different meshes for one path are rejected",
    },
    ConflictRule {
        conflict: Conflict::Taken,
        code: "taken again",
        contested: false,
        reads: true,
        until: "at once",
        reason: "only the newest configuration defines services; a service that it lacks gets no requests",
    },
    ConflictRule {
        conflict: Conflict::Parted,
        code: "parted",
        contested: false,
        reads: true,
        until: "both partitions have exchanged their rows, within the stated bound",
        reason: "merged rows keep all claims, so both partitions then see one of the other conflicts",
    },
];

impl Conflict {
    /// The rule for this kind.
    pub fn rule(self) -> &'static ConflictRule {
        // A test checks that the table has every kind, so the fallback is never used.
        CONFLICT_RULES.iter().find(|rule| rule.conflict == self).unwrap_or(&CONFLICT_RULES[0])
    }
}
