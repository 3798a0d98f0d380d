//! Division of a capacity among holders that may be unreachable.
//!
//! Each pair of a resource and a holder has two monotonic counters: units given,
//! written by the issuer, and units returned, written by the holder. Messages
//! carry the counter values rather than differences, and each side keeps the
//! largest value seen. Lost, repeated and reordered messages are therefore
//! harmless, and the issuer never underestimates what a holder may use.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies a divided capacity: the slots of an upstream or the limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceId(pub u64);

/// The two counters of one holder of a resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Units given since the account was opened.
    pub given: u64,
    /// Units returned since the account was opened.
    pub returned: u64,
}

impl Account {
    /// Returns the units that the holder may use.
    pub const fn balance(self) -> u64 {
        self.given.saturating_sub(self.returned)
    }

    /// Merges `other` by taking the larger value of each counter.
    pub fn merge(&mut self, other: Self) {
        self.given = self.given.max(other.given);
        self.returned = self.returned.max(other.returned);
    }
}

/// The issuer's side of one resource.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issuer<H: Ord + Copy> {
    capacity: u64,
    accounts: BTreeMap<H, Account>,
}

impl<H: Ord + Copy> Issuer<H> {
    /// Creates an issuer of `capacity` units, none of them given.
    pub const fn new(capacity: u64) -> Self {
        Self {
            capacity,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the current capacity.
    pub const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Changes the capacity. If more units are outstanding than the new capacity,
    /// nothing is given until the excess has been returned.
    pub const fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Returns the number of units that holders may be using.
    pub fn outstanding(&self) -> u64 {
        self.accounts.values().map(|a| a.balance()).sum()
    }

    /// Returns the number of units that can be given now.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.outstanding())
    }

    /// Returns the number of outstanding units above the capacity.
    pub fn excess(&self) -> u64 {
        self.outstanding().saturating_sub(self.capacity)
    }

    /// Returns the account of `holder`.
    pub fn account(&self, holder: H) -> Account {
        self.accounts.get(&holder).copied().unwrap_or_default()
    }

    /// Returns all accounts in the order of their holders.
    pub fn accounts(&self) -> impl Iterator<Item = (H, Account)> {
        self.accounts
            .iter()
            .map(|(&holder, &account)| (holder, account))
    }

    /// Gives up to `units` to `holder`, limited by the free capacity, and returns
    /// the number given.
    pub fn give(&mut self, holder: H, units: u64) -> u64 {
        let given = units.min(self.free());
        if given > 0 {
            self.accounts.entry(holder).or_default().given += given;
        }
        given
    }

    /// Records the counter of returned units that `holder` reports.
    pub fn settle(&mut self, holder: H, returned: u64) {
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.returned = account.returned.max(returned).min(account.given);
        }
    }

    /// Opens an account with `units` already held, as reported by a holder that
    /// outlived the previous issuer. The total may then exceed the capacity.
    pub fn adopt(&mut self, holder: H, units: u64) {
        let account = Account {
            given: units,
            returned: 0,
        };
        self.accounts.insert(holder, account);
    }

    /// Removes the account of a holder that can no longer use its units.
    pub fn close(&mut self, holder: H) {
        self.accounts.remove(&holder);
    }
}

/// The holder's side of one resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    account: Account,
    in_use: u64,
}

impl Holding {
    /// Creates a holding of `units`, of which `in_use` are in use.
    pub const fn opened_with(units: u64, in_use: u64) -> Self {
        let account = Account {
            given: units,
            returned: 0,
        };
        Self { account, in_use }
    }

    /// Creates a holding that continues from earlier counters, with no unit in use.
    pub const fn resumed(account: Account) -> Self {
        Self { account, in_use: 0 }
    }

    /// Records the counter of given units that the issuer reports.
    pub fn receive(&mut self, given: u64) {
        self.account.given = self.account.given.max(given);
    }

    /// Returns the number of units that may be used.
    pub const fn allowed(&self) -> u64 {
        self.account.balance()
    }

    /// Returns the number of units in use.
    pub const fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the number of allowed units that are not in use.
    pub const fn idle(&self) -> u64 {
        self.allowed().saturating_sub(self.in_use)
    }

    /// Returns the counters to report.
    pub const fn account(&self) -> Account {
        self.account
    }

    /// Starts the use of one idle unit. Returns false if there is none.
    pub const fn acquire(&mut self) -> bool {
        if self.idle() == 0 {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Ends the use of one unit.
    pub const fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns up to `units` idle units to the issuer and yields the number returned.
    pub fn give_back(&mut self, units: u64) -> u64 {
        let returned = units.min(self.idle());
        self.account.returned += returned;
        returned
    }
}
