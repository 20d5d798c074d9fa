//! Parser tests: documented statements parse, errors give the column, and no text causes a panic.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sorrelland_lang::{Statement, parse};

#[test]
fn parse_documented_examples() {
    let page = include_str!("../../../docs/LANGUAGE.md");
    let blocks: Vec<&str> = page.split("```").skip(1).step_by(2).collect();
    let examples = blocks.last().unwrap();
    let mut count = 0;
    for line in examples.lines().filter(|line| !line.trim().is_empty()) {
        parse(line).unwrap_or_else(|e| panic!("{line}: {e}"));
        count += 1;
    }
    assert_eq!(count, 3);
}

#[yare::parameterized(
    misspelt = { "show jbos", 6, "jobs" },
    no_operator = { "show jobs where account", 24, "=" },
    bad_shape = { "set account a guarantee 2x8", 28, "shape" },
    no_setting = { "set account a", 14, "guarantee" },
    trailing_text = { "show jobs limit 5 five", 19, "end" },
    empty = { "", 1, "show" },
)]
fn parse_mistake(text: &str, column: usize, expected: &str) {
    let error = parse(text).unwrap_err();
    assert_eq!(error.column, column, "{error}");
    assert!(error.expected.contains(expected), "{error}");
}

#[test]
fn parse_any_text_does_not_panic() {
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let words = prop::sample::select(vec![
        "show",
        "jobs",
        "where",
        "and",
        "order",
        "by",
        "limit",
        "set",
        "account",
        "guarantee",
        "2x8@rack",
        "x",
        "@",
        "=",
        "~",
        "\"",
        "cancel",
        "confirm",
        "99999999999999999999",
        "id",
        "base",
        "dry",
        "run",
        "é",
        ",",
        ";",
    ]);
    let text = prop_oneof![".{0,60}", prop::collection::vec(words, 0..12).prop_map(|words| words.join(" "))];
    runner
        .run(&text, |text| {
            let _: Result<Statement, _> = parse(&text);
            Ok(())
        })
        .unwrap();
}
