#pragma once

// Reads the elements of a JSON array one after the other, for the datagrams between
// gateways. After an element that is missing, of another type or out of range, values are
// defaults and is_complete() stays false.
//
//     array_reader reader(value, 1, longest_time);
//     message.id = reader.number();
//     message.server = server_id(reader.text());
//     if (!reader.is_complete()) return std::nullopt;

#include "core/base/time.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorrock
{

class array_reader
{
public:
    // Starts at the element of index `first`. `array` must outlive the reader.
    array_reader(const nlohmann::json& array, std::size_t first, duration longest_time)
        : array_(array), next_(first), longest_time_(longest_time)
    {
    }

    std::uint64_t number()
    {
        const nlohmann::json* it = take();
        return check(it != nullptr && it->is_number_unsigned()) ? it->get<std::uint64_t>()
                                                                : 0;
    }

    std::string text()
    {
        const nlohmann::json* it = take();
        return check(it != nullptr && it->is_string()) ? it->get<std::string>() : "";
    }

    bool flag()
    {
        const nlohmann::json* it = take();
        return check(it != nullptr && it->is_boolean()) && it->get<bool>();
    }

    // A finite number that is not negative.
    double rate()
    {
        const nlohmann::json* it = take();
        const double value = it != nullptr && it->is_number() ? it->get<double>() : -1;
        return check(std::isfinite(value) && value >= 0) ? value : 0;
    }

    // Microseconds, from 0 to the longest time.
    duration time()
    {
        const nlohmann::json* it = take();
        const bool is_time = it != nullptr && it->is_number_integer();
        const auto us = is_time ? it->get<std::int64_t>() : -1;
        return check(us >= 0 && us <= longest_time_.count()) ? duration(us) : duration();
    }

    // True if all elements have been read, and were valid.
    bool is_complete() const
    {
        return is_valid_ && next_ == array_.size();
    }

private:
    const nlohmann::json* take()
    {
        return next_ < array_.size() ? &array_[next_++] : nullptr;
    }

    bool check(bool is_met)
    {
        is_valid_ = is_valid_ && is_met;
        return is_met;
    }

    const nlohmann::json& array_;
    std::size_t next_;
    duration longest_time_;
    bool is_valid_ = true;
};

} // namespace camphorrock
