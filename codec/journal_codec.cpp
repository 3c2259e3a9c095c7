#include "codec/journal_codec.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_depth = 2; // the batch's array and an entry's array

// The first field of a stored entry. Stored batches hold these numbers: keep the order.
enum entry_kind : unsigned
{
    kind_admitted,
    kind_finished,
    kind_claimed,
    kind_released,
    kind_fenced,
};

json key_fields(entry_kind kind, const once_key& key)
{
    return json::array({kind, key.at.value, key.caller.str(), key.id.str()});
}

json write(const admitted_entry& it)
{
    json row = key_fields(kind_admitted, it.key);
    row.push_back(it.fingerprint);
    row.push_back(it.since.value);
    return row;
}

json write(const finished_entry& it)
{
    json row = key_fields(kind_finished, it.key);
    row.push_back(it.fingerprint);
    row.push_back(static_cast<unsigned>(it.result.end));
    row.push_back(it.result.status);
    if (it.result.payload)
    {
        const std::string& bytes = *it.result.payload;
        row.push_back(json::binary({bytes.begin(), bytes.end()}));
    }
    return row;
}

json range_fields(entry_kind kind, const hash_range& range, epoch since)
{
    return json::array({kind, range.first.value, range.last.value, since.value});
}

json write(const claimed_entry& it)
{
    return range_fields(kind_claimed, it.range, it.since);
}

json write(const released_entry& it)
{
    return range_fields(kind_released, it.range, it.since);
}

json write(const fenced_entry& it)
{
    return range_fields(kind_fenced, it.range, it.since);
}

// Rejects objects, and arrays nested deeper than those of a batch, so that malformed
// input cannot exhaust the stack.
class bounded_parser : public nlohmann::detail::json_sax_dom_parser<json>
{
public:
    explicit bounded_parser(json& root) : json_sax_dom_parser(root, false) {}

    bool start_array(std::size_t size)
    {
        ++depth_;
        return depth_ <= max_depth && json_sax_dom_parser::start_array(size);
    }

    bool end_array()
    {
        --depth_;
        return json_sax_dom_parser::end_array();
    }

    bool start_object(std::size_t)
    {
        return false;
    }

private:
    std::size_t depth_ = 0;
};

// Reads the fields of one entry in order. A missing field or one of the wrong type sets
// an error that is_complete() reports; the value read is then empty or 0.
class field_reader
{
public:
    explicit field_reader(json& row) : row_(row) {}

    std::uint64_t number()
    {
        json* field = next();
        if (field == nullptr || !field->is_number_unsigned())
        {
            has_error_ = true;
            return 0;
        }
        return field->get<std::uint64_t>();
    }

    std::string text()
    {
        json* field = next();
        if (field == nullptr || !field->is_string())
        {
            has_error_ = true;
            return {};
        }
        return std::move(field->get_ref<std::string&>());
    }

    // Reads the last field, which is optional. Null if it is absent.
    std::shared_ptr<const std::string> optional_bytes()
    {
        if (next_index_ == row_.size())
        {
            return nullptr;
        }
        json* field = next();
        if (!field->is_binary())
        {
            has_error_ = true;
            return nullptr;
        }
        const auto& found = field->get_binary();
        return std::make_shared<const std::string>(found.begin(), found.end());
    }

    // True if all fields were read and each had its type.
    bool is_complete() const
    {
        return !has_error_ && next_index_ == row_.size();
    }

private:
    json* next()
    {
        return next_index_ < row_.size() ? &row_[next_index_++] : nullptr;
    }

    json& row_;
    std::size_t next_index_ = 0;
    bool has_error_ = false;
};

once_key read_key(field_reader& in)
{
    key_hash at{in.number()};
    caller_name caller(in.text());
    return {at, std::move(caller), request_id(in.text())};
}

admitted_entry read_admitted(field_reader& in)
{
    once_key key = read_key(in);
    std::uint64_t fingerprint = in.number();
    return {std::move(key), fingerprint, epoch{in.number()}};
}

std::optional<finished_entry> read_finished(field_reader& in)
{
    finished_entry it;
    it.key = read_key(in);
    it.fingerprint = in.number();
    std::uint64_t end = in.number();
    it.result.end = static_cast<outcome>(end);
    it.result.status = static_cast<unsigned>(in.number());
    it.result.payload = in.optional_bytes();
    bool is_valid_outcome = end <= static_cast<unsigned>(outcome::unknown);
    return is_valid_outcome ? std::optional(std::move(it)) : std::nullopt;
}

template<class Entry>
std::optional<journal_entry> read_range(field_reader& in)
{
    hash_range range{{in.number()}, {in.number()}};
    epoch since{in.number()};
    if (range.last < range.first)
    {
        return std::nullopt;
    }
    return Entry{range, since};
}

std::optional<journal_entry> read_fields(field_reader& in)
{
    switch (in.number())
    {
    case kind_admitted:
        return read_admitted(in);
    case kind_finished:
        return read_finished(in);
    case kind_claimed:
        return read_range<claimed_entry>(in);
    case kind_released:
        return read_range<released_entry>(in);
    case kind_fenced:
        return read_range<fenced_entry>(in);
    default:
        return std::nullopt;
    }
}

std::optional<journal_entry> read_entry(json& row)
{
    if (!row.is_array())
    {
        return std::nullopt;
    }
    field_reader in(row);
    std::optional<journal_entry> entry = read_fields(in);
    return in.is_complete() ? std::move(entry) : std::nullopt;
}

} // namespace

std::string write_journal_batch(const journal_batch& batch)
{
    json rows = json::array({batch.writer});
    for (const journal_entry& it : batch.entries)
    {
        rows.push_back(std::visit([](const auto& entry) { return write(entry); }, it));
    }
    std::string bytes;
    json::to_msgpack(rows, bytes);
    return bytes;
}

result<journal_batch> read_journal_batch(std::string_view bytes)
{
    json rows;
    bounded_parser parser(rows);
    bool is_read = json::sax_parse(
        bytes.begin(), bytes.end(), &parser, json::input_format_t::msgpack);
    if (!is_read || !rows.is_array() || rows.empty() || !rows[0].is_number_unsigned())
    {
        return fail(error_code::invalid_argument, "not a journal batch");
    }
    journal_batch batch{rows[0].get<std::uint64_t>(), {}};
    for (std::size_t n = 1; n < rows.size(); ++n)
    {
        std::optional<journal_entry> entry = read_entry(rows[n]);
        if (!entry)
        {
            return fail(error_code::invalid_argument,
                        "journal entry " + std::to_string(n) + " is malformed");
        }
        batch.entries.push_back(std::move(*entry));
    }
    return batch;
}

} // namespace camphorrock
