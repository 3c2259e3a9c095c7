#include "core/gateway/owners/grant_notice.hpp"
#include "core/gateway/owners/testing/assigner_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

// Five owners of one range each. A notice needs four of them.
struct check_fixture
{
    check_fixture()
    {
        record.version = {1, 1};
        service_key_ranges& row = record.services.emplace_back();
        row.service = valves;
        for (unsigned n = 0; n < 5; ++n)
        {
            assigned_key_range range;
            range.keys = {n * 1000, n * 1000 + 999};
            range.owner = server_id("s" + std::to_string(n));
            range.incarnation.started_ms = 1;
            range.grant_epoch = epoch{10 + n};
            row.key_ranges.push_back(range);
            list(n, 1);
        }
    }

    void list(unsigned n, std::uint64_t incarnation)
    {
        listed_server made;
        made.id = server_id("s" + std::to_string(n));
        made.incarnation.started_ms = incarnation;
        made.service = valves;
        servers.put(made, start);
    }

    const assigned_key_range& range(unsigned n) const
    {
        return record.services[0].key_ranges[n];
    }

    time_point start{seconds(100)};
    time_point orders_end = start + seconds(1);
    time_point later = start + seconds(4);
    server_directory servers;
    key_assignment record;
};

} // namespace

// Guards against two owners of a key: a long grant of a killed assigner is taken for
// impossible although it was announced to enough owners.
TEST_CASE("owners that accept the record's epochs exclude a notice of long grants")
{
    check_fixture fixture;
    notice_check check(fixture.record);
    auto accept = [&](unsigned n, time_point sent_at)
    {
        check.accepted(valves, fixture.range(n), sent_at);
    };
    auto is_excluded = [&]
    {
        return check.excludes_notice(fixture.orders_end, fixture.servers, fixture.later);
    };
    accept(0, fixture.start + seconds(2));
    CHECK_FALSE(is_excluded());

    SECTION("once two of five have")
    {
        accept(2, fixture.start + seconds(2));
        CHECK(is_excluded());
    }
    SECTION("but not with an order to which a notice may still have followed")
    {
        accept(2, fixture.orders_end - milliseconds(1));
        CHECK_FALSE(is_excluded());
    }
    SECTION("but not with a grant of another epoch, or of a part of the range")
    {
        assigned_key_range other = fixture.range(2);
        ++other.grant_epoch.value;
        check.accepted(valves, other, fixture.start + seconds(2));
        assigned_key_range part = fixture.range(2);
        --part.keys.last;
        check.accepted(valves, part, fixture.start + seconds(2));
        CHECK_FALSE(is_excluded());
    }
    SECTION("but not with a server that has started again and forgotten epochs")
    {
        accept(2, fixture.start + seconds(2));
        fixture.list(2, 2);
        CHECK_FALSE(is_excluded());
    }
    SECTION("also with one that has left since")
    {
        accept(2, fixture.start + seconds(2));
        fixture.servers.remove(server_id("s2"), {}, fixture.later);
        CHECK(is_excluded());
    }
    SECTION("but not while such a start may not be known yet")
    {
        accept(2, fixture.later - registration_time + milliseconds(1));
        CHECK_FALSE(is_excluded());
    }
    SECTION("but not with one range of an owner that has several")
    {
        fixture.record.services[0].key_ranges[3].owner = fixture.range(2).owner;
        notice_check other(fixture.record);
        for (unsigned n : {0U, 2U})
        {
            other.accepted(valves, fixture.range(n), fixture.start + seconds(2));
        }
        CHECK_FALSE(
            other.excludes_notice(fixture.orders_end, fixture.servers, fixture.later));
    }
}

TEST_CASE("a notice is complete once two thirds of the owners have accepted it")
{
    check_fixture fixture;
    const std::set<owner_incarnation> owners = owners_of(fixture.record);
    grant_notice notice;
    notice.begin(epoch{20});
    auto accept = [&](unsigned n, std::uint64_t at)
    {
        notice.accepted({fixture.range(n).owner, fixture.range(n).incarnation},
                        epoch{at});
    };
    accept(0, 20);
    accept(1, 21);
    accept(3, 20);
    accept(2, 19);
    CHECK_FALSE(notice.is_complete(owners));
    accept(2, 20);
    CHECK(notice.is_complete(owners));

    SECTION("and another one has to be accepted again")
    {
        notice.end();
        notice.begin(epoch{30});
        CHECK_FALSE(notice.is_complete(owners));
    }
}

TEST_CASE("a notice and its exclusion need owners of which they share a fifth or more")
{
    for (std::size_t n = 1; n < 600; ++n)
    {
        CHECK(5 * (notice_quorum(n) + exclusion_quorum(n) - n) >= n);
        CHECK(notice_quorum(n) <= n);
        CHECK(exclusion_quorum(n) <= n);
    }
}
