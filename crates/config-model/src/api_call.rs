//! The calls of servers, operators and clients, as `docs/api/control.yaml` has them.

use percent_encoding::percent_decode_str;

/// Every call: its method, and its path with names in braces.
pub const CALLS: &[(&str, &str)] = &[
    ("POST", "/servers/{id}/beat"),
    ("POST", "/servers/{id}/leave"),
    ("POST", "/settings/replace"),
    ("POST", "/settings/change"),
    ("GET", "/settings/read"),
    ("POST", "/empty/{zone}/begin"),
    ("POST", "/empty/{zone}/end"),
    ("GET", "/lookup"),
    ("GET", "/ready"),
];

/// One call, its names decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiCall {
    /// The server of this id says how it is.
    Heartbeat(String),
    /// The server of this id is gone.
    Leave(String),
    /// A whole configuration.
    Replace,
    /// Items of the configuration.
    Change,
    /// The configuration, please.
    Read,
    /// Nothing more to the servers of this zone.
    EmptyBegin(String),
    /// The servers of this zone again.
    EmptyEnd(String),
    /// Where should a client go?
    Lookup {
        /// The host it wants; empty if it does not say.
        name: String,
        /// Where it is; empty if it does not say.
        region: String,
        /// Where it is in there; empty if it does not say.
        zone: String,
    },
    /// Is this limiter ready for clients?
    Ready,
}

/// The call that a request makes, `None` if there is no such call.
pub fn parse_call(method: &str, path_and_query: &str) -> Option<ApiCall> {
    let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
    let parts: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
    match (method, parts.as_slice()) {
        ("POST", ["servers", id, "beat"]) => Some(ApiCall::Heartbeat(name(id)?)),
        ("POST", ["servers", id, "leave"]) => Some(ApiCall::Leave(name(id)?)),
        ("POST", ["settings", "replace"]) => Some(ApiCall::Replace),
        ("POST", ["settings", "change"]) => Some(ApiCall::Change),
        ("GET", ["settings", "read"]) => Some(ApiCall::Read),
        ("POST", ["empty", zone, "begin"]) => Some(ApiCall::EmptyBegin(name(zone)?)),
        ("POST", ["empty", zone, "end"]) => Some(ApiCall::EmptyEnd(name(zone)?)),
        ("GET", ["lookup"]) => lookup(query),
        ("GET", ["ready"]) => Some(ApiCall::Ready),
        _ => None,
    }
}

/// A name in a path. No name is empty.
fn name(part: &str) -> Option<String> {
    decoded(part).filter(|name| !name.is_empty())
}

fn decoded(part: &str) -> Option<String> {
    Some(percent_decode_str(part).decode_utf8().ok()?.into_owned())
}

/// In a query, unlike in a path, a plus is a space.
fn lookup(query: &str) -> Option<ApiCall> {
    let (mut name, mut region, mut zone) = (String::new(), String::new(), String::new());
    for pair in query.split('&') {
        let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
        let field = match key {
            "name" => &mut name,
            "region" => &mut region,
            "zone" => &mut zone,
            _ => continue,
        };
        *field = decoded(&value.replace('+', " "))?;
    }
    Some(ApiCall::Lookup { name, region, zone })
}
