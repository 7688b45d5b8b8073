//! The stand-ins' fault switches over HTTP, for people who break things by hand.

use crate::Deployment;
use crate::faults::{FaultInjector, FaultName};
use crate::load::LoadSender;
use async_std::net::TcpListener;
use eyre::Result;
use log::warn;
use std::time::Duration;
use tide::{Request, Response, StatusCode};

const DEFAULT_SECONDS: u64 = 5;
const MOST_SECONDS: u64 = 600;

/// Serves the switches on a free port of loopback and returns the address.
///
/// `GET /faults` lists the names; `POST /faults/NAME?seconds=N` injects one.
///
/// # Errors
///
/// Fails when no port can be had.
pub async fn serve_switches(deployment: Deployment) -> Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let mut app = tide::with_state(deployment);
    app.at("/faults").get(list);
    app.at("/faults/:name").post(inject);
    async_std::task::spawn(async move {
        // The listener ends with the process.
        let _ended = app.listen(listener).await;
    });
    Ok(address)
}

async fn list(_request: Request<Deployment>) -> tide::Result {
    let names: Vec<&str> = FaultName::ALL.iter().map(|fault| fault.as_str()).collect();
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(tide::Body::from_json(&names)?);
    Ok(response)
}

async fn inject(request: Request<Deployment>) -> tide::Result {
    let fault: FaultName = match request.param("name")?.parse() {
        Ok(fault) => fault,
        Err(error) => return Ok(refuse(&error)),
    };
    let mut pairs = request.url().query_pairs();
    let seconds = pairs.find(|(name, _)| name == "seconds");
    let seconds = match seconds.map(|(_, text)| text.parse::<u64>()) {
        None => DEFAULT_SECONDS,
        Some(Ok(seconds)) if (1..=MOST_SECONDS).contains(&seconds) => seconds,
        Some(_) => return Ok(refuse(&"seconds: expected 1 to 600")),
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

fn refuse(error: &impl std::fmt::Display) -> Response {
    let mut response = Response::new(StatusCode::BadRequest);
    response.set_body(serde_json::json!({ "error": error.to_string() }));
    response
}
