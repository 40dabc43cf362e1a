//! One child process and the ports that it printed.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, mpsc};
use std::time::{Duration, Instant};

/// Time within which a process must have opened its ports.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Names a folder in which the output of each process is kept.
const LOGS_VARIABLE: &str = "BULRUSHSLIP_TEST_LOGS";

/// Lines of output that are kept until a test reads them; further ones are dropped.
const MAX_LINES: usize = 4_096;

/// Creates the file for the output of a process, if the output is to be kept.
fn output_log(binary: &str, id: u32) -> Option<File> {
    let folder = PathBuf::from(std::env::var_os(LOGS_VARIABLE)?);
    let name = Path::new(binary).file_stem()?.to_string_lossy();
    let log = File::create(folder.join(format!("{name}-{id}.log")));
    Some(log.expect("a folder for logs"))
}

/// A running binary; it is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    binary: String,
    arguments: Vec<String>,
    /// Addresses by role, as printed in `listening ROLE ADDRESS`.
    pub ports: HashMap<String, SocketAddr>,
    lines: Mutex<mpsc::Receiver<String>>,
}

impl ChildProcess {
    /// Starts a binary and waits until it has printed the given roles.
    pub fn start(binary: &str, arguments: &[&str], roles: &[&str]) -> Self {
        Self::start_with(binary, arguments, &[], roles)
    }

    /// Starts a binary with variables and waits until it has printed the given roles.
    pub fn start_with(
        binary: &str,
        arguments: &[&str],
        variables: &[(&str, &str)],
        roles: &[&str],
    ) -> Self {
        let mut child = Command::new(binary)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{binary}: {error}"));
        let output = child.stdout.take().expect("the output is piped");
        let mut log = output_log(binary, child.id());
        let (sender, lines) = mpsc::sync_channel(MAX_LINES);
        // The reader outlives the start, so that the process never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(log) = &mut log {
                    writeln!(log, "{line}").expect("a file that can be written");
                }
                drop(sender.try_send(line));
            }
        });
        let mut ports = HashMap::new();
        let deadline = Instant::now() + START_LIMIT;
        while !roles.iter().all(|role| ports.contains_key(*role)) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = lines
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("{binary} {arguments:?} did not open its ports"));
            let words: Vec<&str> = line.split_whitespace().collect();
            if let ["listening", role, address] = words[..] {
                let address = address.parse().expect("an address");
                ports.insert(role.to_owned(), address);
            }
        }
        Self {
            child,
            binary: binary.to_owned(),
            arguments: arguments.iter().map(|&text| text.to_owned()).collect(),
            ports,
            lines: Mutex::new(lines),
        }
    }

    /// Returns the lines that the process has printed since the last call.
    pub fn new_lines(&self) -> Vec<String> {
        let lines = self.lines.lock().expect("not poisoned");
        lines.try_iter().collect()
    }

    /// Returns the address that was printed for a role.
    pub fn port(&self, role: &str) -> SocketAddr {
        self.ports[role]
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks the process to stop as an operator would, by SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process where it is, by SIGSTOP.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on, by SIGCONT.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Tells the process that its settings have changed, by SIGHUP.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child")
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {id}");
    }

    /// Kills the process and starts its next life on the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        let roles: Vec<String> = self.ports.keys().cloned().collect();
        let roles: Vec<&str> = roles.iter().map(String::as_str).collect();
        let mut arguments = self.arguments.clone();
        for (role, address) in &self.ports {
            let flag = if role == "operator" {
                "--operator-listen"
            } else {
                "--listen"
            };
            let position = arguments.iter().position(|argument| argument == flag);
            let position = position.expect("a listening process");
            arguments[position + 1] = address.to_string();
        }
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        *self = Self::start(&self.binary, &arguments, &roles);
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("a child").code()
    }

    /// Kills the process, as a crash would end it.
    pub fn kill(&mut self) {
        // A process that has ended by itself needs no kill.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
