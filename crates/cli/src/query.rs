//! Sends a query to a process of the system and decodes its answer.

use oatbank_cluster_state::messages::{call, AdminQuery, Table};
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use quick_error::quick_error;
use std::rc::Rc;
use std::time::Duration;

/// Timeout of a query; the process may have to ask others before it answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

quick_error! {
    /// The reason for which a command failed.
    #[derive(Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments at fields.
    pub enum QueryError {
        /// The process cannot be reached, does not answer in time, or sends an unreadable answer.
        NoAnswer(why: String) {
            display("no answer: {}", why)
        }
        /// The process rejected the command as invalid.
        Rejected(error: String) {
            display("{}", error)
        }
    }
}

/// Sends the command `words` and returns the table of the answer. With `local_only` the process asks no others.
///
/// # Errors
/// [`QueryError::NoAnswer`] if no readable answer arrives, [`QueryError::Rejected`] if the command is invalid.
pub async fn ask(client: &Rc<RpcClient>, words: Vec<String>, local_only: bool) -> Result<Table, QueryError> {
    let body = AdminQuery { words, local_only }.encode_to_vec();
    let no_answer = |why: String| QueryError::NoAnswer(format!("{}: {why}", client.address()));
    let response =
        client.call(call::QUERY, body, ANSWER_TIMEOUT).await.map_err(|error| no_answer(error.to_string()))?;
    if response.is_empty() {
        return Err(no_answer("the peer does not answer queries: wrong port, or another version".into()));
    }
    let table = Table::decode(response)
        .map_err(|error| no_answer(format!("the answer cannot be decoded: {error}")))?;
    if table.error.is_empty() {
        Ok(table)
    } else {
        Err(QueryError::Rejected(table.error))
    }
}
