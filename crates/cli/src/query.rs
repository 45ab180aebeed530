//! Asking a program of the system.

use oatbank_cluster_state::messages::{call, AdminQuery, Table};
use oatbank_node_runtime::rpc::RpcClient;
use prost::Message;
use quick_error::quick_error;
use std::rc::Rc;
use std::time::Duration;

/// How long an answer may take: the program may have to ask others first.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

quick_error! {
    /// Why a command has no answer.
    #[derive(Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments at fields.
    pub enum QueryError {
        /// The program is not reached, or does not answer in time.
        NoAnswer(why: String) {
            display("no answer: {}", why)
        }
        /// The command is wrong.
        Rejected(error: String) {
            display("{}", error)
        }
    }
}

/// Runs one command.
///
/// # Errors
/// Why there is no answer.
pub async fn ask(client: &Rc<RpcClient>, words: Vec<String>, local_only: bool) -> Result<Table, QueryError> {
    let body = AdminQuery { words, local_only }.encode_to_vec();
    let no_answer = |why: String| QueryError::NoAnswer(format!("{}: {why}", client.address()));
    let response =
        client.call(call::QUERY, body, ANSWER_TIMEOUT).await.map_err(|error| no_answer(error.to_string()))?;
    if response.is_empty() {
        return Err(no_answer("it takes no questions: another port, or another version".into()));
    }
    let table = Table::decode(response).map_err(|error| no_answer(format!("it cannot be read: {error}")))?;
    if table.error.is_empty() {
        Ok(table)
    } else {
        Err(QueryError::Rejected(table.error))
    }
}
