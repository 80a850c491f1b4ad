//! Signals that reach a gateway at inconvenient moments.

mod gateway_env;

use std::{
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    process::{Child, Command, Stdio},
};

use gateway_env::TestDeployment;
use serde_json::json;

/// Ends the process when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _already_ended = self.0.kill();
        let _ended = self.0.wait();
    }
}

fn run(program: &str, arguments: &[&str]) {
    let status = Command::new(program).args(arguments).status();
    assert!(status.expect("the program starts").success(), "{program} {arguments:?}");
}

// Guards against an instance that ends when the operator has its settings read again while it starts: the signal came
// before its handler was installed.
#[tokio::test]
async fn a_hangup_while_the_settings_are_read_for_the_first_time_ends_nothing() {
    let deployment = TestDeployment::start().await;
    let settings = deployment.write_settings("one", &json!({}));
    // The settings come from a pipe at first, so that the process waits for them.
    let pipe = format!("{settings}.pipe");
    run("mkfifo", &[&pipe]);
    let mut command = Command::new(env!("CARGO_BIN_EXE_arbutusshelf"));
    command.args(["gateway", "--settings", &pipe]).stdout(Stdio::piped());
    let mut process = Process(command.spawn().expect("the binary starts"));
    // Returns when the process has opened the pipe, too.
    let mut sending = File::options().write(true).open(&pipe).expect("the pipe opens");
    run("kill", &["-s", "HUP", &process.0.id().to_string()]);
    let content = fs::read(&settings).expect("the settings can be read");
    fs::rename(&settings, &pipe).expect("a file takes the place of the pipe");
    sending.write_all(&content).expect("the process still reads");
    drop(sending);
    let mut lines = BufReader::new(process.0.stdout.take().expect("stdout is piped")).lines();
    let mut log = Vec::new();
    let is_reload = |line: &String| line.contains("event=reload ");
    while !log.iter().any(is_reload) {
        let line = lines.next().unwrap_or_else(|| panic!("the process has ended: {log:?}"));
        log.push(line.expect("the log is text"));
    }
    assert!(log.iter().any(|line| line.contains("event=started")), "{log:?}");
}
