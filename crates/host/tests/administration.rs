//! Tests of the settings, the tokens and the administration API.

use async_std::task::block_on;
use host::{AdminRole, AdminToken, EntryHost, HostSettings};
use http_types::Method;
use kernel::DomainName;
use rstest::rstest;
use sheet::SheetDigest;
use std::time::Duration;
use store::{JsonClient, JsonReply};

const SETTINGS: &str = include_str!("../../../examples/host.json");
const SHEET: &str = r#"{ "services": { "mapview": { "keys": { "shards": 4 }, "kinds": [
    { "name": "chart", "method": "GET", "path": "/charts/{region}", "key": { "path": "region" },
      "rank": "urgent", "idempotent": true, "timeout_ms": 1000, "cost_ms": 5 } ] } } }"#;

#[test]
fn settings_example_valid() {
    let settings = HostSettings::parse(SETTINGS).unwrap();
    assert_eq!(settings.placement, "load");
}

#[rstest]
#[case::name("\"entry-1\"", "\"Entry 1\"", "name")]
#[case::address("127.0.0.1:8080", "localhost:8080", "listen.callers")]
#[case::platform("127.0.0.1:7070", "platform", "platform.address")]
#[case::placement("\"load\"", "\"best\"", "placement")]
#[case::level("\"info\"", "\"loud\"", "log.level")]
#[case::digest(&"0".repeat(64), "abc", "tokens[0].sha256")]
#[case::timing("\"timing\": {}", "\"timing\": { \"lease_ms\": 900 }", "timing")]
#[case::limits(
    "\"limits\": {}",
    "\"limits\": { \"retry_percent\": 90 }",
    "limits.retry_percent"
)]
fn settings_error_names_path(#[case] from: &str, #[case] to: &str, #[case] path: &str) {
    let text = SETTINGS.replacen(from, to, 1);
    assert_ne!(text, SETTINGS);
    let error = HostSettings::parse(&text).unwrap_err();
    let found = error.problems.iter().any(|problem| problem.path == path);
    assert!(found, "{error}");
}

#[test]
fn settings_unknown_field_refused() {
    let text = SETTINGS.replacen("\"name\"", "\"surprise\": 1, \"name\"", 1);
    let error = HostSettings::parse(&text).unwrap_err();
    assert!(error.to_string().contains("surprise"), "{error}");
}

struct TestHost {
    platform: fake::FakePlatform,
    host: EntryHost,
}

impl TestHost {
    async fn start() -> Self {
        let domain = DomainName::from("d");
        let platform =
            fake::FakePlatform::start(std::slice::from_ref(&domain), fake::RunLog::default());
        let platform = platform.await.unwrap();
        let mut settings = HostSettings::parse(SETTINGS).unwrap();
        settings.domain = domain.clone();
        platform
            .address(&domain)
            .clone_into(&mut settings.platform.address);
        for address in [
            &mut settings.listen.callers,
            &mut settings.listen.peers,
            &mut settings.listen.control,
            &mut settings.listen.admin,
        ] {
            "127.0.0.1:0".clone_into(address);
        }
        settings.tokens = vec![
            token("planner", AdminRole::Operator),
            token("rival", AdminRole::Operator),
            token("viewer", AdminRole::Reader),
        ];
        let host = EntryHost::start(settings).await.unwrap();
        Self { platform, host }
    }

    async fn send(&self, token: Option<&str>, method: Method, path: &str, body: &str) -> JsonReply {
        let admin = &self.host.addresses().admin;
        let limit = Duration::from_secs(12);
        let client = match token {
            Some(token) => JsonClient::with_bearer(admin, limit, token),
            None => JsonClient::new(admin, limit),
        };
        client.send(method, path, body.as_bytes()).await.unwrap()
    }

    async fn submit(&self, token: &str, base: u64, submission: &str, body: &str) -> JsonReply {
        let path = format!("/sheet?base={base}&submission={submission}");
        self.send(Some(token), Method::Post, &path, body).await
    }
}

fn token(name: &str, role: AdminRole) -> AdminToken {
    AdminToken {
        name: name.to_owned(),
        role,
        sha256: SheetDigest::digest_of(name.as_bytes()).as_str().to_owned(),
    }
}

fn text(reply: &JsonReply) -> String {
    String::from_utf8_lossy(&reply.body).into_owned()
}

#[test]
fn administration_needs_token_and_role() {
    block_on(async {
        let test_host = TestHost::start().await;
        for token in [None, Some("wrong")] {
            for path in ["/status", "/sheet"] {
                assert_eq!(
                    test_host.send(token, Method::Get, path, "").await.status,
                    401
                );
            }
            let reply = test_host
                .send(token, Method::Post, "/sheet?base=0&submission=x", SHEET)
                .await;
            assert_eq!(reply.status, 401);
        }
        assert_eq!(
            test_host
                .send(Some("viewer"), Method::Get, "/status", "")
                .await
                .status,
            200
        );
        assert_eq!(test_host.submit("viewer", 0, "x", SHEET).await.status, 403);
        assert_eq!(
            test_host
                .send(Some("viewer"), Method::Post, "/drain", "{}")
                .await
                .status,
            403
        );
        assert_eq!(
            test_host
                .send(None, Method::Get, "/metrics", "")
                .await
                .status,
            200
        );
        assert!(
            test_host.platform.table().scan(&["config"]).is_empty(),
            "nothing was done"
        );
        test_host.host.kill();
    });
}

#[test]
fn sheet_race_names_winner() {
    block_on(async {
        let test_host = TestHost::start().await;
        assert_eq!(test_host.submit("planner", 0, "a", SHEET).await.status, 200);
        let lost = test_host.submit("rival", 0, "b", SHEET).await;
        assert_eq!(lost.status, 409);
        assert!(
            text(&lost).contains("\"winner\":\"planner\""),
            "{}",
            text(&lost)
        );
        // Sending the same submission again, as after a lost answer, gets its outcome.
        let again = test_host.submit("planner", 0, "a", SHEET).await;
        assert!(text(&again).contains("\"version\":1"), "{}", text(&again));
        assert_eq!(test_host.submit("rival", 1, "b", SHEET).await.status, 200);
        test_host.host.kill();
    });
}

#[test]
fn sheet_accepted_despite_lost_answers() {
    block_on(async {
        let test_host = TestHost::start().await;
        test_host
            .platform
            .change_faults(|faults| faults.lost_answers_percent = 100);
        let reply = test_host.submit("planner", 0, "a", SHEET).await;
        assert_eq!(reply.status, 200, "{}", text(&reply));
        assert_eq!(test_host.platform.table().scan(&["config"])[0].version, 1);
        test_host.host.kill();
    });
}

#[test]
fn sheet_refused_while_store_is_down() {
    block_on(async {
        let test_host = TestHost::start().await;
        test_host
            .platform
            .change_faults(|faults| faults.is_down = true);
        let reply = test_host.submit("planner", 0, "a", SHEET).await;
        assert_eq!(reply.status, 503, "{}", text(&reply));
        assert!(test_host.platform.table().scan(&["config"]).is_empty());
        test_host.host.kill();
    });
}

#[test]
fn sheet_dry_run_and_problems() {
    block_on(async {
        let test_host = TestHost::start().await;
        let path = "/sheet?base=0&submission=a&dry_run=1";
        let reply = test_host
            .send(Some("planner"), Method::Post, path, SHEET)
            .await;
        assert!(
            text(&reply).contains("services.mapview"),
            "{}",
            text(&reply)
        );
        assert!(test_host.platform.table().scan(&["config"]).is_empty());
        let invalid = SHEET.replace("1000", "0");
        let reply = test_host.submit("planner", 0, "a", &invalid).await;
        assert_eq!(reply.status, 422);
        assert!(text(&reply).contains("services.mapview.kinds[0].timeout_ms"));
        for path in [
            "/sheet",
            "/sheet?base=x&submission=a",
            "/sheet?base=0&submission=",
        ] {
            let reply = test_host
                .send(Some("planner"), Method::Post, path, SHEET)
                .await;
            assert_eq!(reply.status, 400, "{path}");
        }
        let reply = test_host
            .send(Some("planner"), Method::Post, "/drain", "{\"surprise\":1}")
            .await;
        assert_eq!(reply.status, 400);
        test_host.host.kill();
    });
}
