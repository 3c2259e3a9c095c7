#include "core/gateway/fleet/testing/make_fleet.hpp"
#include "core/gateway/retry/crash_exchange.hpp"
#include "core/gateway/retry/testing/crash_simulation.hpp"
#include "testing/test_headers.hpp"

#include <variant>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

const service_name service("service");
const request_fingerprint hot = fingerprint_of({"GET", "h", "/hot", "", ""});

// Three gateways: the one that counts for the service, and two others.
struct exchange_fixture
{
    exchange_fixture()
    {
        const std::vector<fleet_gateway> fleet = make_fleet(3);
        for (const endpoint& it : ranked_gateways_of(fleet, service.str(), 3))
        {
            addresses.push_back(it);
            exchanges.emplace_back().set_fleet(fleet, it, now);
        }
        deliver();
    }

    // Passes on what was sent, but for what the silent gateway sends.
    void deliver(std::optional<std::size_t> silent = {})
    {
        for (std::size_t from = 0; from < exchanges.size(); ++from)
        {
            for (const outgoing_crash_message& it : exchanges[from].take_outgoing())
            {
                const auto to = static_cast<std::size_t>(
                    std::find(addresses.begin(), addresses.end(), it.to) -
                    addresses.begin());
                if (silent != from)
                {
                    exchanges[to].receive(it.message, now);
                }
            }
        }
    }

    void pass(duration span)
    {
        for (duration gone{}; gone < span; gone += milliseconds(5))
        {
            now += milliseconds(5);
            for (crash_exchange& it : exchanges)
            {
                it.tick(now);
            }
            deliver();
        }
    }

    // The first sending of the report is lost.
    void report(std::size_t from, trial_end end, const char* server)
    {
        trial_report made;
        made.id = trial_id{++last_id};
        made.service = service;
        made.request = hot;
        made.end = end;
        made.server = server_id(server);
        exchanges[from].report(made, now);
        deliver(from);
    }

    std::vector<endpoint> addresses; // the one that counts first
    std::vector<crash_exchange> exchanges;
    time_point now{seconds(1000)};
    std::uint64_t last_id = 0;
};

} // namespace

// Guards against a good request that is condemned by crashes from before its answers,
// which a gateway counted whose reports were not answered at once.
TEST_CASE("an answer to a suspect clears it at every gateway that has counted")
{
    exchange_fixture it;
    const std::size_t other = 1;
    for (int n = 0; n < 4; ++n)
    {
        // It counts as well, since its report is not answered at once.
        it.report(other, trial_end::crashed, n % 2 == 0 ? "s0" : "s1");
        it.pass(milliseconds(40));
        CHECK(it.exchanges[other].suspects().standing_of(hot) ==
              crash_standing::suspected);
        it.pass(milliseconds(100));
        it.report(2, trial_end::completed, "s2");
        it.pass(milliseconds(300));
        for (const crash_exchange& exchange : it.exchanges)
        {
            INFO("round " << n);
            CHECK(exchange.suspects().standing_of(hot) == crash_standing::clear);
        }
    }
    for (crash_exchange& exchange : it.exchanges)
    {
        CHECK(exchange.take_verdicts().empty());
    }
}

// The case in which that was found: a bad request, a lost rack and lost messages.
TEST_CASE("a good hot request beside a bad one is not condemned, seed 4018508")
{
    crash_simulation_options options;
    options.seed = 4018508;
    options.gateways = 10;
    options.servers = 40;
    options.good_rate = 150;
    options.hot_rate = 150;
    options.bad_rate = 5;
    options.lost_fraction = 0.05;
    crash_simulation it(options);
    it.run(seconds(10));
    it.lose_servers(15);
    it.run(seconds(10));
    CHECK(it.good().condemned + it.hot().condemned == 0);
}
