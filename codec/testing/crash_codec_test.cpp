#include "codec/crash_codec.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("each message about crashes is read back as it was written")
{
    const request_fingerprint request{~std::uint64_t{0}, 2};
    const service_name service("s");
    const std::vector<crash_message> messages{
        trial_request{trial_id{7},
                      service,
                      request,
                      {1, 2},
                      server_id("i"),
                      seconds(1),
                      endpoint("10.0.0.1:1")},
        trial_reply{trial_id{7}, trial_answer::other_server},
        trial_report{trial_id{7},
                     service,
                     request,
                     trial_end::crashed,
                     server_id("i"),
                     milliseconds(80),
                     milliseconds(2),
                     endpoint("10.0.0.1:1")},
        trial_noted{trial_id{7}},
        suspects_notice{{{5, 0}, {6, 3}}},
        verdicts_request{endpoint("10.0.0.1:1")},
    };
    for (const crash_message& it : messages)
    {
        const std::string bytes = encode_crash_message(it);
        CHECK(decode_crash_message(bytes) == it);

        SECTION("bytes that are cut short or changed are no message, and harm nothing")
        {
            for (std::size_t n = 0; n < bytes.size(); ++n)
            {
                CHECK_FALSE(decode_crash_message(bytes.substr(0, n)));
                std::string changed = bytes;
                changed[n] = static_cast<char>(0xc1); // never used by MessagePack
                decode_crash_message(changed);
            }
        }
    }
}

TEST_CASE("a full notice fits into a datagram")
{
    suspects_notice notice;
    notice.rows.assign(max_suspects_in_notice, {~std::uint64_t{0}, 1000});
    const std::string bytes = encode_crash_message(notice);
    CHECK(bytes.size() <= 1400);
    CHECK(decode_crash_message(bytes) == crash_message(notice));
    notice.rows.push_back({1, 1});
    CHECK_FALSE(decode_crash_message(encode_crash_message(notice)));
}

TEST_CASE("times out of range are no message")
{
    trial_report report;
    report.started_ago = max_crash_message_time + seconds(1);
    CHECK_FALSE(decode_crash_message(encode_crash_message(report)));
    report.started_ago = -seconds(1);
    CHECK_FALSE(decode_crash_message(encode_crash_message(report)));
}
