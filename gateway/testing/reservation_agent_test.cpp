#include "gateway/reservation_agent.hpp"
#include "net/testing/run_until.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

// A fleet of gateways whose datagrams are delivered by the test.
struct agent_fixture
{
    explicit agent_fixture(int n) : loop(event_loop::create().value())
    {
        for (int at = 0; at < n; ++at)
        {
            const endpoint peer("10.0.0." + std::to_string(at) + ":1");
            fleet.push_back({peer, data_centre("z"), 100});
        }
        for (const fleet_gateway& it : fleet)
        {
            settings.push_back(std::make_unique<gateway_settings>());
            settings.back()->peer = it.peer;
            settings.back()->zone = it.zone;
            states.push_back(
                std::make_unique<gateway_state>(*settings.back(), states.size() + 1));
            states.back()->set_gateways(fleet);
            agents.push_back(std::make_unique<reservation_agent>(
                *loop,
                *states.back(),
                [this](const endpoint& to, std::string_view datagram)
                { deliver(to, std::string(datagram)); }));
        }
    }

    void deliver(const endpoint& to, const std::string& datagram)
    {
        ++sent;
        for (std::size_t n = 0; n < fleet.size(); ++n)
        {
            if (fleet[n].peer == to && to != silent)
            {
                loop->post([this, n, datagram] { agents[n]->on_datagram(datagram); });
            }
        }
    }

    // Reserves for the gateway at that index, and waits for the result.
    std::optional<unsigned> reserve(std::size_t at)
    {
        bool is_done = false;
        std::optional<unsigned> requests;
        const std::optional<reservation> made =
            agents[at]->reserve(owner,
                                [&](std::optional<unsigned> got)
                                {
                                    is_done = true;
                                    requests = got;
                                });
        REQUIRE(made);
        held.push_back(*made);
        testing::run_until(*loop, [&] { return is_done; });
        return requests;
    }

    std::unique_ptr<event_loop> loop;
    std::vector<fleet_gateway> fleet;
    std::vector<std::unique_ptr<gateway_settings>> settings;
    std::vector<std::unique_ptr<gateway_state>> states;
    std::vector<std::unique_ptr<reservation_agent>> agents;
    std::vector<reservation> held;
    endpoint silent; // gets no datagrams; empty: none
    unsigned sent = 0;
    const server_id owner{"owner"};
};

} // namespace

TEST_CASE("all gateways of a large fleet see one count of an owner's requests")
{
    agent_fixture it(20);
    for (std::size_t n = 0; n < 20; ++n)
    {
        CHECK(it.reserve(n) == n);
    }
    it.agents[3]->release(it.held[3]);
    it.agents[8]->release(it.held[8]);
    CHECK(it.reserve(3) == 18);

    SECTION("a reservation that was released before its reply gets none")
    {
        bool is_called = false;
        const auto made =
            it.agents[5]->reserve(it.owner, [&](auto) { is_called = true; });
        it.agents[5]->release(*made);
        CHECK(it.reserve(6) == 19);
        CHECK_FALSE(is_called);
    }
}

TEST_CASE("without a reply the request goes on, and another gateway counts")
{
    agent_fixture it(20);
    it.silent = ranked_gateways_of(it.fleet, it.owner.str(), 1).front();
    const std::size_t asking = it.fleet[0].peer == it.silent ? 1 : 0;
    CHECK_FALSE(it.reserve(asking));
    CHECK(it.reserve(asking) == 0);
    CHECK(it.reserve(asking) == 1);
}

TEST_CASE("in a fleet that is one group, nothing is reserved")
{
    agent_fixture it(9);
    CHECK_FALSE(it.agents[0]->reserve(it.owner, [](auto) {}));
    CHECK(it.sent == 0);
}
