#include "figure_text.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace lagoonladder::version
{

std::string ratio_text(event_count const& count)
{
    return std::to_string(std::llround(count.events)) + "/" +
           std::to_string(std::llround(count.total));
}

event_count parse_ratio(std::string const& text)
{
    std::istringstream in(text);
    event_count count;
    char slash = 0;
    if (!(in >> count.events >> slash >> count.total) || slash != '/')
        return {};
    return count;
}

std::string count_text(double value)
{
    return std::to_string(std::llround(value));
}

std::string number_text(double value)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

double parse_number(std::string const& text)
{
    std::istringstream in(text);
    double value = 0;
    in >> value;
    return std::isfinite(value) ? value : 0;
}

std::string p95_text(latency_histogram const& histogram)
{
    if (histogram.total() == 0)
        return "none";
    auto const bound = std::chrono::duration_cast<milliseconds>(histogram.quantile(0.95));
    return "below " + std::to_string(bound.count()) + " ms";
}

std::string histogram_text(latency_histogram const& histogram)
{
    std::string text;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i)
    {
        if (histogram.counts[i] != 0)
            text += (text.empty() ? "" : " ") + std::to_string(i) + ":" +
                    std::to_string(histogram.counts[i]);
    }
    return text;
}

latency_histogram parse_histogram(std::string const& text)
{
    std::istringstream in(text);
    latency_histogram histogram;
    std::size_t bucket = 0;
    char colon = 0;
    std::uint32_t count = 0;
    while (in >> bucket >> colon >> count)
    {
        if (bucket < histogram.counts.size())
            histogram.counts[bucket] = count;
    }
    return histogram;
}

} // namespace lagoonladder::version
