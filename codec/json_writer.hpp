#pragma once

// Writes a typed struct as a JSON value; the counterpart of json_reader, with the same
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
        out_[name] = write(value);
    }

    // Written also where it has its default.
    template<class T>
    void optional(const char* name, const T& value)
    {
        out_[name] = write(value);
    }

    template<class Row, class Name>
    void keyed(const char* name, const std::vector<Row>& rows, Name Row::*id)
    {
        Json::Value& object = out_[name] = Json::Value(Json::objectValue);
        for (const Row& it : rows)
        {
            object[(it.*id).str()] = write(it);
        }
    }

    Json::Value take()
    {
        return std::move(out_);
    }

private:
    template<class T>
    static Json::Value write(const T& value)
    {
        if constexpr (requires(json_writer & out) { describe(out, value); })
        {
            json_writer out;
            describe(out, value);
            return out.take();
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

    Json::Value out_{Json::objectValue};
};

template<class T>
Json::Value write_described(const T& value)
{
    json_writer out;
    describe(out, value);
    return out.take();
}

} // namespace camphorrock
