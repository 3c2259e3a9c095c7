#include "app/settings_reader.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

settings_reader make_reader(const std::string& text)
{
    return value_or_handle([&] { return settings_reader::from_text("f.yaml", text); },
                           [](const error& ec) -> settings_reader
                           { throw std::runtime_error(ec.text); });
}

std::string faults_of(settings_reader& reader)
{
    return value_or_handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(reader.finish());
            return std::string();
        },
        [](const error& ec) { return ec.text; });
}

enum class colour
{
    red,
    blue,
};

constexpr enum_names<colour, 2> colours{{{{colour::red, "red"}, {colour::blue, "blue"}}}};

} // namespace

TEST_CASE("a settings file is read with all its faults collected")
{
    GIVEN("a file with a fault of each kind")
    {
        settings_reader reader = make_reader("listen: nowhere\n"
                                             "slots: 99\n"
                                             "share: much\n"
                                             "strict: maybe\n"
                                             "colour: green\n"
                                             "wait_ms: 2.5\n"
                                             "servers:\n"
                                             "  one: {adress: 127.0.0.1:1}\n"
                                             "  two: 7\n"
                                             "typo: 1\n"
                                             "slots: 3\n");
        settings_map root = reader.root();
        root.require_endpoint("listen");
        root.integer_or("slots", {1, 64}, 3);
        root.number_or("share", {0, 1}, 0.5);
        root.flag_or("strict", true);
        root.choice_or("colour", colours, colour::red);
        root.milliseconds_or("wait_ms", {milliseconds(1), seconds(1)}, milliseconds(5));
        root.require_text("name");
        for (named_settings_map& it : root.named_maps("servers"))
        {
            it.map.require_endpoint("address");
        }
        root.add_fault("slots", "must not exceed the connections");

        THEN("each is reported with file, line and key")
        {
            CHECK(faults_of(reader) ==
                  "f.yaml:1: listen: must be an address as IP:port\n"
                  "f.yaml:1: name: is missing\n"
                  "f.yaml:2: slots: must be 1 to 64, not 99\n"
                  "f.yaml:2: slots: must not exceed the connections\n"
                  "f.yaml:3: share: must be a number\n"
                  "f.yaml:4: strict: must be true or false\n"
                  "f.yaml:5: colour: must be one of red, blue\n"
                  "f.yaml:6: wait_ms: must be a whole number\n"
                  "f.yaml:8: servers.one.address: is missing\n"
                  "f.yaml:8: servers.one.adress: is not a known setting\n"
                  "f.yaml:9: servers.two: must be a mapping\n"
                  "f.yaml:9: servers.two.address: is missing\n"
                  "f.yaml:10: typo: is not a known setting\n"
                  "f.yaml:11: slots: is a duplicate key");
        }
    }

    GIVEN("a file without faults")
    {
        settings_reader reader = make_reader("listen: '[::1]:80'\n"
                                             "wait_ms: 250\n"
                                             "colour: blue\n"
                                             "peers: [127.0.0.1:1, 127.0.0.1:2]\n"
                                             "steps: [{at: 1}, {at: 2}]\n");
        settings_map root = reader.root();

        THEN("its values are read, and absent ones return their fallback")
        {
            CHECK(root.require_endpoint("listen") == endpoint("[::1]:80"));
            CHECK(root.milliseconds_or("wait_ms", {seconds(0), seconds(1)}, seconds(1)) ==
                  milliseconds(250));
            CHECK(root.choice_or("colour", colours, colour::red) == colour::blue);
            CHECK(root.endpoints("peers").size() == 2);
            for (settings_map& it : root.maps("steps"))
            {
                CHECK(it.require_integer("at", {1, 2}) > 0);
            }
            CHECK(root.text_or("name", "none") == "none");
            CHECK(root.map("limits").integer_or("slots", {1, 64}, 3) == 3);
            CHECK(root.named_maps("services").empty());
            CHECK(faults_of(reader).empty());
        }
    }

    GIVEN("texts whose root is not a YAML mapping")
    {
        THEN("they are rejected with file and line of the fault")
        {
            CHECK_THROWS_WITH(make_reader("a: [1"),
                              Catch::StartsWith("f.yaml:1: is not YAML"));
            CHECK_THROWS_WITH(make_reader("- 1"), "f.yaml:1: must be a mapping");
            CHECK_THROWS_WITH(make_reader(""), "f.yaml:1: must be a mapping");
        }
    }
}
