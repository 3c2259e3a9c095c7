#include "router/kept_answer.hpp"
#include "router/live_request.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Keeps how a request ended.
struct ended_request
{
    live_request_ptr make()
    {
        return std::make_shared<live_request>(
            [this](const request_summary& got, http_response* sent)
            {
                ++times;
                summary = got;
                answer =
                    sent != nullptr ? std::optional<http_response>(*sent) : std::nullopt;
            },
            random);
    }

    std::string header(const char* name) const
    {
        return std::string(answer->headers.find(name).value_or("none"));
    }

    std::mt19937_64 random{3};
    int times = 0;
    request_summary summary;
    std::optional<http_response> answer;
};

} // namespace

TEST_CASE("a request ends once")
{
    ended_request ended;
    live_request_ptr request = ended.make();

    SECTION("with the server's answer, told as ran")
    {
        request->answer({200, {}, "body"});
        request->refuse(refusal::overloaded);
        CHECK(ended.times == 1);
        CHECK(ended.header(outcome_header) == "ran");
        CHECK(ended.answer->body == "body");
    }
    SECTION("with a refusal that names when to come back")
    {
        request->refuse(problem{refusal::overloaded, "deadline", milliseconds(4000)});
        CHECK(ended.answer->status == 503);
        CHECK(ended.header(outcome_header) == "not-run");
        CHECK(ended.header("Content-Type") == "application/problem+json");
        int wait = std::stoi(ended.header("Retry-After"));
        CHECK(wait >= 4);
        CHECK(wait <= 6);
    }
    SECTION("with another router's answer, as it is told")
    {
        http_response other{504, {}, {}};
        other.headers.add(outcome_header, "unknown");
        request->pass_on(other);
        CHECK(ended.summary.reported_outcome == outcome::unknown);
        CHECK(ended.header(outcome_header) == "unknown");
    }
    SECTION("as unknown where nobody ended it")
    {
        request.reset();
        CHECK(ended.times == 1);
        CHECK(ended.header(outcome_header) == "unknown");
    }
    SECTION("without an answer when the caller is gone, and the step in hand is told")
    {
        bool is_told = false;
        request->on_disconnect = [&]
        {
            is_told = true;
        };
        request->note_gone();
        request->answer({200, {}, "late"});
        CHECK(is_told);
        CHECK(ended.times == 1);
        CHECK_FALSE(ended.answer);
    }
}

TEST_CASE("a kept answer is given again whole")
{
    rc::prop("any status, headers and body survive",
             []
             {
                 http_response answer;
                 answer.status = *rc::gen::inRange(200, 600);
                 answer.headers.add(
                     "X-Run",
                     *rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
                 answer.body = *rc::gen::arbitrary<std::string>();
                 std::optional<http_response> again =
                     read_kept_answer(write_kept_answer(answer));
                 RC_ASSERT(again);
                 RC_ASSERT(again->status == answer.status);
                 RC_ASSERT(again->body == answer.body);
                 RC_ASSERT(again->headers.find("X-Run") == answer.headers.find("X-Run"));
             });
    SECTION("other bytes are refused")
    {
        for (const char* bytes :
             {"", "200", "x\r\n\r\n", "200\r\nno colon\r\n\r\n", "200\r\nA: b\r\n"})
        {
            CAPTURE(bytes);
            CHECK_FALSE(read_kept_answer(bytes));
        }
    }
}
