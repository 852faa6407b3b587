//! A cluster of separate processes, killed for real.

use crate::layout::Layout;
use anyhow::{Context, Result, bail};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};

/// A child process; killed when it is dropped.
pub struct Process {
    child: Child,
    /// Whether it has not been waited for: until then its id is nobody else's.
    is_there: Arc<Mutex<bool>>,
}

/// Wakes a process that stands still, if it is still there.
pub struct Wake {
    id: u32,
    is_there: Arc<Mutex<bool>>,
}

impl Wake {
    /// Sends the signal.
    pub fn send(&self) -> Result<()> {
        let is_there = self.is_there.lock().expect("no holder panics");
        match *is_there {
            true => signal(self.id, "CONT"),
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
            .with_context(|| format!("{} can't be started", program.display()))?;
        Ok(Self {
            child,
            is_there: Arc::new(Mutex::new(true)),
        })
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills it at once.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        let mut is_there = self.is_there.lock().expect("no holder panics");
        *is_there = false;
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks it to stop (SIGTERM) and waits; answers with its exit code.
    pub fn terminate(mut self) -> Result<Option<i32>> {
        self.signal("TERM")?;
        let status = self.child.wait()?;
        *self.is_there.lock().expect("no holder panics") = false;
        Ok(status.code())
    }

    /// What wakes it later.
    pub fn wakes(&self) -> Wake {
        Wake {
            id: self.id(),
            is_there: self.is_there.clone(),
        }
    }

    /// Sends it a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) -> Result<()> {
        signal(self.id(), name)
    }

    fn first_line(&mut self) -> Result<String> {
        let out = self.child.stdout.take().context("its output is taken")?;
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line)?;
        Ok(line)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// Sends a process that this one started a signal, by its name without `SIG`.
fn signal(id: u32, name: &str) -> Result<()> {
    let id = id.to_string();
    let status = Command::new("kill").args(["-s", name, &id]).status()?;
    if !status.success() {
        bail!("process {id} can't be signalled");
    }
    Ok(())
}

/// Paths of the programs, and the cluster's folder.
pub struct Processes {
    /// Addresses and settings.
    pub layout: Layout,
    daemon: PathBuf,
    cli: PathBuf,
    fake: PathBuf,
}

impl Processes {
    /// With the programs at these paths.
    pub fn new(layout: Layout, daemon: &str, cli: &str, fake: &str) -> Self {
        Self {
            layout,
            daemon: daemon.into(),
            cli: cli.into(),
            fake: fake.into(),
        }
    }

    /// Its log, which goes on when it is started again.
    fn log(&self, name: &str) -> Result<File> {
        let path = self.layout.folder().join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(path)?;
        Ok(file)
    }

    /// Errors in the logs of all processes, each with the name of its log.
    pub fn errors(&self) -> Result<Vec<String>> {
        self.lines_if(|l| l.contains("rror: ") || l.contains("level=error"))
    }

    /// Lines of all processes with this text, each with the name of its log.
    pub fn lines(&self, text: &str) -> Result<Vec<String>> {
        self.lines_if(|l| l.contains(text))
    }

    fn lines_if(&self, wanted: impl Fn(&str) -> bool) -> Result<Vec<String>> {
        let mut found = Vec::new();
        for entry in std::fs::read_dir(self.layout.folder())? {
            let path = entry?.path();
            if path.extension().is_none_or(|e| e != "log") {
                continue;
            }
            let name = path.file_stem().unwrap_or_default().display().to_string();
            let log = std::fs::read_to_string(&path)?;
            let lines = log.lines().filter(|l| wanted(l));
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

    /// Starts the first control replica without a token for operators.
    pub fn open_control(&self) -> Result<Process> {
        self.start_daemon("open", self.layout.open_control_settings()?)
    }

    /// Starts a router.
    pub fn router(&self, i: usize) -> Result<Process> {
        let settings = self.layout.router_settings(i)?;
        self.start_daemon(&format!("router-{i}"), settings)
    }

    /// Starts a fake, and answers with its address.
    pub fn fake(&self, name: &str, args: &[&str]) -> Result<(Process, SocketAddr)> {
        let mut all: Vec<String> = args.iter().map(ToString::to_string).collect();
        all.push("--listen=127.0.0.1:0".to_string());
        let mut process = Process::spawn(&self.fake, &all, Stdio::piped(), self.log(name)?)?;
        let line = process.first_line()?;
        let address = line.trim().rsplit('=').next().unwrap_or_default().parse();
        Ok((
            process,
            address.with_context(|| format!("{line:?} names no address"))?,
        ))
    }

    /// Runs the operators' command line.
    pub fn cli(&self, args: &[&str]) -> Result<Output> {
        let token = self.layout.token_file().display().to_string();
        let args = [&["--token-file", token.as_str()], args].concat();
        self.cli_without_token(&args)
    }

    /// Runs it without naming the token's file.
    pub fn cli_without_token(&self, args: &[&str]) -> Result<Output> {
        let mut command = Command::new(&self.cli);
        for admin in &self.layout.control_admin {
            command.arg(format!("--control={admin}"));
        }
        Ok(command.args(args).output()?)
    }

    /// Lets the daemon check a settings file.
    pub fn daemon_check(&self, file: &str) -> Result<Output> {
        let args = ["--settings", file, "--check"];
        Ok(Command::new(&self.daemon).args(args).output()?)
    }

    /// Applies an object from a file that is written for it.
    pub fn apply(&self, kind: &str, object: &impl serde::Serialize) -> Result<Output> {
        let file = self.layout.folder().join(format!("{kind}.jsonc"));
        std::fs::write(&file, serde_json::to_string_pretty(object)?)?;
        self.cli(&[kind, "apply", &file.display().to_string(), "--wait", "15s"])
    }
}
