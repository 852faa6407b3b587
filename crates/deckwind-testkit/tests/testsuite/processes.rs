//! The whole request path, with each component as a separate process.

use deckwind_core::session::Activation;
use deckwind_fakes::expected_answer;
use deckwind_testkit::{
    Caller, Layout, Process, Processes, account, chat_template, engine_target, eventually_async,
    service_target, service_template,
};

const LAYERS: u32 = 24;

/// Returns a cluster with the given numbers of control replicas and routers; no
/// process is started yet.
pub fn process_cluster(control: usize, routers: usize) -> Processes {
    processes_with_layout(Layout::new(control, routers).expect("the folder and ports are reserved"))
}

/// Returns a cluster with the given layout; no process is started yet.
pub fn processes_with_layout(layout: Layout) -> Processes {
    Processes::new(
        layout,
        env!("CARGO_BIN_EXE_testkit-daemon"),
        env!("CARGO_BIN_EXE_testkit-cli"),
        env!("CARGO_BIN_EXE_testkit-fake"),
    )
}

/// The activations that the router sends for a single user message.
fn prompt(text: &str) -> Vec<Activation> {
    let words = text.split_whitespace().map(str::to_string);
    std::iter::once("<user>".to_string())
        .chain(words)
        .map(Activation)
        .collect()
}

/// Asserts that a command succeeded and returns its standard output.
fn stdout_of(output: std::process::Output) -> String {
    let err = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{err}");
    String::from_utf8(output.stdout).expect("standard output is UTF-8")
}

fn start_engines(cluster: &Processes) -> Vec<Process> {
    let mut fakes = Vec::new();
    for i in 0..3u32 {
        let (first, last) = (i * 8, (i + 1) * 8);
        let name = format!("engine-{i}");
        let args = [
            "engine".to_string(),
            format!("--first={first}"),
            format!("--last={last}"),
            format!("--model-layers={LAYERS}"),
        ];
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let (fake, address) = cluster.fake(&name, &args).expect("the fake starts");
        let target = engine_target(&name, address, first, last);
        stdout_of(
            cluster
                .apply("target", &target)
                .expect("the command line runs"),
        );
        fakes.push(fake);
    }
    fakes
}

/// Three control replicas, two routers, three engines and a service run, each as a
/// process. An operator applies templates, an account and targets. Through either
/// router, a chat is streamed token by token over three stages, and a lookup
/// reaches the service. On SIGTERM, routers and control replicas exit with code 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end() {
    let cluster = process_cluster(3, 2);
    let controls: Vec<Process> = (0..3).map(|slot| cluster.control(slot).unwrap()).collect();
    let routers: Vec<Process> = (0..2).map(|i| cluster.router(i).unwrap()).collect();
    let template = chat_template("rosters", LAYERS);
    stdout_of(cluster.apply("template", &template).unwrap());
    stdout_of(
        cluster
            .apply("template", &service_template("card-status", true))
            .unwrap(),
    );
    stdout_of(
        cluster
            .apply("account", &account("recife-care", "a-key"))
            .unwrap(),
    );
    let fakes = start_engines(&cluster);
    let (service, address) = cluster.fake("service", &["service"]).unwrap();
    let target = service_target("card-status-1", address, "card-status");
    stdout_of(cluster.apply("target", &target).unwrap());

    let text = "draft the roster of monday";
    let expected = expected_answer(LAYERS, &prompt(text), 20);
    for router in &cluster.layout.routers {
        let caller = Caller::new(router.callers, "a-key");
        let stream = eventually_async("the router serves", || async {
            let response = caller.stream("rosters", text, 20).await.ok()?;
            (response.status == 200).then_some(response)
        })
        .await;
        assert_eq!(stream.text().await.unwrap(), expected);
        let reply = caller.chat("rosters", text, 20, &[]).await.unwrap();
        assert_eq!(reply.content(), expected);
        let lookup = caller.post("/s/card-status/4711", "{}", &[]).await.unwrap();
        assert_eq!(lookup.json()["path"], "/4711");
    }

    let status = stdout_of(cluster.cli(&["status", "--format", "json"]).unwrap());
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["revision"], 7);
    assert_eq!(status["routers"].as_array().unwrap().len(), 2);
    for process in routers.into_iter().chain(controls) {
        assert_eq!(process.terminate().unwrap(), Some(0));
    }
    fakes.into_iter().chain([service]).for_each(Process::kill);
}
