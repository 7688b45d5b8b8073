//! Sending of requests over the host's own connections or through the relay of an
//! upstream.

use crate::answer::UpstreamAnswer;
use crate::body_memory::BodyError;
use crate::cold_budget::SendPermit;
use crate::exchange::{ExchangeFailure, ExchangeResult, Exchanger, connection_choice};
use crate::peers::PeerRegistry;
use crate::pool::{ConnectionChoice, ConnectionPool, MAX_FRESH_IDLE, idle_life};
use crate::relay_list::WireRelayOffer;
use crate::request::OutgoingRequest;
use async_std::future::timeout;
use async_std::net::TcpStream;
use fleet::UpstreamEntry;
use h1::{Connection, HeadLimits, HeaderList, ResponseHead, ResponsePart, encode_request_head};
use kernel::{Cause, Moment, UpstreamId};
use log::debug;
use parking_lot::Mutex;
use place::RequestOutcome;
use relay::{
    AvoidedRelays, DirectReason, HostList, NextStep, RelayAdmission, RelayCall, RelayEnd,
    RelayHost, RelayMode, RelayRefusal, RelayReply, RequestRates, SendWay, WayFacts, choose_relay,
    choose_way, is_relay_header, next_step,
};
use std::sync::Arc;
use std::time::Duration;

/// Time without a message of the leader after which its list of hosts is out of date; the
/// leader itself drops hosts that it does not hear for as long.
const MAX_LEADER_SILENCE: Duration = Duration::from_secs(5);
/// Time without a byte after which a relay that has a request counts as frozen: three of
/// its signs of life, so that a host of 0.07 cores that waits for its next share of the
/// processor does not.
const MAX_RELAY_SILENCE: Duration = Duration::from_millis(500);
/// Keep-alive of connections between hosts, which run the same version of the program; the
/// relay closes them later.
const LINK_KEEP_ALIVE: &str = "timeout=30";
/// Maximum number of idle connections to one relay.
const MAX_IDLE_LINKS: u32 = 4;
/// Bytes that the headers between two hosts may add to a head, and their number.
pub(crate) const RELAY_HEAD_BYTES: usize = 4 << 10;
pub(crate) const RELAY_HEADERS: usize = 16;

/// Chooses the way of each request, and sends requests through relays.
#[derive(Debug)]
pub(crate) struct RelayClient {
    pub mode: RelayMode,
    pub host: String,
    /// Port at which this host relays.
    pub port: u16,
    pub program: u32,
    pub peers: Arc<PeerRegistry>,
    /// Bound on the requests that this host relays.
    pub admission: RelayAdmission,
    pub links: ConnectionPool,
    pub avoided: Mutex<AvoidedRelays>,
    pub rates: Mutex<RequestRates>,
}

/// What earlier attempts of a request mean for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptFacts {
    /// Whether the upstream may have answered an earlier attempt.
    pub is_repeat: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
}

impl RelayClient {
    /// Returns the offer to relay for this host's report.
    pub(crate) fn offer(&self) -> WireRelayOffer {
        let port = (!self.admission.is_stopping()).then_some(self.port);
        WireRelayOffer::new(port, self.program, self.peers.relay_lists.current().version)
    }

    /// Returns how many idle connections to an upstream this host keeps, where each host
    /// may keep `max_idle`: those of the whole domain if it relays for the others.
    pub(crate) fn max_idle(&self, upstream: &UpstreamId, max_idle: u32) -> u32 {
        let list = self.peers.relay_lists.current();
        let relay = choose_relay(&list.hosts, self.program, upstream.as_str());
        let is_relay = relay.is_some_and(|relay| relay.name == self.host);
        let host_count = if is_relay { list.hosts.len() } else { 1 };
        max_idle.saturating_mul(host_count as u32)
    }

    /// Sends a request to an upstream by the best way, and reads and judges its answer.
    pub(crate) async fn exchange(
        &self,
        exchanger: &Exchanger,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        attempt: AttemptFacts,
        max_idle: u32,
        permit: &mut SendPermit<'_>,
    ) -> ExchangeResult {
        let now = exchanger.clock.now();
        let max_idle = self.max_idle(&entry.id, max_idle);
        let choice = connection_choice(attempt.is_repeat, request.is_idempotent);
        let own_connection = exchanger.pool.take_idle(now, &entry.id, choice);
        let list = self.current_list().filter(|_| is_relayable(request));
        let hosts = list.as_ref().map(|list| list.hosts.as_slice());
        let reuse_probability = self.record_request(now, entry, request);
        let facts = WayFacts {
            mode: self.mode,
            host: &self.host,
            program: self.program,
            upstream: entry.id.as_str(),
            has_own_connection: own_connection.is_some(),
            is_repeat: attempt.is_repeat,
            may_have_run: attempt.may_have_run,
            hosts,
            reuse_probability,
            may_need_token: permit.may_need_token(),
        };
        let way = choose_way(&facts, |relay| self.avoided.lock().is_avoided(now, relay));
        log_way(request, entry, way, reuse_probability);
        let fetched = match (way, own_connection) {
            (SendWay::Relayed(relay), _) => {
                self.fetch_relayed(relay, exchanger, entry, request, max_idle, permit)
                    .await
            }
            (_, Some(connection)) => {
                exchanger
                    .fetch_over(connection, entry, request, max_idle, permit)
                    .await
            }
            (_, None) => {
                exchanger
                    .fetch(entry, request, attempt.is_repeat, max_idle, permit)
                    .await
            }
        };
        match fetched {
            Ok(answer) => {
                if let Some(keep_alive) = answer.headers.get("keep-alive") {
                    let life = idle_life(Some(keep_alive));
                    self.rates.lock().set_idle_life(&entry.id, life);
                }
                exchanger.judge(&entry.id, answer)
            }
            Err(failure) => failure.into(),
        }
    }

    /// Drops expired connections, and what is known of hosts and upstreams that are gone.
    pub(crate) fn prune(&self, now: Moment, is_known: impl Fn(&UpstreamId) -> bool) {
        self.rates.lock().prune(now, is_known);
        self.links.prune(now, |_| true);
        let list = self.peers.relay_lists.current();
        let is_listed = |name: &str| list.hosts.iter().any(|host| host.name == name);
        self.avoided.lock().retain(is_listed);
    }

    /// Returns the list of hosts, unless there is none or it is out of date.
    fn current_list(&self) -> Option<Arc<HostList>> {
        let is_current = self.peers.is_leader_live(MAX_LEADER_SILENCE);
        is_current.then(|| self.peers.relay_lists.current())
    }

    /// Records a request; returns the probability that an own connection for it would be
    /// used again.
    fn record_request(
        &self,
        now: Moment,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
    ) -> f64 {
        let max_idle = (!request.is_idempotent).then_some(MAX_FRESH_IDLE);
        let mut rates = self.rates.lock();
        rates.record(now, &entry.id, idle_life(None));
        rates.reuse_probability(now, &entry.id, max_idle)
    }

    /// Sends a request through a relay, or directly if the relay has certainly not
    /// forwarded it.
    async fn fetch_relayed(
        &self,
        relay: &RelayHost,
        exchanger: &Exchanger,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        max_idle: u32,
        permit: &mut SendPermit<'_>,
    ) -> Result<UpstreamAnswer, ExchangeFailure> {
        let (end, answer) = self.forward(relay, exchanger, entry, request).await;
        let step = next_step(&end);
        self.record_end(exchanger, relay, request, &end, step);
        match &end {
            RelayEnd::Replied(RelayReply::Refused(RelayRefusal::Cold)) => permit.require_token(),
            RelayEnd::Replied(RelayReply::Failed {
                outcome: RequestOutcome::Unreachable,
                ..
            }) => permit.record_relay_timeout(),
            _ => {}
        }
        match (step, answer) {
            (NextStep::UseAnswer, Some(answer)) => {
                permit.record_relayed_answer(answer.headers.get_number(exchanger.names.cold));
                Ok(answer)
            }
            (NextStep::SendDirectly, _) => {
                exchanger
                    .fetch(entry, request, false, max_idle, permit)
                    .await
            }
            (NextStep::Fail { cause, outcome }, _) => Err(ExchangeFailure::new(cause, outcome)),
            // An answer is there whenever the relay replied with one.
            (NextStep::UseAnswer, None) => Err(ExchangeFailure::new(
                Cause::RelayLost,
                RequestOutcome::Abandoned,
            )),
        }
    }

    fn record_end(
        &self,
        exchanger: &Exchanger,
        relay: &RelayHost,
        request: &OutgoingRequest<'_>,
        end: &RelayEnd,
        step: NextStep,
    ) {
        let now = exchanger.clock.now();
        if end.is_relay_at_fault() {
            self.avoided.lock().record_failure(now, &relay.name);
        } else if matches!(end, RelayEnd::Replied(_)) {
            self.avoided.lock().record_success(now, &relay.name);
        }
        if step != NextStep::SendDirectly {
            exchanger
                .metrics
                .sends
                .with_label_values(&["relayed"])
                .inc();
        }
        if let Some(failure) = end.failure() {
            debug!(
                target: "relay",
                "request={} relay={} failure={failure} next={step:?}", request.id, relay.name,
            );
            let failures = &exchanger.metrics.relay_failures;
            failures.with_label_values(&[failure]).inc();
        }
    }

    /// Sends a request to a relay and reads its complete response.
    async fn forward(
        &self,
        relay: &RelayHost,
        exchanger: &Exchanger,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
    ) -> (RelayEnd, Option<UpstreamAnswer>) {
        let clock = &exchanger.clock;
        let now = clock.now();
        let link = UpstreamId::from(relay.address.to_string());
        // The kernel probes idle connections between hosts every second, so that one to a
        // host that is gone is closed within a few seconds.
        let choice = ConnectionChoice::Idle;
        let remaining = request.deadline - now;
        let connecting = self
            .links
            .take(now, &link, relay.address, choice, remaining);
        let Ok(mut ready) = connecting.await else {
            return (RelayEnd::NotWritten, None);
        };
        let connection = &mut ready.connection;
        let remaining = request.deadline - clock.now();
        let mut bytes = self.encode_head(entry, request, remaining);
        let blocks = request.body.blocks_behind(&mut bytes);
        let writing = async {
            connection.write(&bytes).await?;
            for block in blocks {
                connection.write(block).await?;
            }
            h1::Result::Ok(())
        };
        if !matches!(timeout(remaining, writing).await, Ok(Ok(()))) {
            return (RelayEnd::NotWritten, None);
        }
        let head = match self.read_head(connection, relay, exchanger, request).await {
            Ok(head) => head,
            Err(end) => return (end, None),
        };
        let (is_kept, body_length) = (head.keeps_alive, head.body);
        let (end, answer) = read_reply(connection, exchanger, request, head).await;
        let is_read = answer.is_some() || body_length == h1::BodyLength::Fixed(0);
        if is_kept && is_read {
            let now = clock.now();
            let keep_alive = Some(LINK_KEEP_ALIVE);
            self.links
                .put(now, &link, ready, keep_alive, MAX_IDLE_LINKS);
        }
        (end, answer)
    }

    fn encode_head(
        &self,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        time_left: Duration,
    ) -> Vec<u8> {
        let call = RelayCall {
            program: self.program,
            request: request.id.clone(),
            upstream: entry.id.clone(),
            run: entry.started_at_ms,
            time_left,
            is_repeatable: request.is_idempotent,
        };
        let mut headers = request.headers.clone();
        headers.remove_where(is_relay_header);
        for (name, value) in HeaderList::from(&call).iter() {
            headers.push(name, value);
        }
        encode_request_head(request.method, request.target, &headers)
    }

    /// Reads the head of the relay's final response. Interim responses show that the
    /// relay is not frozen.
    async fn read_head(
        &self,
        connection: &mut Connection<TcpStream>,
        relay: &RelayHost,
        exchanger: &Exchanger,
        request: &OutgoingRequest<'_>,
    ) -> Result<ResponseHead, RelayEnd> {
        let defaults = HeadLimits::default();
        let limits = HeadLimits {
            max_bytes: defaults.max_bytes + RELAY_HEAD_BYTES,
            max_headers: defaults.max_headers + RELAY_HEADERS,
        };
        let mut is_silent = false;
        loop {
            let remaining = request.deadline - exchanger.clock.now();
            if remaining.is_zero() {
                return Err(RelayEnd::TimedOut);
            }
            let max_silence = if is_silent {
                remaining
            } else {
                remaining.min(MAX_RELAY_SILENCE)
            };
            let reading = connection.read_response_part(&limits, request.method);
            match timeout(max_silence, reading).await {
                Ok(Ok(ResponsePart::Final(head))) => return Ok(head),
                Ok(Ok(ResponsePart::Interim)) => {}
                Ok(Err(h1::Error::Io(_) | h1::Error::Truncated)) => return Err(RelayEnd::Lost),
                Ok(Err(_)) => return Err(RelayEnd::Unintelligible),
                Err(_elapsed) if max_silence == remaining => return Err(RelayEnd::TimedOut),
                Err(_elapsed) if request.is_idempotent => return Err(RelayEnd::Silent),
                Err(_elapsed) => {
                    // A request that must not run twice gains nothing from an early end,
                    // but others need not go the same way.
                    is_silent = true;
                    let now = exchanger.clock.now();
                    self.avoided.lock().record_failure(now, &relay.name);
                }
            }
        }
    }
}

/// Reads what follows the head of a relay's response.
async fn read_reply(
    connection: &mut Connection<TcpStream>,
    exchanger: &Exchanger,
    request: &OutgoingRequest<'_>,
    mut head: ResponseHead,
) -> (RelayEnd, Option<UpstreamAnswer>) {
    let Ok(reply) = RelayReply::parse(&head.headers, request.id) else {
        return (RelayEnd::Unintelligible, None);
    };
    let RelayReply::Answered { keep_alive } = &reply else {
        return (RelayEnd::Replied(reply), None);
    };
    let remaining = request.deadline - exchanger.clock.now();
    let reading = exchanger
        .memory
        .read_body(connection, head.body, exchanger.max_answer);
    let body = match timeout(remaining, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::Connection(_))) => return (RelayEnd::Lost, None),
        Ok(Err(BodyError::TooLarge | BodyError::NoMemory)) => {
            let failed = RelayReply::Failed {
                cause: Cause::AnswerInvalid,
                outcome: RequestOutcome::Failed,
            };
            return (RelayEnd::Replied(failed), None);
        }
        Err(_elapsed) => return (RelayEnd::TimedOut, None),
    };
    head.headers.remove_where(is_relay_header);
    if let Some(keep_alive) = keep_alive {
        head.headers.push("keep-alive", keep_alive.as_str());
    }
    let answer = UpstreamAnswer {
        status: head.status,
        headers: head.headers,
        body,
        is_bodiless: request.method == "HEAD" || matches!(head.status, 204 | 304),
    };
    (RelayEnd::Replied(reply), Some(answer))
}

/// Returns whether a relay can read a request: one of HTTP/1.0 may have no host header.
fn is_relayable(request: &OutgoingRequest<'_>) -> bool {
    let names = request.headers.iter().map(|(name, _)| name);
    names.filter(|name| *name == "host").count() == 1
}

fn log_way(
    request: &OutgoingRequest<'_>,
    entry: &UpstreamEntry,
    way: SendWay<'_>,
    reuse_probability: f64,
) {
    let (way, relay, reason) = match way {
        SendWay::Own => ("own", "none", "none"),
        SendWay::Relayed(relay) => ("relayed", relay.name.as_str(), "none"),
        SendWay::Direct(reason) => ("new", "none", DirectReason::as_str(reason)),
    };
    debug!(
        target: "relay",
        "request={} upstream={} way={way} relay={relay} reason={reason} reuse={reuse_probability:.2}",
        request.id, entry.id,
    );
}
