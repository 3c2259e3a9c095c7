#pragma once

// Reads a typed struct from a JSON value, strictly. The struct's fields are named once,
// in a function `describe` found by argument-dependent lookup, which json_writer uses
// too:
//
//     template<class Fields, is_type<vouch_answer> Message>
//     void describe(Fields& fields, Message& it)
//     {
//         fields.required("ok", it.ok);
//         fields.optional("highest", it.highest);
//     }
//
// The first fault is kept with its path ("services.valves.slots_per_server: ..."), and
// the rest of the input is then ignored. Unknown members, wrong types and numbers out of
// range are faults. Unsigned 64-bit numbers are exact: JSON integers or decimal strings.

#include "codec/json_scalars.hpp"
#include "core/base/result.hpp"

#include <json/value.h>

#include <concepts>
#include <string>
#include <type_traits>
#include <vector>

namespace camphorrock
{

// T itself or const T, so that one describe() serves reading and writing.
template<class T, class Expected>
concept is_type = std::same_as<std::remove_const_t<T>, Expected>;

class json_reader
{
public:
    // `value` and `fault` must outlive the reader.
    json_reader(const Json::Value& value, std::string path, json_fault& fault);

    template<class T>
    void required(const char* name, T& out)
    {
        if (const Json::Value* value = find(name))
        {
            read(*value, path_of(name), out);
            return;
        }
        fault_.set(path_of(name), "is missing");
    }

    // Leaves `out` as it is where the member is absent.
    template<class T>
    void optional(const char* name, T& out)
    {
        if (const Json::Value* value = find(name))
        {
            read(*value, path_of(name), out);
        }
    }

    // An object whose member names are the rows' `id`, read in the order of the names.
    template<class Row, class Name>
    void keyed(const char* name, std::vector<Row>& out, Name Row::*id)
    {
        const Json::Value* value = find(name);
        if (value == nullptr || !is_object(*value, path_of(name)))
        {
            return;
        }
        for (const std::string& it : value->getMemberNames())
        {
            Row row;
            row.*id = Name(it);
            read((*value)[it], path_of(name) + "." + it, row);
            out.push_back(std::move(row));
        }
    }

    // Faults the first member that was not asked for.
    void finish();

private:
    template<class T>
    void read(const Json::Value& value, const std::string& path, T& out)
    {
        if constexpr (requires(json_reader & in) { describe(in, out); })
        {
            json_reader in(value, path, fault_);
            describe(in, out);
            in.finish();
        }
        else
        {
            read_scalar(value, path, out, fault_);
        }
    }

    template<class Row>
    void read(const Json::Value& value, const std::string& path, std::vector<Row>& out)
    {
        if (!value.isArray())
        {
            fault_.set(path, "must be an array");
            return;
        }
        for (Json::ArrayIndex n = 0; n < value.size() && !fault_.is_set(); ++n)
        {
            read(value[n], path + "[" + std::to_string(n) + "]", out.emplace_back());
        }
    }

    const Json::Value* find(const char* name);
    std::string path_of(const std::string& name) const;
    bool is_object(const Json::Value& value, const std::string& path);

    const Json::Value& value_;
    std::string path_;
    json_fault& fault_;
    std::vector<std::string> known_;
};

// Reads a whole struct. Fails with invalid_argument and the path at fault.
template<class T>
result<T> read_described(const Json::Value& value)
{
    json_fault fault;
    T out;
    json_reader in(value, "", fault);
    describe(in, out);
    in.finish();
    if (fault.is_set())
    {
        return fail(error_code::invalid_argument, fault.text());
    }
    return out;
}

} // namespace camphorrock
