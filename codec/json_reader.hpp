#pragma once

// Reads a struct from a JSON value, strictly. The JSON names of the struct's fields are
// listed once, in a function `describe` that is found by argument-dependent lookup and
// that json_writer uses too:
//
//     template<class Fields, is_type<lease_vote_answer> Message>
//     void describe(Fields& fields, Message& it)
//     {
//         fields.required("ok", it.ok);
//         fields.optional("highest", it.highest);
//     }
//
// Unknown members, wrong types and numbers out of range are faults. Only the first fault
// is reported, with its path ("services.valves.slots_per_server: ..."). Unsigned 64-bit
// numbers are exact: they are JSON integers or decimal strings.

#include "codec/json_scalars.hpp"
#include "core/base/result.hpp"

#include <json/value.h>

#include <concepts>
#include <string>
#include <type_traits>
#include <vector>

namespace camphorrock
{

// Accepts T and const T, so that one describe() serves both reading and writing.
template<class T, class Expected>
concept is_type = std::same_as<std::remove_const_t<T>, Expected>;

class json_reader
{
public:
    // `value` and `fault` must outlive the reader.
    json_reader(const Json::Value& value, std::string path, json_fault& fault);

    // A fault if the member is absent.
    template<class T>
    void required(const char* name, T& out)
    {
        if (const Json::Value* value = find_member(name))
        {
            read(*value, path_of(name), out);
            return;
        }
        fault_.set(path_of(name), "is missing");
    }

    // Leaves `out` unchanged if the member is absent.
    template<class T>
    void optional(const char* name, T& out)
    {
        if (const Json::Value* value = find_member(name))
        {
            read(*value, path_of(name), out);
        }
    }

    // Reads an object that has one member for each row, named by the row's `id`. The rows
    // are in the order of the names.
    template<class Row, class Name>
    void keyed(const char* name, std::vector<Row>& out, Name Row::*id)
    {
        const Json::Value* value = find_member(name);
        if (value == nullptr || !check_object(*value, path_of(name)))
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

    // A fault if the object has a member that describe() did not name.
    void check_unknown_members();

private:
    template<class T>
    void read(const Json::Value& value, const std::string& path, T& out)
    {
        if constexpr (requires(json_reader & in) { describe(in, out); })
        {
            json_reader in(value, path, fault_);
            describe(in, out);
            in.check_unknown_members();
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

    const Json::Value* find_member(const char* name);
    std::string path_of(const std::string& name) const;
    bool check_object(const Json::Value& value, const std::string& path);

    const Json::Value& value_;
    std::string path_;
    json_fault& fault_;
    std::vector<std::string> known_members_;
};

// Reads a struct of a type that has a describe(). Fails with invalid_argument and the
// path of the first fault.
template<class T>
result<T> read_described(const Json::Value& value)
{
    json_fault fault;
    T out;
    json_reader in(value, "", fault);
    describe(in, out);
    in.check_unknown_members();
    if (fault.is_set())
    {
        return fail(error_code::invalid_argument, fault.text());
    }
    return out;
}

} // namespace camphorrock
