//! The calls of servers, operators and clients, as defined in `docs/api/control.yaml`.

use percent_encoding::percent_decode_str;

/// The method and path of every call, with parameters in braces.
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

/// A parsed call with its parameters decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiCall {
    /// Heartbeat of the server with this id.
    Heartbeat(String),
    /// The server with this id leaves.
    Leave(String),
    /// Replaces the whole configuration.
    Replace,
    /// Changes items of the configuration.
    Change,
    /// Reads the configuration.
    Read,
    /// Begins to evacuate this zone: its servers get no more requests.
    EmptyBegin(String),
    /// Ends the evacuation of this zone: its servers get requests again.
    EmptyEnd(String),
    /// Looks up the address that a client should connect to.
    Lookup {
        /// The wanted host; empty if not given.
        name: String,
        /// The client's region; empty if not given.
        region: String,
        /// The client's zone; empty if not given.
        zone: String,
    },
    /// Asks whether this limiter is ready for clients.
    Ready,
}

/// Parses the method and path of a request. Returns `None` if there is no such call.
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

/// Decodes a name in a path; `None` if it is empty or not UTF-8.
fn name(part: &str) -> Option<String> {
    decoded(part).filter(|name| !name.is_empty())
}

fn decoded(part: &str) -> Option<String> {
    Some(percent_decode_str(part).decode_utf8().ok()?.into_owned())
}

/// Parses the query of a look-up. In a query, unlike in a path, a plus stands for a space.
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
