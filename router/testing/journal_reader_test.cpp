#include "codec/journal_codec.hpp"
#include "router/journal_reader.hpp"
#include "router/testing/parts_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::no_store;
using camphorrock::testing::parts_fixture;

namespace
{

const shard_id the_shard("diary");

// A store of which one read at a time is answered, when the test says so.
class paged_store : public no_store
{
public:
    void add(const std::string& router, std::uint64_t number, const journal_batch& batch)
    {
        entries[journal_key(the_shard, instance_id(router), number)] =
            write_journal_batch(batch);
    }

    void get_prefix(const std::string& prefix,
                    const store_page& page,
                    read_callback done) override
    {
        CHECK(prefix == journal_prefix(the_shard));
        asked.push_back(page);
        done_ = std::move(done);
    }

    void answer()
    {
        store_read got;
        got.end = store_end::done;
        for (auto it = entries.upper_bound(asked.back().after); it != entries.end(); ++it)
        {
            got.has_more = got.entries.size() == asked.back().limit;
            if (got.has_more)
            {
                break;
            }
            got.entries.push_back({it->first, it->second, {1}});
        }
        std::exchange(done_, nullptr)(got);
    }

    void fail()
    {
        std::exchange(done_, nullptr)(store_read());
    }

    bool is_waiting() const
    {
        return done_ != nullptr;
    }

    std::map<std::string, std::string> entries;
    std::vector<store_page> asked;

private:
    read_callback done_;
};

journal_batch make_batch(std::uint64_t n, std::size_t payload = 0)
{
    auto bytes = std::make_shared<const std::string>(payload, 'x');
    once_key key{{n}, caller_name("c"), request_id(std::to_string(n))};
    return {1, {finished_entry{key, n, {outcome::ran, 200, bytes}}}};
}

struct reader_fixture : parts_fixture
{
    reader_fixture()
        : parts_fixture(std::make_unique<paged_store>()),
          journals(static_cast<paged_store&>(*store)), reader(parts, the_shard)
    {
    }

    void read()
    {
        is_ended = false;
        reader.read(
            [this](bool is_read, std::vector<stored_batch> got)
            {
                is_ended = true;
                is_whole = is_read;
                batches = std::move(got);
            });
    }

    void answer_all()
    {
        while (journals.is_waiting())
        {
            journals.answer();
        }
    }

    paged_store& journals;
    journal_reader reader;
    bool is_ended = false;
    bool is_whole = false;
    std::vector<stored_batch> batches;
};

} // namespace

TEST_CASE("the journals of a shard are read page by page")
{
    reader_fixture it;

    SECTION("no journal yet")
    {
        it.read();
        it.answer_all();
        CHECK(it.is_ended);
        CHECK(it.is_whole);
        CHECK(it.batches.empty());
    }

    SECTION("a thousand batches of two routers: each of them once, in order")
    {
        for (std::uint64_t n = 0; n < 500; ++n)
        {
            it.journals.add("r1", n, make_batch(n, 700));
            it.journals.add("r2", n, make_batch(n, 700));
        }
        it.read();
        it.answer_all();
        REQUIRE(it.is_whole);
        REQUIRE(it.batches.size() == 1000);
        CHECK(it.batches.front().router == instance_id("r1"));
        CHECK(it.batches[499].number == 499);
        CHECK(it.batches[500].router == instance_id("r2"));
        CHECK(it.batches[500].number == 0);
        CHECK(it.batches[7].batch == make_batch(7, 700));
        CHECK(it.journals.asked.size() > 4); // no page holds most of them

        SECTION("a second reading begins anew")
        {
            it.read();
            it.answer_all();
            CHECK(it.is_whole);
            CHECK(it.batches.size() == 1000);
        }
    }

    SECTION("batches that are large come in pages of few")
    {
        for (std::uint64_t n = 0; n < 100; ++n)
        {
            it.journals.add("r1", n, make_batch(n, 60000));
        }
        it.read();
        it.answer_all();
        CHECK(it.batches.size() == 100);
        CHECK(it.journals.asked.back().limit <= 4);
    }

    SECTION("after a store outage the pages grow again")
    {
        constexpr int failures = 20;
        for (int n = 0; n < failures; ++n)
        {
            it.read();
            it.journals.fail();
        }
        for (std::uint64_t n = 0; n < 1000; ++n)
        {
            it.journals.add("r1", n, make_batch(n));
        }
        it.journals.asked.clear();
        it.read();
        it.answer_all();
        CHECK(it.is_whole);
        CHECK(it.batches.size() == 1000);
        CHECK(it.journals.asked.size() <= 12);
    }

    SECTION("a page that fails ends the reading; the next one asks for smaller pages")
    {
        for (std::uint64_t n = 0; n < 100; ++n)
        {
            it.journals.add("r1", n, make_batch(n));
        }
        it.read();
        it.journals.answer();
        CHECK_FALSE(it.is_ended);
        it.journals.fail();
        CHECK(it.is_ended);
        CHECK_FALSE(it.is_whole);
        it.read();
        it.journals.fail();
        it.read();
        CHECK(it.journals.asked.back().limit < it.journals.asked.front().limit);
        it.answer_all();
        CHECK(it.is_whole);
        CHECK(it.batches.size() == 100);
    }

    SECTION("a batch that cannot be read")
    {
        it.journals.add("r1", 0, make_batch(0));
        it.journals.entries[journal_key(the_shard, instance_id("r1"), 1)] = "?";
        it.read();
        it.answer_all();
        CHECK(it.is_ended);
        CHECK_FALSE(it.is_whole);
    }
}
