#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/Ids.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentiljunction {

/// Contents of this size cost no more than the messages that would put them off, so they are sent at once.
constexpr std::size_t smallContentBytes = 1U << 10;

/// Identifies the bytes of a transfer, which are the same at all instances that have the same content; zero for none.
using ContentId = Number<struct ContentIdTag>;

/// @returns the id of a content
ContentId computeContentId(const std::string& bytes);

/// A request for one piece of a content.
struct PieceRequest {
    /// Where the receiver listens for other instances.
    Endpoint receiver;
    /// The content of which the receiver has the beginning; zero when it has nothing.
    ContentId content;
    /// The number of bytes that it has.
    std::size_t offset = 0;
};

/// The response to a request for a piece.
struct PieceResponse {
    enum class Kind {
        Piece,
        /// Others are served first.
        Busy,
        /// There is nothing to send, or the receiver has all.
        Nothing,
    };

    Kind kind = Kind::Nothing;
    ContentId content;
    std::size_t offset = 0;
    /// The length of the whole content.
    std::size_t total = 0;
    std::string bytes;
    /// When the receiver should ask again.
    Duration retryAfter { 0 };
    /// Instances that have received a content from this one, and can send it as well.
    std::vector<Endpoint> others {};
};

/// Sends contents piece by piece, to a bounded number of receivers at a time.
///
/// A receiver requests a piece when it has the one before, so no more than a piece for each receiver waits in front of
/// other messages on the link. A transfer that was interrupted continues where it ended, also at another instance.
///
/// Decides without sockets and timers. Not thread-safe.
///
/// @see PieceReceiver
class PieceSender {
public:
    explicit PieceSender(const Clock& clock)
        : clock(clock)
    {
    }

    /// @param current the content that the receiver needs; nullptr when it needs none. A transfer that has begun continues
    ///     with its own content, so that it ends even if contents change faster than they are sent.
    PieceResponse respond(const PieceRequest& request, const std::shared_ptr<const std::string>& current);

private:
    struct Transfer {
        std::shared_ptr<const std::string> bytes;
        ContentId content;
        TimePoint startedAt;
        TimePoint requestedAt;
    };

    PieceResponse begin(const PieceRequest& request, const std::shared_ptr<const std::string>& current);
    PieceResponse makePiece(const Transfer& transfer, std::size_t offset) const;
    PieceResponse refuse();
    void end(const PieceRequest& request);
    void dropSilentReceivers();

    const Clock& clock;
    /// By the address of the receiver.
    std::map<std::string, Transfer> transfers;
    /// Those that received a content last, the newest at the end.
    std::deque<Endpoint> served;
    std::size_t nextServed = 0;
    Duration averageTime { std::chrono::milliseconds(50) };
    /// When those that were refused before will have had their turn.
    TimePoint turnsTakenUntil;
};

} // namespace lentiljunction
