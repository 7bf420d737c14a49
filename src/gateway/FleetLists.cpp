#include "FleetLists.h"

#include "ListCodec.h"
#include "PieceCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Leaving upstreams announce this several seconds in advance.
    constexpr std::chrono::milliseconds upstreamListInterval { 1000 };
    constexpr std::chrono::milliseconds memberListInterval { 3000 };
    /// A list that was outdated for longer when it was requested is read again.
    constexpr std::chrono::milliseconds longestListDelay { 1500 };
    /// Shorter interval after the start, so that instances that start together find each other.
    constexpr std::chrono::milliseconds startupMemberListInterval { 400 };
    constexpr int numStartupMemberLists = 3;
    constexpr std::chrono::milliseconds firstStoreRetry { 200 };
    /// Hundreds of instances must not keep a busy store busy, and it is used again within two seconds.
    constexpr std::chrono::milliseconds longestStoreRetry { 1600 };
    /// A zone reader lists at the intervals above, and the others query it every 0.4 s.
    constexpr std::chrono::milliseconds upstreamListLifetime { 2500 };
    constexpr std::chrono::milliseconds memberListLifetime { 6000 };

    std::uint64_t computeVersion(const nlohmann::json& content)
    {
        return stableHash(toCbor(content));
    }

    nlohmann::json makeVersion(const RelayedList& list, BootTime now)
    {
        std::optional<Duration> age = list.getAge(now);
        return age ? nlohmann::json { { "version", list.getVersion() }, { "age_us", age->count() } } : nlohmann::json();
    }

    /// @returns whether the list has the version that the response names, or the response names none
    bool confirm(RelayedList& list, const nlohmann::json& versions, const char* what, BootTime sentAt)
    {
        if (!versions.contains(what) || !versions[what].is_object())
            return true;
        return list.onReported(versions[what].value("version", std::uint64_t(0)), std::max(Duration(0), getDuration(versions[what].value("age_us", nlohmann::json(0)))), sentAt);
    }

} // namespace

FleetLists::FleetLists(EventLoop& loop, const Clock& clock, FleetStore& store, PeerRpc& peers, Listener& listener, const Endpoint& self)
    : loop(loop)
    , clock(clock)
    , store(store)
    , listener(listener)
    , upstreams(upstreamListLifetime)
    , members(memberListLifetime)
    , upstreamReceiver(loop, peers, "upstreams", self, [this](const nlohmann::json& response) { this->onUpstreamsReceived(response); })
    , memberReceiver(loop, peers, "members", self, [this](const nlohmann::json& response) { this->onMembersReceived(response); })
    , upstreamSender(clock)
    , memberSender(clock)
    , upstreamRetries(firstStoreRetry, longestStoreRetry)
{
}

void FleetLists::start()
{
    this->listUpstreams();
    this->listMembers();
}

nlohmann::json FleetLists::encodeUpstreams() const
{
    return { { "version", this->upstreams.getVersion() }, { "content", encodeUpstreamList(*this->upstreamList) } };
}

nlohmann::json FleetLists::encodeMembers() const
{
    return { { "version", this->members.getVersion() }, { "content", encodeMemberList(this->memberList) } };
}

nlohmann::json FleetLists::makeUpstreams(const nlohmann::json& request)
{
    std::optional<PieceRequest> piece = decodePieceRequest(request);
    if (!piece)
        return this->encodeUpstreams();
    if (this->upstreamContent == nullptr)
        this->upstreamContent = std::make_shared<const std::string>(toCbor(this->encodeUpstreams()));
    return encodePieceResponse(this->upstreamSender.respond(*piece, this->upstreamContent));
}

nlohmann::json FleetLists::makeMembers(const nlohmann::json& request)
{
    std::optional<PieceRequest> piece = decodePieceRequest(request);
    if (!piece)
        return this->encodeMembers();
    if (this->memberContent == nullptr)
        this->memberContent = std::make_shared<const std::string>(toCbor(this->encodeMembers()));
    return encodePieceResponse(this->memberSender.respond(*piece, this->memberContent));
}

void FleetLists::onZoneReaderResponse(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt)
{
    if (!response.contains("lists") || !response["lists"].is_object())
        return;
    if (!confirm(this->upstreams, response["lists"], "upstreams", sentAt))
        this->upstreamReceiver.request(reader);
    if (!confirm(this->members, response["lists"], "members", sentAt))
        this->memberReceiver.request(reader);
}

void FleetLists::onUpstreamsReceived(const nlohmann::json& response)
{
    if (!response.is_object() || !response.contains("content"))
        return;
    std::optional<UpstreamList> list = decodeUpstreamList(response["content"]);
    if (!list)
        return logEvent(events::peerMessageInvalid, "reason=\"the list of upstreams cannot be read\"");
    this->upstreamList = std::make_shared<UpstreamList>(std::move(*list));
    this->upstreamContent.reset();
    this->upstreams.onReceived(response.value("version", std::uint64_t(0)));
    this->listener.onUpstreamList(this->upstreamList);
}

void FleetLists::onMembersReceived(const nlohmann::json& response)
{
    if (!response.is_object() || !response.contains("content"))
        return;
    std::optional<std::vector<FleetMember>> list = decodeMemberList(response["content"]);
    if (!list)
        return logEvent(events::peerMessageInvalid, "reason=\"the list of instances cannot be read\"");
    this->memberList = std::move(*list);
    this->memberContent.reset();
    this->members.onReceived(response.value("version", std::uint64_t(0)));
    this->listener.onMemberList(this->memberList);
}

nlohmann::json FleetLists::makeVersions() const
{
    BootTime now = this->clock.bootNow();
    return { { "upstreams", makeVersion(this->upstreams, now) }, { "members", makeVersion(this->members, now) } };
}

void FleetLists::listUpstreams()
{
    BootTime sentAt = this->clock.bootNow();
    if (this->upstreams.isRelayed(sentAt)) {
        // Upstreams that are missing from a snapshot for long enough are removed only by another snapshot.
        this->listener.onUpstreamList(this->upstreamList);
        this->loop.scheduleUntilDone(upstreamListInterval, [this] { this->listUpstreams(); });
        return;
    }
    bool isLinearizable = std::exchange(this->mustListLinearizably, false);
    this->store.listUpstreams(isLinearizable, [this, sentAt, isLinearizable](const std::optional<std::shared_ptr<const UpstreamList>>& list, const Failure& failure) {
        if (list) {
            this->onUpstreamsListed(*list, isLinearizable, sentAt);
        } else {
            logEvent(events::storeCallFailed, "call=list_upstreams reason=\"" + failure.reason + "\"");
        }
        if (list)
            this->upstreamRetries.onSuccess();
        Duration next = !list ? this->upstreamRetries.onFailure() : this->mustListLinearizably ? Duration(0)
                                                                                               : Duration(upstreamListInterval);
        this->loop.scheduleUntilDone(next, [this] { this->listUpstreams(); });
    });
}

void FleetLists::refreshUpstreams(std::function<void(bool isRead)> callback)
{
    BootTime sentAt = this->clock.bootNow();
    this->store.listUpstreams(true, [this, sentAt, callback = std::move(callback)](const std::optional<std::shared_ptr<const UpstreamList>>& list, const Failure& failure) {
        if (list)
            this->onUpstreamsListed(*list, true, sentAt);
        else
            logEvent(events::storeCallFailed, "call=list_upstreams reason=\"" + failure.reason + "\"");
        callback(list.has_value());
    });
}

void FleetLists::onUpstreamsListed(const std::shared_ptr<const UpstreamList>& list, bool isLinearizable, BootTime sentAt)
{
    BootTime currentAt = isLinearizable ? sentAt : this->revisions.findCurrentAt(list->revision, list->era, sentAt);
    // Without any list, an outdated one is better than none.
    if (sentAt - currentAt > longestListDelay && !this->upstreamList->entries.empty()) {
        // An outdated list would make upstreams usable again that are leaving.
        logEvent(events::listOutdated, "revision=" + std::to_string(list->revision.value()) + " store_era=" + std::to_string(list->era.value()));
        this->mustListLinearizably = true;
        return;
    }
    this->upstreamList = list;
    this->upstreamContent.reset();
    this->upstreams.onListed(computeVersion(encodeUpstreamList(*list)), currentAt);
    this->listener.onUpstreamList(list);
}

void FleetLists::listMembers()
{
    // Instances that start together are not all in the first list.
    Duration next = this->numMemberLists++ < numStartupMemberLists ? Duration(startupMemberListInterval) : Duration(memberListInterval);
    BootTime sentAt = this->clock.bootNow();
    if (this->members.isRelayed(sentAt)) {
        // How long instances have been missing from the list is counted with each list.
        this->listener.onMemberList(this->memberList);
        this->loop.scheduleUntilDone(next, [this] { this->listMembers(); });
        return;
    }
    this->store.listMembers(false, [this, sentAt, next](const std::optional<std::vector<FleetMember>>& list, const Failure& failure) {
        if (list) {
            this->memberList = *list;
            this->memberContent.reset();
            this->members.onListed(computeVersion(encodeMemberList(*list)), sentAt);
            this->listener.onMemberList(*list);
        } else {
            logEvent(events::storeCallFailed, "call=list_members reason=\"" + failure.reason + "\"");
        }
        this->loop.scheduleUntilDone(next, [this] { this->listMembers(); });
    });
}

} // namespace lentiljunction
