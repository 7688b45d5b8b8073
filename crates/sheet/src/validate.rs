//! Validation of content beyond what the data model expresses.

use crate::{Error, KeyLocation, KeyPlan, KindPlan, Problem, Result, ServicePlan, Sheet};
use std::collections::HashSet;

const MAX_SERVICES: usize = 256;
const MAX_KINDS: usize = 1024;
const MAX_SHARDS: u32 = 65_536;
const MAX_NAME_BYTES: usize = 64;
const MAX_TIMEOUT_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 64 << 20;
const MAX_SHARE: u32 = 1_000;
const MAX_QUEUE: u32 = 100_000;
const MAX_FLOOR_SUM_PERCENT: u32 = 90;
const MAX_FENCING_WAIT_MS: u64 = 600_000;
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

impl Sheet {
    /// Parses and validates a sheet.
    ///
    /// # Errors
    ///
    /// Fails with the first parse error, or with every problem of the content.
    pub fn parse(text: &str) -> Result<Self> {
        let sheet: Self = serde_json::from_str(text)?;
        sheet.validate()?;
        Ok(sheet)
    }

    /// Checks that the content is consistent and within limits.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with its JSON path.
    pub fn validate(&self) -> Result<()> {
        let mut problems = ProblemList::default();
        problems.check(
            "services",
            !self.services.is_empty() && self.services.len() <= MAX_SERVICES,
            || format!("expected 1 to {MAX_SERVICES} services"),
        );
        for (name, plan) in &self.services {
            let path = format!("services.{name}");
            problems.check(&path, is_valid_name(name.as_str()), name_format);
            check_service(&mut problems, &path, plan);
        }
        for (name, plan) in &self.customers {
            let path = format!("customers.{name}");
            problems.check(&path, is_valid_name(name.as_str()), name_format);
            problems.check(
                &format!("{path}.share"),
                (1..=MAX_SHARE).contains(&plan.share),
                || format!("expected 1 to {MAX_SHARE}"),
            );
        }
        problems.into_result()
    }
}

#[derive(Debug, Default)]
struct ProblemList {
    problems: Vec<Problem>,
}

impl ProblemList {
    fn check(&mut self, path: &str, is_valid: bool, message: impl FnOnce() -> String) {
        if is_valid {
            return;
        }
        self.problems.push(Problem {
            path: path.to_owned(),
            message: message(),
        });
    }

    fn into_result(self) -> Result<()> {
        if self.problems.is_empty() {
            return Ok(());
        }
        Err(Error::content(self.problems))
    }
}

fn name_format() -> String {
    format!("a name has 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-` and `_`")
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

fn check_service(problems: &mut ProblemList, path: &str, plan: &ServicePlan) {
    if let Some(KeyPlan { shards }) = plan.keys {
        problems.check(
            &format!("{path}.keys.shards"),
            (1..=MAX_SHARDS).contains(&shards),
            || format!("expected 1 to {MAX_SHARDS}"),
        );
    }
    let floors = plan.floors;
    let floor_sum = [floors.urgent, floors.standard, floors.bulk]
        .into_iter()
        .fold(0_u32, u32::saturating_add);
    problems.check(
        &format!("{path}.floors"),
        floor_sum <= MAX_FLOOR_SUM_PERCENT,
        || format!("floors add up to {floor_sum} percent, at most {MAX_FLOOR_SUM_PERCENT}"),
    );
    problems.check(&format!("{path}.long_slots"), plan.long_slots >= 1, || {
        "expected at least 1".to_owned()
    });
    problems.check(
        &format!("{path}.queue_limit"),
        (1..=MAX_QUEUE).contains(&plan.queue_limit),
        || format!("expected 1 to {MAX_QUEUE}"),
    );
    if let crate::Fencing::Unchecked { wait_ms } = plan.fencing {
        problems.check(
            &format!("{path}.fencing.wait_ms"),
            (1..=MAX_FENCING_WAIT_MS).contains(&wait_ms),
            || format!("expected 1 to {MAX_FENCING_WAIT_MS}"),
        );
    }
    problems.check(
        &format!("{path}.kinds"),
        !plan.kinds.is_empty() && plan.kinds.len() <= MAX_KINDS,
        || format!("expected 1 to {MAX_KINDS} kinds"),
    );
    check_kinds(problems, path, plan);
}

fn check_kinds(problems: &mut ProblemList, path: &str, plan: &ServicePlan) {
    let mut names = HashSet::new();
    let mut shapes = HashSet::new();
    for (index, kind) in plan.kinds.iter().enumerate() {
        let kind_path = format!("{path}.kinds[{index}]");
        problems.check(
            &format!("{kind_path}.name"),
            is_valid_name(&kind.name) && names.insert(kind.name.as_str()),
            || format!("{}, unique in its service", name_format()),
        );
        problems.check(
            &format!("{kind_path}.path"),
            shapes.insert((kind.method.as_str(), path_shape(&kind.path))),
            || "another kind has this method and path".to_owned(),
        );
        check_kind(problems, &kind_path, kind, plan.keys.is_some());
    }
}

fn path_shape(path: &str) -> String {
    let segments = path.split('/');
    let shapes = segments.map(|segment| if is_parameter(segment) { "{}" } else { segment });
    shapes.collect::<Vec<_>>().join("/")
}

fn is_parameter(segment: &str) -> bool {
    segment.starts_with('{') && segment.ends_with('}') && segment.len() > 2
}

fn check_kind(problems: &mut ProblemList, kind_path: &str, kind: &KindPlan, is_sharded: bool) {
    problems.check(
        &format!("{kind_path}.method"),
        METHODS.contains(&kind.method.as_str()),
        || format!("expected one of {}", METHODS.join(", ")),
    );
    problems.check(
        &format!("{kind_path}.path"),
        is_valid_path(&kind.path),
        || "expected `/`, then parts that are literal, `{name}`, or a last `*`".to_owned(),
    );
    problems.check(
        &format!("{kind_path}.timeout_ms"),
        (1..=MAX_TIMEOUT_MS).contains(&kind.timeout_ms),
        || format!("expected 1 to {MAX_TIMEOUT_MS}"),
    );
    problems.check(
        &format!("{kind_path}.cost_ms"),
        (1..=kind.timeout_ms.max(1)).contains(&kind.cost_ms),
        || "expected 1 to the kind's timeout_ms".to_owned(),
    );
    problems.check(
        &format!("{kind_path}.max_body_bytes"),
        kind.max_body_bytes <= MAX_BODY_BYTES,
        || format!("expected at most {MAX_BODY_BYTES}"),
    );
    problems.check(
        &format!("{kind_path}.key"),
        kind.key.is_some() || !is_sharded,
        || "a service with divided keys needs the key of each kind".to_owned(),
    );
    match &kind.key {
        Some(KeyLocation::Path(name)) => {
            let parameter = format!("{{{name}}}");
            let is_present = kind.path.split('/').any(|segment| segment == parameter);
            problems.check(&format!("{kind_path}.key.path"), is_present, || {
                format!("no `{parameter}` in the path")
            });
        }
        Some(KeyLocation::Query(name) | KeyLocation::Header(name)) => {
            problems.check(&format!("{kind_path}.key"), !name.is_empty(), || {
                "expected a name".to_owned()
            });
        }
        None => {}
    }
}

fn is_valid_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let segments: Vec<&str> = rest.split('/').collect();
    let last = segments.len() - 1;
    for (index, segment) in segments.iter().enumerate() {
        let is_wildcard = *segment == "*" && index == last;
        let is_literal = !segment.is_empty()
            && segment
                .bytes()
                .all(|b| b.is_ascii_graphic() && !b"{}*?#".contains(&b));
        if !(is_wildcard || is_parameter(segment) || is_literal) {
            return false;
        }
    }
    true
}
