#include "net/answer_parser.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

namespace
{

const std::string own = "Id: 2\r\n";
const std::string other = "Id: 1\r\n";
const std::string interim = "HTTP/1.1 100 Continue\r\nId: 2\r\n\r\n";

std::string answer(const std::string& id, const std::string& body, int status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " Any\r\n" + id +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunked(const std::string& id, const std::string& chunks)
{
    return "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n" + chunks;
}

answer_rules make_rules()
{
    answer_rules made;
    made.max_head_bytes = 4000;
    made.max_answer_bytes = 8000;
    made.is_own_answer = [](const http_response& it)
    {
        return it.headers.find("Id") == "2";
    };
    return made;
}

struct outcome
{
    answer_state state = answer_state::incomplete;
    std::size_t used = 0; // meaningful for answers that are complete
    http_response got;
    bool is_connection_kept = false;
};

// Feeds the pieces one after the other, and the end of the connection if `has_end`.
outcome parse(const std::vector<std::string>& pieces,
              const answer_rules& rules = make_rules(),
              bool has_end = false)
{
    memory_claim memory(nullptr);
    answer_parser parser(rules, memory);
    outcome made;
    for (const std::string& it : pieces)
    {
        made.used += parser.feed(it);
    }
    if (has_end)
    {
        parser.feed_end();
    }
    made.state = parser.state();
    made.is_connection_kept = parser.is_connection_kept();
    made.got = parser.take_answer();
    return made;
}

// Calls `check` with the text as a whole, and divided in two at each byte.
template<class Check>
void divide_at_every_byte(const std::string& text, Check check)
{
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        INFO("divided after " << n << " bytes of " << text);
        check(std::vector<std::string>{text.substr(0, n), text.substr(n)});
    }
}

std::vector<std::string> single_bytes(const std::string& text)
{
    std::vector<std::string> made;
    for (char it : text)
    {
        made.emplace_back(1, it);
    }
    return made;
}

} // namespace

// Guards against answers that are lost: a copy of another request's refusal arrived in
// one read with the own answer, and libcurl dropped the latter (issue 41).
TEST_CASE("the own answer is found behind others, however the reads divide the bytes")
{
    const std::string last =
        GENERATE(as<std::string>(),
                 answer(own, "new"),
                 chunked(own, "1\r\nn\r\n2;a=b\r\new\r\n0\r\nX: 1\r\n\r\n"));
    const std::string text =
        GENERATE_COPY(as<std::string>(),
                      last,
                      answer(other, "old", 503) + last,
                      answer(other, "", 421) + last,
                      chunked(other, "3\r\nold\r\n0\r\nX: 1\r\n\r\n") + last,
                      "HTTP/1.1 204 No Content\r\n" + other + "\r\n" + last,
                      "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n" + last,
                      interim + answer(other, "old") + interim + last,
                      answer(other, "old") + answer(other, "older") + last,
                      "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 2\r\n"
                      "\r\nno" +
                          last);
    const std::string behind =
        GENERATE(as<std::string>(), "", "HTTP/1.1 200 OK\r\n", "\r\n", "x");
    auto check = [&](const std::vector<std::string>& pieces)
    {
        const outcome it = parse(pieces);
        REQUIRE(it.state == answer_state::complete);
        CHECK(it.used == text.size());
        CHECK(it.got.status == 200);
        CHECK(it.got.body == "new");
        CHECK(it.got.headers.find("Id") == "2");
        CHECK_FALSE(it.got.headers.find("X")); // a trailer
        CHECK(it.is_connection_kept == (text == last));
    };
    divide_at_every_byte(text + behind, check);
    check(single_bytes(text + behind));
}

TEST_CASE("an answer without a body ends with its head")
{
    answer_rules rules = make_rules();
    const std::string head = GENERATE(as<std::string>(),
                                      "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n",
                                      "HTTP/1.1 304 No\r\nId: 2\r\n"
                                      "Content-Length: 5\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\nId: 2\r\n"
                                      "Content-Length: 5\r\n\r\n");
    rules.is_head_request = true;
    divide_at_every_byte(head + "12345",
                         [&](const std::vector<std::string>& pieces)
                         {
                             const outcome it = parse(pieces, rules);
                             CHECK(it.state == answer_state::complete);
                             CHECK(it.used == head.size());
                             CHECK(it.got.body.empty());
                         });
}

// Guards against an answer in the body of another one being taken for the own: the body
// of a copy that answers a GET request was read as what follows on its head.
TEST_CASE("behind a HEAD request, an answer that may have a body is not skipped")
{
    answer_rules rules = make_rules();
    rules.is_head_request = true;
    const std::string last = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\n";

    SECTION("though its body is a whole answer that bears the own id")
    {
        const std::string first = GENERATE_COPY(
            as<std::string>(),
            answer(other, last),
            answer(other, last, 503),
            chunked(other, last),
            "HTTP/1.1 200 OK\r\nConnection: close\r\n" + other + "\r\n" + last);
        divide_at_every_byte(
            first + last,
            [&](const std::vector<std::string>& pieces)
            { CHECK(parse(pieces, rules).state == answer_state::invalid); });
    }
    SECTION("and one that can't have any is")
    {
        const std::string first =
            GENERATE_COPY(as<std::string>(),
                          answer(other, ""),
                          "HTTP/1.1 204 No Content\r\n" + other + "\r\n",
                          "HTTP/1.1 304 No\r\nContent-Length: 7\r\n\r\n");
        divide_at_every_byte(first + last,
                             [&](const std::vector<std::string>& pieces)
                             {
                                 const outcome it = parse(pieces, rules);
                                 CHECK(it.state == answer_state::complete);
                                 CHECK(it.used == first.size() + last.size());
                                 CHECK(it.got.headers.find("Id") == "2");
                             });
    }
    SECTION("also if its body is no answer")
    {
        CHECK(parse({answer(other, "old") + last}, rules).state == answer_state::invalid);
        CHECK(parse({chunked(other, "0\r\n\r\n") + last}, rules).state ==
              answer_state::invalid);
    }
}

TEST_CASE("an answer that is cut off at any byte is never complete")
{
    const std::string text = GENERATE(as<std::string>(),
                                      answer(own, "new"),
                                      interim + answer(own, "new"),
                                      answer(other, "old") + answer(own, "new"),
                                      chunked(own, "3\r\nnew\r\n0\r\n\r\n"),
                                      chunked(own, "3\r\nnew\r\n0\r\nX: 1\r\n\r\n"));
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        INFO(text.substr(0, n));
        CHECK(parse({text.substr(0, n)}).state == answer_state::incomplete);
        CHECK(parse({text.substr(0, n)}, make_rules(), true).state ==
              answer_state::invalid);
    }
    CHECK(parse({text}, make_rules(), true).state == answer_state::complete);
}

TEST_CASE("a body without a length or chunks is complete only if that is allowed")
{
    answer_rules rules = make_rules();
    rules.allows_close_delimited = GENERATE(true, false);
    const std::string id = GENERATE(as<std::string>(), "Id: 2\r\n", "Id: 1\r\n");
    const outcome it = parse({"HTTP/1.1 200 OK\r\n" + id + "\r\nnew"}, rules, true);
    const bool is_whole = rules.allows_close_delimited && id == own;
    CHECK(it.state == (is_whole ? answer_state::complete : answer_state::invalid));
    CHECK_FALSE(it.is_connection_kept);
}

TEST_CASE("bytes that are no answer are refused, however the reads divide them")
{
    const std::string text =
        GENERATE(as<std::string>(),
                 "what?\r\n\r\n",
                 "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                 "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551617\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
                 chunked(own, "x\r\nnew\r\n0\r\n\r\n"),
                 chunked(own, "10000000000000001\r\nnew\r\n0\r\n\r\n"),
                 chunked(own, "2\r\nnew\r\n0\r\n\r\n"),
                 answer(other, "old") + "old\r\n" + answer(own, "new"));
    divide_at_every_byte(text,
                         [](const std::vector<std::string>& pieces)
                         { CHECK(parse(pieces).state == answer_state::invalid); });
}

// Guards against answers that readers divide or read in different ways: a status 000 was
// taken for an interim answer, and a blank within a field's name was passed on.
TEST_CASE("a head on which readers could differ is refused, however the reads divide it")
{
    struct row
    {
        answer_fault why;
        std::string head;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const row it = GENERATE_COPY(
        row{answer_fault::status_line, "HTTP/1.1 000 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 099 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 600 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 999 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 20 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 0200 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 2000 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1  200 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 +20 OK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 200\tOK\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 200 O\x01K\r\n"},
        row{answer_fault::status_line, "HTTP/1.1 200 OK\n"},
        row{answer_fault::status_line, "HTTP/01.1 200 OK\r\n"},
        row{answer_fault::status_line, "HTTP/2.0 200 OK\r\n"},
        row{answer_fault::status_line, "http/1.1 200 OK\r\n"},
        row{answer_fault::status_line, "ICY 200 OK\r\n"},
        row{answer_fault::status_line, "\r\n" + ok},
        row{answer_fault::field_value, "HTTP/1.1 200 OK\rX\r\n"},
        row{answer_fault::field_name, ok + "Content Length: 3\r\n"},
        row{answer_fault::field_name, ok + "Content-Length : 3\r\n"},
        row{answer_fault::field_name, ok + "Content-Length\t: 3\r\n"},
        row{answer_fault::field_name, ok + " Content-Length: 3\r\n"},
        row{answer_fault::field_name, ok + "Content\x01-Length: 3\r\n"},
        row{answer_fault::field_name, ok + "Content-Length\x7f: 3\r\n"},
        row{answer_fault::field_name, ok + "X-\xe9: 3\r\n"},
        row{answer_fault::field_name, ok + std::string("X\0: 3\r\n", 8)},
        row{answer_fault::field_name, ok + "X(a): 3\r\n"},
        row{answer_fault::field_name, ok + ": 3\r\n"},
        row{answer_fault::field_name, ok + "no colon\r\n"},
        row{answer_fault::field_name, ok + "NoColon\r\n"},
        row{answer_fault::field_name, ok + "X: a\r\n folded: 1\r\n"},
        row{answer_fault::field_name, ok + "X: a\r\n\tfolded\r\n"},
        row{answer_fault::field_value, ok + "X: a\nContent-Length: 3\r\n"},
        row{answer_fault::field_value, ok + "X: a\rContent-Length: 3\r\n"},
        row{answer_fault::field_value,
            ok + "X: a\x0b"
                 "b\r\n"},
        row{answer_fault::field_value, ok + std::string("X: a\0b\r\n", 8)},
        row{answer_fault::length, ok + "Content-Length: 3\r\nContent-Length: 3\r\n"},
        row{answer_fault::length, ok + "Content-Length: 3, 3\r\n"},
        row{answer_fault::length, ok + "Content-Length: +3\r\n"},
        row{answer_fault::length, ok + "Content-Length: 0x3\r\n"},
        row{answer_fault::length, ok + "Content-Length: 3 3\r\n"},
        row{answer_fault::length, ok + "Content-Length:\r\n"},
        row{answer_fault::encoding, ok + "Transfer-Encoding: gzip\r\n"},
        row{answer_fault::encoding, ok + "Transfer-Encoding: identity\r\n"},
        row{answer_fault::encoding, ok + "Transfer-Encoding: gzip, chunked\r\n"},
        row{answer_fault::encoding, ok + "Transfer-Encoding: chunked, chunked\r\n"},
        row{answer_fault::encoding,
            ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
        row{answer_fault::encoding, ok + "Transfer-Encoding: xchunked\r\n"},
        row{answer_fault::encoding,
            ok + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"},
        row{answer_fault::encoding, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"},
        row{answer_fault::unasked_body, "HTTP/1.1 204 No\r\nContent-Length: 3\r\n"},
        row{answer_fault::unasked_body,
            "HTTP/1.1 204 No\r\nTransfer-Encoding: chunked\r\n"},
        row{answer_fault::unasked_body, "HTTP/1.1 100 Go\r\nContent-Length: 3\r\n"},
        row{answer_fault::unasked_body,
            "HTTP/1.1 103 Go\r\nTransfer-Encoding: chunked\r\n"},
        row{answer_fault::upgrade, "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n"});
    answer_rules rules = make_rules();
    rules.allows_close_delimited = true;
    auto check = [&](const std::vector<std::string>& pieces)
    {
        memory_claim memory(nullptr);
        answer_parser parser(rules, memory);
        for (const std::string& one : pieces)
        {
            parser.feed(one);
        }
        parser.feed_end();
        REQUIRE(parser.state() == answer_state::invalid);
        // libhttp-parser may refuse a length before its head has ended.
        const bool is_framing =
            it.why == answer_fault::length || it.why == answer_fault::encoding;
        const bool is_expected = parser.fault() == it.why ||
                                 (is_framing && parser.fault() == answer_fault::other);
        CAPTURE(name_of(parser.fault()), name_of(it.why));
        CHECK(is_expected);
    };
    const std::string text = it.head + own + "\r\nnew";
    divide_at_every_byte(text, check);
    check(single_bytes(text));
}

// Guards against a status 000 that is skipped like an interim answer, so that the caller
// gets what follows it on the connection.
TEST_CASE("an answer behind a status below 100 is not taken for the own one")
{
    const std::string first =
        GENERATE(as<std::string>(), "000 OK", "099 OK", "020 OK", "000");
    divide_at_every_byte("HTTP/1.1 " + first + "\r\n\r\n" + answer(own, "new"),
                         [](const std::vector<std::string>& pieces)
                         { CHECK(parse(pieces).state == answer_state::invalid); });
}

TEST_CASE("a chunk on which readers could differ is refused")
{
    const std::string chunks = GENERATE(as<std::string>(),
                                        "3\nnew\r\n0\r\n\r\n",
                                        "3\rXnew\r\n0\r\n\r\n",
                                        "3\r\nnewXX0\r\n\r\n",
                                        "3\r\nnew\n0\r\n\r\n",
                                        "3\r\nnew0\r\n\r\n",
                                        " 3\r\nnew\r\n0\r\n\r\n",
                                        "0x3\r\nnew\r\n0\r\n\r\n",
                                        "-3\r\nnew\r\n0\r\n\r\n",
                                        "3 3\r\nnew\r\n0\r\n\r\n",
                                        "3;a\x01\r\nnew\r\n0\r\n\r\n",
                                        "00000000000000003\r\nnew\r\n0\r\n\r\n",
                                        "\r\n3\r\nnew\r\n0\r\n\r\n",
                                        "3\r\nnew\r\n0\r\nX Y: 1\r\n\r\n",
                                        "3\r\nnew\r\n0\r\n: 1\r\n\r\n",
                                        "3\r\nnew\r\n0\r\n\n");
    divide_at_every_byte(chunked(own, chunks),
                         [](const std::vector<std::string>& pieces)
                         { CHECK(parse(pieces).state == answer_state::invalid); });
}

TEST_CASE("a head that only looks unusual is accepted")
{
    const std::string head = GENERATE(as<std::string>(),
                                      "HTTP/1.1 200\r\n",
                                      "HTTP/1.1 200 \r\n",
                                      "HTTP/1.0 200 OK\r\n",
                                      "HTTP/1.1 599 \xc3\xa9\tx\r\n",
                                      "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: 1\r\n",
                                      "HTTP/1.1 200 OK\r\nX:\r\n",
                                      "HTTP/1.1 200 OK\r\nX: \xff\t \r\n",
                                      "HTTP/1.1 100 Go\r\nContent-Length: 0\r\n\r\n"
                                      "HTTP/1.1 200 OK\r\n");
    const std::string text = head + own + "content-length:  3 \r\n\r\nnew";
    divide_at_every_byte(text,
                         [](const std::vector<std::string>& pieces)
                         {
                             const outcome it = parse(pieces);
                             CHECK(it.state == answer_state::complete);
                             CHECK(it.got.body == "new");
                         });
    const outcome it = parse({chunked(own, "0003;a=\"b c\"\r\nnew\r\n000\r\n\r\n")});
    CHECK(it.got.body == "new");
}

TEST_CASE("an answer without an end is refused, and takes no more memory than its bounds")
{
    const answer_rules rules = make_rules();
    const std::string begin = "HTTP/1.1 200 OK\r\n" + own;
    struct row
    {
        std::string begin;
        std::string piece;
    };
    const std::string many(100, 'x');
    const row it = GENERATE_COPY(
        row{"HTTP/1.1 200 ", many},
        row{begin, many},
        row{begin + "X: ", many},
        row{begin + "X:", std::string(100, ' ')},
        row{begin, "X: " + many + "\r\n"},
        row{"", interim},
        row{chunked(own, "0\r\n"), "X: " + many + "\r\n"},
        row{chunked(own, "1;x="), many},
        row{begin + "\r\n", many},
        row{chunked(own, ""), "1\r\nx\r\n"},
        row{"HTTP/1.1 200 OK\r\n" + own + "Content-Length: 10000000\r\n\r\n", many});
    INFO(it.begin << " and " << it.piece);
    constexpr std::size_t endless_bytes = std::size_t{10} << 20;
    memory_claim memory(nullptr);
    answer_parser parser(rules, memory);
    parser.feed(it.begin);
    std::size_t fed = 0;
    while (parser.state() == answer_state::incomplete && fed < endless_bytes)
    {
        fed += parser.feed(it.piece);
    }
    CHECK(parser.state() == answer_state::too_large);
    CHECK(memory.bytes() <= rules.max_answer_bytes + it.piece.size());
    CHECK(parser.feed(it.piece) == 0);
}

TEST_CASE("a head of the default bound is accepted")
{
    answer_rules rules = make_rules();
    rules.max_head_bytes = exchange_options().max_head_bytes;
    rules.max_answer_bytes = exchange_options().max_answer_bytes;
    const std::string value(rules.max_head_bytes - 100, 'x');
    const outcome it = parse(
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + own + "X: " + value + "\r\n\r\n"},
        rules);
    CHECK(it.state == answer_state::complete);
    CHECK(it.got.headers.find("X") == value);
}

TEST_CASE("pieces of a streamed body are taken as they come, without a bound")
{
    answer_rules rules = make_rules();
    rules.is_streamed = true;
    memory_claim memory(nullptr);
    answer_parser parser(rules, memory);
    parser.feed(chunked(own, "4\r\none \r\n3\r\ntw"));
    CHECK(parser.take_pieces() == "one tw");
    CHECK(parser.take_pieces().empty());
    const std::string many(2 * rules.max_answer_bytes, 'x');
    parser.feed("o\r\n" + std::string("3e80\r\n") + many + "\r\n0\r\n\r\n");
    CHECK(parser.state() == answer_state::complete);
    CHECK(parser.take_pieces() == "o" + many);
    CHECK(parser.take_answer().body.empty());
}

TEST_CASE("a text gives the same answer whole and in any reads")
{
    rc::prop("answers, changed in some bytes",
             []
             {
                 static const std::vector<std::string> messages{
                     answer(own, "new"),
                     answer(other, "old", 503),
                     interim,
                     chunked(own, "3\r\nnew\r\n0\r\nX: 1\r\n\r\n"),
                     chunked(other, "3;a=b\r\nold\r\n0\r\n\r\n"),
                     "HTTP/1.0 200 OK\r\n" + own + "\r\nnew"};
                 std::string text;
                 for (int n = *rc::gen::inRange(1, 5); n > 0; --n)
                 {
                     text += *rc::gen::elementOf(messages);
                 }
                 for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
                 {
                     const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
                     text[at] = *rc::gen::element('\r', '\n', ' ', ':', '0', 'f', 'x');
                 }
                 std::vector<std::string> pieces;
                 for (std::size_t at = 0; at < text.size();)
                 {
                     const auto size = *rc::gen::inRange<std::size_t>(1, 40);
                     pieces.push_back(text.substr(at, size));
                     at += size;
                 }
                 const bool has_end = *rc::gen::arbitrary<bool>();
                 const outcome whole = parse({text}, make_rules(), has_end);
                 const outcome divided = parse(pieces, make_rules(), has_end);
                 RC_ASSERT(whole.state == divided.state);
                 const bool is_complete = whole.state == answer_state::complete;
                 RC_ASSERT(!is_complete || whole.used == divided.used);
                 RC_ASSERT(!is_complete || whole.got.body == divided.got.body);
                 RC_ASSERT(!is_complete || whole.got.headers.find("Id") == "2");
             });
}
