//! Settings: the example files are valid, and every finding is reported with its location.

use std::path::Path;

use sorrelland_conf::Settings;

#[test]
fn load_examples() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut count = 0;
    for folder in [examples.clone(), examples.join("haiphong"), examples.join("consortium")] {
        for file in std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()) {
            if file.extension().is_some_and(|extension| extension == "ini") {
                Settings::load(&file).unwrap_or_else(|e| panic!("{e}"));
                count += 1;
            }
        }
    }
    assert_eq!(count, 29);
}

#[test]
fn parse_reports_all_findings_together() {
    let text = "[daemon]\nrole = entry\nname = a b\nhttp = nowhere\nname = c\n[log]\nurl = log:7000\n\
                [account-keys]\na = short\nb = long-enough\nc = long-enough\n[agnet]\n";
    let findings = Settings::parse("f.ini", text).unwrap_err().to_string();
    for expected in [
        "f.ini:3: [daemon] name: must not have",
        "f.ini:4: [daemon] http: \"nowhere\" is not an address as IP:PORT",
        "f.ini:5: [daemon] name: is set before, on line 3",
        "f.ini:1: [daemon] process-key: is missing",
        "f.ini:7: [log] url: \"log:7000\" is not a URL",
        "f.ini:9: [account-keys] a: has fewer than 8 characters",
        "f.ini:11: [account-keys] c: has the same key as \"b\"",
        "f.ini:12: [agnet] : section is not known; did you mean \"agent\"?",
    ] {
        assert!(findings.contains(expected), "{expected}\n--\n{findings}");
    }
}

#[yare::parameterized(
    unclosed = { "[daemon\nrole = entry\n" },
    no_value = { "[daemon]\nrole\n" },
)]
fn parse_not_ini(text: &str) {
    assert!(Settings::parse("f.ini", text).unwrap_err().to_string().contains("not INI"));
}
