//! HTTP interface for injecting faults by hand into a running deployment.

use crate::Deployment;
use crate::faults::{FaultInjector, FaultKind};
use crate::load::LoadSender;
use async_std::net::TcpListener;
use eyre::Result;
use log::warn;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

const DEFAULT_SECONDS: u64 = 5;
const MAX_SECONDS: u64 = 600;

/// Serves the fault interface on a free loopback port and returns the address.
///
/// `GET /faults` lists the names of the faults; `POST /faults/NAME?seconds=N` injects
/// one for `N` seconds.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub async fn serve_fault_api(deployment: Deployment) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let mut app = tide::with_state(deployment);
    app.at("/faults").get(list_faults);
    app.at("/faults/:name").post(inject);
    async_std::task::spawn(async move {
        // The listener runs until the process ends.
        let _ended = app.listen(listener).await;
    });
    Ok(address)
}

async fn list_faults(_request: Request<Deployment>) -> tide::Result {
    let names: Vec<&str> = FaultKind::ALL.iter().map(|fault| fault.as_str()).collect();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(tide::Body::from_json(&names)?);
    Ok(response)
}

async fn inject(request: Request<Deployment>) -> tide::Result {
    let fault: FaultKind = match request.param("name")?.parse() {
        Ok(fault) => fault,
        Err(error) => return Ok(bad_request(&error)),
    };
    let mut pairs = request.url().query_pairs();
    let seconds = pairs.find(|(name, _)| name == "seconds");
    let seconds = match seconds.map(|(_, text)| text.parse::<u64>()) {
        None => DEFAULT_SECONDS,
        Some(Ok(seconds)) if (1..=MAX_SECONDS).contains(&seconds) => seconds,
        Some(_) => return Ok(bad_request(&"seconds: expected 1 to 600")),
    };
    let deployment = request.state().clone();
    let sender = LoadSender::new(
        &deployment.plan,
        deployment.balancer.clone(),
        fastrand::u64(..),
    );
    async_std::task::spawn(async move {
        let mut injector = FaultInjector {
            deployment,
            sender,
            rng: fastrand::Rng::new(),
        };
        let injected = injector.inject(fault, Duration::from_secs(seconds)).await;
        if let Err(error) = injected {
            warn!(target: "trial", "fault={} failed: {error}", fault.as_str());
        }
    });
    Ok(Response::new(StatusCode::Accepted))
}

fn bad_request(error: &impl std::fmt::Display) -> Response {
    let mut response = Response::new(StatusCode::BadRequest);
    response.set_body(serde_json::json!({ "error": error.to_string() }));
    response
}
