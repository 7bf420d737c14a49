#include "PromotionEndpoint.h"

#include <utility>

namespace lentiljunction::standin {

namespace {

    std::string formatMilliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

} // namespace

std::string PromotionFault::describe() const
{
    if (this->isLost)
        return "lost";
    std::string text = this->isAnswered ? "answered after " + formatMilliseconds(this->answeredAfter) : "not answered";
    text += ", carried out after " + formatMilliseconds(this->carriedOutAfter);
    return text + (this->repeatedAfter ? ", and again after " + formatMilliseconds(*this->repeatedAfter) : "");
}

PromotionEndpoint::PromotionEndpoint(EventLoop& loop, LineGroup& group)
    : loop(loop)
    , group(group)
{
}

void PromotionEndpoint::onCall(const std::string& upstream, std::function<void(int status)> respond)
{
    PromotionFault present;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->called.push_back(upstream);
        present = this->fault;
        if (present.isHeld)
            this->held.push_back(upstream);
    }
    if (present.isLost || (present.isHeld && !present.repeatedAfter))
        return;
    if (present.carriedOutAfter.count() == 0)
        return this->carryOut(upstream, present, respond);
    this->loop.schedule(present.carriedOutAfter, [this, upstream, present, respond = std::move(respond)] { this->carryOut(upstream, present, respond); });
}

void PromotionEndpoint::carryOut(const std::string& upstream, const PromotionFault& present, const std::function<void(int status)>& respond)
{
    constexpr int accepted = 200;
    int status = this->group.promote(upstream);
    bool isRefused = present.isAnswered && status != accepted;
    if (present.repeatedAfter && !present.isHeld && !isRefused)
        this->loop.schedule(*present.repeatedAfter, [this, upstream] { this->group.promote(upstream); });
    if (!present.isAnswered)
        return;
    if (present.answeredAfter.count() == 0)
        return respond(status);
    this->loop.schedule(present.answeredAfter, [respond, status] { respond(status); });
}

void PromotionEndpoint::setFault(const PromotionFault& newFault)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->fault = newFault;
}

void PromotionEndpoint::release()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::string& upstream : std::exchange(this->held, {}))
        this->loop.post([this, upstream] { this->group.promote(upstream); });
}

std::vector<std::string> PromotionEndpoint::listCalled()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->called;
}

} // namespace lentiljunction::standin
