//! Which jobs are accepted beside those that are held.

use plantaincross::core::room::{Amount, Holdings, Room, SMALL_JOB_BYTES, Shortage};

const ROOM: Room = Room {
    jobs: 1_000,
    bytes: 20_000_000,
};
const LARGE: usize = 1_000_000;
const SMALL: usize = 1_000;

// Accepts jobs of `bytes` of an account until one is refused. Returns why.
fn fill(holdings: &mut Holdings<u32>, account: u32, bytes: usize) -> Shortage {
    loop {
        if let Err(shortage) = ROOM.admit(holdings.total(), holdings.of(&account), bytes) {
            return shortage;
        }
        holdings.add(account, Amount { jobs: 1, bytes });
    }
}

fn admits(holdings: &Holdings<u32>, account: u32, bytes: usize) -> bool {
    let own = holdings.of(&account);
    ROOM.admit(holdings.total(), own, bytes).is_ok()
}

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}

cases! {
    a_single_job_is_accepted_whatever_its_size:
        assert!(admits(&Holdings::default(), 0, 2 * ROOM.bytes));
    an_account_leaves_a_quarter: {
        let mut held = Holdings::default();
        assert_eq!(fill(&mut held, 0, LARGE), Shortage::Account);
        assert!(held.total().bytes <= ROOM.bytes / 4 * 3 + LARGE);
        assert!(admits(&held, 1, LARGE));
        assert!(admits(&held, 0, SMALL), "a small job of the same account");
    };
    small_jobs_of_one_account_leave_places_to_others: {
        let mut held = Holdings::default();
        assert_eq!(fill(&mut held, 0, SMALL), Shortage::Account);
        assert!(admits(&held, 1, SMALL) && admits(&held, 1, LARGE));
    };
    ten_accounts_that_take_what_they_can_leave_some_to_another: {
        let mut held = Holdings::default();
        (0..10).for_each(|account| { fill(&mut held, account, SMALL_JOB_BYTES + 1); });
        assert!(held.total().bytes <= ROOM.bytes);
        assert!(admits(&held, 10, SMALL));
    };
    what_is_removed_makes_room: {
        let mut held = Holdings::default();
        fill(&mut held, 0, LARGE);
        held.remove(&0, Amount { jobs: 2, bytes: 2 * LARGE });
        assert!(admits(&held, 0, LARGE));
    };
    room_follows_from_the_machine: {
        let of = |memory: Option<usize>, disk| Room::of_machine(memory, disk).bytes;
        assert_eq!(of(Some(640_000_000), Some(420_000_000)), 128_000_000);
        assert_eq!(of(Some(640_000_000), Some(210_000_000)), 70_000_000);
        assert_eq!(of(None, None), Room::default().bytes);
        assert!(of(Some(1_000_000), None) >= 14_000_000, "the largest job");
    };
}
