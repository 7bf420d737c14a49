#include "RandomJson.h"

#include <rapidcheck.h>

#include <string>

namespace lentiljunction::tests {

nlohmann::json generateJson(int depth)
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
        return nlohmann::json::array({ generateJson(depth - 1), generateJson(depth - 1) });
    default:
        return { { "action", generateJson(depth - 1) }, { "id", generateJson(depth - 1) } };
    }
}

nlohmann::json corruptJson(nlohmann::json document)
{
    int choice = *rc::gen::inRange(0, 8);
    if (choice == 0)
        return generateJson(2);
    if (!document.is_structured())
        return document;
    for (nlohmann::json::iterator item = document.begin(); item != document.end();) {
        if (document.is_object() && *rc::gen::inRange(0, 10) == 0) {
            item = document.erase(item);
            continue;
        }
        *item = corruptJson(*item);
        ++item;
    }
    return document;
}

} // namespace lentiljunction::tests
