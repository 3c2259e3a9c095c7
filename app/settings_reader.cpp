#include "app/settings_reader.hpp"

#include "app/endpoint_text.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace camphorrock
{

// What all maps of one file share.
struct settings_reader::document
{
    std::string file;
    YAML::Node root;
    std::vector<settings_fault> faults;
    std::vector<std::shared_ptr<settings_map::state>> maps; // every map that was opened
};

struct settings_map::state
{
    std::weak_ptr<settings_reader::document> owner;
    std::shared_ptr<settings_reader::document> keep; // empty in the document's own list
    YAML::Node node;  // a mapping, or undefined where absent
    std::string path; // of this mapping, "" for the root
    int line = 1;
    std::shared_ptr<std::set<std::string>> asked =
        std::make_shared<std::set<std::string>>();
};

namespace
{

using document = settings_reader::document;
using map_state = settings_map::state;

int line_of(const YAML::Node& node, int fallback)
{
    bool is_known = node.IsDefined() && !node.Mark().is_null();
    return is_known ? node.Mark().line + 1 : fallback;
}

std::string join(const std::string& path, const std::string& key)
{
    return path.empty() ? key : path + "." + key;
}

void note(const map_state& at, int line, const std::string& key, const std::string& text)
{
    if (std::shared_ptr<document> owner = at.owner.lock())
    {
        owner->faults.push_back({owner->file, line, join(at.path, key), text});
    }
}

// The value of a key; undefined where it is absent. Notes that the key is known.
YAML::Node find(map_state& at, const std::string& key)
{
    at.asked->insert(key);
    YAML::Node absent(YAML::NodeType::Undefined);
    if (!at.node.IsMap())
    {
        return absent;
    }
    YAML::Node value = std::as_const(at.node)[key];
    return value.IsDefined() ? value : absent;
}

settings_map open(const std::shared_ptr<document>& owner,
                  const YAML::Node& node,
                  std::string path,
                  int line)
{
    auto held = std::make_shared<map_state>();
    held->owner = owner;
    held->node = node;
    held->path = std::move(path);
    held->line = line;
    owner->maps.push_back(held);
    auto view = std::make_shared<map_state>(*held);
    view->keep = owner;
    return settings_map(view);
}

// The scalar text of a key, or none with a fault. Null (an empty value) is no text.
std::optional<std::string> scalar(map_state& at, const std::string& key)
{
    YAML::Node node = find(at, key);
    if (!node.IsDefined())
    {
        note(at, at.line, key, "is missing");
        return std::nullopt;
    }
    if (!node.IsScalar())
    {
        note(at, line_of(node, at.line), key, "must be a single value");
        return std::nullopt;
    }
    return node.Scalar();
}

// Reads one value as `Value`, or notes what it must be.
template<class Value>
std::optional<Value> typed(map_state& at, const std::string& key, const char* kind)
{
    std::optional<std::string> text = scalar(at, key);
    if (!text)
    {
        return std::nullopt;
    }
    YAML::Node node = find(at, key);
    Value value{};
    bool is_quoted = node.Tag() == "!";
    if (is_quoted || !YAML::convert<Value>::decode(node, value))
    {
        note(at, line_of(node, at.line), key, std::string("must be ") + kind);
        return std::nullopt;
    }
    return value;
}

template<class Value, class Range>
std::optional<Value>
ranged(map_state& at, const std::string& key, Range allowed, const char* kind)
{
    std::optional<Value> value = typed<Value>(at, key, kind);
    bool is_allowed = value && *value >= allowed.first && *value <= allowed.last;
    if (value && !is_allowed)
    {
        std::ostringstream text;
        text << "must be " << allowed.first << " to " << allowed.last << ", not "
             << *value;
        note(at, line_of(find(at, key), at.line), key, text.str());
    }
    return is_allowed ? value : std::nullopt;
}

endpoint checked_endpoint(const map_state& at,
                          int line,
                          const std::string& key,
                          const std::string& text)
{
    if (!is_endpoint_text(text))
    {
        note(at, line, key, "must be an address as IP:port");
        return endpoint();
    }
    return endpoint(text);
}

// The elements of a list; none, with a fault, where the key holds something else.
std::vector<YAML::Node> elements(map_state& at, const std::string& key)
{
    YAML::Node node = find(at, key);
    if (!node.IsDefined())
    {
        return {};
    }
    if (!node.IsSequence())
    {
        note(at, line_of(node, at.line), key, "must be a list");
        return {};
    }
    return {node.begin(), node.end()};
}

void note_unasked_keys(const map_state& at)
{
    if (!at.node.IsMap())
    {
        return;
    }
    std::set<std::string> seen;
    for (const auto& it : at.node)
    {
        std::string key = it.first.IsScalar() ? it.first.Scalar() : "?";
        int line = line_of(it.first, at.line);
        if (at.asked->count(key) == 0)
        {
            note(at, line, key, "is not known here");
        }
        if (!seen.insert(key).second)
        {
            note(at, line, key, "stands twice");
        }
    }
}

} // namespace

bool settings_map::has(const std::string& key) const
{
    return find(*held_, key).IsDefined();
}

std::string settings_map::require_text(const std::string& key)
{
    std::optional<std::string> text = scalar(*held_, key);
    if (text && text->empty())
    {
        fault(key, "must not be empty");
    }
    return text.value_or("");
}

std::string settings_map::text_or(const std::string& key, std::string fallback)
{
    return has(key) ? require_text(key) : std::move(fallback);
}

std::int64_t settings_map::require_integer(const std::string& key, integer_range allowed)
{
    return ranged<std::int64_t>(*held_, key, allowed, "a whole number")
        .value_or(allowed.first);
}

std::int64_t settings_map::integer_or(const std::string& key,
                                      integer_range allowed,
                                      std::int64_t fallback)
{
    return has(key) ? require_integer(key, allowed) : fallback;
}

double
settings_map::number_or(const std::string& key, number_range allowed, double fallback)
{
    return has(key) ? ranged<double>(*held_, key, allowed, "a number").value_or(fallback)
                    : fallback;
}

bool settings_map::flag_or(const std::string& key, bool fallback)
{
    return has(key) ? typed<bool>(*held_, key, "true or false").value_or(fallback)
                    : fallback;
}

duration settings_map::milliseconds_or(const std::string& key,
                                       duration_range allowed,
                                       duration fallback)
{
    using std::chrono::duration_cast;
    integer_range range{duration_cast<milliseconds>(allowed.first).count(),
                        duration_cast<milliseconds>(allowed.last).count()};
    return has(key) ? milliseconds(require_integer(key, range)) : fallback;
}

endpoint settings_map::require_endpoint(const std::string& key)
{
    std::optional<std::string> text = scalar(*held_, key);
    int line = line_of(find(*held_, key), held_->line);
    return text ? checked_endpoint(*held_, line, key, *text) : endpoint();
}

endpoint settings_map::endpoint_or(const std::string& key, endpoint fallback)
{
    return has(key) ? require_endpoint(key) : std::move(fallback);
}

std::vector<std::string> settings_map::texts(const std::string& key)
{
    std::vector<std::string> list;
    for (const YAML::Node& it : elements(*held_, key))
    {
        if (it.IsScalar() && !it.Scalar().empty())
        {
            list.push_back(it.Scalar());
        }
        else
        {
            note(*held_, line_of(it, held_->line), key, "must hold single values only");
        }
    }
    return list;
}

std::vector<endpoint> settings_map::endpoints(const std::string& key)
{
    std::vector<endpoint> list;
    int line = line_of(find(*held_, key), held_->line);
    for (const std::string& it : texts(key))
    {
        list.push_back(checked_endpoint(*held_, line, key, it));
    }
    return list;
}

std::vector<settings_map> settings_map::maps(const std::string& key)
{
    std::vector<settings_map> list;
    for (const YAML::Node& it : elements(*held_, key))
    {
        int line = line_of(it, held_->line);
        std::string path =
            join(held_->path, key) + "[" + std::to_string(list.size()) + "]";
        if (!it.IsMap())
        {
            note(*held_, line, key, "must hold mappings only");
        }
        list.push_back(open(held_->keep, it, path, line));
    }
    return list;
}

std::vector<settings_entry> settings_map::named_maps(const std::string& key)
{
    std::vector<settings_entry> list;
    settings_map below = map(key);
    if (!below.held_->node.IsMap())
    {
        return list;
    }
    for (const auto& it : below.held_->node)
    {
        std::string name = it.first.IsScalar() ? it.first.Scalar() : "";
        below.held_->asked->insert(name);
        if (!it.second.IsMap())
        {
            note(*below.held_, line_of(it.first, held_->line), name, "must be a mapping");
        }
        std::string path = join(below.held_->path, name);
        list.push_back(
            {name, open(held_->keep, it.second, path, line_of(it.first, held_->line))});
    }
    return list;
}

settings_map settings_map::map(const std::string& key)
{
    YAML::Node node = find(*held_, key);
    int line = line_of(node, held_->line);
    if (node.IsDefined() && !node.IsMap())
    {
        fault(key, "must be a mapping");
    }
    return open(held_->keep, node, join(held_->path, key), line);
}

void settings_map::fault(const std::string& key, const std::string& text)
{
    note(*held_, line_of(find(*held_, key), held_->line), key, text);
}

result<settings_reader> settings_reader::from_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return fail(error_code::not_found, path + ": cannot be read");
    }
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return from_text(path, text);
}

result<settings_reader> settings_reader::from_text(const std::string& name,
                                                   const std::string& text)
{
    auto held = std::make_shared<document>();
    held->file = name;
    try
    {
        held->root = YAML::Load(text);
    }
    catch (const YAML::Exception& ec)
    {
        settings_fault fault{name, ec.mark.line + 1, "", "is not YAML: " + ec.msg};
        return fail(error_code::invalid_argument, to_string(fault));
    }
    if (!held->root.IsMap())
    {
        settings_fault fault{name, 1, "", "must be a mapping"};
        return fail(error_code::invalid_argument, to_string(fault));
    }
    return settings_reader(held);
}

settings_map settings_reader::root() const
{
    return open(held_, held_->root, "", 1);
}

result<void> settings_reader::finish()
{
    for (const auto& it : held_->maps)
    {
        note_unasked_keys(*it);
    }
    held_->maps.clear();
    if (held_->faults.empty())
    {
        return {};
    }
    return fail(error_code::invalid_argument, to_string(faults()));
}

std::vector<settings_fault> settings_reader::faults() const
{
    std::vector<settings_fault> sorted = held_->faults;
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](const settings_fault& one, const settings_fault& other)
                     { return one.line < other.line; });
    return sorted;
}

} // namespace camphorrock
