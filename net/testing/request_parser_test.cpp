#include "net/request_parser.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

struct parser_fixture
{
    void feed(const std::string& bytes)
    {
        parser.feed(bytes,
                    [this](parsed_request got) { requests.push_back(std::move(got)); });
    }

    int refusal_status() const
    {
        return parser.refusal() ? parser.refusal()->status : 0;
    }

    request_parser parser{{256, 64}};
    std::vector<parsed_request> requests;
};

const std::string get = "GET /a/b?c=d%20e HTTP/1.1\r\nHost: x\r\nOne: 1\r\n\r\n";

} // namespace

TEST_CASE("requests are parsed as they were sent")
{
    parser_fixture it;

    SECTION("whole, with target and headers unchanged")
    {
        it.feed(get);
        REQUIRE(it.requests.size() == 1);
        CHECK(it.requests[0].request.method == "GET");
        CHECK(it.requests[0].request.target == "/a/b?c=d%20e");
        CHECK(it.requests[0].request.headers.find("one") == "1");
        CHECK_FALSE(it.requests[0].is_last);
    }
    SECTION("byte by byte")
    {
        for (char c : get + get)
        {
            it.feed(std::string(1, c));
        }
        CHECK(it.requests.size() == 2);
    }
    SECTION("several at once")
    {
        it.feed(get + get + get);
        CHECK(it.requests.size() == 3);
    }
    SECTION("with a body of a stated length or in chunks")
    {
        it.feed("POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhel");
        CHECK(it.parser.is_in_request());
        it.feed("lo");
        it.feed("POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
        REQUIRE(it.requests.size() == 2);
        CHECK(it.requests[0].request.body == "hello");
        CHECK(it.requests[1].request.body == "hello");
    }
    SECTION("the last one is marked")
    {
        it.feed("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        REQUIRE(it.requests.size() == 1);
        CHECK(it.requests[0].is_last);
    }
    SECTION("one that expects 100 Continue is reported once")
    {
        it.feed("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
        CHECK(it.parser.take_expect_continue());
        CHECK_FALSE(it.parser.take_expect_continue());
    }
}

TEST_CASE("a request that parsers could read differently is refused")
{
    parser_fixture it;
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\n";

    SECTION("two lengths")
    {
        it.feed(head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab");
    }
    SECTION("a length beside an encoding")
    {
        it.feed(head +
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    }
    SECTION("an unknown encoding")
    {
        it.feed(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n");
    }
    SECTION("a line that ends without a carriage return")
    {
        it.feed("GET / HTTP/1.1\r\nHost: x\nOne: 1\r\n\r\n");
    }
    SECTION("the same line ending, split between two reads")
    {
        it.feed("GET / HTTP/1.1\r\nHost: x");
        it.feed("\nOne: 1\r\n\r\n");
    }
    SECTION("the same line ending, in the blank line")
    {
        it.feed("GET / HTTP/1.1\r\nHost: x\r\n\n");
    }
    SECTION("a space in a header's name")
    {
        it.feed("GET / HTTP/1.1\r\nHost : x\r\n\r\n");
    }
    SECTION("a length that is not a number")
    {
        it.feed(head + "Content-Length: +2\r\n\r\nab");
    }
    SECTION("bytes that are not a request")
    {
        it.feed("\x16\x03\x01\x02");
    }
    CHECK(it.requests.empty());
    CHECK(it.refusal_status() >= 400);
}

TEST_CASE("a body may contain any bytes")
{
    parser_fixture it;
    const std::string inner = "GET /in HTTP/1.1\n\n";
    it.feed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
            std::to_string(inner.size()) + "\r\n\r\n" + inner);
    REQUIRE(it.requests.size() == 1);
    CHECK(it.requests[0].request.body == inner);
}

// Guards against proper requests that are answered 400 (DENIED): line feeds in a body
// were taken for those of the head if the end of the head came with the body.
TEST_CASE("the end of a head is found wherever the bytes are divided")
{
    const std::string first =
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\na\nb\n";
    const std::string second =
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
        "\r\n3\r\nc\nd\r\n0\r\n\r\n";
    const std::string all = first + second + get;
    for (std::size_t n = 0; n <= all.size(); ++n)
    {
        CAPTURE(n);
        parser_fixture it;
        it.feed(all.substr(0, n));
        it.feed(all.substr(n));
        REQUIRE(it.requests.size() == 3);
        CHECK(it.requests[0].request.body == "a\nb\n");
        CHECK(it.requests[1].request.body == "c\nd");
        CHECK(it.refusal_status() == 0);
    }
}

// Guards against requests that other parsers read differently: only the first head of
// each read was looked at.
TEST_CASE("each head is looked at for lines that end without a carriage return")
{
    parser_fixture it;
    it.feed(get + "GET / HTTP/1.1\r\nHost: x\nOne: 1\r\n\r\n");
    CHECK(it.requests.size() == 1);
    CHECK(it.refusal_status() == 400);
}

TEST_CASE("a request that is too large is refused")
{
    parser_fixture it;

    SECTION("headers")
    {
        it.feed("GET / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(300, 'a'));
        CHECK(it.refusal_status() == 431);
    }
    SECTION("a target")
    {
        it.feed("GET /" + std::string(300, 'a'));
        CHECK(it.refusal_status() == 431);
    }
    SECTION("a stated length")
    {
        it.feed("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n");
        CHECK(it.refusal_status() == 413);
    }
    SECTION("chunks")
    {
        it.feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                std::string(65, 'a'));
        CHECK(it.refusal_status() == 413);
    }
    CHECK(it.requests.empty());
}

TEST_CASE("the parser accepts or refuses any bytes")
{
    rc::prop("any bytes, in any pieces",
             [](const std::vector<std::string>& pieces)
             {
                 parser_fixture it;
                 it.feed("POST / HTTP/1.1\r\n");
                 for (const std::string& piece : pieces)
                 {
                     it.feed(piece);
                 }
                 RC_ASSERT(it.requests.size() <= pieces.size() * 100);
             });
}
