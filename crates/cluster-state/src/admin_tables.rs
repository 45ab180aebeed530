//! The `oatbankctl` tables that every program can show: servers, limiters and the core.

use crate::admin_query::{error_table, table};
use crate::cluster_view::{ClusterView, CONTACT_TIMEOUT};
use crate::messages::{MemberRow, ServerRow, Table};
use crate::state::{member_state, server_state, Millis, ServerStatus};

/// Formats a duration in seconds for a table cell.
pub(crate) fn seconds(ms: Millis) -> String {
    format!("{:.1} s", ms.max(0.0) / 1000.0)
}

fn server_state_name(row: &ServerRow) -> &'static str {
    match row.state {
        _ if row.timed_out => "silent",
        server_state::READY => "ready",
        server_state::DRAINING => "draining",
        _ => "left",
    }
}

fn server_cells(status: &ServerStatus<'_>) -> Vec<String> {
    let ServerStatus { row, age, warmup_left } = status;
    let warmup = if *warmup_left > 0.0 { seconds(*warmup_left) } else { "no".to_owned() };
    vec![
        row.id.clone(),
        row.service.clone(),
        row.address.clone(),
        row.zone.clone(),
        server_state_name(row).to_owned(),
        seconds(*age),
        warmup,
    ]
}

/// Builds the table of all servers, or of one service's servers. An unknown service yields an error table that lists the
/// services.
pub(crate) fn servers(view: &ClusterView, service: Option<&String>) -> Table {
    let rows: Vec<Vec<String>> = view.with(|state, now| {
        let is_shown = |status: &ServerStatus<'_>| service.is_none_or(|name| status.row.service == *name);
        state.server_statuses(now).filter(is_shown).map(|status| server_cells(&status)).collect()
    });
    if let (Some(service), true) = (service, rows.is_empty()) {
        let mut names: Vec<String> =
            view.with(|state, now| state.servers(now).map(|(row, _)| row.service.clone()).collect());
        names.sort();
        names.dedup();
        let names = names.join(", ");
        return error_table(format!("{service:?} is no service with servers; there are: {names}"));
    }
    let columns = ["id", "service", "address", "zone", "state", "last word", "cold for"];
    table(format!("{} servers", rows.len()), &columns, rows)
}

fn member_state_name(row: &MemberRow) -> &'static str {
    match row.state {
        _ if row.expired => "session ended",
        member_state::STARTING => "starting",
        member_state::READY => "ready",
        _ => "leaving",
    }
}

/// Builds the table of all limiters.
pub(crate) fn limiters(view: &ClusterView) -> Table {
    let cells = |(row, age): (&MemberRow, Millis)| {
        vec![
            row.name.clone(),
            row.zone.clone(),
            member_state_name(row).to_owned(),
            row.edition.to_string(),
            seconds(age),
        ]
    };
    let rows: Vec<Vec<String>> = view.with(|state, now| state.members(now).map(cells).collect());
    table(format!("{} limiters", rows.len()), &["name", "zone", "state", "edition", "last word"], rows)
}

/// Builds the table of the core as known here: this process, and the core machines that follow it.
pub(crate) fn core(view: &ClusterView, own_name: &str) -> Table {
    let confirmed = view.confirmed_ago().map_or("never".to_owned(), seconds);
    let contact = if view.in_touch() { "in touch" } else { "not in touch" };
    let mut rows = vec![vec![own_name.to_owned(), contact.to_owned(), view.edition().to_string(), confirmed]];
    for (name, progress) in view.followers().into_iter().filter(|(_, progress)| progress.every_change) {
        let age = view.now() - progress.at;
        let contact = if age <= CONTACT_TIMEOUT { "follows" } else { "silent" };
        rows.push(vec![name, contact.to_owned(), progress.edition.to_string(), seconds(age)]);
    }
    table("the core as known here", &["name", "state", "edition", "as of"], rows)
}
