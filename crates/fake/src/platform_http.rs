//! HTTP interface of [`FakePlatform`](crate::FakePlatform).

use crate::platform::PlatformState;
use async_std::net::TcpListener;
use kernel::DomainName;
use serde::Serialize;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::StoreTransaction;
use tide::{Request, Response, StatusCode};

/// Delay of a response that counts as lost; longer than any client timeout.
const UNANSWERED_DELAY: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct DomainView {
    state: Arc<PlatformState>,
    domain: DomainName,
}

/// Serves the platform to one failure domain and returns the listen address.
pub(crate) async fn serve(state: Arc<PlatformState>, domain: DomainName) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let mut app = tide::with_state(DomainView { state, domain });
    app.at("/table/scan").get(scan);
    app.at("/table/rows").get(read_rows);
    app.at("/table/commit").post(commit);
    app.at("/objects/:name").get(get_object).put(put_object);
    app.at("/hosts").get(list_hosts);
    async_std::task::spawn(accept(app, listener));
    Ok(address)
}

/// Accepts connections with `TCP_NODELAY` set.
///
/// The listener of `tide` leaves it unset, so that responses are held back by
/// delayed acknowledgements.
async fn accept(app: tide::Server<DomainView>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let app = app.clone();
        async_std::task::spawn(async move {
            let serving = async_h1::accept(stream, |request| app.respond(request));
            // An error means that the client closed the connection.
            let _ended = serving.await;
        });
    }
}

impl DomainView {
    /// Waits for the configured delay; hangs if the platform is unreachable.
    async fn simulate_network(&self) {
        let faults = self.state.faults.lock().clone();
        async_std::task::sleep(Duration::from_millis(faults.delay_ms)).await;
        let is_cut = self.state.faults.lock().cut_domains.contains(&self.domain);
        if faults.is_down || is_cut {
            async_std::task::sleep(UNANSWERED_DELAY).await;
        }
    }

    fn admit_read(&self) -> bool {
        let limit = self.state.faults.lock().reads_per_s;
        self.state
            .counters
            .lock()
            .reads
            .admit(unix_seconds(), limit)
    }

    fn admit_write(&self) -> bool {
        let limit = self.state.faults.lock().writes_per_s;
        self.state
            .counters
            .lock()
            .writes
            .admit(unix_seconds(), limit)
    }
}

fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

async fn scan(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.simulate_network().await;
    if !view.admit_read() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let query = query_value(&request, "prefixes");
    let prefixes: Vec<&str> = query.split(',').collect();
    let rows = view.state.table.lock().scan(&prefixes);
    json_response(StatusCode::Ok, &rows)
}

async fn read_rows(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.simulate_network().await;
    if !view.admit_read() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let query = query_value(&request, "keys");
    let keys: Vec<&str> = query.split(',').collect();
    let rows = view.state.table.lock().read(&keys);
    json_response(StatusCode::Ok, &rows)
}

async fn commit(mut request: Request<DomainView>) -> tide::Result {
    let body = request.body_bytes().await?;
    let view = request.state();
    view.simulate_network().await;
    let Ok(transaction) = serde_json::from_slice::<StoreTransaction>(&body) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    if !view.admit_write() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let outcome = view.state.table.lock().commit(&transaction);
    let lost_answers_percent = view.state.faults.lock().lost_answers_percent;
    if lost_answers_percent > 0 && fastrand::u8(0..100) < lost_answers_percent {
        async_std::task::sleep(UNANSWERED_DELAY).await;
    }
    match outcome {
        Ok(versions) => json_response(StatusCode::Ok, &versions),
        Err(conflicts) => json_response(StatusCode::Conflict, &conflicts),
    }
}

async fn get_object(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.simulate_network().await;
    if !view.admit_read() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let name = request.param("name")?;
    let Some(body) = view.state.objects.lock().get(name).cloned() else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    Ok(response)
}

async fn put_object(mut request: Request<DomainView>) -> tide::Result {
    let body = request.body_bytes().await?;
    let view = request.state();
    view.simulate_network().await;
    if !view.admit_write() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let name = request.param("name")?.to_owned();
    view.state.objects.lock().insert(name, body);
    Ok(Response::new(StatusCode::Ok))
}

async fn list_hosts(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.simulate_network().await;
    json_response(StatusCode::Ok, &view.state.delayed_list())
}

fn query_value(request: &Request<DomainView>, name: &str) -> String {
    let pairs = request.url().query_pairs();
    let mut matching = pairs.filter(|(key, _)| key == name);
    matching
        .next()
        .map_or_else(String::new, |(_, value)| value.into_owned())
}

fn json_response(status: StatusCode, body: &impl Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_json(body)?);
    Ok(response)
}
