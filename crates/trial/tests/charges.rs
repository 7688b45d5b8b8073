//! A non-idempotent request runs at most once, whichever hosts it is sent to again.

mod common;

use async_std::task::block_on;
use common::{charge, client_address, exchange, get, header, small_plan, start_deployment, status};
use std::time::Duration;

#[test]
fn charge_resent_to_other_hosts_runs_once() {
    block_on(async {
        let deployment = start_deployment(&small_plan(3, 2)).await;
        let mut bodies = Vec::new();
        for host in [0, 1, 2, 0] {
            let tag = format!("x-trial-tag: send{host}\r\n");
            let request = charge("k1", "{\"amount\":5}", &tag);
            let response = exchange(&client_address(&deployment, host), &request).await;
            assert_eq!(status(&response), 200, "{response}");
            bodies.push(
                response
                    .split_once("\r\n\r\n")
                    .expect("a body")
                    .1
                    .to_owned(),
            );
            // The outcome is written to the journal after the response is sent.
            async_std::task::sleep(Duration::from_millis(150)).await;
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
        assert_eq!(deployment.run_log.run_count_by_key("k1"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_sent_concurrently_runs_once() {
    block_on(async {
        let deployment = start_deployment(&small_plan(3, 2)).await;
        let requests = (0..6).map(|number| {
            let address = client_address(&deployment, number % 3);
            async move { exchange(&address, &charge("k2", "{}", "x-cost-ms: 60\r\n")).await }
        });
        let responses = futures::future::join_all(requests).await;
        for response in &responses {
            let verdict = header(response, "x-verdict");
            assert!(
                matches!(verdict, Some("ran" | "may-have-run")),
                "{response}"
            );
        }
        assert!(responses.iter().any(|response| status(response) == 200));
        assert_eq!(deployment.run_log.run_count_by_key("k2"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_with_reused_key_is_refused() {
    block_on(async {
        let deployment = start_deployment(&small_plan(1, 1)).await;
        let address = client_address(&deployment, 0);
        exchange(&address, &charge("k3", "{\"amount\":5}", "")).await;
        let response = exchange(&address, &charge("k3", "{\"amount\":6}", "")).await;
        assert_eq!(status(&response), 422);
        assert_eq!(header(&response, "x-verdict"), Some("not-run"));
        assert_eq!(deployment.run_log.run_count_by_key("k3"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_is_refused_while_store_is_down() {
    block_on(async {
        let deployment = start_deployment(&small_plan(2, 1)).await;
        deployment
            .platform
            .change_faults(|faults| faults.is_down = true);
        let address = client_address(&deployment, 0);
        let response = exchange(&address, &charge("k4", "{}", "")).await;
        assert_eq!(
            header(&response, "x-verdict"),
            Some("not-run"),
            "{response}"
        );
        assert_eq!(header(&response, "x-cause"), Some("journal-unavailable"));
        // Idempotent requests do not need the journal.
        let chart = exchange(&address, &get("/mapview/charts/a", "")).await;
        assert_eq!(status(&chart), 200);
        assert_eq!(deployment.run_log.run_count_by_key("k4"), 0);
        deployment
            .platform
            .change_faults(|faults| faults.is_down = false);
        async_std::task::sleep(Duration::from_secs(2)).await;
        let response = exchange(&address, &charge("k4b", "{}", "")).await;
        assert_eq!(status(&response), 200, "{response}");
        deployment.shut_down();
    });
}

#[test]
fn charge_runs_once_with_lost_answers_and_host_loss() {
    block_on(async {
        let deployment = start_deployment(&small_plan(3, 2)).await;
        deployment
            .platform
            .change_faults(|faults| faults.lost_answers_percent = 50);
        for number in 0..12 {
            let key = format!("lost{number}");
            for host in [number % 2, 1, 0] {
                exchange(&client_address(&deployment, host), &charge(&key, "{}", "")).await;
            }
            if number == 6 {
                deployment.running_hosts()[2].host.kill();
            }
            assert!(deployment.run_log.run_count_by_key(&key) <= 1, "{key}");
        }
        assert_eq!(deployment.run_log.summary().double_runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn charge_on_killed_upstream_is_not_repeated() {
    block_on(async {
        let deployment = start_deployment(&small_plan(2, 2)).await;
        let address = client_address(&deployment, 0);
        let kill_task = {
            let deployment = deployment.clone();
            async_std::task::spawn(async move {
                async_std::task::sleep(Duration::from_millis(250)).await;
                for upstream in deployment.upstreams.values() {
                    if upstream.running() > 0 {
                        upstream.kill();
                    }
                }
            })
        };
        let request = charge("k5", "{}", "x-cost-ms: 900\r\n");
        let response = exchange(&address, &request).await;
        kill_task.await;
        assert_eq!(
            header(&response, "x-verdict"),
            Some("may-have-run"),
            "{response}"
        );
        let repeated = exchange(&address, &request).await;
        assert_eq!(
            header(&repeated, "x-verdict"),
            Some("may-have-run"),
            "{repeated}"
        );
        assert_eq!(deployment.run_log.run_count_by_key("k5"), 1);
        deployment.shut_down();
    });
}
