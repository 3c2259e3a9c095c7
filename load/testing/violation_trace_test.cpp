#include "load/violation_trace.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

using lines = std::vector<std::string>;

lines trace_of(const violation& found, std::size_t limit, const lines& history)
{
    violation_trace trace(found, limit);
    for (const std::string& it : history)
    {
        trace.add(it);
    }
    return trace.take_lines();
}

} // namespace

TEST_CASE("violation_trace selects the records that concern a violation")
{
    violation found{violation_kind::ran_after_denial,
                    "11-4711-2000000-7.2",
                    "reported not-run at 2000500 us; run s3-run-9 at 2000700 us"};
    const std::string first = R"({"attempt":"11-4711-2000000-7.1","end_us":2000300})";
    const std::string second = R"({"attempt":"11-4711-2000000-7.2","end_us":2000500})";
    const std::string begin = R"({"at_us":2000700,"run":"s3-run-9"})";
    const std::string end = R"({"at_us":2001900,"run":"s3-run-9"})";
    const std::string other = R"({"at_us":2000800,"run":"s3-run-91"})";

    SECTION(
        "all attempts of the request and its run are kept, in the order of their times")
    {
        CHECK(trace_of(found, 10, {end, other, second, begin, first}) ==
              lines{first, second, begin, end});
    }

    SECTION("the records closest in time are kept if there are too many")
    {
        CHECK(trace_of(found, 2, {end, second, begin, first}) == lines{second, begin});
    }

    SECTION("records that name a run are preferred to those that have only the hash")
    {
        violation owners{violation_kind::two_owners,
                         "diary a9cfcb5708840715",
                         "runs s3-run-9 and s4-run-1 overlap at 2000700 us"};
        const std::string near = R"({"at_us":2000700,"hash":"a9cfcb5708840715"})";
        CHECK(trace_of(owners, 2, {near, begin, end}) == lines{begin, end});
        CHECK(trace_of(owners, 3, {near, end}) == lines{near, end});
    }

    SECTION("records that contain the violation's hash range are kept")
    {
        violation owners{violation_kind::two_owners,
                         "diary 3ba9588b170fbf8e-3ba9588b170fbfff",
                         "s6 epoch 4 from 1 to 2 us"};
        const std::string grant =
            R"({"at_us":1,"partition":"3ba9588b170fbf8e-3ba9588b170fbfff"})";
        CHECK(trace_of(owners, 10, {grant, other}) == lines{grant});
    }
}
