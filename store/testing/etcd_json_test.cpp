#include "store/base64.hpp"
#include "store/etcd_json.hpp"
#include "store/instance_json.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("base64 decodes to the bytes that were encoded")
{
    SECTION("the examples of RFC 4648")
    {
        CHECK(to_base64("f") == "Zg==");
        CHECK(to_base64("fo") == "Zm8=");
        CHECK(to_base64("foobar") == "Zm9vYmFy");
    }

    SECTION("text that is not canonical base64 is rejected")
    {
        const std::string bad = GENERATE(
            as<std::string>(), "Z", "Zg=", "Zg=a", "Z===", "====", "Zh==", "Zg\n=");
        CHECK_FALSE(parse_base64(bad));
    }

    rc::prop("any bytes",
             [](const std::string& bytes)
             { RC_ASSERT(parse_base64(to_base64(bytes)) == bytes); });
}

TEST_CASE("a prefix range contains exactly the keys that begin with the prefix")
{
    rc::prop("any prefix, any key",
             [](const std::string& prefix, const std::string& key)
             {
                 const std::string end = prefix_end(prefix);
                 const bool is_open = end == std::string(1, '\0');
                 const bool is_covered = key >= prefix && (is_open || key < end);
                 RC_ASSERT(is_covered == key.starts_with(prefix));
             });
}

TEST_CASE("malformed answers are rejected")
{
    Json::Value header;
    header["header"]["revision"] = "7";

    SECTION("to a read")
    {
        CHECK(read_range(header)->at.value == 7);
        CHECK_FALSE(read_range(Json::Value()));
        CHECK_FALSE(read_range(Json::Value(Json::objectValue)));
        header["kvs"] = "none";
        CHECK_FALSE(read_range(header));
        header["kvs"] = Json::Value(Json::arrayValue);
        header["kvs"][0]["key"] = "not base64!";
        CHECK_FALSE(read_range(header));
    }

    SECTION("to a write, without success or the key's entry")
    {
        CHECK_FALSE(read_txn(header));
        header["responses"][0]["response_range"] = Json::Value(Json::objectValue);
        CHECK(read_txn(header)->end == store_end::conflict);
        header["succeeded"] = true;
        CHECK(read_txn(header)->revision.value == 7);
        header["header"]["revision"] = "-7";
        CHECK_FALSE(read_txn(header));
    }

    SECTION("to a lease call; a TTL of 0 means that the lease has lapsed")
    {
        Json::Value answer;
        answer["ID"] = "5";
        CHECK(read_lease(answer)->end == store_end::failed);
        answer["TTL"] = "3";
        CHECK(read_lease(answer)->time_to_live == seconds(3));
        answer["ID"] = Json::Value();
        CHECK_FALSE(read_lease(answer));
    }

    SECTION("of the instance list")
    {
        const instance_entry entry{instance_id("r1"),
                                   instance_role::router,
                                   data_centre("a"),
                                   endpoint("127.0.0.1:1"),
                                   instance_state::leaving};
        Json::Value form = to_json(entry);
        CHECK(read_instance(form)->state == instance_state::leaving);
        form["state"] = "asleep";
        CHECK_FALSE(read_instance(form));
    }
}
