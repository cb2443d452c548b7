//! A core machine is replaced as planned. Right after that, as many machines
//! as may be lost at once lose their disks and come back a few seconds later.
//! Can the acknowledged configuration be read back?

use std::{io, path::Path, time::Duration};

use standin_2::{Record, RouteText, Sheet, Site, config, run, sleep_ms};

/// Nodes with a disk, as on the sheet; the last index is the successor.
const NODES: usize = 5;
const REPLACED: usize = 4;
const SUCCESSOR: usize = 5;
/// The machines that lose their disks.
const WIPED: [usize; 2] = [2, 3];
/// How long they are away.
const AWAY_MS: u64 = 1200;
/// From the end of the replaced machine to the last change: `SyncS`, and a bit
/// more.
const PAUSE_MS: u64 = SYNC_MS + 200;
/// `SyncS`, `RecoveryS` and `ContactMs` of the sheet.
const SYNC_MS: u64 = 6000;
const RECOVERY_MS: u64 = 15_000;
const CONTACT_MS: u64 = 4000;

fn main() {
    run(case)
}

fn case(
    program: &Path,
    folder: &Path,
    record: Record,
    has_trouble: bool,
) -> io::Result<bool> {
    let mut site = Site::open(program, folder, NODES + 1, NODES + 1)?
        .with_sheet(Sheet::Grown);
    for at in 0..NODES {
        site.start(at, true)?;
    }
    let routes = [RouteText {
        prefix: "/puxa403/",
        kind: "idempotent",
        timeout_ms: 3000,
        target_ms: 300,
        attempts: 2,
        resumable: false,
    }];
    site.put(&config(7, &routes), Duration::from_secs(20))?;
    record.log("configuration 7 acknowledged");
    sleep_ms(SYNC_MS);
    site.start(SUCCESSOR, false)?;
    record.log("the successor starts with an empty disk");
    site.wait_ready(Duration::from_secs(10))?;
    // The successor has its time, and one second more.
    sleep_ms(SYNC_MS + 1000);
    site.signal(REPLACED, "TERM");
    record.log("the replaced machine gets SIGTERM");
    site.wait_end(REPLACED);
    record.log("the replaced machine has ended and never comes back");
    sleep_ms(PAUSE_MS);
    site.put(&config(8, &routes), Duration::from_secs(10))?;
    record.log("configuration 8 acknowledged");
    if has_trouble {
        for at in WIPED {
            site.wipe(at)?;
        }
        record.log("two machines lose their disks");
        sleep_ms(AWAY_MS);
        for at in WIPED {
            site.start(at, false)?;
        }
        record.log("both are back with empty disks");
    }
    sleep_ms(RECOVERY_MS);
    let until = record.ms() + CONTACT_MS + 20_000;
    let mut reads = 0;
    while record.ms() < until {
        for at in [0, 1, 2, 3, SUCCESSOR] {
            let read = site.read(at);
            reads += 1;
            if read == Ok(8) {
                record.log(format!("read {reads} at node {at}: {read:?}"));
                println!("read back after {reads} reads");
                return Ok(false);
            }
            record.log(format!("read {reads} at node {at}: {read:?}"));
        }
        sleep_ms(300);
    }
    let put = site.put(&config(9, &routes), Duration::from_secs(10));
    record.log(format!("configuration 9: {put:?}"));
    println!("{reads} reads in vain");
    Ok(true)
}
