#include "net/json_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace camphorrock
{
namespace
{

Json::CharReaderBuilder make_reader_builder()
{
    Json::CharReaderBuilder made;
    Json::CharReaderBuilder::strictMode(&made.settings_);
    made["strictRoot"] = false; // any value may stand alone
    return made;
}

Json::StreamWriterBuilder make_writer_builder()
{
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["emitUTF8"] = true;
    return made;
}

} // namespace

std::optional<Json::Value> parse_json(std::string_view text)
{
    static const Json::CharReaderBuilder builder = make_reader_builder();
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value made;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &made, nullptr))
        {
            return made;
        }
    }
    catch (const Json::Exception&)
    {
        // Nested too deeply.
    }
    return std::nullopt;
}

std::string to_json_text(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = make_writer_builder();
    return Json::writeString(builder, value);
}

} // namespace camphorrock
