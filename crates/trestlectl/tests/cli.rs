//! Exit codes and error messages of `trestlectl`.

use rstest::rstest;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_trestlectl"))
        .args(arguments)
        .env_remove("TRESTLE_TOKEN")
        .output()
        .expect("the program runs")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[rstest]
#[case::help(&["--help"], 0)]
#[case::version(&["--version"], 0)]
#[case::trial_help(&["trial", "--help"], 0)]
#[case::sheet_help(&["sheet", "--help"], 0)]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["surprise"], 2)]
#[case::sheet_without_subcommand(&["sheet"], 2)]
#[case::no_admin(&["status"], 2)]
#[case::no_token(&["status", "--admin", "127.0.0.1:1"], 2)]
#[case::missing_sheet(&["sheet", "submit", "../../examples/none.json"], 1)]
#[case::unknown_fault(&["trial", "--seconds", "1", "--faults", "surprise"], 2)]
#[case::invalid_number(&["trial", "--seconds", "soon"], 2)]
#[case::no_request(&["explain"], 2)]
#[case::missing_log(&["explain", "r-1", "/nonexistent.log"], 1)]
#[case::no_trace(&["replay"], 2)]
#[case::missing_trace(&["replay", "/nonexistent.jsonl"], 1)]
#[case::domain_without_name(&["domain", "lost"], 2)]
fn command_exit_code(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", stderr_text(&output));
}

#[test]
fn replay_confirms_committed_traces() {
    let traces = concat!(env!("CARGO_MANIFEST_DIR"), "/../replay/traces");
    let files = std::fs::read_dir(traces).expect("the traces");
    let paths: Vec<String> = files
        .map(|file| file.expect("a file").path().display().to_string())
        .collect();
    let mut arguments = vec!["replay"];
    arguments.extend(paths.iter().map(String::as_str));
    let output = run(&arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
}

#[test]
fn sheet_check_names_file_and_field() {
    let file = std::env::temp_dir().join(format!("trestlectl-sheet-{}.json", std::process::id()));
    let path = file.to_str().expect("a path");
    std::fs::write(&file, r#"{ "services": { "UPPER": { "kinds": [] } } }"#).expect("written");
    let output = run(&["sheet", "check", path]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        stderr_text(&output).contains(&format!("{path}: services.UPPER.kinds: ")),
        "{}",
        stderr_text(&output)
    );
    std::fs::write(&file, "{ \"services\": ").expect("written");
    let output = run(&["sheet", "check", path]);
    assert!(
        stderr_text(&output).contains("line 1"),
        "{}",
        stderr_text(&output)
    );
    std::fs::remove_file(&file).expect("removed");
}

#[test]
fn sheet_check_accepts_example_sheets() {
    for name in ["small", "austral", "tievarmo", "flood"] {
        let plan = format!("{}/../../examples/{name}.json", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(&plan).expect("the example");
        let plan: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let file =
            std::env::temp_dir().join(format!("trestlectl-{name}-{}.json", std::process::id()));
        std::fs::write(&file, plan["sheet"].to_string()).expect("written");
        let output = run(&["sheet", "check", file.to_str().expect("a path")]);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{name}: {}",
            stderr_text(&output)
        );
        std::fs::remove_file(&file).expect("removed");
    }
}

/// Three kinds of failed request, each explained by the lines of two hosts.
#[rstest]
#[case::overloaded("a1", "cause=overloaded", &["request=a1"])]
#[case::lost("b2", "cause=upstream-lost", &["request=b2", "upstream=i-9 state=missing"])]
#[case::moving("c3", "cause=shard-moving", &["request=c3", "call=release", "state=taken"])]
fn explain_prints_related_lines_and_the_cause(
    #[case] id: &str,
    #[case] cause: &str,
    #[case] parts: &[&str],
) {
    let output = run(&[
        "explain",
        id,
        "tests/logs/front-1.txt",
        "tests/logs/front-2.txt",
    ]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{}", stderr_text(&output));
    for part in parts {
        assert!(text.contains(part), "{part} is missing: {text}");
    }
    let last = text.lines().last().expect("a sentence");
    assert!(last.starts_with(cause), "{last}");
    assert!(!text.contains("request=other"), "{text}");
}

#[test]
fn explain_unknown_request_fails() {
    let output = run(&["explain", "z9", "tests/logs/front-1.txt"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("z9"));
}
