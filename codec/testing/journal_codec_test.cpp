#include "codec/journal_codec.hpp"
#include "codec/json_scalars.hpp"
#include "codec/json_text.hpp"
#include "testing/test_headers.hpp"

#include <chrono>
#include <iostream>

using namespace camphorrock;

namespace
{

once_key any_key()
{
    return {{*rc::gen::arbitrary<std::uint64_t>()},
            caller_name(*rc::gen::arbitrary<std::string>()),
            request_id(*rc::gen::arbitrary<std::string>())};
}

hash_range any_range()
{
    auto one = *rc::gen::arbitrary<std::uint64_t>();
    auto other = *rc::gen::arbitrary<std::uint64_t>();
    return {{std::min(one, other)}, {std::max(one, other)}};
}

journal_entry any_entry()
{
    auto number = *rc::gen::arbitrary<std::uint64_t>();
    switch (*rc::gen::inRange(0, 5))
    {
    case 0:
        return admitted_entry{any_key(), number, epoch{~number}};
    case 1:
        return finished_entry{any_key(), number, {outcome::not_run, 0, nullptr}};
    case 2:
    {
        auto bytes = *rc::gen::arbitrary<std::string>();
        auto kept = std::make_shared<const std::string>(bytes);
        return finished_entry{any_key(), number, {outcome::ran, 200, kept}};
    }
    case 3:
        return claimed_entry{any_range(), epoch{number}};
    default:
        return fenced_entry{any_range(), epoch{number}};
    }
}

journal_batch any_batch()
{
    journal_batch batch{*rc::gen::arbitrary<std::uint64_t>(), {}};
    for (int n = *rc::gen::inRange(0, 8); n > 0; --n)
    {
        batch.entries.push_back(any_entry());
    }
    return batch;
}

// Writes the same fields as JSON, to compare size and speed.
std::string as_json(const journal_batch& batch)
{
    Json::Value rows(Json::arrayValue);
    rows.append(write_scalar(batch.writer));
    for (const journal_entry& it : batch.entries)
    {
        const auto& entry = std::get<admitted_entry>(it);
        Json::Value row(Json::arrayValue);
        row.append(0);
        row.append(write_scalar(entry.key.at));
        row.append(write_scalar(entry.key.caller));
        row.append(write_scalar(entry.key.id));
        row.append(write_scalar(key_hash{entry.fingerprint}));
        row.append(write_scalar(entry.since));
        rows.append(row);
    }
    return write_json(rows);
}

template<class Work>
double ns_per_call(Work&& work)
{
    constexpr int calls = 400;
    auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < calls; ++n)
    {
        work();
    }
    std::chrono::duration<double, std::nano> taken =
        std::chrono::steady_clock::now() - start;
    return taken.count() / calls;
}

} // namespace

TEST_CASE("a journal batch is unchanged by writing and reading it")
{
    rc::prop("for any entries",
             []
             {
                 journal_batch batch = any_batch();
                 result<journal_batch> read =
                     read_journal_batch(write_journal_batch(batch));
                 RC_ASSERT(bool(read));
                 RC_ASSERT(read.value() == batch);
             });
}

TEST_CASE("bytes that are not a journal batch are rejected", "[fuzz]")
{
    rc::prop("random bytes do not crash the reader",
             [](const std::string& bytes) { (void)read_journal_batch(bytes); });

    rc::prop("a batch with one byte changed is rejected, or read as a valid batch",
             []
             {
                 std::string bytes = write_journal_batch(any_batch());
                 auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                 bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
                 result<journal_batch> read = read_journal_batch(bytes);
                 if (read)
                 {
                     journal_batch again =
                         read_journal_batch(write_journal_batch(read.value())).value();
                     RC_ASSERT(again == read.value());
                 }
             });

    SECTION("2^20 nested arrays do not exhaust the stack")
    {
        constexpr char array_of_one = '\x91';
        CHECK_FALSE(read_journal_batch(std::string(1 << 20, array_of_one)));
    }
}

TEST_CASE("a journal key contains its shard, router and number")
{
    shard_id shard("valves");
    std::string key = journal_key(shard, instance_id("r/1"), 0x1f);

    CHECK(key == "/camphorrock/journal/valves/r/1/000000000000001f");
    stored_batch found = parse_journal_key(shard, key).value();
    CHECK(found.router == instance_id("r/1"));
    CHECK(found.number == 0x1f);
    CHECK_FALSE(parse_journal_key(shard_id("valve"), key));
    CHECK_FALSE(parse_journal_key(shard, journal_prefix(shard) + "000000000000001f"));
    CHECK_FALSE(parse_journal_key(shard, journal_prefix(shard) + "r1/000000000000001g"));
}

TEST_CASE("size and speed of the journal's codec", "[.][bench]")
{
    for (std::size_t count : {1, 16, 256})
    {
        journal_batch batch{~std::uint64_t(0) / 3, {}};
        for (std::size_t n = 0; n < count; ++n)
        {
            // Has the length of a UUID.
            std::string id =
                "6f1d3a52-8c0e-4b7a-9f21-" + std::to_string(100000000000 + n);
            once_key key{hash_key(id), caller_name("insurer-north"), request_id(id)};
            batch.entries.push_back(
                admitted_entry{key, hash_key("POST").value, epoch{123456}});
        }
        std::string packed = write_journal_batch(batch);
        std::string text = as_json(batch);
        std::cout << count << " ids: MessagePack " << packed.size() << " bytes, write "
                  << ns_per_call([&] { (void)write_journal_batch(batch); })
                  << " ns, read "
                  << ns_per_call([&] { (void)read_journal_batch(packed); })
                  << " ns; JSON " << text.size() << " bytes, write "
                  << ns_per_call([&] { (void)as_json(batch); }) << " ns, parse "
                  << ns_per_call([&] { (void)parse_json(text); }) << " ns\n";
    }
    auto answer = std::make_shared<const std::string>(300, 'x');
    std::string id(36, 'i');
    finished_entry finished{{{1ull << 63}, caller_name("insurer-north"), request_id(id)},
                            1ull << 63,
                            {outcome::ran, 200, answer}};
    std::cout << "an outcome with an answer of 300 bytes: "
              << write_journal_batch({1, {finished}}).size() << " bytes\n";
}
