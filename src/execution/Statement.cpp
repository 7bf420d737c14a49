#include "lentiljunction/execution/Statement.h"

#include <cctype>
#include <set>

namespace lentiljunction {

namespace {

    const std::set<std::string> transactionKeywords {
        "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE", "PREPARE"
    };

    std::string toUpper(const std::string& text)
    {
        std::string upper;
        for (char character : text)
            upper.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(character))));
        return upper;
    }

    std::string getFirstWord(const std::string& sql)
    {
        std::size_t begin = sql.find_first_not_of(" \t\r\n(");
        if (begin == std::string::npos)
            return {};

        std::size_t end = begin;
        while (end < sql.size() && std::isalpha(static_cast<unsigned char>(sql[end])) != 0)
            end++;
        return toUpper(sql.substr(begin, end - begin));
    }

    /// Whether the text contains a semicolon outside quotes, or a comment or dollar quote that could hide one.
    bool hasSeparator(const std::string& sql)
    {
        char quote = 0;
        for (std::size_t index = 0; index < sql.size(); index++) {
            char character = sql[index];
            if (quote != 0) {
                if (character == quote)
                    quote = 0;
                continue;
            }
            if (character == '\'' || character == '"')
                quote = character;
            bool isComment = index + 1 < sql.size() && ((character == '-' && sql[index + 1] == '-') || (character == '/' && sql[index + 1] == '*'));
            bool isDollarQuote = character == '$' && index + 1 < sql.size() && std::isdigit(static_cast<unsigned char>(sql[index + 1])) == 0;
            if (character == ';' || isComment || isDollarQuote)
                return true;
        }
        return quote != 0;
    }

} // namespace

StatementKind classifyStatement(const std::string& sql)
{
    std::string trimmed = trimStatement(sql);
    std::string word = getFirstWord(trimmed);
    if (word.empty() || hasSeparator(trimmed))
        return StatementKind::Malformed;
    if (transactionKeywords.count(word) > 0)
        return StatementKind::TransactionControl;

    bool isLocking = toUpper(trimmed).find(" FOR ") != std::string::npos;
    bool isPlainRead = word == "SELECT" || word == "VALUES" || word == "SHOW";
    return isPlainRead && !isLocking ? StatementKind::Read : StatementKind::Write;
}

std::string quoteLiteral(const std::string& text)
{
    std::string quoted = "'";
    for (char character : text) {
        if (character == '\'')
            quoted.push_back('\'');
        quoted.push_back(character);
    }
    quoted.push_back('\'');
    return quoted;
}

std::string joinStatements(const std::vector<std::string>& statements)
{
    std::string joined;
    for (const std::string& statement : statements) {
        joined += trimStatement(statement);
        joined += ";";
    }
    return joined;
}

std::string trimStatement(const std::string& sql)
{
    std::size_t end = sql.find_last_not_of(" \t\r\n;");
    if (end == std::string::npos)
        return {};
    return sql.substr(0, end + 1);
}

} // namespace lentiljunction
