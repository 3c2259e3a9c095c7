#include "codec/store_write_codec.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("a notice of a write is read as it was written, and other bytes are none")
{
    rc::prop("for any revision",
             [](std::uint64_t revision)
             {
                 const std::string bytes = encode_store_write({revision});
                 RC_ASSERT(decode_store_write(bytes) == store_write_notice{revision});
                 for (std::size_t n = 0; n < bytes.size(); ++n)
                 {
                     RC_ASSERT(!decode_store_write(bytes.substr(0, n)));
                 }
                 RC_ASSERT(!decode_store_write(bytes + '\x01'));
             });
    rc::prop("for any bytes",
             [](const std::string& text)
             {
                 const auto got = decode_store_write(text);
                 const bool is_same = !got || encode_store_write(*got) == text;
                 RC_ASSERT(is_same);
             });
}
