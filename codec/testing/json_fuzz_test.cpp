#include "codec/configuration_json.hpp"
#include "codec/json_merge.hpp"
#include "codec/json_text.hpp"
#include "codec/messages_json.hpp"
#include "codec/shard_record_json.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

std::string any_name()
{
    return *rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

epoch any_epoch(std::uint64_t most = ~std::uint64_t(0))
{
    return epoch{*rc::gen::inRange<std::uint64_t>(0, most)};
}

shard_record any_record()
{
    shard_record record;
    record.shard = shard_id(any_name());
    record.version = epoch{*rc::gen::arbitrary<std::uint64_t>()};
    record.assigner = instance_id(any_name());
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
    {
        server_id id("s" + std::to_string(9 - n));
        record.servers.push_back({id,
                                  endpoint(any_name()),
                                  *rc::gen::arbitrary<bool>(),
                                  instance_id(any_name()),
                                  endpoint(any_name()),
                                  any_epoch(record.version.value)});
    }
    auto cuts = *rc::gen::arbitrary<std::vector<std::uint64_t>>();
    std::sort(cuts.begin(), cuts.end());
    cuts.erase(std::unique(cuts.begin(), cuts.end()), cuts.end());
    std::uint64_t first = 0;
    for (std::uint64_t last : cuts)
    {
        record.partitions.push_back(
            {{{first}, {last}}, {}, any_epoch(record.version.value), {}});
        first = last + 1;
    }
    if (first != 0 || cuts.empty())
    {
        record.partitions.push_back({{{first}, hash_range().last}, {}, {}, {}});
    }
    record.voters.push_back({instance_id(any_name()), endpoint(any_name())});
    return record;
}

report_params any_report()
{
    report_params report;
    report.router = instance_id(any_name());
    report.config = config_version{*rc::gen::arbitrary<std::uint64_t>()};
    report.period = milliseconds(*rc::gen::inRange(0, 10000));
    shard_status status{shard_id(any_name()), any_epoch(), {}, {}, {}};
    status.servers.push_back(
        {server_id(any_name()), server_condition::lost, any_epoch().value, 1, 2, 3, {}});
    status.released_partitions.push_back({{{3}, {any_epoch().value | 3}}, any_epoch()});
    status.load.push_back({{}, seconds(7), {{key_hash{any_epoch().value}, seconds(1)}}});
    report.shards.push_back(status);
    return report;
}

// Reads the text as each kind of input that arrives from outside the process.
void read_as_all(const std::string& text)
{
    (void)parse_configuration(text);
    (void)parse_shard_record(text);
    result<Json::Value> value = parse_json(text);
    if (value)
    {
        (void)read_message<lease_vote_answer>(value.value());
        (void)read_message<update_params>(value.value());
        (void)read_message<report_params>(value.value());
        (void)read_message<ownership_params>(value.value());
        (void)patched_configuration({}, {}, value.value());
    }
}

// Replaces one byte, removes a piece, or duplicates a piece.
std::string mutate(std::string text)
{
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    auto size = *rc::gen::inRange<std::size_t>(0, 12);
    switch (*rc::gen::inRange(0, 3))
    {
    case 0:
        text[at] =
            *rc::gen::element('{', '}', '[', ']', '"', '-', '9', '.', '\0', '\x80');
        return text;
    case 1:
        return text.erase(at, size);
    default:
        return text.insert(at, text.substr(at, size));
    }
}

} // namespace

TEST_CASE("documents and messages are unchanged by writing and reading them")
{
    rc::prop("a shard record, with numbers up to 2^64-1",
             []
             {
                 shard_record record = any_record();
                 result<shard_record> read =
                     parse_shard_record(shard_record_text(record));
                 RC_ASSERT(bool(read));
                 RC_ASSERT(read.value() == record);
             });

    rc::prop("a report",
             []
             {
                 report_params report = any_report();
                 std::string text = write_json(write_message(report));
                 RC_ASSERT(
                     read_message<report_params>(parse_json(text).value()).value() ==
                     report);
             });
}

TEST_CASE("malformed input is rejected without a crash", "[fuzz]")
{
    rc::prop("random bytes", [](const std::string& text) { read_as_all(text); });

    rc::prop("a valid document with one change",
             []
             {
                 read_as_all(mutate(shard_record_text(any_record())));
                 read_as_all(mutate(write_json(write_message(any_report()))));
                 read_as_all(mutate(
                     R"({"version":3,"fleet":{"journal_retention_ms":60000},"services":{
                     "valves":{"slots_per_server":3,"servers":{"s1":{"endpoint":
                     "10.0.0.1:80","drain":true}},"long_routes":[{"method":"GET",
                     "prefix":"/pull"}]}}})"));
             });

    SECTION("2^20 levels of nesting")
    {
        read_as_all(std::string(1 << 20, '['));
        read_as_all(std::string(1 << 20, '{'));
    }
}
