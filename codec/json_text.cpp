#include "codec/json_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <exception>
#include <memory>

namespace camphorrock
{
namespace
{

constexpr int max_depth = 32;

std::unique_ptr<Json::CharReader> make_reader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_depth;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

} // namespace

result<Json::Value> parse_json(std::string_view text)
{
    try
    {
        Json::Value value;
        std::string what;
        if (make_reader()->parse(text.data(), text.data() + text.size(), &value, &what))
        {
            return value;
        }
        std::replace(what.begin(), what.end(), '\n', ' ');
        return fail(error_code::invalid_argument, "not JSON: " + what);
    }
    catch (const std::exception& ex) // jsoncpp throws if the nesting exceeds max_depth
    {
        return fail(error_code::invalid_argument, std::string("not JSON: ") + ex.what());
    }
}

std::string write_json(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace camphorrock
