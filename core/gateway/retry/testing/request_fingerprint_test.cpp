#include "core/gateway/retry/request_fingerprint.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a request has the same fingerprint when it is sent again, and no other has it")
{
    const request_parts request{"POST", "h", "/a/b?c=d", "77", "body"};
    const request_fingerprint made = fingerprint_of(request);
    CHECK(made == fingerprint_of(request));

    SECTION("another query or key differs in the whole one only")
    {
        for (const request_parts& it :
             {request_parts{"POST", "h", "/a/b?c=e", "77", "body"},
              request_parts{"POST", "h", "/a/b", "77", "body"},
              request_parts{"POST", "h", "/a/b?c=d", "78", "body"}})
        {
            CHECK(fingerprint_of(it).path == made.path);
            CHECK(fingerprint_of(it).whole != made.whole);
        }
    }
    SECTION("another method, host, path or body differs in both")
    {
        for (const request_parts& it :
             {request_parts{"GET", "h", "/a/b?c=d", "77", "body"},
              request_parts{"POST", "i", "/a/b?c=d", "77", "body"},
              request_parts{"POST", "h", "/a/c?c=d", "77", "body"},
              request_parts{"POST", "h/", "a/b?c=d", "77", "body"},
              request_parts{"POST", "h", "/a/b?c=d", "77", "Body"}})
        {
            CHECK(fingerprint_of(it).path != made.path);
            CHECK(fingerprint_of(it).whole != made.whole);
        }
    }
}

TEST_CASE("a fingerprint is read back from its text")
{
    const request_fingerprint made{0x0123456789abcdefU, 0xfedcba9876543210U};
    CHECK(text_of(made) == "0123456789abcdef-fedcba9876543210");
    CHECK(parse_fingerprint(text_of(made)) == made);
    for (const char* it : {"",
                           "0123456789abcdef",
                           "0123456789abcdef-fedcba987654321",
                           "0123456789ABCDEF-fedcba9876543210",
                           " 123456789abcdef-fedcba9876543210"})
    {
        CHECK_FALSE(parse_fingerprint(it));
    }
}
