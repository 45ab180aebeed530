//! The node tree shared by all endpoints.

use super::jute::Writer;
use std::collections::BTreeMap;

pub const NO_NODE: i32 = -101;
pub const BAD_VERSION: i32 = -103;
pub const NO_CHILDREN_FOR_EPHEMERALS: i32 = -108;
pub const NODE_EXISTS: i32 = -110;
pub const NOT_EMPTY: i32 = -111;
pub const BAD_ARGUMENTS: i32 = -8;

/// Node metadata that the protocol returns along with the data.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stat {
    pub czxid: i64,
    pub mzxid: i64,
    pub pzxid: i64,
    pub version: i32,
    pub cversion: i32,
    pub owner: i64,
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub data: Vec<u8>,
    pub stat: Stat,
}

/// A change that triggers watches, with the path of the affected node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Created(String),
    Deleted(String),
    Data(String),
    Children(String),
}

/// Nodes keyed by path. The root is stored under the empty string.
#[derive(Clone, Debug)]
pub struct Tree {
    pub zxid: i64,
    nodes: BTreeMap<String, Node>,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { zxid: 0, nodes: BTreeMap::from([(String::new(), Node::default())]) }
    }
}

fn key(path: &str) -> Result<&str, i32> {
    let fine = path == "/" || path.starts_with('/') && !path.ends_with('/') && !path.contains("//");
    if fine {
        Ok(path.trim_end_matches('/'))
    } else {
        Err(BAD_ARGUMENTS)
    }
}

fn parent(key: &str) -> &str {
    key.rsplit_once('/').map_or("", |(parent, _)| parent)
}

fn path(key: &str) -> String {
    if key.is_empty() {
        "/".into()
    } else {
        key.into()
    }
}

impl Tree {
    pub fn get(&self, path: &str) -> Result<&Node, i32> {
        self.nodes.get(key(path)?).ok_or(NO_NODE)
    }

    pub fn children(&self, path: &str) -> Result<Vec<&str>, i32> {
        let key = key(path)?;
        self.get(path)?;
        let below = format!("{key}/");
        let names = self.nodes.range(below.clone()..).map(|(k, _)| k.as_str());
        let names = names.take_while(|k| k.starts_with(&below)).map(|k| &k[below.len()..]);
        Ok(names.filter(|name| !name.contains('/')).collect())
    }

    /// Creates a node and returns its path. `flags` is a bit set as in the protocol: 1 is ephemeral, 2 is sequential.
    pub fn create(
        &mut self,
        path_asked: &str,
        data: Vec<u8>,
        flags: i32,
        session: i64,
        changes: &mut Vec<Change>,
    ) -> Result<String, i32> {
        // The requested path of a sequential node may end in a slash, because the sequence number is appended.
        let above = parent(path_asked).to_owned();
        let folder = self.nodes.get(&above).ok_or(NO_NODE)?;
        if folder.stat.owner != 0 {
            return Err(NO_CHILDREN_FOR_EPHEMERALS);
        }
        let name = match flags & 2 {
            0 => path_asked.to_owned(),
            _ => format!("{path_asked}{:010}", folder.stat.cversion),
        };
        let key = key(&name)?.to_owned();
        if self.nodes.contains_key(&key) {
            return Err(NODE_EXISTS);
        }
        self.zxid += 1;
        let owner = if flags & 1 == 0 { 0 } else { session };
        let stat = Stat { czxid: self.zxid, mzxid: self.zxid, pzxid: self.zxid, owner, ..Stat::default() };
        self.nodes.insert(key.clone(), Node { data, stat });
        self.touch(&above);
        changes.extend([Change::Created(key.clone()), Change::Children(path(&above))]);
        Ok(key)
    }

    pub fn delete(&mut self, asked: &str, version: i32, changes: &mut Vec<Change>) -> Result<(), i32> {
        let key = key(asked)?.to_owned();
        let node = self.get(asked)?;
        if version != -1 && version != node.stat.version {
            return Err(BAD_VERSION);
        }
        if !self.children(asked)?.is_empty() {
            return Err(NOT_EMPTY);
        }
        self.zxid += 1;
        self.nodes.remove(&key);
        let above = parent(&key).to_owned();
        self.touch(&above);
        changes.extend([Change::Deleted(key), Change::Children(path(&above))]);
        Ok(())
    }

    pub fn set(
        &mut self,
        asked: &str,
        data: Vec<u8>,
        version: i32,
        changes: &mut Vec<Change>,
    ) -> Result<(), i32> {
        let key = key(asked)?.to_owned();
        let zxid = self.zxid + 1;
        let node = self.nodes.get_mut(&key).ok_or(NO_NODE)?;
        if version != -1 && version != node.stat.version {
            return Err(BAD_VERSION);
        }
        node.data = data;
        node.stat.version += 1;
        node.stat.mzxid = zxid;
        self.zxid = zxid;
        changes.push(Change::Data(path(&key)));
        Ok(())
    }

    /// Deletes the ephemeral nodes of a session.
    pub fn end_session(&mut self, session: i64, changes: &mut Vec<Change>) {
        let owned = self.nodes.iter().filter(|(_, n)| n.stat.owner == session && session != 0);
        let owned: Vec<String> = owned.map(|(key, _)| key.clone()).collect();
        for key in owned {
            // Cannot fail: the node exists and ephemeral nodes have no children.
            let _ = self.delete(&key, -1, changes);
        }
    }

    fn touch(&mut self, key: &str) {
        let zxid = self.zxid;
        if let Some(node) = self.nodes.get_mut(key) {
            node.stat.pzxid = zxid;
            node.stat.cversion += 1;
        }
    }

    pub fn put_stat(&self, asked: &str, out: &mut Writer) -> Result<(), i32> {
        let Node { data, stat } = self.get(asked)?;
        let children = self.children(asked)?.len() as i32;
        out.long(stat.czxid).long(stat.mzxid).long(0).long(0);
        out.int(stat.version).int(stat.cversion).int(0).long(stat.owner);
        out.int(data.len() as i32).int(children).long(stat.pzxid);
        Ok(())
    }
}
