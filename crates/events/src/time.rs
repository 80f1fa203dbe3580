//! Formatting of timestamps.

use std::time::{Duration, SystemTime};

const SECONDS_PER_DAY: u64 = 86_400;
/// Days from 0000-03-01 to 1970-01-01 in the Gregorian calendar.
const DAYS_TO_EPOCH: u64 = 719_468;
const DAYS_PER_ERA: u64 = 146_097;

/// Formats a time as RFC 3339 in UTC with milliseconds.
///
/// Times before 1970 are formatted as the start of 1970, because a log line with a wrong time is better than none.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, SystemTime};
/// use chestnutfork_events::rfc3339;
///
/// let leap_day = SystemTime::UNIX_EPOCH + Duration::from_millis(951_868_799_250);
/// assert_eq!(rfc3339(leap_day), "2000-02-29T23:59:59.250Z");
/// assert_eq!(rfc3339(SystemTime::UNIX_EPOCH), "1970-01-01T00:00:00.000Z");
/// ```
#[must_use]
pub fn rfc3339(time: SystemTime) -> String {
    let since = time
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    let (year, month, day) = civil_date(since.as_secs() / SECONDS_PER_DAY);
    let second = since.as_secs() % SECONDS_PER_DAY;
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        second / 3600,
        second / 60 % 60,
        second % 60,
        since.subsec_millis()
    )
}

/// Returns the year, month and day for a number of days since 1970-01-01.
///
/// Years are counted from March internally, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_TO_EPOCH;
    let era = days / DAYS_PER_ERA;
    let day_of_era = days % DAYS_PER_ERA;
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
