//! Execution of the commands.

use std::{
    fs::{self, OpenOptions},
    io::{self, Write},
    os::unix::fs::OpenOptionsExt,
    path::Path,
    time::{Duration, Instant},
};

use elmstream::code::Code;
use elmstream_config::{Configuration, difference};
use elmstream_proto::{
    identity,
    operators::{
        ApplyReply, ApplyRequest, AuditRequest, DrainRequest, ExplainRequest, GetReply, GetRequest,
        StatusReply, StatusRequest,
    },
};
use snafu::ResultExt;
use tonic::{Request, metadata::AsciiMetadataValue};

use crate::{
    cli::{Command, Connection, Options},
    connection::{self, Client},
    error::{self, ConfigurationSnafu, Error, FileSnafu, IdentitySnafu},
    explain, output,
};

/// Longest time to wait until a change is in force on every live host.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the status is polled meanwhile.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";
/// Mode of the key file: only its owner may read it.
const KEY_MODE: u32 = 0o600;
/// Mode of the certificate file, which everyone may read.
const CERTIFICATE_MODE: u32 = 0o644;

/// Runs the command of the options, and prints its result to standard output.
pub async fn run(options: Options) -> Result<(), Error> {
    match options.command {
        Command::Check { file } => {
            read_configuration(&file)?;
            println!("the configuration is valid");
            Ok(())
        }
        Command::NewKey { key, certificate } => new_key(&key, &certificate),
        Command::Explain { log: Some(log), request } => explain_from_log(&log, &request),
        command => run_remote(&options.connection, command).await,
    }
}

/// Runs a command that contacts an entry host.
async fn run_remote(connection: &Connection, command: Command) -> Result<(), Error> {
    let (client, token) = connection::connect(connection).await?;
    let mut session = Session { client, token };
    match command {
        Command::Apply { expect, wait, file } => session.apply(expect, wait, &file).await,
        Command::Get => session.print_configuration().await,
        Command::Diff { file } => session.diff(&file).await,
        Command::Drain { kind, name } => session.drain(kind, name, false).await,
        Command::Undrain { kind, name } => session.drain(kind, name, true).await,
        Command::Status { json } => session.print_status(json).await,
        Command::Explain { request, .. } => {
            session.explain(ExplainRequest { request, ..Default::default() }).await
        }
        Command::Lookup { service, client } => {
            session.explain(ExplainRequest { service, client, ..Default::default() }).await
        }
        Command::Audit { limit } => session.audit(limit).await,
        Command::Check { .. } | Command::NewKey { .. } => Ok(()),
    }
}

/// Connection to an entry host, with the token that authenticates each call.
struct Session {
    client: Client,
    token: AsciiMetadataValue,
}

impl Session {
    /// Builds a request with the token.
    fn request<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert("authorization", self.token.clone());
        request
    }

    async fn apply(&mut self, expect: u64, wait: bool, file: &Path) -> Result<(), Error> {
        let document = read_configuration(file)?.to_text();
        let request = self.request(ApplyRequest { expected_revision: expect, document });
        let reply = self.client.apply(request).await.map_err(refused)?.into_inner();
        self.handle_decision(reply, wait).await
    }

    async fn drain(&mut self, kind: String, name: String, undrain: bool) -> Result<(), Error> {
        let expected_revision = self.get().await?.revision;
        let request = DrainRequest { expected_revision, kind, name, undrain };
        let request = self.request(request);
        let reply = self.client.drain(request).await.map_err(refused)?.into_inner();
        self.handle_decision(reply, true).await
    }

    /// Prints that a change was accepted, or fails with its code. If `wait` is set, waits until the
    /// change is in force.
    async fn handle_decision(&mut self, reply: ApplyReply, wait: bool) -> Result<(), Error> {
        if reply.code != u32::from(Code::Ok.number()) {
            let message = format!("{} (revision {})", reply.message, reply.revision);
            return Err(error::coded(reply.code, message));
        }
        println!("revision {} is accepted", reply.revision);
        if wait { self.wait_in_force(reply.revision).await } else { Ok(()) }
    }

    /// Waits until a revision is in force on every live host, and prints the progress.
    async fn wait_in_force(&mut self, revision: u64) -> Result<(), Error> {
        let started_at = Instant::now();
        let mut last_printed = None;
        while started_at.elapsed() < WAIT_TIMEOUT {
            let status = self.status().await?;
            let live = status.hosts.iter().filter(|h| h.live);
            let total = live.clone().count();
            let confirmed = live.filter(|h| h.revision >= revision).count();
            if last_printed != Some((confirmed, total)) {
                println!(
                    "in force on {confirmed} of {total} hosts after {:?}",
                    started_at.elapsed()
                );
                last_printed = Some((confirmed, total));
            }
            // A host that has just started may not know any live host yet.
            if confirmed == total && total > 0 {
                return Ok(());
            }
            compio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
        let message = Code::WaitTimeout.text().to_owned();
        Err(error::coded(u32::from(Code::WaitTimeout.number()), message))
    }

    async fn get(&mut self) -> Result<GetReply, Error> {
        let request = self.request(GetRequest {});
        Ok(self.client.get(request).await.map_err(refused)?.into_inner())
    }

    async fn status(&mut self) -> Result<StatusReply, Error> {
        let request = self.request(StatusRequest {});
        Ok(self.client.status(request).await.map_err(refused)?.into_inner())
    }

    async fn print_configuration(&mut self) -> Result<(), Error> {
        let reply = self.get().await?;
        eprintln!("revision {}", reply.revision);
        println!("{}", reply.document);
        Ok(())
    }

    async fn diff(&mut self, file: &Path) -> Result<(), Error> {
        let reply = self.get().await?;
        let old = Configuration::parse(&reply.document).context(ConfigurationSnafu)?;
        for edit in difference::difference(&old, &read_configuration(file)?) {
            println!("{edit}");
        }
        Ok(())
    }

    async fn print_status(&mut self, json: bool) -> Result<(), Error> {
        let status = self.status().await?;
        match json {
            true => println!("{}", output::status_json(&status)),
            false => output::status(&status),
        }
        Ok(())
    }

    async fn explain(&mut self, request: ExplainRequest) -> Result<(), Error> {
        let request = self.request(request);
        let reply = self.client.explain(request).await.map_err(refused)?.into_inner();
        if reply.code != 0 {
            let reply_code = u16::try_from(reply.code).ok().and_then(Code::from_number);
            let message = reply_code.map_or("", Code::text).to_owned();
            return Err(error::coded(reply.code, message));
        }
        reply.lines.iter().for_each(|line| println!("{line}"));
        Ok(())
    }

    async fn audit(&mut self, limit: u32) -> Result<(), Error> {
        let request = self.request(AuditRequest { limit });
        let reply = self.client.audit(request).await.map_err(refused)?.into_inner();
        if reply.code != 0 {
            return Err(error::coded(reply.code, Code::StoreUnavailable.text().to_owned()));
        }
        reply.entries.iter().for_each(output::audit_entry);
        Ok(())
    }
}

fn refused(status: tonic::Status) -> Error {
    Error::Refused { reason: status.message().to_owned() }
}

fn read_configuration(path: &Path) -> Result<Configuration, Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    Configuration::parse(&text).context(ConfigurationSnafu)
}

/// Explains from a host's log why a request ended as it did. The log may have invalid UTF-8.
fn explain_from_log(log: &Path, request: &str) -> Result<(), Error> {
    let text = match log == Path::new(STANDARD_INPUT) {
        true => io::read_to_string(io::stdin()),
        false => fs::read(log).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
    };
    let text = text.context(FileSnafu { path: log })?;
    let Some(lines) = explain::explain(text.lines(), request) else {
        let message = Code::NotFound.text().to_owned();
        return Err(error::coded(u32::from(Code::NotFound.number()), message));
    };
    lines.iter().for_each(|line| println!("{line}"));
    Ok(())
}

fn new_key(key: &Path, certificate: &Path) -> Result<(), Error> {
    let key_pem = identity::generate_key().context(IdentitySnafu)?;
    let certificate_pem = identity::authority_pem(&key_pem).context(IdentitySnafu)?;
    write_new(key, &key_pem, KEY_MODE)?;
    write_new(certificate, &certificate_pem, CERTIFICATE_MODE)
}

/// Writes a new file; fails if it exists.
fn write_new(path: &Path, text: &str, mode: u32) -> Result<(), Error> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let mut file = file.context(FileSnafu { path })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path })
}
