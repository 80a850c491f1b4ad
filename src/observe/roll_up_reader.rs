//! Roll-ups on their way to and from the platform's object store.

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

/// Part of this instance's share of store reads that one report may use.
const READ_SHARE: f64 = 0.2;

/// Reads in flight at once.
const READS_IN_FLIGHT: usize = 16;

/// Time after which a report goes without what has not been read.
const GATHER_TIMEOUT: Duration = Duration::from_secs(80);

/// Bytes of objects kept between two reports.
const CACHE_BYTES: usize = 16 << 20;

/// Objects read before; they never change, since they are written only where none is.
#[derive(Debug, Default)]
pub struct ObjectCache {
    contents: HashMap<String, Bytes>,
    /// Names in the order they were read.
    order: VecDeque<String>,
    /// Invariant: the sum of all contents' lengths, at most [`CACHE_BYTES`].
    bytes: usize,
}

impl ObjectCache {
    fn keep(&mut self, name: String, content: Bytes) {
        self.bytes += content.len();
        if let Some(before) = self.contents.insert(name.clone(), content) {
            self.bytes -= before.len();
        } else {
            self.order.push_back(name);
        }
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.bytes -= self.contents.remove(&oldest).map_or(0, |c| c.len());
        }
    }
}

/// Reads the roll-ups of the last day.
///
/// Hours that have an object are read as such, and minute by minute only where they lie within the last hour.
pub async fn read_last_day(
    platform: &Platform,
    cache: &mut ObjectCache,
    now: UnixMinute,
    reads_per_s: f64,
) -> ReportInput {
    let mut gathered = ReportInput::default();
    let mut reader = Reader::new(platform, cache, reads_per_s);
    if let Ok(listed) = (platform.list_instances)(()).await {
        gathered.listed = listed;
    }
    let first = UnixMinute(now.0.saturating_sub(Window::Day.minutes() - 1)).hour();
    let mut hours = HashSet::default();
    for hour in first.0..=now.hour().0 {
        reader.read_hours(UnixHour(hour), &mut hours, &mut gathered).await;
    }
    for hour in first.0..=now.hour().0 {
        reader.read_minutes(UnixHour(hour), now, &hours, &mut gathered).await;
    }
    gathered.store_fault = reader.fault();
    gathered
}

struct Reader<'a> {
    platform: &'a Platform,
    cache: &'a mut ObjectCache,
    /// Time between two reads.
    period: Duration,
    next_read: Instant,
    deadline: Instant,
    failed_lists: u32,
    failed_reads: u32,
    unreadable: u32,
}

impl<'a> Reader<'a> {
    fn new(platform: &'a Platform, cache: &'a mut ObjectCache, reads_per_s: f64) -> Self {
        let rate = (reads_per_s * READ_SHARE).max(1.0);
        let now = Instant::now();
        Self {
            platform,
            cache,
            period: Duration::from_secs_f64(1.0 / rate),
            next_read: now,
            deadline: now + GATHER_TIMEOUT,
            failed_lists: 0,
            failed_reads: 0,
            unreadable: 0,
        }
    }

    fn fault(&self) -> Option<String> {
        let Self { failed_lists, failed_reads, unreadable, .. } = self;
        let any = failed_lists + failed_reads + unreadable > 0;
        any.then(|| {
            format!(
                "{failed_lists} lists and {failed_reads} objects of the store could not be read, \
                 {unreadable} have another format"
            )
        })
    }

    /// Waits for the next read that the share allows.
    async fn pace(&mut self) {
        tokio::time::sleep_until(self.next_read).await;
        self.next_read = self.next_read.max(Instant::now()) + self.period;
    }

    async fn list(&mut self, prefix: String) -> Vec<String> {
        if Instant::now() >= self.deadline {
            self.failed_lists += 1;
            return Vec::new();
        }
        self.pace().await;
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
            self.cache.keep(name, content);
        }
        contents
    }

    async fn read_new(&mut self, names: Vec<String>) -> Vec<(String, Bytes)> {
        let (period, start, deadline) = (self.period, self.next_read.max(Instant::now()), self.deadline);
        let count = u32::try_from(names.len()).unwrap_or(u32::MAX);
        self.next_read = start + period * count;
        let get = &self.platform.get_object;
        let read = |(index, name): (usize, String)| async move {
            let at = start + period * u32::try_from(index).unwrap_or(u32::MAX);
            if at >= deadline {
                return Err(ReadError::Unavailable);
            }
            tokio::time::sleep_until(at).await;
            Ok((name.clone(), get(name).await?))
        };
        let reads = stream::iter(names.into_iter().enumerate()).map(read).buffer_unordered(READS_IN_FLIGHT);
        let results = reads.collect::<Vec<_>>().await;
        self.failed_reads += results.iter().filter(|r| r.is_err()).count() as u32;
        let read = results.into_iter().flatten();
        read.filter_map(|(name, object)| Some((name, object?.content))).collect()
    }

    async fn read_hours(
        &mut self,
        hour: UnixHour,
        known: &mut HashSet<(UnixHour, RunKey)>,
        gathered: &mut ReportInput,
    ) {
        let names = self.list(hours_prefix(hour)).await;
        for content in
            self.read_all(names.into_iter().filter(|n| parse_hour_name(n).is_some()).collect()).await
        {
            match decode::<HourRollUp>(&content) {
                Some(roll_up) => {
                    known.insert((roll_up.hour, roll_up.run.clone()));
                    gathered.hours.push(roll_up);
                }
                None => self.unreadable += 1,
            }
        }
    }

    async fn read_minutes(
        &mut self,
        hour: UnixHour,
        now: UnixMinute,
        hours: &HashSet<(UnixHour, RunKey)>,
        gathered: &mut ReportInput,
    ) {
        let names = self.list(minutes_prefix(hour)).await;
        let wanted = |name: &String| {
            parse_minute_name(name).is_some_and(|(minute, run)| {
                let recent = minute.0 + Window::Hour.minutes() > now.0;
                recent || !hours.contains(&(minute.hour(), run))
            })
        };
        for content in self.read_all(names.into_iter().filter(wanted).collect()).await {
            match decode::<MinuteRollUp>(&content) {
                Some(roll_up) => gathered.minutes.push(roll_up),
                None => self.unreadable += 1,
            }
        }
    }
}
