//! Failure domains that are isolated from the platform, from each other, or both.

mod common;

use async_std::task::block_on;
use common::{charge, exchange, get, header, start_deployment, status};
use kernel::DomainName;
use std::time::{Duration, Instant};
use trial::{Deployment, RunningHost, TrialPlan};

async fn two_domains() -> Deployment {
    let mut plan = TrialPlan::small();
    plan.domains.truncate(2);
    start_deployment(&plan).await
}

fn hosts_in(deployment: &Deployment, domain: &DomainName, is_inside: bool) -> Vec<RunningHost> {
    let mut hosts = deployment.running_hosts();
    hosts.retain(|running| (running.domain == *domain) == is_inside);
    hosts
}

/// Requests `count` keys from a host. Returns how many requests succeeded, the causes
/// of the failures and the maximum latency.
async fn request_charts(host: &RunningHost, count: usize) -> (usize, Vec<String>, Duration) {
    let address = &host.host.addresses().clients;
    let (mut succeeded, mut causes, mut max_latency) = (0, Vec::new(), Duration::ZERO);
    for number in 0..count {
        let started = Instant::now();
        let path = format!("/mapview/charts/key-{number}");
        let response = exchange(address, &get(&path, "x-deadline-ms: 1500\r\n")).await;
        max_latency = max_latency.max(started.elapsed());
        if status(&response) == 200 {
            succeeded += 1;
        } else {
            causes.push(header(&response, "x-cause").unwrap_or("none").to_owned());
        }
    }
    (succeeded, causes, max_latency)
}

#[test]
fn outage_of_path_to_platform_is_relayed() {
    block_on(async {
        let deployment = two_domains().await;
        let domain = deployment.plan.domains[0].clone();
        // Hosts learn of possible relays from heartbeats of hosts in other domains.
        async_std::task::sleep(Duration::from_secs(2)).await;
        deployment.cut_domain(&domain, false, true);
        async_std::task::sleep(Duration::from_secs(3)).await;
        let inside = hosts_in(&deployment, &domain, true);
        for (number, running) in inside.iter().enumerate() {
            let address = &running.host.addresses().clients;
            let key = format!("relayed{number}");
            let response = exchange(address, &charge(&key, "{}", "")).await;
            assert_eq!(status(&response), 200, "{response}");
        }
        let (succeeded, causes, _) = request_charts(&inside[0], 40).await;
        assert_eq!((succeeded, causes), (40, Vec::new()));
        assert_eq!(deployment.run_log.summary().details, Vec::<String>::new());
        deployment.shut_down();
    });
}

#[test]
fn outage_of_domain_serves_each_key_on_one_side() {
    block_on(async {
        let deployment = two_domains().await;
        let domain = deployment.plan.domains[0].clone();
        async_std::task::sleep(Duration::from_secs(2)).await;
        deployment.cut_domain(&domain, true, true);
        async_std::task::sleep(Duration::from_secs(4)).await;
        let inside = hosts_in(&deployment, &domain, true);
        let outside = hosts_in(&deployment, &domain, false);
        let (succeeded, causes, max_latency) = request_charts(&inside[0], 40).await;
        assert!(succeeded > 5, "the domain serves its own keys: {causes:?}");
        assert!(
            causes.iter().all(|cause| cause == "domain-unreachable"),
            "{causes:?}"
        );
        assert!(max_latency < Duration::from_secs(1), "{max_latency:?}");
        let (succeeded_outside, causes, max_latency) = request_charts(&outside[0], 40).await;
        assert_eq!(
            succeeded + succeeded_outside,
            40,
            "each key is served on one side of the cut: {causes:?}"
        );
        assert!(max_latency < Duration::from_secs(1), "{max_latency:?}");
        deployment.cut_domain(&domain, false, false);
        deployment.silence_relays();
        async_std::task::sleep(Duration::from_secs(4)).await;
        let (succeeded, causes, _) = request_charts(&outside[0], 40).await;
        assert_eq!((succeeded, causes), (40, Vec::new()));
        assert_eq!(deployment.run_log.summary().details, Vec::<String>::new());
        deployment.shut_down();
    });
}
