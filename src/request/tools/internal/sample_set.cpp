#include <sample_set.hpp>

#include <algorithm>
#include <numeric>

namespace lagoonladder::study
{

void sample_set::add(double value)
{
    this->samples.push_back(value);
    this->sorted = false;
}

void sample_set::add_all(sample_set const& other)
{
    this->samples.insert(this->samples.end(), other.samples.begin(), other.samples.end());
    this->sorted = false;
}

double sample_set::quantile(double share) const
{
    if (this->samples.empty())
        return 0;
    if (!this->sorted)
        std::sort(this->samples.begin(), this->samples.end());
    this->sorted = true;
    auto const last = static_cast<double>(this->samples.size() - 1);
    return this->samples[static_cast<std::size_t>(share * last)];
}

double sample_set::share_above(double value) const
{
    if (this->samples.empty())
        return 0;
    auto const above = std::count_if(this->samples.begin(), this->samples.end(),
                                     [&](double sample) { return sample > value; });
    return static_cast<double>(above) / static_cast<double>(this->samples.size());
}

double sample_set::mean() const
{
    if (this->samples.empty())
        return 0;
    return std::accumulate(this->samples.begin(), this->samples.end(), 0.0) /
           static_cast<double>(this->samples.size());
}

} // namespace lagoonladder::study
