#include "router/kept_answer.hpp"
#include "router/live_request.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// Records how a request ended.
struct end_recorder
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

TEST_CASE("a request ends exactly once")
{
    end_recorder recorder;
    live_request_ptr request = recorder.make();

    SECTION("with the server's answer and the outcome ran")
    {
        request->answer({200, {}, "body"});
        request->refuse(refusal::overloaded);
        CHECK(recorder.times == 1);
        CHECK(recorder.header(outcome_header) == "ran");
        CHECK(recorder.answer->body == "body");
    }
    SECTION("with a refusal that has a Retry-After header with jitter")
    {
        request->refuse(problem{refusal::overloaded, "deadline", milliseconds(4000)});
        CHECK(recorder.answer->status == 503);
        CHECK(recorder.header(outcome_header) == "not-run");
        CHECK(recorder.header("Content-Type") == "application/problem+json");
        int wait = std::stoi(recorder.header("Retry-After"));
        CHECK(wait >= 4);
        CHECK(wait <= 6);
    }
    SECTION("with another router's answer and its outcome")
    {
        http_response other{504, {}, {}};
        other.headers.add(outcome_header, "unknown");
        request->forward_answer(other);
        CHECK(recorder.summary.reported_outcome == outcome::unknown);
        CHECK(recorder.header(outcome_header) == "unknown");
    }
    SECTION("as unknown if the last reference is dropped before it has ended")
    {
        request.reset();
        CHECK(recorder.times == 1);
        CHECK(recorder.header(outcome_header) == "unknown");
    }
    SECTION(
        "without an answer if the caller disconnects, and on_caller_disconnect is called")
    {
        bool is_notified = false;
        request->on_caller_disconnect = [&]
        {
            is_notified = true;
        };
        request->on_caller_disconnected();
        request->answer({200, {}, "late"});
        CHECK(is_notified);
        CHECK(recorder.times == 1);
        CHECK_FALSE(recorder.answer);
    }
}

TEST_CASE("a kept answer is read back unchanged")
{
    rc::prop("any status, headers and body are preserved",
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
    SECTION("bytes in another format are rejected")
    {
        for (const char* bytes :
             {"", "200", "x\r\n\r\n", "200\r\nno colon\r\n\r\n", "200\r\nA: b\r\n"})
        {
            CAPTURE(bytes);
            CHECK_FALSE(read_kept_answer(bytes));
        }
    }
}
