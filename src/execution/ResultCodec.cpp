#include "lentiljunction/execution/ResultCodec.h"

namespace lentiljunction {

namespace {

    nlohmann::json toJson(const ResultSet& result)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const std::vector<std::optional<std::string>>& row : result.rows) {
            nlohmann::json cells = nlohmann::json::array();
            for (const std::optional<std::string>& cell : row)
                cells.push_back(cell ? nlohmann::json(*cell) : nlohmann::json());
            rows.push_back(std::move(cells));
        }
        return { { "columns", result.columns }, { "rows", std::move(rows) }, { "affected", result.affectedRows } };
    }

    std::optional<ResultSet> parseResult(const nlohmann::json& document)
    {
        ResultSet result;
        result.columns = document.at("columns").get<std::vector<std::string>>();
        result.affectedRows = document.at("affected").get<std::uint64_t>();
        for (const nlohmann::json& cells : document.at("rows")) {
            std::vector<std::optional<std::string>> row;
            for (const nlohmann::json& cell : cells)
                row.push_back(cell.is_null() ? std::optional<std::string>() : cell.get<std::string>());
            result.rows.push_back(std::move(row));
        }
        return result;
    }

} // namespace

nlohmann::json toJson(const std::vector<ResultSet>& results)
{
    nlohmann::json list = nlohmann::json::array();
    for (const ResultSet& result : results)
        list.push_back(toJson(result));
    return list;
}

std::optional<std::vector<ResultSet>> parseResults(const nlohmann::json& document)
{
    std::vector<ResultSet> results;
    try {
        for (const nlohmann::json& element : document) {
            std::optional<ResultSet> result = parseResult(element);
            results.push_back(std::move(*result));
        }
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
    return results;
}

} // namespace lentiljunction
