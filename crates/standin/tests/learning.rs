//! Fleets that learn from a store that fails, in virtual time.

use {
    googletest::prelude::*,
    wellplank_core::role::Role,
    wellplank_standin::{
        observer::Rules,
        scenario::{self, Drills, HUGE, LARGE, SMALL},
        trial::{Act, Failing, Run},
    },
};

/// Runs of the short search in every check.
const RUNS: u32 = 150;

/// A fleet with so many instances in so many data centres, and upstreams.
fn fleet(counts: (usize, usize, usize), leave_ms: u64, seed: u64, steps: &[(u64, Act)]) -> Run {
    let (instances, data_centres, upstreams) = counts;
    Run {
        data_centres,
        instances,
        rules: Rules::within(leave_ms),
        seed,
        steps: steps.to_vec(),
        traffic: seed % 2 == 1,
        upstreams,
    }
}

fn violations(run: &Run) -> Vec<String> {
    scenario::play(run).violations
}

#[gtest]
fn random_small_fleets_break_no_rule() {
    let found = scenario::search(1, RUNS, SMALL, Drills::None);
    expect_that!(found.broken, none());
    expect_that!(found.runs, eq(u64::from(RUNS)));
}

#[gtest]
fn random_large_fleets_break_no_rule() {
    expect_that!(
        scenario::search(100, 1_000, LARGE, Drills::None).broken,
        none()
    );
}

/// Entries that the store gives to a fleet that starts at once or all of which is killed, over those of a list to each.
fn share_of_lists(instances: usize, steps: &[(u64, Act)]) -> f64 {
    let upstreams = 200;
    let run = fleet((instances, 5, upstreams), 5_000, 1, steps);
    let outcome = scenario::play(&run);
    expect_that!(outcome.violations, is_empty());
    outcome.entries as f64 / (instances * upstreams) as f64
}

/// Guards against a start in which each instance reads the whole list from the store: the link of the store carried it to a
/// thousand instances for 16 s, and timeouts discarded what was received in part.
#[gtest]
fn store_gives_a_starting_fleet_few_lists() {
    for instances in [200, 400] {
        expect_that!(share_of_lists(instances, &[(500, Act::Configure)]), lt(0.1));
    }
}

#[gtest]
fn store_gives_a_fleet_that_was_killed_few_lists() {
    for instances in [200, 400] {
        expect_that!(
            share_of_lists(instances, &[(8_000, Act::KillAll(1_500))]),
            lt(0.2)
        );
    }
}

/// The same where the store forgets its history while upstreams change: each instance read the whole list.
#[gtest]
fn store_that_forgets_its_history_gives_few_lists() {
    let steps = [
        (8_000, Act::Enter),
        (8_001, Act::Forget),
        (12_000, Act::Leave(3)),
        (12_001, Act::Forget),
    ];
    for instances in [200, 400] {
        expect_that!(share_of_lists(instances, &steps), lt(0.2));
    }
}

#[gtest]
fn random_huge_fleets_break_no_rule() {
    expect_that!(scenario::search(200, 6, HUGE, Drills::None).broken, none());
}

#[gtest]
fn two_short_absences_that_upstreams_missed_writes_in_give_up_nobody() {
    let steps = [
        (6_058, Act::Away(Failing::Busy, 2_233, true)),
        (8_480, Act::Away(Failing::Busy, 1_919, true)),
    ];
    let run = fleet((1, 1, 3), 2_000, 928_819_753_542_041_111, &steps);
    expect_that!(violations(&run), is_empty());
}

#[gtest]
fn followers_that_made_no_call_in_an_absence_give_up_nobody() {
    let steps = [(5_000, Act::Away(Failing::Silent, 2_998, true))];
    expect_that!(violations(&fleet((14, 1, 2), 2_000, 0, &steps)), is_empty());
}

#[gtest]
fn entries_are_not_given_up_while_the_store_is_away_again() {
    let steps = [
        (16_631, Act::Away(Failing::Busy, 3_294, true)),
        (20_427, Act::Away(Failing::Silent, 2_700, false)),
    ];
    expect_that!(
        violations(&fleet((6, 1, 4), 2_000, 180_726_572, &steps)),
        is_empty()
    );
}

#[gtest]
fn call_that_is_out_in_an_absence_is_not_dropped_since_others_know_more() {
    let steps = [
        (703, Act::Away(Failing::Silent, 6_906, false)),
        (2_204, Act::Leave(4)),
        (11_779, Act::Away(Failing::Silent, 3_348, true)),
    ];
    let run = fleet((24, 3, 4), 4_000, 14_998_676_746_457_929_515, &steps);
    expect_that!(violations(&run), is_empty());
}

#[gtest]
fn absence_of_one_instance_is_not_taken_over_by_those_that_were_served() {
    let steps = [
        (5_962, Act::Refuse(3, Failing::Busy, 2_551)),
        (9_104, Act::Away(Failing::Silent, 5_071, true)),
    ];
    expect_that!(violations(&fleet((14, 1, 2), 4_000, 0, &steps)), is_empty());
}

#[gtest]
fn busy_store_is_not_asked_in_a_storm_by_instances_that_start() {
    let steps = [
        (14_314, Act::KillAll(2_683)),
        (18_423, Act::Refuse(1, Failing::Busy, 1_500)),
    ];
    expect_that!(violations(&fleet((1, 1, 2), 2_000, 0, &steps)), is_empty());
}

/// An upstream leaves, and a configuration comes, while the waiting calls of all instances are silent.
fn hushed(instances: usize, data_centres: usize, leave_ms: u64) -> Vec<String> {
    let steps = [
        (12_000, Act::Hush(1)),
        (12_050, Act::Leave(0)),
        (12_060, Act::Configure),
        (27_000, Act::Hush(1)),
        (27_400, Act::Depart(1)),
    ];
    let counts = (instances, data_centres, 4);
    violations(&fleet(counts, leave_ms, instances as u64, &steps))
}

#[gtest]
fn what_the_store_says_while_all_waiting_calls_are_silent_is_known_in_time() {
    for leave_ms in [2_000, 3_000, 4_000] {
        for (instances, data_centres) in [(1, 1), (2, 1), (6, 4), (7, 3), (13, 3), (24, 3)] {
            let broken = hushed(instances, data_centres, leave_ms);
            expect_that!(
                broken,
                is_empty(),
                "{instances} instances, {leave_ms} ms allowed"
            );
        }
    }
}

/// The copy lacks a word that instances know, and the entry from before it is back.
#[gtest]
fn upstream_that_left_is_not_believed_again_in_an_older_copy() {
    for leave in [Act::Leave(0), Act::Depart(0), Act::Restart(0)] {
        for instances in [1, 6, 14, 24] {
            let steps = [(12_000, leave), (12_700, Act::Drill(900, 400))];
            let run = fleet((instances, 2, 4), 2_000, 5, &steps);
            expect_that!(
                violations(&run),
                is_empty(),
                "{instances} instances, {leave:?}"
            );
        }
    }
}

/// Revisions are given out again, and a watch that went on from before would miss what stands there now.
#[gtest]
fn changes_behind_an_older_copy_are_known_in_time() {
    for instances in [1, 6, 14, 24] {
        let steps = [
            (6_000, Act::Configure),
            (7_000, Act::Enter),
            (8_000, Act::Leave(1)),
            (9_500, Act::Drill(4_000, 600)),
            (10_200, Act::Leave(0)),
            (10_300, Act::Configure),
            (12_000, Act::Drill(1_000, 10)),
            (12_100, Act::Depart(2)),
        ];
        let run = fleet((instances, 2, 6), 2_000, 6, &steps);
        expect_that!(violations(&run), is_empty(), "{instances} instances");
    }
}

/// One that was refused for long behind a return was asked as seldom as a store that never answers.
#[gtest]
fn instance_that_is_refused_across_a_return_knows_in_time_behind_it() {
    let steps = [
        (17_535, Act::Leave(0)),
        (10_347, Act::Drill(100, 3_968)),
        (2_278, Act::Drill(100, 1)),
        (15_241, Act::Away(Failing::Busy, 2_048, false)),
        (13_299, Act::Refuse(2, Failing::Silent, 6_842)),
    ];
    let run = fleet((6, 1, 7), 2_000, 6_321_922_161_080_517_780, &steps);
    expect_that!(violations(&run), is_empty());
}

#[gtest]
fn random_small_fleets_with_drills_break_no_rule() {
    let found = scenario::search(1, RUNS, SMALL, Drills::Among);
    expect_that!(found.broken, none());
}

/// An instance that never saw the former life of an upstream finds it in an older copy.
#[gtest]
fn life_before_the_one_that_is_known_does_not_take_its_place() {
    let steps = [
        (951, Act::Restart(0)),
        (1_537, Act::Drill(538, 2_755)),
        (500, Act::Kill(0, 500)),
    ];
    for instances in [1, 14] {
        let run = fleet((instances, 1, 2), 2_000, 0, &steps);
        expect_that!(violations(&run), is_empty(), "{instances} instances");
    }
}

/// Another writer's entry stood where one had left when the store lost both.
#[gtest]
fn upstream_that_left_behind_a_spoilt_entry_is_not_believed_again() {
    let steps = [
        (9_001, Act::Spoil(8, 289)),
        (9_001, Act::Depart(15)),
        (9_046, Act::Drill(100, 1)),
    ];
    let run = fleet((14, 1, 7), 2_000, 0, &steps);
    expect_that!(violations(&run), is_empty());
}

/// An upstream says that it leaves, and the store forgets its history in the same moment. Before anybody has heard of it the
/// store falls silent to all instances, for 4.8 s. One whose call began just before the silence ended hears 0.7 s later that it
/// was not answered, when the store has answered another of its calls. It took that for another absence, and believed the
/// missing entry for two seconds from its next answer on: over 3 s behind the silence it still gave work to the upstream.
#[gtest]
fn call_that_began_in_a_silence_and_fails_behind_it_has_no_missing_entry_believed_longer() {
    let steps = [
        (5_419, Act::Leave(0)),
        (5_419, Act::Forget),
        (5_483, Act::Refuse(1, Failing::Silent, 4_842)),
    ];
    let run = fleet((14, 1, 3), 2_000, 8_650_718_550_908_220_178, &steps);
    expect_that!(violations(&run), is_empty());
}

/// Who the store fails for while an upstream leaves, in fleets of these sizes and data centres.
const SIZES: [(usize, usize); 5] = [(6, 3), (24, 3), (74, 3), (90, 3), (295, 3)];

/// An upstream leaves; the store forgets its history some times from then on, and fails for some instances.
fn forgetful(refused: Act, forgets: u64, size: (usize, usize), leave_ms: u64, seed: u64) -> Run {
    let (instances, data_centres) = size;
    let mut steps = vec![(5_419, Act::Leave(0)), (5_483, refused)];
    steps.extend((0..forgets).map(|time| (5_419 + time * 700, Act::Forget)));
    fleet((instances, data_centres, 6), leave_ms, seed, &steps)
}

#[gtest]
fn upstream_that_leaves_while_the_store_forgets_and_refuses_is_known_in_time() {
    let roles = [Role::Watcher, Role::Standby, Role::Follower];
    for how in [Failing::Silent, Failing::Busy] {
        let by_role = roles.map(|role| Act::RefuseRole(role, how, 4_842));
        for refused in by_role.into_iter().chain([Act::Refuse(1, how, 4_842)]) {
            for (forgets, size) in (1..=3).flat_map(|forgets| SIZES.map(|size| (forgets, size))) {
                for leave_ms in [2_000, 3_000, 4_000] {
                    let run = forgetful(refused, forgets, size, leave_ms, forgets);
                    let broken = violations(&run);
                    expect_that!(
                        broken,
                        is_empty(),
                        "{refused:?}, {forgets}, {size:?}, {leave_ms}"
                    );
                }
            }
        }
    }
}

/// Runs that `random_large_fleets_break_no_rule` and its longer kin found, each with what one instance learned too late.
#[gtest]
fn instances_that_were_refused_with_those_that_watch_know_in_time() {
    let silent = |millis, lapse| Act::Away(Failing::Silent, millis, lapse);
    let departed = [
        (500, silent(6_121, true)),
        (6_683, Act::Refuse(1, Failing::Silent, 10_288)),
        (9_621, Act::Depart(0)),
        (17_761, Act::Refuse(3, Failing::Silent, 4_789)),
    ];
    let configured = [
        (5_133, Act::Configure),
        (5_575, silent(3_244, false)),
        (10_606, silent(3_313, false)),
    ];
    let refused = [
        (2_729, Act::Refuse(2, Failing::Silent, 10_515)),
        (3_488, Act::Configure),
        (3_629, silent(5_455, false)),
    ];
    let cut_off = [
        (4_086, Act::Isolate(8, 9_398)),
        (4_377, Act::Leave(0)),
        (4_377, Act::Forget),
    ];
    let runs = [
        fleet((24, 1, 5), 4_000, 10_112_221_185_893_355_952, &departed),
        fleet((14, 3, 5), 4_000, 14_707_886_089_523_303_257, &configured),
        fleet((24, 3, 3), 4_000, 344_678_632_697_521_037, &refused),
        fleet((14, 1, 4), 4_000, 459_904_405_522_978_098, &cut_off),
    ];
    for run in runs {
        expect_that!(violations(&run), is_empty(), "{:?}", run.steps);
    }
}

// An entry that went left the position of the last change as it was, so others took it for no news.
#[gtest]
fn entry_that_is_missing_from_a_whole_read_is_told_to_those_that_watch() {
    let steps = [
        (2_061, Act::Configure),
        (22_581, Act::Depart(0)),
        (20_067, Act::Hush(1)),
        (22_438, Act::Forget),
        (1_874, Act::Away(Failing::Busy, 100, false)),
        (22_215, Act::Configure),
        (500, Act::CutWatches),
    ];
    let run = Run {
        traffic: false,
        ..fleet((6, 1, 2), 4_000, 0, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Those that watch waited 4.8 s for a first read, and the others had no configuration to hear of.
#[gtest]
fn first_read_that_a_silent_store_took_is_not_waited_for_behind_its_return() {
    let steps = [
        (16_020, Act::Configure),
        (15_607, Act::Away(Failing::Silent, 3_685, false)),
        (12_907, Act::KillAll(1_550)),
        (9_539, Act::Refuse(3, Failing::Silent, 5_770)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 1, 2), 2_000, 0, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// A deputy put no belief off when calls failed again, and told the others that an upstream had gone.
#[gtest]
fn deputy_that_is_answered_first_behind_a_second_absence_gives_nobody_up() {
    let steps = [
        (19_116, Act::Away(Failing::Busy, 1_631, false)),
        (15_407, Act::Away(Failing::Silent, 3_291, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 1, 2), 2_000, 13_285, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// The same, with entries that the store lost in the first absence.
#[gtest]
fn upstreams_that_had_half_a_second_between_two_absences_are_not_given_up() {
    let steps = [
        (500, Act::Away(Failing::Silent, 4_192, false)),
        (18_962, Act::Away(Failing::Busy, 1_853, false)),
        (11_710, Act::Depart(0)),
        (14_371, Act::Away(Failing::Silent, 4_323, true)),
        (500, Act::Away(Failing::Silent, 2_700, false)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 1, 4), 2_000, 1_211_888_438_137_001_883, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// An answer just before the own one was taken for a store that had been there all along.
#[gtest]
fn word_of_a_store_that_is_back_does_not_cover_the_failures_before_it() {
    let steps = [
        (18_976, Act::Away(Failing::Busy, 2_043, false)),
        (13_111, Act::Depart(12)),
        (13_615, Act::Away(Failing::Silent, 4_323, true)),
        (13_160, Act::Enter),
    ];
    let run = Run {
        traffic: true,
        ..fleet((14, 1, 4), 2_000, 1_227_926_388_529_276_031, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Calls had failed 3 s ago and none was made since; others had told meanwhile that the store was back.
#[gtest]
fn follower_that_made_no_call_for_long_believes_no_longer_for_it() {
    let steps = [
        (10_081, Act::LoseDatagrams(1, 3_421)),
        (9_728, Act::Depart(0)),
        (8_763, Act::Refuse(1, Failing::Busy, 1_707)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((24, 1, 2), 4_000, 7_684_842_493_267_756, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// A watcher that was answered 1.6 s apart told that the store had been there in between.
#[gtest]
fn store_that_was_away_for_a_second_was_not_there_all_along() {
    let steps = [
        (22_602, Act::Away(Failing::Busy, 1_025, false)),
        (18_847, Act::Away(Failing::Silent, 3_424, true)),
        (3_405, Act::Leave(2)),
        (905, Act::Configure),
        (3_180, Act::CutWatches),
        (3_064, Act::Restart(0)),
        (6_146, Act::Away(Failing::Busy, 4_190, false)),
        (815, Act::KillAll(2_643)),
    ];
    let run = Run {
        traffic: true,
        ..fleet((14, 1, 6), 2_000, 2_549_091_596_890_516_159, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// A deputy that knew of the first return took the second one for the same.
#[gtest]
fn return_that_is_told_behind_own_failures_counts_anew() {
    let steps = [
        (12_911, Act::Crash(8)),
        (836, Act::Restart(0)),
        (22_633, Act::Away(Failing::Busy, 1_021, false)),
        (18_859, Act::Away(Failing::Silent, 3_400, true)),
        (5_491, Act::Restart(0)),
        (5_371, Act::Away(Failing::Busy, 3_041, true)),
        (692, Act::Leave(3)),
    ];
    let run = Run {
        traffic: true,
        ..fleet((14, 1, 6), 2_000, 2_549_091_297_400_608_148, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// The last failure counts, and not the first one since the own last answer.
#[gtest]
fn return_that_is_told_counts_anew_also_where_calls_failed_before_the_first() {
    let steps = [
        (12_875, Act::Crash(3)),
        (22_585, Act::Away(Failing::Busy, 1_105, false)),
        (18_697, Act::Away(Failing::Silent, 3_538, true)),
        (3_865, Act::KillAll(2_370)),
        (1_429, Act::Configure),
        (5_701, Act::Away(Failing::Busy, 4_190, true)),
        (646, Act::KillAll(2_489)),
    ];
    let run = Run {
        traffic: true,
        ..fleet((24, 2, 6), 2_000, 4_010_707_616_191_197_620, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Followers that were served once in between took nothing from who told of one long absence.
#[gtest]
fn answer_between_two_absences_does_not_deny_both() {
    let steps = [
        (19_482, Act::Away(Failing::Busy, 1_631, false)),
        (15_501, Act::Away(Failing::Silent, 3_291, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 1, 4), 4_000, 1_871_530_614_488_757_509, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// The same, of which this instance has seen a call fail and no answer yet.
#[gtest]
fn answer_between_two_absences_does_not_deny_the_one_that_lasts() {
    let steps = [
        (19_106, Act::Away(Failing::Busy, 520, false)),
        (15_422, Act::Away(Failing::Silent, 3_291, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((24, 2, 5), 4_000, 197_779_576_544_214_006, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// It told the shortest one, and some milliseconds less were none.
#[gtest]
fn absence_of_one_that_started_in_it_outlasts_what_others_take_off() {
    let steps = [
        (16_877, Act::Away(Failing::Busy, 5_316, true)),
        (16_611, Act::Enter),
        (19_378, Act::Kill(10, 1_546)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 2, 7), 2_000, 6_235_296_056_856_462_392, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Its own first answer came a second behind those of other data centres, and its followers believed as long.
#[gtest]
fn watcher_that_is_refused_for_longer_counts_from_the_answer_to_another() {
    let steps = [
        (15_191, Act::Depart(0)),
        (13_897, Act::Refuse(1, Failing::Busy, 7_796)),
        (20_289, Act::Refuse(2, Failing::Busy, 2_148)),
        (2_988, Act::Refuse(1, Failing::Silent, 5_982)),
        (500, Act::Leave(0)),
        (500, Act::Spoil(0, 100)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 3, 4), 3_000, 2_713_899_890_823_777, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Refused alone at first, then with all others: what these told before says nothing of the end.
#[gtest]
fn answer_to_another_before_an_absence_is_no_return_from_it() {
    let steps = [
        (18_584, Act::Refuse(2, Failing::Silent, 2_786)),
        (21_141, Act::Away(Failing::Silent, 3_281, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((6, 1, 3), 2_000, 875_317_947_774, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// Entries that went while nobody asked were given up by the answer that would have put that off.
#[gtest]
fn beliefs_are_put_off_before_entries_go_by_what_is_read() {
    let steps = [
        (11_674, Act::Drill(100, 1_207)),
        (4_988, Act::Away(Failing::Busy, 5_580, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((14, 1, 4), 2_000, 172_711_048_979_527_286, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// An instance that was answered just before it heard of the second return forgot its failures.
#[gtest]
fn own_answer_between_does_not_hide_that_the_store_was_away_again() {
    let steps = [
        (12_875, Act::Crash(3)),
        (22_585, Act::Away(Failing::Busy, 1_105, false)),
        (18_697, Act::Away(Failing::Silent, 3_538, true)),
        (3_865, Act::Leave(4)),
        (831, Act::Configure),
        (6_117, Act::Away(Failing::Busy, 4_034, false)),
        (827, Act::Leave(9)),
    ];
    let run = Run {
        traffic: true,
        ..fleet((24, 2, 6), 2_000, 4_010_707_616_191_197_620, &steps)
    };
    expect_that!(violations(&run), is_empty());
}

// They ask when their belief behind the first return is over, just before another tells of the second.
#[gtest]
fn followers_that_made_no_call_in_a_second_absence_give_nobody_up() {
    let steps = [
        (19_489, Act::Away(Failing::Busy, 1_331, false)),
        (12_219, Act::Restart(0)),
        (15_348, Act::Away(Failing::Silent, 3_291, true)),
    ];
    let run = Run {
        traffic: false,
        ..fleet((24, 2, 5), 4_000, 189_028_969_233_728_719, &steps)
    };
    expect_that!(violations(&run), is_empty());
}
