#include "core/ownership/server_link.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const server_id server("s8");
const server_id next_server("s6");
constexpr epoch since{1};
constexpr key_hash partition_hash{5};

// A scheduler's link to one server, in virtual time.
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
        advance();
    }

    // Lets 50 ms pass and sends the messages that are due.
    void advance()
    {
        now += milliseconds(50);
        scheduler_actions actions;
        link.send_due_messages(now + milliseconds(800), now, last_exchange, actions);
    }

    // The server answers the last message and accepts all of it.
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
        advance();
    }

    time_point now{seconds(100)};
    server_exchange_id last_exchange;
    server_entry entry;
    partition_entry partition;
    server_link link;
};

} // namespace

TEST_CASE("a server may run max_slots_per_server requests at once")
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

TEST_CASE(
    "a moving partition is released once its server holds no grant or request of it")
{
    bool checks_epoch = GENERATE(true, false);
    CAPTURE(checks_epoch);
    link_fixture fixture(checks_epoch);

    GIVEN("a server that holds a grant and has nothing in flight")
    {
        fixture.answer(); // the clock reading
        fixture.advance();
        fixture.answer();             // the grant
        for (int n = 0; n < 300; ++n) // 15 s, in which requests of an earlier router end
        {
            fixture.advance();
            fixture.answer();
        }
        fixture.start_move();

        THEN("the partition is not released before the revocation is acknowledged")
        {
            CHECK(fixture.link.released(fixture.now).empty());
            fixture.answer();
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
        THEN("without acknowledgement it is released when the last grant has lapsed")
        {
            time_point later = fixture.now + seconds(2);
            CHECK(fixture.link.released(later).size() == 1);
        }
    }
    GIVEN("a server that is frozen with a request in flight")
    {
        fixture.answer();
        fixture.advance();
        fixture.answer();
        for (int n = 0; n < 300; ++n) // 15 s: longer than any request may run
        {
            fixture.advance();
            fixture.answer();
        }
        REQUIRE(fixture.link.request_sent(1, partition_hash, fixture.now));
        fixture.advance();
        fixture.link.request_ended(1, false); // the caller's timeout has passed
        fixture.start_move();

        WHEN("the server stays frozen for longer than a request may run")
        {
            for (int n = 0; n < 600; ++n)
            {
                fixture.advance();
            }
            THEN("the partition is released only if the server checks epochs")
            {
                CHECK(fixture.link.released(fixture.now).size() ==
                      (checks_epoch ? 1 : 0));
            }
        }
        WHEN("the server answers again for as long as a request may run")
        {
            for (int n = 0; n < 300; ++n)
            {
                fixture.advance();
                fixture.answer();
            }
            THEN("the partition is released, since no request can still run there")
            {
                CHECK(fixture.link.released(fixture.now).size() == 1);
            }
        }
    }
    GIVEN("max_request_time that is raised while a request runs")
    {
        fixture.answer();
        fixture.advance();
        fixture.answer();
        fixture.link.set_max_request_time(seconds(60));
        REQUIRE(fixture.link.request_sent(1, partition_hash, fixture.now));
        fixture.link.request_ended(1, false);
        fixture.start_move();
        fixture.answer();
        for (int n = 0; n < 600;
             ++n) // 30 s: more than the old limit, less than the new one
        {
            fixture.advance();
            fixture.answer();
        }

        THEN("without epoch checks the partition is released only after the new limit")
        {
            CHECK(fixture.link.released(fixture.now).size() == (checks_epoch ? 1 : 0));
            for (int n = 0; n < 700; ++n)
            {
                fixture.advance();
                fixture.answer();
            }
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
    }
    GIVEN("a server that never held a grant")
    {
        fixture.start_move();
        for (int n = 0; n < 300; ++n) // 15 s, in which requests of an earlier router end
        {
            fixture.advance();
            fixture.answer_clock();
        }

        THEN("the partition is released without a revocation")
        {
            CHECK(fixture.link.released(fixture.now).size() == 1);
        }
    }
}
