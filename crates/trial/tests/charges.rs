//! A non-idempotent request runs at most once, whoever re-sends it to whom.

mod common;

use async_std::task::block_on;
use common::{callers, charge, exchange, get, header, plan, start, status};
use std::time::Duration;

#[test]
fn charge_resent_elsewhere_runs_once() {
    block_on(async {
        let deployment = start(&plan(3, 2)).await;
        let mut bodies = Vec::new();
        for host in [0, 1, 2, 0] {
            let tag = format!("x-trial-tag: send{host}\r\n");
            let request = charge("k1", "{\"amount\":5}", &tag);
            let answer = exchange(&callers(&deployment, host), &request).await;
            assert_eq!(status(&answer), 200, "{answer}");
            bodies.push(answer.split_once("\r\n\r\n").expect("a body").1.to_owned());
            // The outcome is journaled after the answer.
            async_std::task::sleep(Duration::from_millis(150)).await;
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
        assert_eq!(deployment.run_log.run_count_by_key("k1"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_resent_at_once_runs_once() {
    block_on(async {
        let deployment = start(&plan(3, 2)).await;
        let sends = (0..6).map(|number| {
            let address = callers(&deployment, number % 3);
            async move { exchange(&address, &charge("k2", "{}", "x-cost-ms: 60\r\n")).await }
        });
        let answers = futures::future::join_all(sends).await;
        for answer in &answers {
            let verdict = header(answer, "x-verdict");
            assert!(matches!(verdict, Some("ran" | "may-have-run")), "{answer}");
        }
        assert!(answers.iter().any(|answer| status(answer) == 200));
        assert_eq!(deployment.run_log.run_count_by_key("k2"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_key_reused_is_refused() {
    block_on(async {
        let deployment = start(&plan(1, 1)).await;
        let address = callers(&deployment, 0);
        exchange(&address, &charge("k3", "{\"amount\":5}", "")).await;
        let answer = exchange(&address, &charge("k3", "{\"amount\":6}", "")).await;
        assert_eq!(status(&answer), 422);
        assert_eq!(header(&answer, "x-verdict"), Some("not-run"));
        assert_eq!(deployment.run_log.run_count_by_key("k3"), 1);
        deployment.shut_down();
    });
}

#[test]
fn charge_refused_while_store_is_down() {
    block_on(async {
        let deployment = start(&plan(2, 1)).await;
        deployment
            .platform
            .change_faults(|faults| faults.is_down = true);
        let address = callers(&deployment, 0);
        let answer = exchange(&address, &charge("k4", "{}", "")).await;
        assert_eq!(header(&answer, "x-verdict"), Some("not-run"), "{answer}");
        assert_eq!(header(&answer, "x-cause"), Some("journal-unavailable"));
        // Work that needs no journal goes on.
        let chart = exchange(&address, &get("/mapview/charts/a", "")).await;
        assert_eq!(status(&chart), 200);
        assert_eq!(deployment.run_log.run_count_by_key("k4"), 0);
        deployment
            .platform
            .change_faults(|faults| faults.is_down = false);
        async_std::task::sleep(Duration::from_secs(2)).await;
        let answer = exchange(&address, &charge("k4b", "{}", "")).await;
        assert_eq!(status(&answer), 200, "{answer}");
        deployment.shut_down();
    });
}

#[test]
fn charge_runs_once_with_lost_answers_and_host_loss() {
    block_on(async {
        let deployment = start(&plan(3, 2)).await;
        deployment
            .platform
            .change_faults(|faults| faults.lost_answers_percent = 50);
        for number in 0..12 {
            let key = format!("lost{number}");
            for host in [number % 2, 1, 0] {
                exchange(&callers(&deployment, host), &charge(&key, "{}", "")).await;
            }
            if number == 6 {
                deployment.running()[2].host.kill();
            }
            assert!(deployment.run_log.run_count_by_key(&key) <= 1, "{key}");
        }
        assert_eq!(deployment.run_log.summary().double_runs, 0);
        deployment.shut_down();
    });
}

#[test]
fn charge_on_dying_upstream_is_not_repeated() {
    block_on(async {
        let deployment = start(&plan(2, 2)).await;
        let address = callers(&deployment, 0);
        let killer = {
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
        let answer = exchange(&address, &request).await;
        killer.await;
        assert_eq!(
            header(&answer, "x-verdict"),
            Some("may-have-run"),
            "{answer}"
        );
        let again = exchange(&address, &request).await;
        assert_eq!(header(&again, "x-verdict"), Some("may-have-run"), "{again}");
        assert_eq!(deployment.run_log.run_count_by_key("k5"), 1);
        deployment.shut_down();
    });
}
