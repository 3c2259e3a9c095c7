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
    return trace.take();
}

} // namespace

TEST_CASE("a violation is shown with the records that concern it")
{
    violation found{violation_kind::ran_after_denial,
                    "11-4711-2000000-7.2",
                    "told at 2000500 us; run s3-run-9 at 2000700 us"};
    const std::string first = R"({"attempt":"11-4711-2000000-7.1","end_us":2000300})";
    const std::string second = R"({"attempt":"11-4711-2000000-7.2","end_us":2000500})";
    const std::string begin = R"({"at_us":2000700,"run":"s3-run-9"})";
    const std::string end = R"({"at_us":2001900,"run":"s3-run-9"})";
    const std::string other = R"({"at_us":2000800,"run":"s3-run-91"})";

    SECTION("all attempts of the request and the run, in the order of their times")
    {
        CHECK(trace_of(found, 10, {end, other, second, begin, first}) ==
              lines{first, second, begin, end});
    }

    SECTION("the nearest ones where there are too many")
    {
        CHECK(trace_of(found, 2, {end, second, begin, first}) == lines{second, begin});
    }

    SECTION("records of the runs come before those that only have the hash")
    {
        violation owners{violation_kind::two_owners,
                         "diary a9cfcb5708840715",
                         "runs s3-run-9 and s4-run-1 at one time, 2000700 us"};
        const std::string near = R"({"at_us":2000700,"hash":"a9cfcb5708840715"})";
        CHECK(trace_of(owners, 2, {near, begin, end}) == lines{begin, end});
        CHECK(trace_of(owners, 3, {near, end}) == lines{near, end});
    }

    SECTION("a hash is found in records of its partition")
    {
        violation owners{violation_kind::two_owners,
                         "diary 3ba9588b170fbf8e-3ba9588b170fbfff",
                         "s6 epoch 4 from 1 to 2 us"};
        const std::string grant =
            R"({"at_us":1,"partition":"3ba9588b170fbf8e-3ba9588b170fbfff"})";
        CHECK(trace_of(owners, 10, {grant, other}) == lines{grant});
    }
}
