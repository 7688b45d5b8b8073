//! Rejection of invalid sheets with the path of each problem, and sheet differences.

use proptest::prelude::*;
use rstest::rstest;
use sheet::{Category, Sheet, SheetChange, list_changes};

const KIND: &str = r#"{ "name": "chart", "method": "GET", "path": "/charts/{region}",
    "key": { "path": "region" }, "rank": "urgent", "idempotent": true,
    "timeout_ms": 500, "cost_ms": 5 }"#;

fn sheet(service: &str, kinds: &str) -> String {
    format!(r#"{{ "services": {{ "mapview": {{ {service} "kinds": [{kinds}] }} }} }}"#)
}

#[rstest]
#[case::no_services(r#"{ "services": {} }"#, "services")]
#[case::no_kinds(&sheet("", ""), "services.mapview.kinds")]
#[case::same_path(&sheet("", &format!("{KIND}, {}", KIND.replace("\"chart\"", "\"other\""))), "services.mapview.kinds[1].path")]
#[case::same_name(&sheet("", &format!("{KIND}, {}", KIND.replace("/charts/", "/other/"))), "services.mapview.kinds[1].name")]
#[case::method(&sheet("", &KIND.replace("GET", "get")), "services.mapview.kinds[0].method")]
#[case::path(&sheet("", &KIND.replace("/charts/{region}", "/{region}//x")), "services.mapview.kinds[0].path")]
#[case::key_parameter(&sheet("", &KIND.replace("{ \"path\": \"region\" }", "{ \"path\": \"zone\" }")), "services.mapview.kinds[0].key.path")]
#[case::sharded_without_key(&sheet("\"keys\": { \"shards\": 4 },", &KIND.replace("\"key\": { \"path\": \"region\" },", "")), "services.mapview.kinds[0].key")]
#[case::shards(&sheet("\"keys\": { \"shards\": 0 },", KIND), "services.mapview.keys.shards")]
#[case::floors(&sheet("\"floors\": { \"standard\": 60, \"bulk\": 40 },", KIND), "services.mapview.floors")]
#[case::timeout(&sheet("", &KIND.replace("500", "0")), "services.mapview.kinds[0].timeout_ms")]
#[case::cost(&sheet("", &KIND.replace("\"cost_ms\": 5", "\"cost_ms\": 501")), "services.mapview.kinds[0].cost_ms")]
#[case::wait(&sheet("\"fencing\": { \"check\": \"unchecked\", \"wait_ms\": 0 },", KIND), "services.mapview.fencing.wait_ms")]
fn parse_rejects_content_with_path(#[case] text: &str, #[case] path: &str) {
    let error = Sheet::parse(text).unwrap_err();
    assert_eq!(error.category(), Category::Content, "{error}");
    let found = error.problems().iter().any(|problem| problem.path == path);
    assert!(found, "{error}");
}

#[test]
fn parse_reports_every_problem() {
    let kind = KIND.replace("GET", "get").replace("500", "0");
    let text = sheet("\"long_slots\": 0, \"queue_limit\": 0,", &kind);
    let error = Sheet::parse(&text).unwrap_err();
    assert!(error.problems().len() >= 4, "{error}");
}

#[rstest]
#[case::syntax("{ \"services\": ", Category::Syntax)]
#[case::unknown_field("{ \"services\": {}, \"surprise\": 1 }", Category::Data)]
#[case::unknown_rank(&sheet("", &KIND.replace("urgent", "soon")), Category::Data)]
fn parse_rejects_text_with_line(#[case] text: &str, #[case] category: Category) {
    let error = Sheet::parse(text).unwrap_err();
    assert_eq!(error.category(), category);
    assert!(error.line() >= 1);
}

#[test]
fn list_changes_finds_differences() {
    let before = Sheet::parse(&sheet("", KIND)).unwrap();
    let mut after = Sheet::parse(&sheet("\"long_slots\": 2,", KIND)).unwrap();
    after
        .customers
        .insert("a".into(), sheet::CustomerPlan { share: 2 });
    let changes = list_changes(&before, &after);
    assert!(changes.contains(&SheetChange::Altered("services.mapview".to_owned())));
    assert!(changes.contains(&SheetChange::Added("customers.a".to_owned())));
    assert_eq!(list_changes(&after, &after), Vec::new());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A malformed sheet gives an error, never a panic.
    #[test]
    fn parse_survives_malformed_text(start in 0_usize..400, length in 0_usize..40, insert in "[\\x00-\\x7f]{0,12}") {
        let mut text = sheet("\"keys\": { \"shards\": 4 },", KIND);
        let start = start.min(text.len());
        let end = (start + length).min(text.len());
        text.replace_range(start..end, &insert);
        if let Ok(parsed) = Sheet::parse(&text) {
            prop_assert!(parsed.validate().is_ok());
        }
    }
}
