//! Asking a program of the system.

use oatbank_cluster_state::messages::{call, Query, Table};
use oatbank_node_runtime::rpc::Link;
use prost::Message;
use quick_error::quick_error;
use std::rc::Rc;
use std::time::Duration;

/// An answer is waited for so long: whoever is asked may have to ask others first.
const WITHIN: Duration = Duration::from_millis(2500);

quick_error! {
    /// Why a question has no answer.
    #[derive(Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no words at fields.
    pub enum NoAnswer {
        /// Nobody is reached, or nobody answers in time.
        Silent(why: String) {
            display("no answer: {}", why)
        }
        /// The question is wrong.
        Wrong(error: String) {
            display("{}", error)
        }
    }
}

/// Asks once.
///
/// # Errors
/// Why there is no answer.
pub async fn ask(link: &Rc<Link>, words: Vec<String>, near: bool) -> Result<Table, NoAnswer> {
    let body = Query { words, near }.encode_to_vec();
    let silent = |why: String| NoAnswer::Silent(format!("{}: {why}", link.address()));
    let answer = link.call(call::QUERY, body, WITHIN).await.map_err(|e| silent(e.to_string()))?;
    if answer.is_empty() {
        return Err(silent("it takes no questions: another port, or another version".into()));
    }
    let table = Table::decode(answer).map_err(|e| silent(format!("it cannot be read: {e}")))?;
    match table.error.is_empty() {
        true => Ok(table),
        false => Err(NoAnswer::Wrong(table.error)),
    }
}
