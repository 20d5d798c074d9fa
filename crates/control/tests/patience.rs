//! Tests the adaptive time-out of calls to the store.

use std::time::Duration;

use sorrelland_control::adaptive_timeout::AdaptiveTimeout;

#[test]
fn wait_is_short_while_answers_are_fast() {
    let mut timeout = AdaptiveTimeout::default();
    (0..20).for_each(|_| timeout.record_reply(Duration::from_millis(8)));
    // Two lost answers in a row fit into the 3 s that callers wait.
    let mut waited = timeout.wait();
    timeout.record_timeout();
    waited += timeout.wait();
    assert!(waited < Duration::from_millis(1_500), "{waited:?}");
}

#[test]
fn wait_exceeds_the_latency_of_a_slow_store() {
    let mut timeout = AdaptiveTimeout::default();
    let latency = Duration::from_millis(480);
    (0..4).for_each(|_| timeout.record_timeout());
    assert!(
        timeout.wait() > latency,
        "the time-out must grow with each miss until the first slow answer fits into it"
    );
    (0..20).for_each(|_| timeout.record_reply(latency));
    assert!(timeout.wait() > 2 * latency);
}
