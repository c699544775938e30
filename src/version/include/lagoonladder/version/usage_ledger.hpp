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

/// Number of requests that began to run at one entry, by usage window and account. The
/// counts are totals of the window so far, so a report may be lost or repeated.
struct usage_report
{
    vm_id vm;
    /// Identifies the start of the daemon. Its totals begin at zero with each start.
    incarnation started;
    /// By window number.
    std::map<std::uint64_t, account_counts> windows;

    friend bool operator==(usage_report const&, usage_report const&) = default;
};

void to_json(nlohmann::json& out, usage_report const& in);
void from_json(nlohmann::json const& in, usage_report& out);

/// Encodes as MessagePack. decode_usage_report throws parse_error on damaged bytes.
std::string encode(usage_report const& value);
usage_report decode_usage_report(std::string const& bytes);

/// Stores the usage reports of all entries and adds them up.
class usage_ledger
{
public:
    /// Stores a report or an update of an earlier one. Keeps the largest count reported for each
    /// window, start of an entry's daemon and account, since reports may arrive out of order.
    void add(usage_report const& report);

    /// Returns the sum of the stored counts of a window over all starts of all entries, by account.
    account_counts totals(std::uint64_t window) const;

    /// Returns the first window that is stored; no value before any report or after all windows
    /// were removed.
    std::optional<std::uint64_t> first_window() const;

    /// Returns the last window that is stored; no value when first_window() has none.
    std::optional<std::uint64_t> last_window() const;

    /// Returns all counts as reports. Adding them to an empty ledger restores the counts.
    std::vector<usage_report> reports() const;

    /// Returns the first window whose reports are not ignored.
    std::uint64_t first_kept() const { return this->first_kept_window; }

    /// Removes the windows before `window` and ignores later reports of them.
    void remove_before(std::uint64_t window);

private:
    /// One start of the daemon of an entry.
    using entry_process = std::pair<vm_id, incarnation>;

    std::map<std::uint64_t, std::map<entry_process, account_counts>> windows;
    /// Earlier windows are removed, and later reports of them are ignored.
    std::uint64_t first_kept_window = 0;
};

} // namespace lagoonladder::version

#endif
