#include "usage_json.hpp"

namespace lagoonladder::version
{

nlohmann::json counts_json(std::map<account_id, std::uint64_t> const& counts)
{
    auto out = nlohmann::json::array();
    for (auto const& [account, count] : counts)
        out.push_back({account, count});
    return out;
}

std::map<account_id, std::uint64_t> counts_from(nlohmann::json const& in)
{
    std::map<account_id, std::uint64_t> counts;
    for (auto const& item : in)
        counts.emplace(item.at(0).get<account_id>(), item.at(1).get<std::uint64_t>());
    return counts;
}

void to_json(nlohmann::json& out, usage_window const& in)
{
    out = {{"counts", counts_json(in.counts)}, {"confirmed", in.is_confirmed}};
}

void from_json(nlohmann::json const& in, usage_window& out)
{
    out.counts = counts_from(in.at("counts"));
    in.at("confirmed").get_to(out.is_confirmed);
}

} // namespace lagoonladder::version
