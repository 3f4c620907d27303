//! Guards against faults in the path of a call from caller through VM to upstream and back.

mod support;

use reqwest::Response;
use serde_json::Value;
use support::{EntryUnderTest, KEY, bearer, completion_body, parse_events};

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

fn content(answer: &Value) -> &str {
    answer["choices"][0]["message"]["content"]
        .as_str()
        .expect("content")
}

#[tokio::test]
async fn consecutive_turns() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let first = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "1"),
    ];
    let response = entry
        .complete(&first, &completion_body(&[("user", "plan oslo")], false))
        .await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "kwd-ran"), "ran");
    let continuation = header(&response, "kwd-continuation").to_owned();
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(content(&answer), "oslo-0 oslo-1 oslo-2 oslo-3 ");

    let second = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "2"),
        ("kwd-continuation", &continuation),
    ];
    let messages = [
        ("user", "plan oslo"),
        ("assistant", content(&answer)),
        ("user", "and bergen"),
    ];
    let response = entry
        .complete(&second, &completion_body(&messages, true))
        .await;
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let text = response.text().await.expect("text");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let again = entry
        .complete(&second, &completion_body(&messages, true))
        .await;
    let again = again.text().await.expect("text");
    let last = parse_events(&again).pop().expect("events");
    assert!(again.ends_with("data: [DONE]\n\n") && last["kwd-continuation"].is_string());
    let events = parse_events(&text);
    let streamed: String = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(streamed, "bergen-0 bergen-1 bergen-2 bergen-3 ");
    let last = events.last().expect("events");
    assert_eq!(last["kwd-ran"], "ran");
    assert!(last["kwd-continuation"].is_string() && last["kwd-permit"].is_string());
    let usage = events.iter().rev().find(|event| event["usage"].is_object());
    let cached = &usage.expect("usage")["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert_eq!(cached, 2, "the engine has cached the prefix of the program");
    assert_eq!(entry.engine.handler().total_executions(), 2);
}

#[tokio::test]
async fn payment_runs_once() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let first = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "1"),
    ];
    let response = entry
        .complete(&first, &completion_body(&[("user", "pay")], false))
        .await;
    let permit = header(&response, "kwd-permit").to_owned();
    let continuation = header(&response, "kwd-continuation").to_owned();
    let second = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "2"),
        ("kwd-continuation", &continuation),
        ("kwd-permit", &permit),
        ("x-request-id", "deposit"),
    ];
    let paid = entry.post("/services/booking/pay", &second, "50 EUR").await;
    assert_eq!(
        (paid.status().as_u16(), header(&paid, "kwd-ran")),
        (200, "ran")
    );
    let paid = paid.text().await.expect("text");
    let again = entry.post("/services/booking/pay", &second, "50 EUR").await;
    assert_eq!(again.status(), 200);
    assert_eq!(again.text().await.expect("text"), paid);
    let other = entry.post("/services/booking/pay", &second, "70 EUR").await;
    let status = other.status();
    assert_eq!(
        status, 409,
        "a cached response is returned only for the same request"
    );
    assert_eq!(entry.plain.handler().executions("deposit"), 1);
}

#[tokio::test]
async fn open_route_needs_no_key() {
    let entry = EntryUnderTest::start().await;
    let response = entry
        .post("/services/booking/open/fees?year=2", &[], "")
        .await;
    let echo: Value = response.json().await.expect("JSON");
    assert_eq!(
        (&echo["method"], &echo["path"]),
        (&"POST".into(), &"/open/fees?year=2".into())
    );
}

#[tokio::test]
async fn trace_is_forwarded() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let headers = [("authorization", key.as_str()), ("traceparent", parent)];
    entry
        .complete(&headers, &completion_body(&[("user", "oslo")], false))
        .await;
    entry
        .complete(&headers[..1], &completion_body(&[("user", "oslo")], false))
        .await;
    let heads = String::from_utf8(entry.engine.handler().heads()).expect("text");
    let traces: Vec<&str> = heads
        .lines()
        .filter(|l| l.starts_with("traceparent: "))
        .collect();
    assert_eq!(traces.len(), 2, "{heads}");
    assert_eq!(traces[0], format!("traceparent: {parent}"));
    assert_eq!(
        traces[1].len(),
        traces[0].len(),
        "a missing trace is created"
    );
}

#[tokio::test]
async fn charges_reach_the_store() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    for stream in [false, true] {
        let headers = [("authorization", key.as_str())];
        let response = entry
            .complete(&headers, &completion_body(&[("user", "oslo")], stream))
            .await;
        response.text().await.expect("text");
    }
    let EntryUnderTest {
        daemon, platform, ..
    } = entry;
    daemon.stop().await;
    let objects = platform.objects.with_prefix("charges/");
    let lines: Vec<Value> = objects
        .iter()
        .flat_map(|(_, _, value)| value.split(|b| *b == b'\n'))
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).expect("JSON"))
        .collect();
    assert_eq!(lines.len(), 2);
    for line in lines {
        assert_eq!(
            (&line["account"], &line["answer_tokens"]),
            (&"aller".into(), &4.into())
        );
        assert_eq!(
            (&line["upstream"], &line["outcome"]),
            (&"engine-1".into(), &"complete".into())
        );
    }
}

#[tokio::test]
async fn models_and_health() {
    let entry = EntryUnderTest::start().await;
    assert!(entry.get("/v1/models").await.contains(r#""id":"small""#));
    assert_eq!(entry.get("/healthz").await, r#"{"healthy":true}"#);
    assert_eq!(entry.get("/readyz").await, r#"{"ready":true,"reasons":[]}"#);
    assert!(entry.get("/metrics").await.contains("kwd_revision 1"));
}

#[tokio::test]
async fn plain_turn_keeps_history() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let turn = |turn| {
        vec![
            ("authorization", key.as_str()),
            ("kwd-program", "tour"),
            ("kwd-turn", turn),
        ]
    };
    let response = entry
        .complete(&turn("1"), &completion_body(&[("user", "oslo")], false))
        .await;
    let answer: Value = response.json().await.expect("JSON");
    let response = entry
        .post("/services/booking/search", &turn("2"), "hall")
        .await;
    assert_eq!(response.status(), 200);
    let continuation = header(&response, "kwd-continuation").to_owned();
    let mut third = turn("3");
    third.push(("kwd-continuation", &continuation));
    let mut messages = [
        ("user", "rome"),
        ("assistant", content(&answer)),
        ("tool", "hall is free"),
    ];
    let response = entry
        .complete(&third, &completion_body(&messages, false))
        .await;
    assert_eq!(response.status(), 409, "the history is still checked");
    messages[0].1 = "oslo";
    let response = entry
        .complete(&third, &completion_body(&messages, false))
        .await;
    assert_eq!(
        response.status(),
        200,
        "the plain turn must not change the history"
    );
}

#[tokio::test]
async fn permit_and_end() {
    let entry = EntryUnderTest::start().await;
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    let issued = entry
        .post("/v1/programs/tour/permits", &headers, r#"{"turn": 1}"#)
        .await;
    assert_eq!(issued.status(), 200);
    let permit = header(&issued, "kwd-permit").to_owned();
    let pay = [
        ("authorization", key.as_str()),
        ("kwd-program", "tour"),
        ("kwd-turn", "1"),
        ("kwd-permit", &permit),
        ("x-request-id", "deposit"),
    ];
    let paid = entry.post("/services/booking/pay", &pay, "50 EUR").await;
    assert_eq!(paid.status(), 200, "{}", paid.text().await.expect("text"));
    let url = entry.url("/v1/programs/tour");
    let ended = entry
        .client
        .delete(url)
        .header("authorization", &key)
        .send()
        .await;
    assert_eq!(ended.expect("the VM answers").status(), 200);
    entry.post("/services/booking/pay", &pay, "50 EUR").await;
    assert_eq!(entry.plain.handler().executions("deposit"), 1);
}
