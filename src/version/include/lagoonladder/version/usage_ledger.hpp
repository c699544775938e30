#ifndef LAGOONLADDER_VERSION_USAGE_LEDGER_HPP
#define LAGOONLADDER_VERSION_USAGE_LEDGER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <lagoonladder/base.hpp>

namespace lagoonladder::version
{

using account_counts = std::map<account_id, std::uint64_t>;

/// Requests that began to run at one entry, by window. The counts are totals of the
/// window so far, so that a report may be lost or repeated.
struct usage_report
{
    vm_id vm;
    /// Start of the daemon; its totals begin anew with each start.
    incarnation started;
    std::map<std::uint64_t, account_counts> windows;

    friend bool operator==(usage_report const&, usage_report const&) = default;
};

void to_json(nlohmann::json& out, usage_report const& in);
void from_json(nlohmann::json const& in, usage_report& out);

/// MessagePack. decode_usage_report throws parse_error on damaged bytes.
std::string encode(usage_report const& value);
usage_report decode_usage_report(std::string const& bytes);

/// Adds up the reports of all entries.
class usage_ledger
{
public:
    void add(usage_report const& report);

    /// Totals of a window over all entries.
    account_counts totals(std::uint64_t window) const;

    /// First window that a report has named; no value before any.
    std::optional<std::uint64_t> first_window() const;

    /// Latest window that a report has named; no value before any.
    std::optional<std::uint64_t> last_window() const;

    /// All counts as reports, from which an equal ledger can be made.
    std::vector<usage_report> reports() const;

    /// Drops windows before `window`; later reports of them are ignored.
    void forget_before(std::uint64_t window);

private:
    using source = std::pair<vm_id, incarnation>;

    std::map<std::uint64_t, std::map<source, account_counts>> windows;
    std::uint64_t oldest = 0;
};

} // namespace lagoonladder::version

#endif
