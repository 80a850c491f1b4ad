//! Reads the roll-ups of all instances from the platform's object store, for the burn report.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use tokio::time::Instant;

use super::{
    report::ReportInput,
    rollup::{
        HourRollUp, MinuteRollUp, RunKey, UnixHour, UnixMinute, decode, hours_prefix, minutes_prefix,
        parse_hour_name, parse_minute_name,
    },
    window::Window,
};
use crate::{
    collections::{HashMap, HashSet},
    store::{Platform, ReadError},
};

/// Fraction of this instance's share of store reads that one report may use.
const REPORT_READ_SHARE: f64 = 0.2;

/// Maximum number of concurrent reads.
const MAX_READS_IN_FLIGHT: usize = 16;

/// Time after which no more roll-ups are read; the report is then built without the missing ones.
const READ_TIMEOUT: Duration = Duration::from_secs(80);

/// Maximum size of the objects kept between reports, in bytes.
const MAX_CACHE_BYTES: usize = 16 << 20;

/// Cache of objects from earlier reports. Its entries stay valid because the store never overwrites a
/// roll-up: each is written only if no object of that name exists.
#[derive(Debug, Default)]
pub struct ObjectCache {
    contents: HashMap<String, Bytes>,
    /// Names in the order in which they were read.
    order: VecDeque<String>,
    /// Invariant: the sum of all contents' lengths, at most [`MAX_CACHE_BYTES`].
    bytes: usize,
}

impl ObjectCache {
    fn insert(&mut self, name: String, content: Bytes) {
        self.bytes += content.len();
        if let Some(previous) = self.contents.insert(name.clone(), content) {
            self.bytes -= previous.len();
        } else {
            self.order.push_back(name);
        }
        while self.bytes > MAX_CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.bytes -= self.contents.remove(&oldest).map_or(0, |c| c.len());
        }
    }
}

/// Reads the roll-ups of the last day.
///
/// Minute objects are read only for the last hour and for the hours of runs without an hour object.
pub async fn read_last_day(
    platform: &Platform,
    cache: &mut ObjectCache,
    now: UnixMinute,
    reads_per_s: f64,
) -> ReportInput {
    let mut input = ReportInput::default();
    let mut reader = PacedReader::new(platform, cache, reads_per_s);
    if let Ok(listed) = (platform.list_instances)(()).await {
        input.listed = listed;
    }
    let first = UnixMinute(now.0.saturating_sub(Window::Day.minutes() - 1)).hour();
    let mut runs_with_hour = HashSet::default();
    for hour in first.0..=now.hour().0 {
        reader.read_hours(UnixHour(hour), &mut runs_with_hour, &mut input).await;
    }
    for hour in first.0..=now.hour().0 {
        reader.read_minutes(UnixHour(hour), now, &runs_with_hour, &mut input).await;
    }
    input.store_fault = reader.describe_failures();
    input
}

struct PacedReader<'a> {
    platform: &'a Platform,
    cache: &'a mut ObjectCache,
    /// Time between the starts of two reads.
    read_period: Duration,
    next_read: Instant,
    deadline: Instant,
    failed_lists: u32,
    failed_reads: u32,
    unreadable: u32,
}

impl<'a> PacedReader<'a> {
    fn new(platform: &'a Platform, cache: &'a mut ObjectCache, reads_per_s: f64) -> Self {
        let rate = (reads_per_s * REPORT_READ_SHARE).max(1.0);
        let now = Instant::now();
        Self {
            platform,
            cache,
            read_period: Duration::from_secs_f64(1.0 / rate),
            next_read: now,
            deadline: now + READ_TIMEOUT,
            failed_lists: 0,
            failed_reads: 0,
            unreadable: 0,
        }
    }

    fn describe_failures(&self) -> Option<String> {
        let Self { failed_lists, failed_reads, unreadable, .. } = self;
        let any = failed_lists + failed_reads + unreadable > 0;
        any.then(|| {
            format!(
                "{failed_lists} lists and {failed_reads} objects of the store could not be read, \
                 {unreadable} have another format"
            )
        })
    }

    /// Waits until the share of store reads permits the next read.
    async fn wait_for_next_read(&mut self) {
        tokio::time::sleep_until(self.next_read).await;
        self.next_read = self.next_read.max(Instant::now()) + self.read_period;
    }

    async fn list(&mut self, prefix: String) -> Vec<String> {
        if Instant::now() >= self.deadline {
            self.failed_lists += 1;
            return Vec::new();
        }
        self.wait_for_next_read().await;
        let listed = (self.platform.list_objects)(prefix).await;
        self.failed_lists += u32::from(listed.is_err());
        listed.unwrap_or_default()
    }

    async fn read_all(&mut self, names: Vec<String>) -> Vec<Bytes> {
        let cached = names.iter().filter_map(|name| self.cache.contents.get(name).cloned());
        let mut contents = cached.collect::<Vec<_>>();
        let new = names.into_iter().filter(|name| !self.cache.contents.contains_key(name)).collect();
        for (name, content) in self.read_new(new).await {
            contents.push(content.clone());
            self.cache.insert(name, content);
        }
        contents
    }

    async fn read_new(&mut self, names: Vec<String>) -> Vec<(String, Bytes)> {
        let (read_period, start, deadline) =
            (self.read_period, self.next_read.max(Instant::now()), self.deadline);
        let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
        self.next_read = start + read_period * count;
        let get = &self.platform.get_object;
        let read = |(index, name): (usize, String)| async move {
            let at = start + read_period * u32::try_from(index).unwrap_or(u32::MAX);
            if at >= deadline {
                return Err(ReadError::Unavailable);
            }
            tokio::time::sleep_until(at).await;
            Ok((name.clone(), get(name).await?))
        };
        let reads =
            stream::iter(names.into_iter().enumerate()).map(read).buffer_unordered(MAX_READS_IN_FLIGHT);
        let results = reads.collect::<Vec<_>>().await;
        self.failed_reads += results.iter().filter(|r| r.is_err()).count() as u32;
        let read = results.into_iter().flatten();
        read.filter_map(|(name, object)| Some((name, object?.content))).collect()
    }

    async fn read_hours(
        &mut self,
        hour: UnixHour,
        runs_with_hour: &mut HashSet<(UnixHour, RunKey)>,
        input: &mut ReportInput,
    ) {
        let names = self.list(hours_prefix(hour)).await;
        for content in
            self.read_all(names.into_iter().filter(|n| parse_hour_name(n).is_some()).collect()).await
        {
            match decode::<HourRollUp>(&content) {
                Some(roll_up) => {
                    runs_with_hour.insert((roll_up.hour, roll_up.run.clone()));
                    input.hours.push(roll_up);
                }
                None => self.unreadable += 1,
            }
        }
    }

    async fn read_minutes(
        &mut self,
        hour: UnixHour,
        now: UnixMinute,
        runs_with_hour: &HashSet<(UnixHour, RunKey)>,
        input: &mut ReportInput,
    ) {
        let names = self.list(minutes_prefix(hour)).await;
        let wanted = |name: &String| {
            parse_minute_name(name).is_some_and(|(minute, run)| {
                let recent = minute.0 + Window::Hour.minutes() > now.0;
                recent || !runs_with_hour.contains(&(minute.hour(), run))
            })
        };
        for content in self.read_all(names.into_iter().filter(wanted).collect()).await {
            match decode::<MinuteRollUp>(&content) {
                Some(roll_up) => input.minutes.push(roll_up),
                None => self.unreadable += 1,
            }
        }
    }
}
