#include "Site.h"

namespace lentiljunction::lab {

SitePlan makeDemoSite()
{
    SitePlan site;
    site.name = "demo";
    site.zones = { { "west", 2 }, { "east", 1 } };
    site.serviceMicroseconds = 1000;
    return site;
}

SitePlan makeSponaSite()
{
    SitePlan site;
    site.name = "spona";
    site.zones = { { "ba", 2 }, { "tt", 2 }, { "nr", 2 }, { "tn", 1 } };
    site.numDatabases = 3;
    site.connections = 16;
    site.zoneDelayMilliseconds = 4.5;
    return site;
}

SitePlan makeKaradenizSite()
{
    SitePlan site;
    site.name = "karadeniz";
    site.zones = { { "bursa", 3 }, { "yalova", 2 }, { "kocaeli", 2 } };
    site.numDatabases = 3;
    site.connections = 30;
    site.zoneDelayMilliseconds = 4;
    return site;
}

} // namespace lentiljunction::lab
