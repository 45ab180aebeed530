//! The commands of `oatbankctl`. Every program that answers [`call::QUERY`] holds one list of commands, to which its modules
//! add theirs.
//!
//! [`call::QUERY`]: crate::messages::call::QUERY

use crate::admin_tables;
use crate::cluster_view::ClusterView;
use crate::messages::{AdminQuery, Row, Table};
use bytes::Bytes;
use prost::Message;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Maximum number of words in a command.
const MAX_WORDS: usize = 16;
/// Maximum length of a word, in bytes.
const MAX_WORD_BYTES: usize = 256;

/// The future that resolves to a command's table.
pub type TableFuture = Pin<Box<dyn Future<Output = Table>>>;
/// Answers a command, given its arguments and whether the answer must come from this process alone.
pub type CommandHandler = Rc<dyn Fn(Vec<String>, bool) -> TableFuture>;

struct Command {
    name: &'static str,
    usage: &'static str,
    max_arguments: usize,
    handler: CommandHandler,
}

/// The commands that one program answers.
#[derive(Default)]
pub struct Commands(Vec<Command>);

/// Creates a table that holds only an error message.
pub fn error_table(error: String) -> Table {
    Table { error, ..Table::default() }
}

/// Creates a table without an error.
pub fn table(title: impl Into<String>, columns: &[&str], rows: Vec<Vec<String>>) -> Table {
    Table {
        title: title.into(),
        columns: columns.iter().map(|column| (*column).to_owned()).collect(),
        rows: rows.into_iter().map(|cells| Row { cells }).collect(),
        error: String::new(),
    }
}

impl Commands {
    /// Creates the list with the commands that every program answers: servers, limiters, core and version.
    pub fn of(view: &Rc<ClusterView>, program: &'static str, node_name: &str) -> Self {
        let mut commands = Commands::default();
        let shown_view = view.clone();
        commands.add("servers", "servers [SERVICE]", 1, move |words| {
            admin_tables::servers(&shown_view, words.first())
        });
        let shown_view = view.clone();
        commands.add("limiters", "limiters", 0, move |_| admin_tables::limiters(&shown_view));
        let (shown_view, own) = (view.clone(), node_name.to_owned());
        commands.add("core", "core", 0, move |_| admin_tables::core(&shown_view, &own));
        let own = node_name.to_owned();
        commands.add("version", "version", 0, move |_| {
            let row = vec![own.clone(), program.to_owned(), env!("CARGO_PKG_VERSION").to_owned()];
            table("version", &["name", "program", "version"], vec![row])
        });
        commands
    }

    /// Adds a command with a synchronous handler.
    pub fn add(
        &mut self,
        name: &'static str,
        usage: &'static str,
        max_arguments: usize,
        answer: impl Fn(Vec<String>) -> Table + 'static,
    ) {
        let handler: CommandHandler = Rc::new(move |words, _| Box::pin(std::future::ready(answer(words))));
        self.add_async(name, usage, max_arguments, handler);
    }

    /// Adds a command with an asynchronous handler, which may ask other processes.
    pub fn add_async(
        &mut self,
        name: &'static str,
        usage: &'static str,
        max_arguments: usize,
        handler: CommandHandler,
    ) {
        self.0.push(Command { name, usage, max_arguments, handler });
    }

    /// Answers a command. An unknown, malformed or too long one yields an error table that lists what is allowed.
    pub async fn answer(&self, query: AdminQuery) -> Table {
        let allowed = || self.0.iter().map(|command| command.usage).collect::<Vec<_>>().join(", ");
        let mut words = query.words;
        if words.len() > MAX_WORDS || words.iter().any(|word| word.len() > MAX_WORD_BYTES) {
            return error_table(format!(
                "the command is too long; allowed: {MAX_WORDS} words of {MAX_WORD_BYTES} bytes"
            ));
        }
        if words.is_empty() {
            return error_table(format!("no command; allowed: {}", allowed()));
        }
        let name = words.remove(0);
        let Some(command) = self.0.iter().find(|command| command.name == name) else {
            return error_table(format!("unknown command {name:?}; allowed: {}", allowed()));
        };
        if let Some(excess) = words.get(command.max_arguments) {
            return error_table(format!("unexpected argument {excess:?}; allowed: {}", command.usage));
        }
        (command.handler)(words, query.local_only).await
    }

    /// Answers an encoded [`AdminQuery`] with an encoded [`Table`].
    pub async fn answer_bytes(&self, body: Bytes) -> Vec<u8> {
        match AdminQuery::decode(body) {
            Ok(query) => self.answer(query).await.encode_to_vec(),
            Err(_) => error_table("this version cannot decode the command".into()).encode_to_vec(),
        }
    }
}

#[cfg(test)]
mod tests;
