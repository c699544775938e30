#ifndef LAGOONLADDER_REQUEST_TOOLS_FIGURES_HPP
#define LAGOONLADDER_REQUEST_TOOLS_FIGURES_HPP

#include <cstddef>
#include <vector>

namespace lagoonladder::study
{

/// Samples of one quantity.
class figures
{
public:
    void add(double value);
    void add_all(figures const& other);
    /// `share` from 0 to 1; 0 without samples.
    double quantile(double share) const;
    std::size_t count() const { return this->samples.size(); }

private:
    mutable std::vector<double> samples;
    mutable bool sorted = true;
};

} // namespace lagoonladder::study

#endif
