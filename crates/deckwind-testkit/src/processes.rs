//! A cluster of separate processes, which tests can kill.

use crate::layout::Layout;
use anyhow::{Context, Result};
use nix::sys::signal::{Signal, kill};
use nix::time::ClockId;
use nix::unistd::Pid;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    /// Whether the process hasn't been waited for. Until then its id can't be reused, so
    /// signals reach the right process.
    is_unreaped: Arc<Mutex<bool>>,
}

/// Handle that suspends and resumes a process if it hasn't been waited for.
pub struct ResumeHandle {
    id: u32,
    is_unreaped: Arc<Mutex<bool>>,
}

impl ResumeHandle {
    /// Sends SIGCONT.
    pub fn resume(&self) -> Result<()> {
        self.send(&["CONT"])
    }

    /// Sends SIGSTOP.
    pub fn suspend(&self) -> Result<()> {
        self.send(&["STOP"])
    }

    /// Returns the processor time that all threads of the process have used; `None` if it
    /// has been waited for.
    pub fn processor_time(&self) -> Result<Option<Duration>> {
        let is_unreaped = self.is_unreaped.lock().expect("no holder panics");
        if !*is_unreaped {
            return Ok(None);
        }
        let pid = Pid::from_raw(i32::try_from(self.id)?);
        let clock = ClockId::pid_cpu_clock_id(pid)?;
        Ok(Some(clock.now()?.into()))
    }

    /// Resumes the process as after a suspension of its VM: SIGUSR1, then SIGCONT.
    pub fn resume_vm(&self) -> Result<()> {
        self.send(&["USR1", "CONT"])
    }

    /// Sends signals unless the process has ended and its id may be another one's.
    fn send(&self, names: &[&str]) -> Result<()> {
        let is_unreaped = self.is_unreaped.lock().expect("no holder panics");
        match *is_unreaped {
            true => names.iter().try_for_each(|name| signal(self.id, name)),
            false => Ok(()),
        }
    }
}

impl Process {
    fn spawn(program: &Path, args: &[String], out: Stdio, log: File) -> Result<Self> {
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(log)
            .spawn()
            .with_context(|| format!("can't start {}", program.display()))?;
        Ok(Self {
            child,
            is_unreaped: Arc::new(Mutex::new(true)),
        })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(mut self) {
        self.kill_and_wait();
    }

    fn kill_and_wait(&mut self) {
        let mut is_unreaped = self.is_unreaped.lock().expect("no holder panics");
        *is_unreaped = false;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process to stop (SIGTERM) and waits for its end; returns its exit code.
    pub fn terminate(mut self) -> Result<Option<i32>> {
        self.signal("TERM")?;
        let status = self.child.wait()?;
        *self.is_unreaped.lock().expect("no holder panics") = false;
        Ok(status.code())
    }

    /// Returns a handle that can resume the process later.
    pub fn resume_handle(&self) -> ResumeHandle {
        ResumeHandle {
            id: self.id(),
            is_unreaped: self.is_unreaped.clone(),
        }
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) -> Result<()> {
        signal(self.id(), name)
    }

    fn first_line(&mut self) -> Result<String> {
        let out = self
            .child
            .stdout
            .take()
            .context("the process's output was taken already")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        Ok(line)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill_and_wait();
    }
}

/// Sends a signal, named without `SIG`, to a process that this one started.
fn signal(id: u32, name: &str) -> Result<()> {
    let signal: Signal = format!("SIG{name}").parse()?;
    let pid = Pid::from_raw(i32::try_from(id)?);
    kill(pid, signal).with_context(|| format!("can't send SIG{name} to process {id}"))
}

/// The programs and the folder of a cluster.
pub struct Processes {
    /// Addresses and settings of the cluster.
    pub layout: Layout,
    daemon: PathBuf,
    cli: PathBuf,
    fake: PathBuf,
}

impl Processes {
    /// Uses the programs at these paths.
    pub fn new(layout: Layout, daemon: &str, cli: &str, fake: &str) -> Self {
        Self {
            layout,
            daemon: daemon.into(),
            cli: cli.into(),
            fake: fake.into(),
        }
    }

    /// Opens a process's log for appending, so that it continues after a restart.
    fn log(&self, name: &str) -> Result<File> {
        let path = self.layout.folder().join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(path)?;
        Ok(file)
    }

    /// Returns the errors in the logs of all processes, each prefixed by the name of its
    /// log.
    pub fn errors(&self) -> Result<Vec<String>> {
        self.matching_lines(|l| l.contains("rror: ") || l.contains("level=error"))
    }

    /// Returns the log lines of all processes that contain `text`, each prefixed by the
    /// name of its log.
    pub fn lines(&self, text: &str) -> Result<Vec<String>> {
        self.matching_lines(|l| l.contains(text))
    }

    fn matching_lines(&self, matches: impl Fn(&str) -> bool) -> Result<Vec<String>> {
        let mut found = Vec::new();
        for entry in std::fs::read_dir(self.layout.folder())? {
            let path = entry?.path();
            if path.extension().is_none_or(|e| e != "log") {
                continue;
            }
            let name = path.file_stem().unwrap_or_default().display().to_string();
            let log = std::fs::read_to_string(&path)?;
            let lines = log.lines().filter(|l| matches(l));
            found.extend(lines.map(|l| format!("{name}: {l}")));
        }
        Ok(found)
    }

    fn start_daemon(&self, name: &str, settings: PathBuf) -> Result<Process> {
        let args = ["--settings".to_string(), settings.display().to_string()];
        let log = self.log(name)?;
        let out = Stdio::from(log.try_clone()?);
        Process::spawn(&self.daemon, &args, out, log)
    }

    /// Starts a control replica.
    pub fn control(&self, slot: usize) -> Result<Process> {
        let settings = self.layout.control_settings(slot)?;
        self.start_daemon(&format!("control-{slot}"), settings)
    }

    /// Starts the first control replica with seeds and without a token for operators.
    pub fn control_without_token(&self) -> Result<Process> {
        self.start_daemon("open", self.layout.control_without_token_settings()?)
    }

    /// Starts a router.
    pub fn router(&self, i: usize) -> Result<Process> {
        let settings = self.layout.router_settings(i)?;
        self.start_daemon(&format!("router-{i}"), settings)
    }

    /// Starts a fake target and returns its address.
    pub fn fake(&self, name: &str, args: &[&str]) -> Result<(Process, SocketAddr)> {
        let mut all: Vec<String> = args.iter().map(ToString::to_string).collect();
        all.push("--listen=127.0.0.1:0".to_string());
        let mut process = Process::spawn(&self.fake, &all, Stdio::piped(), self.log(name)?)?;
        let line = process.first_line()?;
        let address = line.trim().rsplit('=').next().unwrap_or_default().parse();
        Ok((
            process,
            address.with_context(|| format!("no address in the first line of output: {line:?}"))?,
        ))
    }

    /// Runs the operators' command line with the token's file.
    pub fn cli(&self, args: &[&str]) -> Result<Output> {
        let token = self.layout.token_file().display().to_string();
        let args = [&["--token-file", token.as_str()], args].concat();
        self.cli_without_token(&args)
    }

    /// Runs the operators' command line without the token's file.
    pub fn cli_without_token(&self, args: &[&str]) -> Result<Output> {
        let mut command = Command::new(&self.cli);
        for admin in &self.layout.control_admin {
            command.arg(format!("--control={admin}"));
        }
        Ok(command.args(args).output()?)
    }

    /// Runs the daemon's check of a settings file.
    pub fn daemon_check(&self, file: &str) -> Result<Output> {
        let args = ["--settings", file, "--check"];
        Ok(Command::new(&self.daemon).args(args).output()?)
    }

    /// Writes an object to a file and applies it with the command line.
    pub fn apply(&self, kind: &str, object: &impl serde::Serialize) -> Result<Output> {
        let file = self.layout.folder().join(format!("{kind}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(object)?)?;
        self.cli(&[kind, "apply", &file.display().to_string(), "--wait", "15s"])
    }
}
