#include "core/ownership/server_link.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id server("s8");
const server_id next_server("s6");
constexpr epoch since{1};
constexpr key_hash partition_hash{5};

// A scheduler's link with one server, in virtual time.
struct link_fixture
{
    explicit link_fixture(bool checks_epoch) : link({}, std::nullopt, now)
    {
        entry.id = server;
        entry.checks_epoch = checks_epoch;
        entry.since = since;
        partition.owner = server;
        partition.since = since;
        link.update(entry, {partition}, now);
        drive();
    }

    void drive()
    {
        now += milliseconds(50);
        scheduler_actions actions;
        link.drive(now + milliseconds(800), now, last_exchange, actions);
    }

    // The server answers what was asked last, and accepts all of it.
    void answer()
    {
        server_reply reply;
        reply.clock = {std::chrono::duration_cast<milliseconds>(now.time_since_epoch())};
        reply.accepted = {{partition.range, since}};
        link.answered(last_exchange, reply, now);
    }

    void answer_clock()
    {
        server_reply reply;
        reply.clock = {std::chrono::duration_cast<milliseconds>(now.time_since_epoch())};
        link.answered(last_exchange, reply, now);
    }

    void start_move()
    {
        partition.moving_to = next_server;
        link.update(entry, {partition}, now);
        drive();
    }

    time_point now{seconds(100)};
    server_exchange_id last_exchange;
    server_entry entry;
    partition_entry partition;
    server_link link;
};

} // namespace

TEST_CASE("a server may work on as many requests as the configuration allows")
{
    link_fixture fixture(true);
    unsigned sent = 0;
    while (sent < max_slots_per_server &&
           fixture.link.request_sent(sent, partition_hash, fixture.now))
    {
        ++sent;
    }
    CHECK(sent == max_slots_per_server);
}

TEST_CASE("a moving partition is released once its server holds nothing")
{
    bool checks_epoch = GENERATE(true, false);
    CAPTURE(checks_epoch);
    link_fixture fixture(checks_epoch);

    GIVEN("a server that holds a grant and has nothing in flight")
    {
        fixture.answer(); // its clock
        fixture.drive();
        fixture.answer();             // the grant
        for (int n = 0; n < 300; ++n) // an earlier router's requests end
        {
            fixture.drive();
            fixture.answer();
        }
        fixture.start_move();

        THEN("the partition is not released before the revocation is acknowledged")
        {
            CHECK(fixture.link.released(fixture.now).empty());
            fixture.answer();
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
        THEN("it is released when the last grant has lapsed")
        {
            time_point later = fixture.now + seconds(2);
            CHECK(fixture.link.released(later).size() == 1);
        }
    }
    GIVEN("a server that is frozen with a request in flight")
    {
        fixture.answer();
        fixture.drive();
        fixture.answer();
        for (int n = 0; n < 300; ++n) // longer than any request may take
        {
            fixture.drive();
            fixture.answer();
        }
        REQUIRE(fixture.link.request_sent(1, partition_hash, fixture.now));
        fixture.drive();
        fixture.link.request_ended(1, false); // the caller's time is over
        fixture.start_move();

        WHEN("much more time passes than a request may take")
        {
            for (int n = 0; n < 600; ++n)
            {
                fixture.drive();
            }
            THEN("only a server that refuses the stale request is done with")
            {
                CHECK(fixture.link.released(fixture.now).size() ==
                      (checks_epoch ? 1 : 0));
            }
        }
        WHEN("it answers again for as long as a request may take")
        {
            for (int n = 0; n < 300; ++n)
            {
                fixture.drive();
                fixture.answer();
            }
            THEN("nothing can run there any more")
            {
                CHECK(fixture.link.released(fixture.now).size() == 1);
            }
        }
    }
    GIVEN("a request time that is raised while the server works")
    {
        fixture.answer();
        fixture.drive();
        fixture.answer();
        fixture.link.set_max_request_time(seconds(60));
        REQUIRE(fixture.link.request_sent(1, partition_hash, fixture.now));
        fixture.link.request_ended(1, false);
        fixture.start_move();
        fixture.answer();
        for (int n = 0; n < 600; ++n) // 30 s: longer than before, not than now
        {
            fixture.drive();
            fixture.answer();
        }

        THEN("a server without epoch checks is waited for as long as the new one says")
        {
            CHECK(fixture.link.released(fixture.now).size() == (checks_epoch ? 1 : 0));
            for (int n = 0; n < 700; ++n)
            {
                fixture.drive();
                fixture.answer();
            }
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
    }
    GIVEN("a server that was never granted anything")
    {
        fixture.start_move();
        for (int n = 0; n < 300; ++n) // an earlier router's requests end
        {
            fixture.drive();
            fixture.answer_clock();
        }

        THEN("there is nothing to wait for")
        {
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
    }
}
