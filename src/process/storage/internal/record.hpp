#ifndef LAGOONLADDER_STORAGE_RECORD_HPP
#define LAGOONLADDER_STORAGE_RECORD_HPP

#include <optional>
#include <string>

#include <lagoonladder/storage/log_store.hpp>

namespace lagoonladder::storage
{

enum class segment_kind : std::uint64_t
{
    /// Begins with a record that holds the whole state.
    checkpoint = 1,
    /// Continues the segment before.
    continuation = 2
};

struct segment_header
{
    std::uint64_t number = 0;
    segment_kind kind = segment_kind::checkpoint;
};

/// Bytes of an encoded segment header.
constexpr std::uint64_t segment_header_bytes = 32;

std::string encode_segment_header(segment_header const& header);
/// No value when the header is damaged.
std::optional<segment_header> decode_segment_header(std::string const& bytes);

/// A record carries one batch, so that a torn batch is dropped as a whole. The
/// checksum covers length, segment and offset besides the payload: a record that
/// was copied elsewhere does not count as a good one.
std::string encode_record(std::uint64_t segment, std::uint64_t offset, std::string const& payload);

/// Payload of the record at `offset`; no value when there is no good record.
std::optional<std::string> decode_record(std::string const& bytes, std::uint64_t segment,
                                         std::uint64_t offset);

/// Bytes that a record takes besides its payload.
constexpr std::uint64_t record_overhead_bytes = 16;

/// Offset of the first good record that begins after `offset`.
std::optional<std::uint64_t> find_record_after(std::string const& bytes, std::uint64_t segment,
                                               std::uint64_t offset);

/// Content of a snapshot file, with a checksum.
std::string encode_snapshot_file(consensus::snapshot const& state);
/// Throws storage_error that names `path` when the file is damaged.
consensus::snapshot decode_snapshot_file(std::string const& path, std::string const& bytes);

/// Content of a record.
struct batch
{
    std::optional<consensus::hard_state> hard_state;
    std::vector<consensus::log_entry> entries;
    /// Only in the first record of a checkpoint: index and term of its snapshot.
    std::optional<std::pair<consensus::log_index, consensus::term_number>> snapshot;
};

std::string encode_batch(batch const& content);
/// Throws storage_error when the payload is malformed.
batch decode_batch(std::string const& payload);

} // namespace lagoonladder::storage

#endif
