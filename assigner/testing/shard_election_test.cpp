#include "assigner/shard_election.hpp"
#include "core/ownership/record_keys.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using trompeloeil::_;

namespace
{

const shard_id shard("valves");
const store_lease earlier_lease{7};
const store_lease current_lease{8};

struct store_mock : store_client
{
    MAKE_MOCK2(get, void(const std::string&, read_callback), override);
    MAKE_MOCK3(get_prefix,
               void(const std::string&, const store_page&, read_callback),
               override);
    MAKE_MOCK5(compare_and_swap,
               void(const std::string&,
                    store_revision,
                    std::string,
                    store_lease,
                    write_callback),
               override);
    MAKE_MOCK3(compare_and_delete,
               void(const std::string&, store_revision, write_callback),
               override);
    MAKE_MOCK2(grant_lease, void(duration, lease_callback), override);
    MAKE_MOCK2(keep_alive, void(store_lease, lease_callback), override);
    MAKE_MOCK2(revoke_lease, void(store_lease, lease_callback), override);
    MAKE_MOCK3(watch,
               watch_handle(const std::string&, watch_start, watch_callback),
               override);
};

class quiet_log : public event_log
{
    void write(event_id, std::initializer_list<field>) override {}
};

// The assigner a1, which has just acquired lease 8.
struct election_fixture
{
    election_fixture()
    {
        settings.id = instance_id("a1");
        ALLOW_CALL(store, grant_lease(_, _))
            .SIDE_EFFECT(
                _2(store_lease_grant{store_end::done, current_lease, seconds(1)}));
        lease.start();
    }

    // Makes an attempt that the store answers with `got`.
    void answer(const store_write& got)
    {
        REQUIRE_CALL(store,
                     compare_and_swap(
                         lease_key(shard), store_revision{}, "a1 8", current_lease, _))
            .SIDE_EFFECT(_5(got));
        election.attempt();
    }

    static store_write held_by(const std::string& value)
    {
        return {store_end::conflict, {}, store_entry{lease_key(shard), value, {40}}};
    }

    assigner_settings settings;
    std::unique_ptr<event_loop> loop = event_loop::create().value();
    std::unique_ptr<http_client> http = http_client::create(*loop, {}).value();
    rpc_client rpc{*http};
    store_mock store;
    quiet_log log;
    metrics_registry metrics;
    std::mt19937_64 random{1};
    assigner_context context{settings, *loop, rpc, store, log, metrics, random, {}, {}};
    lease_keeper lease{context, [] {
                       }};
    int changes = 0;
    shard_election election{context,
                            lease,
                            shard,
                            [this](bool)
                            {
                                ++changes;
                            }};
};

} // namespace

TEST_CASE("an assigner holds a shard only with its lease key")
{
    election_fixture fixture;

    SECTION("an assigner that creates the key holds the shard")
    {
        fixture.answer({store_end::done, {41}, {}});
        CHECK(fixture.election.is_held());

        SECTION("a deleted key ends the hold, and the assigner tries to create it again")
        {
            REQUIRE_CALL(fixture.store, compare_and_swap(_, _, _, _, _));
            fixture.election.key_deleted();
            CHECK_FALSE(fixture.election.is_held());
            CHECK(fixture.changes == 2);
        }
    }
    SECTION("a withdrawn assigner deletes its key and makes no attempt until it rejoins")
    {
        REQUIRE_CALL(fixture.store,
                     compare_and_delete(lease_key(shard), store_revision{42}, _));
        SECTION("withdrawn while the attempt is in flight")
        {
            store_client::write_callback done;
            REQUIRE_CALL(fixture.store, compare_and_swap(_, _, _, _, _))
                .LR_SIDE_EFFECT(done = _5);
            fixture.election.attempt();
            fixture.election.withdraw();
            done({store_end::done, {42}, {}});
        }
        SECTION("withdrawn after it has acquired the key")
        {
            fixture.answer({store_end::done, {42}, {}});
            fixture.election.withdraw();
        }
        CHECK_FALSE(fixture.election.is_held());
        CHECK(fixture.changes == 2);
        fixture.election.key_deleted(); // no call to the store
        fixture.election.rejoin();
        fixture.answer({store_end::done, {43}, {}});
        CHECK(fixture.election.is_held());
    }
    SECTION("an assigner whose reply was lost holds the shard when it finds its key")
    {
        fixture.answer({store_end::unknown, {}, {}});
        CHECK_FALSE(fixture.election.is_held());
        fixture.answer(election_fixture::held_by("a1 8"));
        CHECK(fixture.election.is_held());
    }
    SECTION("a key of this assigner's earlier lease does not count as held")
    {
        fixture.answer(
            election_fixture::held_by("a1 " + std::to_string(earlier_lease.value)));
        CHECK_FALSE(fixture.election.is_held());
    }
    SECTION("a key of another assigner does not count as held, and names the holder")
    {
        fixture.answer(election_fixture::held_by("a2 8"));
        CHECK_FALSE(fixture.election.is_held());
        CHECK(fixture.election.holder() == instance_id("a2"));
    }
}
