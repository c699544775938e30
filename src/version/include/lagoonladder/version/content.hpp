#ifndef LAGOONLADDER_VERSION_CONTENT_HPP
#define LAGOONLADDER_VERSION_CONTENT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

/// Identifies packed bytes by their SHA-256 digest in hexadecimal digits.
using content_digest = strong_id<struct content_digest_tag>;

/// Maximum size of a part. A link of 10 Mbit/s carries one in 27 ms, so heartbeats queued
/// behind it still arrive in time.
constexpr std::uint64_t max_content_part_bytes = 32 * 1024;

/// Maximum size of a content after compression.
constexpr std::uint64_t max_content_bytes = 4 * 1024 * 1024;

/// Maximum size of a content before compression.
constexpr std::uint64_t max_plain_bytes = 64 * 1024 * 1024;

/// A compressed text, identified by its digest. Immutable; copies share the bytes.
struct packed_content
{
    content_digest digest;
    /// Null if only the digest is known.
    std::shared_ptr<std::string const> bytes;

    bool has_bytes() const { return this->bytes != nullptr; }
    std::uint64_t size() const { return this->bytes ? this->bytes->size() : 0; }
};

/// Compresses a text. Throws parse_error if it is larger than max_plain_bytes, or than
/// max_content_bytes after compression.
packed_content pack(std::string const& plain);

/// Wraps compressed bytes. Throws parse_error if their digest differs from `digest`.
packed_content make_packed(content_digest const& digest, std::string bytes);

/// Decompresses a content. Throws parse_error if the bytes are missing or damaged.
std::string unpack(packed_content const& content);

/// A part of a packed content, as sent in one command.
struct content_part
{
    content_digest digest;
    /// Offset of `bytes` in the content, in bytes.
    std::uint64_t offset = 0;
    /// Size of the complete content, in bytes.
    std::uint64_t total = 0;
    std::string bytes;
};

/// Splits a content into parts of max_content_part_bytes; the last one may be shorter. Returns
/// no parts if the bytes are missing.
std::vector<content_part> split(packed_content const& content);

} // namespace lagoonladder::version

#endif
