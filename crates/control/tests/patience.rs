//! Waiting for answers of the store.

use std::time::Duration;

use sorrelland_control::adaptive_timeout::AdaptiveTimeout;

#[test]
fn wait_is_short_while_answers_are_fast() {
    let mut patience = AdaptiveTimeout::default();
    (0..20).for_each(|_| patience.record_reply(Duration::from_millis(8)));
    // Two lost answers in a row fit into the 3 s that callers wait.
    let mut waited = patience.wait();
    patience.record_timeout();
    waited += patience.wait();
    assert!(waited < Duration::from_millis(1_500), "{waited:?}");
}

#[test]
fn wait_outlasts_a_slow_store() {
    let mut patience = AdaptiveTimeout::default();
    let slow = Duration::from_millis(480);
    (0..4).for_each(|_| patience.record_timeout());
    assert!(patience.wait() > slow, "the first slow answer is reached by waiting longer each time");
    (0..20).for_each(|_| patience.record_reply(slow));
    assert!(patience.wait() > 2 * slow);
}
