#pragma once

// Checks the lines of an answer, however the reads divide them, by the grammar of RFC
// 9112, sections 2.2, 4, 5 and 7.1. Parsers accept more, each in its own way, and then
// differ in where an answer ends or which fields it has.
//
//     answer_line_check check(answer_line::status);
//     const std::size_t n = check.add(bytes);
//     if (check.fault() != answer_fault::none) ... // bytes[n] cannot stand there
//     if (check.is_over()) ...                     // the next line begins at bytes[n]
//
// Accepts a status line without a reason and without the blank before it, which servers
// leave out. Refuses what a recipient may repair: a line that ends with a line feed
// alone, a folded value, a blank between a name and its colon, empty lines before the
// status line.
//
// Cost: a few comparisons for each byte; no memory.

#include "net/answer_fault.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphorrock
{

enum class answer_line
{
    status,
    field, // of a head or a trailer; an empty line ends either
    chunk_size,
    chunk_end, // behind the bytes of a chunk
};

class answer_line_check
{
public:
    explicit answer_line_check(answer_line kind) : kind_(kind) {}

    // Returns how many of the bytes were accepted: up to the end of the line, or to a
    // byte that cannot stand there. Then no more may be added.
    std::size_t add(std::string_view bytes);

    answer_line kind() const
    {
        return kind_;
    }

    // True once the line's end, "\r\n", was added.
    bool is_over() const
    {
        return is_over_;
    }

    // The bytes that were added, without the line's end.
    std::size_t size() const
    {
        return size_;
    }

    // True for a line that is over and has only its end.
    bool is_empty() const
    {
        return size_ == 0;
    }

    // Of a line of that kind.
    std::uint64_t chunk_size() const
    {
        return chunk_size_;
    }

    // `none` as long as all bytes were accepted.
    answer_fault fault() const
    {
        return fault_;
    }

private:
    answer_fault check(char c);
    answer_fault check_status(char c);
    answer_fault check_field(char c);
    answer_fault check_chunk_size(char c);
    answer_fault check_end() const;

    answer_line kind_;
    std::size_t size_ = 0; // without the line's end
    bool has_return_ = false;
    bool is_over_ = false;
    bool is_in_name_ = true;       // of a field
    bool is_in_size_ = true;       // of a chunk
    bool is_in_extension_ = false; // of a chunk
    unsigned size_digits_ = 0;
    unsigned status_ = 0;
    std::uint64_t chunk_size_ = 0;
    answer_fault fault_ = answer_fault::none;
};

} // namespace camphorrock
