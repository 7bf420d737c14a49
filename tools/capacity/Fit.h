#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::capacity {

/// A value that was measured for one size.
struct Sample {
    double size = 0;
    double value = 0;
};

/// A straight line fitted to samples by least squares.
struct LinearFit {
    double slope = 0;
    double intercept = 0;
    /// Coefficient of determination (R²); 1 is a perfect fit.
    double determination = 0;

    /// @returns the value that the line predicts for a size
    double valueAt(double size) const { return this->intercept + this->slope * size; }
};

/// Fits a line to samples.
///
/// @param samples samples of at least two sizes
LinearFit fitLine(const std::vector<Sample>& samples);

/// Makes the JSON report of a series.
///
/// @param unit unit and meaning of the values
/// @param projectedSize size to predict a value for, which need not be among the samples
/// @returns the samples, the fitted line and the predicted value
nlohmann::json toReport(const std::vector<Sample>& samples, const std::string& unit, double projectedSize);

} // namespace lentiljunction::capacity
