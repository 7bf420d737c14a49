#pragma once

#include "../../src/net/TcpConnection.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::standin {

class LineGroup;

/// An upstream that speaks the platform's line protocol and keeps its items in memory.
///
/// Used on the thread of the group's event loop only.
///
/// @see LineGroup
class LineUpstream {
public:
    /// Faults that a test can inject.
    enum class Fault {
        None,
        /// Accepts connections and does not respond.
        Silent,
        /// Executes writes and commits but does not respond to them.
        DropsResponses,
        /// Responds that no slot is free.
        Busy,
        /// Reports errors for reads, while its status is good.
        FailsReads,
    };

    LineUpstream(LineGroup& group, std::string id, Endpoint endpoint);
    ~LineUpstream();
    LineUpstream(const LineUpstream&) = delete;
    LineUpstream& operator=(const LineUpstream&) = delete;

    bool listen(Failure& failure);

    /// Closes the port and every connection, as if the process had ended.
    void crash();

    const std::string& getId() const { return this->id; }
    const Endpoint& getEndpoint() const { return this->endpoint; }

private:
    friend class LineGroup;
    class Connection;
    /// An occupied slot, which is free when the last owner is gone.
    using Slot = std::shared_ptr<void>;
    using Statement = std::function<void(const Slot& slot)>;

    /// Queues a statement that runs as soon as a slot is free and occupies it for the group's service time at least.
    ///
    /// @returns false when the queue is full
    bool runWhenSlotFree(Statement statement);
    void startNextStatement();
    Slot takeSlot();

    LineGroup& group;
    std::string id;
    Endpoint endpoint;
    std::unique_ptr<TcpServer> port;
    std::map<Connection*, std::unique_ptr<Connection>> connections;
    std::map<std::string, std::string> items;
    std::uint64_t term = 1;
    std::uint64_t headTerm = 1;
    std::uint64_t headNumber = 0;
    bool isPrimary = false;
    bool isRunning = false;
    /// Whether the upstream is cut off from the other upstreams of its group.
    bool isIsolated = false;
    /// Whether replication does not reach the upstream, which can be promoted all the same.
    bool isDeaf = false;
    /// Whether replication to the upstream is paused until it is resumed or promoted.
    bool isPaused = false;
    Fault fault = Fault::None;
    int numExecuting = 0;
    /// Statements waiting for a slot.
    std::deque<Statement> queue;
    /// Replaced by a crash: what was started before it holds no slot any more.
    std::shared_ptr<bool> currentStart = std::make_shared<bool>(true);
};

/// A group of upstreams: one primary whose commits reach the replicas after the replication lag.
class LineGroup {
public:
    /// @param loop must outlive the group
    /// @param name the group's name, which connections must give at start-up
    LineGroup(EventLoop& loop, std::string name);
    ~LineGroup();

    /// Adds an upstream. The first one is the primary.
    bool add(const std::string& id, const Endpoint& endpoint, Failure& failure);

    /// Simulates a crash of an upstream. Blocks until the loop has done it.
    void crash(const std::string& id);

    /// Restarts a crashed upstream with its previous items. If another upstream was promoted meanwhile, it is a replica
    /// and copies the state of that primary after the replication lag.
    ///
    /// @param keepsLog false when it holds nothing of before
    bool restart(const std::string& id, Failure& failure, bool keepsLog = true);

    /// Starts an upstream at the address of one that has ended, with its log. It follows the primary.
    bool startSuccessor(const std::string& id, const std::string& predecessor, Failure& failure);

    /// Cuts an upstream off from the others of its group, or reconnects it. While it is cut off, it gets no
    /// replication and learns of no promotion; when reconnected, it learns of the current primary.
    void setIsolated(const std::string& id, bool isIsolated);

    /// Keeps replication from an upstream, or lets it receive again. Unlike an isolated upstream it can be promoted.
    void setDeaf(const std::string& id, bool isDeaf);

    /// Sets whether a commit is acknowledged only once a replica has received it.
    void setSynchronous(bool newIsSynchronous) { this->isSynchronous = newIsSynchronous; }

    /// Sets whether a commit holds its slot until it is acknowledged, and new connections and commands need a slot too.
    void setSlotsHeldByCommits(bool newAreSlotsHeld) { this->areSlotsHeldByCommits = newAreSlotsHeld; }

    /// @returns whether the log of an upstream has a write of an item
    bool hasItem(const std::string& id, const std::string& item);

    /// @returns whether an upstream committed a write while another one led the highest term
    bool isCommittedByFormerPrimary(const std::string& item);

    /// @returns the highest term of all upstreams
    std::uint64_t findHighestTerm();

    /// Injects a fault into an upstream.
    void setFault(const std::string& id, LineUpstream::Fault fault);

    /// Sets the time after which a commit reaches the replicas.
    void setReplicationLag(Duration newReplicationLag) { this->replicationLag = newReplicationLag; }

    /// Sets how long a read, write or commit occupies a slot.
    void setServiceTime(Duration newServiceTime) { this->serviceTime = newServiceTime; }

    /// Sets how many rows a read of an item has that begins with "long".
    void setLongResult(std::size_t newNumLongRows) { this->numLongRows = newNumLongRows; }

    /// Sets the time from a promotion call to its effect.
    void setPromotionDelay(Duration newPromotionDelay) { this->promotionDelay = newPromotionDelay; }

    /// Sets how long a former primary goes on once it can reach the new one.
    void setStepDownDelay(Duration newStepDownDelay) { this->stepDownDelay = newStepDownDelay; }

    /// Sets what is told when an upstream becomes a primary or a replica. Called on the loop's thread.
    void setRoleListener(std::function<void(const std::string& id, bool isPrimary)> newListener) { this->roleListener = std::move(newListener); }

    /// Makes an upstream the primary of the next term after the promotion delay. The effect is lost if the upstream is
    /// down then. Call on the loop's thread.
    ///
    /// @returns the HTTP status of the promotion call
    int promote(const std::string& id);

    /// Makes an upstream the primary of the next term, like a promotion call that no failover announced. Blocks until the call
    /// is made.
    void promoteLate(const std::string& id)
    {
        this->runOnLoop([&] { this->promote(id); });
    }

    /// Turns an upstream into a replica, like a demotion that arrives late. Blocks until the loop has done it.
    void demoteLate(const std::string& id);

    /// Stops an upstream from receiving, like a pause that arrives late. Blocks until the loop has done it.
    void pauseLate(const std::string& id);

    /// @returns whether an upstream acts as the primary, in whatever term
    bool isPrimary(const std::string& id);

    /// @returns how often a write of an item was committed
    std::size_t countCommits(const std::string& item);

    /// @returns how often an upstream replied that its log does not reach the required position
    std::size_t countBehindReplies() const { return this->numBehindReplies; }

    /// @returns the prefix for the ids of statements by which upstreams check that each runs on a connection opened
    /// under its workspace's name, and tell when a key was last used
    static std::string makeIdPrefix(const std::string& workspace, const std::string& key) { return workspace + "/" + key + "/"; }

    /// @returns a description of each statement that arrived on a connection opened under another name
    std::vector<std::string> listWrongNames();

    /// @returns when the last statement with a prefix arrived, or nothing
    std::optional<TimePoint> findLastArrival(const std::string& idPrefix);

    /// @returns the names under which connections were opened
    std::set<std::string> listNames();

    /// @returns the id of the primary of the highest term, or an empty string when it does not act as one
    std::string findPrimary();

    const std::string& getName() const { return this->name; }

private:
    friend class LineUpstream;
    friend class LineUpstream::Connection;

    /// Runs a task on the loop and blocks until it has finished.
    void runOnLoop(const std::function<void()>& task);
    LineUpstream* find(const std::string& id);
    /// @param acknowledge runs at once, or once a replica has received the commit
    void commit(LineUpstream& primary, const std::map<std::string, std::string>& writes, std::function<void()> acknowledge);
    void acknowledgeReceived();
    void takeLead(const std::string& id);
    void setRole(LineUpstream& upstream, bool isPrimary);
    bool canReachLeader(const LineUpstream& upstream) const;
    /// Lets an upstream follow the leader after the replication lag, a former primary after the step-down delay.
    void learnLater(LineUpstream& upstream);
    void learnLater();
    void copyFromLeader(LineUpstream& upstream);
    /// Checks a statement against the name under which its connection was opened.
    void checkName(const std::string& name, const std::string& statementId, const std::string& text);
    void replicate(const LineUpstream& primary, const std::map<std::string, std::string>& writes);

    EventLoop& loop;
    std::string name;
    std::vector<std::unique_ptr<LineUpstream>> upstreams;
    /// The upstream that was promoted last: that of the highest term.
    LineUpstream* leader = nullptr;
    std::function<void(const std::string& id, bool isPrimary)> roleListener;
    std::atomic<Duration> promotionDelay { std::chrono::milliseconds(300) };
    std::atomic<Duration> stepDownDelay { std::chrono::seconds(1) };
    Duration replicationLag { std::chrono::milliseconds(5) };
    Duration serviceTime { 0 };
    std::atomic<std::size_t> numLongRows { 1 };

    /// A commit that waits for a replica.
    struct PendingCommit {
        const LineUpstream* primary;
        std::uint64_t term;
        std::uint64_t number;
        std::function<void()> acknowledge;
    };

    std::atomic<bool> isSynchronous { false };
    std::atomic<bool> areSlotsHeldByCommits { false };
    std::vector<PendingCommit> pendingCommits;
    std::atomic<std::size_t> numBehindReplies { 0 };
    std::multiset<std::string> committedItems;
    std::set<std::string> itemsCommittedByFormerPrimary;
    std::set<std::string> names;
    std::vector<std::string> wrongNames;
    std::map<std::string, TimePoint> lastArrivals;
};

} // namespace lentiljunction::standin
