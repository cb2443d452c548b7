//! A stand-in plain service, which records each request that it runs.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    sync::{
        Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use azuremount::http_server::{Request, Response};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    Flags,
    fault::{Fault, Faults},
};

/// A stand-in plain service.
pub struct Plain {
    pub faults: Faults,
    work: Duration,
    running: AtomicU32,
    rejected: AtomicU32,
    runs: Mutex<Vec<String>>,
    file: Option<Mutex<File>>,
}

impl Plain {
    pub fn open(flags: &Flags) -> Plain {
        let file = flags.runs.as_ref().map(|path| {
            let opened =
                OpenOptions::new().create(true).append(true).open(path);
            Mutex::new(opened.expect("the runs file can be opened"))
        });
        Plain {
            faults: Faults::default(),
            work: Duration::from_millis(flags.piece_ms),
            running: AtomicU32::new(0),
            rejected: AtomicU32::new(0),
            runs: Mutex::default(),
            file,
        }
    }

    pub fn load(&self) -> (u32, u32) {
        (self.running.load(Ordering::Relaxed), 0)
    }

    pub fn stats(&self) -> Value {
        let runs = self.runs.lock().expect("runs");
        let rejected = self.rejected.load(Ordering::Relaxed);
        json!({ "runs": *runs, "rejected": rejected })
    }

    pub async fn serve(&self, request: Request) -> Response {
        let fault = self.faults.get();
        if let Some(rejection) = fault.rejection() {
            self.rejected.fetch_add(1, Ordering::Relaxed);
            return rejection;
        }
        let key = request.header("idempotency-key").unwrap_or("-");
        self.record_run(key);
        match fault {
            Fault::DieAt(_) => std::process::exit(9),
            Fault::Silent => std::future::pending::<()>().await,
            _ => {}
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let factor = match fault {
            Fault::Slow(factor) => factor as u32,
            _ => 1,
        };
        sleep(self.work * factor).await;
        let load = self.running.fetch_sub(1, Ordering::Relaxed) - 1;
        let body = json!({ "ran": key, "bytes": request.body.len() });
        let mut response = Response::json(StatusCode::OK, &body);
        response.set("azuremount-load", &load.to_string());
        response
    }

    /// Records a run, also in the file if there is one, so that the record
    /// survives a kill of this process.
    fn record_run(&self, key: &str) {
        self.runs.lock().expect("runs").push(key.to_owned());
        if let Some(file) = &self.file {
            let mut file = file.lock().expect("runs file");
            writeln!(file, "{key}").expect("the run can be recorded");
        }
    }
}
