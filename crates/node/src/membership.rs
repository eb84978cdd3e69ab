//! Builds the initial membership of a daemon.

use fleet::Fleet;
use fleet::entry::Entry;
use fleet::member::Member;
use fleet::member::State;
use ident::Incarnation;
use ident::Time;

use crate::settings::Settings;

/// Returns a membership that contains this daemon and its seeds.
pub(crate) fn fleet(settings: &Settings, now: Time, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(
        member(settings, settings.incarnation, settings.started_ms),
        fleet::Settings::default(),
        seed,
    );
    let entries: Vec<Entry> = settings
        .seeds
        .iter()
        .map(|instance| Entry {
            instance: *instance,
            data_centre: settings.zone,
            leaving: false,
        })
        .collect();
    fleet.set_list(now, &entries);
    fleet
}

pub(crate) fn member(settings: &Settings, incarnation: Incarnation, started: u64) -> Member {
    Member {
        instance: settings.instance,
        incarnation,
        zone: settings.zone,
        state: State::Alive,
        version: 0,
        started,
    }
}
