#include "verdict.hpp"

#include <algorithm>
#include <cmath>

#include "figure_text.hpp"

namespace lagoonladder::version
{

namespace
{

// Above this share the old version's concurrent traffic gets too thin for a test.
constexpr double reference_share = 0.6;

std::string const evidence_prefix = "evidence ";

std::string test_name(move_metric metric, std::optional<route_name> const& route)
{
    return std::string(metric_name(metric)) + (route ? " on route " + route->value() : "");
}

} // namespace

verdict::verdict(move_record const& record, move_settings const& limits)
    : old_version(record.from)
    , fresh_version(record.to)
    , settings(limits)
{
    this->restore(record.figures);
}

void verdict::add(std::vector<traffic_sample> const& samples, double share)
{
    ++this->intervals;
    paired_counts all;
    std::map<route_name, paired_counts> by_route;
    for (auto const& sample : samples)
    {
        if (sample.version != this->old_version && sample.version != this->fresh_version)
            continue;
        bool const is_old = sample.version == this->old_version;
        auto& route = by_route[sample.route];
        (is_old ? route.old : route.fresh).add(sample);
        (is_old ? all.old : all.fresh).add(sample);
    }
    for (auto const metric : all_metrics)
    {
        this->run_test({metric, std::nullopt}, all, this->pooled.old, share);
        for (auto const& [name, counts] : by_route)
            this->run_test({metric, name}, counts, this->routes[name].old, share);
    }
    // Afterwards, so that the tests choose their limits by earlier intervals only.
    this->pooled.add(all);
    for (auto const& [name, counts] : by_route)
        this->routes[name].add(counts);
}

void verdict::run_test(test_key const& key, paired_counts const& interval,
                       version_counts const& past, double share)
{
    if (interval.fresh.requests <= 0)
        return;
    auto const position = this->tests.try_emplace(key, key.metric).first;
    position->second.add(interval, past, share > reference_share, this->settings.interval_limit);
}

double verdict::threshold() const
{
    auto const places = static_cast<double>(this->routes.size() + 1);
    auto const all = places * all_metrics.size() * metric_test::count;
    return std::log(all / this->settings.error_rate);
}

std::optional<verdict::test_key> verdict::strongest() const
{
    auto const found = std::max_element(this->tests.begin(), this->tests.end(),
                                        [](auto const& left, auto const& right) {
                                            return left.second.evidence() < right.second.evidence();
                                        });
    return found == this->tests.end() ? std::nullopt : std::optional(found->first);
}

double verdict::strongest_evidence() const
{
    auto const key = this->strongest();
    return key ? this->tests.at(*key).evidence() : 0;
}

bool verdict::is_bad() const
{
    return this->strongest_evidence() >= this->threshold();
}

bool verdict::is_suspect() const
{
    return this->strongest_evidence() >= this->settings.hold_level;
}

bool verdict::is_decided() const
{
    return this->pooled.fresh.requests >= this->settings.least_requests &&
           this->pooled.old.requests >= this->settings.least_requests;
}

double verdict::busiest_route_rate() const
{
    double most = 0;
    for (auto const& [name, counts] : this->routes)
        most = std::max(most, counts.old.requests + counts.fresh.requests);
    return this->intervals == 0 ? 0 : most / static_cast<double>(this->intervals);
}

std::string verdict::describe() const
{
    auto const key = this->strongest();
    if (!key)
        return "no traffic on version " + this->fresh_version.value();
    auto const& counts = key->route ? this->routes.at(*key->route) : this->pooled;
    auto text = test_name(key->metric, key->route) + ": ";
    if (key->metric == move_metric::failures)
        return text + ratio_text(counts.fresh.failed()) + " on version " +
               this->fresh_version.value() + ", " + ratio_text(counts.old.failed()) +
               " on version " + this->old_version.value();
    return text + "p95 " + p95_text(counts.fresh.latency(key->metric)) + " on version " +
           this->fresh_version.value() + ", " + p95_text(counts.old.latency(key->metric)) +
           " on version " + this->old_version.value();
}

verdict::figure_map verdict::figures() const
{
    figure_map result;
    result["failures_new"] = ratio_text(this->pooled.fresh.failed());
    result["failures_old"] = ratio_text(this->pooled.old.failed());
    result["evidence_needed"] = number_text(this->threshold());
    for (std::size_t i = 1; i < all_metrics.size(); ++i)
    {
        auto const metric = all_metrics[i];
        auto const& old = this->pooled.old.latency(metric);
        if (old.total() == 0)
            continue;
        std::string const name = metric_name(metric);
        result[name + "_p95_new"] = p95_text(this->pooled.fresh.latency(metric));
        result[name + "_p95_old"] = p95_text(old);
        result[name + "_old"] = histogram_text(old);
    }
    for (auto const& [key, test] : this->tests)
    {
        // Less than this is no sign, and a new leader may start from nothing.
        if (test.evidence() > 0)
            result[evidence_prefix + test_name(key.metric, key.route)] =
                number_text(test.evidence());
    }
    return result;
}

void verdict::restore(figure_map const& stored)
{
    auto const text = [&](std::string const& name)
    {
        auto const found = stored.find(name);
        return found == stored.end() ? std::string() : found->second;
    };
    auto const fresh = parse_ratio(text("failures_new"));
    auto const old = parse_ratio(text("failures_old"));
    this->pooled.fresh.requests = fresh.total;
    this->pooled.fresh.failures = fresh.events;
    this->pooled.old.requests = old.total;
    this->pooled.old.failures = old.events;
    for (std::size_t i = 1; i < all_metrics.size(); ++i)
        this->pooled.old.latency(all_metrics[i]) =
            parse_histogram(text(std::string(metric_name(all_metrics[i])) + "_old"));
    for (auto const& [name, value] : stored)
    {
        if (name.compare(0, evidence_prefix.size(), evidence_prefix) != 0)
            continue;
        auto const rest = name.substr(evidence_prefix.size());
        for (auto const metric : all_metrics)
        {
            auto const with_route = test_name(metric, route_name());
            test_key key{metric, std::nullopt};
            if (rest.compare(0, with_route.size(), with_route) == 0)
                key.route = route_name(rest.substr(with_route.size()));
            else if (rest != metric_name(metric))
                continue;
            this->tests.try_emplace(key, metric).first->second.restore(parse_figure(value));
            if (key.route)
                this->routes[*key.route];
        }
    }
}

} // namespace lagoonladder::version
