//! Tests of the command line, run as a separate process.

mod testenv;

use testenv::{TestEnv, stderr, stdout};

const FIVE_FAULTS: &str = "\
[instances]
id,data_centre
kremsau-01,ost-a

[services]
name,deadline_ms
hallenplan,soon
[targets]
service,id,address,data_centre,slots,max_connections
hallenplan,hallenplan-01,not-an-address,ost-a,3,200
hallenplan,hallenplan-02,127.0.0.1:1,ost-a,0,200
[routes]
service,method,path_prefix,kind,priority
hallenplan,get,/hallenplan,idempotent,normal
[intentions]
at,action,subject,factor
now,drain,hallenplan-09,
";

#[test]
fn names_all_five_faults_with_line_and_column() {
    let env = TestEnv::new();
    let sheet = env.write("sheet.csv", FIVE_FAULTS);
    let output = env.run(&["plan", "check", &sheet]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    assert!(text.starts_with("[arbutusshelf error]: the sheet has 5 faults"), "{text}");
    for place in [
        "line 7, column 2",
        "line 10, column 3",
        "line 11, column 5",
        "line 14, column 2",
        "line 17, column 3",
    ] {
        assert!(text.contains(place), "{place} is missing in {text}");
    }
    assert_eq!(text.lines().count(), 1);
}

#[test]
fn accepts_what_spreadsheets_export() {
    let env = TestEnv::new();
    let shipped = include_str!("../examples/kremsau.csv");
    let exported = format!("\u{feff}{}", shipped.replace(',', ";").replace('\n', ";;\r\n"));
    let sheet = env.write("sheet.csv", &exported);
    let output = env.run(&["plan", "check", &sheet, "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert!(stdout(&output).contains("\"targets\": 34"), "{}", stdout(&output));
}

#[test]
fn names_every_fault_of_the_settings() {
    let env = TestEnv::new();
    let settings = r#"{"instance": "Kremsau 01", "callers_address": "127.0.0.1:0", "colour": 1,
        "admin_address": "192.0.2.1:80", "peers_address": "127.0.0.1:0", "head_timeout_ms": 1}"#;
    let file = env.write("settings.json", settings);
    let output = env.run(&["settings", "check", &file]);
    assert_eq!(output.status.code(), Some(2));
    let text = stderr(&output);
    for fault in
        ["instance:", "data_centre: required", "colour: unknown field", "admin_token:", "head_timeout_ms:"]
    {
        assert!(text.contains(fault), "{fault} is missing in {text}");
    }
}

#[test]
fn names_a_taken_port_once() {
    let env = TestEnv::new();
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = taken.local_addr().expect("a bound socket has an address");
    let settings = serde_json::json!({"instance": "a", "data_centre": "b", "callers_address": address,
        "admin_address": "127.0.0.1:0", "peers_address": "127.0.0.1:0"});
    let file = env.write("settings.json", &settings.to_string());
    let output = env.run(&["serve", "--settings", &file]);
    assert_eq!(output.status.code(), Some(1));
    let text = stderr(&output);
    assert!(text.contains(&format!("[arbutusshelf error]: callers_address {address}: ")), "{text}");
    assert_eq!(text.matches("[arbutusshelf error]").count(), 1);
}

#[test]
fn tells_that_an_instance_is_unreachable() {
    let env = TestEnv::new();
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = free.local_addr().expect("a bound socket has an address").to_string();
    drop(free);
    let output = env.run(&["report", "--to", &address]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        stderr(&output).starts_with("[arbutusshelf error]: instance at 127.0.0.1:"),
        "{}",
        stderr(&output)
    );
}

#[test]
fn example_settings_are_valid() {
    let env = TestEnv::new();
    for (name, text) in [
        ("kremsau.json", include_str!("../examples/kremsau.json")),
        ("magnolia.json", include_str!("../examples/magnolia.json")),
    ] {
        let output = env.run(&["settings", "check", &env.write(name, text)]);
        assert_eq!(output.status.code(), Some(0), "{name}: {}", stderr(&output));
    }
}
