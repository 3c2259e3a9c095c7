#pragma once

// Writes a struct as a JSON value; the counterpart of json_reader, with the same
// describe().

#include "codec/json_scalars.hpp"

#include <json/value.h>

#include <utility>
#include <vector>

namespace camphorrock
{

class json_writer
{
public:
    template<class T>
    void required(const char* name, const T& value)
    {
        object_[name] = write(value);
    }

    // Writes the member even if it has its default value.
    template<class T>
    void optional(const char* name, const T& value)
    {
        object_[name] = write(value);
    }

    // Writes an object that has one member for each row, named by the row's `id`.
    template<class Row, class Name>
    void keyed(const char* name, const std::vector<Row>& rows, Name Row::*id)
    {
        Json::Value& object = object_[name] = Json::Value(Json::objectValue);
        for (const Row& it : rows)
        {
            object[(it.*id).str()] = write(it);
        }
    }

    // Moves the object out of the writer.
    Json::Value take_object()
    {
        return std::move(object_);
    }

private:
    template<class T>
    static Json::Value write(const T& value)
    {
        if constexpr (requires(json_writer & out) { describe(out, value); })
        {
            json_writer out;
            describe(out, value);
            return out.take_object();
        }
        else
        {
            return write_scalar(value);
        }
    }

    template<class Row>
    static Json::Value write(const std::vector<Row>& rows)
    {
        Json::Value array(Json::arrayValue);
        for (const Row& it : rows)
        {
            array.append(write(it));
        }
        return array;
    }

    Json::Value object_{Json::objectValue};
};

template<class T>
Json::Value write_described(const T& value)
{
    json_writer out;
    describe(out, value);
    return out.take_object();
}

} // namespace camphorrock
