//! Traces give the outcomes that they state, and malformed traces or wrong outcomes
//! are rejected with their line.

use replay::run_trace;
use rstest::rstest;

#[rstest]
#[case::upstream_lost(include_str!("../traces/upstream_lost.jsonl"))]
#[case::primary_lost(include_str!("../traces/primary_lost.jsonl"))]
#[case::rack_lost(include_str!("../traces/rack_lost.jsonl"))]
#[case::upstream_frozen(include_str!("../traces/upstream_frozen.jsonl"))]
#[case::host_paused(include_str!("../traces/host_paused.jsonl"))]
#[case::table_down(include_str!("../traces/table_down.jsonl"))]
#[case::answers_lost(include_str!("../traces/answers_lost.jsonl"))]
#[case::primary_cut_off(include_str!("../traces/primary_cut_off.jsonl"))]
#[case::all_hosts_replaced(include_str!("../traces/all_hosts_replaced.jsonl"))]
#[case::upstream_leaves(include_str!("../traces/upstream_leaves.jsonl"))]
#[case::domain_lost(include_str!("../traces/domain_lost.jsonl"))]
#[case::claimed_with_old_rows(include_str!("../traces/claimed_with_old_rows.jsonl"))]
#[case::load_skewed(include_str!("../traces/load_skewed.jsonl"))]
#[case::planned_stop(include_str!("../traces/planned_stop.jsonl"))]
fn run_trace_finds_expected_outcomes(#[case] text: &str) {
    match run_trace(text) {
        Ok(checked) => assert!(checked > 0),
        Err(error) => panic!("{error}"),
    }
}

#[rstest]
#[case::no_world("{\"do\":{\"at_ms\":1,\"step\":\"table_down\"}}", 1)]
#[case::not_json("{\"world\":{}}\nnonsense", 2)]
#[case::unknown_step("{\"world\":{}}\n{\"do\":{\"at_ms\":2000,\"step\":\"explode\"}}", 2)]
#[case::wrong_outcome(
    "{\"world\":{}}\n{\"expect\":{\"at_ms\":5000,\"outcome\":{\"unowned\":3}}}",
    2
)]
#[case::time_runs_backward(
    "{\"world\":{}}\n{\"expect\":{\"at_ms\":5000,\"outcome\":{\"unowned\":0}}}\n{\"do\":{\"at_ms\":4000,\"step\":\"table_up\"}}",
    3
)]
#[case::no_outcome("{\"world\":{}}", 1)]
fn run_trace_rejects_with_line(#[case] text: &str, #[case] line: usize) {
    let error = run_trace(text).expect_err("the trace is rejected");
    assert_eq!(error.line, line, "{error}");
}
