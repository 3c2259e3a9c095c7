#include "codec/history_json.hpp"
#include "load/history_checker.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const hash_range whole;
const key_hash middle{1ULL << 63};
const hash_range lower{{0}, {middle.value - 1}};
const hash_range upper{middle, whole.last};

grant_record grant(const char* server,
                   history_time at,
                   history_time until,
                   unsigned since,
                   hash_range partition = whole)
{
    return {at, until, server_id(server), shard_id("valves"), partition, epoch{since}};
}

run_start_record
run(const char* name, const char* server, history_time at, unsigned since)
{
    run_start_record made;
    made.at = at;
    made.run = name;
    made.server = server_id(server);
    made.service = service_name("valves");
    made.key = "quad-1";
    made.hash = hash_key("quad-1");
    made.since = epoch{since};
    made.id = request_id("order-1");
    made.tag = "t1";
    made.attempt = "t1.1";
    return made;
}

// An attempt that run "r1" answered whole.
attempt_record attempt(const char* told)
{
    attempt_record made;
    made.start = 5;
    made.end = 50;
    made.service = service_name("valves");
    made.key = "quad-1";
    made.id = request_id("order-1");
    made.tag = "t1";
    made.attempt = "t1.1";
    made.ended = "answered";
    made.status = 200;
    made.outcome = told;
    made.answer_run = "r1";
    made.answer_key = "quad-1";
    made.answer_tag = "t1";
    made.answer_id = request_id("order-1");
    made.is_answer_complete = true;
    return made;
}

std::vector<violation_kind> kinds_in(const std::vector<history_entry>& history)
{
    history_checker checker;
    for (const history_entry& it : history)
    {
        // Every record also survives its line of JSON.
        checker.add(value_or_handle(
            [&] { return read_history_line(write_history_line(it)); },
            [](const error& ec) -> history_entry { throw std::runtime_error(ec.text); }));
    }
    std::vector<violation_kind> kinds;
    for (const violation& it : checker.check())
    {
        kinds.push_back(it.kind);
    }
    return kinds;
}

using kinds = std::vector<violation_kind>;

} // namespace

TEST_CASE("the checker finds two owners")
{
    GIVEN("one server whose grant is renewed until 300")
    {
        std::vector<history_entry> history{grant("a", 10, 200, 1),
                                           grant("a", 100, 300, 1)};

        THEN("a second owner after the lapse is rightful")
        {
            history.emplace_back(grant("b", 300, 500, 2));
            CHECK(kinds_in(history).empty());
        }

        THEN("a second owner one microsecond earlier is not")
        {
            history.emplace_back(grant("b", 299, 500, 2));
            CHECK(kinds_in(history) == kinds{violation_kind::two_owners});
        }

        WHEN("it gives up the upper half at 150")
        {
            history.emplace_back(
                revoke_record{150, server_id("a"), shard_id("valves"), upper, epoch{1}});

            THEN("the upper half may have another owner, the lower may not")
            {
                history.emplace_back(grant("b", 150, 500, 2, upper));
                CHECK(kinds_in(history).empty());
                history.emplace_back(grant("c", 150, 500, 2, lower));
                CHECK(kinds_in(history) == kinds{violation_kind::two_owners});
            }
        }

        THEN("a run within the grant is rightful, one outside or of another epoch is not")
        {
            history.emplace_back(run("r1", "a", 299, 1));
            CHECK(kinds_in(history).empty());
            std::get<run_start_record>(history.back()).at = 300;
            CHECK(kinds_in(history) == kinds{violation_kind::run_not_owned});
            history.back() = run("r1", "a", 299, 2);
            CHECK(kinds_in(history) == kinds{violation_kind::run_not_owned});
        }
    }

    GIVEN("two servers that check no epoch run one key at one time")
    {
        run_start_record one = run("r1", "a", 10, 1);
        run_start_record other = run("r2", "b", 19, 2);
        other.id = request_id("order-2");
        one.checks_epoch = other.checks_epoch = false;
        run_end_record end{20, "r1", server_id("a")};

        THEN("both acted as owner")
        {
            CHECK(kinds_in({one, other, end}) == kinds{violation_kind::two_owners});
            other.at = 20;
            CHECK(kinds_in({one, other, end}).empty());
        }
    }

    GIVEN("a server that checks epochs, frozen for long within a run")
    {
        grant_record owner = grant("a", 0, 100, 1);
        run_start_record frozen = run("r1", "a", 50, 1);
        run_end_record end{500, "r1", server_id("a")};
        run_start_record next = run("r2", "b", 100, 2);
        next.id = request_id("order-2");
        next.checks_epoch = false;
        run_end_record next_end{120, "r2", server_id("b")};

        THEN("it is owner until its grant lapses, and one without the check may follow")
        {
            CHECK(kinds_in({owner, frozen, end, next, next_end}).empty());
            next.at = 99;
            CHECK(kinds_in({owner, frozen, end, next, next_end}) ==
                  kinds{violation_kind::two_owners});
        }

        THEN(
            "a run without the check that goes on into its grant is found, also where it "
            "runs nothing itself")
        {
            owner = grant("a", 119, 300, 3);
            CHECK(kinds_in({owner, next, next_end}) == kinds{violation_kind::two_owners});
            owner = grant("a", 120, 300, 3);
            CHECK(kinds_in({owner, next, next_end}).empty());
        }
    }
}

TEST_CASE("the checker compares what was told with what ran")
{
    GIVEN("a request that ran once and was answered whole")
    {
        grant_record owner = grant("a", 0, 100, 1);
        run_start_record one = run("r1", "a", 10, 1);
        attempt_record heard = attempt("ran");
        CHECK(kinds_in({owner, one, heard}).empty());

        THEN("a second run of its id is found")
        {
            run_start_record again = run("r2", "a", 90, 1);
            again.attempt = "t1.2";
            CHECK(kinds_in({owner, one, heard, again}) ==
                  kinds{violation_kind::two_runs});
        }

        THEN("not-run is a lie, also where the run came later")
        {
            heard.outcome = "not-run";
            one.at = GENERATE(10, 90);
            CHECK(kinds_in({owner, one, heard}) ==
                  kinds{violation_kind::ran_after_denial});
        }

        THEN("not-run of another attempt of the id is noted, and breaks no promise")
        {
            heard.outcome = "not-run";
            heard.attempt = "t1.2";
            history_checker checker;
            for (const history_entry& it : std::vector<history_entry>{owner, one, heard})
            {
                checker.add(it);
            }
            CHECK(checker.check().empty());
            CHECK(checker.summary().denied_after_other_attempt == 1);
        }

        THEN("an answer of another request is found")
        {
            attempt_record foreign = heard;
            int field = GENERATE(0, 1, 2, 3);
            field == 0 ? void(foreign.answer_key = "quad-2") : void();
            field == 1 ? void(foreign.answer_tag = "t2") : void();
            field == 2 ? void(foreign.answer_id = request_id("order-2")) : void();
            field == 3 ? void(one.tag = "t2") : void();
            CHECK(kinds_in({owner, one, foreign}) ==
                  kinds{violation_kind::foreign_answer});
        }

        THEN("a cut answer, one of no run and one without an outcome are found")
        {
            heard.is_answer_complete = false;
            CHECK(kinds_in({owner, one, heard}) == kinds{violation_kind::cut_answer});
            heard = attempt("ran");
            CHECK(kinds_in({owner, heard}) == kinds{violation_kind::never_ran});
            heard.outcome = "perhaps";
            CHECK(kinds_in({owner, one, heard}) == kinds{violation_kind::no_outcome});
        }

        THEN("an attempt without an answer or of unknown outcome breaks nothing")
        {
            heard.outcome = "unknown";
            heard.is_answer_complete = false;
            CHECK(kinds_in({owner, one, heard}).empty());
            heard.ended = "timed_out";
            heard.outcome = "";
            CHECK(kinds_in({owner, one, heard}).empty());
        }
    }
}
