#include "LendingMessage.h"

#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"

#include <cmath>
#include <stdexcept>

namespace lentiljunction {

namespace {

    using Kind = LendingMessage::Kind;
    using Denial = LendingMessage::Denial;

    /// @returns the value of an enumeration
    /// @throws std::out_of_range when the number is not one of its values
    template <typename Enumeration>
    Enumeration toEnumeration(const nlohmann::json& number, Enumeration last)
    {
        return static_cast<Enumeration>(getNumber(number, static_cast<std::uint64_t>(last)));
    }

    template <typename Enumeration>
    std::uint64_t toNumber(Enumeration value)
    {
        return static_cast<std::uint64_t>(value);
    }

    nlohmann::json encodeReply(const SessionReply& reply)
    {
        nlohmann::json encoded { { "code", toNumber(reply.code) }, { "state", toNumber(reply.state) } };
        for (std::string_view row : reply.rows)
            encoded["rows"].push_back(std::string(row));
        if (!reply.signature.empty())
            encoded["signature"] = reply.signature;
        if (!reply.message.empty())
            encoded["message"] = reply.message;
        if (reply.head)
            encoded["head"] = { reply.head->term.value(), reply.head->position.value() };
        return encoded;
    }

    SessionReply decodeReply(const nlohmann::json& encoded)
    {
        SessionReply reply;
        reply.code = toEnumeration(encoded.at("code"), ReplyCode::Malformed);
        reply.state = toEnumeration(encoded.at("state"), TransactionState::Failed);
        if (encoded.contains("rows")) {
            for (const nlohmann::json& row : encoded.at("rows"))
                reply.rows.add(row.get_ref<const std::string&>());
        }
        reply.signature = encoded.value("signature", std::string());
        reply.message = encoded.value("message", std::string());
        if (encoded.contains("head"))
            reply.head = LogPoint { Term(encoded["head"].at(0).get<std::uint64_t>()), Position(encoded["head"].at(1).get<std::uint64_t>()) };
        return reply;
    }

    void encodeContext(nlohmann::json& encoded, const SessionContext::ConnectionContext& context)
    {
        if (!context.values.empty())
            encoded["values"] = context.values;
        if (!context.preparedNames.empty())
            encoded["prepared"] = context.preparedNames;
    }

    LendingMessage decode(const nlohmann::json& encoded)
    {
        LendingMessage message;
        message.kind = toEnumeration(encoded.at("kind"), Kind::Drop);
        message.loan = encoded.at("loan").get<std::uint64_t>();
        message.context.values = encoded.value("values", std::map<std::string, std::string>());
        message.context.preparedNames = encoded.value("prepared", std::set<std::string>());
        if (message.kind == Kind::Borrow) {
            message.upstream = UpstreamId(encoded.at("upstream").get<std::string>());
            message.rank = toEnumeration(encoded.at("rank"), Rank::Background);
            message.caller = CallerId(encoded.at("caller").get<std::string>());
            message.wait = getDuration(encoded.at("wait_us"));
            message.acceptsAnyWorkspace = encoded.value("any_workspace", false);
            message.mode = encoded.value("reads", false) ? AccessMode::Read : AccessMode::Write;
            message.mayDecline = encoded.value("may_decline", false);
        }
        if (message.kind == Kind::Borrow || message.kind == Kind::Granted)
            message.workspace = WorkspaceId(encoded.value("workspace", std::string()));
        if (message.kind == Kind::Granted) {
            message.latency = getDuration(encoded.at("latency_us"));
            message.load = encoded.at("load").get<double>();
            // Loads are compared, and NaN has no order.
            if (!std::isfinite(message.load) || message.load < 0)
                throw std::out_of_range("not a load");
        }
        if (message.kind == Kind::Denied) {
            message.denial = toEnumeration(encoded.at("denial"), Denial::Avoided);
            message.retryAfter = getDuration(encoded.value("retry_us", nlohmann::json(0)));
        }
        if (message.kind == Kind::Command)
            message.command = encoded.at("command").get<std::string>();
        if (message.kind == Kind::Reply)
            message.reply = decodeReply(encoded.at("reply"));
        message.wasReset = encoded.value("was_reset", false);
        message.isLast = encoded.value("last", false);
        return message;
    }

} // namespace

std::string encodeLendingMessage(const LendingMessage& message)
{
    nlohmann::json encoded { { "kind", toNumber(message.kind) }, { "loan", message.loan } };
    encodeContext(encoded, message.context);
    if (message.kind == Kind::Borrow) {
        encoded["upstream"] = message.upstream.toString();
        encoded["rank"] = toNumber(message.rank);
        encoded["caller"] = message.caller.toString();
        encoded["wait_us"] = message.wait.count();
        if (message.acceptsAnyWorkspace)
            encoded["any_workspace"] = true;
        if (message.mode == AccessMode::Read)
            encoded["reads"] = true;
        if (message.mayDecline)
            encoded["may_decline"] = true;
    }
    bool hasWorkspace = message.kind == Kind::Borrow || message.kind == Kind::Granted;
    if (hasWorkspace && !message.workspace.isEmpty())
        encoded["workspace"] = message.workspace.toString();
    if (message.kind == Kind::Granted) {
        encoded["latency_us"] = message.latency.count();
        encoded["load"] = message.load;
    }
    if (message.kind == Kind::Denied) {
        encoded["denial"] = toNumber(message.denial);
        if (message.retryAfter > Duration(0))
            encoded["retry_us"] = message.retryAfter.count();
    }
    if (message.kind == Kind::Command)
        encoded["command"] = message.command;
    if (message.kind == Kind::Reply)
        encoded["reply"] = encodeReply(message.reply);
    if (message.wasReset)
        encoded["was_reset"] = true;
    if (message.isLast)
        encoded["last"] = true;
    return toCbor(encoded);
}

std::optional<LendingMessage> decodeLendingMessage(const std::string& bytes)
{
    nlohmann::json encoded = parseCbor(bytes);
    if (!encoded.is_object())
        return std::nullopt;
    try {
        return decode(encoded);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt;
    }
}

} // namespace lentiljunction
