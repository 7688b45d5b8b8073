//! Settings of an entry host, parsed from JSON and validated.

use gate::GateLimits;
use indexmap::IndexMap;
use kernel::{DomainName, find_plugin};
use limit::SchedulingPlugin;
use owner::{HostAddress, PlacementPlugin, Timing};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

const MIN_SECRET_BYTES: usize = 16;
const DIGEST_HEX_DIGITS: usize = 64;

/// Settings of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host, which stays the same across restarts.
    pub name: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses that other hosts use; by default those that the host listens on.
    #[serde(default)]
    pub advertise: Option<HostAddress>,
    /// How the platform's services are reached.
    pub platform: PlatformSettings,
    /// Secret shared by the hosts of the deployment.
    pub peer_secret: String,
    /// Hosts to get the state from if the platform can't be reached at startup.
    #[serde(default)]
    pub seeds: Vec<SeedHost>,
    /// Replacements for addresses that this host reaches under another address.
    #[serde(default)]
    pub translations: IndexMap<String, String>,
    /// Tokens of the administration API.
    #[serde(default)]
    pub tokens: Vec<AdminToken>,
    /// Intervals and timeouts of heartbeats, leases and table reads.
    #[serde(default)]
    pub timing: Timing,
    /// Limits on requests and connections.
    #[serde(default)]
    pub limits: GateLimits,
    /// Name of the placement policy.
    #[serde(default = "default_placement")]
    pub placement: String,
    /// Name of the scheduling policy of request queues.
    #[serde(default = "default_queue")]
    pub queue: String,
    /// Logging settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on, as `ip:port`; port 0 selects a free port.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For clients.
    pub callers: String,
    /// For requests that other hosts forward.
    pub peers: String,
    /// For control messages.
    pub control: String,
    /// For the administration API and metrics.
    pub admin: String,
}

/// How the platform's services are reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address, as `ip:port`.
    pub address: String,
    /// Relays to the platform in other failure domains, tried in order.
    #[serde(default)]
    pub relays: Vec<String>,
    /// Timeout of a request, in milliseconds.
    #[serde(default = "default_platform_ms")]
    pub timeout_ms: u64,
}

/// A host to get the state from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedHost {
    /// Address for forwarded requests.
    pub peer: String,
    /// Address for control messages.
    pub control: String,
}

/// Role of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRole {
    /// May read.
    Reader,
    /// May read and change.
    Operator,
}

/// A token of the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminToken {
    /// Name of its holder, used in logs and conflict reports.
    pub name: String,
    /// Role that it grants.
    pub role: AdminRole,
    /// SHA-256 of the token, in hexadecimal.
    pub sha256: String,
}

/// Logging settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Whether routing and placement decisions are logged.
    pub decisions: bool,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            decisions: true,
        }
    }
}

/// A problem in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingProblem {
    /// JSON path, such as `listen.callers`.
    pub path: String,
    /// Description of the problem.
    pub message: String,
}

/// Invalid settings, with all problems found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The problems.
    pub problems: Vec<SettingProblem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            if problem.path.is_empty() {
                f.write_str(&problem.message)?;
            } else {
                write!(f, "{}: {}", problem.path, problem.message)?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl HostSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Fails with the line and column of invalid JSON, or else with every setting that
    /// is out of range.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_json::from_str(text).map_err(|error| SettingsError {
            problems: vec![SettingProblem {
                path: String::new(),
                message: error.to_string(),
            }],
        })?;
        settings.validate()?;
        Ok(settings)
    }

    /// Validates every setting.
    ///
    /// # Errors
    ///
    /// Fails with every setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut problems = Vec::new();
        let mut check = |is_valid: bool, path: &str, message: &str| {
            if !is_valid {
                problems.push(SettingProblem {
                    path: path.to_owned(),
                    message: message.to_owned(),
                });
            }
        };
        check(
            is_name(&self.name),
            "name",
            "expected 1 to 64 of a-z, 0-9, `-` and `_`",
        );
        check(
            is_name(self.domain.as_str()),
            "domain",
            "expected 1 to 64 of a-z, 0-9, `-` and `_`",
        );
        check(
            self.peer_secret.len() >= MIN_SECRET_BYTES,
            "peer_secret",
            "expected at least 16 bytes",
        );
        check(
            self.platform.timeout_ms >= 50,
            "platform.timeout_ms",
            "expected at least 50",
        );
        check(
            self.log.level.parse::<log::LevelFilter>().is_ok(),
            "log.level",
            "expected error, warn, info, debug or trace",
        );
        self.check_addresses(&mut check);
        self.check_tokens(&mut check);
        if let Err(error) = find_plugin::<PlacementPlugin>(&self.placement) {
            check(false, "placement", &error.to_string());
        }
        if let Err(error) = find_plugin::<SchedulingPlugin>(&self.queue) {
            check(false, "queue", &error.to_string());
        }
        for error in self.timing.validate().err().unwrap_or_default() {
            check(false, "timing", &error.to_string());
        }
        for error in self.limits.validate().err().unwrap_or_default() {
            let path = format!("limits.{}", error.field);
            check(false, &path, &format!("expected {}", error.expected));
        }
        if problems.is_empty() {
            return Ok(());
        }
        Err(SettingsError { problems })
    }

    fn check_addresses(&self, check: &mut impl FnMut(bool, &str, &str)) {
        let listen = &self.listen;
        let mut addresses = vec![
            ("listen.callers".to_owned(), listen.callers.as_str()),
            ("listen.peers".to_owned(), listen.peers.as_str()),
            ("listen.control".to_owned(), listen.control.as_str()),
            ("listen.admin".to_owned(), listen.admin.as_str()),
            ("platform.address".to_owned(), &self.platform.address),
        ];
        for (index, relay) in self.platform.relays.iter().enumerate() {
            addresses.push((format!("platform.relays[{index}]"), relay));
        }
        for (index, seed) in self.seeds.iter().enumerate() {
            addresses.push((format!("seeds[{index}].peer"), &seed.peer));
            addresses.push((format!("seeds[{index}].control"), &seed.control));
        }
        if let Some(advertise) = &self.advertise {
            addresses.push(("advertise.peer".to_owned(), &advertise.peer));
            addresses.push(("advertise.control".to_owned(), &advertise.control));
        }
        for (path, address) in addresses {
            let is_address = address.parse::<SocketAddr>().is_ok();
            check(is_address, &path, "expected ip:port");
        }
    }

    fn check_tokens(&self, check: &mut impl FnMut(bool, &str, &str)) {
        for (index, token) in self.tokens.iter().enumerate() {
            let digits = token.sha256.as_bytes();
            let is_digest =
                digits.len() == DIGEST_HEX_DIGITS && digits.iter().all(u8::is_ascii_hexdigit);
            check(
                is_digest,
                &format!("tokens[{index}].sha256"),
                "expected 64 hexadecimal digits",
            );
            check(
                !token.name.is_empty(),
                &format!("tokens[{index}].name"),
                "expected a name",
            );
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
    !name.is_empty() && name.len() <= 64 && name.bytes().all(is_allowed)
}

fn default_placement() -> String {
    "load".to_owned()
}

fn default_queue() -> String {
    "floors".to_owned()
}

const fn default_platform_ms() -> u64 {
    800
}
