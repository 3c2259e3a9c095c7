#include "codec/verdict_codec.hpp"

#include "codec/array_reader.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr std::uint64_t max_crashes = 1000000;

} // namespace

std::string encode_verdicts(const std::vector<stored_verdict>& verdicts)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const stored_verdict& it : verdicts)
    {
        rows.push_back(
            nlohmann::json::array({it.row.fingerprint, it.row.crashes, it.at_ms}));
    }
    return rows.dump();
}

std::vector<stored_verdict> decode_verdicts(std::string_view text)
{
    std::vector<stored_verdict> made;
    const nlohmann::json rows = nlohmann::json::parse(text, nullptr, false);
    if (!rows.is_array())
    {
        return made;
    }
    for (const nlohmann::json& row : rows)
    {
        if (!row.is_array())
        {
            continue;
        }
        array_reader reader(row, 0, duration());
        stored_verdict it;
        it.row.fingerprint = reader.number();
        it.row.crashes = static_cast<unsigned>(std::min(reader.number(), max_crashes));
        it.at_ms = reader.number();
        if (reader.is_complete())
        {
            made.push_back(it);
        }
    }
    return made;
}

} // namespace camphorrock
