//! Failure domains cut off from the platform, from each other, or from both.

mod common;

use async_std::task::block_on;
use common::{charge, exchange, get, header, start, status};
use kernel::DomainName;
use std::time::{Duration, Instant};
use trial::{Deployment, RunningHost, TrialPlan};

async fn two_domains() -> Deployment {
    let mut plan = TrialPlan::small();
    plan.domains.truncate(2);
    start(&plan).await
}

fn hosts_in(deployment: &Deployment, domain: &DomainName, is_inside: bool) -> Vec<RunningHost> {
    let mut hosts = deployment.running();
    hosts.retain(|running| (running.domain == *domain) == is_inside);
    hosts
}

/// Asks a host for many keys; returns how many were answered, the causes of the
/// others, and the longest time that one took.
async fn ask(host: &RunningHost, count: usize) -> (usize, Vec<String>, Duration) {
    let address = &host.host.addresses().callers;
    let (mut answered, mut causes, mut longest) = (0, Vec::new(), Duration::ZERO);
    for number in 0..count {
        let began = Instant::now();
        let path = format!("/mapview/charts/key-{number}");
        let answer = exchange(address, &get(&path, "x-deadline-ms: 1500\r\n")).await;
        longest = longest.max(began.elapsed());
        if status(&answer) == 200 {
            answered += 1;
        } else {
            causes.push(header(&answer, "x-cause").unwrap_or("none").to_owned());
        }
    }
    (answered, causes, longest)
}

#[test]
fn outage_of_path_to_platform_goes_by_relay() {
    block_on(async {
        let deployment = two_domains().await;
        let domain = deployment.plan.domains[0].clone();
        // Hosts learn of relays from those that they hear in other domains.
        async_std::task::sleep(Duration::from_secs(2)).await;
        deployment.cut_domain(&domain, false, true);
        async_std::task::sleep(Duration::from_secs(3)).await;
        let inside = hosts_in(&deployment, &domain, true);
        for (number, running) in inside.iter().enumerate() {
            let address = &running.host.addresses().callers;
            let key = format!("relayed{number}");
            let answer = exchange(address, &charge(&key, "{}", "")).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
        let (answered, causes, _) = ask(&inside[0], 40).await;
        assert_eq!((answered, causes), (40, Vec::new()));
        assert_eq!(deployment.run_log.summary().details, Vec::<String>::new());
        deployment.shut_down();
    });
}

#[test]
fn outage_of_domain_refused_at_once_and_served_inside() {
    block_on(async {
        let deployment = two_domains().await;
        let domain = deployment.plan.domains[0].clone();
        async_std::task::sleep(Duration::from_secs(2)).await;
        deployment.cut_domain(&domain, true, true);
        async_std::task::sleep(Duration::from_secs(4)).await;
        let inside = hosts_in(&deployment, &domain, true);
        let outside = hosts_in(&deployment, &domain, false);
        let (answered, causes, longest) = ask(&inside[0], 40).await;
        assert!(
            answered > 5,
            "the domain goes on with its own keys: {causes:?}"
        );
        assert!(
            causes.iter().all(|cause| cause == "domain-unreachable"),
            "{causes:?}"
        );
        assert!(longest < Duration::from_secs(1), "{longest:?}");
        let (served, causes, longest) = ask(&outside[0], 40).await;
        assert_eq!(
            answered + served,
            40,
            "each key is served on one side: {causes:?}"
        );
        assert!(longest < Duration::from_secs(1), "{longest:?}");
        deployment.cut_domain(&domain, false, false);
        deployment.silence_relays();
        async_std::task::sleep(Duration::from_secs(4)).await;
        let (answered, causes, _) = ask(&outside[0], 40).await;
        assert_eq!((answered, causes), (40, Vec::new()));
        assert_eq!(deployment.run_log.summary().details, Vec::<String>::new());
        deployment.shut_down();
    });
}
