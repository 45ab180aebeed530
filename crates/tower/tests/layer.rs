//! Tests of the layer with handlers that answer, fail, panic, hang or block. Most run in paused time, so they do not
//! depend on the speed of the machine; those that block or shut down a runtime run in real time.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use oatbank_tower::{Builder, Config, LimitLayer, PlatformHeaders};
use std::convert::Infallible;
use std::future::{pending, Future};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tower::{service_fn, Layer, Service, ServiceExt};

type Answer = Response<Full<Bytes>>;

const CONFIG: &str = r#"
    [[classes]]
    name = "look"
    aim_ms = 500
    deadline_ms = 1000
    repeat = "safe"
    [[classes]]
    name = "once"
    aim_ms = 500
    deadline_ms = 1000
    repeat = "unsafe"
    [[plans]]
    name = "team"
    rate = 0.001
    burst = 3
    [[plans]]
    name = "wide"
    rate = 100000
    burst = 100000
"#;

fn config() -> Config {
    Config::parse(CONFIG).expect("a configuration")
}

fn request(class: &str, plan: &str) -> Request<()> {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    Request::get("/anywhere?customer=000000000000002a")
        .header("x-service-class", class)
        .header("x-plan", plan)
        .header("x-correlation-id", NEXT.fetch_add(1, Ordering::Relaxed).to_string())
        .header("x-time-left", "1.0")
        .header("x-quota", "units=1,spread=1,first=0")
        .body(())
        .expect("a request")
}

fn ok() -> Answer {
    Response::new(Full::from("made"))
}

fn status(code: u16) -> Answer {
    let mut response = ok();
    *response.status_mut() = StatusCode::from_u16(code).expect("a status");
    response
}

/// Counts its drops.
struct CountsDrop(Arc<AtomicUsize>);

impl Drop for CountsDrop {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// Runs a test on one thread in paused time.
fn in_virtual_time<F: Future<Output = ()> + 'static>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let local = tokio::task::LocalSet::new();
    let done = local.spawn_local(test);
    local.block_on(&runtime.expect("a runtime"), done).expect("the test");
}

fn layer() -> LimitLayer {
    LimitLayer::build_here(Builder::new(config()), PlatformHeaders).expect("a layer")
}

#[test]
fn within_the_quota_the_handler_answers_and_beyond_it_never_runs() {
    in_virtual_time(async {
        let ran = Arc::new(AtomicUsize::new(0));
        let counted = ran.clone();
        let handler = service_fn(move |_: Request<()>| {
            counted.fetch_add(1, Ordering::Relaxed);
            async { Ok::<_, Infallible>(ok()) }
        });
        let service = layer().layer(handler);
        let mut statuses = Vec::new();
        for _ in 0..6 {
            let answer = service.clone().oneshot(request("look", "team")).await.expect("an answer");
            if answer.status() == 429 {
                let wait = answer.headers()["retry-after"].to_str().expect("text").parse::<f64>();
                assert!(wait.expect("seconds") > 0.0, "retry-after is not positive");
            }
            statuses.push(answer.status().as_u16());
        }
        assert_eq!(statuses, [200, 200, 200, 429, 429, 429]);
        assert_eq!(ran.load(Ordering::Relaxed), 3);
    });
}

#[test]
fn a_request_that_cannot_be_classified_is_answered_400_and_touches_no_account() {
    in_virtual_time(async {
        let service = layer().layer(service_fn(|_: Request<()>| async { Ok::<_, Infallible>(ok()) }));
        for missing in ["x-service-class", "x-plan", "x-correlation-id", "x-time-left", "x-quota"] {
            for _ in 0..5 {
                let mut request = request("look", "team");
                request.headers_mut().remove(missing);
                let answer = service.clone().oneshot(request).await.expect("an answer");
                assert_eq!(answer.status(), 400, "without {missing}");
            }
        }
        for _ in 0..3 {
            let answer = service.clone().oneshot(request("look", "team")).await.expect("an answer");
            assert_eq!(answer.status(), 200, "the quota of 3 is untouched");
        }
    });
}

#[test]
fn the_handlers_own_answer_is_passed_on_whatever_its_status() {
    in_virtual_time(async {
        for code in [201, 404, 500, 503] {
            let service = layer()
                .layer(service_fn(move |_: Request<()>| async move { Ok::<_, Infallible>(status(code)) }));
            for class in ["look", "once"] {
                let answer = service.clone().oneshot(request(class, "wide")).await.expect("an answer");
                assert_eq!(answer.status(), code, "{class}");
            }
        }
    });
}

#[test]
fn a_handler_that_panics_costs_its_request_only() {
    in_virtual_time(async {
        let first = Arc::new(AtomicUsize::new(0));
        let service = layer().layer(service_fn(move |_: Request<()>| {
            let nth = first.fetch_add(1, Ordering::Relaxed);
            assert!(nth != 0, "panics in its call on purpose");
            async move {
                assert!(nth != 1, "panics in its future on purpose");
                Ok::<_, Infallible>(ok())
            }
        }));
        let mut statuses = Vec::new();
        for _ in 0..4 {
            let answer = service.clone().oneshot(request("once", "wide")).await.expect("an answer");
            statuses.push(answer.status().as_u16());
        }
        assert_eq!(statuses, [502, 502, 200, 200]);
    });
}

#[test]
fn a_handler_without_an_answer_in_time_is_dropped_and_its_place_is_free_again() {
    in_virtual_time(async {
        let (dropped, calls) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (there, made) = (dropped.clone(), calls.clone());
        let service = layer().layer(service_fn(move |_: Request<()>| {
            made.fetch_add(1, Ordering::Relaxed);
            let guard = CountsDrop(there.clone());
            async move {
                let _guard = guard;
                pending::<Result<Answer, Infallible>>().await
            }
        }));
        for (class, wanted) in [("once", 502), ("look", 429)] {
            let started = tokio::time::Instant::now();
            let answer = service.clone().oneshot(request(class, "wide")).await.expect("an answer");
            let took = started.elapsed();
            assert_eq!(answer.status(), wanted, "{class}");
            assert!(took < Duration::from_millis(1000), "{class}: answered after {took:?}");
        }
        assert_eq!((calls.load(Ordering::Relaxed), dropped.load(Ordering::Relaxed)), (2, 2));
    });
}

#[test]
fn a_response_that_is_dropped_calls_its_handler_off_and_gives_its_place_back() {
    in_virtual_time(async {
        let (dropped, runs) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (there, begun) = (dropped.clone(), runs.clone());
        let service = layer().layer(service_fn(move |_: Request<()>| {
            let guard = CountsDrop(there.clone());
            let begun = begun.clone();
            async move {
                let _guard = guard;
                begun.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(300)).await;
                Ok::<_, Infallible>(ok())
            }
        }));
        // Dropped before the first poll: no handler may run.
        drop(service.clone().call(request("once", "wide")));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(runs.load(Ordering::Relaxed), 0, "a handler ran for a dropped request");
        // Dropped while the handler runs, more often than the concurrency limit.
        for n in 1..=40 {
            let asking = service.clone().oneshot(request("once", "wide"));
            assert!(
                tokio::time::timeout(Duration::from_millis(20), asking).await.is_err(),
                "answered before the handler ended"
            );
            assert_eq!(runs.load(Ordering::Relaxed), n, "permits of dropped requests were not released");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(dropped.load(Ordering::Relaxed), 40);
        let answer = service.clone().oneshot(request("once", "wide")).await.expect("an answer");
        assert_eq!(answer.status(), 200);
    });
}

#[test]
fn no_more_handlers_run_at_once_than_the_module_allows() {
    in_virtual_time(async {
        let (running, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (now, peak) = (running.clone(), most.clone());
        let service = layer().layer(service_fn(move |_: Request<()>| {
            let (now, peak) = (now.clone(), peak.clone());
            async move {
                peak.fetch_max(now.fetch_add(1, Ordering::Relaxed) + 1, Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(20)).await;
                now.fetch_sub(1, Ordering::Relaxed);
                Ok::<_, Infallible>(ok())
            }
        }));
        let asked: Vec<_> = (0..100)
            .map(|_| tokio::task::spawn_local(service.clone().oneshot(request("look", "wide"))))
            .collect();
        let mut served = 0;
        for answer in asked {
            let status = answer.await.expect("a task").expect("an answer").status();
            assert!(status == 200 || status == 429, "{status}");
            served += usize::from(status == 200);
        }
        let most = most.load(Ordering::Relaxed);
        assert!((1..=10).contains(&most), "{most} handlers at once where the limit starts at 8");
        assert!(served >= 8, "{served} were served");
    });
}

#[test]
fn a_full_queue_is_answered_at_once_with_when_to_come_back() {
    in_virtual_time(async {
        let builder = Builder::new(config()).queue(4);
        let layer = LimitLayer::build_here(builder, PlatformHeaders).expect("a layer");
        let mut service = layer.layer(service_fn(|_: Request<()>| async { Ok::<_, Infallible>(ok()) }));
        // The engine does not run until this task yields.
        let asked: Vec<_> = (0..6).map(|_| service.call(request("look", "wide"))).collect();
        let mut statuses = Vec::new();
        for answer in asked {
            let answer = answer.await.expect("an answer");
            if answer.status() == 503 {
                assert_eq!(answer.headers()["retry-after"], "1");
                assert_eq!(answer.headers()["x-oatbank-retry-after"], "0.050");
            }
            statuses.push(answer.status().as_u16());
        }
        assert_eq!(statuses, [200, 200, 200, 200, 503, 503]);
        let again = service.call(request("look", "wide")).await.expect("an answer");
        assert_eq!(again.status(), 200, "the queue has room again");
    });
}

#[test]
fn a_counter_that_is_away_at_the_start_holds_nothing_up() {
    in_virtual_time(async {
        let away = CONFIG.replacen("[[classes]]", "counter = \"text://127.0.0.1:1\"\n[[classes]]", 1);
        let builder = Builder::new(Config::parse(&away).expect("a configuration"));
        let layer = LimitLayer::build_here(builder, PlatformHeaders).expect("a layer");
        let service = layer.layer(service_fn(|_: Request<()>| async { Ok::<_, Infallible>(ok()) }));
        let mut statuses = Vec::new();
        for _ in 0..6 {
            let answer = service.clone().oneshot(request("look", "team")).await.expect("an answer");
            statuses.push(answer.status().as_u16());
        }
        assert_eq!(statuses[..3], [200; 3], "within the quota");
        assert_eq!(statuses[4..], [429; 2], "the quota holds by the limiter's own count");
    });
}

#[test]
fn wrong_settings_are_an_error_of_the_builder() {
    let mut without_names = config();
    without_names.setup.names.classes.clear();
    let mut no_limiter = config();
    no_limiter.setup.settings.gateways = f64::NAN;
    let mut no_plans = config();
    no_plans.setup.settings.plans.clear();
    for (wrong, says) in [(without_names, "one name"), (no_limiter, "one limiter"), (no_plans, "one plan")] {
        let e = LimitLayer::start(wrong.clone()).expect_err(says).to_string();
        assert!(e.contains(says), "{e}");
    }
    let e = LimitLayer::build(Builder::new(config()).queue(0), PlatformHeaders).expect_err("a queue of 0");
    assert!(e.to_string().contains("queue"), "{e}");
}

#[test]
fn a_shutdown_answers_what_was_taken_and_refuses_what_comes_later() {
    in_virtual_time(async {
        let layer = layer();
        let service = layer.layer(service_fn(|_: Request<()>| async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            Ok::<_, Infallible>(ok())
        }));
        let open = tokio::task::spawn_local(service.clone().oneshot(request("once", "wide")));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let ending = tokio::task::spawn_local(async move { layer.shutdown().await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        let late = service.clone().oneshot(request("once", "wide")).await.expect("an answer");
        assert_eq!(late.status(), 503, "request after the shutdown began");
        assert_eq!(open.await.expect("a task").expect("an answer").status(), 200);
        ending.await.expect("the end");
    });
}

#[test]
fn a_handler_that_blocks_its_runtime_holds_up_no_other_thread() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("a runtime");
    let layer = LimitLayer::start(config()).expect("a layer");
    let (block, blocked) = std::sync::mpsc::channel::<()>();
    let (entered, inside) = std::sync::mpsc::channel();
    let blocked = std::sync::Mutex::new(blocked);
    let blocked = Arc::new(blocked);
    let service = layer.layer(service_fn(move |request: Request<()>| {
        let (blocked, entered) = (blocked.clone(), entered.clone());
        async move {
            if request.headers().contains_key("x-block") {
                entered.send(()).expect("a test that waits");
                let _ = blocked.lock().expect("a lock").recv();
            }
            Ok::<_, Infallible>(ok())
        }
    }));
    let mut blocking = request("once", "wide");
    blocking.headers_mut().insert("x-block", http::HeaderValue::from_static("1"));
    let held = runtime.spawn(service.clone().oneshot(blocking));
    inside.recv().expect("the handler");
    for _ in 0..20 {
        let other = runtime.spawn(service.clone().oneshot(request("once", "wide")));
        let answer = runtime.block_on(other).expect("a task").expect("an answer");
        assert_eq!(answer.status(), 200);
    }
    block.send(()).expect("the handler waits");
    let held = runtime.block_on(held).expect("a task").expect("an answer");
    assert!(held.status() == 200 || held.status() == 502, "{}", held.status());
}

#[test]
fn a_runtime_that_is_torn_down_leaves_no_place_taken() {
    let layer = LimitLayer::start(config()).expect("a layer");
    let begun = Arc::new(AtomicUsize::new(0));
    let counted = begun.clone();
    let service = layer.layer(service_fn(move |request: Request<()>| {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            if request.headers().contains_key("x-forever") {
                pending::<()>().await;
            }
            Ok::<_, Infallible>(ok())
        }
    }));
    let runtime = || {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        runtime.expect("a runtime")
    };
    let first = runtime();
    for _ in 0..6 {
        let mut forever = request("once", "wide");
        forever.headers_mut().insert("x-forever", http::HeaderValue::from_static("1"));
        drop(first.spawn(service.clone().oneshot(forever)));
    }
    oatbank_testkit::eventually("the handlers", || begun.load(Ordering::SeqCst) == 6);
    first.shutdown_timeout(Duration::from_secs(10));
    let second = runtime();
    for _ in 0..20 {
        let answer = second.block_on(service.clone().oneshot(request("once", "wide"))).expect("an answer");
        assert_eq!(answer.status(), 200);
    }
}
