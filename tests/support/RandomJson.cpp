#include "RandomJson.h"

#include <rapidcheck.h>

#include <string>

namespace lentiljunction::tests {

nlohmann::json drawJson(int depth)
{
    switch (*rc::gen::inRange(0, depth > 0 ? 7 : 5)) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::element<std::string>("", "urgent", "begin", "SELECT 1", "1:x", "1.db~1~1", "x");
    case 4:
        return -0.5;
    case 5:
        return nlohmann::json::array({ drawJson(depth - 1), drawJson(depth - 1) });
    default:
        return { { "action", drawJson(depth - 1) }, { "id", drawJson(depth - 1) } };
    }
}

nlohmann::json damage(nlohmann::json document)
{
    int choice = *rc::gen::inRange(0, 8);
    if (choice == 0)
        return drawJson(2);
    if (!document.is_structured())
        return document;
    for (nlohmann::json::iterator item = document.begin(); item != document.end();) {
        if (document.is_object() && *rc::gen::inRange(0, 10) == 0) {
            item = document.erase(item);
            continue;
        }
        *item = damage(*item);
        ++item;
    }
    return document;
}

} // namespace lentiljunction::tests
