#ifndef LAGOONLADDER_STORAGE_RECORD_HPP
#define LAGOONLADDER_STORAGE_RECORD_HPP

#include <optional>
#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

enum class segment_kind : std::uint64_t
{
    /// Begins with a record that holds the complete state.
    checkpoint = 1,
    /// Continues the previous segment.
    continuation = 2
};

struct segment_header
{
    std::uint64_t number = 0;
    segment_kind kind = segment_kind::checkpoint;
};

/// Size of an encoded segment header, in bytes.
constexpr std::uint64_t segment_header_bytes = 32;

std::string encode_segment_header(segment_header const& header);
/// Returns no value if the header is damaged.
std::optional<segment_header> decode_segment_header(std::string const& bytes);

/// Encodes a record. A record holds one batch, so that an incompletely written batch is discarded
/// entirely. The checksum covers the length, the segment number and the offset besides the payload,
/// so that a copy of the record at another place is not valid.
std::string encode_record(std::uint64_t segment, std::uint64_t offset, std::string const& payload);

/// Returns the payload of the record at `offset`; no value if there is no valid record.
std::optional<std::string> decode_record(std::string const& bytes, std::uint64_t segment,
                                         std::uint64_t offset);

/// Size of a record without its payload, in bytes.
constexpr std::uint64_t record_overhead_bytes = 16;

/// Returns the offset of the first valid record that begins after `offset`; no value if there is
/// none.
std::optional<std::uint64_t> find_record_after(std::string const& bytes, std::uint64_t segment,
                                               std::uint64_t offset);

/// Encodes the content of a snapshot file, with a checksum.
std::string encode_snapshot_file(consensus::snapshot const& state);
/// Throws storage_error, which names `path`, if the file is damaged.
consensus::snapshot decode_snapshot_file(std::string const& path, std::string const& bytes);

/// Content of a record.
struct batch
{
    std::optional<consensus::hard_state> hard_state;
    std::vector<consensus::log_entry> entries;
    /// Index and term of the snapshot; set only in the first record of a checkpoint.
    std::optional<std::pair<consensus::log_index, consensus::term_number>> snapshot;
};

std::string encode_batch(batch const& content);
/// Throws storage_error if the payload is malformed.
batch decode_batch(std::string const& payload);

} // namespace lagoonladder::storage

#endif
