//! Division of a capacity among holders that may be out of reach.
//!
//! Each pair of cell and holder has two counters that only rise: what the
//! issuer has given, written by the issuer, and what the holder has returned,
//! written by the holder. Messages carry the counters themselves, so that loss,
//! repetition and reordering are harmless: each side keeps the largest value
//! seen, and the issuer's view of a holding is never below the truth.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Names a divided capacity: an upstream's slots or a team's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Cell(pub u64);

/// Both counters of one holding.
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

    /// Takes the larger value of each counter.
    pub fn merge(&mut self, other: Self) {
        self.given = self.given.max(other.given);
        self.returned = self.returned.max(other.returned);
    }
}

/// The issuer's side of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Issuer<H: Ord + Copy> {
    capacity: u64,
    accounts: BTreeMap<H, Account>,
}

impl<H: Ord + Copy> Issuer<H> {
    /// Makes an issuer of `capacity` units with none given.
    pub const fn new(capacity: u64) -> Self {
        Self {
            capacity,
            accounts: BTreeMap::new(),
        }
    }

    /// Returns the capacity in force.
    pub const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Changes the capacity. Below what is given, nothing more is given until
    /// the excess has been returned.
    pub const fn set_capacity(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Returns the units that holders may be using.
    pub fn outstanding(&self) -> u64 {
        self.accounts.values().map(|a| a.balance()).sum()
    }

    /// Returns the units that can be given now.
    pub fn free(&self) -> u64 {
        self.capacity.saturating_sub(self.outstanding())
    }

    /// Returns the units above capacity that holders must return.
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

    /// Gives up to `units` to `holder` and returns how many were given.
    pub fn give(&mut self, holder: H, units: u64) -> u64 {
        let given = units.min(self.free());
        if given > 0 {
            self.accounts.entry(holder).or_default().given += given;
        }
        given
    }

    /// Records the returned counter that `holder` reports.
    pub fn settle(&mut self, holder: H, returned: u64) {
        if let Some(account) = self.accounts.get_mut(&holder) {
            account.returned = account.returned.max(returned).min(account.given);
        }
    }

    /// Opens an account anew with `units` already held, as reported by a holder
    /// that outlived the issuer. May exceed the capacity.
    pub fn adopt(&mut self, holder: H, units: u64) {
        let account = Account {
            given: units,
            returned: 0,
        };
        self.accounts.insert(holder, account);
    }

    /// Closes the account of a holder whose units have surely ended.
    pub fn forget(&mut self, holder: H) {
        self.accounts.remove(&holder);
    }
}

/// The holder's side of one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holding {
    account: Account,
    in_use: u64,
}

impl Holding {
    /// Makes a newly opened holding of `units`, of which `in_use` are in use.
    pub const fn opened_with(units: u64, in_use: u64) -> Self {
        let account = Account {
            given: units,
            returned: 0,
        };
        Self { account, in_use }
    }

    /// Makes a holding with nothing in use that goes on from earlier counters.
    pub const fn resumed(account: Account) -> Self {
        Self { account, in_use: 0 }
    }

    /// Records the given counter that the issuer reports.
    pub fn receive(&mut self, given: u64) {
        self.account.given = self.account.given.max(given);
    }

    /// Returns the units that may be used.
    pub const fn allowed(&self) -> u64 {
        self.account.balance()
    }

    /// Returns the units in use.
    pub const fn in_use(&self) -> u64 {
        self.in_use
    }

    /// Returns the units that are allowed and not in use.
    pub const fn idle(&self) -> u64 {
        self.allowed().saturating_sub(self.in_use)
    }

    /// Returns the counters to report.
    pub const fn account(&self) -> Account {
        self.account
    }

    /// Takes one idle unit into use; false if there is none.
    pub const fn take(&mut self) -> bool {
        if self.idle() == 0 {
            return false;
        }
        self.in_use += 1;
        true
    }

    /// Ends the use of one unit.
    pub const fn put(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Returns up to `units` idle units to the issuer; yields how many.
    pub fn give_back(&mut self, units: u64) -> u64 {
        let returned = units.min(self.idle());
        self.account.returned += returned;
        returned
    }
}
