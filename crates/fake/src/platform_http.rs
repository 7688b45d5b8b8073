//! The platform's HTTP side.

use crate::platform::PlatformState;
use async_std::net::TcpListener;
use kernel::DomainName;
use serde::Serialize;
use std::io;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use store::StoreTransaction;
use tide::{Request, Response, StatusCode};

/// Longer than any caller waits.
const NEVER_ANSWERED: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
struct DomainView {
    state: Arc<PlatformState>,
    domain: DomainName,
}

/// Serves the platform to one failure domain and returns the address.
pub(crate) async fn serve(state: Arc<PlatformState>, domain: DomainName) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let mut app = tide::with_state(DomainView { state, domain });
    app.at("/table/scan").get(scan);
    app.at("/table/rows").get(read);
    app.at("/table/commit").post(commit);
    app.at("/objects/:name").get(get_object).put(put_object);
    app.at("/hosts").get(list);
    async_std::task::spawn(accept(app, listener));
    Ok(address)
}

/// Accepts connections with `TCP_NODELAY` set.
///
/// The listener that comes with `tide` leaves it unset, and answers then wait
/// for delayed acknowledgements.
async fn accept(app: tide::Server<DomainView>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let app = app.clone();
        async_std::task::spawn(async move {
            let serving = async_h1::accept(stream, |request| app.respond(request));
            // The connection ends when its client closes it.
            let _ended = serving.await;
        });
    }
}

impl DomainView {
    /// Delays, and hangs while the platform can't be reached.
    async fn arrive(&self) {
        let faults = self.state.faults.lock().clone();
        async_std::task::sleep(Duration::from_millis(faults.delay_ms)).await;
        let is_cut = self.state.faults.lock().cut_domains.contains(&self.domain);
        if faults.is_down || is_cut {
            async_std::task::sleep(NEVER_ANSWERED).await;
        }
    }

    fn admit_read(&self) -> bool {
        let limit = self.state.faults.lock().reads_per_s;
        self.state.counters.lock().reads.admit(this_second(), limit)
    }

    fn admit_write(&self) -> bool {
        let limit = self.state.faults.lock().writes_per_s;
        self.state
            .counters
            .lock()
            .writes
            .admit(this_second(), limit)
    }
}

fn this_second() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

async fn scan(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.arrive().await;
    if !view.admit_read() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let query = query_value(&request, "prefixes");
    let prefixes: Vec<&str> = query.split(',').collect();
    let rows = view.state.table.lock().scan(&prefixes);
    json(StatusCode::Ok, &rows)
}

async fn read(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.arrive().await;
    if !view.admit_read() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let query = query_value(&request, "keys");
    let keys: Vec<&str> = query.split(',').collect();
    let rows = view.state.table.lock().read(&keys);
    json(StatusCode::Ok, &rows)
}

async fn commit(mut request: Request<DomainView>) -> tide::Result {
    let body = request.body_bytes().await?;
    let view = request.state();
    view.arrive().await;
    let Ok(transaction) = serde_json::from_slice::<StoreTransaction>(&body) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    if !view.admit_write() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let outcome = view.state.table.lock().commit(&transaction);
    let lost_percent = view.state.faults.lock().lost_answers_percent;
    if lost_percent > 0 && fastrand::u8(0..100) < lost_percent {
        async_std::task::sleep(NEVER_ANSWERED).await;
    }
    match outcome {
        Ok(versions) => json(StatusCode::Ok, &versions),
        Err(conflicts) => json(StatusCode::Conflict, &conflicts),
    }
}

async fn get_object(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.arrive().await;
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
    view.arrive().await;
    if !view.admit_write() {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let name = request.param("name")?.to_owned();
    view.state.objects.lock().insert(name, body);
    Ok(Response::new(StatusCode::Ok))
}

async fn list(request: Request<DomainView>) -> tide::Result {
    let view = request.state();
    view.arrive().await;
    json(StatusCode::Ok, &view.state.lagging_list())
}

fn query_value(request: &Request<DomainView>, name: &str) -> String {
    let pairs = request.url().query_pairs();
    let mut found = pairs.filter(|(known, _)| known == name);
    found
        .next()
        .map_or_else(String::new, |(_, value)| value.into_owned())
}

fn json(status: StatusCode, body: &impl Serialize) -> tide::Result {
    let mut response = Response::new(status);
    response.set_body(tide::Body::from_json(body)?);
    Ok(response)
}
