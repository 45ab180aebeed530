//! HTTP API of the fleet for operators.

use super::{Fleet, DEFAULT_PROPOSAL_TIMEOUT_MS};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use oatbank_fleet::decider::{Proposal, ProposalOutcome};
use oatbank_fleet::document::{Revision, MAX_REVISION_BYTES};
use oatbank_fleet::member::ActiveRules;
use oatbank_fleet::message::Verdict;
use oatbank_fleet::{Millis, Peer};
use percent_encoding::percent_decode_str;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// Response: status and body. The body is JSON, except for the text of a revision.
pub(crate) type Reply = (StatusCode, String);

impl Fleet {
    /// Answers a call below `/v1/fleet/`. Returns `None` if there is no such call.
    pub(crate) async fn answer(self: &Rc<Self>, request: Request<Incoming>, call: &[&str]) -> Option<Reply> {
        let get = request.method() == Method::GET;
        Some(match call {
            ["status"] if get => (StatusCode::OK, format!("{:#}\n", self.status())),
            ["history"] if get => match self.history() {
                Some(history) => (StatusCode::OK, format!("{history:#}\n")),
                None => self.not_decider_reply(),
            },
            ["revisions", number] if get => self.text(number),
            ["zones", call @ ..] => {
                let query = request.uri().query().unwrap_or_default();
                return self.zone_call(request.method(), query, call);
            }
            ["propose"] if request.method() == Method::POST => self.handle_proposal(request).await,
            ["propose"] | ["status"] | ["history"] => (
                StatusCode::METHOD_NOT_ALLOWED,
                "GET status, GET history and POST propose are allowed\n".into(),
            ),
            _ => return None,
        })
    }

    pub(super) fn not_decider_reply(&self) -> Reply {
        let (decider, _) = self.node.borrow().decider();
        self.outcome_reply(&ProposalOutcome::NotDecider(decider))
    }

    async fn handle_proposal(self: &Rc<Self>, request: Request<Incoming>) -> Reply {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let ask = match self.parameters(&query) {
            Ok(ask) => ask,
            Err(why) => return (StatusCode::BAD_REQUEST, json!({"error": why}).to_string() + "\n"),
        };
        let body = Limited::new(request.into_body(), MAX_REVISION_BYTES).collect().await;
        let text = body.ok().map(|b| b.to_bytes()).and_then(|b: Bytes| String::from_utf8(b.to_vec()).ok());
        let Some(text) = text else {
            let why = format!("the body is not UTF-8 text of up to {MAX_REVISION_BYTES} bytes");
            return (StatusCode::BAD_REQUEST, json!({"error": why}).to_string() + "\n");
        };
        let answer = self.propose(Proposal { text: text.into(), ..ask }).await;
        self.outcome_reply(&answer)
    }

    /// Parses the query of a proposal, such as `expect=N&author=NAME&without=A,B&dry_run=1&patience_ms=4000`.
    fn parameters(&self, query: &str) -> Result<Proposal, String> {
        let mut ask = Proposal {
            author: "operator".into(),
            timeout: DEFAULT_PROPOSAL_TIMEOUT_MS,
            ..Proposal::default()
        };
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = percent_decode_str(value).decode_utf8_lossy().into_owned();
            let number =
                || value.parse::<u64>().map_err(|_| format!("{key}: {value:?}; expected a whole number"));
            match key {
                "expect" => ask.expect = Some(number()?),
                "patience_ms" => ask.timeout = number()?.min(60_000),
                "author" => ask.author = value,
                "dry_run" => ask.dry_run = value != "0",
                "without" => ask.excluded = self.parse_peers(&value)?,
                _ => {
                    return Err(format!(
                        "{key}: unknown parameter; expected expect, author, without, dry_run or patience_ms"
                    ))
                }
            }
        }
        Ok(ask)
    }

    fn parse_peers(&self, names: &str) -> Result<BTreeSet<Peer>, String> {
        let place = |name: &str| {
            let place = self.settings.peers.iter().position(|p| p.name == name);
            place.map(|n| Peer(n as u16)).ok_or_else(|| format!("without: {name:?} is not among fleet.peers"))
        };
        names.split(',').filter(|n| !n.is_empty()).map(place).collect()
    }

    /// Returns the response for the outcome of a proposal.
    pub(crate) fn outcome_reply(&self, answer: &ProposalOutcome) -> Reply {
        let names = |peers: &[Peer]| peers.iter().map(|p| self.name(*p)).collect::<Vec<_>>().join(", ");
        let (status, result, say) = match answer {
            ProposalOutcome::Decided(id, left) => {
                (StatusCode::OK, "decided", format!("{id} is decided and takes effect in {left} ms"))
            }
            ProposalOutcome::Acceptable => (StatusCode::OK, "would do", "all limiters accept it; nothing has changed".into()),
            ProposalOutcome::Vetoed(by, why) => {
                (StatusCode::UNPROCESSABLE_ENTITY, "vetoed", format!("{} cannot apply it: {why}", self.name(*by)))
            }
            ProposalOutcome::Conflict(id) => (StatusCode::CONFLICT, "conflict", format!("{id} is current; review it first")),
            ProposalOutcome::Busy(id) => (StatusCode::CONFLICT, "busy", format!("{id} is being decided")),
            ProposalOutcome::TimedOut(missing) => (
                StatusCode::GATEWAY_TIMEOUT,
                "timed out",
                format!(
                    "nothing has changed: {} have neither confirmed nor certainly stopped; if they are gone for good: \
                     --without",
                    names(missing)
                ),
            ),
            ProposalOutcome::Recovering(missing) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "recovering",
                format!("has just started and waits for {}; if they are gone for good: --without", names(missing)),
            ),
            ProposalOutcome::TooLong(len) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "too long",
                format!("{len} bytes; up to {MAX_REVISION_BYTES} are allowed"),
            ),
            ProposalOutcome::NotDecider(Some(decider)) => {
                let name = self.name(*decider);
                (StatusCode::MISDIRECTED_REQUEST, "not decider", format!("{name} decides; call its fleet.control"))
            }
            ProposalOutcome::NotDecider(None) => {
                (StatusCode::SERVICE_UNAVAILABLE, "no decider", "no decider is known at present".into())
            }
            ProposalOutcome::NoCoordinator => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no coordinator",
                "the coordinator does not answer, and nothing is decided without it; the rules stay".into(),
            ),
            ProposalOutcome::Unknown(id) => (
                StatusCode::BAD_GATEWAY,
                "unsure",
                format!("it is not known here whether {id} is decided: check the status of the other limiters"),
            ),
        };
        (status, json!({"result": result, "say": say}).to_string() + "\n")
    }

    fn text(&self, number: &str) -> Reply {
        let node = self.node.borrow();
        let decider = node.as_decider();
        let history = decider.into_iter().flat_map(|d| d.history()).chain(node.held());
        let found = history.filter(|r| r.id().number.to_string() == number).last();
        match found {
            Some(revision) => (StatusCode::OK, revision.text.to_string()),
            None => (StatusCode::NOT_FOUND, format!("{number}: no such revision is kept here\n")),
        }
    }

    fn history(&self) -> Option<Value> {
        let node = self.node.borrow();
        Some(node.as_decider()?.history().map(row).collect())
    }

    /// Returns the rules that this limiter applies, and at the decider the state of the other limiters.
    pub(crate) fn status(&self) -> Value {
        let (now, node) = (self.now(), self.node.borrow());
        let active_rules = match node.active_rules(now) {
            ActiveRules::Current(_) => "current",
            ActiveRules::Strict(..) => "strict",
            ActiveRules::Reject => "refuses",
        };
        let lease = Some(node.lease_left(now)).filter(|left| *left != Millis::MAX);
        let drops = self.drops.borrow();
        let mut traffic = json!(self.traffic.get());
        traffic["dropped"] = drops.values().sum::<u64>().into();
        let drops: Value = drops.iter().map(|(why, n)| (why.name().to_owned(), json!(n))).collect();
        let mut status = json!({
            "limiter": self.name(self.settings.me),
            "decider": node.decider().0.map(|peer| self.name(peer)),
            "acting": active_rules,
            "holds": node.held().map(row),
            "staged": node.confirmed().map(row),
            "lease_left_ms": lease,
            "veto": node.veto().map(|(id, why)| json!({"revision": id.to_string(), "why": why})),
            "lapses": self.lapses.get(),
            "within_ms": self.settings.timing.max_divergence,
            "bound_ms": self.settings.timing.divergence_bound(),
            "traffic": traffic,
            "drops": drops,
        });
        if let Some(heard) = node.register_last_response() {
            status["term"] = node.decider().1.into();
            status["coordinator_heard_ms_ago"] = heard.map(|at| now.saturating_sub(at)).into();
        }
        if let Some(decider) = node.as_decider() {
            status["recovering"] = decider.recovering().into();
            status["deciding"] = decider.pending().map(|(r, _)| row(r)).into();
            status["limiters"] = self.limiters(now).into();
        }
        status
    }

    fn limiters(&self, now: Millis) -> Vec<Value> {
        let node = self.node.borrow();
        let Some(known) = node.member_records() else { return Vec::new() };
        let current = node.held().map(|r| r.id());
        let line = |(peer, known): (&Peer, &oatbank_fleet::decider::MemberRecord)| {
            let veto = match &known.staged {
                Some((id, Verdict::Vetoed(why))) => Some(format!("{id}: {why}")),
                _ => None,
            };
            json!({
                "limiter": self.name(*peer),
                "holds": known.holds.to_string(),
                "current": Some(known.holds) == current,
                "heard_ms_ago": known.last_heard.map(|at| now.saturating_sub(at)),
                "leased_ms": known.leased_until.saturating_sub(now),
                "veto": veto,
            })
        };
        known.iter().map(line).collect()
    }
}

fn row(revision: &Arc<Revision>) -> Value {
    let head = &revision.head;
    json!({
        "revision": head.id.to_string(),
        "number": head.id.number,
        "hash": head.digest.to_string(),
        "author": head.author,
        "parent": head.parent.to_string(),
        "bytes": head.len,
    })
}
