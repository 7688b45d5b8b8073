//! The administration API and the metrics endpoint, served by `tide`.

use crate::control::{ControlHandle, ControlRequest};
use crate::settings::{AdminRole, AdminToken};
use crate::submit::{SheetSubmitter, Submission};
use crate::token::{allows, authenticate};
use async_std::net::TcpListener;
use kernel::{TaskScope, Version};
use log::info;
use prometheus::{Encoder, Registry, TextEncoder};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tide::{Request, Response, StatusCode};

const MAX_SHEET_BYTES: usize = 8 << 20;

/// State that the handlers of the administration API share.
#[derive(Clone, Debug)]
pub(crate) struct AdminState {
    pub control: ControlHandle,
    pub sheets: SheetSubmitter,
    pub tokens: Arc<Vec<AdminToken>>,
    pub registry: Registry,
}

/// Body of a drain request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    /// The upstream; if absent, this host is drained.
    #[serde(default)]
    upstream: Option<String>,
    /// Whether it leaves; `false` cancels a drain.
    #[serde(default = "default_leaving")]
    leaving: bool,
}

const fn default_leaving() -> bool {
    true
}

/// Serves the administration API until the scope is closed.
pub(crate) fn serve_admin(state: AdminState, listener: TcpListener, scope: &TaskScope) {
    let mut app = tide::with_state(state);
    app.at("/metrics").get(metrics);
    app.at("/status").get(status);
    app.at("/sheet").get(show_sheet).post(submit_sheet);
    app.at("/drain").post(drain);
    app.at("/domains").post(declare_domain);
    scope.spawn(accept(app, listener, scope.clone()));
}

/// Accepts connections with `TCP_NODELAY` set.
///
/// The listener of `tide` does not set it, and answers would then wait for delayed
/// acknowledgements.
async fn accept(app: tide::Server<AdminState>, listener: TcpListener, scope: TaskScope) {
    loop {
        let stream = h1::accept(&listener, "admin").await;
        let app = app.clone();
        scope.spawn(async move {
            let serving = async_h1::accept(stream, |request| app.respond(request));
            // The connection ends when its client closes it.
            let _serve_result = serving.await;
        });
    }
}

/// Returns the name of the request's token.
///
/// # Errors
///
/// Fails with the error response if the token is unknown or lacks the role.
fn authorize(request: &Request<AdminState>, role: AdminRole) -> Result<String, Box<Response>> {
    let header = request
        .header("authorization")
        .map(|values| values.last().as_str());
    let Some(token) = authenticate(&request.state().tokens, header) else {
        return Err(Box::new(error_response(
            StatusCode::Unauthorized,
            "a known bearer token is required",
        )));
    };
    if !allows(token, role) {
        return Err(Box::new(error_response(
            StatusCode::Forbidden,
            "the token allows reading only",
        )));
    }
    Ok(token.name.clone())
}

fn error_response(status: StatusCode, message: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::json!({ "error": message }));
    response
}

fn json_response(status: u16, body: &impl Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_json(body)?);
    Ok(response)
}

async fn metrics(request: Request<AdminState>) -> tide::Result {
    let mut text = Vec::new();
    TextEncoder::new().encode(&request.state().registry.gather(), &mut text)?;
    let mut response = Response::new(StatusCode::Ok);
    response.set_content_type("text/plain; version=0.0.4");
    response.set_body(text);
    Ok(response)
}

async fn status(request: Request<AdminState>) -> tide::Result {
    if let Err(response) = authorize(&request, AdminRole::Reader) {
        return Ok(*response);
    }
    match request.state().control.query(ControlRequest::Status).await {
        Some(status) => json_response(200, &status),
        None => Ok(error_response(
            StatusCode::ServiceUnavailable,
            "the host has ended",
        )),
    }
}

async fn show_sheet(request: Request<AdminState>) -> tide::Result {
    if let Err(response) = authorize(&request, AdminRole::Reader) {
        return Ok(*response);
    }
    let active = request.state().control.query(ControlRequest::Sheet).await;
    let Some((version, body)) = active.flatten() else {
        return Ok(error_response(StatusCode::NotFound, "no sheet is in force"));
    };
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("x-sheet-version", version.to_string());
    response.set_content_type("application/json");
    response.set_body(body);
    Ok(response)
}

async fn submit_sheet(mut request: Request<AdminState>) -> tide::Result {
    let operator = match authorize(&request, AdminRole::Operator) {
        Ok(operator) => operator,
        Err(response) => return Ok(*response),
    };
    if request.len().is_none_or(|length| length > MAX_SHEET_BYTES) {
        let message = "a content-length of at most 8388608 is required";
        return Ok(error_response(StatusCode::PayloadTooLarge, message));
    }
    let Some(base) = query_value(&request, "base").and_then(|text| text.parse().ok()) else {
        let message = "base: expected the version that the sheet is based on";
        return Ok(error_response(StatusCode::BadRequest, message));
    };
    let Some(token) = query_value(&request, "submission").filter(|text| !text.is_empty()) else {
        let message = "submission: expected a token that names this submission";
        return Ok(error_response(StatusCode::BadRequest, message));
    };
    let is_dry_run = query_value(&request, "dry_run").as_deref() == Some("1");
    let Ok(body) = request.body_string().await else {
        return Ok(error_response(
            StatusCode::BadRequest,
            "the body is not text",
        ));
    };
    let outcome = request
        .state()
        .sheets
        .submit(Submission {
            body,
            base: Version(base),
            token,
            operator: operator.clone(),
            is_dry_run,
        })
        .await;
    info!(target: "config", "operator={operator} base={base} status={}", outcome.status());
    json_response(outcome.status(), &outcome)
}

async fn drain(mut request: Request<AdminState>) -> tide::Result {
    let operator = match authorize(&request, AdminRole::Operator) {
        Ok(operator) => operator,
        Err(response) => return Ok(*response),
    };
    let body: DrainBody = match request.body_json().await {
        Ok(body) => body,
        Err(error) => return Ok(error_response(StatusCode::BadRequest, &error.to_string())),
    };
    let control = &request.state().control;
    match body.upstream {
        Some(upstream) => {
            info!(target: "config", "operator={operator} drain={upstream} leaving={}", body.leaving);
            control.send(ControlRequest::Drain(upstream.into(), body.leaving));
        }
        None if body.leaving => {
            info!(target: "config", "operator={operator} drain=host");
            control.send(ControlRequest::Leave);
        }
        None => {
            let message = "leaving: a host that leaves does not come back";
            return Ok(error_response(StatusCode::BadRequest, message));
        }
    }
    json_response(202, &serde_json::json!({ "accepted": true }))
}

/// Body of a declaration that a failure domain is lost or back.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainBody {
    domain: String,
    /// Whether it is permanently lost; `false` if it is back.
    lost: bool,
}

async fn declare_domain(mut request: Request<AdminState>) -> tide::Result {
    let operator = match authorize(&request, AdminRole::Operator) {
        Ok(operator) => operator,
        Err(response) => return Ok(*response),
    };
    let body: DomainBody = match request.body_json().await {
        Ok(body) => body,
        Err(error) => return Ok(error_response(StatusCode::BadRequest, &error.to_string())),
    };
    info!(target: "config", "operator={operator} domain={} lost={}", body.domain, body.lost);
    let declaration = ControlRequest::DeclareLost(body.domain.into(), body.lost);
    request.state().control.send(declaration);
    json_response(202, &serde_json::json!({ "accepted": true }))
}

fn query_value(request: &Request<AdminState>, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    pairs
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.into_owned())
}
