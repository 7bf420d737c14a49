#pragma once

#include "../../src/net/ByteSocket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::standin {

class LineGroup;

/// One upstream that speaks the platform's line protocol over items in memory.
///
/// Runs on the thread of the group's event loop.
///
/// @see LineGroup
class LineUpstream {
public:
    /// How it behaves.
    enum class Fault {
        None,
        /// Takes connections and answers nothing.
        Silent,
        /// Runs statements and answers nothing to writes and commits.
        DropsResponses,
        /// Answers that it has no free slot.
        Busy,
    };

    LineUpstream(LineGroup& group, std::string id, Endpoint endpoint);
    ~LineUpstream();
    LineUpstream(const LineUpstream&) = delete;
    LineUpstream& operator=(const LineUpstream&) = delete;

    bool listen(Failure& failure);

    /// Closes the port and every connection, as a process that ends.
    void crash();

    const std::string& getId() const { return this->id; }
    const Endpoint& getEndpoint() const { return this->endpoint; }

private:
    friend class LineGroup;
    class Connection;

    /// Runs a statement when a slot is free, for as long as the group's serviceTime takes.
    ///
    /// @returns false when the queue is full
    bool runWhenSlotFree(std::function<void()> statement);
    void startNextStatement();

    LineGroup& group;
    std::string id;
    Endpoint endpoint;
    std::unique_ptr<ByteListener> port;
    std::map<Connection*, std::unique_ptr<Connection>> connections;
    std::map<std::string, std::string> items;
    std::uint64_t term = 1;
    std::uint64_t headTerm = 1;
    std::uint64_t headNumber = 0;
    bool isPrimary = false;
    bool isRunning = false;
    /// Nothing passes between it and the others of its group.
    bool isIsolated = false;
    /// Receives nothing until it is resumed or promoted.
    bool isPaused = false;
    Fault fault = Fault::None;
    int numExecuting = 0;
    /// Statements that wait for a slot.
    std::deque<std::function<void()>> queue;
};

/// A group of upstreams: one primary whose commits reach the replicas after a delay.
class LineGroup {
public:
    /// @param loop must outlive the group
    /// @param name the group's name, as upstreams are asked for it
    LineGroup(EventLoop& loop, std::string name);
    ~LineGroup();

    /// Adds an upstream; the first is the primary.
    bool add(const std::string& id, const Endpoint& endpoint, Failure& failure);

    /// Ends the process of an upstream. Runs on the loop and waits for it.
    void crash(const std::string& id);

    /// Starts the process of an upstream again, with what it held. If another leads a higher term, it
    /// follows that one.
    bool restart(const std::string& id, Failure& failure);

    /// Cuts an upstream off from the others of its group and from promotions of others, or joins it to
    /// them again, where it follows the highest term.
    void setIsolated(const std::string& id, bool isIsolated);

    /// @returns whether a write took effect at an upstream after another had been promoted
    bool isCommittedByFormerPrimary(const std::string& item);

    /// @returns the highest term of all upstreams
    std::uint64_t findHighestTerm();

    /// Changes how an upstream behaves.
    void setFault(const std::string& id, LineUpstream::Fault fault);

    /// How long replicas are behind.
    void setReplicationLag(Duration newReplicationLag) { this->replicationLag = newReplicationLag; }

    /// How long a read, write or commit takes one of the slots.
    void setServiceTime(Duration newServiceTime) { this->serviceTime = newServiceTime; }

    /// Makes an upstream the primary of the next term.
    ///
    /// @returns the status of the promotion call
    int promote(const std::string& id);

    /// @returns how often a write of an item took effect
    std::size_t countCommits(const std::string& item);

    /// @returns the upstream that leads the highest term
    std::string findPrimary();

    const std::string& getName() const { return this->name; }

private:
    friend class LineUpstream;
    friend class LineUpstream::Connection;

    /// Runs a task on the loop and waits for it.
    void runOnLoop(const std::function<void()>& task);
    LineUpstream* find(const std::string& id);
    void commit(LineUpstream& primary, const std::map<std::string, std::string>& writes);
    void copyFromPrimary(LineUpstream& upstream);
    LineUpstream* findCurrentPrimary();
    void replicate(const LineUpstream& primary, const std::map<std::string, std::string>& writes);

    EventLoop& loop;
    std::string name;
    std::vector<std::unique_ptr<LineUpstream>> upstreams;
    Duration replicationLag { std::chrono::milliseconds(5) };
    Duration serviceTime { 0 };
    std::multiset<std::string> committedItems;
    std::set<std::string> itemsCommittedByFormerPrimary;
};

} // namespace lentiljunction::standin
