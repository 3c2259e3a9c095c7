#pragma once

// Counts objects while they live: a member of each.
//
//     auto open = std::make_shared<std::size_t>(0);
//     live_count one(open); // *open == 1 until `one` is destroyed

#include <cstddef>
#include <memory>
#include <utility>

namespace camphorrock
{

class live_count
{
public:
    explicit live_count(std::shared_ptr<std::size_t> total) : total_(std::move(total))
    {
        ++*total_;
    }

    live_count(live_count&&) noexcept = default;

    live_count& operator=(live_count&& other) noexcept
    {
        std::swap(total_, other.total_);
        return *this;
    }

    ~live_count()
    {
        if (total_)
        {
            --*total_;
        }
    }

    // True if the object is counted in `total`.
    bool is_in(const std::shared_ptr<std::size_t>& total) const
    {
        return total_ == total;
    }

private:
    std::shared_ptr<std::size_t> total_; // null once it was moved from
};

} // namespace camphorrock
