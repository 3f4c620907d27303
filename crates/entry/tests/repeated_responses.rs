//! Guards against an earlier response that an upstream sends once more on a kept connection and
//! that is taken for the response to the next request there.

mod support;

use rstest::rstest;
use serde_json::Value;
use support::{EntryUnderTest, KEY, bearer};

/// Guards against a caller that gets the answer to an earlier call.
#[rstest]
#[tokio::test]
async fn answer_repeated() {
    let entry = EntryUnderTest::start().await;
    entry.plain.handler().repeat_responses();
    let key = bearer(KEY);
    let headers = [("authorization", key.as_str())];
    for text in ["one", "two", "three"] {
        let path = "/services/booking/search";
        let response = entry.post(path, &headers, text).await;
        assert_eq!(response.status(), 200);
        let echo: Value = response.json().await.expect("JSON");
        assert_eq!(echo["body"], text);
    }
}

/// Guards against a call that runs twice, or is refused as not run, because an earlier refusal was
/// read as its response.
#[rstest]
#[tokio::test]
async fn refusal_repeated() {
    let entry = EntryUnderTest::start().await;
    let plain = entry.plain.handler();
    plain.repeat_responses();
    let key = bearer(KEY);
    let path = "/services/booking/search";
    for id in ["one", "two", "three"] {
        plain.refuse_next();
        let headers = [("authorization", key.as_str()), ("x-request-id", id)];
        let response = entry.post(path, &headers, id).await;
        assert_eq!(response.status(), 200, "{id}");
        assert_eq!(plain.executions(id), 1, "{id}");
    }
}
