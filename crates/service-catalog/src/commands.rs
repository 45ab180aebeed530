//! The `oatbankctl` commands that query the catalog. Core machines and proxies answer the same ones.

use crate::reports::{self, Report};
use crate::Catalog;
use oatbank_cluster_state::admin_query::{error_table, table, Commands};
use oatbank_cluster_state::messages;
use std::rc::Rc;

/// Calls a function with the current catalog and, if there is a configuration, its routes.
pub type CatalogReader = Rc<dyn Fn(&mut dyn FnMut(&Catalog, Option<&oatbank_config_model::RouteTable>))>;

fn to_message(report: Report) -> messages::Table {
    table(report.title, &report.columns, report.rows)
}

/// Registers `who-owns`, `collisions`, `collision-rules` and `explain`; they read the catalog through `read_catalog`.
pub fn add(commands: &mut Commands, read_catalog: CatalogReader) {
    let answer =
        |read_catalog: &CatalogReader,
         ask: &dyn Fn(&Catalog, Option<&oatbank_config_model::RouteTable>) -> messages::Table| {
            let mut table = messages::Table::default();
            read_catalog(&mut |catalog, routes| table = ask(catalog, routes));
            table
        };
    let reader = read_catalog.clone();
    commands.add("who-owns", "who-owns NAME", 1, move |words| match words.first() {
        Some(name) => {
            answer(&reader, &|catalog, routes| to_message(reports::who_owns(catalog, routes, name)))
        }
        None => {
            error_table("who-owns: a name is missing; allowed: a service, host, server id or address".into())
        }
    });
    let reader = read_catalog.clone();
    commands.add("collisions", "collisions", 0, move |_| {
        answer(&reader, &|catalog, _| to_message(reports::conflicts(catalog)))
    });
    commands.add("collision-rules", "collision-rules", 0, |_| to_message(reports::rules()));
    commands.add("explain", "explain HOST PATH [KEY]", 3, move |words| {
        let [host, path, key @ ..] = words.as_slice() else {
            return error_table("explain: host or path is missing; allowed: explain HOST PATH [KEY]".into());
        };
        answer(&read_catalog, &|catalog, routes| match routes {
            Some(routes) => {
                to_message(reports::explain(catalog, routes, host, path, key.first().map(String::as_str)))
            }
            None => error_table("explain: no configuration is known here yet".into()),
        })
    });
}

#[cfg(test)]
mod tests;
