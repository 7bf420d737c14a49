#include "lentiljunction/logbook/FleetReport.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace lentiljunction {

namespace {

    /// Size of the plot, in CSS pixels.
    constexpr double plotWidth = 960;
    constexpr double plotHeight = 220;
    constexpr double plotMargin = 44;
    constexpr int numGridLines = 4;

    const char* const style = "body{font:14px system-ui,sans-serif;margin:2em auto;max-width:62em;color:#222}"
                              "table{border-collapse:collapse;margin:.5em 0 1.5em}td,th{padding:.25em .9em;border-bottom:1px solid #ddd;text-align:left}"
                              "td.n{text-align:right;font-variant-numeric:tabular-nums}h2{margin-top:1.6em}svg text{font-size:11px;fill:#555}"
                              ".key{display:inline-block;width:.8em;height:.8em;margin:0 .3em 0 1em}";

    std::string escape(const std::string& text)
    {
        std::string escaped;
        for (char character : text) {
            if (character == '<')
                escaped += "&lt;";
            else if (character == '>')
                escaped += "&gt;";
            else if (character == '&')
                escaped += "&amp;";
            else if (character == '"')
                escaped += "&quot;";
            else
                escaped += character;
        }
        return escaped;
    }

    std::string renderNumber(double number)
    {
        std::ostringstream text;
        text.precision(3);
        text << std::fixed << number;
        return text.str();
    }

    void renderCounts(std::ostream& page, const char* title, const char* column, const std::map<std::string, std::int64_t>& counts)
    {
        page << "<h2>" << title << "</h2>\n<table><tr><th>" << column << "</th><th>number</th></tr>\n";
        for (const std::pair<const std::string, std::int64_t>& count : counts)
            page << "<tr><td>" << escape(count.first) << "</td><td class=n>" << count.second << "</td></tr>\n";
        page << "</table>\n";
    }

    /// Draws a stacked bar per second: served statements at the bottom, then refused, then failed ones.
    class Plot {
    public:
        explicit Plot(const FleetReport& report)
            : report(report)
        {
            for (const FleetReport::Second& second : report.getSeconds())
                this->maximumRate = std::max(this->maximumRate, second.numServed + second.numRefused + second.numFailed);
            this->barWidth = (plotWidth - 2 * plotMargin) / static_cast<double>(std::max<std::size_t>(1, report.getSeconds().size()));
        }

        void render(std::ostream& page) const
        {
            page << "<svg viewBox=\"0 0 " << plotWidth << " " << plotHeight << "\" role=\"img\" aria-label=\"logged statements a second\">\n";
            this->renderChanges(page);
            this->renderGrid(page);
            this->renderBars(page);
            page << "</svg>\n";
        }

    private:
        double toX(double seconds) const { return plotMargin + seconds * this->barWidth; }
        double toHeight(std::int64_t number) const { return (plotHeight - 2 * plotMargin) * static_cast<double>(number) / static_cast<double>(this->maximumRate); }

        void renderChanges(std::ostream& page) const
        {
            for (const FleetReport::PrimaryChange& change : this->report.getChanges()) {
                double width = std::max(2.0, change.gapSeconds.value_or(1) * this->barWidth);
                page << "<rect x=\"" << this->toX(change.startSeconds) << "\" y=\"" << plotMargin << "\" width=\"" << width << "\" height=\"" << plotHeight - 2 * plotMargin
                     << "\" fill=\"#e9d8fd\"><title>" << escape(change.group) << ": " << escape(change.from) << " to " << escape(change.to) << "</title></rect>\n";
            }
        }

        void renderGrid(std::ostream& page) const
        {
            double bottom = plotHeight - plotMargin;
            for (int line = 0; line <= numGridLines; line++) {
                std::int64_t number = this->maximumRate * line / numGridLines;
                double y = bottom - this->toHeight(number);
                page << "<line x1=\"" << plotMargin << "\" x2=\"" << plotWidth - plotMargin << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#ddd\"/><text x=\"" << plotMargin - 6 << "\" y=\"" << y + 4 << "\" text-anchor=\"end\">" << number << "</text>\n";
                double second = std::round(static_cast<double>(this->report.getSeconds().size()) * line / numGridLines);
                page << "<text x=\"" << this->toX(second) << "\" y=\"" << bottom + 16 << "\" text-anchor=\"middle\">" << second << " s</text>\n";
            }
        }

        void renderBars(std::ostream& page) const
        {
            const std::vector<FleetReport::Second>& seconds = this->report.getSeconds();
            for (std::size_t index = 0; index < seconds.size(); index++) {
                double y = plotHeight - plotMargin;
                const std::pair<std::int64_t, const char*> parts[] { { seconds[index].numServed, "#4c8c6a" }, { seconds[index].numRefused, "#d9902f" }, { seconds[index].numFailed, "#b3392f" } };
                for (const std::pair<std::int64_t, const char*>& part : parts) {
                    double height = this->toHeight(part.first);
                    y -= height;
                    if (part.first > 0)
                        page << "<rect x=\"" << this->toX(static_cast<double>(index)) << "\" y=\"" << y << "\" width=\"" << this->barWidth * 0.9 << "\" height=\"" << height << "\" fill=\"" << part.second << "\"/>\n";
                }
            }
        }

        const FleetReport& report;
        std::int64_t maximumRate = 1;
        double barWidth = 1;
    };

    void renderChangeTable(std::ostream& page, const FleetReport& report)
    {
        page << "<h2>Changes of primary</h2>\n<table><tr><th>at, s</th><th>group</th><th>from</th><th>to</th><th>gap, s</th><th>cause</th></tr>\n";
        for (const FleetReport::PrimaryChange& change : report.getChanges()) {
            page << "<tr><td class=n>" << renderNumber(change.startSeconds) << "</td><td>" << escape(change.group) << "</td><td>" << escape(change.from) << "</td><td>" << escape(change.to)
                 << "</td><td class=n>" << (change.gapSeconds ? renderNumber(*change.gapSeconds) : "not over") << "</td><td>" << escape(change.cause) << "</td></tr>\n";
        }
        page << "</table>\n";
    }

    void renderOutageTable(std::ostream& page, const FleetReport& report)
    {
        page << "<h2>Dependencies lost</h2>\n<table><tr><th>at, s</th><th>instance</th><th>dependency</th><th>for, s</th></tr>\n";
        for (const FleetReport::Outage& outage : report.getOutages()) {
            page << "<tr><td class=n>" << renderNumber(outage.startSeconds) << "</td><td>" << escape(outage.instance) << "</td><td>" << escape(outage.dependency) << "</td><td class=n>"
                 << (outage.seconds ? renderNumber(*outage.seconds) : "not regained") << "</td></tr>\n";
        }
        page << "</table>\n";
    }

} // namespace

std::string renderHtml(const FleetReport& report)
{
    std::ostringstream page;
    page << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>lentiljunction report</title><style>" << style << "</style></head><body>\n"
         << "<h1>lentiljunction report</h1>\n<p>" << report.getNumInstances() << " instances, " << report.getSeconds().size() << " s from " << report.getBegin() << " UTC.</p>\n"
         << "<h2>Logged statements a second</h2>\n<p><span class=key style=\"background:#4c8c6a\"></span>served<span class=key style=\"background:#d9902f\"></span>refused"
         << "<span class=key style=\"background:#b3392f\"></span>failed or in doubt<span class=key style=\"background:#e9d8fd\"></span>change of primary</p>\n";
    Plot(report).render(page);
    renderCounts(page, "What callers were told", "code", report.getOutcomes());
    renderCounts(page, "Statements that did not succeed", "cause", report.getCauses());
    renderChangeTable(page, report);
    renderOutageTable(page, report);
    renderCounts(page, "Lines left out of the logs", "event", report.getOmittedLines());
    page << "</body></html>\n";
    return page.str();
}

} // namespace lentiljunction
