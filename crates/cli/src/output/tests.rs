//! Tests of the parent module.

use super::*;
use oatbank_cluster_state::admin_query;

#[test]
fn columns_are_aligned_and_control_characters_are_replaced() {
    let row = |cells: [&str; 2]| cells.map(str::to_owned).to_vec();
    let table =
        admin_query::table("2 of them", &["id", "state"], vec![row(["i-1", "ready"]), row(["i\n2", ""])]);
    assert_eq!(text(&table), "2 of them\n  id   state\n  i-1  ready\n  i?2\n");
    assert_eq!(
        json(&table),
        "{\"title\":\"2 of them\",\"columns\":[\"id\",\"state\"],\"rows\":[[\"i-1\",\"ready\"],[\"i\\n2\",\"\"]]}\n"
    );
}
