#include "core/gateway/config/gateway_routes.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

gateway_route route(const char* name, const char* host, const char* prefix)
{
    gateway_route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    return made;
}

std::string found(const gateway_routes& table, const char* host, const char* path)
{
    const gateway_route* it = table.find(host, path);
    return it == nullptr ? "none" : it->name;
}

} // namespace

TEST_CASE("a route is found by host and longest matching prefix")
{
    gateway_config config;
    config.routes = {route("all", "a.example", "/"),
                     route("shop", "a.example", "/shop/"),
                     route("deep", "a.example", "/shop/old/"),
                     route("other", "b.example", "/shop/")};
    const gateway_routes table(config);

    SECTION("the longest matching prefix wins")
    {
        CHECK(found(table, "a.example", "/shop/old/1") == "deep");
        CHECK(found(table, "a.example", "/shop/oldest/1") == "shop");
        CHECK(found(table, "a.example", "/shop/") == "shop");
    }
    SECTION("a prefix matches whole path segments only")
    {
        CHECK(found(table, "a.example", "/shop") == "all");
        CHECK(found(table, "a.example", "/shopping/1") == "all");
        CHECK(found(table, "b.example", "/shop") == "none");
    }
    SECTION("hosts are compared without case and port")
    {
        CHECK(found(table, "B.Example:8080", "/shop/1") == "other");
        CHECK(found(table, "c.example", "/shop/1") == "none");
        CHECK(found(table, "", "/shop/1") == "none");
    }
    SECTION("a path without a slash matches no route")
    {
        CHECK(found(table, "a.example", "") == "none");
        CHECK(found(table, "a.example", "*") == "none");
    }
}

TEST_CASE("the route table agrees with a linear search of all routes")
{
    rc::prop("for any prefixes and paths over two segments",
             [](const std::vector<std::vector<bool>>& prefixes,
                const std::vector<bool>& wanted)
             {
                 auto path_of = [](const std::vector<bool>& steps)
                 {
                     std::string made = "/";
                     for (bool it : steps)
                     {
                         made += it ? "a/" : "b/";
                     }
                     return made;
                 };
                 gateway_config config;
                 for (const std::vector<bool>& it : prefixes)
                 {
                     const std::string prefix = path_of(it);
                     config.routes.push_back(route(prefix.c_str(), "h", prefix.c_str()));
                 }
                 const std::string path = path_of(wanted);
                 std::string longest;
                 for (const gateway_route& it : config.routes)
                 {
                     const bool fits = path.starts_with(it.prefix);
                     longest =
                         fits && it.prefix.size() > longest.size() ? it.prefix : longest;
                 }
                 const gateway_routes table(config);
                 const gateway_route* got = table.find("h", path);
                 RC_ASSERT((got == nullptr ? "" : got->prefix) == longest);
             });
}
