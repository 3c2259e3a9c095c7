#include "load/ownership_check.hpp"
#include "testing/test_headers.hpp"

#include <set>

using namespace camphorrock;

namespace
{

constexpr history_time last_time = 40;
constexpr std::uint64_t last_hash = 5;

// Computes the owners of a hash at a time directly from the records: a grant holds until
// it lapses, or until a later revocation of its epoch or a higher one.
std::set<server_id> owners_at(const std::vector<grant_record>& grants,
                              const std::vector<revoke_record>& revokes,
                              key_hash at,
                              history_time now)
{
    std::set<server_id> owners;
    for (const grant_record& grant : grants)
    {
        bool is_revoked = std::any_of(revokes.begin(),
                                      revokes.end(),
                                      [&](const revoke_record& it)
                                      {
                                          return it.server == grant.server &&
                                                 it.partition.contains(at) &&
                                                 grant.since <= it.since &&
                                                 grant.at < it.at && it.at <= now;
                                      });
        if (grant.partition.contains(at) && grant.at <= now && now < grant.until &&
            !is_revoked)
        {
            owners.insert(grant.server);
        }
    }
    return owners;
}

std::set<server_id>
owners_in(const std::vector<ownership_span>& spans, key_hash at, history_time now)
{
    std::set<server_id> owners;
    for (const ownership_span& it : spans)
    {
        if (it.partition.contains(at) && it.from <= now && now < it.until)
        {
            owners.insert(it.server);
        }
    }
    return owners;
}

rc::Gen<hash_range> any_range()
{
    return rc::gen::map(rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, last_hash + 1),
                                      rc::gen::inRange<std::uint64_t>(0, last_hash + 1)),
                        [](std::pair<std::uint64_t, std::uint64_t> it) {
                            return hash_range{{std::min(it.first, it.second)},
                                              {std::max(it.first, it.second)}};
                        });
}

server_id any_server()
{
    return server_id(std::string(1, *rc::gen::element('a', 'b')));
}

} // namespace

TEST_CASE("find_two_owners agrees with a direct evaluation of the records")
{
    rc::prop(
        "the spans have the same owners as the records at every time and hash",
        []
        {
            std::vector<grant_record> grants;
            std::vector<revoke_record> revokes;
            auto count = *rc::gen::inRange(0, 7);
            for (int n = 0; n < count; ++n)
            {
                // The times are distinct, so the order of the records is unambiguous.
                history_time at = 1 + static_cast<history_time>(n) * 3;
                shard_id shard("valves");
                epoch since{*rc::gen::inRange<std::uint64_t>(1, 3)};
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    revokes.push_back({at, any_server(), shard, *any_range(), since});
                    continue;
                }
                history_time until = at + *rc::gen::inRange<history_time>(1, 20);
                grants.push_back({at, until, any_server(), shard, *any_range(), since});
            }
            std::vector<ownership_span> spans = ownership_spans(grants, revokes);
            bool has_two_owners = false;
            for (history_time now = 0; now <= last_time; ++now)
            {
                for (key_hash at; at.value <= last_hash; ++at.value)
                {
                    auto owners = owners_at(grants, revokes, at, now);
                    RC_ASSERT(owners_in(spans, at, now) == owners);
                    has_two_owners = has_two_owners || owners.size() > 1;
                }
            }
            RC_ASSERT(find_two_owners(spans).empty() == !has_two_owners);
        });
}
