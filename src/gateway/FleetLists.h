#pragma once

#include "../peer/PeerRpc.h"
#include "ListReceiver.h"
#include "PieceSender.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/fleet/RelayedList.h"
#include "lentiljunction/fleet/RevisionHistory.h"

#include <memory>
#include <vector>

namespace lentiljunction {

/// Keeps the lists of upstreams and of instances up to date.
///
/// In each availability zone the zone reader lists them from the store. The others learn from it which versions are
/// current and how old that knowledge is, and request a list from it when its version changes. When this knowledge
/// gets old, they list from the store themselves.
///
/// Not thread-safe; the control thread owns it.
///
/// @see chooseZoneReader
class FleetLists {
public:
    /// Receives each snapshot, also when it is the same as the one before.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onUpstreamList(const std::shared_ptr<const UpstreamList>& list) = 0;
        virtual void onMemberList(const std::vector<FleetMember>& members) = 0;
    };

    /// All must outlive this object.
    ///
    /// @param self where this instance listens for others
    FleetLists(EventLoop& loop, const Clock& clock, FleetStore& store, PeerRpc& peers, Listener& listener, const Endpoint& self = Endpoint());

    /// Starts to list.
    void start();

    /// Reads the list of upstreams now, with all changes before the call.
    ///
    /// @param callback called after the listener received the list, or when it could not be read
    void refreshUpstreams(std::function<void(bool isRead)> callback);

    /// Handles the response of the zone reader to a request that was sent at `sentAt`.
    void onZoneReaderResponse(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt);

    /// A linearizable response named the store's newest revision. A list of an earlier one is outdated.
    ///
    /// @param sentAt when the call was sent
    void onRevision(StoreVersion revision, StoreEra era, BootTime sentAt) { this->revisions.onRevision(revision, era, sentAt); }

    /// @returns the versions of both lists and the age of that knowledge, for other instances
    nlohmann::json makeVersions() const;

    /// @returns the list of upstreams or of instances, or the part of it that another instance requests
    nlohmann::json makeUpstreams(const nlohmann::json& request);
    nlohmann::json makeMembers(const nlohmann::json& request);

private:
    void listUpstreams();
    void onUpstreamsListed(const std::shared_ptr<const UpstreamList>& list, bool isLinearizable, BootTime sentAt);
    void listMembers();
    void onUpstreamsReceived(const nlohmann::json& response);
    void onMembersReceived(const nlohmann::json& response);
    nlohmann::json encodeUpstreams() const;
    nlohmann::json encodeMembers() const;

    EventLoop& loop;
    const Clock& clock;
    FleetStore& store;
    Listener& listener;
    RelayedList upstreams;
    RelayedList members;
    std::shared_ptr<const UpstreamList> upstreamList = std::make_shared<UpstreamList>();
    std::vector<FleetMember> memberList;
    ListReceiver upstreamReceiver;
    ListReceiver memberReceiver;
    PieceSender upstreamSender;
    PieceSender memberSender;
    /// The lists as they are sent, until they change.
    std::shared_ptr<const std::string> upstreamContent;
    std::shared_ptr<const std::string> memberContent;
    Backoff upstreamRetries;
    RevisionHistory revisions;
    /// The last list was outdated, so the next one is requested as of now.
    bool mustListLinearizably = false;
    int numMemberLists = 0;
};

} // namespace lentiljunction
