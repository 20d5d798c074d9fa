use std::time::Duration;

use http::StatusCode;
use sorrelland_control::store_failures::StoreFailures;
use sorrelland_platform::store::Error;
use sorrelland_web::client;

const REFUSED: Error = Error::Refused { status: StatusCode::SERVICE_UNAVAILABLE };

#[test]
fn lasting_ms_counts_from_first_rejected_call() {
    let mut failures = StoreFailures::default();
    failures.record::<()>(1_000, &Err(REFUSED));
    failures.record::<()>(1_100, &Err(REFUSED));
    failures.record::<()>(1_200, &Err(Error::NoReply(client::Error::Body("reset".to_owned()))));
    assert_eq!(failures.lasting_ms(1_250), 250);
    failures.record(1_300, &Ok(()));
    assert_eq!(failures.lasting_ms(1_300), 0);
}

#[test]
fn lasting_ms_ignores_timeouts() {
    let timeout = || Error::NoReply(client::Error::Timeout(Duration::from_millis(350)));
    let mut failures = StoreFailures::default();
    failures.record::<()>(1_000, &Err(timeout()));
    assert_eq!(failures.lasting_ms(2_000), 0, "the store may be slow for all");
    failures.record::<()>(2_000, &Err(REFUSED));
    failures.record::<()>(2_400, &Err(timeout()));
    assert_eq!(failures.lasting_ms(2_500), 500);
}

#[test]
fn lasting_ms_ends_with_any_answer() {
    let mut failures = StoreFailures::default();
    failures.record::<()>(1_000, &Err(REFUSED));
    failures.record::<()>(1_100, &Err(Error::EndMismatch { end: 7 }));
    assert_eq!(failures.lasting_ms(1_200), 0);
}
