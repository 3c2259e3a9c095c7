#include "core/gateway/store/store_watchers.hpp"
#include "testing/test_headers.hpp"

#include <set>

using namespace camphorrock;

namespace
{

// `count` gateways in `zones` data centres; each third one has more processor time.
std::vector<fleet_gateway> make_fleet(unsigned count, unsigned zones)
{
    std::vector<fleet_gateway> fleet;
    for (unsigned n = 0; n < count; ++n)
    {
        fleet_gateway it;
        it.peer = endpoint("10.0." + std::to_string(n / 200) + "." +
                           std::to_string(n % 200 + 1) + ":7000");
        it.zone = data_centre("z" + std::to_string(n % zones));
        it.processor_percent = n / zones % 3 == 0 ? 50 : 10;
        fleet.push_back(it);
    }
    return fleet;
}

} // namespace

TEST_CASE("few gateways of a fleet watch the store, and the others ask them")
{
    for (unsigned count : {1U, 2U, 3U, 9U, 16U, 17U, 90U, 195U, 544U})
    {
        CAPTURE(count);
        const unsigned zones = std::min(count, 6U);
        const std::vector<fleet_gateway> fleet = make_fleet(count, zones);
        std::set<endpoint> watchers;
        for (const fleet_gateway& it : fleet)
        {
            if (watch_sources_of(fleet, it).empty())
            {
                watchers.insert(it.peer);
            }
        }
        const bool is_single_fleet = count <= store_watcher_options().max_single_fleet;
        const std::vector<endpoint> listed = store_watchers_of(fleet);
        CHECK(std::set<endpoint>(listed.begin(), listed.end()) == watchers);
        CHECK(listed.size() == watchers.size());
        CHECK(watchers.size() == std::min(count, is_single_fleet ? 2 : 2 * zones));

        std::map<endpoint, unsigned> preferred_by;
        for (const fleet_gateway& it : fleet)
        {
            const std::vector<endpoint> sources = watch_sources_of(fleet, it);
            for (const endpoint& source : sources)
            {
                // Only a gateway that watches the store itself answers others.
                CHECK(watchers.contains(source));
            }
            if (!sources.empty())
            {
                ++preferred_by[sources.front()];
            }
        }
        for (const auto& [peer, n] : preferred_by)
        {
            // Half of those that ask, and some more by chance.
            const unsigned asking = is_single_fleet ? count : count / zones + 1;
            CHECK(n <= asking * 3 / 4);
        }
    }
}

TEST_CASE("the gateways with the most processor time of the data centre watch the store")
{
    const std::vector<fleet_gateway> fleet = make_fleet(195, 6);
    for (const fleet_gateway& it : fleet)
    {
        for (const endpoint& source : watch_sources_of(fleet, it))
        {
            const auto found = std::find_if(fleet.begin(),
                                            fleet.end(),
                                            [&](const fleet_gateway& other)
                                            { return other.peer == source; });
            CHECK(found->zone == it.zone);
            CHECK(found->processor_percent == 50);
        }
    }
}
