#include "codec/json_reader.hpp"

#include <algorithm>

namespace camphorrock
{

json_reader::json_reader(const Json::Value& value, std::string path, json_fault& fault)
    : value_(value), path_(std::move(path)), fault_(fault)
{
    check_object(value_, path_);
}

void json_reader::check_unknown_members()
{
    if (!value_.isObject())
    {
        return;
    }
    for (const std::string& it : value_.getMemberNames())
    {
        if (std::find(known_members_.begin(), known_members_.end(), it) ==
            known_members_.end())
        {
            fault_.set(path_of(it), "is not a known field");
        }
    }
}

const Json::Value* json_reader::find_member(const char* name)
{
    known_members_.emplace_back(name);
    bool is_present = value_.isObject() && value_.isMember(name);
    return is_present ? &value_[name] : nullptr;
}

std::string json_reader::path_of(const std::string& name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

bool json_reader::check_object(const Json::Value& value, const std::string& path)
{
    if (!value.isObject())
    {
        fault_.set(path.empty() ? "document" : path, "must be an object");
    }
    return value.isObject();
}

} // namespace camphorrock
