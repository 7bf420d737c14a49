#include "Fit.h"

namespace lentiljunction::capacity {

Line fitLine(const std::vector<Sample>& samples)
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

    Line line;
    line.slope = sizeSquares > 0 ? products / sizeSquares : 0;
    line.intercept = meanValue - line.slope * meanSize;
    line.determination = sizeSquares > 0 && valueSquares > 0 ? products * products / (sizeSquares * valueSquares) : 1;
    return line;
}

nlohmann::json describe(const std::vector<Sample>& samples, const std::string& unit, double projectedSize)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const Sample& sample : samples)
        rows.push_back({ sample.size, sample.value });
    Line line = fitLine(samples);
    return {
        { "unit", unit },
        { "samples", rows },
        { "slope", line.slope },
        { "intercept", line.intercept },
        { "r2", line.determination },
        { "projected", { { "size", projectedSize }, { "value", line.at(projectedSize) } } },
    };
}

} // namespace lentiljunction::capacity
