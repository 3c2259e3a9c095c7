#include "ctl/yaml_json.hpp"

#include <yaml-cpp/yaml.h>

#include <charconv>

namespace camphorrock
{
namespace
{

constexpr int max_depth = 64;

result<Json::Value> error_at(const YAML::Node& node, const std::string& what)
{
    return fail(error_code::invalid_argument,
                "line " + std::to_string(node.Mark().line + 1) + ": " + what);
}

template<class Number>
bool read_number(const std::string& text, Number& out)
{
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    return ec == std::errc() && rest == text.data() + text.size();
}

Json::Value convert_plain(const std::string& text)
{
    if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL")
    {
        return Json::Value();
    }
    if (text == "true" || text == "True" || text == "TRUE")
    {
        return true;
    }
    if (text == "false" || text == "False" || text == "FALSE")
    {
        return false;
    }
    std::int64_t whole = 0;
    if (read_number(text, whole))
    {
        return static_cast<Json::Int64>(whole);
    }
    double number = 0;
    if (read_number(text, number))
    {
        return number;
    }
    return text;
}

result<Json::Value> convert_node(const YAML::Node& node, int depth);

result<Json::Value> convert_sequence(const YAML::Node& node, int depth)
{
    Json::Value out(Json::arrayValue);
    for (const YAML::Node& it : node)
    {
        BOOST_LEAF_AUTO(value, convert_node(it, depth + 1));
        out.append(std::move(value));
    }
    return out;
}

result<Json::Value> convert_map(const YAML::Node& node, int depth)
{
    Json::Value out(Json::objectValue);
    for (const auto& it : node)
    {
        if (!it.first.IsScalar())
        {
            return error_at(it.first, "a key must be a scalar");
        }
        std::string key = it.first.Scalar();
        if (out.isMember(key))
        {
            return error_at(it.first, "duplicate key " + key);
        }
        BOOST_LEAF_AUTO(value, convert_node(it.second, depth + 1));
        out[key] = std::move(value);
    }
    return out;
}

result<Json::Value> convert_node(const YAML::Node& node, int depth)
{
    constexpr const char* quoted_tag = "!"; // as yaml-cpp tags quoted scalars
    if (depth > max_depth)
    {
        return error_at(node, "nested too deeply");
    }
    switch (node.Type())
    {
    case YAML::NodeType::Scalar:
        return node.Tag() == quoted_tag ? Json::Value(node.Scalar())
                                        : convert_plain(node.Scalar());
    case YAML::NodeType::Sequence:
        return convert_sequence(node, depth);
    case YAML::NodeType::Map:
        return convert_map(node, depth);
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
        break;
    }
    return Json::Value();
}

} // namespace

result<Json::Value> parse_yaml(const std::string& text)
{
    try
    {
        return convert_node(YAML::Load(text), 0);
    }
    catch (const YAML::Exception& ec)
    {
        return fail(error_code::invalid_argument,
                    "line " + std::to_string(ec.mark.line + 1) + ": " + ec.msg);
    }
}

} // namespace camphorrock
