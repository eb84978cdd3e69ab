//! Claims to send orders for a service.

use std::time::Duration;

use boottime::Instant;
use platform::store::Row;
use relay::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::shared::Shared;
use crate::store::Error;

/// Table with one row for each service: the instance that sent the last order and when.
const ORDERS: &str = "orders";
/// Time after a claim during which no other daemon sends orders: orders without an answer are
/// carried out up to 12 s later, and the claim must not change hands within 3 s.
const CLAIM_DURATION: Duration = Duration::from_secs(16);
/// Time after the begin of the reading that a claim is based on during which orders may be sent. What
/// [`CLAIM_DURATION`] leaves beside the 12 s and the 3 s.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(1);
/// Why no order is sent under a claim that is older.
pub const TOO_OLD: &str = "the claim is too old";
/// Why no order is sent after the store came back from a copy.
pub const NEW_ERA: &str = "claims may have been lost with the last era of the store";

/// The last claim to send orders for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Claim {
    holder: String,
    /// Time of the claim by the store's clock, in milliseconds.
    at_ms: u64,
}

/// Whose claim a row holds, and its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimAge {
    /// Of this daemon.
    Own,
    /// Of another daemon.
    Known(Duration),
    /// It cannot be read, or is not by the present clock of the store.
    Unknown,
}

impl ClaimAge {
    /// The age of the claim in `row` for the daemon `own`, at `now_ms` by the store's clock.
    fn read(row: &Row, own: &str, now_ms: u64) -> Self {
        let value = row.value.as_deref().unwrap_or_default();
        match serde_json::from_slice::<Claim>(value) {
            Ok(claim) if claim.holder == own => Self::Own,
            Ok(claim) if claim.at_ms <= now_ms => {
                Self::Known(Duration::from_millis(now_ms - claim.at_ms))
            }
            Ok(_) | Err(_) => Self::Unknown,
        }
    }
}

/// A claim without a known age, when this daemon first read it.
#[derive(Debug, Clone, Copy)]
struct UnknownClaim {
    revision: Revision,
    seen_at: Instant,
}

/// Claims the right to send orders for one service.
#[derive(Debug, Default)]
pub struct Claimant {
    unknown: Option<UnknownClaim>,
}

impl Claimant {
    /// No claim of others has been read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Claims the right to send orders for `service`; returns the version of the claim, which makes the
    /// fencing token, and when the reading began whose time the claim bears.
    ///
    /// # Errors
    /// Why no order may be sent.
    pub async fn claim(
        &mut self,
        shared: &Shared,
        service: &str,
    ) -> Result<(Revision, Instant), String> {
        if may_lack_claims(shared) {
            return Err(NEW_ERA.to_owned());
        }
        let asked_at = Instant::now();
        let rows = shared
            .store
            .read(ORDERS)
            .await
            .map_err(|error| cause(&error))?;
        let held = rows.rows.iter().find(|row| row.key == service);
        let revision = Revision::new(rows.revision.era, held.map_or(0, |row| row.version));
        let holder = &shared.settings().instance;
        match held.map(|row| ClaimAge::read(row, holder, rows.now_ms)) {
            None | Some(ClaimAge::Own) => {}
            Some(ClaimAge::Known(age)) if age > CLAIM_DURATION => {}
            Some(ClaimAge::Unknown) if !self.may_hold(revision) => {}
            Some(ClaimAge::Known(_)) => return Err("another daemon holds the claim".to_owned()),
            Some(ClaimAge::Unknown) => {
                return Err("another daemon may hold the claim, whose age is not known".to_owned());
            }
        }
        let own = Claim {
            holder: holder.clone(),
            at_ms: rows.now_ms,
        };
        let value = serde_json::to_vec(&own).map_err(|error| error.to_string())?;
        // The row belongs to the era of this reading, which may be the first call of a new one.
        if may_lack_claims(shared) {
            return Err(NEW_ERA.to_owned());
        }
        // It would only keep others from sending.
        if asked_at.elapsed() > MAX_CLAIM_AGE {
            return Err(TOO_OLD.to_owned());
        }
        let swapped = shared.store.swap(ORDERS, service, &value, revision).await;
        Ok((swapped.map_err(|error| cause(&error))?, asked_at))
    }

    /// Whether the claim of `revision`, whose age is not known, may be in force: it may have been
    /// written just before this daemon first read it.
    fn may_hold(&mut self, revision: Revision) -> bool {
        let known = self.unknown.filter(|known| known.revision == revision);
        let unknown = known.unwrap_or_else(|| UnknownClaim {
            revision,
            seen_at: Instant::now(),
        });
        self.unknown = Some(unknown);
        unknown.seen_at.elapsed() <= CLAIM_DURATION
    }
}

/// Whether the store may lack a claim under which another daemon still sends orders: it may have
/// come back from a copy that is older than the claim. A daemon that has just started cannot tell
/// whether the era that it finds is new, and waits as well, which only delays a change of stage. At
/// the first start of the whole system there are no claims.
fn may_lack_claims(shared: &Shared) -> bool {
    let is_first_start = shared.is_first_start();
    let raised = shared.store.era().time_since_raised(is_first_start);
    raised.is_some_and(|elapsed| elapsed < CLAIM_DURATION)
}

fn cause(error: &Error) -> String {
    error.to_string()
}
