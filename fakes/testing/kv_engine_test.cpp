#include "fakes/platform/kv_engine.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using namespace camphorrock::fakes;

namespace
{

const kv_range everything{std::string(1, '\0'), std::string(1, '\0')};

// A reference model of the store.
struct oracle
{
    struct row
    {
        std::string value;
        std::uint64_t revision;
        std::uint64_t lease;

        bool operator==(const row&) const = default;
    };

    std::map<std::string, row> rows;
    std::map<std::uint64_t, time_point> expires_at;
    std::uint64_t revision = 1;

    void end_lease(std::uint64_t lease)
    {
        if (expires_at.erase(lease) == 0)
        {
            return;
        }
        const std::size_t n =
            std::erase_if(rows, [&](const auto& it) { return it.second.lease == lease; });
        revision += n > 0 ? 1 : 0;
    }
};

std::map<std::string, oracle::row> rows_of(const kv_engine& kv)
{
    std::map<std::string, oracle::row> made;
    for (const kv_entry& it : kv.range(everything))
    {
        made[it.key] = {it.value, it.mod_revision, it.lease};
    }
    return made;
}

// Returns the state that results from the changes of a watch from revision 1 on.
std::map<std::string, std::string> replay(const kv_engine& kv)
{
    std::map<std::string, std::string> made;
    const std::optional<std::vector<kv_event>> events = kv.events_since(1, everything);
    RC_ASSERT(events.has_value());
    for (const kv_event& it : *events)
    {
        if (it.type == kv_event_type::deletion)
        {
            made.erase(it.entry.key);
        }
        else
        {
            made[it.entry.key] = it.entry.value;
        }
    }
    return made;
}

// Runs one random compare-and-swap or compare-and-delete on the engine and the model, and
// compares the results.
void write_both(kv_engine& kv, oracle& model, const std::string& key, std::uint64_t lease)
{
    auto it = model.rows.find(key);
    const std::uint64_t held = it == model.rows.end() ? 0 : it->second.revision;
    const std::uint64_t expected = *rc::gen::element(held, held + 1, std::uint64_t{0});
    const bool is_put = *rc::gen::arbitrary<bool>();
    const std::string value = *rc::gen::element<std::string>("", "x", "y");
    kv_operation change{kv_operation_type::put, {key, ""}, value, lease};
    if (!is_put)
    {
        change = {kv_operation_type::deletion, {key, ""}, "", 0};
    }
    kv_operation read;
    read.keys.first = key;
    const kv_transaction_result got =
        kv.run({{{key, kv_compare_target::mod_revision, expected}}, {change}, {read}});
    if (is_put && lease != 0 && !model.expires_at.contains(lease) && expected == held)
    {
        RC_ASSERT(got.is_lease_missing);
        return;
    }
    RC_ASSERT(got.succeeded == (expected == held));
    if (!got.succeeded)
    {
        RC_ASSERT(got.results.at(0).entries.size() == (held == 0 ? 0U : 1U));
        return;
    }
    if (is_put)
    {
        model.rows[key] = {value, ++model.revision, lease};
    }
    else if (held != 0)
    {
        model.rows.erase(key);
        ++model.revision;
    }
}

} // namespace

TEST_CASE("the key-value engine agrees with a reference model")
{
    rc::prop(
        "for any sequence of calls",
        []
        {
            kv_engine kv({});
            oracle model;
            time_point now{};
            const int steps = *rc::gen::inRange(1, 60);
            for (int i = 0; i < steps; ++i)
            {
                now += milliseconds(*rc::gen::inRange(0, 700));
                const auto lease = *rc::gen::inRange<std::uint64_t>(0, 4);
                const std::string key = *rc::gen::element<std::string>("a", "b", "bc");
                switch (*rc::gen::inRange(0, 6))
                {
                case 0:
                    model.expires_at[kv.grant_lease(seconds(1), now)] = now + seconds(1);
                    break;
                case 1:
                    RC_ASSERT(kv.keep_alive(lease, now).has_value() ==
                              model.expires_at.contains(lease));
                    if (model.expires_at.contains(lease))
                    {
                        model.expires_at[lease] = now + seconds(1);
                    }
                    break;
                case 2:
                    RC_ASSERT(kv.revoke_lease(lease) == model.expires_at.contains(lease));
                    model.end_lease(lease);
                    break;
                case 3:
                    kv.expire_leases(now);
                    for (const auto& [id, end] : std::map(model.expires_at))
                    {
                        if (end <= now)
                        {
                            model.end_lease(id);
                        }
                    }
                    break;
                default:
                    write_both(kv, model, key, lease);
                }
                RC_ASSERT(rows_of(kv) == model.rows);
                RC_ASSERT(kv.revision() == model.revision);
            }
            std::map<std::string, std::string> values;
            for (const auto& [key, it] : model.rows)
            {
                values[key] = it.value;
            }
            RC_ASSERT(replay(kv) == values);
        });
}

TEST_CASE("a watch from a compacted revision is refused")
{
    kv_engine kv({.max_events = 2});
    kv_operation put{kv_operation_type::put, {"a", ""}, "x", 0};
    for (int i = 0; i < 4; ++i)
    {
        kv.run({{}, {put}, {}});
    }
    CHECK(kv.revision() == 5);
    CHECK_FALSE(kv.events_since(3, everything));
    CHECK(kv.events_since(4, everything)->size() == 2);
    CHECK(kv.events_since(4, {"b", ""})->empty());
    CHECK(kv.events_since(6, everything)->empty());
}
