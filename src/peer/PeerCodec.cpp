#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <functional>
#include <utility>

namespace lentiljunction {

namespace {

    /// The version of the message format. An instance rejects messages of any other version.
    constexpr int formatVersion = 1;

    /// The kind of a message on the wire: the index of its type in PeerMessage.
    enum WireKind : std::size_t {
        Membership,
        Request,
        Response,
        NewPrimary,
        ReachabilityQuery,
        ReachabilityReply,
        BundleAnnouncement,
        BundleQuery,
        BundleContent,
        LeavingUpstreams,
        LinkEcho,
    };

    const LimitsConfig& getPeerLimits()
    {
        static const LimitsConfig limits = [] {
            LimitsConfig wide;
            wide.maximumDeadline = std::chrono::hours(1);
            return wide;
        }();
        return limits;
    }

    nlohmann::json encodeMember(const Member& member)
    {
        return { member.id.toString(), member.zone.toString(), member.endpoint.host, member.endpoint.port, static_cast<int>(member.state), member.incarnation.value() };
    }

    Member decodeMember(const nlohmann::json& row)
    {
        Member member;
        member.id = InstanceId(row.at(0).get<std::string>());
        member.zone = ZoneId(row.at(1).get<std::string>());
        member.endpoint = { row.at(2).get<std::string>(), getPort(row.at(3)) };
        member.state = static_cast<MemberState>(row.at(4).get<int>() & 3);
        member.incarnation = Incarnation(row.at(5).get<std::uint64_t>());
        return member;
    }

    nlohmann::json encodeHint(const PrimaryHint& hint)
    {
        return { hint.term.value(), hint.upstream.toString() };
    }

    PrimaryHint decodeHint(const nlohmann::json& row)
    {
        return { Term(row.at(0).get<std::uint64_t>()), UpstreamId(row.at(1).get<std::string>()) };
    }

    /// Encodes the body of each kind of message.
    struct Encoder {
        nlohmann::json operator()(const MembershipMessage& message) const
        {
            nlohmann::json updates = nlohmann::json::array();
            for (const Member& member : message.updates)
                updates.push_back(encodeMember(member));
            nlohmann::json digests = nlohmann::json::array();
            for (const MembershipMessage::ZoneDigest& digest : message.digests)
                digests.push_back({ digest.zone.toString(), digest.digest });
            nlohmann::json fleetDigest;
            if (message.fleetDigest)
                fleetDigest = *message.fleetDigest;
            return { static_cast<int>(message.kind), message.sequence, message.target.toString(), updates, digests, message.bundleVersion.value(), fleetDigest };
        }

        nlohmann::json operator()(const HopRequest& message) const
        {
            return { message.hop, toJson(message.request), message.upstream.toString(), message.remaining.count(), message.alternativeCost.count() };
        }

        nlohmann::json operator()(const HopResponse& message) const
        {
            nlohmann::json point;
            if (message.point)
                point = { message.point->term.value(), message.point->position.value() };
            nlohmann::json hint;
            if (message.hint)
                hint = encodeHint(*message.hint);
            return { message.hop, toJson(message.outcome), message.isInDoubt, point, hint, message.transaction.toString() };
        }

        nlohmann::json operator()(const PrimaryNotice& message) const { return { message.database.toString(), encodeHint(message.hint) }; }
        nlohmann::json operator()(const ReachabilityRequest& message) const { return { message.requestId, message.database.toString(), message.upstream.toString() }; }
        nlohmann::json operator()(const ReachabilityResponse& message) const { return { message.requestId, message.isReached }; }
        nlohmann::json operator()(const BundleNotice& message) const { return nlohmann::json::array({ message.version.value() }); }
        nlohmann::json operator()(const BundleRequest& message) const { return { message.have.value(), message.wantsFullCopy }; }
        nlohmann::json operator()(const BundleResponse& message) const { return nlohmann::json::array({ message.delta, message.full }); }
        nlohmann::json operator()(const Echo& message) const { return { message.number, message.isReply }; }

        nlohmann::json operator()(const LeavingNotice& message) const
        {
            nlohmann::json body = nlohmann::json::array();
            for (const UpstreamId& upstream : message.upstreams)
                body.push_back(upstream.toString());
            return body;
        }
    };

    MembershipMessage::Kind decodeKind(int number)
    {
        bool isKnown = number >= 0 && number <= static_cast<int>(MembershipMessage::Kind::Announcement);
        return isKnown ? static_cast<MembershipMessage::Kind>(number) : MembershipMessage::Kind::Sync;
    }

    /// Decodes each row; malformed ones are logged and ignored.
    void decodeRows(const nlohmann::json& rows, const std::function<void(const nlohmann::json& row)>& decode)
    {
        for (const nlohmann::json& row : rows) {
            try {
                decode(row);
            } catch (const std::exception& error) {
                logEvent(events::peerMessageInvalid, std::string("reason=\"a row cannot be read: ") + error.what() + "\"");
            }
        }
    }

    MembershipMessage decodeMembership(const nlohmann::json& body)
    {
        MembershipMessage message;
        message.kind = decodeKind(body.at(0).get<int>());
        message.sequence = body.at(1).get<std::uint64_t>();
        message.target = InstanceId(body.at(2).get<std::string>());
        // Updates are relayed, so a malformed one may be another instance's. It must not hide the others.
        decodeRows(body.at(3), [&message](const nlohmann::json& row) { message.updates.push_back(decodeMember(row)); });
        decodeRows(body.at(4), [&message](const nlohmann::json& row) { message.digests.push_back({ ZoneId(row.at(0).get<std::string>()), row.at(1).get<std::uint64_t>() }); });
        message.bundleVersion = BundleVersion(body.at(5).get<std::uint64_t>());
        if (!body.at(6).is_null())
            message.fleetDigest = body.at(6).get<std::uint64_t>();
        return message;
    }

    std::optional<PeerMessage> decodeHopRequest(const nlohmann::json& body, Failure& failure)
    {
        std::optional<lentiljunction::Request> request = parseRequest(body.at(1), getPeerLimits(), failure);
        if (!request)
            return std::nullopt;

        HopRequest message;
        message.hop = body.at(0).get<std::uint64_t>();
        message.request = std::move(*request);
        message.upstream = UpstreamId(body.at(2).get<std::string>());
        message.remaining = getDuration(body.at(3));
        message.alternativeCost = getDuration(body.at(4));
        return message;
    }

    std::optional<PeerMessage> decodeHopAnswer(const nlohmann::json& body, Failure& failure)
    {
        std::optional<Outcome> outcome = parseOutcome(body.at(1));
        if (!outcome) {
            failure.set(Failure::Kind::InvalidInput, "the outcome is malformed");
            return std::nullopt;
        }

        HopResponse message;
        message.hop = body.at(0).get<std::uint64_t>();
        message.outcome = std::move(*outcome);
        message.isInDoubt = body.at(2).get<bool>();
        if (!body.at(3).is_null())
            message.point = LogPoint { Term(body.at(3).at(0).get<std::uint64_t>()), Position(body.at(3).at(1).get<std::uint64_t>()) };
        if (!body.at(4).is_null())
            message.hint = decodeHint(body.at(4));
        message.transaction = TransactionId(body.at(5).get<std::string>());
        return message;
    }

    std::optional<PeerMessage> decodeBody(std::size_t kind, const nlohmann::json& body, Failure& failure)
    {
        switch (kind) {
        case WireKind::Membership:
            return decodeMembership(body);
        case WireKind::Request:
            return decodeHopRequest(body, failure);
        case WireKind::Response:
            return decodeHopAnswer(body, failure);
        case WireKind::NewPrimary:
            return PrimaryNotice { DatabaseId(body.at(0).get<std::string>()), decodeHint(body.at(1)) };
        case WireKind::ReachabilityQuery:
            return ReachabilityRequest { body.at(0).get<std::uint64_t>(), DatabaseId(body.at(1).get<std::string>()), UpstreamId(body.at(2).get<std::string>()) };
        case WireKind::ReachabilityReply:
            return ReachabilityResponse { body.at(0).get<std::uint64_t>(), body.at(1).get<bool>() };
        case WireKind::BundleAnnouncement:
            return BundleNotice { BundleVersion(body.at(0).get<std::uint64_t>()) };
        case WireKind::BundleQuery:
            return BundleRequest { BundleVersion(body.at(0).get<std::uint64_t>()), body.at(1).get<bool>() };
        case WireKind::BundleContent:
            return BundleResponse { body.at(0), body.at(1) };
        case WireKind::LeavingUpstreams: {
            LeavingNotice message;
            for (const nlohmann::json& upstream : body)
                message.upstreams.emplace_back(upstream.get<std::string>());
            return message;
        }
        case WireKind::LinkEcho:
            return Echo { body.at(0).get<std::uint64_t>(), body.at(1).get<bool>() };
        default:
            failure.set(Failure::Kind::InvalidInput, "the message kind is unknown");
            return std::nullopt;
        }
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    nlohmann::json document = nlohmann::json::array({ formatVersion, message.index(), std::visit(Encoder(), message) });
    std::string payload;
    nlohmann::json::to_cbor(document, payload);
    return payload;
}

std::optional<PeerMessage> decodePeerMessage(const std::string& payload, Failure& failure)
{
    try {
        nlohmann::json document = parseCbor(payload);
        if (document.at(0).get<int>() != formatVersion) {
            failure.set(Failure::Kind::InvalidInput, "the format version of the message is not supported");
            return std::nullopt;
        }
        return decodeBody(document.at(1).get<std::size_t>(), document.at(2), failure);
    } catch (const std::exception& error) {
        failure.set(Failure::Kind::InvalidInput, error.what());
        return std::nullopt;
    }
}

} // namespace lentiljunction
