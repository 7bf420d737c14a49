#include "Fit.h"

namespace lentiljunction::capacity {

LinearFit fitLine(const std::vector<Sample>& samples)
{
    double count = static_cast<double>(samples.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const Sample& sample : samples) {
        meanSize += sample.size / count;
        meanValue += sample.value / count;
    }

    double sizeSquares = 0;
    double valueSquares = 0;
    double products = 0;
    for (const Sample& sample : samples) {
        sizeSquares += (sample.size - meanSize) * (sample.size - meanSize);
        valueSquares += (sample.value - meanValue) * (sample.value - meanValue);
        products += (sample.size - meanSize) * (sample.value - meanValue);
    }

    LinearFit fit;
    fit.slope = sizeSquares > 0 ? products / sizeSquares : 0;
    fit.intercept = meanValue - fit.slope * meanSize;
    fit.determination = sizeSquares > 0 && valueSquares > 0 ? products * products / (sizeSquares * valueSquares) : 1;
    return fit;
}

nlohmann::json toReport(const std::vector<Sample>& samples, const std::string& unit, double projectedSize)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const Sample& sample : samples)
        rows.push_back({ sample.size, sample.value });
    LinearFit fit = fitLine(samples);
    return {
        { "unit", unit },
        { "samples", rows },
        { "slope", fit.slope },
        { "intercept", fit.intercept },
        { "r2", fit.determination },
        { "projected", { { "size", projectedSize }, { "value", fit.valueAt(projectedSize) } } },
    };
}

} // namespace lentiljunction::capacity
