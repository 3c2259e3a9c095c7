#include "codec/json_text.hpp"
#include "codec/key_messages.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

std::optional<assigner_term_end> read_text(std::string_view text)
{
    return value_or_handle(
        [&]() -> result<std::optional<assigner_term_end>>
        {
            BOOST_LEAF_AUTO(value, parse_json(text));
            BOOST_LEAF_AUTO(read, read_term_end(value));
            return std::optional(read);
        },
        [](const error&) { return std::optional<assigner_term_end>(); });
}

} // namespace

TEST_CASE("what an assigner says about its last term is read as it was written")
{
    const assigner_term_end said{
        instance_id("g1"), 7, milliseconds(2500), milliseconds(120)};
    CHECK(read_text(write_json(write_term_end(said))) == said);
    CHECK(read_text(R"({"writer":"g1","term":7,"grants_ms":2500,"unanswered_ms":120})") ==
          said);

    SECTION("a negative time is refused")
    {
        CHECK_FALSE(
            read_text(R"({"writer":"g1","term":7,"grants_ms":2500,"unanswered_ms":-1})"));
        CHECK_FALSE(
            read_text(R"({"writer":"g1","term":7,"grants_ms":-1,"unanswered_ms":0})"));
    }
}

TEST_CASE("what a restarted gateway says of an earlier process is read as it was written")
{
    const assigner_restart said{instance_id("g1"), 7, milliseconds(900)};
    auto read = [](std::string_view text)
    {
        return value_or_handle(
            [&]() -> result<std::optional<assigner_restart>>
            {
                BOOST_LEAF_AUTO(value, parse_json(text));
                BOOST_LEAF_AUTO(got, read_assigner_restart(value));
                return std::optional(got);
            },
            [](const error&) { return std::optional<assigner_restart>(); });
    };
    CHECK(read(write_json(write_assigner_restart(said))) == said);
    CHECK(read(R"({"writer":"g1","term":7,"started_ms":900})") == said);
    CHECK_FALSE(read(R"({"writer":"g1","term":7,"started_ms":-1})"));
}

TEST_CASE("the bound of an assigner's grants is read as it was written")
{
    const grant_bound bound{instance_id("g1"), 7, milliseconds(2500), milliseconds(40)};
    auto read = [](std::string_view text)
    {
        return value_or_handle([&]() -> result<std::optional<grant_bound>>
                               { return parse_grant_bound(text); },
                               [](const error&) { return std::optional<grant_bound>(); });
    };
    CHECK(read(grant_bound_text(bound)) == bound);
    CHECK(read(R"({"writer":"g1","term":7,"hold_ms":2500,"earlier_ms":40})") == bound);
    CHECK_FALSE(read(R"({"writer":"g1","term":7,"hold_ms":0,"earlier_ms":40})"));
    CHECK_FALSE(read(R"({"writer":"g1","term":7,"hold_ms":2500,"earlier_ms":-1})"));
    CHECK_FALSE(read("none"));
}
