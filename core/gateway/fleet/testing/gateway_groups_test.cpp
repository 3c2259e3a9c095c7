#include "core/gateway/fleet/gateway_groups.hpp"
#include "testing/test_headers.hpp"

#include <deque>
#include <map>

using namespace camphorrock;

namespace
{

const char* const zones[] = {"a", "b", "c", "d"};

std::vector<fleet_gateway> fleet_of(std::size_t n)
{
    std::vector<fleet_gateway> made;
    for (std::size_t i = 0; i < n; ++i)
    {
        made.push_back({endpoint("10.0.0." + std::to_string(i) + ":1"),
                        data_centre(zones[i % std::size(zones)]),
                        100});
    }
    return made;
}

// Servers, distributed over all data centres.
struct server_list
{
    explicit server_list(std::size_t n)
    {
        for (std::size_t i = 0; i < n; ++i)
        {
            add("i-" + std::to_string(i), zones[i % std::size(zones)]);
        }
    }

    void add(const std::string& id, const char* zone)
    {
        known_server made;
        made.entry.id = server_id(id);
        made.entry.zone = data_centre(zone);
        rows.push_back(made);
    }

    std::vector<const known_server*> all() const
    {
        std::vector<const known_server*> list;
        for (const known_server& it : rows)
        {
            list.push_back(&it);
        }
        return list;
    }

    std::deque<known_server> rows;
};

} // namespace

TEST_CASE("a small fleet is one group that has all servers")
{
    const std::vector<fleet_gateway> fleet = fleet_of(9);
    const gateway_groups it = gateway_groups::create(fleet, fleet[4]);
    CHECK(it.is_single_group());
    CHECK(it.members().size() == 9);
    CHECK(it.in_group_servers(server_list(32).all()).size() == 32);
}

TEST_CASE("in a large fleet, the servers of a data centre are divided among its groups")
{
    const std::vector<fleet_gateway> fleet = fleet_of(90);
    const server_list servers(116);
    std::map<server_id, std::set<endpoint>> users;
    for (const fleet_gateway& self : fleet)
    {
        const gateway_groups it = gateway_groups::create(fleet, self);
        CHECK(it.members().size() <= 12);
        CHECK(it.members().size() >= 10);
        CHECK(std::count(it.members().begin(), it.members().end(), self.peer) == 1);
        const std::set<server_id> in_group = it.in_group_servers(servers.all());
        CHECK(in_group.size() >= 14);
        CHECK(in_group.size() <= 15);
        for (const known_server& server : servers.rows)
        {
            if (in_group.contains(server.entry.id))
            {
                CHECK(server.entry.zone == self.zone);
                users[server.entry.id].insert(self.peer);
            }
        }
    }

    SECTION("each server is assigned to one whole group")
    {
        CHECK(users.size() == servers.rows.size());
        for (const auto& [server, peers] : users)
        {
            CHECK(peers.size() >= 10);
            CHECK(peers.size() <= 12);
        }
    }
    SECTION("a new server reassigns few others")
    {
        server_list more = servers;
        more.add("i-new", "a");
        const gateway_groups it = gateway_groups::create(fleet, fleet[0]);
        const std::set<server_id> before = it.in_group_servers(servers.all());
        const std::set<server_id> after = it.in_group_servers(more.all());
        std::size_t kept = 0;
        for (const server_id& id : before)
        {
            kept += after.contains(id) ? 1 : 0;
        }
        CHECK(kept + 3 >= before.size());
    }
}

TEST_CASE("the fleet hash depends on the members, not on their order")
{
    std::vector<fleet_gateway> fleet = fleet_of(5);
    const std::uint64_t hash = fleet_hash(fleet);
    std::swap(fleet[0], fleet[3]);
    CHECK(fleet_hash(fleet) == hash);
    fleet.pop_back();
    CHECK(fleet_hash(fleet) != hash);
}
