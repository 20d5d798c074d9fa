//! Tests what the operators of a run publish.

use serde_json::Value;
use sorrelland_soak::routes::{Change, Routes};

/// Returns name and path of each route.
fn published(routes: &Routes) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    routes.to_wire().iter().map(|route| (text(&route["name"]), text(&route["path_prefix"]))).collect()
}

/// Guards against a desired state that the platform's store would refuse: two routes of one name or path.
#[test]
fn to_wire_names_each_route_and_path_once() {
    let changes = [
        Change::Rename(1),
        Change::Swap(0, 2),
        Change::Replace { route: 0, ms: 1 },
        Change::Move { route: 1, ms: 1 },
        Change::Remove { route: 2, renames: true, ms: 1 },
        Change::Swap(1, 2),
    ];
    let mut routes = Routes::default();
    for change in changes {
        routes.apply(change);
        let published = published(&routes);
        for one in 0..published.len() {
            for other in one + 1..published.len() {
                assert_ne!(published[one].0, published[other].0, "{change:?}: {published:?}");
                assert_ne!(published[one].1, published[other].1, "{change:?}: {published:?}");
            }
        }
    }
}

/// Guards against callers whose path is gone for good.
#[test]
fn take_back_leaves_the_callers_their_paths() {
    let mut routes = Routes::default();
    let paths = |routes: &Routes| published(routes).into_iter().map(|(_, path)| path).collect::<Vec<_>>();
    let usual = paths(&routes);
    for change in [
        Change::Replace { route: 0, ms: 1 },
        Change::Move { route: 1, ms: 1 },
        Change::Remove { route: 2, renames: true, ms: 1 },
        Change::Remove { route: 0, renames: false, ms: 1 },
    ] {
        routes.apply(change);
        routes.take_back(change);
        assert_eq!(paths(&routes), usual, "{change:?}");
    }
}
