#include "core/gateway/relay/request_progress.hpp"
#include "testing/test_headers.hpp"

#include <set>

using namespace camphorrock;

namespace
{

bool is_flight(request_phase phase)
{
    return phase == request_phase::in_flight_server ||
           phase == request_phase::in_flight_gateway;
}

} // namespace

// Guards against a timer or an answer of an earlier wait that goes on with a request
// whose attempt is in flight (REFUSED, TWICE).
TEST_CASE("only the present phase of a request is current")
{
    request_progress it;
    const std::uint64_t first = it.number();

    SECTION("entering a phase of the same kind ends the one before")
    {
        CHECK(it.enter(request_phase::owner_wait));
        const std::uint64_t second = it.number();
        CHECK(it.enter(request_phase::owner_wait));
        CHECK_FALSE(it.is_current(first));
        CHECK_FALSE(it.is_current(second));
        CHECK(it.is_current(it.number()));
    }
    SECTION("the last thing that was waited for is known while a server is chosen")
    {
        CHECK(it.previous() == request_phase::choosing);
        it.enter(request_phase::room_wait);
        it.enter(request_phase::choosing);
        it.enter(request_phase::choosing);
        CHECK(it.previous() == request_phase::room_wait);
    }
    SECTION(
        "in any order of calls, an attempt in flight ends before anything else begins")
    {
        rc::prop("the phases follow the rules",
                 []
                 {
                     request_progress drawn;
                     request_phase expected = request_phase::choosing;
                     std::set<std::uint64_t> left;
                     const auto steps = *rc::gen::container<std::vector<int>>(
                         40, rc::gen::inRange(0, 20));
                     for (int step : steps)
                     {
                         const std::uint64_t before = drawn.number();
                         const request_phase was = expected;
                         const auto to = static_cast<request_phase>(step % 13);
                         const bool is_end = step >= 13;
                         const bool is_allowed =
                             is_end == is_flight(was) && was != request_phase::ended;
                         if (is_end)
                         {
                             drawn.attempt_ended();
                         }
                         else
                         {
                             RC_ASSERT(drawn.enter(to) == is_allowed);
                         }
                         if (is_allowed)
                         {
                             expected = is_end ? request_phase::choosing : to;
                             left.insert(before);
                         }
                         RC_ASSERT(drawn.phase() == expected);
                         RC_ASSERT(drawn.is_in_flight() == is_flight(expected));
                         RC_ASSERT(drawn.is_current(before) == !is_allowed);
                         RC_ASSERT(!left.contains(drawn.number()));
                     }
                 });
    }
}
