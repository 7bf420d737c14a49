#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::capacity {

/// One measured value at one size.
struct Sample {
    double size = 0;
    double value = 0;
};

/// A straight line through samples, by least squares.
struct Line {
    double slope = 0;
    double intercept = 0;
    /// The share of the variance that the line explains; 1 is a perfect fit.
    double determination = 0;

    /// @returns the value of the line at a size
    double at(double size) const { return this->intercept + this->slope * size; }
};

/// @param samples at least two sizes
/// @returns the line of least squares
Line fitLine(const std::vector<Sample>& samples);

/// @param unit what the value counts
/// @returns samples and line, with the value at a size that was not measured
nlohmann::json describe(const std::vector<Sample>& samples, const std::string& unit, double projectedSize);

} // namespace lentiljunction::capacity
