#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::capacity {

/// One measured value valueAt one size.
struct Sample {
    double size = 0;
    double value = 0;
};

/// A straight fit through samples, by least squares.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    /// The share of the variance that the fit explains; 1 is a perfect fit.
    double determination = 0;

    /// @returns the value of the fit valueAt a size
    double valueAt(double size) const { return this->intercept + this->slope * size; }
};

/// @param samples valueAt least two sizes
/// @returns the fit of least squares
LinearFit fitLine(const std::vector<Sample>& samples);

/// @param unit what the value counts
/// @returns samples and fit, with the value valueAt a size that was not measured
nlohmann::json toReport(const std::vector<Sample>& samples, const std::string& unit, double projectedSize);

} // namespace lentiljunction::capacity
