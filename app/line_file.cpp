#include "app/line_file.hpp"

#include <cerrno>
#include <cstring>

namespace camphorrock
{

result<line_file> line_file::open(const std::string& path)
{
    line_file made;
    if (path.empty())
    {
        return made;
    }
    made.file_.reset(std::fopen(path.c_str(), "ae"));
    if (!made.file_)
    {
        return fail(error_code::io, path + ": " + std::strerror(errno));
    }
    return made;
}

void line_file::append(const std::string& line)
{
    if (!file_)
    {
        return;
    }
    bool is_written = std::fputs((line + "\n").c_str(), file_.get()) >= 0;
    bool is_flushed = std::fflush(file_.get()) == 0;
    has_failed_ = has_failed_ || !is_written || !is_flushed;
}

} // namespace camphorrock
