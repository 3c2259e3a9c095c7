#include "core/routing/peer_failure_detector.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a router that fails probes is unresponsive until it answers")
{
    const endpoint peer("10.0.0.2:7000");
    const endpoint other("10.0.0.3:7000");
    const time_point start(seconds(100));
    peer_failure_detector detector({});
    detector.sent(peer, start);

    SECTION("a router that answers its probe during a long request is responsive")
    {
        CHECK(detector.due_probes(start + milliseconds(199)).empty());
        CHECK(detector.due_probes(start + milliseconds(200)) ==
              std::vector<endpoint>{peer});
        detector.note_answer(peer);
        CHECK_FALSE(detector.is_unresponsive(peer));
        CHECK_FALSE(detector.has_unanswered_peers());
        CHECK(detector.due_probes(start + seconds(1)).empty());
    }

    GIVEN("two consecutive failed probes")
    {
        REQUIRE(detector.due_probes(start + milliseconds(200)).size() == 1);
        detector.probe_failed(peer);
        CHECK_FALSE(detector.is_unresponsive(peer));
        CHECK(detector.due_probes(start + milliseconds(449)).empty());
        REQUIRE(detector.due_probes(start + milliseconds(450)).size() == 1);
        detector.probe_failed(peer);

        THEN("the router is unresponsive and another one is not")
        {
            CHECK(detector.is_unresponsive(peer));
            CHECK_FALSE(detector.is_unresponsive(other));
        }

        THEN("it is probed while requests for it are made, and forgotten 10 s after the "
             "last")
        {
            detector.sent(peer, start + seconds(9));
            CHECK(detector.due_probes(start + seconds(18)).size() == 1);
            CHECK(detector.is_unresponsive(peer));
            CHECK(detector.due_probes(start + seconds(19)).empty());
            CHECK_FALSE(detector.is_unresponsive(peer));
        }

        THEN("one answer makes it responsive and resets the failure count")
        {
            detector.note_answer(peer);
            CHECK_FALSE(detector.is_unresponsive(peer));
            detector.sent(peer, start + seconds(2));
            detector.probe_failed(peer);
            CHECK_FALSE(detector.is_unresponsive(peer));
        }
    }

    SECTION("peers beyond max_peers are never unresponsive")
    {
        peer_failure_detector_options options;
        options.max_peers = 1;
        peer_failure_detector bounded(options);
        bounded.sent(peer, start);
        bounded.sent(other, start);
        bounded.probe_failed(other);
        bounded.probe_failed(other);
        CHECK_FALSE(bounded.is_unresponsive(other));
    }
}
