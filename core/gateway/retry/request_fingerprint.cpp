#include "core/gateway/retry/request_fingerprint.hpp"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>

namespace camphorrock
{
namespace
{

// Hashes one part after the other, so that bytes cannot move from one to the next.
std::uint64_t hash_part(std::string_view part, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), seed + part.size());
}

} // namespace

request_fingerprint fingerprint_of(const request_parts& request)
{
    const std::string_view path = request.target.substr(0, request.target.find('?'));
    std::uint64_t hash = hash_part(request.body, 0);
    hash = hash_part(request.method, hash);
    hash = hash_part(request.host, hash);
    hash = hash_part(path, hash);
    request_fingerprint made;
    made.path = hash;
    hash = hash_part(request.target.substr(path.size()), hash);
    made.whole = hash_part(request.key, hash);
    return made;
}

std::string fingerprint_text(std::uint64_t fingerprint)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016" PRIx64, fingerprint);
    return buf;
}

std::optional<request_fingerprint> parse_fingerprint(std::string_view text)
{
    const std::string copy(text);
    request_fingerprint made;
    std::sscanf(copy.c_str(), "%16" SCNx64 "-%16" SCNx64, &made.whole, &made.path);
    return text_of(made) == copy ? std::optional(made) : std::nullopt;
}

std::string text_of(const request_fingerprint& fingerprint)
{
    return fingerprint_text(fingerprint.whole) + "-" + fingerprint_text(fingerprint.path);
}

} // namespace camphorrock
