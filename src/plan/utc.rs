//! Conversion between UTC times as written in sheets and seconds since the Unix epoch.

/// Number of days before each month of a common year.
const DAYS_BEFORE_MONTH: [u64; 12] = [0, 31, 59, 90, 120, 151, 181, 212, 243, 273, 304, 334];

const DAYS_IN_MONTH: [u64; 12] = [31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];

/// Parses `YYYY-MM-DDTHH:MMZ` into seconds since the Unix epoch; `None` for other formats, dates that do not
/// exist and years before 1970.
pub fn parse_utc_minute(text: &str) -> Option<u64> {
    let bytes = text.as_bytes();
    let separators = [(4, b'-'), (7, b'-'), (10, b'T'), (13, b':'), (16, b'Z')];
    let well_formed = bytes.len() == 17 && separators.iter().all(|(at, b)| bytes[*at] == *b);
    if !well_formed {
        return None;
    }
    let number = |range: std::ops::Range<usize>| text.get(range)?.parse::<u64>().ok();
    let (year, month, day) = (number(0..4)?, number(5..7)?, number(8..10)?);
    let (hour, minute) = (number(11..13)?, number(14..16)?);
    let month_index = usize::try_from(month.checked_sub(1)?).ok()?;
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let days_in_month = *DAYS_IN_MONTH.get(month_index)? + u64::from(leap && month == 2);
    if year < 1970 || day == 0 || day > days_in_month || hour > 23 || minute > 59 {
        return None;
    }
    let leap_days = |y: u64| y / 4 - y / 100 + y / 400;
    let leap_days_before = leap_days(year - 1) - leap_days(1969);
    let day_of_year = DAYS_BEFORE_MONTH[month_index] + day - 1 + u64::from(leap && month > 2);
    let days = (year - 1970) * 365 + leap_days_before + day_of_year;
    Some(days * 86_400 + hour * 3_600 + minute * 60)
}

/// Formats seconds since the Unix epoch as `YYYY-MM-DDTHH:MMZ`.
pub fn format_utc(unix_s: u64) -> String {
    let days = unix_s / 86_400;
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (unix_s % 86_400 / 3_600, unix_s % 3_600 / 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}Z")
}

/// Converts a number of days since the Unix epoch to year, month (from 1) and day of the month.
fn civil_date(days: u64) -> (u64, usize, u64) {
    let is_leap = |y: u64| y.is_multiple_of(4) && (!y.is_multiple_of(100) || y.is_multiple_of(400));
    let mut year = 1970;
    let mut remaining = days;
    loop {
        let in_year = if is_leap(year) { 366 } else { 365 };
        if remaining < in_year {
            break;
        }
        remaining -= in_year;
        year += 1;
    }
    for (index, in_month) in DAYS_IN_MONTH.into_iter().enumerate() {
        let in_month = in_month + u64::from(index == 1 && is_leap(year));
        if remaining < in_month {
            return (year, index + 1, remaining + 1);
        }
        remaining -= in_month;
    }
    unreachable!("the remaining days are fewer than the days of the year")
}
