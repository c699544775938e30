#include "verdict.hpp"

#include <algorithm>
#include <cmath>

#include "figure_text.hpp"

namespace lagoonladder::version
{

namespace
{

// Above this share the old version has too little concurrent traffic for a test.
constexpr double max_concurrent_share = 0.6;

/// Ratio of the open calls of the new version to those that it would have if it were as fast
/// as the old one. A version as good as the old one rarely exceeds it.
constexpr double backlog_factor = 2.5;
/// Fewer open calls are not significant.
constexpr double min_backlog = 4;

/// The metrics in which a new version has to be shown to be as good as the old one.
constexpr std::array<move_metric, 2> shown_metrics{move_metric::failures, move_metric::whole_call};
/// Increases of the failure rate from which a new version is not as good as the old one. A route
/// gets fewer calls than the service, so that only a larger increase shows in time.
constexpr double pooled_failure_margin = 0.3;
constexpr double route_failure_margin = 0.35;
/// A new version that takes this many times as long is not as good as the old one. Model engines
/// start without prompt prefixes in memory, so that their first calls take up to twice as long.
constexpr double bad_slowdown = 2.5;
constexpr double bad_stream_slowdown = 4;
/// Evidence, in nats, that shows a version to be as good on all routes together. A version that is
/// worse by the margin reaches it with a probability of about 0.08.
constexpr double pooled_evidence_needed = 2.5;
/// Routes with at least this part of the traffic are also compared each by itself. In a short move
/// they get too few calls to show a good version, but enough to show a worse one.
constexpr double min_route_fraction = 0.2;
constexpr double route_evidence_needed = -2;

double as_good_evidence_needed(std::optional<route_name> const& route)
{
    return route ? route_evidence_needed : pooled_evidence_needed;
}

double bad_slowdown_of(version_counts const& reference)
{
    bool const has_streams = reference.latency(move_metric::first_token).total() > 0;
    return has_streams ? bad_stream_slowdown : bad_slowdown;
}

/// Returns whether a worse version would show in this metric on a route.
bool is_comparable(move_metric metric, version_counts const& reference)
{
    // Calls that end at their timeout with every version take equally long with a slower one.
    if (reference.failure_count().rate() > max_comparable_failure_rate)
        return false;
    return metric == move_metric::failures ||
           is_slowdown_noticeable(reference, metric, bad_slowdown_of(reference));
}

std::string const evidence_prefix = "evidence ";
std::string const as_good_prefix = "as_good ";

std::string const route_separator = " on route ";

std::string route_suffix(route_name const& route)
{
    return route_separator + route.value();
}

std::string test_name(move_metric metric, std::optional<route_name> const& route)
{
    return metric_name(metric) + (route ? route_suffix(*route) : "");
}

/// Returns the route in "PREFIX on route NAME", or no value for another figure.
std::optional<route_name> route_after(std::string const& figure, std::string const& prefix)
{
    auto const start = prefix + route_separator;
    if (figure.compare(0, start.size(), start) != 0)
        return std::nullopt;
    return route_name(figure.substr(start.size()));
}

void store_counts(verdict::figure_map& target, paired_counts const& counts,
                  std::string const& suffix)
{
    target["failures_new" + suffix] = ratio_text(counts.candidate.failure_count());
    target["failures_old" + suffix] = ratio_text(counts.stable.failure_count());
    for (auto const metric : all_metrics)
    {
        if (metric == move_metric::failures || counts.stable.latency(metric).total() == 0)
            continue;
        std::string const name = metric_name(metric);
        target[name + "_p95_new" + suffix] = p95_text(counts.candidate.latency(metric));
        target[name + "_p95_old" + suffix] = p95_text(counts.stable.latency(metric));
        target[name + "_old" + suffix] = histogram_text(counts.stable.latency(metric));
    }
}

paired_counts stored_counts(verdict::figure_map const& stored, std::string const& suffix)
{
    auto const text = [&](std::string const& name)
    {
        auto const found = stored.find(name + suffix);
        return found == stored.end() ? std::string() : found->second;
    };
    paired_counts counts;
    auto const candidate = parse_ratio(text("failures_new"));
    auto const stable = parse_ratio(text("failures_old"));
    counts.candidate.requests = candidate.total;
    counts.candidate.failures = candidate.events;
    counts.stable.requests = stable.total;
    counts.stable.failures = stable.events;
    for (auto const metric : all_metrics)
    {
        if (metric != move_metric::failures)
            counts.stable.latency(metric) =
                parse_histogram(text(std::string(metric_name(metric)) + "_old"));
    }
    return counts;
}

double stored_number(verdict::figure_map const& stored, std::string const& name)
{
    auto const found = stored.find(name);
    return found == stored.end() ? 0 : parse_number(found->second);
}

} // namespace

verdict::verdict(move_record const& record, move_settings const& initial_settings)
    : service(record.service)
    , stable_version(record.from)
    , candidate_version(record.to)
    , settings(initial_settings)
{
    this->restore(record.figures);
}

void verdict::add(std::vector<traffic_sample> const& samples, double share)
{
    ++this->intervals;
    paired_counts interval;
    std::map<route_name, paired_counts> by_route;
    for (auto const& sample : samples)
    {
        bool const is_compared =
            sample.service == this->service &&
            (sample.version == this->stable_version || sample.version == this->candidate_version);
        if (!is_compared)
            continue;
        bool const is_stable = sample.version == this->stable_version;
        auto& route = by_route[sample.route];
        (is_stable ? route.stable : route.candidate).add(sample);
        (is_stable ? interval.stable : interval.candidate).add(sample);
    }
    for (auto const metric : all_metrics)
    {
        this->run_test({metric, std::nullopt}, interval, this->pooled.stable, share);
        for (auto const& [name, counts] : by_route)
            this->run_test({metric, name}, counts, this->routes[name].stable, share);
    }
    // Added after the tests, which derive their bucket edges and tolerated rates from earlier
    // intervals only.
    this->pooled.add(interval);
    for (auto const& [name, counts] : by_route)
        this->routes[name].add(counts);
    this->run_non_inferiority_tests(by_route);
}

void verdict::run_non_inferiority_tests(std::map<route_name, paired_counts> const& interval)
{
    for (auto const metric : shown_metrics)
    {
        // The evidence of all routes is the sum of theirs. Were the calls pooled, a different mix
        // of routes would look like a difference of the versions.
        non_inferiority_evidence sum;
        for (auto const& [name, counts] : interval)
        {
            auto const& candidate = counts.candidate;
            auto const& reference = this->routes[name].stable;
            if (!is_comparable(metric, reference))
                continue;
            auto const evidence = [&](double failure_margin)
            {
                return metric == move_metric::failures
                           ? failure_evidence(candidate, reference, failure_margin)
                           : latency_evidence(candidate, reference, metric,
                                              bad_slowdown_of(reference));
            };
            sum.add(evidence(pooled_failure_margin));
            // A route has too few calls to tell a part of them from chance.
            auto const all_calls = evidence(route_failure_margin).all_calls;
            this->comparison({metric, name}).add({all_calls, all_calls});
        }
        this->comparison({metric, std::nullopt}).add(sum);
    }
}

std::vector<verdict::test_key> verdict::required_comparisons() const
{
    std::vector<test_key> keys;
    auto const total = this->pooled.candidate.requests + this->pooled.stable.requests;
    for (auto const metric : shown_metrics)
    {
        bool is_any_comparable = false;
        for (auto const& [name, counts] : this->routes)
        {
            if (!is_comparable(metric, counts.stable))
                continue;
            is_any_comparable = true;
            auto const requests = counts.candidate.requests + counts.stable.requests;
            if (requests >= min_route_fraction * total)
                keys.push_back({metric, name});
        }
        // Without any route to compare, the failures are still required, so that a move without
        // traffic is not decided.
        if (is_any_comparable || metric == move_metric::failures)
            keys.push_back({metric, std::nullopt});
    }
    return keys;
}

bool verdict::is_shown_as_good(test_key const& key) const
{
    auto const found = this->non_inferiority_tests.find(key);
    return found != this->non_inferiority_tests.end() && found->second.is_passed();
}

bool verdict::is_shown_as_good() const
{
    auto const keys = this->required_comparisons();
    return std::all_of(keys.begin(), keys.end(),
                       [this](test_key const& key) { return this->is_shown_as_good(key); });
}

std::string verdict::describe_unshown() const
{
    std::string text;
    for (auto const& key : this->required_comparisons())
    {
        if (this->is_shown_as_good(key))
            continue;
        auto const found = this->non_inferiority_tests.find(key);
        auto const evidence =
            found == this->non_inferiority_tests.end() ? 0 : found->second.evidence();
        text += (text.empty() ? "" : ", ") + test_name(key.metric, key.route) + " " +
                number_text(evidence) + " of " + number_text(as_good_evidence_needed(key.route));
    }
    return text;
}

non_inferiority_test& verdict::comparison(test_key const& key)
{
    return this->non_inferiority_tests.try_emplace(key, as_good_evidence_needed(key.route))
        .first->second;
}

sent_requests verdict::sent() const
{
    return {this->pooled.candidate.sent, this->pooled.candidate.sent + this->pooled.stable.sent};
}

void verdict::add_unobserved(sent_requests const& requests)
{
    this->pooled.candidate.sent += requests.candidate;
    this->pooled.stable.sent += requests.total - requests.candidate;
}

void verdict::run_test(test_key const& key, paired_counts const& interval,
                       version_counts const& earlier_counts, double share)
{
    if (interval.candidate.requests <= 0)
        return;
    auto const position = this->tests.try_emplace(key, key.metric).first;
    position->second.add(interval, earlier_counts, share > max_concurrent_share,
                         this->settings.max_interval_evidence);
}

double verdict::threshold() const
{
    // The tests run on each route and on all routes pooled.
    auto const scope_count = static_cast<double>(this->routes.size() + 1);
    auto const test_count = scope_count * all_metrics.size() * metric_test::tests_per_metric;
    return std::log(test_count / this->settings.error_rate);
}

std::optional<verdict::test_key> verdict::strongest_test() const
{
    auto const found = std::max_element(this->tests.begin(), this->tests.end(),
                                        [](auto const& left, auto const& right) {
                                            return left.second.evidence() < right.second.evidence();
                                        });
    return found == this->tests.end() ? std::nullopt : std::optional(found->first);
}

double verdict::strongest_evidence() const
{
    auto const key = this->strongest_test();
    return key ? this->tests.at(*key).evidence() : 0;
}

bool verdict::is_worse() const
{
    return this->strongest_evidence() >= this->threshold();
}

bool verdict::is_suspect() const
{
    return this->strongest_evidence() >= this->settings.hold_threshold;
}

bool verdict::has_enough_requests() const
{
    return this->pooled.candidate.requests >= this->settings.min_requests &&
           this->pooled.stable.requests >= this->settings.min_requests;
}

bool verdict::has_backlog(double share) const
{
    if (share <= 0 || share > max_concurrent_share)
        return false;
    auto const expected = std::max(0.0, this->pooled.stable.open) * share / (1 - share);
    return this->pooled.candidate.open >= std::max(min_backlog, backlog_factor * expected);
}

double verdict::busiest_route_rate() const
{
    double max_requests = 0;
    for (auto const& [name, counts] : this->routes)
        max_requests = std::max(max_requests, counts.stable.requests + counts.candidate.requests);
    return this->intervals == 0 ? 0 : max_requests / static_cast<double>(this->intervals);
}

std::string verdict::describe() const
{
    auto const key = this->strongest_test();
    if (!key)
        return "no traffic on version " + this->candidate_version.value();
    auto const& counts = key->route ? this->routes.at(*key->route) : this->pooled;
    auto text = test_name(key->metric, key->route) + ": ";
    if (key->metric == move_metric::failures)
        return text + ratio_text(counts.candidate.failure_count()) + " on version " +
               this->candidate_version.value() + ", " + ratio_text(counts.stable.failure_count()) +
               " on version " + this->stable_version.value();
    return text + "p95 " + p95_text(counts.candidate.latency(key->metric)) + " on version " +
           this->candidate_version.value() + ", " + p95_text(counts.stable.latency(key->metric)) +
           " on version " + this->stable_version.value();
}

std::vector<route_name> verdict::undersampled_routes() const
{
    std::vector<route_name> result;
    for (auto const& [name, counts] : this->routes)
    {
        if (std::min(counts.candidate.requests, counts.stable.requests) <
            this->settings.min_requests)
            result.push_back(name);
    }
    return result;
}

verdict::figure_map verdict::figures() const
{
    figure_map result;
    result["evidence_needed"] = number_text(this->threshold());
    result[sent_candidate_figure] = count_text(this->pooled.candidate.sent);
    result[sent_stable_figure] = count_text(this->pooled.stable.sent);
    store_counts(result, this->pooled, "");
    for (auto const& [name, counts] : this->routes)
        store_counts(result, counts, route_suffix(name));
    for (auto const& [key, test] : this->tests)
    {
        // Evidence up to 0 does not count against the new version and is not stored. A new
        // leader then starts from zero.
        if (test.evidence() > 0)
            result[evidence_prefix + test_name(key.metric, key.route)] =
                number_text(test.evidence());
    }
    for (auto const& [key, test] : this->non_inferiority_tests)
        result[as_good_prefix + test_name(key.metric, key.route)] = number_text(test.evidence());
    return result;
}

void verdict::restore(figure_map const& stored)
{
    this->pooled = stored_counts(stored, "");
    this->pooled.candidate.sent = stored_number(stored, sent_candidate_figure);
    this->pooled.stable.sent = stored_number(stored, sent_stable_figure);
    for (auto const& [name, value] : stored)
    {
        if (auto const route = route_after(name, "failures_old"))
            this->routes[*route] = stored_counts(stored, route_suffix(*route));
        for (auto const metric : all_metrics)
        {
            if (auto const key = find_key(name, evidence_prefix, metric))
                this->tests.try_emplace(*key, metric).first->second.restore(parse_number(value));
            if (auto const key = find_key(name, as_good_prefix, metric))
                this->comparison(*key).restore(parse_number(value));
        }
    }
}

std::optional<verdict::test_key> verdict::find_key(std::string const& figure,
                                                   std::string const& prefix, move_metric metric)
{
    auto const name = prefix + metric_name(metric);
    auto const route = route_after(figure, name);
    if (!route && figure != name)
        return std::nullopt;
    return test_key{metric, route};
}

} // namespace lagoonladder::version
