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

// State that all maps of one file share.
struct settings_reader::document
{
    std::string file;
    YAML::Node root;
    std::vector<settings_fault> faults;
    std::vector<std::shared_ptr<settings_map::state>> maps; // all that were opened
};

struct settings_map::state
{
    std::weak_ptr<settings_reader::document> owner;
    // Keeps the document alive. Null in document::maps, which would otherwise make a
    // cycle of references.
    std::shared_ptr<settings_reader::document> keep_alive;
    YAML::Node node;  // a mapping; undefined if the key is absent
    std::string path; // of this mapping from the root; "" for the root
    int line = 1;     // from 1
    // Keys that the program has read. Shared by the copies of one map.
    std::shared_ptr<std::set<std::string>> read_keys =
        std::make_shared<std::set<std::string>>();
};

namespace
{

using document = settings_reader::document;
using map_state = settings_map::state;

int line_of(const YAML::Node& node, int fallback)
{
    bool has_mark = node.IsDefined() && !node.Mark().is_null();
    return has_mark ? node.Mark().line + 1 : fallback;
}

std::string join_path(const std::string& path, const std::string& key)
{
    return path.empty() ? key : path + "." + key;
}

void record_fault(const map_state& at,
                  int line,
                  const std::string& key,
                  const std::string& text)
{
    if (std::shared_ptr<document> owner = at.owner.lock())
    {
        owner->faults.push_back({owner->file, line, join_path(at.path, key), text});
    }
}

// Returns the value of a key, undefined if it is absent, and marks the key as read.
YAML::Node read_node(map_state& at, const std::string& key)
{
    at.read_keys->insert(key);
    YAML::Node absent(YAML::NodeType::Undefined);
    if (!at.node.IsMap())
    {
        return absent;
    }
    YAML::Node value = std::as_const(at.node)[key];
    return value.IsDefined() ? value : absent;
}

settings_map open_map(const std::shared_ptr<document>& owner,
                      const YAML::Node& node,
                      std::string path,
                      int line)
{
    auto made = std::make_shared<map_state>();
    made->owner = owner;
    made->node = node;
    made->path = std::move(path);
    made->line = line;
    owner->maps.push_back(made);
    auto view = std::make_shared<map_state>(*made);
    view->keep_alive = owner;
    return settings_map(view);
}

// Returns the scalar of a key. Records a fault and returns nullopt if the key is absent
// or its value is no scalar; null (an empty value) is no scalar.
std::optional<std::string> read_scalar(map_state& at, const std::string& key)
{
    YAML::Node node = read_node(at, key);
    if (!node.IsDefined())
    {
        record_fault(at, at.line, key, "is missing");
        return std::nullopt;
    }
    if (!node.IsScalar())
    {
        record_fault(at, line_of(node, at.line), key, "must be a single value");
        return std::nullopt;
    }
    return node.Scalar();
}

// Reads a scalar as `Value`. Records a fault, "must be KIND", and returns nullopt if it
// is quoted or no such value.
template<class Value>
std::optional<Value> read_typed(map_state& at, const std::string& key, const char* kind)
{
    std::optional<std::string> text = read_scalar(at, key);
    if (!text)
    {
        return std::nullopt;
    }
    YAML::Node node = read_node(at, key);
    Value value{};
    bool is_quoted = node.Tag() == "!"; // as yaml-cpp tags quoted scalars
    if (is_quoted || !YAML::convert<Value>::decode(node, value))
    {
        record_fault(at, line_of(node, at.line), key, std::string("must be ") + kind);
        return std::nullopt;
    }
    return value;
}

template<class Value, class Range>
std::optional<Value>
read_in_range(map_state& at, const std::string& key, Range allowed, const char* kind)
{
    std::optional<Value> value = read_typed<Value>(at, key, kind);
    bool is_allowed = value && *value >= allowed.first && *value <= allowed.last;
    if (value && !is_allowed)
    {
        std::ostringstream text;
        text << "must be " << allowed.first << " to " << allowed.last << ", not "
             << *value;
        record_fault(at, line_of(read_node(at, key), at.line), key, text.str());
    }
    return is_allowed ? value : std::nullopt;
}

endpoint parse_endpoint(const map_state& at,
                        int line,
                        const std::string& key,
                        const std::string& text)
{
    if (!is_endpoint_text(text))
    {
        record_fault(at, line, key, "must be an address as IP:port");
        return endpoint();
    }
    return endpoint(text);
}

// Returns the elements of a list, none if the key is absent. Records a fault and returns
// none if the value is no list.
std::vector<YAML::Node> read_list(map_state& at, const std::string& key)
{
    YAML::Node node = read_node(at, key);
    if (!node.IsDefined())
    {
        return {};
    }
    if (!node.IsSequence())
    {
        record_fault(at, line_of(node, at.line), key, "must be a list");
        return {};
    }
    return {node.begin(), node.end()};
}

void record_unknown_and_duplicate_keys(const map_state& at)
{
    if (!at.node.IsMap())
    {
        return;
    }
    std::set<std::string> previous;
    for (const auto& it : at.node)
    {
        std::string key = it.first.IsScalar() ? it.first.Scalar() : "?";
        int line = line_of(it.first, at.line);
        if (at.read_keys->count(key) == 0)
        {
            record_fault(at, line, key, "is not a known setting");
        }
        if (!previous.insert(key).second)
        {
            record_fault(at, line, key, "is a duplicate key");
        }
    }
}

} // namespace

bool settings_map::has(const std::string& key) const
{
    return read_node(*state_, key).IsDefined();
}

std::string settings_map::require_text(const std::string& key)
{
    std::optional<std::string> text = read_scalar(*state_, key);
    if (text && text->empty())
    {
        add_fault(key, "must not be empty");
    }
    return text.value_or("");
}

std::string settings_map::text_or(const std::string& key, std::string fallback)
{
    return has(key) ? require_text(key) : std::move(fallback);
}

std::int64_t settings_map::require_integer(const std::string& key, integer_range allowed)
{
    return read_in_range<std::int64_t>(*state_, key, allowed, "a whole number")
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
    return has(key) ? read_in_range<double>(*state_, key, allowed, "a number")
                          .value_or(fallback)
                    : fallback;
}

bool settings_map::flag_or(const std::string& key, bool fallback)
{
    return has(key) ? read_typed<bool>(*state_, key, "true or false").value_or(fallback)
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
    std::optional<std::string> text = read_scalar(*state_, key);
    int line = line_of(read_node(*state_, key), state_->line);
    return text ? parse_endpoint(*state_, line, key, *text) : endpoint();
}

endpoint settings_map::endpoint_or(const std::string& key, endpoint fallback)
{
    return has(key) ? require_endpoint(key) : std::move(fallback);
}

std::vector<std::string> settings_map::texts(const std::string& key)
{
    std::vector<std::string> list;
    for (const YAML::Node& it : read_list(*state_, key))
    {
        if (it.IsScalar() && !it.Scalar().empty())
        {
            list.push_back(it.Scalar());
        }
        else
        {
            record_fault(
                *state_, line_of(it, state_->line), key, "must hold single values only");
        }
    }
    return list;
}

std::vector<endpoint> settings_map::endpoints(const std::string& key)
{
    std::vector<endpoint> list;
    int line = line_of(read_node(*state_, key), state_->line);
    for (const std::string& it : texts(key))
    {
        list.push_back(parse_endpoint(*state_, line, key, it));
    }
    return list;
}

std::vector<settings_map> settings_map::maps(const std::string& key)
{
    std::vector<settings_map> list;
    for (const YAML::Node& it : read_list(*state_, key))
    {
        int line = line_of(it, state_->line);
        std::string path =
            join_path(state_->path, key) + "[" + std::to_string(list.size()) + "]";
        if (!it.IsMap())
        {
            record_fault(*state_, line, key, "must hold mappings only");
        }
        list.push_back(open_map(state_->keep_alive, it, path, line));
    }
    return list;
}

std::vector<named_settings_map> settings_map::named_maps(const std::string& key)
{
    std::vector<named_settings_map> list;
    settings_map nested = map(key);
    if (!nested.state_->node.IsMap())
    {
        return list;
    }
    for (const auto& it : nested.state_->node)
    {
        std::string name = it.first.IsScalar() ? it.first.Scalar() : "";
        nested.state_->read_keys->insert(name);
        if (!it.second.IsMap())
        {
            record_fault(*nested.state_,
                         line_of(it.first, state_->line),
                         name,
                         "must be a mapping");
        }
        std::string path = join_path(nested.state_->path, name);
        list.push_back(
            {name,
             open_map(
                 state_->keep_alive, it.second, path, line_of(it.first, state_->line))});
    }
    return list;
}

settings_map settings_map::map(const std::string& key)
{
    YAML::Node node = read_node(*state_, key);
    int line = line_of(node, state_->line);
    if (node.IsDefined() && !node.IsMap())
    {
        add_fault(key, "must be a mapping");
    }
    return open_map(state_->keep_alive, node, join_path(state_->path, key), line);
}

void settings_map::add_fault(const std::string& key, const std::string& text)
{
    record_fault(*state_, line_of(read_node(*state_, key), state_->line), key, text);
}

result<settings_reader> settings_reader::from_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return fail(error_code::not_found, path + ": cannot be opened for reading");
    }
    std::string text{std::istreambuf_iterator<char>(file), {}};
    return from_text(path, text);
}

result<settings_reader> settings_reader::from_text(const std::string& name,
                                                   const std::string& text)
{
    auto loaded = std::make_shared<document>();
    loaded->file = name;
    try
    {
        loaded->root = YAML::Load(text);
    }
    catch (const YAML::Exception& ec)
    {
        settings_fault fault{name, ec.mark.line + 1, "", "is not YAML: " + ec.msg};
        return fail(error_code::invalid_argument, to_string(fault));
    }
    if (!loaded->root.IsMap())
    {
        settings_fault fault{name, 1, "", "must be a mapping"};
        return fail(error_code::invalid_argument, to_string(fault));
    }
    return settings_reader(loaded);
}

settings_map settings_reader::root() const
{
    return open_map(document_, document_->root, "", 1);
}

result<void> settings_reader::finish()
{
    for (const auto& it : document_->maps)
    {
        record_unknown_and_duplicate_keys(*it);
    }
    document_->maps.clear();
    if (document_->faults.empty())
    {
        return {};
    }
    return fail(error_code::invalid_argument, to_string(faults()));
}

std::vector<settings_fault> settings_reader::faults() const
{
    std::vector<settings_fault> sorted = document_->faults;
    std::stable_sort(sorted.begin(),
                     sorted.end(),
                     [](const settings_fault& one, const settings_fault& other)
                     { return one.line < other.line; });
    return sorted;
}

} // namespace camphorrock
