//! Messages between a host and a relay, as headers of a request and its response.

use h1::HeaderList;
use kernel::{Cause, RequestId, UpstreamId, Verdict};
use place::RequestOutcome;
use std::fmt;
use std::time::Duration;

/// Start of the names of all headers that only hosts exchange.
const PREFIX: &str = "trestle-relay-";
const PROGRAM: &str = "trestle-relay-program";
const REQUEST: &str = "trestle-relay-request";
const UPSTREAM: &str = "trestle-relay-upstream";
const RUN: &str = "trestle-relay-run";
const TIME_LEFT_MS: &str = "trestle-relay-time-left-ms";
const REPEATABLE: &str = "trestle-relay-repeatable";
const VERDICT: &str = "trestle-relay-verdict";
const REASON: &str = "trestle-relay-reason";
const OUTCOME: &str = "trestle-relay-outcome";
const KEEP_ALIVE: &str = "trestle-relay-keep-alive";

/// Returns whether a header is one that only hosts exchange; `name` must be in lower
/// case.
pub fn is_relay_header(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// A message without a field, or with an invalid one; its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallError(&'static str);

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "missing or invalid header {}", self.0)
    }
}

impl std::error::Error for CallError {}

/// What a host tells a relay beside the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCall {
    /// Version of the sender's program.
    pub program: u32,
    /// Id of the request, by which the response is matched.
    pub request: RequestId,
    /// The upstream that the sender selected.
    pub upstream: UpstreamId,
    /// Start time of the upstream's run, in Unix milliseconds.
    pub run: u64,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
}

impl RelayCall {
    /// Returns the version of the sender's program and the id of the request, which are in
    /// the calls of all versions.
    pub fn envelope(headers: &HeaderList) -> Option<(u32, RequestId)> {
        let program = u32::try_from(headers.get_number(PROGRAM)?).ok()?;
        Some((program, RequestId::from(headers.get(REQUEST)?)))
    }
}

impl From<&RelayCall> for HeaderList {
    fn from(call: &RelayCall) -> Self {
        let mut headers = Self::new();
        headers.push(PROGRAM, call.program.to_string());
        headers.push(REQUEST, call.request.as_str());
        headers.push(UPSTREAM, call.upstream.as_str());
        headers.push(RUN, call.run.to_string());
        headers.push(TIME_LEFT_MS, call.time_left.as_millis().to_string());
        headers.push(REPEATABLE, if call.is_repeatable { "1" } else { "0" });
        headers
    }
}

impl TryFrom<&HeaderList> for RelayCall {
    type Error = CallError;

    fn try_from(headers: &HeaderList) -> Result<Self, Self::Error> {
        let text = |name: &'static str| headers.get(name).ok_or(CallError(name));
        let number = |name: &'static str| headers.get_number(name).ok_or(CallError(name));
        Ok(Self {
            program: u32::try_from(number(PROGRAM)?).map_err(|_range| CallError(PROGRAM))?,
            request: RequestId::from(text(REQUEST)?),
            upstream: UpstreamId::from(text(UPSTREAM)?),
            run: number(RUN)?,
            time_left: Duration::from_millis(number(TIME_LEFT_MS)?),
            is_repeatable: match text(REPEATABLE)? {
                "1" => true,
                "0" => false,
                _ => return Err(CallError(REPEATABLE)),
            },
        })
    }
}

/// Why a relay did not forward a request; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayRefusal {
    /// The relay holds as many requests or as much memory as it may.
    Full,
    /// The relay is stopping.
    Stopping,
    /// The relay knows no such upstream, or another run of it.
    WrongRun,
    /// The relay runs another version of the program.
    OtherProgram,
    /// The request was not complete or not intelligible.
    Invalid,
    /// The relay knows that the upstream is cold and limited; the sender needs a token.
    Cold,
    /// The upstream refused the relay's connection. Where cold upstreams are limited, the
    /// sender has to see this itself, as the upstream may return cold.
    ConnectionRefused,
}

impl RelayRefusal {
    const ALL: [Self; 7] = [
        Self::Full,
        Self::Stopping,
        Self::WrongRun,
        Self::OtherProgram,
        Self::Invalid,
        Self::Cold,
        Self::ConnectionRefused,
    ];

    /// Returns the text used in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "relay-full",
            Self::Stopping => "relay-stopping",
            Self::WrongRun => "relay-wrong-run",
            Self::OtherProgram => "relay-other-program",
            Self::Invalid => "relay-invalid",
            Self::Cold => "relay-cold",
            Self::ConnectionRefused => "relay-connection-refused",
        }
    }

    fn parse(text: &str) -> Option<Self> {
        let mut all = Self::ALL.into_iter();
        all.find(|refusal| refusal.as_str() == text)
    }
}

/// Outcomes of an exchange that brought no answer, as texts in headers.
const OUTCOMES: [(RequestOutcome, &str); 4] = [
    (RequestOutcome::Abandoned, "abandoned"),
    (RequestOutcome::Lost, "lost"),
    (RequestOutcome::Reset, "reset"),
    (RequestOutcome::Unreachable, "unreachable"),
];

/// What a relay tells a host beside the upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayReply {
    /// The response is the upstream's answer, which may also be a rejection.
    Answered {
        /// The answer's `Keep-Alive` header.
        keep_alive: Option<String>,
    },
    /// The relay forwarded the request or tried to, and has no answer. The cause says
    /// whether the request may have run.
    Failed {
        /// The reason.
        cause: Cause,
        /// How the exchange ended, for the sender's load estimate.
        outcome: RequestOutcome,
    },
    /// The relay did not forward the request.
    Refused(RelayRefusal),
}

impl RelayReply {
    /// Returns the headers of the response to the request with the id `request`.
    pub fn headers(&self, request: &RequestId) -> HeaderList {
        let mut headers = HeaderList::new();
        headers.push(REQUEST, request.as_str());
        headers.push(VERDICT, self.verdict().as_str());
        match self {
            Self::Answered { keep_alive } => {
                if let Some(keep_alive) = keep_alive {
                    headers.push(KEEP_ALIVE, keep_alive.as_str());
                }
            }
            Self::Failed { cause, outcome } => {
                let known = OUTCOMES.iter().find(|(known, _)| known == outcome);
                headers.push(REASON, cause.as_str());
                headers.push(OUTCOME, known.map_or("abandoned", |(_, text)| *text));
            }
            Self::Refused(refusal) => headers.push(REASON, refusal.as_str()),
        }
        headers
    }

    /// Returns whether the request has run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Answered { .. } => Verdict::Ran,
            Self::Failed { cause, .. } => cause.verdict(),
            Self::Refused(_) => Verdict::NotRun,
        }
    }

    /// Reads the headers of the response to the request with the id `request`.
    ///
    /// # Errors
    ///
    /// Fails when the response is for another request, or its verdict is missing or
    /// contradicts its reason; the request may have run then.
    pub fn parse(headers: &HeaderList, request: &RequestId) -> Result<Self, CallError> {
        if headers.get(REQUEST) != Some(request.as_str()) {
            return Err(CallError(REQUEST));
        }
        let verdict = headers.get(VERDICT).and_then(Verdict::parse);
        let verdict = verdict.ok_or(CallError(VERDICT))?;
        if verdict == Verdict::Ran {
            return Ok(Self::Answered {
                keep_alive: headers.get(KEEP_ALIVE).map(str::to_owned),
            });
        }
        let reason = headers.get(REASON).ok_or(CallError(REASON))?;
        let reply = if let Some(refusal) = RelayRefusal::parse(reason) {
            Self::Refused(refusal)
        } else {
            let outcome = headers.get(OUTCOME).ok_or(CallError(OUTCOME))?;
            let known = OUTCOMES.iter().find(|(_, text)| *text == outcome);
            Self::Failed {
                cause: Cause::parse(reason).ok_or(CallError(REASON))?,
                outcome: known.ok_or(CallError(OUTCOME))?.0,
            }
        };
        if reply.verdict() != verdict {
            return Err(CallError(VERDICT));
        }
        Ok(reply)
    }
}
