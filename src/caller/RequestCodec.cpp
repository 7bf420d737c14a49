#include "lentiljunction/caller/RequestCodec.h"

#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/execution/ResultCodec.h"
#include "lentiljunction/execution/Statement.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace lentiljunction {

namespace {

    constexpr std::size_t maximumIdLength = 128;
    constexpr std::size_t maximumKeyLength = 200;
    constexpr std::int64_t maximumAgeMilliseconds = 86'400'000;
    constexpr std::int64_t maximumDeadlineMilliseconds = 3'600'000;

    constexpr std::array<TransactionAction, 4> namedActions {
        TransactionAction::Begin, TransactionAction::Continue, TransactionAction::Commit, TransactionAction::Rollback
    };

    void checkStatements(const Request& request, JsonFields& fields)
    {
        for (const std::string& statement : request.statements) {
            StatementKind kind = classifyStatement(statement);
            if (kind == StatementKind::Malformed)
                fields.addFault("statements", "must each hold exactly one statement, without comments or dollar quotes");
            if (kind == StatementKind::TransactionControl)
                fields.addFault("statements", "must not begin or end a transaction; use the field transaction");
        }
        bool needsStatements = request.action == TransactionAction::None || request.action == TransactionAction::Continue;
        if (needsStatements && request.statements.empty())
            fields.addFault("statements", "must not be empty");
    }

    void readTransaction(JsonFields& fields, Request& request, std::vector<std::string>& faults)
    {
        const nlohmann::json* value = fields.findValue("transaction");
        if (value == nullptr)
            return;

        JsonFields inner(*value, fields.pathOf("transaction"), faults);
        std::optional<TransactionAction> action = parseTransactionAction(inner.getText("action"));
        if (!action)
            inner.addFault("action", "must be begin, continue, commit or rollback");
        request.action = action.value_or(TransactionAction::Begin);
        if (request.action != TransactionAction::Begin)
            request.transaction = TransactionId(inner.getText("id"));
        inner.rejectUnknownFields();
    }

    void readKey(JsonFields& fields, Request& request)
    {
        std::optional<std::string> text = fields.findText("idempotency_key");
        if (!text)
            return;

        request.key = parseIdempotencyKey(*text);
        if (!request.key)
            fields.addFault("idempotency_key", "must be <issue time in ms since 1970>:<unique text>, at most 200 characters");
        if (request.action != TransactionAction::None)
            fields.addFault("idempotency_key", "cannot be used with an interactive transaction");
    }

    void readSession(JsonFields& fields, Request& request)
    {
        Failure failure;
        std::optional<SessionToken> session = SessionToken::parse(fields.findText("session").value_or(""), failure);
        if (session)
            request.session = *session;
        else
            fields.addFault("session", "is not a token of this service");
    }

} // namespace

std::string toString(TransactionAction action)
{
    switch (action) {
    case TransactionAction::None:
        return "";
    case TransactionAction::Begin:
        return "begin";
    case TransactionAction::Continue:
        return "continue";
    case TransactionAction::Commit:
        return "commit";
    case TransactionAction::Rollback:
        return "rollback";
    }
    return "";
}

std::optional<TransactionAction> parseTransactionAction(const std::string& text)
{
    for (TransactionAction action : namedActions) {
        if (toString(action) == text)
            return action;
    }
    return std::nullopt;
}

bool Request::isRead() const
{
    if (this->action != TransactionAction::None || this->key)
        return false;
    return std::all_of(this->statements.begin(), this->statements.end(), [](const std::string& statement) { return classifyStatement(statement) == StatementKind::Read; });
}

std::optional<IdempotencyKey> parseIdempotencyKey(const std::string& text)
{
    constexpr std::size_t maximumDigits = 15;
    std::size_t colon = text.find(':');
    bool isFormed = colon != std::string::npos && colon > 0 && colon <= maximumDigits && colon + 1 < text.size() && text.size() <= maximumKeyLength;
    if (!isFormed || text.find_first_not_of("0123456789") != colon)
        return std::nullopt;
    return IdempotencyKey { text, std::strtoll(text.c_str(), nullptr, 10) };
}

std::optional<Request> parseRequest(const nlohmann::json& document, const LimitsConfig& limits, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "request", faults);
    Request request;
    request.id = RequestId(fields.getText("id"));
    request.caller = CallerId(fields.findText("caller").value_or(""));
    request.database = DatabaseId(fields.getText("database"));
    std::optional<Rank> rank = parseRank(fields.findText("rank").value_or("normal"));
    if (!rank)
        fields.addFault("rank", "must be urgent, normal or background");
    request.rank = rank.value_or(Rank::Normal);
    if (fields.findValue("statements") != nullptr)
        request.statements = fields.getTexts("statements");
    request.deadline = std::chrono::milliseconds(fields.findInteger("deadline_ms", 1, maximumDeadlineMilliseconds).value_or(limits.defaultDeadline.count()));
    request.deadline = std::min(request.deadline, limits.maximumDeadline);
    if (std::optional<std::int64_t> age = fields.findInteger("max_staleness_ms", 0, maximumAgeMilliseconds))
        request.maximumAge = std::chrono::milliseconds(*age);
    readTransaction(fields, request, faults);
    readKey(fields, request);
    readSession(fields, request);
    checkStatements(request, fields);
    fields.rejectUnknownFields();

    if (request.id.toString().size() > maximumIdLength)
        fields.addFault("id", "must be at most 128 characters");
    if (faults.empty())
        return request;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

nlohmann::json toJson(const Request& request)
{
    nlohmann::json document {
        { "id", request.id.toString() },
        { "caller", request.caller.toString() },
        { "database", request.database.toString() },
        { "rank", toString(request.rank) },
        { "statements", request.statements },
        { "session", request.session.toString() },
        { "deadline_ms", request.deadline.count() },
    };
    if (request.key)
        document["idempotency_key"] = request.key->text;
    if (request.maximumAge)
        document["max_staleness_ms"] = request.maximumAge->count();
    if (request.action != TransactionAction::None)
        document["transaction"]["action"] = toString(request.action);
    if (!request.transaction.isEmpty())
        document["transaction"]["id"] = request.transaction.toString();
    return document;
}

nlohmann::json toJson(const Outcome& outcome)
{
    nlohmann::json document { { "outcome", toString(outcome.kind) } };
    switch (outcome.kind) {
    case OutcomeKind::Completed:
        document["results"] = toJson(outcome.results);
        break;
    case OutcomeKind::Rejected:
        document["sqlstate"] = outcome.sqlState;
        document["message"] = outcome.detail;
        break;
    case OutcomeKind::NotRun:
        document["reason"] = toString(outcome.reason);
        document["message"] = outcome.detail;
        document["retry_after_ms"] = outcome.retryAfter.count();
        break;
    case OutcomeKind::Unknown:
        document["message"] = outcome.detail;
        break;
    }
    return document;
}

nlohmann::json toJson(const CallerResponse& response)
{
    nlohmann::json document = toJson(response.outcome);
    document["id"] = response.id.toString();
    if (!response.session.empty())
        document["session"] = response.session;
    if (!response.transaction.isEmpty())
        document["transaction"] = response.transaction.toString();
    return document;
}

std::optional<Outcome> parseOutcome(const nlohmann::json& document)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "outcome", faults);
    std::optional<OutcomeKind> kind = parseOutcomeKind(fields.getText("outcome"));
    if (!kind)
        return std::nullopt;

    Outcome outcome;
    outcome.kind = *kind;
    outcome.detail = fields.findText("message").value_or("");
    outcome.sqlState = fields.findText("sqlstate").value_or("");
    outcome.retryAfter = std::chrono::milliseconds(fields.findInteger("retry_after_ms", 0, maximumDeadlineMilliseconds).value_or(0));
    if (outcome.kind == OutcomeKind::NotRun) {
        std::optional<NotRunReason> reason = parseNotRunReason(fields.getText("reason"));
        if (!reason)
            return std::nullopt;
        outcome.reason = *reason;
    }
    if (outcome.kind == OutcomeKind::Completed) {
        std::optional<std::vector<ResultSet>> results = parseResults(fields.getValue("results"));
        if (!results)
            return std::nullopt;
        outcome.results = std::move(*results);
    }
    if (!faults.empty())
        return std::nullopt;
    return outcome;
}

} // namespace lentiljunction
