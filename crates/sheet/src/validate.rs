//! Checks on content that the data model can't express.

use crate::{Error, KeyPlace, KeyPlan, KindPlan, Problem, Result, ServicePlan, Sheet};
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
    /// Fails with every problem found, each with its place.
    pub fn parse(text: &str) -> Result<Self> {
        let sheet: Self = serde_json::from_str(text)?;
        sheet.validate()?;
        Ok(sheet)
    }

    /// Checks the content.
    ///
    /// # Errors
    ///
    /// Fails with every problem found, each with its JSON path.
    pub fn validate(&self) -> Result<()> {
        let mut list = ProblemList::default();
        list.check(
            "services",
            !self.services.is_empty() && self.services.len() <= MAX_SERVICES,
            || format!("expected 1 to {MAX_SERVICES} services"),
        );
        for (name, plan) in &self.services {
            let path = format!("services.{name}");
            list.check(&path, is_name(name.as_str()), name_rule);
            check_service(&mut list, &path, plan);
        }
        for (name, plan) in &self.customers {
            let path = format!("customers.{name}");
            list.check(&path, is_name(name.as_str()), name_rule);
            list.check(
                &format!("{path}.share"),
                (1..=MAX_SHARE).contains(&plan.share),
                || format!("expected 1 to {MAX_SHARE}"),
            );
        }
        list.into_result()
    }
}

#[derive(Debug, Default)]
struct ProblemList {
    problems: Vec<Problem>,
}

impl ProblemList {
    fn check(&mut self, path: &str, holds: bool, message: impl FnOnce() -> String) {
        if holds {
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

fn name_rule() -> String {
    format!("a name has 1 to {MAX_NAME_BYTES} of a-z, 0-9, `-` and `_`")
}

fn is_name(name: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'_';
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}

fn check_service(list: &mut ProblemList, path: &str, plan: &ServicePlan) {
    if let Some(KeyPlan { shards }) = plan.keys {
        list.check(
            &format!("{path}.keys.shards"),
            (1..=MAX_SHARDS).contains(&shards),
            || format!("expected 1 to {MAX_SHARDS}"),
        );
    }
    let floors = plan.floors;
    let floor_sum = [floors.urgent, floors.standard, floors.bulk]
        .into_iter()
        .fold(0_u32, u32::saturating_add);
    list.check(
        &format!("{path}.floors"),
        floor_sum <= MAX_FLOOR_SUM_PERCENT,
        || format!("floors add up to {floor_sum} percent, at most {MAX_FLOOR_SUM_PERCENT}"),
    );
    list.check(&format!("{path}.long_slots"), plan.long_slots >= 1, || {
        "expected at least 1".to_owned()
    });
    list.check(
        &format!("{path}.queue_limit"),
        (1..=MAX_QUEUE).contains(&plan.queue_limit),
        || format!("expected 1 to {MAX_QUEUE}"),
    );
    if let crate::Fencing::Unchecked { wait_ms } = plan.fencing {
        list.check(
            &format!("{path}.fencing.wait_ms"),
            (1..=MAX_FENCING_WAIT_MS).contains(&wait_ms),
            || format!("expected 1 to {MAX_FENCING_WAIT_MS}"),
        );
    }
    list.check(
        &format!("{path}.kinds"),
        !plan.kinds.is_empty() && plan.kinds.len() <= MAX_KINDS,
        || format!("expected 1 to {MAX_KINDS} kinds"),
    );
    check_kinds(list, path, plan);
}

fn check_kinds(list: &mut ProblemList, path: &str, plan: &ServicePlan) {
    let mut names = HashSet::new();
    let mut shapes = HashSet::new();
    for (index, kind) in plan.kinds.iter().enumerate() {
        let place = format!("{path}.kinds[{index}]");
        list.check(
            &format!("{place}.name"),
            is_name(&kind.name) && names.insert(kind.name.as_str()),
            || format!("{}, unique in its service", name_rule()),
        );
        list.check(
            &format!("{place}.path"),
            shapes.insert((kind.method.as_str(), path_shape(&kind.path))),
            || "another kind has this method and path".to_owned(),
        );
        check_kind(list, &place, kind, plan.keys.is_some());
    }
}

fn path_shape(path: &str) -> String {
    let parts = path.split('/');
    let shapes = parts.map(|part| if is_parameter(part) { "{}" } else { part });
    shapes.collect::<Vec<_>>().join("/")
}

fn is_parameter(part: &str) -> bool {
    part.starts_with('{') && part.ends_with('}') && part.len() > 2
}

fn check_kind(list: &mut ProblemList, place: &str, kind: &KindPlan, is_divided: bool) {
    list.check(
        &format!("{place}.method"),
        METHODS.contains(&kind.method.as_str()),
        || format!("expected one of {}", METHODS.join(", ")),
    );
    list.check(&format!("{place}.path"), is_path(&kind.path), || {
        "expected `/`, then parts that are literal, `{name}`, or a last `*`".to_owned()
    });
    list.check(
        &format!("{place}.timeout_ms"),
        (1..=MAX_TIMEOUT_MS).contains(&kind.timeout_ms),
        || format!("expected 1 to {MAX_TIMEOUT_MS}"),
    );
    list.check(
        &format!("{place}.cost_ms"),
        (1..=kind.timeout_ms.max(1)).contains(&kind.cost_ms),
        || "expected 1 to the kind's timeout_ms".to_owned(),
    );
    list.check(
        &format!("{place}.max_body_bytes"),
        kind.max_body_bytes <= MAX_BODY_BYTES,
        || format!("expected at most {MAX_BODY_BYTES}"),
    );
    list.check(
        &format!("{place}.key"),
        kind.key.is_some() || !is_divided,
        || "a service with divided keys needs the key of each kind".to_owned(),
    );
    match &kind.key {
        Some(KeyPlace::Path(name)) => {
            let wanted = format!("{{{name}}}");
            let stands = kind.path.split('/').any(|part| part == wanted);
            list.check(&format!("{place}.key.path"), stands, || {
                format!("no `{wanted}` in the path")
            });
        }
        Some(KeyPlace::Query(name) | KeyPlace::Header(name)) => {
            list.check(&format!("{place}.key"), !name.is_empty(), || {
                "expected a name".to_owned()
            });
        }
        None => {}
    }
}

fn is_path(path: &str) -> bool {
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let parts: Vec<&str> = rest.split('/').collect();
    let last = parts.len() - 1;
    for (index, part) in parts.iter().enumerate() {
        let is_rest = *part == "*" && index == last;
        let is_literal = !part.is_empty()
            && part
                .bytes()
                .all(|b| b.is_ascii_graphic() && !b"{}*?#".contains(&b));
        if !(is_rest || is_parameter(part) || is_literal) {
            return false;
        }
    }
    true
}
