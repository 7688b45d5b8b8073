//! Relays under the load of hundreds of hosts and upstreams: how many requests use a
//! connection again, how evenly hosts share the work, and what a joining or leaving host
//! changes.

use fastrand::Rng;
use indexmap::IndexMap;
use kernel::{Moment, UpstreamId};
use relay::{
    RelayHost, RelayMode, RequestRates, SendWay, WayFacts, choose_relay, choose_way,
    program_version,
};
use rstest::rstest;
use std::time::Duration;

const IDLE_LIFE: Duration = Duration::from_millis(8_500);
/// Maximum idle time of a connection for a request that must not run twice.
const FRESH_LIFE: Duration = Duration::from_secs(1);
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Requests that must not run twice, as a fraction of all.
const NON_IDEMPOTENT_SHARE: f64 = 0.2;
/// Time after which the connections count as established.
const WARM_UP: Duration = Duration::from_secs(20);
const PROGRAM: u32 = 7;

fn hosts(count: usize) -> Vec<RelayHost> {
    let host = |index| RelayHost {
        name: format!("host-{index}"),
        address: "127.0.0.1:7201".parse().expect("an address"),
        program: PROGRAM,
    };
    (0..count).map(host).collect()
}

fn upstreams(count: usize) -> Vec<UpstreamId> {
    let id = |index| UpstreamId::from(format!("upstream-{index}"));
    (0..count).map(id).collect()
}

/// A deployment of domains that have the same number of hosts.
#[derive(Clone, Copy)]
struct Deployment {
    domains: usize,
    hosts_per_domain: usize,
    upstreams: usize,
    requests_per_s: f64,
    seconds: f64,
}

const LARGE: Deployment = Deployment {
    domains: 4,
    hosts_per_domain: 34,
    upstreams: 372,
    requests_per_s: 2_300.0,
    seconds: 50.0,
};

/// Connections by owner and upstream: when each was or will be idle.
type Pools = IndexMap<(usize, usize, usize), Vec<Moment>>;

#[derive(Debug, Default)]
struct LoadResult {
    requests: f64,
    reused: f64,
    relayed: f64,
    max_connections_per_upstream: usize,
}

impl LoadResult {
    fn reuse(&self) -> f64 {
        self.reused / self.requests
    }
}

/// Takes an idle connection that is younger than `max_idle`; drops those that expired.
fn take(pools: &mut Pools, key: (usize, usize, usize), now: Moment, max_idle: Duration) -> bool {
    let pool = pools.entry(key).or_default();
    pool.retain(|idle_since| now < *idle_since + IDLE_LIFE);
    pool.sort();
    let fitting = |since: &Moment| *since <= now && now - *since <= max_idle;
    let Some(index) = pool.iter().rposition(fitting) else {
        return false;
    };
    pool.remove(index);
    true
}

fn play(mode: RelayMode, deployment: Deployment) -> LoadResult {
    let mut random = Rng::with_seed(5);
    let (hosts, ids) = (
        hosts(deployment.hosts_per_domain),
        upstreams(deployment.upstreams),
    );
    let mut rates = vec![RequestRates::default(); deployment.domains * hosts.len()];
    let mut pools = Pools::new();
    let mut result = LoadResult::default();
    let mut now_s = 0.0;
    while now_s < deployment.seconds {
        now_s -= (1.0 - random.f64()).ln() / deployment.requests_per_s;
        let now = Moment::from_micros((now_s * 1e6) as u64);
        let domain = random.usize(0..deployment.domains);
        let host = random.usize(0..hosts.len());
        let upstream = random.usize(0..ids.len());
        let is_idempotent = random.f64() >= NON_IDEMPOTENT_SHARE;
        let max_idle = if is_idempotent { IDLE_LIFE } else { FRESH_LIFE };
        let own = (domain, host, upstream);
        let has_own_connection = take(&mut pools, own, now, max_idle);
        let rates = &mut rates[domain * hosts.len() + host];
        rates.record(now, &ids[upstream], IDLE_LIFE);
        let facts = WayFacts {
            mode,
            host: &hosts[host].name,
            program: PROGRAM,
            upstream: ids[upstream].as_str(),
            has_own_connection,
            is_repeat: false,
            may_have_run: false,
            hosts: Some(&hosts),
            reuse_probability: rates.reuse_probability(
                now,
                &ids[upstream],
                (!is_idempotent).then_some(FRESH_LIFE),
            ),
            may_need_token: false,
        };
        let way = choose_way(&facts, |_| false);
        let (owner, is_reused) = match way {
            SendWay::Relayed(relay) => {
                let index = hosts.iter().position(|host| host.name == relay.name);
                let key = (domain, index.expect("a listed host"), upstream);
                (key, take(&mut pools, key, now, max_idle))
            }
            _ => (own, has_own_connection),
        };
        pools.entry(owner).or_default().push(now + SERVICE_TIME);
        if now_s < WARM_UP.as_secs_f64() {
            continue;
        }
        result.requests += 1.0;
        result.reused += f64::from(u8::from(is_reused));
        result.relayed += f64::from(u8::from(matches!(way, SendWay::Relayed(_))));
    }
    let end = Moment::from_micros((now_s * 1e6) as u64);
    let mut by_upstream = vec![0; ids.len()];
    for ((_, _, upstream), pool) in &pools {
        by_upstream[*upstream] += pool.iter().filter(|at| end < **at + IDLE_LIFE).count();
    }
    result.max_connections_per_upstream = by_upstream.into_iter().max().unwrap_or_default();
    result
}

/// Guards against the fault that the relay is for: nearly every request opened a
/// connection of its own, as hosts seldom call the same upstream.
#[rstest]
#[case::on(RelayMode::On)]
#[case::auto(RelayMode::Auto)]
fn choose_way_large_deployment_reuses_connections(#[case] mode: RelayMode) {
    let without = play(RelayMode::Off, LARGE);
    let with = play(mode, LARGE);
    println!("off: {without:?}\n{mode:?}: {with:?}");
    assert!(without.reuse() < 0.5, "{}", without.reuse());
    assert!(with.reuse() > 0.9, "{}", with.reuse());
    assert!(with.max_connections_per_upstream * 2 < without.max_connections_per_upstream);
}

/// Guards against a needless hop in a deployment whose hosts call each upstream often.
#[test]
fn choose_way_busy_hosts_in_auto_mode_use_their_own_connections() {
    let busy = Deployment {
        domains: 2,
        hosts_per_domain: 3,
        upstreams: 10,
        requests_per_s: 600.0,
        seconds: 40.0,
    };
    let result = play(RelayMode::Auto, busy);
    println!("{result:?}");
    assert!(result.relayed < 0.05 * result.requests, "{result:?}");
    assert!(result.reuse() > 0.9, "{result:?}");
}

/// Guards against a host that keeps the connections of far more upstreams than others: a
/// small host has no room for them.
#[rstest]
#[case::few_hosts(8, 326)]
#[case::many_hosts(34, 372)]
#[case::more_hosts(200, 2_000)]
fn choose_relay_spreads_upstreams_evenly(#[case] host_count: usize, #[case] count: usize) {
    let hosts = hosts(host_count);
    let mut by_host: IndexMap<&str, usize> = IndexMap::new();
    for upstream in upstreams(count) {
        let relay = choose_relay(&hosts, PROGRAM, upstream.as_str()).expect("a host");
        *by_host.entry(relay.name.as_str()).or_default() += 1;
    }
    let mean = count as f64 / host_count as f64;
    // Hashing puts the count of a host within four standard deviations of the mean.
    let max = by_host.values().copied().max().unwrap_or_default() as f64;
    assert!(max < mean + 4.0 * mean.sqrt(), "{max} of mean {mean}");
    assert_eq!(by_host.len(), host_count);
}

/// Guards against a choice that moves most upstreams, and so closes most connections, when
/// one host joins or leaves.
#[test]
fn choose_relay_joining_host_takes_only_its_own_upstreams() {
    let with = hosts(35);
    let without = &with[..34];
    let upstreams = upstreams(372);
    let mut moved = 0;
    for upstream in &upstreams {
        let before = choose_relay(without, PROGRAM, upstream.as_str());
        let after = choose_relay(&with, PROGRAM, upstream.as_str());
        if before != after {
            assert_eq!(after.map(|host| host.name.as_str()), Some("host-34"));
            moved += 1;
        }
    }
    assert!(moved > 0 && moved < 3 * upstreams.len() / 34, "{moved}");
}

/// Guards against relaying between hosts that understand messages differently.
#[test]
fn choose_relay_other_program_version_is_left_out() {
    assert_ne!(program_version("0.1.0"), program_version("0.2.0"));
    let mut hosts = hosts(4);
    hosts[1].program = 8;
    for upstream in upstreams(100) {
        let relay = choose_relay(&hosts, PROGRAM, upstream.as_str()).expect("a host");
        assert_ne!(relay.name, "host-1");
        let relay = choose_relay(&hosts, 8, upstream.as_str()).expect("a host");
        assert_eq!(relay.name, "host-1");
    }
}
