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

// An attempt with a complete answer of run "r1".
attempt_record attempt(const char* reported)
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
    made.outcome = reported;
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
        // Adds the record after a round trip through its JSON line.
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

TEST_CASE("history_checker finds two owners of a hash")
{
    GIVEN("one server whose grant is renewed until 300")
    {
        std::vector<history_entry> history{grant("a", 10, 200, 1),
                                           grant("a", 100, 300, 1)};

        THEN("another owner after the grant lapses is no violation")
        {
            history.emplace_back(grant("b", 300, 500, 2));
            CHECK(kinds_in(history).empty());
        }

        THEN("another owner one microsecond earlier is a violation")
        {
            history.emplace_back(grant("b", 299, 500, 2));
            CHECK(kinds_in(history) == kinds{violation_kind::two_owners});
        }

        WHEN("the server releases the upper half at 150")
        {
            history.emplace_back(
                revoke_record{150, server_id("a"), shard_id("valves"), upper, epoch{1}});

            THEN("another owner of the lower half is a violation, of the upper half it "
                 "is not")
            {
                history.emplace_back(grant("b", 150, 500, 2, upper));
                CHECK(kinds_in(history).empty());
                history.emplace_back(grant("c", 150, 500, 2, lower));
                CHECK(kinds_in(history) == kinds{violation_kind::two_owners});
            }
        }

        THEN(
            "a run within the grant is no violation, one after it or at another epoch is")
        {
            history.emplace_back(run("r1", "a", 299, 1));
            CHECK(kinds_in(history).empty());
            std::get<run_start_record>(history.back()).at = 300;
            CHECK(kinds_in(history) == kinds{violation_kind::run_not_owned});
            history.back() = run("r1", "a", 299, 2);
            CHECK(kinds_in(history) == kinds{violation_kind::run_not_owned});
        }
    }

    GIVEN("overlapping runs of a key on two servers that do not check epochs")
    {
        run_start_record one = run("r1", "a", 10, 1);
        run_start_record other = run("r2", "b", 19, 2);
        other.id = request_id("order-2");
        one.checks_epoch = other.checks_epoch = false;
        run_end_record end{20, "r1", server_id("a")};

        THEN("they are two owners until the first run ends")
        {
            CHECK(kinds_in({one, other, end}) == kinds{violation_kind::two_owners});
            other.at = 20;
            CHECK(kinds_in({one, other, end}).empty());
        }
    }

    GIVEN("a server that checks epochs and is frozen during a run")
    {
        grant_record owner = grant("a", 0, 100, 1);
        run_start_record frozen = run("r1", "a", 50, 1);
        run_end_record end{500, "r1", server_id("a")};
        run_start_record next = run("r2", "b", 100, 2);
        next.id = request_id("order-2");
        next.checks_epoch = false;
        run_end_record next_end{120, "r2", server_id("b")};

        THEN("it is the owner until its grant lapses, and a server without the check may "
             "follow")
        {
            CHECK(kinds_in({owner, frozen, end, next, next_end}).empty());
            next.at = 99;
            CHECK(kinds_in({owner, frozen, end, next, next_end}) ==
                  kinds{violation_kind::two_owners});
        }

        THEN("a run without the check that overlaps its grant is a violation, even if it "
             "runs nothing itself")
        {
            owner = grant("a", 119, 300, 3);
            CHECK(kinds_in({owner, next, next_end}) == kinds{violation_kind::two_owners});
            owner = grant("a", 120, 300, 3);
            CHECK(kinds_in({owner, next, next_end}).empty());
        }
    }
}

TEST_CASE("history_checker compares the reported outcomes with the runs")
{
    GIVEN("a request that ran once and got a complete answer")
    {
        grant_record owner = grant("a", 0, 100, 1);
        run_start_record one = run("r1", "a", 10, 1);
        attempt_record answer = attempt("ran");
        CHECK(kinds_in({owner, one, answer}).empty());

        THEN("a second run of its id is a violation")
        {
            run_start_record again = run("r2", "a", 90, 1);
            again.attempt = "t1.2";
            CHECK(kinds_in({owner, one, answer, again}) ==
                  kinds{violation_kind::two_runs});
        }

        THEN("the outcome not-run is a violation, whether the run was before or after")
        {
            answer.outcome = "not-run";
            one.at = GENERATE(10, 90);
            CHECK(kinds_in({owner, one, answer}) ==
                  kinds{violation_kind::ran_after_denial});
        }

        THEN("the outcome not-run of another attempt of the id is counted, but no "
             "violation")
        {
            answer.outcome = "not-run";
            answer.attempt = "t1.2";
            history_checker checker;
            for (const history_entry& it : std::vector<history_entry>{owner, one, answer})
            {
                checker.add(it);
            }
            CHECK(checker.check().empty());
            CHECK(checker.summary().denied_after_other_attempt == 1);
        }

        THEN("an answer that belongs to another request is a violation")
        {
            attempt_record foreign = answer;
            int field = GENERATE(0, 1, 2, 3);
            field == 0 ? void(foreign.answer_key = "quad-2") : void();
            field == 1 ? void(foreign.answer_tag = "t2") : void();
            field == 2 ? void(foreign.answer_id = request_id("order-2")) : void();
            field == 3 ? void(one.tag = "t2") : void();
            CHECK(kinds_in({owner, one, foreign}) ==
                  kinds{violation_kind::foreign_answer});
        }

        THEN("an incomplete answer, one without a run or without an outcome is a "
             "violation")
        {
            answer.is_answer_complete = false;
            CHECK(kinds_in({owner, one, answer}) == kinds{violation_kind::cut_answer});
            answer = attempt("ran");
            CHECK(kinds_in({owner, answer}) == kinds{violation_kind::never_ran});
            answer.outcome = "perhaps";
            CHECK(kinds_in({owner, one, answer}) == kinds{violation_kind::no_outcome});
        }

        THEN("an attempt with no answer or an unknown outcome is no violation")
        {
            answer.outcome = "unknown";
            answer.is_answer_complete = false;
            CHECK(kinds_in({owner, one, answer}).empty());
            answer.ended = "timed_out";
            answer.outcome = "";
            CHECK(kinds_in({owner, one, answer}).empty());
        }
    }
}
