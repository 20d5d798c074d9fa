//! Waiting for answers of the store.

use std::time::Duration;

use sorrelland_control::patience::Patience;

#[test]
fn wait_is_short_while_answers_are_fast() {
    let mut patience = Patience::default();
    (0..20).for_each(|_| patience.note(Duration::from_millis(8)));
    // Two lost answers in a row fit into the 3 s that callers wait.
    let mut waited = patience.wait();
    patience.note_missed();
    waited += patience.wait();
    assert!(waited < Duration::from_millis(1_500), "{waited:?}");
}

#[test]
fn wait_outlasts_a_slow_store() {
    let mut patience = Patience::default();
    let slow = Duration::from_millis(480);
    (0..4).for_each(|_| patience.note_missed());
    assert!(patience.wait() > slow, "the first slow answer is reached by waiting longer each time");
    (0..20).for_each(|_| patience.note(slow));
    assert!(patience.wait() > 2 * slow);
}
