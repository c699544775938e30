#ifndef LAGOONLADDER_REQUEST_TOOLS_SAMPLE_SET_HPP
#define LAGOONLADDER_REQUEST_TOOLS_SAMPLE_SET_HPP

#include <cstddef>
#include <vector>

namespace lagoonladder::study
{

/// Samples of one quantity.
class sample_set
{
public:
    void add(double value);
    void add_all(sample_set const& other);
    /// `share` is from 0 to 1. Returns 0 when there are no samples.
    double quantile(double share) const;
    /// Fraction of the samples above the value; 0 when there are no samples.
    double share_above(double value) const;
    double mean() const;
    std::size_t count() const { return this->samples.size(); }

private:
    mutable std::vector<double> samples;
    mutable bool sorted = true;
};

} // namespace lagoonladder::study

#endif
