#include "codec/journal_codec.hpp"
#include "router/journal_reader.hpp"
#include "router/testing/context_fixture.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::context_fixture;
using camphorrock::testing::null_store;

namespace
{

const shard_id test_shard("diary");

// A store that holds journals. A read is answered only when the test calls answer() or
// fail(). At most one read may be pending.
class paged_store : public null_store
{
public:
    void add(const std::string& router, std::uint64_t number, const journal_batch& batch)
    {
        entries[journal_key(test_shard, instance_id(router), number)] =
            write_journal_batch(batch);
    }

    void get_prefix(const std::string& prefix,
                    const store_page& page,
                    read_callback done) override
    {
        CHECK(prefix == journal_prefix(test_shard));
        requested_pages.push_back(page);
        done_ = std::move(done);
    }

    void answer()
    {
        store_read got;
        got.end = store_end::done;
        for (auto it = entries.upper_bound(requested_pages.back().after);
             it != entries.end();
             ++it)
        {
            got.has_more = got.entries.size() == requested_pages.back().limit;
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

    bool is_read_pending() const
    {
        return done_ != nullptr;
    }

    std::map<std::string, std::string> entries;
    std::vector<store_page> requested_pages;

private:
    read_callback done_;
};

journal_batch make_batch(std::uint64_t n, std::size_t payload = 0)
{
    auto bytes = std::make_shared<const std::string>(payload, 'x');
    once_key key{{n}, caller_name("c"), request_id(std::to_string(n))};
    return {1, {finished_entry{key, n, {outcome::ran, 200, bytes}}}};
}

struct reader_fixture : context_fixture
{
    reader_fixture()
        : context_fixture(std::make_unique<paged_store>()),
          journals(static_cast<paged_store&>(*store)), reader(context, test_shard)
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
        while (journals.is_read_pending())
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

TEST_CASE("journal_reader reads all journals of a shard page by page")
{
    reader_fixture it;

    SECTION("without any journal, the read succeeds and returns no batch")
    {
        it.read();
        it.answer_all();
        CHECK(it.is_ended);
        CHECK(it.is_whole);
        CHECK(it.batches.empty());
    }

    SECTION("1000 batches of two routers are each returned once and in order")
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
        // No single page holds most of the batches.
        CHECK(it.journals.requested_pages.size() > 4);

        SECTION("a second read starts again with the first batch")
        {
            it.read();
            it.answer_all();
            CHECK(it.is_whole);
            CHECK(it.batches.size() == 1000);
        }
    }

    SECTION("large batches are requested in pages of few batches")
    {
        for (std::uint64_t n = 0; n < 100; ++n)
        {
            it.journals.add("r1", n, make_batch(n, 60000));
        }
        it.read();
        it.answer_all();
        CHECK(it.batches.size() == 100);
        CHECK(it.journals.requested_pages.back().limit <= 4);
    }

    SECTION("after a store outage, the page limit grows again")
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
        it.journals.requested_pages.clear();
        it.read();
        it.answer_all();
        CHECK(it.is_whole);
        CHECK(it.batches.size() == 1000);
        CHECK(it.journals.requested_pages.size() <= 12);
    }

    SECTION("a failed page fails the read, and the next read requests smaller pages")
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
        CHECK(it.journals.requested_pages.back().limit <
              it.journals.requested_pages.front().limit);
        it.answer_all();
        CHECK(it.is_whole);
        CHECK(it.batches.size() == 100);
    }

    SECTION("a batch that cannot be parsed fails the read")
    {
        it.journals.add("r1", 0, make_batch(0));
        it.journals.entries[journal_key(test_shard, instance_id("r1"), 1)] = "?";
        it.read();
        it.answer_all();
        CHECK(it.is_ended);
        CHECK_FALSE(it.is_whole);
    }
}
